package journal

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/journalpb"
)

// Begun is the answer to Begin: exactly one field is set.
type Begun struct {
	// Permit is set when this attempt holds the key and may send.
	Permit *Permit
	// Settled is set when another attempt holds or has ended the key.
	Settled *KeyStatus
}

// Permit lets its holder send the work of a key once. It is safe for
// concurrent use.
type Permit struct {
	key    Key
	issued time.Time

	mu      sync.Mutex
	attempt *Attempt
}

// StartSend returns true at most once, right before the first byte goes out. It
// returns false after the send-by time; then End it with OutcomeNotRun.
func (p *Permit) StartSend(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempt.StartSend(now)
}

// Attempt returns the id of the attempt.
func (p *Permit) Attempt() AttemptID { return p.attempt.id }

// Begin asks for the right to run a key's work. An error proves that this
// attempt sent nothing; see the Err constants.
func (j *Journal) Begin(ctx context.Context, in Intent) (Begun, error) {
	ctx, cancel := context.WithDeadline(ctx, in.SendBy)
	defer cancel()
	j.mu.Lock()
	id := AttemptID(j.nextName())
	j.mu.Unlock()
	now := j.options.Clock.Now()
	attempt := NewAttempt(id, in.SendBy)
	// The wall clock of the send-by time is for the log; the monotonic one
	// stays with the attempt.
	r := intentRecord(in.Key, id, in.Issued, now.Round(0).Add(in.SendBy.Sub(now)))
	for {
		answer, maybe, err := j.submit(ctx, in.Key, r)
		if maybe || err == nil && answer.Verdict == VerdictIndeterminate {
			attempt.IntentSubmitted()
		}
		if err == nil && answer.Verdict != VerdictIndeterminate {
			return j.begun(in, attempt, answer)
		}
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
			j.giveUp(in, attempt)
			return Begun{}, errors.Annotatef(ErrNotSettled, "key %s", in.Key)
		}
	}
}

// begun turns a writer's answer into the result of Begin.
func (j *Journal) begun(in Intent, attempt *Attempt, answer Answer) (Begun, error) {
	switch answer.Verdict {
	case VerdictWon:
		attempt.IntentSubmitted()
		if !attempt.IntentWon(j.options.Clock.Now()) {
			j.giveUp(in, attempt)
			return Begun{}, errors.Annotatef(ErrNotSettled, "key %s", in.Key)
		}
		return Begun{Permit: &Permit{key: in.Key, issued: in.Issued, attempt: attempt}}, nil
	case VerdictTaken:
		// An earlier copy of the intent must not win once the key is freed.
		j.giveUp(in, attempt)
		settled := answer.Existing
		return Begun{Settled: &settled}, nil
	}
	j.giveUp(in, attempt)
	return Begun{}, errors.Annotatef(refusal(answer.Verdict), "key %s", in.Key)
}

func refusal(v Verdict) error {
	switch v {
	case VerdictExpired:
		return ErrKeyExpired
	case VerdictFuture:
		return ErrKeyFromFuture
	case VerdictFull:
		return ErrFull
	case VerdictDead:
		return ErrAttemptDead
	case VerdictUnavailable:
		return ErrLogUnavailable
	default:
		return ErrNotSettled
	}
}

// giveUp voids an attempt whose intent stands or may stand.
func (j *Journal) giveUp(in Intent, attempt *Attempt) {
	if attempt.Abandon() {
		j.deliver(in.Key, voidRecord(in.Key, attempt.id, in.Issued))
	}
}

// End records how the work of a permit ended; OutcomeNotRun frees the key. It
// returns when the outcome is recorded, or with ctx's error; recording goes on
// in the background then.
func (j *Journal) End(ctx context.Context, p *Permit, o Outcome, summary []byte) error {
	if len(summary) > MaxSummaryBytes {
		return errors.Annotatef(ErrSummaryTooLarge, "%d bytes, at most %d", len(summary), MaxSummaryBytes)
	}
	p.mu.Lock()
	o = p.attempt.End(o)
	p.mu.Unlock()
	if o == OutcomeUnknown {
		j.options.Events.Emit(eventUnknown, events.F("key", p.key.String()), events.F("attempt", string(p.attempt.id)))
	}
	recorded := j.deliver(p.key, outcomeRecord(p.key, p.attempt.id, p.issued, o, summary))
	select {
	case err := <-recorded:
		return err
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "outcome %s of %s is not recorded yet", o, p.key)
	}
}

// deliver records an outcome or a void, trying until it stands or the Journal
// is closed. The channel gets one result.
func (j *Journal) deliver(k Key, r *journalpb.Record) <-chan error {
	result := make(chan error, 1)
	j.deliveries.Add(1)
	go func() {
		defer j.deliveries.Add(-1)
		for {
			answer, _, err := j.submit(j.ctx, k, r)
			if err == nil && answer.Verdict == VerdictRecorded {
				result <- nil
				return
			}
			if err == nil && answer.Verdict == VerdictNotOpen {
				// A repeated outcome, or an operator was faster.
				j.options.Events.Emit(eventLateOutcome, events.F("key", k.String()), events.F("outcome", Outcome(r.Outcome).String()))
				result <- nil
				return
			}
			select {
			case <-time.After(deliverPause):
			case <-j.ctx.Done():
				j.options.Events.Emit(eventUnrecorded, events.F("key", k.String()))
				result <- errors.Annotatef(j.ctx.Err(), "record of %s", k)
				return
			}
		}
	}()
	return result
}

// Filter selects rows. Key, when set, selects one key.
type Filter struct {
	Key       Key
	Namespace string
	OpenOnly  bool
	// Limit bounds the rows of each partition; zero means 1000.
	Limit int
}

const defaultShowLimit = 1000

// Show returns the matching keys from the writers of all partitions. Rows of
// partitions that answered come with the error of one that did not.
func (j *Journal) Show(ctx context.Context, f Filter) ([]Row, error) {
	if f.Limit == 0 {
		f.Limit = defaultShowLimit
	}
	if f.Key != (Key{}) {
		return j.showPartition(ctx, f.Key.Partition(j.options.Limits.Partitions), f)
	}
	var all []Row
	var failed error
	for p := range j.options.Limits.Partitions {
		rows, err := j.showPartition(ctx, p, f)
		if err != nil {
			failed = err
		}
		all = append(all, rows...)
	}
	return all, failed
}

func (j *Journal) showPartition(ctx context.Context, partition int, f Filter) ([]Row, error) {
	owner := j.options.OwnerOf(partition)
	if owner != "" && owner != j.options.Self.ID && j.options.Mesh != nil {
		return j.showRemote(ctx, owner, partition, f)
	}
	w, err := j.writer(partition)
	if err != nil {
		return nil, err
	}
	return w.rows(ctx, f)
}

// Resolve settles a key whose outcome is unknown. The operator must have asked
// the service after the winner's send-by time and Limits.ResolveMargin.
// OutcomeNotRun frees the key.
func (j *Journal) Resolve(ctx context.Context, k Key, o Outcome, operator string) error {
	if o != OutcomeDone && o != OutcomeNotRun && o != OutcomeFailed {
		return errors.Errorf("a key is resolved as done, failed or not_run, not as %s", o)
	}
	now := j.options.Clock.Now()
	rows, err := j.Show(ctx, Filter{Key: k})
	switch {
	case err != nil:
		return errors.Annotatef(err, "show key %s", k)
	case len(rows) == 0:
		return errors.Annotatef(ErrNotOpen, "key %s", k)
	case !now.After(rows[0].SendBy.Add(j.options.Limits.ResolveMargin)):
		return errors.Annotatef(ErrTooEarly, "key %s", k)
	}
	answer, _, err := j.submit(ctx, k, resolveRecord(k, rows[0].Winner, now, o, operator))
	if err != nil {
		return errors.Annotate(err, "resolution may or may not stand; show the key")
	}
	switch answer.Verdict {
	case VerdictRecorded:
		j.options.Events.Emit(eventResolved, events.F("key", k.String()), events.F("outcome", o.String()), events.F("operator", operator))
		return nil
	case VerdictNotOpen:
		return errors.Annotatef(ErrNotOpen, "key %s", k)
	case VerdictTooEarly:
		return errors.Annotatef(ErrTooEarly, "key %s", k)
	default:
		return errors.Annotatef(ErrLogUnavailable, "key %s", k)
	}
}
