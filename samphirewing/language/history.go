package language

import "github.com/samphirewing/coordkit/state/configstore"

// HistoryRows returns the rows of SubjectHistory, one for each verdict.
func HistoryRows(verdicts []configstore.Verdict) []Row {
	rows := make([]Row, 0, len(verdicts))
	for _, v := range verdicts {
		reason := Value{}
		if err := v.Err(); err != nil {
			reason = Text(err.Error())
		}
		rows = append(rows, Row{
			Integer(v.Revision), Time(v.Time), Text(v.Author), Bool(v.Accepted),
			Text(v.Statement), reason, Text(v.ChangeID),
		})
	}
	return rows
}
