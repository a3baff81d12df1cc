// Package scheduling defines the events and effects of the pool owner's
// decision core.
//
// The owner of a pool shard is a single-threaded state machine: the caller
// passes Events to it with the time, and carries out the Effects that it
// returns.
package scheduling

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

// GrantID identifies one grant of one owner incarnation. It increases by one
// per grant within the incarnation.
type GrantID uint64

// Event is an input of the pool owner.
type Event interface{ schedulingEvent() }

// Offer asks the owner to place a request. Offering a known request again has
// no effect.
type Offer struct {
	Request structs.Request
	// Running is set when, after a change of owner, the entry offers again a
	// request that it has dispatched. The request occupies the endpoint and is
	// never granted again.
	Running  bool
	Endpoint structs.EndpointName
	// Streamed is the number of output tokens that a running request has
	// produced.
	Streamed structs.Tokens
}

// Withdraw removes a waiting request; a running one is ended by Finish.
type Withdraw struct {
	ID     structs.RequestID
	Reason structs.Reason
}

// Return returns a grant unsent; no byte of the request went out.
type Return struct {
	ID     structs.RequestID
	Grant  GrantID
	Reason structs.Reason
}

// Progress reports on a running answer: its first token, then its token count
// at a bounded rate.
type Progress struct {
	ID       structs.RequestID
	Grant    GrantID
	Endpoint structs.EndpointName
	// FirstTokenAfter is the time from dispatch to the first token; it is zero
	// in later reports.
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
	// FirstTokenAfter and Duration are measured from dispatch; they are zero
	// if not reached.
	FirstTokenAfter time.Duration
	Duration        time.Duration
	PromptTokens    structs.Tokens
	CachedTokens    structs.Tokens
	OutputTokens    structs.Tokens
}

// EntryLost reports that an entry's incarnation has ended: its waiting
// requests are dropped, and its running ones release their slots after a drain
// delay.
type EntryLost struct {
	Entry instance.Process
}

// LoadReport is the load that an endpoint reported.
type LoadReport struct {
	Endpoint structs.EndpointName
	// AsOf is when the figures were taken, converted to the owner's clock.
	AsOf          time.Time
	Running       int
	Waiting       int
	TokensInUse   structs.Tokens
	TokenCapacity structs.Tokens
}

// CacheEvent reports prefix blocks that an endpoint stored or dropped. Events
// arrive late and with gaps in Sequence.
type CacheEvent struct {
	Endpoint structs.EndpointName
	Sequence uint64
	Stored   []structs.PrefixHash
	Dropped  []structs.PrefixHash
	// Cleared is set when the endpoint dropped all blocks.
	Cleared bool
}

// EndpointSpec is a declared endpoint together with its state in the
// membership list.
type EndpointSpec struct {
	Name          structs.EndpointName
	FailureDomain instance.FailureDomain
	SpeedClass    string
	// Targets are the models or services that the endpoint currently serves.
	Targets []structs.Target
	// Listed, Leaving and Drained follow the platform's membership list and
	// the operators' drain statements.
	Listed  bool
	Leaving bool
	Drained bool
}

// PoolSpec is the configuration of one pool; it is replaced as a unit.
type PoolSpec struct {
	Name structs.PoolName
	// QueueLimit is the maximum number of waiting requests; the owner sheds
	// the excess.
	QueueLimit int
	// PreemptLower allows cancelling running lower-tier work. The owner does
	// not implement it yet.
	PreemptLower bool
	Endpoints    []EndpointSpec
}

// Configure replaces the pool's configuration.
type Configure struct{ Pool PoolSpec }

// TakeoverDone ends the period after taking ownership in which nothing is
// shed.
type TakeoverDone struct{}

// SiblingReport reports the least urgent rank and the number of requests
// waiting in another shard of the pool.
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

// Grant allows an entry to dispatch one request to one endpoint.
type Grant struct {
	Request  structs.RequestID
	Entry    instance.Process
	ID       GrantID
	Endpoint structs.EndpointName
	// ValidFor is how long after receipt the entry may start the dispatch.
	ValidFor time.Duration
}

// Refuse notifies an entry that a request will not be placed.
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

// RecordDecision records one decision for explain.
type RecordDecision struct {
	Decision Decision
}

func (Grant) schedulingEffect()          {}
func (Refuse) schedulingEffect()         {}
func (CancelRunning) schedulingEffect()  {}
func (RecordDecision) schedulingEffect() {}

// Decision explains why a request was placed, refused, shed or left waiting.
type Decision struct {
	At      time.Time
	Request structs.RequestID
	Kind    DecisionKind
	Reason  structs.Reason
	Chosen  structs.EndpointName
	// QueuePosition is the request's position in the queue, from 0, at the
	// time of the decision.
	QueuePosition int
	Candidates    []Candidate
}

// DecisionKind is the result of a decision.
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

// Candidate is one endpoint considered by a decision: removed by a filter, or
// scored.
type Candidate struct {
	Endpoint  structs.EndpointName
	RemovedBy FilterName
	Scores    []Score
	// EstimatedCompletion is the sum of the scores, by which candidates are
	// compared.
	EstimatedCompletion time.Duration
}

// Score is the value of one scorer.
type Score struct {
	Scorer string
	Value  time.Duration
}
