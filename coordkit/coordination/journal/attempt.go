package journal

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
)

const invariantSentOnce invariant.Name = "booking-sent-once-per-attempt"

// attemptState is the stage of an Attempt.
type attemptState int

const (
	attemptPending attemptState = iota
	attemptWon
	attemptSending
	attemptEnded
	attemptAbandoned
)

// Attempt is the state machine of one attempt to run a key's work. It may send
// only after its intent has won, only before its send-by time, and only once.
// It is not safe for concurrent use.
type Attempt struct {
	id    AttemptID
	state attemptState
	// sendBy is on this process's monotonic clock.
	sendBy time.Time
	// mayBeAppended is set when the intent may be in the log.
	mayBeAppended bool
}

// NewAttempt returns an Attempt whose intent has not won yet.
func NewAttempt(id AttemptID, sendBy time.Time) *Attempt {
	return &Attempt{id: id, sendBy: sendBy}
}

// IntentSubmitted records that a writer may have received and appended the
// intent.
func (a *Attempt) IntentSubmitted() { a.mayBeAppended = true }

// IntentWon records that the intent has won the key. It returns false when the
// send-by time has passed or the attempt was abandoned before.
func (a *Attempt) IntentWon(now time.Time) bool {
	if a.state != attemptPending {
		return false
	}
	if !now.Before(a.sendBy) {
		a.state = attemptAbandoned
		return false
	}
	a.state = attemptWon
	return true
}

// StartSend reports whether the work may be sent now, and returns true at most
// once. It must be called right before the work is sent. After it has returned
// false, the attempt never sends.
func (a *Attempt) StartSend(now time.Time) bool {
	if a.state != attemptWon {
		return false
	}
	if !now.Before(a.sendBy) {
		a.state = attemptAbandoned
		return false
	}
	a.state = attemptSending
	return true
}

// Abandon ends an attempt that has not started to send. It returns true when a
// void must be appended because the intent may be in the log.
func (a *Attempt) Abandon() bool {
	switch a.state {
	case attemptPending, attemptWon, attemptAbandoned:
		a.state = attemptAbandoned
		return a.mayBeAppended
	default:
		return false
	}
}

// End finishes the attempt and returns the outcome to be recorded. It is
// OutcomeUnknown when o claims that the work ran although StartSend did not
// return true.
func (a *Attempt) End(o Outcome) Outcome {
	sent := a.state == attemptSending
	a.state = attemptEnded
	if !invariant.Check(sent || o == OutcomeNotRun, invariantSentOnce,
		"attempt %s ends %s without having been allowed to send", a.id, o) {
		return OutcomeUnknown
	}
	return o
}
