package simulation

import (
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/eventlog"
)

// retention is how long the fake log keeps records.
const retention = 40 * time.Second

// answerTimeout is when a lost answer is noticed.
const answerTimeout = time.Second

// fakeLog is the log service in virtual time.
type fakeLog struct {
	world   *world
	streams map[eventlog.Stream]*fakeStream
	down    bool
	slow    bool
	// answersLostPerMille and requestsLostPerMille hold for appends.
	answersLostPerMille  int
	requestsLostPerMille int
	// losses counts how often all records were lost.
	losses int
}

type fakeStream struct {
	records []eventlog.Record
	oldest  eventlog.Offset
}

func newFakeLog(w *world) *fakeLog {
	return &fakeLog{world: w, streams: make(map[eventlog.Stream]*fakeStream)}
}

func (l *fakeLog) stream(name eventlog.Stream) *fakeStream {
	s := l.streams[name]
	if s == nil {
		s = &fakeStream{oldest: 1}
		l.streams[name] = s
	}
	for len(s.records) > 0 && l.world.now.Sub(s.records[0].Time) > retention {
		s.records = s.records[1:]
		s.oldest++
	}
	return s
}

func (s *fakeStream) next() eventlog.Offset { return s.oldest + eventlog.Offset(len(s.records)) }

// lose empties every stream.
func (l *fakeLog) lose() {
	l.losses++
	l.streams = make(map[eventlog.Stream]*fakeStream)
}

func (l *fakeLog) delay() time.Duration {
	if l.slow {
		return l.world.between(10*time.Millisecond, 1500*time.Millisecond)
	}
	return l.world.between(time.Millisecond, 8*time.Millisecond)
}

// append carries an append out for a node; done runs on the node's life that
// asked.
func (l *fakeLog) append(n *node, name eventlog.Stream, data []byte, answer func(eventlog.Offset, error)) {
	w := l.world
	life := n.life
	done := func(o eventlog.Offset, err error) {
		if n.life == life {
			answer(o, err)
		}
	}
	w.after(l.delay(), func() {
		if l.down {
			n.later(l.delay(), func() { done(0, errors.Trace(eventlog.ErrUnavailable)) })
			return
		}
		if w.chance(l.requestsLostPerMille) {
			n.later(answerTimeout, func() { done(0, errors.Trace(eventlog.ErrIndeterminate)) })
			return
		}
		s := l.stream(name)
		offset := s.next()
		s.records = append(s.records, eventlog.Record{Offset: offset, Time: w.now, Data: data})
		if w.chance(l.answersLostPerMille) {
			n.later(answerTimeout, func() { done(0, errors.Trace(eventlog.ErrIndeterminate)) })
			return
		}
		n.later(l.delay(), func() { done(offset, nil) })
	})
}

// read carries a read out for a node.
func (l *fakeLog) read(n *node, name eventlog.Stream, from eventlog.Offset, limit int, answer func(eventlog.Batch, error)) {
	life := n.life
	done := func(b eventlog.Batch, err error) {
		if n.life == life {
			answer(b, err)
		}
	}
	l.world.after(l.delay(), func() {
		if l.down {
			n.later(l.delay(), func() { done(eventlog.Batch{}, errors.Trace(eventlog.ErrUnavailable)) })
			return
		}
		batch, err := l.readNow(name, from, limit)
		n.later(l.delay(), func() { done(batch, err) })
	})
}

func (l *fakeLog) readNow(name eventlog.Stream, from eventlog.Offset, limit int) (eventlog.Batch, error) {
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
