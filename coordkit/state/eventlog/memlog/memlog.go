// Package memlog keeps an append-only log in memory, for tests, demonstrations
// and programs that embed this library in one process.
package memlog

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
)

// Fault is what one operation of the log does wrong.
type Fault int

// The faults.
const (
	// FaultNone carries the operation out.
	FaultNone Fault = iota
	// FaultDown refuses the operation.
	FaultDown
	// FaultAnswerLost appends the record and loses the answer.
	FaultAnswerLost
	// FaultRequestLost appends nothing, and the caller cannot tell.
	FaultRequestLost
)

// Log is an eventlog.Log in memory. It is safe for concurrent use.
type Log struct {
	clock clock.Clock

	mu      sync.Mutex
	streams map[eventlog.Stream]*stream
	fault   func(append bool) Fault
	appends int64
	reads   int64
}

type stream struct {
	// records are consecutive; records[0] has the offset oldest.
	records []eventlog.Record
	oldest  eventlog.Offset
}

// New returns an empty Log with the times of c.
func New(c clock.Clock) *Log {
	return &Log{clock: c, streams: make(map[eventlog.Stream]*stream)}
}

// SetFault installs a function that is asked before each operation; nil
// removes it.
func (l *Log) SetFault(f func(append bool) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

func (l *Log) stream(name eventlog.Stream) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{oldest: 1}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() eventlog.Offset { return s.oldest + eventlog.Offset(len(s.records)) }

// Append implements eventlog.Log.
func (l *Log) Append(_ context.Context, name eventlog.Stream, data []byte) (eventlog.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	fault := FaultNone
	if l.fault != nil {
		fault = l.fault(true)
	}
	switch fault {
	case FaultDown:
		return 0, errors.Trace(eventlog.ErrUnavailable)
	case FaultRequestLost:
		return 0, errors.Trace(eventlog.ErrIndeterminate)
	}
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, eventlog.Record{
		Offset: offset, Time: l.clock.Now().UTC().Round(0), Data: append([]byte(nil), data...),
	})
	if fault == FaultAnswerLost {
		return 0, errors.Trace(eventlog.ErrIndeterminate)
	}
	return offset, nil
}

// Read implements eventlog.Log.
func (l *Log) Read(_ context.Context, name eventlog.Stream, from eventlog.Offset, limit int) (eventlog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.fault != nil && l.fault(false) != FaultNone {
		return eventlog.Batch{}, errors.Trace(eventlog.ErrUnavailable)
	}
	s := l.stream(name)
	b := eventlog.Batch{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return b, errors.Trace(eventlog.ErrExpired)
	}
	for i := int(from - s.oldest); i < len(s.records) && len(b.Records) < limit; i++ {
		b.Records = append(b.Records, s.records[i])
	}
	return b, nil
}

// Expire drops the records of a stream before an offset.
func (l *Log) Expire(name eventlog.Stream, before eventlog.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := min(max(0, int(before-s.oldest)), len(s.records))
	s.records = append([]eventlog.Record(nil), s.records[n:]...)
	s.oldest += eventlog.Offset(n)
}

// Lose empties every stream; offsets begin at 1 again.
func (l *Log) Lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = make(map[eventlog.Stream]*stream)
}

// Counts returns how many appends and reads were asked for.
func (l *Log) Counts() (appends, reads int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}
