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

// Row is the result of one scenario with one policy.
type Row struct {
	Scenario string
	Load     float64
	Policy   string
	// Offered and Good count model requests by rank. A good answer is complete
	// and within its deadline.
	Offered [Tiers]int
	Good    [Tiers]int
	// GoodShare is Good divided by Offered by rank, or 1 if nothing was offered.
	// GoodPerSecond is the rate of good answers over all ranks.
	GoodShare     [Tiers]float64
	GoodPerSecond float64
	// ServiceShare is the share of the plain service calls that were answered
	// within their deadline.
	ServiceShare float64
	// MeanSeconds is the mean time from arrival to the end of a good answer by
	// rank.
	MeanSeconds [Tiers]float64
	// PrefilledTokens is the total prefill. FailedTokens is the part spent on
	// answers that were not good, AgainTokens the part of the good answers'
	// prefill that another healthy engine had cached. WastedTokens is the sum
	// of these two parts.
	PrefilledTokens int64
	FailedTokens    int64
	AgainTokens     int64
	WastedTokens    int64
}

func (r *Row) fill(board *scoreboard, window time.Duration) {
	good := 0
	for i := range Tiers {
		r.Offered[i] = board.offeredByRank[i]
		r.Good[i] = board.goodByRank[i]
		good += board.goodByRank[i]
		r.GoodShare[i] = share(board.goodByRank[i], board.offeredByRank[i])
		if board.goodByRank[i] > 0 {
			r.MeanSeconds[i] = board.latencySum[i].Seconds() / float64(board.goodByRank[i])
		}
	}
	r.ServiceShare = share(board.serviceGood, board.serviceOffered)
	r.GoodPerSecond = float64(good) / window.Seconds()
	r.PrefilledTokens = int64(board.prefilled)
	r.FailedTokens = int64(board.failed)
	r.AgainTokens = int64(board.redundant)
	r.WastedTokens = int64(board.failed + board.redundant)
}

func share(part, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(part) / float64(total)
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "deployment %s, seed %d\n", r.Deployment, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tload\tpolicy\ttier 0\ttier 1\ttier 2\tservice\tgood/s\ts tier 0\ts tier 1\ts tier 2\twasted\tlost\tagain\tprefilled\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%.1f\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n",
			row.Scenario, row.Load, row.Policy, 100*row.GoodShare[0], 100*row.GoodShare[1], 100*row.GoodShare[2], 100*row.ServiceShare, row.GoodPerSecond,
			row.MeanSeconds[0], row.MeanSeconds[1], row.MeanSeconds[2],
			row.WastedTokens, row.FailedTokens, row.AgainTokens, row.PrefilledTokens)
	}
	return errors.Annotate(t.Flush(), "writing the table")
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Annotate(e.Encode(r), "writing the report")
}
