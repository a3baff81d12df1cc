package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Report is the result of a run.
type Report struct {
	Run            string  `json:"run"`
	ElapsedSeconds float64 `json:"elapsed_seconds"`
	Sent           int     `json:"sent"`
	// NotSent counts arrivals that exceeded Options.MaxOpen.
	NotSent  int            `json:"not_sent"`
	Outcomes []OutcomeCount `json:"outcomes"`
	Tiers    []TierReport   `json:"tiers"`
	// Wrong, Truncated and Duplicated count the faulty answers among those
	// that the system reported as done.
	Wrong      int `json:"wrong"`
	Truncated  int `json:"cut"`
	Duplicated int `json:"doubled"`
	// StandIns is nil unless Options.StandIns is set.
	StandIns  *StandInReport `json:"stand_ins,omitempty"`
	Refusals  []RefusalCount `json:"refusals"`
	Latencies []Latency      `json:"latencies"`
	// Reconnects counts attempts to resume an answer after a lost connection,
	// and requests repeated with the same key.
	Reconnects int `json:"reconnects"`
	// Rerouted counts how often a request that wasn't run was sent to another
	// entry.
	Rerouted int `json:"rerouted"`
	// FaultyAnswers lists the first 20 faulty answers.
	FaultyAnswers []FaultyAnswer `json:"faults,omitempty"`
}

// OutcomeCount is the number of requests with one outcome.
type OutcomeCount struct {
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
}

// TierReport is the goodput of one tier. Good counts complete and correct
// answers within their deadline.
type TierReport struct {
	Tier          structs.TierName `json:"tier"`
	Offered       int              `json:"offered"`
	Done          int              `json:"done"`
	Good          int              `json:"good"`
	GoodShare     float64          `json:"good_share"`
	GoodPerSecond float64          `json:"good_per_second"`
	FirstToken    Latency          `json:"first_token"`
}

// RefusalCount is the number of requests with one outcome other than done and
// one reason.
type RefusalCount struct {
	Outcome Outcome        `json:"outcome"`
	Reason  structs.Reason `json:"reason"`
	Count   int            `json:"count"`
}

// Latency summarises one histogram, in milliseconds.
type Latency struct {
	Name   string  `json:"name"`
	Count  int64   `json:"count"`
	P50    float64 `json:"p50_ms"`
	P90    float64 `json:"p90_ms"`
	P95    float64 `json:"p95_ms"`
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
	MeanMs float64 `json:"mean_ms"`
}

// FaultyAnswer describes one faulty answer.
type FaultyAnswer struct {
	Request structs.RequestID `json:"request"`
	Target  string            `json:"target"`
	Key     string            `json:"key,omitempty"`
	Verdict Verdict           `json:"verdict"`
}

// StandInReport is the stand-ins' counts of this run's requests.
type StandInReport struct {
	// Dispatched counts the requests that reached an engine.
	Dispatched int `json:"dispatched"`
	// DispatchedTwice counts those that reached engines more than once.
	DispatchedTwice int `json:"dispatched_twice"`
	// KeysRun counts the idempotency keys whose effect took place.
	KeysRun int `json:"keys_run"`
	// KeysRunTwice counts those whose effect took place more than once.
	KeysRunTwice int `json:"keys_run_twice"`
	// NotRunButRan counts requests and keys that the system reported as not
	// run although they reached an engine or took effect.
	NotRunButRan int `json:"not_run_but_ran"`
}

// Clean reports whether no answer was wrong, truncated or duplicated, nothing
// was dispatched or run twice, and nothing ran that was reported as not run.
func (r Report) Clean() bool {
	clean := r.Wrong+r.Truncated+r.Duplicated == 0
	if r.StandIns != nil {
		clean = clean && r.StandIns.DispatchedTwice+r.StandIns.KeysRunTwice+r.StandIns.NotRunButRan == 0
	}
	return clean
}

func latency(name string, h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{Name: name}
	}
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Name:   name,
		Count:  h.TotalCount(),
		P50:    ms(h.ValueAtPercentile(50)),
		P90:    ms(h.ValueAtPercentile(90)),
		P95:    ms(h.ValueAtPercentile(95)),
		P99:    ms(h.ValueAtPercentile(99)),
		Max:    ms(h.Max()),
		MeanMs: h.Mean() / 1000,
	}
}

func compareRefusals(a, b RefusalCount) int {
	return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a human-readable table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	p("run %s: %d requests in %.1f s", r.Run, r.Sent, r.ElapsedSeconds)
	if r.NotSent > 0 {
		p(", %d more not sent (too many open)", r.NotSent)
	}
	p("\n\nOUTCOME\tREQUESTS\t\n")
	for _, o := range r.Outcomes {
		p("%s\t%d\t\n", o.Outcome, o.Count)
	}
	p("\nTIER\tOFFERED\tDONE\tGOOD\tSHARE\tGOOD/S\tFIRST TOKEN P50\tP95 (ms)\t\n")
	for _, tier := range r.Tiers {
		p("%s\t%d\t%d\t%d\t%.1f %%\t%.1f\t%.1f\t%.1f\t\n", tier.Tier, tier.Offered, tier.Done, tier.Good,
			100*tier.GoodShare, tier.GoodPerSecond, tier.FirstToken.P50, tier.FirstToken.P95)
	}
	p("\nLATENCY (ms)\tCOUNT\tP50\tP90\tP95\tP99\tMAX\t\n")
	for _, l := range r.Latencies {
		p("%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", l.Name, l.Count, l.P50, l.P90, l.P95, l.P99, l.Max)
	}
	if len(r.Refusals) > 0 {
		p("\nREFUSED OR LOST\tREASON\tREQUESTS\t\n")
	}
	for _, c := range r.Refusals {
		p("%s\t%s\t%d\t\n", c.Outcome, c.Reason, c.Count)
	}
	p("\nCHECK\tCOUNT\t\n")
	p("wrong answers\t%d\t\ncut answers\t%d\t\ndoubled answers\t%d\t\n", r.Wrong, r.Truncated, r.Duplicated)
	if s := r.StandIns; s != nil {
		p("dispatched twice\t%d\t\nkeys run twice\t%d\t\n", s.DispatchedTwice, s.KeysRunTwice)
		p("not run but ran\t%d\t\n", s.NotRunButRan)
		p("dispatched\t%d\t\nkeys run\t%d\t\n", s.Dispatched, s.KeysRun)
	}
	p("reconnects\t%d\t\nrerouted\t%d\t\n", r.Reconnects, r.Rerouted)
	for _, f := range r.FaultyAnswers {
		p("\n%s answer: request %s target %s key %q", f.Verdict, f.Request, f.Target, f.Key)
	}
	p("\n")
	return t.Flush()
}
