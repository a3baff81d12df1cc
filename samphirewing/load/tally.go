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
	// maxFaultLines bounds the faults that are listed one by one.
	maxFaultLines = 20
)

// tally sums the results of a run. It is safe for concurrent use.
type tally struct {
	mu          sync.Mutex
	sentCount   int
	ended       int
	notSent     int
	outcomes    map[Outcome]int
	verdicts    map[Verdict]int
	refusals    map[refusalKey]int
	tiers       map[structs.TierName]*TierReport
	firstToken  *hdrhistogram.Histogram
	betweenText *hdrhistogram.Histogram
	whole       *hdrhistogram.Histogram
	serviceCall *hdrhistogram.Histogram
	reconnects  int
	rerouted    int
	faults      []FaultLine
	// ids and keys are what was sent, to be found in the stand-ins' counts.
	ids  map[structs.RequestID]struct{}
	keys map[serviceKey]struct{}
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
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	}
	return &tally{
		outcomes:    make(map[Outcome]int),
		verdicts:    make(map[Verdict]int),
		refusals:    make(map[refusalKey]int),
		tiers:       make(map[structs.TierName]*TierReport),
		firstToken:  histogram(),
		betweenText: histogram(),
		whole:       histogram(),
		serviceCall: histogram(),
		ids:         make(map[structs.RequestID]struct{}),
		keys:        make(map[serviceKey]struct{}),
	}
}

func (t *tally) sent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentCount++
}

func (t *tally) overflowed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notSent++
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended++
	t.outcomes[r.outcome]++
	t.reconnects += r.reconnects
	t.rerouted += r.rerouted
	t.addTierLocked(r)
	t.remember(r)
	if r.outcome != OutcomeDone {
		t.refusals[refusalKey{r.outcome, r.reason}]++
		return
	}
	t.verdicts[r.verdict]++
	t.addLatenciesLocked(r)
	if r.verdict != VerdictWhole && len(t.faults) < maxFaultLines {
		t.faults = append(t.faults, FaultLine{
			Request: r.id,
			Target:  r.request.Target,
			Key:     r.request.Key,
			Verdict: r.verdict,
		})
	}
}

func (t *tally) remember(r result) {
	if r.id != "" {
		t.ids[r.id] = struct{}{}
	}
	if r.request.Kind == KindService && r.request.Key != "" {
		t.keys[serviceKey{r.request.Target, edge.ScopedKey(r.request.Organisation, r.request.Key)}] = struct{}{}
	}
}

func (t *tally) addTierLocked(r result) {
	tier, ok := t.tiers[r.request.Tier]
	if !ok {
		tier = &TierReport{Tier: r.request.Tier}
		t.tiers[r.request.Tier] = tier
	}
	tier.Offered++
	if r.outcome == OutcomeDone {
		tier.Done++
	}
	if r.good() {
		tier.Good++
	}
}

func (t *tally) addLatenciesLocked(r result) {
	if r.request.Kind == KindService {
		record(t.serviceCall, r.whole)
		return
	}
	record(t.firstToken, r.firstToken)
	record(t.whole, r.whole)
	for _, g := range r.gaps {
		record(t.betweenText, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func (t *tally) progress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	bad := t.ended - t.outcomes[OutcomeDone]
	faulty := t.outcomes[OutcomeDone] - t.verdicts[VerdictWhole]
	return fmt.Sprintf("sent %d  open %d  done %d  refused or lost %d  faulty answers %d",
		t.sentCount, t.sentCount-t.ended, t.outcomes[OutcomeDone], bad, faulty)
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
		Cut:            t.verdicts[VerdictCut],
		Doubled:        t.verdicts[VerdictDoubled],
		Reconnects:     t.reconnects,
		Rerouted:       t.rerouted,
		Faults:         t.faults,
	}
	for _, o := range slices.Sorted(maps.Keys(t.outcomes)) {
		r.Outcomes = append(r.Outcomes, OutcomeCount{Outcome: o, Count: t.outcomes[o]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.tiers)) {
		tier := *t.tiers[name]
		tier.GoodShare = float64(tier.Good) / float64(tier.Offered)
		tier.GoodPerSecond = float64(tier.Good) / elapsed.Seconds()
		r.Tiers = append(r.Tiers, tier)
	}
	r.Refusals = t.refusalsLocked()
	r.Latencies = []Latency{
		latency("first token", t.firstToken),
		latency("between tokens", t.betweenText),
		latency("whole answer", t.whole),
		latency("service call", t.serviceCall),
	}
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
