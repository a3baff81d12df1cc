package journal

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/journalpb"
)

// BeginResult is the result of Begin. Exactly one field is set.
type BeginResult struct {
	// Permit is set when this attempt has won the key and may send.
	Permit *Permit
	// Existing is set when another attempt has won the key, whether or not its
	// outcome is recorded.
	Existing *KeyStatus
}

// Permit lets its holder send the work of a key once. It is safe for
// concurrent use.
type Permit struct {
	key    Key
	issued time.Time

	mu      sync.Mutex
	attempt *Attempt
}

// StartSend reports whether the caller may send the work now. It must be called
// right before the first byte is sent and returns true at most once. It returns
// false from the send-by time on; the caller then calls End with OutcomeNotRun.
func (p *Permit) StartSend(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempt.StartSend(now)
}

// Attempt returns the id of the attempt.
func (p *Permit) Attempt() AttemptID { return p.attempt.id }

// Begin requests the right to run a key's work. When it returns an error, this
// attempt has sent nothing; see the Err constants.
func (j *Journal) Begin(ctx context.Context, intent Intent) (BeginResult, error) {
	ctx, cancel := context.WithDeadline(ctx, intent.SendBy)
	defer cancel()
	j.mu.Lock()
	id := AttemptID(j.nextID())
	j.mu.Unlock()
	now := j.options.Clock.Now()
	attempt := NewAttempt(id, intent.SendBy)
	// The record carries the send-by time by the wall clock; the attempt keeps
	// the monotonic reading.
	record := intentRecord(intent.Key, id, intent.Issued, now.Round(0).Add(intent.SendBy.Sub(now)))
	for {
		answer, mayBeRecorded, err := j.submit(ctx, intent.Key, record)
		if mayBeRecorded || err == nil && answer.Verdict == VerdictIndeterminate {
			attempt.IntentSubmitted()
		}
		if err == nil && answer.Verdict != VerdictIndeterminate {
			return j.beginResult(intent, attempt, answer)
		}
		select {
		case <-time.After(submitRetryInterval):
		case <-ctx.Done():
			j.abandon(intent, attempt)
			return BeginResult{}, errors.Annotatef(ErrIntentUnconfirmed, "key %s", intent.Key)
		}
	}
}

// beginResult turns a writer's answer into the result of Begin.
func (j *Journal) beginResult(intent Intent, attempt *Attempt, answer Answer) (BeginResult, error) {
	switch answer.Verdict {
	case VerdictWon:
		attempt.IntentSubmitted()
		if !attempt.IntentWon(j.options.Clock.Now()) {
			j.abandon(intent, attempt)
			return BeginResult{}, errors.Annotatef(ErrIntentUnconfirmed, "key %s", intent.Key)
		}
		return BeginResult{Permit: &Permit{key: intent.Key, issued: intent.Issued, attempt: attempt}}, nil
	case VerdictTaken:
		// An earlier copy of the intent must not win after the key is freed.
		j.abandon(intent, attempt)
		existing := answer.Existing
		return BeginResult{Existing: &existing}, nil
	}
	j.abandon(intent, attempt)
	return BeginResult{}, errors.Annotatef(verdictError(answer.Verdict), "key %s", intent.Key)
}

func verdictError(v Verdict) error {
	switch v {
	case VerdictExpired:
		return ErrKeyExpired
	case VerdictIssuedInFuture:
		return ErrKeyFromFuture
	case VerdictFull:
		return ErrFull
	case VerdictVoided:
		return ErrAttemptVoided
	case VerdictUnavailable:
		return ErrLogUnavailable
	default:
		return ErrIntentUnconfirmed
	}
}

// abandon gives up an attempt and voids it if its intent may be in the log.
func (j *Journal) abandon(intent Intent, attempt *Attempt) {
	if attempt.Abandon() {
		j.deliver(intent.Key, voidRecord(intent.Key, attempt.id, intent.Issued))
	}
}

// End records the outcome of a permit's work; OutcomeNotRun frees the key. It
// returns when the outcome is recorded. If ctx ends first, it returns ctx's
// error and recording continues in the background.
func (j *Journal) End(ctx context.Context, p *Permit, o Outcome, summary []byte) error {
	if len(summary) > MaxSummaryBytes {
		return errors.Annotatef(ErrSummaryTooLarge, "%d bytes, at most %d", len(summary), MaxSummaryBytes)
	}
	p.mu.Lock()
	o = p.attempt.End(o)
	p.mu.Unlock()
	if o == OutcomeUnknown {
		j.options.Events.Emit(eventOutcomeUnknown, events.F("key", p.key.String()), events.F("attempt", string(p.attempt.id)))
	}
	recorded := j.deliver(p.key, outcomeRecord(p.key, p.attempt.id, p.issued, o, summary))
	select {
	case err := <-recorded:
		return err
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "outcome %s of %s is not recorded yet", o, p.key)
	}
}

// deliver records an outcome or a void. It retries in the background until the
// record is applied or the Journal is closed, and sends one result to the
// channel.
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
				// The attempt no longer holds an open key: it was resolved or
				// settled before.
				j.options.Events.Emit(eventOutcomeAfterResolution, events.F("key", k.String()), events.F("outcome", Outcome(r.Outcome).String()))
				result <- nil
				return
			}
			select {
			case <-time.After(deliverRetryInterval):
			case <-j.ctx.Done():
				j.options.Events.Emit(eventOutcomeNotRecorded, events.F("key", k.String()))
				result <- errors.Annotatef(j.ctx.Err(), "record of %s", k)
				return
			}
		}
	}()
	return result
}

// Filter selects rows. A non-zero Key selects only that key.
type Filter struct {
	Key       Key
	Namespace string
	OpenOnly  bool
	// Limit is the maximum number of rows per partition; zero means 1000.
	Limit int
}

const defaultShowLimit = 1000

// Show returns the matching keys from the writers of all partitions. If some
// partitions fail, it returns the rows of the others and the last error.
func (j *Journal) Show(ctx context.Context, f Filter) ([]Row, error) {
	if f.Limit == 0 {
		f.Limit = defaultShowLimit
	}
	if f.Key != (Key{}) {
		return j.showPartition(ctx, f.Key.Partition(j.options.Limits.Partitions), f)
	}
	var all []Row
	var lastErr error
	for p := range j.options.Limits.Partitions {
		rows, err := j.showPartition(ctx, p, f)
		if err != nil {
			lastErr = err
		}
		all = append(all, rows...)
	}
	return all, lastErr
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

// Resolve records an operator's outcome for a key whose outcome is unknown. The
// operator must have asked the service later than the winner's send-by time
// plus Limits.ResolveMargin. OutcomeNotRun frees the key.
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
