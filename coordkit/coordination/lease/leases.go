package lease

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
)

const (
	tickInterval  = 50 * time.Millisecond
	appendTimeout = 5 * time.Second
	readTimeout   = 5 * time.Second
	inboxSize     = 256
)

// Options configures Leases.
type Options struct {
	Log    eventlog.Log
	Stream eventlog.Stream
	// Self is this process. It is unique across all incarnations of all
	// processes that share the stream.
	Self     instance.Process
	Duration time.Duration
	// OnGranted and OnRevoked are called from one goroutine, in order; they
	// must not block.
	OnGranted func(Grant)
	OnRevoked func(Name, Fencing)
	Clock     clock.Clock
	Events    events.Sink
}

// Leases acquires and renews the leases that this process wants. It is safe for
// concurrent use.
type Leases struct {
	options Options
	holder  *Holder
	inbox   chan func(now time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

// Start starts a Leases that initially wants no lease. It reads the log only
// while at least one lease is wanted or being released.
func Start(o Options) (*Leases, error) {
	if o.Log == nil || o.Stream == "" || o.Self.ID == "" {
		return nil, errors.New("leases need a log, a stream and an instance; set Log, Stream and Self")
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leases{
		options: o,
		holder:  NewHolder(HolderConfig{Process: o.Self.String(), Duration: o.Duration}),
		inbox:   make(chan func(time.Time), inboxSize),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go l.loop()
	return l, nil
}

// Close stops acquiring and renewing leases without releasing them; call
// ReleaseAll first to release them.
func (l *Leases) Close() {
	l.cancel()
	<-l.done
}

// Acquire requests a lease, which is renewed until Release. OnGranted reports the
// grant.
func (l *Leases) Acquire(n Name) { l.step(Acquire{Name: n}) }

// Release releases a lease or withdraws the request for it.
func (l *Leases) Release(n Name) { l.step(Release{Name: n}) }

// Raise requests a fencing number above a number that an endpoint has seen.
func (l *Leases) Raise(n Name, above Fencing) { l.step(Raise{Name: n, Above: above}) }

// Valid returns the fencing number of a held lease, or false when the lease is
// not held. It must be called right before the lease is relied on.
func (l *Leases) Valid(n Name) (Fencing, bool) {
	type result struct {
		fencing Fencing
		valid   bool
	}
	answer := make(chan result, 1)
	l.post(func(time.Time) {
		f, ok := l.holder.Valid(l.options.Clock.Now(), n)
		answer <- result{f, ok}
	})
	select {
	case r := <-answer:
		return r.fencing, r.valid
	case <-l.ctx.Done():
		return 0, false
	}
}

// ReleaseAll releases every lease and waits until the releases are read back
// from the log.
func (l *Leases) ReleaseAll(ctx context.Context) error {
	for {
		answer := make(chan int, 1)
		l.post(func(now time.Time) {
			for _, w := range l.holder.sortedWanted() {
				l.carryOut(l.holder.Step(now, Release{Name: w.name}))
			}
			answer <- len(l.holder.wanted)
		})
		select {
		case remaining := <-answer:
			if remaining == 0 {
				return nil
			}
		case <-l.ctx.Done():
			return errors.New("leases closed before all of them were released")
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "leases are not released; they expire by themselves")
		}
	}
}

func (l *Leases) step(e Event) {
	l.post(func(now time.Time) { l.carryOut(l.holder.Step(now, e)) })
}

func (l *Leases) post(f func(now time.Time)) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

func (l *Leases) loop() {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			l.carryOut(l.holder.Step(l.options.Clock.Now(), Tick{}))
		case f := <-l.inbox:
			f(l.options.Clock.Now())
		}
	}
}

func (l *Leases) carryOut(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case AppendRecord:
			go l.append(e)
		case ReadLog:
			go l.read(e)
		case Granted:
			l.options.Events.Emit(eventGranted, events.F("lease", string(e.Grant.Name)), events.F("fencing", int64(e.Grant.Fencing)))
			if l.options.OnGranted != nil {
				l.options.OnGranted(e.Grant)
			}
		case Revoked:
			l.options.Events.Emit(eventRevoked, events.F("lease", string(e.Name)), events.F("fencing", int64(e.Fencing)))
			if l.options.OnRevoked != nil {
				l.options.OnRevoked(e.Name, e.Fencing)
			}
		}
	}
}

func (l *Leases) append(e AppendRecord) {
	ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
	defer cancel()
	_, err := l.options.Log.Append(ctx, l.options.Stream, e.Data)
	l.step(Appended{ID: e.ID, Err: err})
}

func (l *Leases) read(e ReadLog) {
	ctx, cancel := context.WithTimeout(l.ctx, readTimeout)
	defer cancel()
	b, err := l.options.Log.Read(ctx, l.options.Stream, e.From, e.Limit)
	l.step(ReadCompleted{Batch: b, Err: err})
}
