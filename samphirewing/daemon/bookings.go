package daemon

import (
	"context"
	"time"

	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/state/structs"
)

type journalBookings struct{}

// begin refuses: without the journal nothing that may not be repeated is sent.
func (d *Daemon) begin(context.Context, booking) (permit, *entry.Declined) {
	return nil, &entry.Declined{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonLogUnavailable, RetryAfter: time.Second}
}
