package journal

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Key names one piece of work inside a namespace, such as an organisation.
type Key struct {
	Namespace string
	Name      string
}

// String returns "namespace/name".
func (k Key) String() string { return k.Namespace + "/" + k.Name }

// Partition tells which of n partitions a key belongs to.
func (k Key) Partition(n int) int {
	return int(xxhash.Sum64String(k.Namespace+"\x00"+k.Name) % uint64(n))
}

// AttemptID names one try of an entry to run a key's work. It is unique over
// all lives of all entries.
type AttemptID string

// Outcome is how the work of a key ended.
type Outcome int32

// The outcomes. NotRun is recorded only when no byte of the work was sent.
const (
	// OutcomePending: an intent won and nothing else is recorded. Readers other
	// than the winner treat it as OutcomeUnknown.
	OutcomePending Outcome = iota
	OutcomeDone
	OutcomeNotRun
	OutcomeFailed
	OutcomeUnknown
)

// String returns the word used on every surface.
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

// Intent asks to run the work of a key.
type Intent struct {
	Key Key
	// Issued is when the caller made the key; a key and its issue time belong
	// together and never change.
	Issued time.Time
	// SendBy is the last moment, on this process's clock, to start sending.
	SendBy time.Time
}

// KeyStatus is what is recorded of a key that another attempt has won.
type KeyStatus struct {
	Outcome Outcome
	// Winner is the attempt that won the key.
	Winner AttemptID
	// Summary is what the winner's entry recorded of the answer.
	Summary []byte
}

// Row is one key as an operator sees it.
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

// Errors of Begin. Each proves that this attempt sent nothing.
const (
	// ErrLogUnavailable means that the log refused the intent.
	ErrLogUnavailable = errors.ConstError("log service unavailable; nothing was sent, retry with the same key when it is back")
	// ErrNotSettled means that the intent's fate is unknown; it is voided.
	ErrNotSettled = errors.ConstError("the intent could not be confirmed in time; nothing was sent, retry with the same key")
	// ErrKeyExpired means that the key is older than the deduplication window,
	// or than the log's oldest kept record.
	ErrKeyExpired = errors.ConstError("key older than the deduplication window; make sure that it did not run, then issue a new one")
	// ErrKeyFromFuture means that the issue time lies too far ahead.
	ErrKeyFromFuture = errors.ConstError("key issued in the future; set the caller's clock")
	// ErrFull means that the partition's index has no place.
	ErrFull = errors.ConstError("booking index full; retry with the same key when older keys have expired")
	// ErrAttemptDead means that this attempt was voided before.
	ErrAttemptDead = errors.ConstError("attempt was voided; retry with the same key")
)

// Errors of Resolve.
const (
	// ErrNotOpen means that there is nothing to resolve.
	ErrNotOpen = errors.ConstError("key is not open; show it to see its outcome")
	// ErrTooEarly means that the winner may still send.
	ErrTooEarly = errors.ConstError("the winner's send-by time is not well past; resolve the key later")
)

// MaxSummaryBytes bounds what End records of an answer.
const MaxSummaryBytes = 1024

// ErrSummaryTooLarge means that a summary is over MaxSummaryBytes.
const ErrSummaryTooLarge = errors.ConstError("summary over the limit; shorten it")

// Limits are the times and bounds of a journal. All instances must use the
// same ones.
type Limits struct {
	// Window is how long after its issue a key is told apart from new ones.
	// The log must keep records for at least twice as long.
	Window time.Duration
	// MaxFuture is how far ahead of the log's clock an issue time may lie.
	MaxFuture time.Duration
	// ResolveMargin is how long after its send-by time, by the log's clock, a
	// key may be resolved.
	ResolveMargin time.Duration
	// Partitions is the number of streams; changing it needs an empty journal.
	Partitions int
	// AppendsPerSecond bounds the appends of all writers together.
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

// AppendInterval is the least time between two appends to one partition.
func (l Limits) AppendInterval() time.Duration {
	return time.Second * time.Duration(l.Partitions) / time.Duration(l.AppendsPerSecond)
}

// Check returns an error when the limits cannot be kept together.
func (l Limits) Check() error {
	const slowest = 500 * time.Millisecond
	if l.AppendInterval() > slowest {
		return fmt.Errorf("%d partitions at %d appends a second wait %s for each append; use fewer partitions or more appends",
			l.Partitions, l.AppendsPerSecond, l.AppendInterval())
	}
	return nil
}
