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
	// journalStreamPrefix is the prefix of the log streams of booking keys.
	journalStreamPrefix = "samphirewing-bookings"
	// recordOutcomeTimeout bounds the wait until an outcome is recorded; the
	// journal keeps retrying after it.
	recordOutcomeTimeout = 5 * time.Second
	// bookingRetryAfter is the suggested delay before a retry when nothing was
	// sent.
	bookingRetryAfter = time.Second
)

// journalBookings implements bookingGuard with the booking journal: it obtains
// the permission to send calls that are not repeatable.
type journalBookings struct {
	journal *journal.Journal
	clock   clock.Clock
}

type journalOptions struct {
	log           eventlog.Log
	self          instance.Process
	bookingWindow time.Duration
	clockSlack    time.Duration
	partitions    int
	ownerOf       func(partition int) instance.ID
	mesh          journal.Mesh
	clock         clock.Clock
}

func startJournal(o journalOptions, d *Daemon) (*journalBookings, error) {
	limits := journal.DefaultLimits
	limits.Window = o.bookingWindow
	limits.MaxFuture = o.clockSlack
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

// callSummary is the part of a service's answer that the journal stores with the
// outcome.
type callSummary struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
}

// encodeSummary omits the body if the summary would exceed
// journal.MaxSummaryBytes.
func encodeSummary(status int, body []byte) []byte {
	full, err := json.Marshal(callSummary{Status: status, Body: body})
	if err == nil && len(full) <= journal.MaxSummaryBytes {
		return full
	}
	statusOnly, _ := json.Marshal(callSummary{Status: status})
	return statusOnly
}

func journalKey(b booking) journal.Key {
	return journal.Key{Namespace: string(b.organisation) + "/" + string(b.service), Name: b.key}
}

// acquire implements bookingGuard.
func (j *journalBookings) acquire(ctx context.Context, b booking) (permit, *settledBooking) {
	result, err := j.journal.Begin(ctx, journal.Intent{Key: journalKey(b), Issued: b.issued, SendBy: b.sendBy})
	if err != nil {
		return nil, settledByError(err)
	}
	if result.Permit == nil {
		return nil, settledByOtherAttempt(result.Existing)
	}
	return &journalPermit{journal: j.journal, permit: result.Permit}, nil
}

// settledByError returns the result of an attempt that the journal rejected before
// anything was sent.
func settledByError(err error) *settledBooking {
	reason, retryAfter := structs.ReasonLogUnavailable, bookingRetryAfter
	if errors.Is(err, journal.ErrKeyExpired) || errors.Is(err, journal.ErrKeyFromFuture) {
		reason, retryAfter = structs.ReasonKeyExpired, 0
	}
	return &settledBooking{declined: entry.Declined{
		Outcome: structs.OutcomeNotRun, Reason: reason, Detail: err.Error(), RetryAfter: retryAfter,
	}}
}

// settledByOtherAttempt returns the recorded outcome of the attempt that owns
// the key.
func settledByOtherAttempt(status *journal.KeyStatus) *settledBooking {
	switch status.Outcome {
	case journal.OutcomeDone:
		return &settledBooking{declined: entry.Declined{Outcome: structs.OutcomeDone}, summary: status.Summary}
	case journal.OutcomeFailed:
		return &settledBooking{
			declined: entry.Declined{Outcome: structs.OutcomeFailed, Reason: structs.ReasonServiceError},
			summary:  status.Summary,
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

// maySend returns true at most once, and only before the send-by time.
func (p *journalPermit) maySend(now time.Time) bool { return p.permit.StartSend(now) }

// recordOutcome records the outcome and the answer's summary. If the log is
// unavailable, the journal keeps retrying after this returns.
func (p *journalPermit) recordOutcome(outcome structs.Outcome, summary []byte) {
	ctx, stop := context.WithTimeout(context.Background(), recordOutcomeTimeout)
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

// journalOwner returns the instance that owns a journal partition, or "" if there
// is none.
func (d *Daemon) journalOwner(partition int) instance.ID {
	owner, _ := d.members.owner(journalOwnerKey(partition))
	return owner
}

func (d *Daemon) startBookings(m mesh.Registrar, caller mesh.Caller) error {
	var err error
	d.bookings, err = startJournal(journalOptions{
		log:           d.platform.log,
		self:          d.self,
		bookingWindow: d.settings.BookingWindow,
		clockSlack:    d.settings.ClockSlack,
		partitions:    d.settings.JournalPartitions,
		ownerOf:       d.journalOwner,
		mesh:          journalMesh{Registrar: m, Caller: caller},
		clock:         d.clock,
	}, d)
	return err
}

type journalMesh struct {
	mesh.Registrar
	mesh.Caller
}
