package load

import (
	"net/http"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// Outcome is the outcome of a request as its caller sees it.
type Outcome string

// The outcomes. The system reports the first four under these names.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeFailed  Outcome = "failed"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInvalid is a request that the system rejected as invalid or
	// unauthenticated.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeLost is a request whose outcome is unknown because its connection
	// was lost or the answer could not be read.
	OutcomeLost Outcome = "lost"
)

// Verdict is the result of checking an answer.
type Verdict string

// The verdicts.
const (
	VerdictNone       Verdict = ""
	VerdictComplete   Verdict = "whole"
	VerdictWrong      Verdict = "wrong"
	VerdictTruncated  Verdict = "cut"
	VerdictDuplicated Verdict = "doubled"
)

// The reasons that this package adds to the system's own.
const (
	ReasonConnectionLost structs.Reason = "connection_lost"
	ReasonNoEntry        structs.Reason = "no_entry_reachable"
	ReasonBadAnswer      structs.Reason = "answer_not_understood"
)

// result is the result of one request.
type result struct {
	request Request
	// ids are the ids that the system assigned to the request, one for each
	// time that it accepted it.
	ids     []structs.RequestID
	outcome Outcome
	reason  structs.Reason
	detail  string
	verdict Verdict
	// firstToken and totalLatency count from the request's arrival; zero when
	// not reached.
	firstToken   time.Duration
	totalLatency time.Duration
	// gaps are the times between consecutive chunks of the answer.
	gaps []time.Duration
	// reconnects and reroutes count the caller's recovery attempts.
	reconnects int
	reroutes   int
}

// id returns the latest id of the request, or "".
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

// isGood reports whether the answer was complete, correct and within its
// deadline.
func (r result) isGood() bool {
	if r.outcome != OutcomeDone || r.verdict != VerdictComplete {
		return false
	}
	return r.request.DeadlineMs == 0 || r.totalLatency <= r.request.Deadline()
}
