// Package entry implements the decisions of the entry role: it tracks each
// request from acceptance to its single outcome, and never dispatches a request
// again that may have been sent.
//
// Entry is a single-threaded state machine: the shell passes Events to it with
// the time, and carries out the Effects it returns in their order.
package entry

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Shard names one shard of a pool, which has one owner at a time.
type Shard struct {
	Pool   structs.PoolName
	Number int
}

// Less orders shards by pool and number.
func (s Shard) Less(o Shard) bool {
	if s.Pool != o.Pool {
		return s.Pool < o.Pool
	}
	return s.Number < o.Number
}

// Event is an input of the entry.
type Event interface{ entryEvent() }

// Accept adds a validated request.
type Accept struct {
	Request structs.Request
	Shard   Shard
}

// OwnerChanged reports which instance owns a shard. All requests of the shard
// are offered to the new owner, and the waiting ones are withdrawn from the old
// one.
type OwnerChanged struct {
	Shard Shard
	Owner instance.ID
}

// Granted is a grant received from an owner.
type Granted struct {
	From  instance.ID
	Shard Shard
	Grant scheduling.Grant
}

// Refused is a refusal received from an owner.
type Refused struct {
	From    instance.ID
	Request structs.RequestID
	Refusal structs.Refusal
}

// CancelRequested is an owner's request to cancel a running request.
type CancelRequested struct {
	Request structs.RequestID
	Reason  structs.Reason
}

// NotSent reports that a dispatch ended and provably sent no byte. The request
// waits for another grant.
type NotSent struct {
	Request structs.RequestID
	Attempt uint64
	Reason  structs.Reason
}

// Declined reports that a dispatch was abandoned before any byte was sent and
// that the request ends, for example because another attempt with its caller
// key has won.
type Declined struct {
	Request structs.RequestID
	Attempt uint64
	Outcome structs.Outcome
	Reason  structs.Reason
	Detail  string
	// RetryAfter is zero if a later retry does not help.
	RetryAfter time.Duration
}

// Progressed reports output of a running request.
type Progressed struct {
	Request         structs.RequestID
	Attempt         uint64
	FirstTokenAfter time.Duration
	Output          structs.Tokens
}

// Finished reports the end of a dispatched request.
type Finished struct {
	Request         structs.RequestID
	Attempt         uint64
	Outcome         structs.Outcome
	Reason          structs.Reason
	Detail          string
	FirstTokenAfter time.Duration
	Duration        time.Duration
	PromptTokens    structs.Tokens
	CachedTokens    structs.Tokens
	OutputTokens    structs.Tokens
}

// CallerDisconnected reports that no connection reads the request's answer any
// more.
type CallerDisconnected struct {
	Request structs.RequestID
}

// ReleaseMemory asks the entry to abandon waiting requests, lowest tier first,
// until at most MaxWaiting requests wait.
type ReleaseMemory struct {
	MaxWaiting int
}

func (Accept) entryEvent()             {}
func (OwnerChanged) entryEvent()       {}
func (Granted) entryEvent()            {}
func (Refused) entryEvent()            {}
func (CancelRequested) entryEvent()    {}
func (NotSent) entryEvent()            {}
func (Declined) entryEvent()           {}
func (Progressed) entryEvent()         {}
func (Finished) entryEvent()           {}
func (CallerDisconnected) entryEvent() {}
func (ReleaseMemory) entryEvent()      {}

// Effect is an output of the entry.
type Effect interface{ entryEffect() }

// SendOffers offers requests to a shard's owner, oldest first.
type SendOffers struct {
	To     instance.ID
	Shard  Shard
	Offers []scheduling.Offer
}

// SendWithdraw withdraws a waiting request from an owner.
type SendWithdraw struct {
	To       instance.ID
	Shard    Shard
	Withdraw scheduling.Withdraw
}

// SendReturn returns a grant unsent.
type SendReturn struct {
	To     instance.ID
	Shard  Shard
	Return scheduling.Return
}

// SendProgress forwards progress to the owner.
type SendProgress struct {
	To       instance.ID
	Shard    Shard
	Progress scheduling.Progress
}

// SendFinish notifies the owner that a dispatched request has finished.
type SendFinish struct {
	To     instance.ID
	Shard  Shard
	Finish scheduling.Finish
}

// Dispatch sends the request to the endpoint. The shell must answer with
// exactly one of NotSent, Declined and Finished for the attempt.
type Dispatch struct {
	Request  structs.RequestID
	Attempt  uint64
	Grant    scheduling.GrantID
	Endpoint structs.EndpointName
	Deadline time.Time
}

// CancelDispatch cancels a running attempt at its endpoint. The shell still
// answers the Dispatch.
type CancelDispatch struct {
	Request  structs.RequestID
	Attempt  uint64
	Endpoint structs.EndpointName
	Reason   structs.Reason
}

// Conclude reports the outcome of a request. Exactly one follows each Accept.
type Conclude struct {
	Request  structs.RequestID
	Outcome  structs.Outcome
	Reason   structs.Reason
	Detail   string
	Endpoint structs.EndpointName
	// RetryAfter is zero if a later retry does not help.
	RetryAfter time.Duration
}

func (SendOffers) entryEffect()     {}
func (SendWithdraw) entryEffect()   {}
func (SendReturn) entryEffect()     {}
func (SendProgress) entryEffect()   {}
func (SendFinish) entryEffect()     {}
func (Dispatch) entryEffect()       {}
func (CancelDispatch) entryEffect() {}
func (Conclude) entryEffect()       {}
