package language

import (
	"fmt"
	"strings"
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
)

// DecisionRows returns the rows of SubjectDecisions for one decision: one row
// for each candidate, or a single row if there were no candidates.
func DecisionRows(d scheduling.Decision) []Row {
	shared := Row{
		Time(d.At), Text(string(d.Kind)), Text(d.Reason), Text(d.Chosen), Integer(d.QueuePosition),
	}
	if len(d.Candidates) == 0 {
		return []Row{append(shared, Value{}, Value{}, Value{}, Value{})}
	}
	rows := make([]Row, 0, len(d.Candidates))
	for _, c := range d.Candidates {
		row := append(Row(nil), shared...)
		row = append(row, Text(c.Endpoint), Text(c.RemovedBy), estimate(c), Text(scoreText(c.Scores)))
		rows = append(rows, row)
	}
	return rows
}

// estimate returns the estimated completion time, or an empty cell for an
// endpoint that a filter removed before scoring.
func estimate(c scheduling.Candidate) Value {
	if c.RemovedBy != "" {
		return Value{}
	}
	return Duration(c.EstimatedCompletion)
}

func scoreText(scores []scheduling.Score) string {
	parts := make([]string, 0, len(scores))
	for _, s := range scores {
		parts = append(parts, fmt.Sprintf("%s=%s", s.Scorer, s.Value.Round(time.Millisecond)))
	}
	return strings.Join(parts, " ")
}
