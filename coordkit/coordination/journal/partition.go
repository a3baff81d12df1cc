package journal

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	appendTimeout = 5 * time.Second
	readTimeout   = 5 * time.Second
	// activeTickInterval is the time between ticks while records are queued or
	// outstanding.
	activeTickInterval = 5 * time.Millisecond
	idleTickInterval   = 100 * time.Millisecond
	inboxSize          = 4096
)

// partitionWriter runs one Writer against the log on a goroutine of its own.
type partitionWriter struct {
	journal   *Journal
	partition int
	stream    eventlog.Stream
	writer    *Writer
	inbox     chan func(now time.Time)
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}

	lastToken      uint64
	waiters        map[uint64]chan Answer
	logUnreachable bool

	mu sync.Mutex
	// lastUsed is the time of the last request or ownership check.
	lastUsed time.Time
}

func (j *Journal) startWriter(partition int) *partitionWriter {
	ctx, cancel := context.WithCancel(j.ctx)
	w := &partitionWriter{
		journal:   j,
		partition: partition,
		stream:    j.stream(partition),
		writer:    NewWriter(WriterConfig{ID: j.nextID(), Limits: j.options.Limits}),
		inbox:     make(chan func(time.Time), inboxSize),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		waiters:   make(map[uint64]chan Answer),
		lastUsed:  j.options.Clock.Now(),
	}
	j.options.Events.Emit(eventWriterStarted, events.F("partition", partition))
	go w.loop()
	return w
}

func (w *partitionWriter) loop() {
	defer close(w.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	idle := false
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-timer.C:
			w.step(Tick{})
			idle = w.writer.Idle()
			timer.Reset(w.tickInterval(idle))
		case f := <-w.inbox:
			f(w.journal.options.Clock.Now())
			if idle && !w.writer.Idle() {
				idle = false
				timer.Reset(activeTickInterval)
			}
		}
	}
}

func (w *partitionWriter) tickInterval(idle bool) time.Duration {
	if idle {
		return idleTickInterval
	}
	return activeTickInterval
}

func (w *partitionWriter) post(f func(now time.Time)) bool {
	select {
	case w.inbox <- f:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *partitionWriter) step(e WriterEvent) {
	for _, effect := range w.writer.Step(w.journal.options.Clock.Now(), e) {
		switch effect := effect.(type) {
		case AppendBatch:
			go w.append(effect)
		case ReadLog:
			go w.read(effect)
		case Reply:
			if answer, ok := w.waiters[effect.Token]; ok {
				delete(w.waiters, effect.Token)
				answer <- effect.Answer
			}
		case StreamLost:
			w.journal.options.Events.Emit(eventStreamLost,
				events.F("partition", w.partition), events.F("open", effect.OpenKeys))
		}
	}
}

func (w *partitionWriter) append(e AppendBatch) {
	ctx, cancel := context.WithTimeout(w.ctx, appendTimeout)
	defer cancel()
	offset, err := w.journal.options.Log.Append(ctx, w.stream, e.Data)
	w.post(func(time.Time) { w.step(Appended{BatchID: e.ID, Offset: offset, Err: err}) })
}

func (w *partitionWriter) read(e ReadLog) {
	ctx, cancel := context.WithTimeout(w.ctx, readTimeout)
	defer cancel()
	batch, err := w.journal.options.Log.Read(ctx, w.stream, e.From, e.Limit)
	w.post(func(time.Time) {
		w.updateLogState(err)
		w.step(ReadCompleted{Batch: batch, Err: err})
	})
}

func (w *partitionWriter) updateLogState(err error) {
	unreachable := err != nil && !errors.Is(err, eventlog.ErrExpired)
	if unreachable == w.logUnreachable {
		return
	}
	w.logUnreachable = unreachable
	if unreachable {
		w.journal.options.Events.Emit(eventLogUnreachable, events.F("partition", w.partition), events.F("error", err.Error()))
		return
	}
	w.journal.options.Events.Emit(eventLogReachable, events.F("partition", w.partition))
}

// submit appends a record and returns the answer. After an error the record may
// have been appended.
func (w *partitionWriter) submit(ctx context.Context, r *journalpb.Record) (Answer, error) {
	w.touch()
	answer := make(chan Answer, 1)
	posted := w.post(func(time.Time) {
		w.lastToken++
		w.waiters[w.lastToken] = answer
		w.step(Submit{Token: w.lastToken, Record: r})
	})
	if !posted {
		return Answer{}, errWriterStopped
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return Answer{}, errors.Trace(ctx.Err())
	case <-w.ctx.Done():
		return Answer{}, errWriterStopped
	}
}

// errWriterStopped means that the writer stopped before it answered.
const errWriterStopped = errors.ConstError("journal writer stopped; the record may stand, ask the partition's next writer")

// rows waits until the index is loaded and returns the matching rows.
func (w *partitionWriter) rows(ctx context.Context, f Filter) ([]Row, error) {
	w.touch()
	for {
		type result struct {
			rows   []Row
			loaded bool
		}
		answer := make(chan result, 1)
		w.post(func(time.Time) { answer <- result{w.query(f), w.writer.Loaded()} })
		select {
		case r := <-answer:
			if r.loaded {
				return r.rows, nil
			}
		case <-w.ctx.Done():
			return nil, errWriterStopped
		}
		select {
		case <-time.After(activeTickInterval):
		case <-ctx.Done():
			return nil, errors.Annotate(ctx.Err(), "journal index is still loading; try again")
		}
	}
}

func (w *partitionWriter) query(f Filter) []Row {
	if f.Key == (Key{}) {
		return w.writer.Index().Rows(f.Namespace, f.OpenOnly, f.Limit)
	}
	if row, ok := w.writer.Index().Find(f.Key); ok {
		return []Row{row}
	}
	return nil
}

func (w *partitionWriter) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastUsed = w.journal.options.Clock.Now()
}

func (w *partitionWriter) idleFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastUsed)
}

func (w *partitionWriter) stop() {
	w.cancel()
	<-w.done
	w.journal.options.Events.Emit(eventWriterStopped, events.F("partition", w.partition))
}
