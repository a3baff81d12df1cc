package journal

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Key identifies one piece of work within a namespace, such as an organisation.
type Key struct {
	Namespace string
	Name      string
}

// String returns "namespace/name".
func (k Key) String() string { return k.Namespace + "/" + k.Name }

// Partition returns the index of the key's partition, from 0 to n-1.
func (k Key) Partition(n int) int {
	return int(xxhash.Sum64String(k.Namespace+"\x00"+k.Name) % uint64(n))
}

// AttemptID identifies one attempt of an entry to run a key's work. It is
// unique across all incarnations of all entries.
type AttemptID string

// Outcome is the result of a key's work.
type Outcome int32

// The outcomes. OutcomeNotRun is recorded only when no byte of the work was sent.
const (
	// OutcomePending: an intent has won and no outcome is recorded. Readers
	// other than the winner treat it as OutcomeUnknown.
	OutcomePending Outcome = iota
	OutcomeDone
	OutcomeNotRun
	OutcomeFailed
	OutcomeUnknown
)

// String returns the name used in records, statements and answers.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeFailed:
		return "failed"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "pending"
	}
}

// Intent is a request for the right to run the work of a key.
type Intent struct {
	Key Key
	// Issued is when the caller created the key. Retries with the same key carry
	// the same issue time.
	Issued time.Time
	// SendBy is the latest time, on this process's clock, to start sending.
	SendBy time.Time
}

// KeyStatus is the recorded state of a key that another attempt has won.
type KeyStatus struct {
	Outcome Outcome
	// Winner is the attempt that won the key.
	Winner AttemptID
	// Summary is the summary of the answer that the winner's entry recorded.
	Summary []byte
}

// Row is the state of one key, for operators.
type Row struct {
	Key     Key
	Winner  AttemptID
	Outcome Outcome
	Issued  time.Time
	SendBy  time.Time
	// Changed is when the log service accepted the last record of the key.
	Changed  time.Time
	Summary  []byte
	Operator string
}

// Errors of Begin. With each of them, this attempt has sent nothing.
const (
	// ErrLogUnavailable means that the intent was not appended: the log rejected
	// it, or the writer could not append it in time.
	ErrLogUnavailable = errors.ConstError("log service unavailable; nothing was sent, retry with the same key when it is back")
	// ErrIntentUnconfirmed means that it is unknown whether the intent was
	// appended; the attempt is voided.
	ErrIntentUnconfirmed = errors.ConstError("the intent could not be confirmed in time; nothing was sent, retry with the same key")
	// ErrKeyExpired means that the key is older than the deduplication window,
	// or than the oldest record retained by the log.
	ErrKeyExpired = errors.ConstError("key older than the deduplication window; make sure that it did not run, then issue a new one")
	// ErrKeyFromFuture means that the issue time is more than Limits.MaxFuture
	// ahead of the log's clock.
	ErrKeyFromFuture = errors.ConstError("key issued in the future; set the caller's clock")
	// ErrFull means that the partition's index holds Limits.MaxKeys keys.
	ErrFull = errors.ConstError("booking index full; retry with the same key when older keys have expired")
	// ErrAttemptVoided means that this attempt was voided before its intent was
	// applied.
	ErrAttemptVoided = errors.ConstError("attempt was voided; retry with the same key")
)

// Errors of Resolve.
const (
	// ErrNotOpen means that the key does not exist or already has an outcome.
	ErrNotOpen = errors.ConstError("key is not open; show it to see its outcome")
	// ErrTooEarly means that the winner's send-by time plus
	// Limits.ResolveMargin has not passed.
	ErrTooEarly = errors.ConstError("the winner's send-by time is not well past; resolve the key later")
)

// MaxSummaryBytes bounds the summary of an answer that End records.
const MaxSummaryBytes = 1024

// ErrSummaryTooLarge means that a summary is longer than MaxSummaryBytes.
const ErrSummaryTooLarge = errors.ConstError("summary over the limit; shorten it")

// Limits are the time limits and bounds of a journal. All instances must use
// the same limits.
type Limits struct {
	// Window is the deduplication window, counted from a key's issue time. The
	// log must retain records for at least twice as long.
	Window time.Duration
	// MaxFuture is how far ahead of the log's clock an issue time may be.
	MaxFuture time.Duration
	// ResolveMargin is the time, by the log's clock, that must pass after a
	// key's send-by time before the key may be resolved.
	ResolveMargin time.Duration
	// Partitions is the number of streams. It may change only while the journal
	// is empty.
	Partitions int
	// AppendsPerSecond bounds the rate of appends over all partitions together.
	AppendsPerSecond int
	// MaxKeys bounds the keys in one partition's index.
	MaxKeys int
}

// DefaultLimits are the limits used where a field is zero.
var DefaultLimits = Limits{
	Window:           time.Hour,
	MaxFuture:        5 * time.Second,
	ResolveMargin:    30 * time.Second,
	Partitions:       4,
	AppendsPerSecond: 160,
	MaxKeys:          500_000,
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits
	if l.Window > 0 {
		d.Window = l.Window
	}
	if l.MaxFuture > 0 {
		d.MaxFuture = l.MaxFuture
	}
	if l.ResolveMargin > 0 {
		d.ResolveMargin = l.ResolveMargin
	}
	if l.Partitions > 0 {
		d.Partitions = l.Partitions
	}
	if l.AppendsPerSecond > 0 {
		d.AppendsPerSecond = l.AppendsPerSecond
	}
	if l.MaxKeys > 0 {
		d.MaxKeys = l.MaxKeys
	}
	return d
}

// AppendInterval is the minimum time between two appends to one partition.
func (l Limits) AppendInterval() time.Duration {
	return time.Second * time.Duration(l.Partitions) / time.Duration(l.AppendsPerSecond)
}

// Check returns an error when AppendInterval is longer than 500 ms.
func (l Limits) Check() error {
	const slowest = 500 * time.Millisecond
	if l.AppendInterval() > slowest {
		return fmt.Errorf("%d partitions at %d appends a second wait %s for each append; use fewer partitions or more appends",
			l.Partitions, l.AppendsPerSecond, l.AppendInterval())
	}
	return nil
}
