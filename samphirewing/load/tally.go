package load

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// maxFaultyAnswers bounds the faulty answers listed in the report.
	maxFaultyAnswers = 20
)

// tally aggregates the results of a run. It is safe for concurrent use.
type tally struct {
	mu                sync.Mutex
	sentCount         int
	completed         int
	notSent           int
	outcomes          map[Outcome]int
	verdicts          map[Verdict]int
	refusals          map[refusalKey]int
	tiers             map[structs.TierName]*tierTally
	firstToken        *hdrhistogram.Histogram
	interTokenLatency *hdrhistogram.Histogram
	totalLatency      *hdrhistogram.Histogram
	serviceCall       *hdrhistogram.Histogram
	reconnects        int
	reroutes          int
	faultyAnswers     []FaultyAnswer
	// accepted holds the ids of each accepted request, and keys the keys of
	// service calls. Both are looked up in the stand-ins' counts.
	accepted []acceptedRequest
	keys     map[serviceKey]keyOutcome
}

type refusalKey struct {
	outcome Outcome
	reason  structs.Reason
}

type serviceKey struct {
	service string
	key     string
}

func newTally() *tally {
	return &tally{
		outcomes:          make(map[Outcome]int),
		verdicts:          make(map[Verdict]int),
		refusals:          make(map[refusalKey]int),
		tiers:             make(map[structs.TierName]*tierTally),
		firstToken:        newHistogram(),
		interTokenLatency: newHistogram(),
		totalLatency:      newHistogram(),
		serviceCall:       newHistogram(),
		keys:              make(map[serviceKey]keyOutcome),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func (t *tally) addSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentCount++
}

func (t *tally) addNotSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notSent++
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed++
	t.outcomes[r.outcome]++
	t.reconnects += r.reconnects
	t.reroutes += r.reroutes
	t.addTierLocked(r)
	t.recordAcceptedLocked(r)
	if r.outcome != OutcomeDone {
		t.refusals[refusalKey{r.outcome, r.reason}]++
		return
	}
	t.verdicts[r.verdict]++
	t.addLatenciesLocked(r)
	if r.verdict != VerdictComplete && len(t.faultyAnswers) < maxFaultyAnswers {
		t.faultyAnswers = append(t.faultyAnswers, FaultyAnswer{
			Request: r.id(),
			Target:  r.request.Target,
			Key:     r.request.Key,
			Verdict: r.verdict,
		})
	}
}

// acceptedRequest holds the ids that the system assigned to one request.
type acceptedRequest struct {
	ids []structs.RequestID
	// notRun is set when the system reported that the request did not run.
	notRun bool
}

// keyOutcome combines the outcomes of all calls with one key.
type keyOutcome struct {
	// mayHaveRun is set when any call ended other than as not run.
	mayHaveRun bool
}

func (t *tally) recordAcceptedLocked(r result) {
	if len(r.ids) > 0 {
		t.accepted = append(t.accepted, acceptedRequest{ids: r.ids, notRun: r.outcome == OutcomeNotRun})
	}
	if r.request.Kind == KindService && r.request.Key != "" {
		key := serviceKey{r.request.Target, edge.ScopedKey(r.request.Organisation, r.request.Key)}
		outcome := t.keys[key]
		outcome.mayHaveRun = outcome.mayHaveRun || r.outcome != OutcomeNotRun
		t.keys[key] = outcome
	}
}

func (t *tally) addTierLocked(r result) {
	tier, ok := t.tiers[r.request.Tier]
	if !ok {
		tier = &tierTally{report: TierReport{Tier: r.request.Tier}, firstToken: newHistogram()}
		t.tiers[r.request.Tier] = tier
	}
	tier.add(r)
}

// tierTally aggregates the results of one tier.
type tierTally struct {
	report     TierReport
	firstToken *hdrhistogram.Histogram
}

func (t *tierTally) add(r result) {
	t.report.Offered++
	if r.outcome == OutcomeDone {
		t.report.Done++
	}
	if r.firstToken > 0 {
		record(t.firstToken, r.firstToken)
	}
	if r.isGood() {
		t.report.Good++
	}
}

func (t *tally) addLatenciesLocked(r result) {
	if r.request.Kind == KindService {
		record(t.serviceCall, r.totalLatency)
		return
	}
	record(t.firstToken, r.firstToken)
	record(t.totalLatency, r.totalLatency)
	for _, g := range r.gaps {
		record(t.interTokenLatency, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func (t *tally) progress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsuccessful := t.completed - t.outcomes[OutcomeDone]
	faulty := t.outcomes[OutcomeDone] - t.verdicts[VerdictComplete]
	return fmt.Sprintf("sent %d  open %d  done %d  refused or lost %d  faulty answers %d",
		t.sentCount, t.sentCount-t.completed, t.outcomes[OutcomeDone], unsuccessful, faulty)
}

func (t *tally) report(run string, elapsed time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		Run:            run,
		ElapsedSeconds: elapsed.Seconds(),
		Sent:           t.sentCount,
		NotSent:        t.notSent,
		Wrong:          t.verdicts[VerdictWrong],
		Truncated:      t.verdicts[VerdictTruncated],
		Duplicated:     t.verdicts[VerdictDuplicated],
		Reconnects:     t.reconnects,
		Rerouted:       t.reroutes,
		FaultyAnswers:  t.faultyAnswers,
	}
	for _, o := range slices.Sorted(maps.Keys(t.outcomes)) {
		r.Outcomes = append(r.Outcomes, OutcomeCount{Outcome: o, Count: t.outcomes[o]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.tiers)) {
		r.Tiers = append(r.Tiers, t.tiers[name].finish(elapsed))
	}
	r.Refusals = t.refusalsLocked()
	r.Latencies = []Latency{
		latency("first token", t.firstToken),
		latency("between tokens", t.interTokenLatency),
		latency("whole answer", t.totalLatency),
		latency("service call", t.serviceCall),
	}
	return r
}

func (t *tierTally) finish(elapsed time.Duration) TierReport {
	r := t.report
	r.GoodShare = float64(r.Good) / float64(r.Offered)
	r.GoodPerSecond = float64(r.Good) / elapsed.Seconds()
	r.FirstToken = latency("first token", t.firstToken)
	return r
}

func (t *tally) refusalsLocked() []RefusalCount {
	var counts []RefusalCount
	for k, n := range t.refusals {
		counts = append(counts, RefusalCount{Outcome: k.outcome, Reason: k.reason, Count: n})
	}
	slices.SortFunc(counts, compareRefusals)
	return counts
}
