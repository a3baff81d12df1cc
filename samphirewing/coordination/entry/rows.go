package entry

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Row is one unfinished request as shown to operators.
type Row struct {
	Request structs.Request
	// Running is false while the request waits for a grant.
	Running  bool
	Endpoint structs.EndpointName
	Age      time.Duration
	Output   structs.Tokens
}

// Rows returns the unfinished requests in order of acceptance.
func (e *Entry) Rows(now time.Time) []Row {
	requests := sortedByAcceptance(e.requests)
	rows := make([]Row, 0, len(requests))
	for _, r := range requests {
		rows = append(rows, Row{
			Request:  r.spec,
			Running:  r.phase != phaseWaiting,
			Endpoint: r.endpoint,
			Age:      now.Sub(r.acceptedAt),
			Output:   r.output,
		})
	}
	return rows
}
