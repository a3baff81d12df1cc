// Package entry is the decision core of the entry role: it holds each
// accepted request from acceptance to its one outcome and lets it be
// dispatched at most once.
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

// Accept takes a checked request in.
type Accept struct {
	Request structs.Request
	Shard   Shard
}

// OwnerChanged tells which instance owns a shard. Everything held for the shard is
// offered to the new owner and withdrawn from the old one.
type OwnerChanged struct {
	Shard Shard
	Owner instance.ID
}

// Granted is a grant that arrived from an owner.
type Granted struct {
	From  instance.ID
	Shard Shard
	Grant scheduling.Grant
}

// Refused is a refusal that arrived from an owner.
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

// NotSent reports that a dispatch ended with the proof that no byte went out.
// The request waits again.
type NotSent struct {
	Request structs.RequestID
	Attempt uint64
	Reason  structs.Reason
}

// Declined reports that a dispatch was given up before any byte went out and
// that the request ends here, for example because another attempt for its
// key has won.
type Declined struct {
	Request structs.RequestID
	Attempt uint64
	Outcome structs.Outcome
	Reason  structs.Reason
	Detail  string
	// RetryAfter is zero when no time helps.
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
	Whole           time.Duration
	PromptTokens    structs.Tokens
	CachedTokens    structs.Tokens
	OutputTokens    structs.Tokens
}

// CallerDisconnected tells that no connection reads the request's answer any more.
type CallerDisconnected struct {
	Request structs.RequestID
}

// ReleaseMemory asks the entry to give up waiting work, lowest tier first,
// until at most Keep requests wait.
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

// SendWithdraw takes a waiting request back from an owner.
type SendWithdraw struct {
	To       instance.ID
	Shard    Shard
	Withdraw scheduling.Withdraw
}

// SendReturn gives a grant back unsent.
type SendReturn struct {
	To     instance.ID
	Shard  Shard
	Return scheduling.Return
}

// SendProgress passes progress on to the owner.
type SendProgress struct {
	To       instance.ID
	Shard    Shard
	Progress scheduling.Progress
}

// SendFinish tells the owner that a dispatched request has ended.
type SendFinish struct {
	To     instance.ID
	Shard  Shard
	Finish scheduling.Finish
}

// Dispatch sends the request to the endpoint, once. The shell must answer
// with exactly one of NotSent, Declined and Ended for the attempt.
type Dispatch struct {
	Request  structs.RequestID
	Attempt  uint64
	Grant    scheduling.GrantID
	Endpoint structs.EndpointName
	Deadline time.Time
}

// CancelDispatch stops a running attempt at its endpoint. The shell still
// answers the Dispatch.
type CancelDispatch struct {
	Request  structs.RequestID
	Attempt  uint64
	Endpoint structs.EndpointName
	Reason   structs.Reason
}

// Conclude gives the request its outcome. There is exactly one per Accept.
type Conclude struct {
	Request  structs.RequestID
	Outcome  structs.Outcome
	Reason   structs.Reason
	Detail   string
	Endpoint structs.EndpointName
	// RetryAfter is zero when no time helps.
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
