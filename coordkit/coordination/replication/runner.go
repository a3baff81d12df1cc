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
	inboxCapacity = 256
	// loadingTickInterval replaces tickInterval until a state is loaded.
	loadingTickInterval = 10 * time.Millisecond
)

// ErrCommitIndeterminate means that a commit's context ended before the record
// was read back; the change may still be accepted.
const ErrCommitIndeterminate = errors.ConstError("change was sent to the log but not read back in time; it may take hold, look for its id in the history before reissuing it")

// Mesh is the part of the sessions between instances that a Runner uses. Nil
// disables relaying: only the log is used.
type Mesh interface {
	mesh.Caller
	mesh.Sender
	mesh.Registrar
}

// Options configures a Runner.
type Options struct {
	Log    eventlog.Log
	Stream eventlog.Stream
	Config Config
	Mesh   Mesh
	// Peers returns the live instances; it may include this one.
	Peers  func() []instance.ID
	Clock  clock.Clock
	Events events.Sink
}

// Runner runs a Replica against a log service and its peers.
type Runner struct {
	options Options
	replica *Replica
	inbox   chan inboxItem
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	view  atomic.Pointer[viewBox]
	ready chan struct{}
	// behindSince is since when a newer revision is known, or nil.
	behindSince    atomic.Pointer[time.Time]
	watchers       watcherList
	servedSnapshot ServedSnapshot
	pendingCommits map[string]chan CompleteCommit
	logDown        bool
}

// viewBox holds a View, which is an interface, for the atomic pointer.
type viewBox struct{ view configstore.View }

// inboxItem is an event, or a function to run on the loop's goroutine.
type inboxItem struct {
	event Event
	run   func(now time.Time)
}

// Start registers the handlers and starts loading the configuration.
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
		options:        o,
		replica:        NewReplica(o.Config, o.Clock.Now()),
		inbox:          make(chan inboxItem, inboxCapacity),
		ctx:            ctx,
		cancel:         cancel,
		done:           make(chan struct{}),
		ready:          make(chan struct{}),
		pendingCommits: make(map[string]chan CompleteCommit),
	}
	r.view.Store(&viewBox{view: r.replica.View()})
	if o.Mesh != nil {
		r.register()
	}
	go r.loop()
	return r, nil
}

// Close stops the Runner. Pending commits fail with ErrCommitIndeterminate.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
}

// View returns the current objects. It is cheap and never blocks.
func (r *Runner) View() configstore.View { return r.view.Load().view }

// Revision returns the current revision.
func (r *Runner) Revision() configstore.Revision { return r.View().Revision() }

// Ready is closed once a state was obtained from the log or a peer.
func (r *Runner) Ready() <-chan struct{} { return r.ready }

// OnChange calls f with each new state, in order and from one goroutine. f
// must not block for long.
func (r *Runner) OnChange(f func(configstore.View)) { r.watchers.add(f) }

// ObserveRevision passes the current revision of a peer, as received in a
// heartbeat.
func (r *Runner) ObserveRevision(peer instance.ID, revision configstore.Revision) {
	r.post(inboxItem{event: PeerRevision{Peer: peer, Revision: revision}})
}

// Stale reports whether a newer revision has been known for longer than
// StaleAfter; no new work may be accepted then.
func (r *Runner) Stale(now time.Time) bool {
	since := r.behindSince.Load()
	return since != nil && now.Sub(*since) > StaleAfter
}

// History returns the retained verdicts, oldest first.
func (r *Runner) History(ctx context.Context) ([]configstore.Verdict, error) {
	answer := make(chan []configstore.Verdict, 1)
	r.post(inboxItem{run: func(time.Time) { answer <- r.replica.History() }})
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
// was appended, and ErrCommitIndeterminate when the outcome is unknown.
func (r *Runner) Commit(ctx context.Context, c configstore.ChangeSet) (configstore.Verdict, error) {
	if c.ID == "" {
		return configstore.Verdict{}, errors.New("change set has no id; give it a unique one")
	}
	answer := make(chan CompleteCommit, 1)
	r.post(inboxItem{run: func(now time.Time) {
		r.pendingCommits[c.ID] = answer
		r.execute(r.replica.Step(now, Submit{Change: c}))
	}})
	select {
	case s := <-answer:
		return s.Verdict, errors.Trace(s.Err)
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	r.post(inboxItem{run: func(now time.Time) {
		delete(r.pendingCommits, c.ID)
		r.execute(r.replica.Step(now, AbandonCommit{ChangeID: c.ID}))
	}})
	return configstore.Verdict{}, errors.Annotatef(ErrCommitIndeterminate, "change %s", c.ID)
}

func (r *Runner) post(item inboxItem) {
	select {
	case r.inbox <- item:
	case <-r.ctx.Done():
	}
}

func (r *Runner) loop() {
	defer close(r.done)
	ticker := time.NewTicker(loadingTickInterval)
	defer ticker.Stop()
	loading := true
	r.step(Tick{Peers: r.options.Peers()})
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.step(Tick{Peers: r.options.Peers()})
		case item := <-r.inbox:
			if item.run != nil {
				item.run(r.options.Clock.Now())
				break
			}
			r.step(item.event)
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
	r.execute(r.replica.Step(now, e))
	r.updateStaleness(now)
}

// updateStaleness publishes since when a newer revision is known.
func (r *Runner) updateStaleness(now time.Time) {
	wasStale := r.Stale(now)
	var since *time.Time
	if behind := r.replica.Lag(now); behind > 0 {
		at := now.Add(-behind)
		since = &at
	}
	r.behindSince.Store(since)
	switch isStale := r.Stale(now); {
	case isStale && !wasStale:
		r.options.Events.Emit(eventStale, events.F("revision", r.replica.Revision().String()))
	case wasStale && !isStale:
		r.options.Events.Emit(eventCurrent, events.F("revision", r.replica.Revision().String()))
	}
}

// execute executes effects. Commits are answered last, so that a caller that
// reads the view after its commit sees the change.
func (r *Runner) execute(effects []Effect) {
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
		case PublishView:
			r.view.Store(&viewBox{view: e.View})
			r.watchers.call(e.View)
		case EmitNotice:
			r.options.Events.Emit(noticeEvent(e.Notice), events.F("detail", e.Detail))
		}
	}
}

func (r *Runner) answerCommits(effects []Effect) {
	for _, e := range effects {
		completed, ok := e.(CompleteCommit)
		if !ok {
			continue
		}
		if answer, ok := r.pendingCommits[completed.ChangeID]; ok {
			delete(r.pendingCommits, completed.ChangeID)
			answer <- completed
		}
	}
}

func (r *Runner) read(e ReadLog) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	batch, err := r.options.Log.Read(ctx, r.options.Stream, e.From, e.Limit)
	r.post(inboxItem{run: func(time.Time) {
		r.reportLogState(err)
		r.step(ReadCompleted{From: e.From, Batch: batch, Err: err})
	}})
}

func (r *Runner) reportLogState(err error) {
	down := err != nil && !errors.Is(err, eventlog.ErrExpired)
	if down == r.logDown {
		return
	}
	r.logDown = down
	if down {
		r.options.Events.Emit(eventLogUnreachable, events.F("error", err.Error()))
		return
	}
	r.options.Events.Emit(eventLogReachable)
}

func (r *Runner) append(e AppendRecord) {
	ctx, cancel := context.WithTimeout(r.ctx, appendTimeout)
	defer cancel()
	offset, err := r.options.Log.Append(ctx, r.options.Stream, e.Data)
	r.post(inboxItem{event: Appended{Token: e.Token, Offset: offset, Err: err}})
}
