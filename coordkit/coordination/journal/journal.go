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
	// ownershipPollInterval is the time between checks of the partition owners.
	ownershipPollInterval = 250 * time.Millisecond
	// writerIdleTimeout is how long a writer keeps running without requests when
	// its instance does not own the partition.
	writerIdleTimeout = 30 * time.Second
	// submitRetryInterval is the time between attempts to submit an intent.
	submitRetryInterval = 50 * time.Millisecond
	// submitTimeout bounds one submission to a writer.
	submitTimeout = 3 * time.Second
	// deliverRetryInterval is the time between attempts to record an outcome or
	// a void.
	deliverRetryInterval = 500 * time.Millisecond
)

// Mesh is the part of the mesh that a Journal uses to reach the writers on other
// instances.
type Mesh interface {
	mesh.Caller
	mesh.Registrar
}

// Options configures a Journal.
type Options struct {
	Log eventlog.Log
	// StreamPrefix and the partition number form the name of a partition's
	// stream.
	StreamPrefix string
	Self         instance.Process
	Limits       Limits
	// OwnerOf returns the instance that should write a partition, or "" if it is
	// unknown. Nil makes this instance the owner of all partitions.
	OwnerOf func(partition int) instance.ID
	// Mesh may be nil; then this process writes all partitions.
	Mesh   Mesh
	Clock  clock.Clock
	Events events.Sink
}

// Journal runs the partition writers of this process and serves entries and
// operators. It is safe for concurrent use.
type Journal struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	// deliveries is the number of outcomes and voids not recorded yet.
	deliveries atomic.Int64

	mu      sync.Mutex
	writers map[int]*partitionWriter
	lastID  uint64
	closed  bool
}

// Start registers the mesh handlers and starts the writers of the partitions
// that this instance owns.
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

// Drain waits until every outcome and void is recorded or ctx ends.
func (j *Journal) Drain(ctx context.Context) error {
	ticker := time.NewTicker(submitRetryInterval)
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

func (j *Journal) stream(partition int) eventlog.Stream {
	return eventlog.Stream(fmt.Sprintf("%s-%d", j.options.StreamPrefix, partition))
}

// nextID returns an id that is unique across all incarnations of all instances.
// j.mu must be held.
func (j *Journal) nextID() string {
	j.lastID++
	return fmt.Sprintf("%s/%d", j.options.Self, j.lastID)
}

// writer returns this process's writer of the partition and starts it if needed.
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

// watchOwnership starts the writers of owned partitions, so that their indexes
// are loaded before the first request. It stops idle writers of partitions that
// this instance no longer owns.
func (j *Journal) watchOwnership() {
	ticker := time.NewTicker(ownershipPollInterval)
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
	if w == nil || w.idleFor(j.options.Clock.Now()) < writerIdleTimeout {
		j.mu.Unlock()
		return
	}
	delete(j.writers, partition)
	j.mu.Unlock()
	w.stop()
}

// submit sends a record to the partition's owner. On an error, the second result
// reports whether the record may have been appended all the same.
func (j *Journal) submit(ctx context.Context, k Key, r *journalpb.Record) (Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
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
