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

// The bounds that the users state for their deployments.
const (
	contact         = 3 * time.Second
	drainBound      = 2 * time.Second
	applyBound      = 2 * time.Second
	downgradeSlack  = 250 * time.Millisecond
	lossSlack       = 200 * time.Millisecond
	answerSlack     = 500 * time.Millisecond
	budgetWindow    = 10 * time.Second
	quotaWindow     = 8 * time.Second
	quotaOverage    = 0.1
	quotaTolerance  = 140000
	recoverBound    = 12 * time.Second
	recoveredShare  = 0.9
	requestDeadline = 5 * time.Second
	cappedTokens    = 5000
)

// route is what callers know of a route.
type route struct {
	name, pool string
	stream     bool
	// mostRuns is on how many endpoints a request may run.
	mostRuns int
}

var routes = []route{
	{name: "draft", pool: operator.Engines, stream: true, mostRuns: 2},
	{name: "suggest", pool: operator.Engines, stream: true, mostRuns: 1},
	{name: "confirm", pool: operator.Orders, mostRuns: 1},
	{name: "lookup", pool: operator.Orders, mostRuns: 2},
}

func routeOf(name string) route {
	for _, r := range routes {
		if r.name == name {
			return r
		}
	}
	panic("no route " + name)
}

// promise names what a check holds the daemons to.
type promise string

// violation is one broken promise.
type violation struct {
	promise promise
	at      time.Time
	text    string
}

// checks hold each promise against the evidence.
var checks = map[promise]func(*ledger) []violation{
	"runs at most once":             checkRuns,
	"whole and own answer":          checkAnswers,
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
}

// ledger is evidence with its indexes.
type ledger struct {
	evidence
	byRequest map[string][]arrival
	sentBy    map[string]outcome
}

// violations checks all promises, in order of time.
func violations(e evidence) []violation {
	l := &ledger{evidence: e, byRequest: map[string][]arrival{}, sentBy: map[string]outcome{}}
	for _, a := range e.arrivals {
		l.byRequest[a.Request] = append(l.byRequest[a.Request], a)
	}
	for _, o := range e.outcomes {
		l.sentBy[o.id] = o
	}
	var all []violation
	for name, check := range checks {
		for _, v := range check(l) {
			v.promise = name
			all = append(all, v)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

func (o outcome) broken(format string, args ...any) violation {
	return violation{at: o.ended, text: fmt.Sprintf("request %s (%s) by %s life %d: ", o.id, o.route, o.daemon, o.life) + fmt.Sprintf(format, args...)}
}

// runs returns how often the request ran.
func (l *ledger) runs(id string) int {
	n := 0
	for _, a := range l.byRequest[id] {
		if a.Ran {
			n++
		}
	}
	return n
}

// disturbed tells whether a fault that is no planned work touched one of the
// scopes from some time before from until to.
func (l *ledger) disturbed(from, to time.Time, scopes ...string) bool {
	for _, s := range l.spans {
		if s.kind.planned() || s.from.After(to) || s.to.Add(contact).Before(from) {
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

// scopes are the daemon and the endpoints that a request touched.
func (l *ledger) scopes(o outcome) []string {
	scopes := []string{o.daemon}
	for _, a := range l.byRequest[o.id] {
		scopes = append(scopes, a.endpoint)
	}
	return scopes
}

func checkRuns(l *ledger) (all []violation) {
	for _, o := range l.outcomes {
		if runs, most := l.runs(o.id), routeOf(o.route).mostRuns; runs > most {
			all = append(all, o.broken("ran %d times, at most %d allowed", runs, most))
		}
	}
	return all
}

func checkAnswers(l *ledger) (all []violation) {
	for _, o := range l.outcomes {
		if o.answer.Status != http.StatusOK || o.answer.Err != nil {
			continue
		}
		if fault := answerFault(o); fault != "" {
			all = append(all, o.broken("%s: %q", fault, o.answer.Body))
		}
	}
	return all
}

// answerFault tells what is wrong with an answer that ended as a success.
func answerFault(o outcome) string {
	if !o.answer.Signed {
		return "a success without an endpoint's signature"
	}
	if !routeOf(o.route).stream {
		if !strings.HasPrefix(string(o.answer.Body), "/"+o.route+"/"+o.id+" by ") || !strings.HasSuffix(string(o.answer.Body), "\n") {
			return "not the whole answer to this request"
		}
		return ""
	}
	events := caller.Events(o.answer.Body)
	for i, e := range events {
		if e.Number != strconv.Itoa(i+1) || !e.Complete || !strings.HasPrefix(e.Data, fmt.Sprintf("event %d of %s by ", i+1, o.id)) {
			return fmt.Sprintf("event %d is missing, doubled or another request's", i+1)
		}
	}
	if len(events) != streamEvents {
		return "the stream ended as complete before its last event"
	}
	return ""
}

// saysNotRun tells whether a status promises that the request did not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func checkNotRun(l *ledger) (all []violation) {
	for _, o := range l.outcomes {
		if saysNotRun(o.answer.Status) && routeOf(o.route).mostRuns == 1 && l.runs(o.id) > 0 {
			all = append(all, o.broken("answered %d and ran", o.answer.Status))
		}
	}
	return all
}

// denied tells whether a status says that the request is not allowed.
func denied(status int) bool {
	return status >= 400 && status < 500 && !saysNotRun(status)
}

func checkDenied(l *ledger) (all []violation) {
	for _, o := range l.outcomes {
		if o.version == 0 && denied(o.answer.Status) {
			all = append(all, o.broken("denied with %d, though every configuration allows it", o.answer.Status))
		}
	}
	return all
}

// checkVersionBack follows each life of a daemon: once it has used a version,
// it never decides by an older one.
func checkVersionBack(l *ledger) (all []violation) {
	type process struct {
		daemon string
		life   int
	}
	witnessed := map[process][]outcome{}
	for _, o := range l.outcomes {
		if o.version > 0 && o.life > 0 && o.answer.Status == http.StatusOK {
			witnessed[process{o.daemon, o.life}] = append(witnessed[process{o.daemon, o.life}], o)
		}
	}
	for p, uses := range witnessed {
		for _, later := range uses {
			for _, earlier := range uses {
				if earlier.version > later.version && later.sent.Sub(earlier.ended) > downgradeSlack {
					all = append(all, later.broken("version %d was in force %v after version %d, in life %d", later.version, later.sent.Sub(earlier.ended), earlier.version, p.life))
				}
			}
		}
	}
	return all
}

// checkVersionLate finds decisions by an old version.
func checkVersionLate(l *ledger) (all []violation) {
	accepted := map[int]time.Time{}
	for _, p := range l.publications {
		accepted[p.version] = p.at
	}
	for _, o := range l.outcomes {
		next, replaced := accepted[o.version+1]
		own, known := accepted[o.version]
		late := func(from time.Time) bool {
			return o.sent.Sub(from) > applyBound && !l.disturbed(from, o.ended, o.daemon)
		}
		switch {
		case !known || o.life == 0:
		case o.answer.Status == http.StatusOK && replaced && late(next):
			all = append(all, o.broken("version %d was in force %v after the next", o.version, o.sent.Sub(next)))
		case o.answer.Status == http.StatusUnauthorized && (!replaced || next.After(o.ended)) && late(own):
			all = append(all, o.broken("version %d was not in force %v after it was accepted", o.version, o.sent.Sub(own)))
		}
	}
	return all
}

func checkLeaving(l *ledger) (all []violation) {
	for _, leave := range l.leavings {
		for _, a := range l.arrivals {
			o, known := l.sentBy[a.Request]
			if !known || a.endpoint != leave.endpoint || a.life != leave.life || a.At.Sub(leave.at) <= drainBound {
				continue
			}
			if !l.disturbed(leave.at, a.At, o.daemon, a.endpoint) {
				all = append(all, o.broken("reached %s %v after it announced its leaving", a.endpoint, a.At.Sub(leave.at)))
			}
		}
	}
	return all
}

// checkPlannedWork finds requests that were cut though nothing unplanned went
// on.
func checkPlannedWork(l *ledger) (all []violation) {
	for _, o := range l.outcomes {
		if o.answer.Err == nil || !o.answer.Dialled || l.disturbed(o.sent, o.ended, l.scopes(o)...) {
			continue
		}
		// A request that crosses the end of an idle connection was not read.
		if len(l.byRequest[o.id]) == 0 && o.ended.Sub(o.sent) <= lossSlack {
			continue
		}
		all = append(all, o.broken("cut after %v: %v", o.ended.Sub(o.sent), o.answer.Err))
	}
	return all
}

func checkAnsweredInTime(l *ledger) (all []violation) {
	for _, o := range l.outcomes {
		if o.ended.Sub(o.sent) > requestDeadline+answerSlack && !l.disturbed(o.sent, o.ended, l.scopes(o)...) {
			all = append(all, o.broken("no final answer within %v", o.ended.Sub(o.sent)))
		}
	}
	return all
}

// checkStops finds stops that had to be cut short; only a machine that gave the
// soak no time excuses them.
func checkStops(l *ledger) (all []violation) {
	for _, o := range l.overstays {
		excused := false
		for _, s := range l.spans {
			excused = excused || s.kind == starved && s.to.After(o.at.Add(-grace)) && s.from.Before(o.at)
		}
		if !excused {
			all = append(all, violation{at: o.at, text: fmt.Sprintf("%s still ran %v after SIGTERM", o.daemon, grace)})
		}
	}
	return all
}

func checkQuota(l *ledger) (all []violation) {
	var runs []arrival
	for _, a := range l.arrivals {
		if l.sentBy[a.Request].capped && a.Ran {
			runs = append(runs, a)
		}
	}
	most := (cappedRate*quotaWindow.Seconds()+cappedBurst)*(1+quotaOverage) + quotaTolerance
	return overWindow(runs, quotaWindow, func(to time.Time, n int) string {
		if tokens := float64(n * cappedTokens); tokens > most {
			return fmt.Sprintf("organisation %s ran %.0f tokens in %v, at most %.0f allowed", capped, tokens, quotaWindow, most)
		}
		return ""
	})
}

func checkRetryBudget(l *ledger) (all []violation) {
	for _, pool := range []string{operator.Engines, operator.Orders} {
		var repeats []arrival
		for id, arrivals := range l.byRequest {
			if o, known := l.sentBy[id]; !known || routeOf(o.route).pool != pool {
				continue
			}
			sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
			repeats = append(repeats, arrivals[1:]...)
		}
		all = append(all, overWindow(repeats, budgetWindow, func(to time.Time, n int) string {
			asked := l.mostAsked(pool, to)
			if most := retryRatio*float64(asked) + retryAllowance; float64(n) > most {
				return fmt.Sprintf("%s got %d repeats in %v, at most %.0f allowed", pool, n, budgetWindow, most)
			}
			return ""
		})...)
	}
	return all
}

// mostAsked returns the requests for a pool in the budget's window, the one
// before or the one half a window before, whichever has most.
func (l *ledger) mostAsked(pool string, end time.Time) int {
	most := 0
	for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
		to, asked := end.Add(-back), 0
		for _, o := range l.outcomes {
			if routeOf(o.route).pool == pool && !o.sent.After(to) && to.Sub(o.sent) <= budgetWindow {
				asked++
			}
		}
		most = max(most, asked)
	}
	return most
}

// overWindow slides a window over arrivals and returns the first fault found.
func overWindow(arrivals []arrival, window time.Duration, fault func(to time.Time, n int) string) []violation {
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	first := 0
	for i, a := range arrivals {
		for a.At.Sub(arrivals[first].At) > window {
			first++
		}
		if text := fault(a.At, i-first+1); text != "" {
			return []violation{{at: a.At, text: text}}
		}
	}
	return nil
}
