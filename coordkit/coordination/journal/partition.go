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
	// writerTick is the time between ticks while records wait, idleTick the
	// time while none does.
	writerTick    = 5 * time.Millisecond
	idleTick      = 100 * time.Millisecond
	writerBacklog = 4096
)

// partitionWriter runs one Writer against the log.
type partitionWriter struct {
	journal *Journal
	number  int
	stream  eventlog.Stream
	writer  *Writer
	inbox   chan func(now time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	lastToken uint64
	waiting   map[uint64]chan Answer
	logDown   bool

	mu sync.Mutex
	// used is when the writer last had something to do.
	used time.Time
}

func (j *Journal) startWriter(number int) *partitionWriter {
	ctx, cancel := context.WithCancel(j.ctx)
	w := &partitionWriter{
		journal: j,
		number:  number,
		stream:  j.streamOf(number),
		writer:  NewWriter(WriterConfig{ID: j.nextName(), Limits: j.options.Limits}),
		inbox:   make(chan func(time.Time), writerBacklog),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		waiting: make(map[uint64]chan Answer),
		used:    j.options.Clock.Now(),
	}
	j.options.Events.Emit(eventOwnPart, events.F("partition", number))
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
			timer.Reset(w.tickAfter(idle))
		case f := <-w.inbox:
			f(w.journal.options.Clock.Now())
			if idle && !w.writer.Idle() {
				idle = false
				timer.Reset(writerTick)
			}
		}
	}
}

func (w *partitionWriter) tickAfter(idle bool) time.Duration {
	if idle {
		return idleTick
	}
	return writerTick
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
			if answer, ok := w.waiting[effect.Token]; ok {
				delete(w.waiting, effect.Token)
				answer <- effect.Answer
			}
		case StreamLost:
			w.journal.options.Events.Emit(eventStreamLost,
				events.F("partition", w.number), events.F("open", effect.Open))
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
		w.noteLog(err)
		w.step(ReadCompleted{Batch: batch, Err: err})
	})
}

func (w *partitionWriter) noteLog(err error) {
	down := err != nil && !errors.Is(err, eventlog.ErrExpired)
	if down == w.logDown {
		return
	}
	w.logDown = down
	if down {
		w.journal.options.Events.Emit(eventLogDown, events.F("partition", w.number), events.F("error", err.Error()))
		return
	}
	w.journal.options.Events.Emit(eventLogBack, events.F("partition", w.number))
}

// submit appends a record and returns what became of it. When ctx ends first,
// the record may stand.
func (w *partitionWriter) submit(ctx context.Context, r *journalpb.Record) (Answer, error) {
	w.touch()
	answer := make(chan Answer, 1)
	posted := w.post(func(time.Time) {
		w.lastToken++
		w.waiting[w.lastToken] = answer
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

// errWriterStopped means that the writer ended with the record on its way.
const errWriterStopped = errors.ConstError("journal writer stopped; the record may stand, ask the partition's next writer")

// rows reads the index once it is loaded.
func (w *partitionWriter) rows(ctx context.Context, f Filter) ([]Row, error) {
	w.touch()
	for {
		type result struct {
			rows   []Row
			loaded bool
		}
		answer := make(chan result, 1)
		w.post(func(time.Time) { answer <- result{w.find(f), w.writer.Loaded()} })
		select {
		case r := <-answer:
			if r.loaded {
				return r.rows, nil
			}
		case <-w.ctx.Done():
			return nil, errWriterStopped
		}
		select {
		case <-time.After(writerTick):
		case <-ctx.Done():
			return nil, errors.Annotate(ctx.Err(), "journal index is still loading; try again")
		}
	}
}

func (w *partitionWriter) find(f Filter) []Row {
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
	w.used = w.journal.options.Clock.Now()
}

func (w *partitionWriter) idleFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.used)
}

func (w *partitionWriter) stop() {
	w.cancel()
	<-w.done
	w.journal.options.Events.Emit(eventLeavePart, events.F("partition", w.number))
}
