package journal

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
)

const (
	// ownershipPoll is the time between looks at who owns what.
	ownershipPoll = 250 * time.Millisecond
	// writerIdle is how long a writer that is not the owner stays.
	writerIdle = 30 * time.Second
	// askPause is the time between tries to reach a writer.
	askPause = 50 * time.Millisecond
	// askTimeout bounds one call of a writer.
	askTimeout = 3 * time.Second
	// deliverPause is the time between tries to record an outcome or a void.
	deliverPause = 500 * time.Millisecond
)

// Mesh is what a Journal needs of the sessions between instances. Nil makes
// this process the writer of everything.
type Mesh interface {
	mesh.Caller
	mesh.Registrar
}

// Options sets up a Journal.
type Options struct {
	Log eventlog.Log
	// StreamPrefix and a partition's number name its stream.
	StreamPrefix string
	Self         instance.Process
	Limits       Limits
	// OwnerOf names the instance that should write a partition, or "".
	OwnerOf func(partition int) instance.ID
	Mesh    Mesh
	Clock   clock.Clock
	Events  events.Sink
}

// Journal is the shell that entries, writers and operators use.
type Journal struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	// deliveries counts the outcomes and voids still to be recorded.
	deliveries atomic.Int64

	mu      sync.Mutex
	writers map[int]*partitionWriter
	names   uint64
	closed  bool
}

// Start registers the handlers and begins to write the partitions that this
// instance owns.
func Start(o Options) (*Journal, error) {
	if o.Log == nil || o.StreamPrefix == "" || o.Self.ID == "" {
		return nil, errors.New("journal needs a log, a stream prefix and an instance; set Log, StreamPrefix and Self")
	}
	o.Limits = o.Limits.withDefaults()
	if err := o.Limits.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	if o.OwnerOf == nil {
		self := o.Self.ID
		o.OwnerOf = func(int) instance.ID { return self }
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{options: o, ctx: ctx, cancel: cancel, writers: make(map[int]*partitionWriter)}
	if o.Mesh != nil {
		o.Mesh.OnCall(KindSubmit, j.onSubmit)
		o.Mesh.OnCall(KindShow, j.onShow)
	}
	go j.watchOwnership()
	return j, nil
}

// Limits returns the limits in use.
func (j *Journal) Limits() Limits { return j.options.Limits }

// Drain waits until every outcome and void is recorded, or ctx ends.
func (j *Journal) Drain(ctx context.Context) error {
	ticker := time.NewTicker(askPause)
	defer ticker.Stop()
	for j.deliveries.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d outcomes are not recorded; their keys stay unknown if this process ends now", j.deliveries.Load())
		}
	}
	return nil
}

// Close stops the writers. Records not yet appended are dropped.
func (j *Journal) Close() {
	j.cancel()
	j.mu.Lock()
	j.closed = true
	writers := j.writers
	j.writers = make(map[int]*partitionWriter)
	j.mu.Unlock()
	for _, w := range writers {
		w.stop()
	}
}

func (j *Journal) streamOf(partition int) eventlog.Stream {
	return eventlog.Stream(fmt.Sprintf("%s-%d", j.options.StreamPrefix, partition))
}

// nextName returns a name that is unique over all lives of all instances.
func (j *Journal) nextName() string {
	j.names++
	return fmt.Sprintf("%s/%d", j.options.Self, j.names)
}

// writer returns the partition's writer in this process, starting it when
// needed.
func (j *Journal) writer(partition int) (*partitionWriter, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return nil, errWriterStopped
	}
	w := j.writers[partition]
	if w == nil {
		w = j.startWriter(partition)
		j.writers[partition] = w
	}
	return w, nil
}

// watchOwnership starts the writers of owned partitions, so that their index
// is loaded before it is asked for, and stops those that are left and idle.
func (j *Journal) watchOwnership() {
	ticker := time.NewTicker(ownershipPoll)
	defer ticker.Stop()
	for {
		for p := range j.options.Limits.Partitions {
			if j.options.OwnerOf(p) == j.options.Self.ID {
				if w, err := j.writer(p); err == nil {
					w.touch()
				}
				continue
			}
			j.stopIdle(p)
		}
		select {
		case <-j.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (j *Journal) stopIdle(partition int) {
	j.mu.Lock()
	w := j.writers[partition]
	if w == nil || w.idleFor(j.options.Clock.Now()) < writerIdle {
		j.mu.Unlock()
		return
	}
	delete(j.writers, partition)
	j.mu.Unlock()
	w.stop()
}

// submit sends a record to the partition's owner. The second result tells
// whether the record may stand in spite of an error.
func (j *Journal) submit(ctx context.Context, k Key, r *journalpb.Record) (Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	partition := k.Partition(j.options.Limits.Partitions)
	owner := j.options.OwnerOf(partition)
	if owner == "" {
		return Answer{}, false, mesh.ErrNoPeer
	}
	if owner != j.options.Self.ID && j.options.Mesh != nil {
		return j.submitRemote(ctx, owner, partition, r)
	}
	w, err := j.writer(partition)
	if err != nil {
		return Answer{}, false, err
	}
	a, err := w.submit(ctx, r)
	return a, err != nil, err
}
