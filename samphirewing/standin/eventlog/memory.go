// Package eventlog is a stand-in of the platform's append-only log service:
// in the same process, or over HTTP. It limits the rate of appends, keeps
// records for a limited time, and has faults that can be switched on.
package eventlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/standin/netfault"
)

const (
	defaultReadLimit = 1000
	maxRecordBytes   = 1 << 20
)

// Options describes the log service.
type Options struct {
	// AppendsPerSecond is how many appends a second are taken over all
	// streams, with a burst of as many; unlimited when zero.
	AppendsPerSecond float64
	// KeepFor is how long records are kept; for ever when zero.
	KeepFor time.Duration
	// KeepRecords is how many records a stream keeps; all when zero.
	KeepRecords int
	// Latency is how long each call takes.
	Latency time.Duration
	// Clock is the machine's clock by default.
	Clock clock.Clock
}

// Faults are the fault switches. The zero value is a healthy service.
type Faults struct {
	// Down refuses all calls.
	Down bool `json:"down,omitempty"`
	// RefuseAppends refuses appends; reads work.
	RefuseAppends bool `json:"refuse_appends,omitempty"`
	// LoseAnswers loses the answers of that many appends after their
	// effect; -1 of all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SlowMillis is added to the time of each call.
	SlowMillis int64 `json:"slow_ms,omitempty"`
}

// Memory is the log service in this process. It is safe for concurrent use.
type Memory struct {
	options Options
	faults  netfault.Switches[Faults]

	mu      sync.Mutex
	streams map[eventlog.Stream]*records
	// tokens and refilled meter the appends.
	tokens   float64
	refilled time.Time
	appends  int64
}

// records is one stream. Invariant: the offsets of kept are consecutive and
// end just before next.
type records struct {
	kept []eventlog.Record
	next eventlog.Offset
}

var _ eventlog.Log = (*Memory)(nil)

// NewMemory returns an empty log service.
func NewMemory(o Options) *Memory {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &Memory{
		options:  o,
		streams:  make(map[eventlog.Stream]*records),
		tokens:   o.AppendsPerSecond,
		refilled: o.Clock.Now(),
	}
}

// Faults returns the fault switches.
func (m *Memory) Faults() Faults {
	f, _ := m.faults.Get()
	return f
}

// SetFaults replaces the fault switches.
func (m *Memory) SetFaults(f Faults) error {
	m.faults.Set(f)
	return nil
}

// Reset drops every stream, as a service does that comes back empty.
func (m *Memory) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.streams)
}

// Appends returns how many appends were taken.
func (m *Memory) Appends() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.appends
}

// Append appends a record.
func (m *Memory) Append(ctx context.Context, stream eventlog.Stream, data []byte) (eventlog.Offset, error) {
	if err := m.delay(ctx); err != nil {
		return 0, fault.New(eventlog.ErrUnavailable, err)
	}
	if len(data) > maxRecordBytes {
		return 0, fault.Newf(eventlog.ErrUnavailable, "record of %d bytes; at most %d fit", len(data), maxRecordBytes)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	faults, _ := m.faults.Get()
	if faults.Down || faults.RefuseAppends {
		return 0, fault.Newf(eventlog.ErrUnavailable, "refused by a fault switch")
	}
	if !m.takeTokenLocked() {
		return 0, fault.Newf(eventlog.ErrUnavailable, "more than %g appends a second", m.options.AppendsPerSecond)
	}
	offset := m.appendLocked(stream, data)
	if m.takeLostAnswerLocked(faults) {
		return 0, fault.Newf(eventlog.ErrIndeterminate, "lost by a fault switch")
	}
	return offset, nil
}

func (m *Memory) appendLocked(stream eventlog.Stream, data []byte) eventlog.Offset {
	r := m.streamLocked(stream)
	offset := r.next
	r.kept = append(r.kept, eventlog.Record{Offset: offset, Time: m.options.Clock.Now(), Data: slices.Clone(data)})
	r.next++
	m.appends++
	m.expireLocked(r)
	return offset
}

// Read returns records from an offset on.
func (m *Memory) Read(ctx context.Context, stream eventlog.Stream, from eventlog.Offset, limit int) (eventlog.Batch, error) {
	if err := m.delay(ctx); err != nil {
		return eventlog.Batch{}, fault.New(eventlog.ErrUnavailable, err)
	}
	if m.Faults().Down {
		return eventlog.Batch{}, fault.Newf(eventlog.ErrUnavailable, "refused by a fault switch")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.streamLocked(stream)
	m.expireLocked(r)
	batch := eventlog.Batch{Oldest: r.oldest(), Next: r.next}
	if from < batch.Oldest {
		return batch, fault.Newf(eventlog.ErrExpired, "offset %d, oldest %d", from, batch.Oldest)
	}
	if from >= r.next {
		return batch, nil
	}
	if limit <= 0 || limit > defaultReadLimit {
		limit = defaultReadLimit
	}
	found := r.kept[from-batch.Oldest:]
	batch.Records = slices.Clone(found[:min(limit, len(found))])
	return batch, nil
}

func (m *Memory) streamLocked(stream eventlog.Stream) *records {
	r, ok := m.streams[stream]
	if !ok {
		r = &records{next: 1}
		m.streams[stream] = r
	}
	return r
}

func (r *records) oldest() eventlog.Offset { return r.next - eventlog.Offset(len(r.kept)) }

func (m *Memory) expireLocked(r *records) {
	drop := 0
	if m.options.KeepRecords > 0 {
		drop = max(0, len(r.kept)-m.options.KeepRecords)
	}
	if m.options.KeepFor > 0 {
		limit := m.options.Clock.Now().Add(-m.options.KeepFor)
		for drop < len(r.kept) && r.kept[drop].Time.Before(limit) {
			drop++
		}
	}
	r.kept = r.kept[drop:]
}

func (m *Memory) takeTokenLocked() bool {
	rate := m.options.AppendsPerSecond
	if rate <= 0 {
		return true
	}
	now := m.options.Clock.Now()
	m.tokens = min(rate, m.tokens+rate*now.Sub(m.refilled).Seconds())
	m.refilled = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

func (m *Memory) takeLostAnswerLocked(f Faults) bool {
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		m.faults.Set(f)
		return true
	}
	return f.LoseAnswers < 0
}

// delay waits for the latency; it returns the context's error when that ends
// first.
func (m *Memory) delay(ctx context.Context) error {
	wait := m.options.Latency + time.Duration(m.Faults().SlowMillis)*time.Millisecond
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
