// Package eventlog is a stand-in for the platform's append-only log service, in
// the same process or over HTTP. It limits the rate of appends and the
// retention of records, and has fault switches.
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

// Options configures the log service.
type Options struct {
	// AppendsPerSecond is the rate limit of appends over all streams, and also
	// the burst; unlimited if zero.
	AppendsPerSecond float64
	// Retention is how long records are retained; unlimited if zero.
	Retention time.Duration
	// MaxRecords is the maximum number of retained records per stream;
	// unlimited if zero.
	MaxRecords int
	// Latency is the duration of each call.
	Latency time.Duration
	// Clock is the system clock by default.
	Clock clock.Clock
}

// Faults are the fault switches. The zero value is a healthy service.
type Faults struct {
	// Down rejects all calls.
	Down bool `json:"down,omitempty"`
	// RefuseAppends rejects appends; reads work.
	RefuseAppends bool `json:"refuse_appends,omitempty"`
	// LoseAnswers is the number of appends that take effect but report
	// ErrIndeterminate; -1 for all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SlowMillis is added to the duration of each call, in milliseconds.
	SlowMillis int64 `json:"slow_ms,omitempty"`
}

// Memory is the log service in this process. It is safe for concurrent use.
type Memory struct {
	options Options
	faults  netfault.Switches[Faults]

	mu      sync.Mutex
	streams map[eventlog.Stream]*streamRecords
	// tokens and refilledAt are the token bucket of the append rate limit.
	tokens     float64
	refilledAt time.Time
	appends    int64
}

// streamRecords is one stream. Invariant: the offsets of retained are
// consecutive and the last is next-1.
type streamRecords struct {
	retained []eventlog.Record
	next     eventlog.Offset
}

var _ eventlog.Log = (*Memory)(nil)

// NewMemory returns an empty log service.
func NewMemory(o Options) *Memory {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &Memory{
		options:    o,
		streams:    make(map[eventlog.Stream]*streamRecords),
		tokens:     o.AppendsPerSecond,
		refilledAt: o.Clock.Now(),
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

// Reset drops all streams, as a service that restarts without its data does.
func (m *Memory) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.streams)
}

// Appends returns the number of appends that took effect.
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
	if m.loseAnswerLocked(faults) {
		return 0, fault.Newf(eventlog.ErrIndeterminate, "lost by a fault switch")
	}
	return offset, nil
}

func (m *Memory) appendLocked(stream eventlog.Stream, data []byte) eventlog.Offset {
	r := m.streamLocked(stream)
	offset := r.next
	r.retained = append(r.retained, eventlog.Record{Offset: offset, Time: m.options.Clock.Now(), Data: slices.Clone(data)})
	r.next++
	m.appends++
	m.expireLocked(r)
	return offset
}

// Read returns at most limit records from an offset on. A limit outside 1 to
// defaultReadLimit selects defaultReadLimit.
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
	found := r.retained[from-batch.Oldest:]
	batch.Records = slices.Clone(found[:min(limit, len(found))])
	return batch, nil
}

func (m *Memory) streamLocked(stream eventlog.Stream) *streamRecords {
	r, ok := m.streams[stream]
	if !ok {
		r = &streamRecords{next: 1}
		m.streams[stream] = r
	}
	return r
}

func (r *streamRecords) oldest() eventlog.Offset { return r.next - eventlog.Offset(len(r.retained)) }

func (m *Memory) expireLocked(r *streamRecords) {
	expired := 0
	if m.options.MaxRecords > 0 {
		expired = max(0, len(r.retained)-m.options.MaxRecords)
	}
	if m.options.Retention > 0 {
		cutoff := m.options.Clock.Now().Add(-m.options.Retention)
		for expired < len(r.retained) && r.retained[expired].Time.Before(cutoff) {
			expired++
		}
	}
	r.retained = r.retained[expired:]
}

func (m *Memory) takeTokenLocked() bool {
	rate := m.options.AppendsPerSecond
	if rate <= 0 {
		return true
	}
	now := m.options.Clock.Now()
	m.tokens = min(rate, m.tokens+rate*now.Sub(m.refilledAt).Seconds())
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

func (m *Memory) loseAnswerLocked(f Faults) bool {
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		m.faults.Set(f)
		return true
	}
	return f.LoseAnswers < 0
}

// delay waits for the duration of a call. It returns the context's error if the
// context ends first.
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
