package replication

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
)

const (
	tickInterval  = 50 * time.Millisecond
	readTimeout   = 5 * time.Second
	appendTimeout = 5 * time.Second
	fetchTimeout  = 2 * time.Second
	eventBacklog  = 256
	// loadingTick replaces tickInterval until a state is loaded.
	loadingTick = 10 * time.Millisecond
)

// ErrCommitUnsettled means that a commit's context ended before the record
// was read back; it may be accepted later.
const ErrCommitUnsettled = errors.ConstError("change was sent to the log but not read back in time; it may take hold, look for its id in the history before reissuing it")

// Mesh is what a Runner needs of the sessions between instances. Nil disables
// relaying: the log alone is used.
type Mesh interface {
	mesh.Caller
	mesh.Sender
	mesh.Registrar
}

// Options sets up a Runner.
type Options struct {
	Log    eventlog.Log
	Stream eventlog.Stream
	Config Config
	Mesh   Mesh
	// Peers returns the live instances; the own one may be among them.
	Peers  func() []instance.ID
	Clock  clock.Clock
	Events events.Sink
}

// Runner runs a Replica against a log service and its peers.
type Runner struct {
	options Options
	replica *Replica
	inbox   chan request
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	view  atomic.Pointer[viewBox]
	ready chan struct{}
	// behind is since when a newer revision is known, or nil.
	behind   atomic.Pointer[time.Time]
	watchers watcherList
	served   ServedSnapshot
	waiting  map[string]chan Settled
	logDown  bool
}

type viewBox struct{ view configstore.View }

// request is one item of the Runner's inbox: an event, or a function that
// reads or changes the loop's own state.
type request struct {
	event Event
	run   func(now time.Time)
}

// Start registers the handlers and begins to load the configuration.
func Start(o Options) (*Runner, error) {
	if o.Log == nil || o.Stream == "" || o.Config.Self == "" {
		return nil, errors.New("replication needs a log, a stream and an instance; set Log, Stream and Config.Self")
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	if o.Peers == nil {
		o.Peers = func() []instance.ID { return nil }
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		options: o,
		replica: NewReplica(o.Config, o.Clock.Now()),
		inbox:   make(chan request, eventBacklog),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		ready:   make(chan struct{}),
		waiting: make(map[string]chan Settled),
	}
	r.view.Store(&viewBox{view: r.replica.View()})
	if o.Mesh != nil {
		r.register()
	}
	go r.loop()
	return r, nil
}

// Close stops the Runner. Commits that wait fail with ErrCommitUnsettled.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
}

// View returns the objects in force. It is cheap and never blocks.
func (r *Runner) View() configstore.View { return r.view.Load().view }

// Revision returns the revision in force.
func (r *Runner) Revision() configstore.Revision { return r.View().Revision() }

// Ready is closed once the log or a peer has given a state.
func (r *Runner) Ready() <-chan struct{} { return r.ready }

// OnChange calls f with each new state, in order and from one goroutine. f
// must not block for long.
func (r *Runner) OnChange(f func(configstore.View)) { r.watchers.add(f) }

// ObserveRevision tells the revision in force on a peer, as heard in a heartbeat.
func (r *Runner) ObserveRevision(peer instance.ID, revision configstore.Revision) {
	r.post(request{event: RevisionHeard{Peer: peer, Revision: revision}})
}

// Stale tells whether a newer revision has been known for longer than
// StaleAfter, so that no new work may be taken.
func (r *Runner) Stale(now time.Time) bool {
	since := r.behind.Load()
	return since != nil && now.Sub(*since) > StaleAfter
}

// History returns the verdicts kept, oldest first.
func (r *Runner) History(ctx context.Context) ([]configstore.Verdict, error) {
	answer := make(chan []configstore.Verdict, 1)
	r.post(request{run: func(time.Time) { answer <- r.replica.History() }})
	select {
	case h := <-answer:
		return h, nil
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-r.ctx.Done():
		return nil, errors.New("replication has stopped")
	}
}

// Commit appends a change set and returns the verdict once the record is read
// back. Its error is ErrTooLarge, ErrNotReady or ErrUnavailable when nothing
// was appended, and ErrCommitUnsettled when the outcome is not known.
func (r *Runner) Commit(ctx context.Context, c configstore.ChangeSet) (configstore.Verdict, error) {
	if c.ID == "" {
		return configstore.Verdict{}, errors.New("change set has no id; give it a unique one")
	}
	answer := make(chan Settled, 1)
	r.post(request{run: func(now time.Time) {
		r.waiting[c.ID] = answer
		r.carryOut(r.replica.Step(now, Submit{Change: c}))
	}})
	select {
	case s := <-answer:
		return s.Verdict, errors.Trace(s.Err)
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	r.post(request{run: func(now time.Time) {
		delete(r.waiting, c.ID)
		r.carryOut(r.replica.Step(now, Forget{ChangeID: c.ID}))
	}})
	return configstore.Verdict{}, errors.Annotatef(ErrCommitUnsettled, "change %s", c.ID)
}

func (r *Runner) post(q request) {
	select {
	case r.inbox <- q:
	case <-r.ctx.Done():
	}
}

func (r *Runner) loop() {
	defer close(r.done)
	ticker := time.NewTicker(loadingTick)
	defer ticker.Stop()
	loading := true
	r.step(Tick{Peers: r.options.Peers()})
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.step(Tick{Peers: r.options.Peers()})
		case q := <-r.inbox:
			if q.run != nil {
				q.run(r.options.Clock.Now())
				break
			}
			r.step(q.event)
		}
		if loading && r.replica.Ready() {
			loading = false
			close(r.ready)
			ticker.Reset(tickInterval)
		}
	}
}

func (r *Runner) step(e Event) {
	now := r.options.Clock.Now()
	r.carryOut(r.replica.Step(now, e))
	r.noteStale(now)
}

// noteStale publishes since when a newer revision is known.
func (r *Runner) noteStale(now time.Time) {
	wasStale := r.Stale(now)
	var since *time.Time
	if behind := r.replica.BehindFor(now); behind > 0 {
		at := now.Add(-behind)
		since = &at
	}
	r.behind.Store(since)
	switch isStale := r.Stale(now); {
	case isStale && !wasStale:
		r.options.Events.Emit(eventStale, events.F("revision", r.replica.Revision().String()))
	case wasStale && !isStale:
		r.options.Events.Emit(eventCurrent, events.F("revision", r.replica.Revision().String()))
	}
}

// carryOut carries effects out. Commits are answered last, so that whoever
// reads the view after its commit sees the change.
func (r *Runner) carryOut(effects []Effect) {
	defer r.answerCommits(effects)
	for _, e := range effects {
		switch e := e.(type) {
		case ReadLog:
			go r.read(e)
		case AppendRecord:
			go r.append(e)
		case FetchFromPeer:
			go r.fetch(e)
		case RelayRecords:
			r.relay(e)
		case InForce:
			r.view.Store(&viewBox{view: e.View})
			r.watchers.call(e.View)
		case Noted:
			r.options.Events.Emit(noteEvent(e.Note), events.F("detail", e.Detail))
		}
	}
}

func (r *Runner) answerCommits(effects []Effect) {
	for _, e := range effects {
		settled, ok := e.(Settled)
		if !ok {
			continue
		}
		if answer, ok := r.waiting[settled.ChangeID]; ok {
			delete(r.waiting, settled.ChangeID)
			answer <- settled
		}
	}
}

func (r *Runner) read(e ReadLog) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	batch, err := r.options.Log.Read(ctx, r.options.Stream, e.From, e.Limit)
	r.post(request{run: func(time.Time) {
		r.noteLog(err)
		r.step(LogAnswered{From: e.From, Batch: batch, Err: err})
	}})
}

func (r *Runner) noteLog(err error) {
	down := err != nil && !errors.Is(err, eventlog.ErrExpired)
	if down == r.logDown {
		return
	}
	r.logDown = down
	if down {
		r.options.Events.Emit(eventLogDown, events.F("error", err.Error()))
		return
	}
	r.options.Events.Emit(eventLogBack)
}

func (r *Runner) append(e AppendRecord) {
	ctx, cancel := context.WithTimeout(r.ctx, appendTimeout)
	defer cancel()
	offset, err := r.options.Log.Append(ctx, r.options.Stream, e.Data)
	r.post(request{event: Appended{Token: e.Token, Offset: offset, Err: err}})
}
