package entry

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Row is one held request as operators see it.
type Row struct {
	Request structs.Request
	// Running is false while the request waits for a grant.
	Running  bool
	Endpoint structs.EndpointName
	Age      time.Duration
	Output   structs.Tokens
}

// Rows returns what is held, in the order of acceptance.
func (e *Entry) Rows(now time.Time) []Row {
	held := sortedHeld(e.held)
	rows := make([]Row, 0, len(held))
	for _, h := range held {
		rows = append(rows, Row{
			Request:  h.request,
			Running:  h.phase != waiting,
			Endpoint: h.endpoint,
			Age:      now.Sub(h.accepted),
			Output:   h.output,
		})
	}
	return rows
}
