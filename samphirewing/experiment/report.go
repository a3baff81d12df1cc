package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Report is the result of one experiment.
type Report struct {
	Deployment string
	Seed       uint64
	Rows       []Row
}

// Row is one scenario under one policy.
type Row struct {
	Scenario string
	Load     float64
	Policy   string
	// Offered and Good count model requests by rank; a good answer was whole
	// and inside its deadline.
	Offered [Tiers]int
	Good    [Tiers]int
	// GoodShare is Good over Offered by rank, and GoodPerSecond all good
	// answers a second.
	GoodShare     [Tiers]float64
	GoodPerSecond float64
	// ServiceShare is the share of the calls of plain services that were
	// answered inside their deadline.
	ServiceShare float64
	// MeanSeconds is the mean time to a good answer by rank.
	MeanSeconds [Tiers]float64
	// PrefilledTokens is all prompt work, WastedTokens the part for answers
	// not delivered whole in time plus what another healthy engine had cached.
	PrefilledTokens int64
	FailedTokens    int64
	AgainTokens     int64
	WastedTokens    int64
}

func (r *Row) fill(b *scoreboard, measured time.Duration) {
	good := 0
	for i := range Tiers {
		r.Offered[i] = b.offeredBy[i]
		r.Good[i] = b.goodBy[i]
		good += b.goodBy[i]
		r.GoodShare[i] = share(b.goodBy[i], b.offeredBy[i])
		if b.goodBy[i] > 0 {
			r.MeanSeconds[i] = b.waits[i].Seconds() / float64(b.goodBy[i])
		}
	}
	r.ServiceShare = share(b.serviceGood, b.serviceOffered)
	r.GoodPerSecond = float64(good) / measured.Seconds()
	r.PrefilledTokens = int64(b.prefilled)
	r.FailedTokens = int64(b.failed)
	r.AgainTokens = int64(b.again)
	r.WastedTokens = int64(b.failed + b.again)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// WriteTable writes the report as text.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "deployment %s, seed %d\n", r.Deployment, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tload\tpolicy\ttier 0\ttier 1\ttier 2\tservice\tgood/s\ts tier 0\ts tier 1\ts tier 2\twasted\tlost\tagain\tprefilled\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%.1f\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n",
			x.Scenario, x.Load, x.Policy, 100*x.GoodShare[0], 100*x.GoodShare[1], 100*x.GoodShare[2], 100*x.ServiceShare, x.GoodPerSecond,
			x.MeanSeconds[0], x.MeanSeconds[1], x.MeanSeconds[2],
			x.WastedTokens, x.FailedTokens, x.AgainTokens, x.PrefilledTokens)
	}
	return errors.Annotate(t.Flush(), "writing the table")
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Annotate(e.Encode(r), "writing the report")
}
