package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/operator"
)

// The bounds that the users state for their deployments, and the tolerances of
// the checks.
const (
	contactTimeout       = 3 * time.Second
	drainBound           = 2 * time.Second
	applyBound           = 2 * time.Second
	versionRollbackSlack = 250 * time.Millisecond
	idleCloseSlack       = 200 * time.Millisecond
	answerSlack          = 500 * time.Millisecond
	budgetWindow         = 10 * time.Second
	quotaWindow          = 8 * time.Second
	quotaOverage         = 0.1
	quotaTolerance       = 140000
	recoverBound         = 12 * time.Second
	recoveredShare       = 0.9
	requestDeadline      = 5 * time.Second
	cappedTokens         = 5000
	limitWindow          = 4 * time.Second
	limitKnownAfter      = 500 * time.Millisecond
	// crashesUntilBlocked is the number of crashes after which a prompt part may be
	// sent sendsAfterwards times more.
	crashesUntilBlocked = 5
	sendsAfterwards     = 3
)

// route describes a route as the callers know it.
type route struct {
	name, pool string
	stream     bool
	// maxRuns is the maximum number of endpoints on which a request may run.
	maxRuns  int
	deadline time.Duration
	// resumable streams are taken up by their callers when they break off.
	resumable bool
}

// routes are those of the ordinary load.
var routes = []route{
	{name: "draft", pool: operator.Engines, stream: true, maxRuns: 2, deadline: requestDeadline, resumable: true},
	{name: "suggest", pool: operator.Engines, stream: true, maxRuns: 1, deadline: requestDeadline},
	{name: "confirm", pool: operator.Orders, maxRuns: 1, deadline: requestDeadline},
	{name: "lookup", pool: operator.Orders, maxRuns: 2, deadline: requestDeadline},
}

func routeByName(name string) route {
	for _, r := range append(routes[:len(routes):len(routes)], batchRoute) {
		if r.name == name {
			return r
		}
	}
	panic("no route " + name)
}

// promise names a guarantee of the product that a check verifies.
type promise string

// violation is one broken promise.
type violation struct {
	promise promise
	at      time.Time
	text    string
}

// checks maps each promise to the check that finds its violations.
var checks = map[promise]func(*evidenceIndex) []violation{
	"runs at most once":             checkRuns,
	"whole and own answer":          checkAnswers,
	"streams hold one version":      checkVersions,
	"streams go on":                 checkTakenUp,
	"not run is true":               checkNotRun,
	"valid requests are not denied": checkDenied,
	"a version never goes back":     checkVersionBack,
	"a version is in force in time": checkVersionLate,
	"a leaving endpoint is left":    checkLeaving,
	"planned work loses nothing":    checkPlannedWork,
	"answered in time":              checkAnsweredInTime,
	"a stop ends in time":           checkStops,
	"quota over all daemons":        checkQuota,
	"retry budget over all daemons": checkRetryBudget,
	"deadly prompt parts are left":  checkPoison,
	"limits of endpoints are kept":  checkLimit,
	"a leaving answer is heeded":    checkLeavingAnswer,
	"a backoff is kept":             checkBackoff,
	"bad versions are contained":    checkExposure,
	"one verdict on a version":      checkVerdicts,
}

// evidenceIndex is evidence with lookup indexes by request.
type evidenceIndex struct {
	evidence
	arrivalsByRequest map[string][]arrival
	outcomeByRequest  map[string]outcome
}

// violations checks all promises and returns the violations in order of time.
func violations(e evidence) []violation {
	index := &evidenceIndex{evidence: e, arrivalsByRequest: map[string][]arrival{}, outcomeByRequest: map[string]outcome{}}
	for _, a := range e.arrivals {
		index.arrivalsByRequest[a.Request] = append(index.arrivalsByRequest[a.Request], a)
	}
	for _, o := range e.outcomes {
		index.outcomeByRequest[o.id] = o
	}
	var all []violation
	for name, check := range checks {
		for _, v := range check(index) {
			v.promise = name
			all = append(all, v)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

func (o outcome) newViolation(format string, args ...any) violation {
	return violation{at: o.endedAt, text: fmt.Sprintf("request %s (%s) by %s life %d: ", o.id, o.route, o.daemon, o.incarnation) + fmt.Sprintf(format, args...)}
}

// runs returns the number of times that the request ran on an endpoint.
func (index *evidenceIndex) runs(id string) int {
	n := 0
	for _, a := range index.arrivalsByRequest[id] {
		if a.Ran {
			n++
		}
	}
	return n
}

// isDisturbed reports whether an unplanned fault affected one of the scopes
// between from and to. A fault counts for contactTimeout after its end.
func (index *evidenceIndex) isDisturbed(from, to time.Time, scopes ...string) bool {
	for _, s := range index.spans {
		if s.kind.isPlanned() || s.from.After(to) || s.to.Add(contactTimeout).Before(from) {
			continue
		}
		if s.scope == "" {
			return true
		}
		for _, scope := range scopes {
			if s.scope == scope {
				return true
			}
		}
	}
	return false
}

// scopesOf returns the daemon and the endpoints that handled a request.
func (index *evidenceIndex) scopesOf(o outcome) []string {
	scopes := []string{o.daemon}
	for _, a := range index.arrivalsByRequest[o.id] {
		scopes = append(scopes, a.endpoint)
	}
	return scopes
}

func checkRuns(index *evidenceIndex) (all []violation) {
	for _, o := range index.outcomes {
		if runs, limit := index.runs(o.id), routeByName(o.route).maxRuns; runs > limit {
			all = append(all, o.newViolation("ran %d times, at most %d allowed", runs, limit))
		}
	}
	return all
}

func checkAnswers(index *evidenceIndex) (all []violation) {
	for _, o := range index.outcomes {
		if o.answer.Status != http.StatusOK || o.answer.Err != nil {
			continue
		}
		if fault := answerError(o); fault != "" {
			all = append(all, o.newViolation("%s: %q", fault, o.answer.Body))
		}
	}
	return all
}

// answerError describes the error in a successful answer, or returns "" when it
// is correct.
func answerError(o outcome) string {
	if !o.answer.Signed {
		return "a success without an endpoint's signature"
	}
	if !routeByName(o.route).stream {
		if !strings.HasPrefix(string(o.answer.Body), "/"+o.route+"/"+o.id+" by ") || !strings.HasSuffix(string(o.answer.Body), "\n") {
			return "not the whole answer to this request"
		}
		return ""
	}
	events := caller.ParseEvents(o.answer.Body)
	for i, e := range events {
		n := o.lastEvent + i + 1
		if e.ID != strconv.Itoa(n) || !e.Complete || !strings.HasPrefix(e.Data, fmt.Sprintf("event %d of %s by ", n, o.id)) {
			return fmt.Sprintf("event %d is missing, doubled or another request's", n)
		}
	}
	if o.lastEvent+len(events) != streamEvents {
		return "the stream ended as complete before its last event"
	}
	return ""
}

// impliesNotRun reports whether a status promises that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func checkNotRun(index *evidenceIndex) (all []violation) {
	for _, o := range index.outcomes {
		if impliesNotRun(o.answer.Status) && routeByName(o.route).maxRuns == 1 && index.runs(o.id) > 0 {
			all = append(all, o.newViolation("answered %d and ran", o.answer.Status))
		}
	}
	return all
}

// isDenied reports whether a status means that the request is not allowed.
func isDenied(status int) bool {
	return status >= 400 && status < 500 && !impliesNotRun(status)
}

func checkDenied(index *evidenceIndex) (all []violation) {
	for _, o := range index.outcomes {
		if o.version == 0 && isDenied(o.answer.Status) {
			all = append(all, o.newViolation("denied with %d, though every configuration allows it", o.answer.Status))
		}
	}
	return all
}

// checkVersionBack finds daemons that apply an older version after a newer one
// within the same incarnation.
func checkVersionBack(index *evidenceIndex) (all []violation) {
	type process struct {
		daemon      string
		incarnation int
	}
	witnessed := map[process][]outcome{}
	for _, o := range index.outcomes {
		if o.version > 0 && o.incarnation > 0 && o.answer.Status == http.StatusOK {
			witnessed[process{o.daemon, o.incarnation}] = append(witnessed[process{o.daemon, o.incarnation}], o)
		}
	}
	for p, uses := range witnessed {
		for _, later := range uses {
			for _, earlier := range uses {
				if earlier.version > later.version && later.sentAt.Sub(earlier.endedAt) > versionRollbackSlack {
					all = append(all, later.newViolation("version %d was in force %v after version %d, in life %d", later.version, later.sentAt.Sub(earlier.endedAt), earlier.version, p.incarnation))
				}
			}
		}
	}
	return all
}

// checkVersionLate finds daemons that still apply a replaced version, or don't
// yet apply an accepted one, more than applyBound after the change.
func checkVersionLate(index *evidenceIndex) (all []violation) {
	accepted := map[int]time.Time{}
	for _, p := range index.publications {
		accepted[p.version] = p.at
	}
	for _, o := range index.outcomes {
		next, replaced := accepted[o.version+1]
		own, known := accepted[o.version]
		late := func(from time.Time) bool {
			return o.sentAt.Sub(from) > applyBound && !index.isDisturbed(from, o.endedAt, o.daemon)
		}
		switch {
		case !known || o.incarnation == 0:
		case o.answer.Status == http.StatusOK && replaced && late(next):
			all = append(all, o.newViolation("version %d was in force %v after the next", o.version, o.sentAt.Sub(next)))
		case o.answer.Status == http.StatusUnauthorized && (!replaced || next.After(o.endedAt)) && late(own):
			all = append(all, o.newViolation("version %d was not in force %v after it was accepted", o.version, o.sentAt.Sub(own)))
		}
	}
	return all
}

func checkLeaving(index *evidenceIndex) (all []violation) {
	for _, notice := range index.drainNotices {
		for _, a := range index.arrivals {
			o, known := index.outcomeByRequest[a.Request]
			if !known || a.endpoint != notice.endpoint || a.incarnation != notice.incarnation || a.At.Sub(notice.at) <= drainBound {
				continue
			}
			if !index.isDisturbed(notice.at, a.At, o.daemon, a.endpoint) {
				all = append(all, o.newViolation("reached %s %v after it announced its leaving", a.endpoint, a.At.Sub(notice.at)))
			}
		}
	}
	return all
}

// checkPlannedWork finds requests that failed after connecting although no
// unplanned fault was active.
func checkPlannedWork(index *evidenceIndex) (all []violation) {
	for _, o := range index.outcomes {
		if o.answer.Err == nil || !o.answer.Dialled || index.isDisturbed(o.sentAt, o.endedAt, index.scopesOf(o)...) {
			continue
		}
		// A request sent while the daemon closes the idle connection was never
		// read.
		if len(index.arrivalsByRequest[o.id]) == 0 && o.endedAt.Sub(o.sentAt) <= idleCloseSlack {
			continue
		}
		all = append(all, o.newViolation("cut after %v: %v", o.endedAt.Sub(o.sentAt), o.answer.Err))
	}
	return all
}

func checkAnsweredInTime(index *evidenceIndex) (all []violation) {
	for _, o := range index.outcomes {
		if o.endedAt.Sub(o.sentAt) > routeByName(o.route).deadline+answerSlack && !index.isDisturbed(o.sentAt, o.endedAt, index.scopesOf(o)...) {
			all = append(all, o.newViolation("no final answer within %v", o.endedAt.Sub(o.sentAt)))
		}
	}
	return all
}

// checkStops finds stops that exceeded stopGrace. Only CPU starvation of the
// soak process excuses them.
func checkStops(index *evidenceIndex) (all []violation) {
	for _, o := range index.overdueStops {
		excused := false
		for _, s := range index.spans {
			excused = excused || s.kind == starved && s.to.After(o.at.Add(-stopGrace)) && s.from.Before(o.at)
		}
		if !excused {
			all = append(all, violation{at: o.at, text: fmt.Sprintf("%s still ran %v after SIGTERM", o.daemon, stopGrace)})
		}
	}
	return all
}

func checkQuota(index *evidenceIndex) (all []violation) {
	var runs []arrival
	for _, a := range index.arrivals {
		if index.outcomeByRequest[a.Request].capped && a.Ran {
			runs = append(runs, a)
		}
	}
	limit := (cappedRate*quotaWindow.Seconds()+cappedBurst)*(1+quotaOverage) + quotaTolerance
	return checkSlidingWindow(runs, quotaWindow, func(to time.Time, n int) string {
		if tokens := float64(n * cappedTokens); tokens > limit {
			return fmt.Sprintf("organisation %s ran %.0f tokens in %v, at most %.0f allowed", cappedOrganisation, tokens, quotaWindow, limit)
		}
		return ""
	})
}

func checkRetryBudget(index *evidenceIndex) (all []violation) {
	for _, pool := range []string{operator.Engines, operator.Orders} {
		var repeats []arrival
		for id, arrivals := range index.arrivalsByRequest {
			if o, known := index.outcomeByRequest[id]; !known || routeByName(o.route).pool != pool {
				continue
			}
			sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
			repeats = append(repeats, arrivals[1:]...)
		}
		all = append(all, checkSlidingWindow(repeats, budgetWindow, func(to time.Time, n int) string {
			requests := index.maxRequests(pool, to)
			if limit := retryRatio*float64(requests) + retryAllowance; float64(n) > limit {
				return fmt.Sprintf("%s got %d repeats in %v, at most %.0f allowed", pool, n, budgetWindow, limit)
			}
			return ""
		})...)
	}
	return all
}

// maxRequests returns the maximum number of requests for a pool in the budget
// window that ends at end, half a window earlier or a full window earlier.
func (index *evidenceIndex) maxRequests(pool string, end time.Time) int {
	maxCount := 0
	for _, offset := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
		to, requests := end.Add(-offset), 0
		for _, o := range index.outcomes {
			if routeByName(o.route).pool == pool && !o.sentAt.After(to) && to.Sub(o.sentAt) <= budgetWindow {
				requests++
			}
		}
		maxCount = max(maxCount, requests)
	}
	return maxCount
}

// checkSlidingWindow slides a window over the arrivals and returns the first
// violation that check reports for a window's end and arrival count.
func checkSlidingWindow(arrivals []arrival, window time.Duration, check func(to time.Time, n int) string) []violation {
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	first := 0
	for i, a := range arrivals {
		for a.At.Sub(arrivals[first].At) > window {
			first++
		}
		if text := check(a.At, i-first+1); text != "" {
			return []violation{{at: a.At, text: text}}
		}
	}
	return nil
}
