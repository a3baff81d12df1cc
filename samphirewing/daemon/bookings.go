package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// journalStreamPrefix names the log streams of booking keys.
	journalStreamPrefix = "samphirewing-bookings"
	// recordTimeout bounds the wait for an outcome to be recorded; the journal
	// goes on trying after it.
	recordTimeout = 5 * time.Second
	// bookingRetryAfter is suggested when nothing was sent.
	bookingRetryAfter = time.Second
)

// journalBookings asks the booking journal for permission to send calls that
// may not be repeated.
type journalBookings struct {
	journal *journal.Journal
	clock   clock.Clock
}

type journalOptions struct {
	log        eventlog.Log
	self       instance.Process
	window     time.Duration
	slack      time.Duration
	partitions int
	ownerOf    func(partition int) instance.ID
	mesh       journal.Mesh
	clock      clock.Clock
}

func startJournal(o journalOptions, d *Daemon) (*journalBookings, error) {
	limits := journal.DefaultLimits
	limits.Window = o.window
	limits.MaxFuture = o.slack
	limits.Partitions = o.partitions
	j, err := journal.Start(journal.Options{
		Log:          o.log,
		StreamPrefix: journalStreamPrefix,
		Self:         o.self,
		Limits:       limits,
		OwnerOf:      o.ownerOf,
		Mesh:         o.mesh,
		Clock:        o.clock,
		Events:       d.events,
	})
	if err != nil {
		return nil, errors.Annotate(err, "--booking-window, --journal-partitions")
	}
	return &journalBookings{journal: j, clock: o.clock}, nil
}

// callSummary is what is kept of a service's answer with its outcome.
type callSummary struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
}

func encodeSummary(status int, body []byte) []byte {
	whole, err := json.Marshal(callSummary{Status: status, Body: body})
	if err == nil && len(whole) <= journal.MaxSummaryBytes {
		return whole
	}
	short, _ := json.Marshal(callSummary{Status: status})
	return short
}

func bookingKey(b booking) journal.Key {
	return journal.Key{Namespace: string(b.organisation) + "/" + string(b.service), Name: b.key}
}

// begin asks for the key; see bookings.
func (j *journalBookings) begin(ctx context.Context, b booking) (permit, *settledBooking) {
	begun, err := j.journal.Begin(ctx, journal.Intent{Key: bookingKey(b), Issued: b.issued, SendBy: b.sendBy})
	if err != nil {
		return nil, refusedBooking(err)
	}
	if begun.Permit == nil {
		return nil, settledByOther(begun.Settled)
	}
	return &journalPermit{journal: j.journal, permit: begun.Permit}, nil
}

// refusedBooking answers an attempt that sent nothing.
func refusedBooking(err error) *settledBooking {
	reason, retryAfter := structs.ReasonLogUnavailable, bookingRetryAfter
	if errors.Is(err, journal.ErrKeyExpired) || errors.Is(err, journal.ErrKeyFromFuture) {
		reason, retryAfter = structs.ReasonKeyExpired, 0
	}
	return &settledBooking{declined: entry.Declined{
		Outcome: structs.OutcomeNotRun, Reason: reason, Detail: err.Error(), RetryAfter: retryAfter,
	}}
}

// settledByOther answers with the outcome of the attempt that holds the key.
func settledByOther(s *journal.KeyStatus) *settledBooking {
	switch s.Outcome {
	case journal.OutcomeDone:
		return &settledBooking{declined: entry.Declined{Outcome: structs.OutcomeDone}, summary: s.Summary}
	case journal.OutcomeFailed:
		return &settledBooking{
			declined: entry.Declined{Outcome: structs.OutcomeFailed, Reason: structs.ReasonServiceError},
			summary:  s.Summary,
		}
	case journal.OutcomeNotRun:
		return &settledBooking{declined: entry.Declined{
			Outcome: structs.OutcomeNotRun, Reason: structs.ReasonConnectFailed, RetryAfter: bookingRetryAfter,
		}}
	default:
		return &settledBooking{declined: entry.Declined{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonKeyUnsettled}}
	}
}

// journalPermit is the journal's permission for one call.
type journalPermit struct {
	journal *journal.Journal
	permit  *journal.Permit
}

// maySend returns true at most once, before the send-by time.
func (p *journalPermit) maySend(now time.Time) bool { return p.permit.StartSend(now) }

// end records the outcome; the journal goes on trying when the log is down.
func (p *journalPermit) end(outcome structs.Outcome, summary []byte) {
	ctx, stop := context.WithTimeout(context.Background(), recordTimeout)
	defer stop()
	_ = p.journal.End(ctx, p.permit, journalOutcome(outcome), summary)
}

func journalOutcome(o structs.Outcome) journal.Outcome {
	switch o {
	case structs.OutcomeDone:
		return journal.OutcomeDone
	case structs.OutcomeNotRun:
		return journal.OutcomeNotRun
	case structs.OutcomeFailed:
		return journal.OutcomeFailed
	default:
		return journal.OutcomeUnknown
	}
}

// journalOwner returns the instance that should write a partition, or "".
func (d *Daemon) journalOwner(partition int) instance.ID {
	owner, _ := d.members.owner(journalOwnerKey(partition))
	return owner
}

func (d *Daemon) startBookings(m mesh.Registrar, caller mesh.Caller) error {
	var err error
	d.bookings, err = startJournal(journalOptions{
		log:        d.platform.log,
		self:       d.self,
		window:     d.settings.BookingWindow,
		slack:      d.settings.ClockSlack,
		partitions: d.settings.JournalPartitions,
		ownerOf:    d.journalOwner,
		mesh:       journalMesh{Registrar: m, Caller: caller},
		clock:      d.clock,
	}, d)
	return err
}

type journalMesh struct {
	mesh.Registrar
	mesh.Caller
}
