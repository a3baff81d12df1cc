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
	tiers       map[structs.TierName]*tierTally
	firstToken  *hdrhistogram.Histogram
	betweenText *hdrhistogram.Histogram
	whole       *hdrhistogram.Histogram
	serviceCall *hdrhistogram.Histogram
	reconnects  int
	rerouted    int
	faults      []FaultLine
	// ids holds the system's names of each accepted request, and keys the
	// keys of service calls, to be found in the stand-ins' counts.
	ids  []acceptedRequest
	keys map[serviceKey]keyEnd
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
		outcomes:    make(map[Outcome]int),
		verdicts:    make(map[Verdict]int),
		refusals:    make(map[refusalKey]int),
		tiers:       make(map[structs.TierName]*tierTally),
		firstToken:  newHistogram(),
		betweenText: newHistogram(),
		whole:       newHistogram(),
		serviceCall: newHistogram(),
		keys:        make(map[serviceKey]keyEnd),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
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
	t.rememberLocked(r)
	if r.outcome != OutcomeDone {
		t.refusals[refusalKey{r.outcome, r.reason}]++
		return
	}
	t.verdicts[r.verdict]++
	t.addLatenciesLocked(r)
	if r.verdict != VerdictWhole && len(t.faults) < maxFaultLines {
		t.faults = append(t.faults, FaultLine{
			Request: r.id(),
			Target:  r.request.Target,
			Key:     r.request.Key,
			Verdict: r.verdict,
		})
	}
}

// acceptedRequest holds the system's names of one request.
type acceptedRequest struct {
	ids []structs.RequestID
	// notRun is set when the system said that the request did not run.
	notRun bool
}

// keyEnd tells whether any call of a key ended otherwise than as not run.
type keyEnd struct {
	mayHaveRun bool
}

func (t *tally) rememberLocked(r result) {
	if len(r.ids) > 0 {
		t.ids = append(t.ids, acceptedRequest{ids: r.ids, notRun: r.outcome == OutcomeNotRun})
	}
	if r.request.Kind == KindService && r.request.Key != "" {
		key := serviceKey{r.request.Target, edge.ScopedKey(r.request.Organisation, r.request.Key)}
		end := t.keys[key]
		end.mayHaveRun = end.mayHaveRun || r.outcome != OutcomeNotRun
		t.keys[key] = end
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

// tierTally sums the results of one tier.
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
	if r.good() {
		t.report.Good++
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
		r.Tiers = append(r.Tiers, t.tiers[name].finish(elapsed))
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
