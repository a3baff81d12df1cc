// Package scheduling holds the events and effects of the pool owner's
// decision core.
//
// The owner of a pool shard is a single-threaded state machine: the shell
// passes Events to it with the time, and carries out the Effects it returns.
package scheduling

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

// GrantID names one grant of one owner incarnation. Within an owner's life it
// rises by one per grant.
type GrantID uint64

// Event is an input of the pool owner.
type Event interface{ schedulingEvent() }

// Offer asks the owner to place a request. Offering a request that is already
// known changes nothing.
type Offer struct {
	Request structs.Request
	// Running is set when the entry re-offers, after a change of owner, a
	// request that it has dispatched; it occupies the endpoint and is never
	// granted again.
	Running  bool
	Endpoint structs.EndpointName
	// Streamed is how many output tokens a running request has produced.
	Streamed structs.Tokens
}

// Withdraw takes a waiting request back; a running one is left to Finish.
type Withdraw struct {
	ID     structs.RequestID
	Reason structs.Reason
}

// Return gives a grant back unsent; it is proved that no byte went out.
type Return struct {
	ID     structs.RequestID
	Grant  GrantID
	Reason structs.Reason
}

// Progress reports a running answer: the first token, and then the tokens so
// far at a bounded rate.
type Progress struct {
	ID       structs.RequestID
	Grant    GrantID
	Endpoint structs.EndpointName
	// FirstTokenAfter is the time from dispatch to the first token; it is
	// zero in later reports.
	FirstTokenAfter time.Duration
	Output          structs.Tokens
}

// Finish reports the end of a dispatched request.
type Finish struct {
	ID       structs.RequestID
	Grant    GrantID
	Endpoint structs.EndpointName
	Outcome  structs.Outcome
	Reason   structs.Reason
	// FirstTokenAfter and Whole count from dispatch; zero when not reached.
	FirstTokenAfter time.Duration
	Duration        time.Duration
	PromptTokens    structs.Tokens
	CachedTokens    structs.Tokens
	OutputTokens    structs.Tokens
}

// EntryLost tells that an entry's life has ended: its waiting requests are
// dropped, its running ones free their places after a drain delay.
type EntryLost struct {
	Entry instance.Process
}

// LoadReport is what an endpoint said of itself, with the time it was true.
type LoadReport struct {
	Endpoint structs.EndpointName
	// AsOf is when the figures were taken, already moved to the owner's clock.
	AsOf          time.Time
	Running       int
	Waiting       int
	TokensInUse   structs.Tokens
	TokenCapacity structs.Tokens
}

// CacheEvent tells of prefix blocks that an endpoint stored or dropped.
// Events arrive late and with gaps in Sequence.
type CacheEvent struct {
	Endpoint structs.EndpointName
	Sequence uint64
	Stored   []structs.PrefixHash
	Dropped  []structs.PrefixHash
	// Cleared is set when the endpoint dropped all it had.
	Cleared bool
}

// EndpointSpec is a declared endpoint together with what the list says of it.
type EndpointSpec struct {
	Name          structs.EndpointName
	FailureDomain instance.FailureDomain
	SpeedClass    string
	// Targets are the models or services that it serves now.
	Targets []structs.Target
	// Listed, Leaving and Drained follow the platform's membership list and
	// the operators' drain statements.
	Listed  bool
	Leaving bool
	Drained bool
}

// PoolSpec is the configuration of one pool, replaced as a whole.
type PoolSpec struct {
	Name structs.PoolName
	// QueueLimit is the most requests that may wait; the owner sheds above it.
	QueueLimit int
	// PreemptLower allows cancelling running lower-tier work. The owner does
	// not act on it yet.
	PreemptLower bool
	Endpoints    []EndpointSpec
}

// Configure replaces the pool's configuration.
type Configure struct{ Pool PoolSpec }

// TakeoverDone ends the time after taking ownership in which nothing is shed.
type TakeoverDone struct{}

// SiblingReport tells the lowest tier that waits in another shard of the pool.
type SiblingReport struct {
	Shard      int
	LowestRank structs.Rank
	Waiting    int
}

func (Offer) schedulingEvent()         {}
func (Withdraw) schedulingEvent()      {}
func (Return) schedulingEvent()        {}
func (Progress) schedulingEvent()      {}
func (Finish) schedulingEvent()        {}
func (EntryLost) schedulingEvent()     {}
func (LoadReport) schedulingEvent()    {}
func (CacheEvent) schedulingEvent()    {}
func (Configure) schedulingEvent()     {}
func (TakeoverDone) schedulingEvent()  {}
func (SiblingReport) schedulingEvent() {}

// Effect is an output of the pool owner.
type Effect interface{ schedulingEffect() }

// Grant lets an entry dispatch one request to one endpoint before Expires.
type Grant struct {
	Request  structs.RequestID
	Entry    instance.Process
	ID       GrantID
	Endpoint structs.EndpointName
	// ValidFor is how long after receipt the entry may start the dispatch.
	ValidFor time.Duration
}

// Refuse tells an entry that a request will not be placed.
type Refuse struct {
	Request structs.RequestID
	Entry   instance.Process
	Refusal structs.Refusal
}

// CancelRunning asks an entry to cancel a running request on its endpoint.
type CancelRunning struct {
	Request structs.RequestID
	Entry   instance.Process
	Reason  structs.Reason
}

// Explained records one decision for the explain ring.
type Explained struct {
	Decision Decision
}

func (Grant) schedulingEffect()         {}
func (Refuse) schedulingEffect()        {}
func (CancelRunning) schedulingEffect() {}
func (Explained) schedulingEffect()     {}

// Decision says why a request was placed, refused or left waiting.
type Decision struct {
	At      time.Time
	Request structs.RequestID
	Kind    DecisionKind
	Reason  structs.Reason
	Chosen  structs.EndpointName
	// QueuePosition is the request's position when the decision fell, from 0.
	QueuePosition int
	Candidates    []Candidate
}

// DecisionKind tells decisions apart.
type DecisionKind string

// The kinds of decision.
const (
	DecisionPlaced  DecisionKind = "placed"
	DecisionRefused DecisionKind = "refused"
	DecisionWaiting DecisionKind = "waiting"
	DecisionShed    DecisionKind = "shed"
)

// FilterName names the filter that removed a candidate.
type FilterName string

// Candidate is one endpoint as a decision saw it: removed by a filter, or
// scored.
type Candidate struct {
	Endpoint  structs.EndpointName
	RemovedBy FilterName
	Scores    []Score
	// EstimatedCompletion is the sum that placements are compared by.
	EstimatedCompletion time.Duration
}

// Score is one scorer's part.
type Score struct {
	Scorer string
	Value  time.Duration
}
