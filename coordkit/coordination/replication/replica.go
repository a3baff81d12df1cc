package replication

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	invariantNeverReverts invariant.Name = "configuration-never-reverts"
	invariantOneRead      invariant.Name = "configuration-one-read-outstanding"
)

// Config configures a Replica.
type Config struct {
	Self  instance.ID
	Rules configstore.Rules
	// Seed seeds the jitter of reads.
	Seed uint64
	// SnapshotEvery is how many changes may follow a snapshot before the next
	// one.
	SnapshotEvery int
	// SnapshotAge is the maximum age, by the log's clock, of the newest
	// snapshot while changes follow it; keep it far below the log's retention.
	SnapshotAge time.Duration
}

const (
	defaultSnapshotEvery = 1000
	defaultSnapshotAge   = 6 * time.Hour
)

// phase is the stage of a Replica's use of the log.
type phase int

const (
	// phaseAwaitingPeers: the log has not been read yet.
	phaseAwaitingPeers phase = iota
	phaseLoading
	phaseFollowing
)

// Replica is the state machine of one instance. It is not safe for concurrent
// use.
type Replica struct {
	config Config
	random *rand.Rand
	peers  []instance.ID

	phase phase
	// applier holds the current state. Its revision never decreases.
	applier *applier
	// publishedRevision is the revision of the last PublishView.
	publishedRevision configstore.Revision
	// loaded is set once a state was obtained from the log or a peer.
	loaded bool
	// blocked is set when a change needs rules that this release does not have.
	blocked bool
	started time.Time
	loader  *loader

	// reading is set while a ReadLog is outstanding.
	reading    bool
	nextReadAt time.Time
	// readBackoffUntil delays reads after a failed one.
	readBackoffUntil time.Time
	// logLostSince is when the stream first appeared lost, or zero.
	logLostSince time.Time
	// contestSince is when a later generation was found that was opened from an
	// older state than the current one, or zero.
	contestSince time.Time
	// lastPeerMessage is when the last message from a peer was received.
	lastPeerMessage time.Time

	recent recordCache
	lag    lagTracker
	fetch  fetchState
	// emptyPeers are the peers that reported having no state.
	emptyPeers map[instance.ID]bool
	commits    commitQueue
	snap       snapshotState
	effects    []Effect
}

// NewReplica returns a Replica that starts at now.
func NewReplica(c Config, now time.Time) *Replica {
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.SnapshotAge == 0 {
		c.SnapshotAge = defaultSnapshotAge
	}
	return &Replica{
		config:  c,
		random:  rand.New(rand.NewPCG(c.Seed, hashString(string(c.Self)))),
		applier: newApplier(c.Rules, configstore.NewStore(c.Rules)),
		started: now,
		commits: newCommitQueue(),

		emptyPeers: make(map[instance.ID]bool),
	}
}

// Step processes one event and returns the effects to execute.
func (r *Replica) Step(now time.Time, e Event) []Effect {
	r.effects = nil
	switch e := e.(type) {
	case Tick:
		r.peers = e.Peers
	case ReadCompleted:
		r.handleRead(now, e)
	case PeerRecords:
		r.handlePeerRecords(now, e)
	case PeerSnapshot:
		r.handlePeerSnapshot(now, e)
	case FetchFailed:
		r.fetch.done()
	case PeerRevision:
		r.handlePeerRevision(now, e)
	case Submit:
		r.submit(now, e.Change)
	case AbandonCommit:
		r.commits.remove(e.ChangeID)
	case Appended:
		r.handleAppend(now, e)
	}
	r.advance(now)
	return r.effects
}

// advance starts the actions that are due.
func (r *Replica) advance(now time.Time) {
	r.publish()
	r.fetchIfBehind(now)
	r.retryCommits(now)
	r.snapshotIfDue(now)
	r.readIfDue(now)
}

// Ready reports whether a state has been loaded.
func (r *Replica) Ready() bool { return r.loaded }

// View returns the current objects.
func (r *Replica) View() configstore.View { return r.applier.store.View() }

// Revision returns the current revision.
func (r *Replica) Revision() configstore.Revision { return r.applier.store.Revision() }

// History returns the retained verdicts, oldest first.
func (r *Replica) History() []configstore.Verdict { return r.applier.store.History() }

// Stale reports whether a newer revision has been known for longer than
// StaleAfter; no new work may be accepted then.
func (r *Replica) Stale(now time.Time) bool { return r.Lag(now) > StaleAfter }

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) notify(n Notice, detail string) { r.emit(EmitNotice{Notice: n, Detail: detail}) }

// publish emits the state when its revision has changed.
func (r *Replica) publish() {
	revision := r.Revision()
	r.lag.advance(revision)
	if !r.loaded || revision == r.publishedRevision {
		return
	}
	if !invariant.Check(revision > r.publishedRevision, invariantNeverReverts, "%s after %s", revision, r.publishedRevision) {
		return
	}
	r.publishedRevision = revision
	r.emit(PublishView{View: r.View()})
}

// adopt replaces the current state if the new one is newer.
func (r *Replica) adopt(next *applier) bool {
	if next.store.Revision() <= r.Revision() && r.loaded {
		return false
	}
	previous := r.applier.store
	r.applier = next
	r.loaded = true
	r.recent.clear()
	r.snap.cancelReopen()
	r.contestSince = time.Time{}
	if previous.Revision() != 0 && previous.Revision().Generation() != next.store.Revision().Generation() {
		r.notifyReopened(previous)
	}
	r.completeFromHistory()
	return true
}

func (r *Replica) notifyReopened(previous *configstore.Store) {
	r.notify(NoticeReopened, "revision "+r.Revision().String())
	for _, v := range previous.History() {
		if _, found := r.applier.store.Lookup(v.ChangeID); v.Accepted && !found && v.Revision > r.applier.store.Opening().From {
			r.notify(NoticeDiverged, v.ChangeID)
		}
	}
}

// cursor is the offset of the next record to apply.
func (r *Replica) cursor() eventlog.Offset {
	return eventlog.Offset(r.Revision().Offset()) + 1
}

// applyRecord applies the next record of the stream.
func (r *Replica) applyRecord(now time.Time, rec eventlog.Record) bool {
	result, err := r.applier.apply(rec)
	if errors.Is(err, configstore.ErrUnknownRules) {
		r.block()
		return false
	}
	r.recent.add(rec)
	r.snap.recordApplied(rec, result)
	if result.reopened {
		r.notifyReopened(result.replaced)
		r.recent.clear()
		r.snap.cancelReopen()
		r.completeFromHistory()
	}
	if result.verdict != nil {
		r.completeCommit(*result.verdict)
	}
	return true
}

func (r *Replica) block() {
	if !r.blocked {
		r.notify(NoticeUnknownRules, "revision "+r.Revision().String())
	}
	r.blocked = true
}

// Lag returns how long a newer revision has been known. It always exceeds
// StaleAfter when the rules of a change are unknown.
func (r *Replica) Lag(now time.Time) time.Duration {
	if r.blocked {
		return 2 * StaleAfter
	}
	return r.lag.duration(now)
}
