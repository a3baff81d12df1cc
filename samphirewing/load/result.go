package load

import (
	"net/http"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// Outcome is how a request ended in its caller's eyes.
type Outcome string

// The outcomes. The first four are the system's words.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeFailed  Outcome = "failed"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInvalid is a request that the system found at fault.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeLost is a connection lost for good without an outcome.
	OutcomeLost Outcome = "lost"
)

// Verdict is what the check of an answer found.
type Verdict string

// The verdicts.
const (
	VerdictNone    Verdict = ""
	VerdictWhole   Verdict = "whole"
	VerdictWrong   Verdict = "wrong"
	VerdictCut     Verdict = "cut"
	VerdictDoubled Verdict = "doubled"
)

// The reasons that this package gives beside the system's own.
const (
	ReasonConnectionLost structs.Reason = "connection_lost"
	ReasonNoEntry        structs.Reason = "no_entry_reachable"
	ReasonBadAnswer      structs.Reason = "answer_not_understood"
)

// result is what became of one request.
type result struct {
	request Request
	// ids are the system's names for the request, one for each time that the
	// system accepted it.
	ids     []structs.RequestID
	outcome Outcome
	reason  structs.Reason
	detail  string
	verdict Verdict
	// firstToken and whole count from the request's arrival; zero when not
	// reached.
	firstToken time.Duration
	whole      time.Duration
	// gaps are the times between the pieces of the answer.
	gaps []time.Duration
	// reconnects and rerouted count repairs that the caller made.
	reconnects int
	rerouted   int
}

// id returns the system's latest name for the request, or empty.
func (r *result) id() structs.RequestID {
	if len(r.ids) == 0 {
		return ""
	}
	return r.ids[len(r.ids)-1]
}

func (r *result) addID(h http.Header) {
	id := structs.RequestID(h.Get(callerapi.HeaderRequestID))
	if id != "" && id != r.id() {
		r.ids = append(r.ids, id)
	}
}

// good tells whether the answer was whole and within its deadline.
func (r result) good() bool {
	if r.outcome != OutcomeDone || r.verdict != VerdictWhole {
		return false
	}
	return r.request.DeadlineMs == 0 || r.whole <= r.request.Deadline()
}
