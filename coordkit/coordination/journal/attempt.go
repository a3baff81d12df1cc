package journal

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
)

const invariantSentOnce invariant.Name = "booking-sent-once-per-attempt"

// attemptState is how far an Attempt is.
type attemptState int

const (
	attemptAsking attemptState = iota
	attemptWon
	attemptSending
	attemptEnded
	attemptGivenUp
)

// Attempt holds the rules of one try at the entry: it may send only after its
// intent has won, only before its send-by time, and only once.
type Attempt struct {
	id    AttemptID
	state attemptState
	// sendBy is on this process's monotonic clock.
	sendBy time.Time
	// maybeAppended is set when the intent may stand in the log.
	maybeAppended bool
}

// NewAttempt returns an Attempt that asks for its key.
func NewAttempt(id AttemptID, sendBy time.Time) *Attempt {
	return &Attempt{id: id, sendBy: sendBy}
}

// IntentSubmitted notes that the intent went to a writer, which may have appended it.
func (a *Attempt) IntentSubmitted() { a.maybeAppended = true }

// IntentWon takes the writer's answer that the intent holds the key. It returns
// false when that comes too late: the attempt has been given up.
func (a *Attempt) IntentWon(now time.Time) bool {
	if a.state != attemptAsking {
		return false
	}
	if !now.Before(a.sendBy) {
		a.state = attemptGivenUp
		return false
	}
	a.state = attemptWon
	return true
}

// StartSend returns true at most once, right before the work is sent. After
// false the attempt will never send.
func (a *Attempt) StartSend(now time.Time) bool {
	if a.state != attemptWon {
		return false
	}
	if !now.Before(a.sendBy) {
		a.state = attemptGivenUp
		return false
	}
	a.state = attemptSending
	return true
}

// Abandon ends an attempt that has not begun to send. It returns true when a
// void must be appended, because the intent stands or may stand.
func (a *Attempt) Abandon() bool {
	switch a.state {
	case attemptAsking, attemptWon, attemptGivenUp:
		a.state = attemptGivenUp
		return a.maybeAppended
	default:
		return false
	}
}

// End takes the outcome and returns the one to be recorded: work that was sent
// without leave has an unknown outcome.
func (a *Attempt) End(o Outcome) Outcome {
	sent := a.state == attemptSending
	a.state = attemptEnded
	if !invariant.Check(sent || o == OutcomeNotRun, invariantSentOnce,
		"attempt %s ends %s without having been allowed to send", a.id, o) {
		return OutcomeUnknown
	}
	return o
}
