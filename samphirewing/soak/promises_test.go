package soak

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// answeredRequest returns a request that was answered after 20 ms.
func answeredRequest(id, route string, ms int, status int, change ...func(*outcome)) outcome {
	o := outcome{id: id, route: route, key: operator.APIKey, daemon: "daemon-1", incarnation: 1, sentAt: at(ms), endedAt: at(ms + 20)}
	o.answer = caller.Response{Status: status, Dialled: true, Signed: status == 200, Body: []byte(answerBody(id, route))}
	for _, c := range change {
		c(&o)
	}
	return o
}

func answerBody(id, route string) string {
	if !routeByName(route).stream {
		return fmt.Sprintf("/%s/%s by orders-1 for shop\n", route, id)
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d of %s by engine-1\n\n", n, n, id)
	}
	return b.String()
}

// takenUpStream returns streams that break off after their first event and are taken up,
// with the rest from an engine or another status.
func takenUpStream(engine string, status, times int) (e evidence) {
	for n := range times {
		first := answeredRequest(fmt.Sprint("first-", n), "draft", 0, 200, withBody(fmt.Sprintf("id: 1\ndata: event 1 of first-%d by engine-1\n\n", n)))
		first.answer.Err = errors.New("cut")
		body := ""
		for event := 2; event <= streamEvents; event++ {
			body += fmt.Sprintf("id: %d\ndata: event %d of rest-%d by %s\n\n", event, event, n, engine)
		}
		rest := answeredRequest(fmt.Sprint("rest-", n), "draft", 1000, status, withBody(body))
		rest.resumes, rest.lastEvent = first.id, 1
		e.outcomes = append(e.outcomes, first, rest)
		e.arrivals = append(e.arrivals, ranArrival(first.id, "engine-1", 0))
		if status == 200 {
			e.arrivals = append(e.arrivals, ranArrival(rest.id, engine, 1000))
		}
	}
	return e
}

func ranArrival(id, endpoint string, ms int) arrival {
	return arrival{Arrival: runner.Arrival{Request: id, At: at(ms), Ran: true}, endpoint: endpoint, incarnation: 1}
}

func rejectedArrival(id, endpoint string, ms int) arrival {
	a := ranArrival(id, endpoint, ms)
	a.Ran = false
	return a
}

func withBody(text string) func(*outcome) {
	return func(o *outcome) { o.answer.Body = []byte(text) }
}

func withVersion(version int) func(*outcome) { return func(o *outcome) { o.version = version } }

func cutAfter(after int) func(*outcome) {
	return func(o *outcome) {
		o.endedAt = o.sentAt.Add(time.Duration(after) * time.Millisecond)
		o.answer.Err = errors.New("connection reset")
	}
}

func linkFault(scope string, from, to int) span {
	return span{kind: linkReset, scope: scope, from: at(from), to: at(to)}
}

// requestSeries returns n requests, gap apart, each with an arrival; with repeat,
// each also has a rejected arrival at another endpoint.
func requestSeries(n int, gap time.Duration, change func(int, *outcome), repeat bool) (e evidence) {
	for i := range n {
		id, ms := fmt.Sprint("m", i), int(time.Duration(i)*gap/time.Millisecond)
		o := answeredRequest(id, "lookup", ms, 200)
		if change != nil {
			change(i, &o)
		}
		e.outcomes = append(e.outcomes, o)
		e.arrivals = append(e.arrivals, ranArrival(id, "orders-1", ms))
		if repeat {
			e.arrivals = append(e.arrivals, rejectedArrival(id, "orders-2", ms+5))
		}
	}
	return e
}

func asCapped(_ int, o *outcome) { o.capped = true }

// poisonSeries has five crashes by a part until 5 s, then four requests with it
// from a time on.
func poisonSeries(from int) (e evidence) {
	for n := range crashesUntilBlocked {
		e.crashes = append(e.crashes, crashRecord{"dead", at(1000 * (n + 1))})
	}
	for n := range sendsAfterwards + 1 {
		id, ms := fmt.Sprint("p", n), from+20*n
		a := ranArrival(id, "engine-1", ms)
		a.Parts = []string{"a", "dead"}
		e.arrivals = append(e.arrivals, a)
		e.outcomes = append(e.outcomes, answeredRequest(id, "draft", ms-5, 502))
	}
	return e
}

// limitSeries has 10 s of twenty requests a second to an endpoint that names a
// limit.
func limitSeries(limit float64) (e evidence) {
	e.spans = []span{{kind: endpointLimit, scope: "engine-1", from: at(0), to: at(10000)}}
	for ms := 0; ms < 10000; ms += 50 {
		id := fmt.Sprint("l", ms)
		a := ranArrival(id, "engine-1", ms)
		a.RateLimit = limit
		e.arrivals = append(e.arrivals, a)
		e.outcomes = append(e.outcomes, answeredRequest(id, "draft", ms, 200))
	}
	return e
}

// noticeSeries has an arrival that change turns into a notice of the endpoint, then
// four requests from a time on.
func noticeSeries(from int, change func(*arrival)) (e evidence) {
	for n := range 5 {
		id, ms := fmt.Sprint("n", n), 0
		if n > 0 {
			ms = from + 20*n
		}
		a := ranArrival(id, "orders-1", ms)
		if n == 0 {
			change(&a)
		}
		e.arrivals = append(e.arrivals, a)
		e.outcomes = append(e.outcomes, answeredRequest(id, "confirm", ms-5, 200))
	}
	return e
}

// rolloutSeries has requests of which a bad version fails the given number, one each
// 10 ms. Each tenth request goes to the old version in addition. The last one to the
// bad version is late by the given time.
func rolloutSeries(exposed, lastLateMs int) evidence {
	e := evidence{rollouts: []rolloutRecord{{target: "v2", orderedAt: at(0), endpoints: map[string]bool{"new-1": true}}}}
	for n := range exposed {
		ms := 10 + 10*n
		if n == exposed-1 {
			ms += lastLateMs
		}
		id := fmt.Sprint("n", n)
		a := ranArrival(id, "new-1", ms)
		a.Failed = true
		e.arrivals = append(e.arrivals, a)
		e.outcomes = append(e.outcomes, answeredRequest(id, "confirm", ms-5, 500))
		if n%10 == 0 {
			e.outcomes = append(e.outcomes, answeredRequest(fmt.Sprint("o", n), "confirm", ms-5, 200))
		}
	}
	return e
}

func asLeaving(a *arrival) { a.Leaving = true }

func asBackoff(a *arrival) { a.Ran, a.Backoff = false, 3*time.Second }

// In each case, the check must report a violation in the broken evidence and none
// in the kept evidence, which differs as little as possible.
func TestEveryPromiseCheckFindsItsViolation(t *testing.T) {
	versions := []publication{{1, at(0)}, {2, at(1000)}}
	cases := []struct {
		name         string
		promise      promise
		broken, kept evidence
	}{
		{"a call that runs at most once runs twice", "runs at most once",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 200)}, arrivals: []arrival{ranArrival("a", "orders-1", 5), ranArrival("a", "orders-2", 9)}},
			evidence{outcomes: []outcome{answeredRequest("a", "lookup", 0, 200)}, arrivals: []arrival{ranArrival("a", "orders-1", 5), ranArrival("a", "orders-2", 9)}}},
		{"a repeatable call runs on too many endpoints", "runs at most once",
			evidence{outcomes: []outcome{answeredRequest("a", "lookup", 0, 200)}, arrivals: []arrival{ranArrival("a", "orders-1", 5), ranArrival("a", "orders-2", 9), ranArrival("a", "orders-3", 12)}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 200)}, arrivals: []arrival{rejectedArrival("a", "orders-1", 5), ranArrival("a", "orders-2", 9)}}},
		{"another request's answer", "whole and own answer",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 200, withBody(answerBody("b", "confirm")))}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 200)}}},
		{"a stream that ends early as if complete", "whole and own answer",
			evidence{outcomes: []outcome{answeredRequest("a", "draft", 0, 200, withBody("id: 1\ndata: event 1 of a by engine-1\n\n"))}},
			evidence{outcomes: []outcome{answeredRequest("a", "draft", 0, 200, withBody("id: 1\ndata: event 1 of a by engine-1\n\n"), cutAfter(20))}, spans: []span{linkFault("", 0, 100)}}},
		{"an event twice", "whole and own answer",
			evidence{outcomes: []outcome{answeredRequest("a", "draft", 0, 200, withBody(strings.Replace(answerBody("a", "draft"), "id: 3", "id: 2", 1)))}},
			evidence{outcomes: []outcome{answeredRequest("a", "draft", 0, 200)}}},
		{"a success not from an endpoint", "whole and own answer",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 200, func(o *outcome) { o.answer.Signed = false })}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 503)}}},
		{"rejected but run", "not run is true",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 503)}, arrivals: []arrival{ranArrival("a", "orders-1", 5)}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 503)}, arrivals: []arrival{rejectedArrival("a", "orders-1", 5)}}},
		{"rejected but run later", "not run is true",
			evidence{outcomes: []outcome{answeredRequest("a", "suggest", 0, 429)}, arrivals: []arrival{ranArrival("a", "engine-1", 900)}},
			evidence{outcomes: []outcome{answeredRequest("a", "suggest", 0, 502)}, arrivals: []arrival{ranArrival("a", "engine-1", 5)}}},
		{"a valid key denied", "valid requests are not denied",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 401)}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 429)}}},
		{"an old version after a newer one in one incarnation", "a version never goes back",
			evidence{publications: versions, outcomes: []outcome{answeredRequest("a", "confirm", 1010, 200, withVersion(2)), answeredRequest("b", "confirm", 1300, 200, withVersion(1))}},
			evidence{publications: versions, outcomes: []outcome{answeredRequest("a", "confirm", 1010, 200, withVersion(2)), answeredRequest("b", "confirm", 1200, 200, withVersion(1))}}},
		{"an old version after the bound", "a version is in force in time",
			evidence{publications: versions, outcomes: []outcome{answeredRequest("a", "confirm", 3010, 200, withVersion(1))}},
			evidence{publications: versions, outcomes: []outcome{answeredRequest("a", "confirm", 3010, 200, withVersion(1))}, spans: []span{linkFault("daemon-1", 100, 900)}}},
		{"a new version unknown after the bound", "a version is in force in time",
			evidence{publications: versions, outcomes: []outcome{answeredRequest("a", "confirm", 3010, 401, withVersion(2))}},
			evidence{publications: versions, outcomes: []outcome{answeredRequest("a", "confirm", 2990, 401, withVersion(2))}}},
		{"a leaving endpoint still receives requests", "a leaving endpoint is left",
			evidence{drainNotices: []drainNotice{{"orders-1", 1, at(0)}}, outcomes: []outcome{answeredRequest("a", "confirm", 2000, 200)}, arrivals: []arrival{ranArrival("a", "orders-1", 2010)}},
			evidence{drainNotices: []drainNotice{{"orders-1", 1, at(0)}}, outcomes: []outcome{answeredRequest("a", "confirm", 1980, 200)}, arrivals: []arrival{ranArrival("a", "orders-1", 1990)}}},
		{"a running request is lost in a planned stop", "planned work loses nothing",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 5000, 0, cutAfter(30))}, arrivals: []arrival{ranArrival("a", "orders-1", 5005)}, spans: []span{{kind: daemonTerm, scope: "daemon-1", from: at(4000), to: at(9000)}}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 5000, 0, cutAfter(30))}, spans: []span{{kind: daemonTerm, scope: "daemon-1", from: at(4000), to: at(9000)}}}},
		{"a fault of another daemon does not excuse a lost request", "planned work loses nothing",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 5000, 0, cutAfter(250))}, spans: []span{linkFault("daemon-2", 4000, 5000)}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 5000, 0, cutAfter(250))}, spans: []span{linkFault("daemon-1", 1000, 2100)}}},
		{"an answer that never comes", "answered in time",
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 0, func(o *outcome) { o.endedAt = at(5600) })}},
			evidence{outcomes: []outcome{answeredRequest("a", "confirm", 0, 504, func(o *outcome) { o.endedAt = at(5400) })}}},
		{"a stop exceeds its grace period", "a stop ends in time",
			evidence{overdueStops: []overdueStop{{"daemon-1", at(9000)}}, spans: []span{linkFault("daemon-1", 1000, 2000)}},
			evidence{overdueStops: []overdueStop{{"daemon-1", at(9000)}}, spans: []span{{kind: starved, from: at(5000), to: at(5400)}}}},
		{"more than the quota", "quota over all daemons", requestSeries(80, 90*time.Millisecond, asCapped, false), requestSeries(72, 100*time.Millisecond, asCapped, false)},
		{"more repeats than the budget", "retry budget over all daemons", requestSeries(60, 50*time.Millisecond, nil, true), requestSeries(12, 50*time.Millisecond, nil, true)},
		{"a part that crashes endpoints is sent on", "deadly prompt parts are left", poisonSeries(9100), poisonSeries(7900)},
		{"an endpoint gets more than its limit", "limits of endpoints are kept", limitSeries(5), limitSeries(20)},
		{"an endpoint that says it leaves is used", "a leaving answer is heeded", noticeSeries(2100, asLeaving), noticeSeries(1900, asLeaving)},
		{"a bad version gets more than its share", "bad versions are contained", rolloutSeries(80, 0), rolloutSeries(52, 0)},
		{"a bad version gets a request after its roll-back time", "bad versions are contained", rolloutSeries(51, 5100), rolloutSeries(51, 4900)},
		{"a bad version completes", "one verdict on a version",
			evidence{statuses: []recordedStatus{{"in_progress", "v2"}, {"completed", "v2"}}},
			evidence{statuses: []recordedStatus{{"in_progress", "v2"}, {"rolled_back", "v2"}, {"in_progress", "v3"}}}},
		{"a verdict is replaced", "one verdict on a version",
			evidence{statuses: []recordedStatus{{"rolled_back", "v2"}, {"in_progress", "v2"}}},
			evidence{statuses: []recordedStatus{{"in_progress", "v2"}, {"in_progress", "v2"}, {"rolled_back", "v2"}}}},
		{"a stream goes on at another version", "streams hold one version", takenUpStream("engine-3", 200, 1), takenUpStream("engine-2", 200, 1)},
		{"streams taken up are refused", "streams go on", takenUpStream("engine-1", 503, takenUpEnough), takenUpStream("engine-1", 200, takenUpEnough)},
		{"an endpoint in backoff is used", "a backoff is kept", noticeSeries(2000, asBackoff), noticeSeries(3000, asBackoff)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := false
			for _, v := range violations(c.broken) {
				found = found || v.promise == c.promise
			}
			assert.Assert(t, found, "the check %q found nothing", c.promise)
			for _, v := range violations(c.kept) {
				assert.Assert(t, v.promise != c.promise, v.text)
			}
		})
	}
	covered := map[promise]bool{}
	for _, c := range cases {
		covered[c.promise] = true
	}
	assert.Equal(t, len(covered), len(checks), "every promise needs a case that breaks it")
}
