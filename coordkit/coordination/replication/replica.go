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
	invariantRevisionInForce invariant.Name = "configuration-never-reverts"
	invariantOneRead         invariant.Name = "configuration-one-read-outstanding"
)

// Config sets up a Replica.
type Config struct {
	Self  instance.ID
	Rules configstore.Rules
	// Seed drives the jitter of reads.
	Seed uint64
	// SnapshotEvery is how many changes may follow a snapshot before the next.
	SnapshotEvery int
	// SnapshotAge is how old, by the log's clock, the newest snapshot may
	// become while changes follow it; keep it far under the log's retention.
	SnapshotAge time.Duration
}

const (
	defaultSnapshotEvery = 1000
	defaultSnapshotAge   = 6 * time.Hour
)

// phase is what a Replica does with the log.
type phase int

const (
	// phaseAsking waits for peers before the log is read at all.
	phaseAsking phase = iota
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
	// fold holds the state in force. Its revision never falls.
	fold *streamFold
	// published is the revision last given to InForce.
	published configstore.Revision
	// loaded is set once the log or a peer has given a state.
	loaded bool
	// blocked is set when a change needs rules that this release lacks.
	blocked bool
	started time.Time
	loader  *loader

	// reading is set while a ReadLog is outstanding.
	reading  bool
	nextRead time.Time
	// noReadBefore holds reads back after one that failed.
	noReadBefore time.Time
	// lostSince is when the stream first looked lost, or zero.
	lostSince time.Time
	// contestSince is when a later generation was met that was opened from an
	// older state than the one in force, or zero.
	contestSince time.Time
	// heardPeer is when a peer was last heard.
	heardPeer time.Time

	recent recentRing
	behind behindMarker
	fetch  fetchState
	// emptyPeers are those that answered that they hold nothing.
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
		random:  rand.New(rand.NewPCG(c.Seed, hashOf(string(c.Self)))),
		fold:    newStreamFold(c.Rules, configstore.NewStore(c.Rules)),
		started: now,
		commits: newCommitQueue(),

		emptyPeers: make(map[instance.ID]bool),
	}
}

// Step takes one event and returns what is to be done.
func (r *Replica) Step(now time.Time, e Event) []Effect {
	r.effects = nil
	switch e := e.(type) {
	case Tick:
		r.peers = e.Peers
	case LogAnswered:
		r.logAnswered(now, e)
	case PeerRecords:
		r.peerRecords(now, e)
	case PeerState:
		r.peerState(now, e)
	case PeerFailed:
		r.fetch.done()
	case RevisionHeard:
		r.revisionHeard(now, e)
	case Submit:
		r.submit(now, e.Change)
	case Forget:
		r.commits.remove(e.ChangeID)
	case Appended:
		r.appended(now, e)
	}
	r.advance(now)
	return r.effects
}

// advance starts whatever the time or the state calls for.
func (r *Replica) advance(now time.Time) {
	r.publish()
	r.fetchIfBehind(now)
	r.retryCommits(now)
	r.snapshotIfDue(now)
	r.readIfDue(now)
}

// Ready tells whether a state has been loaded.
func (r *Replica) Ready() bool { return r.loaded }

// View returns the objects in force.
func (r *Replica) View() configstore.View { return r.fold.store.View() }

// Revision returns the revision in force.
func (r *Replica) Revision() configstore.Revision { return r.fold.store.Revision() }

// History returns the verdicts kept, oldest first.
func (r *Replica) History() []configstore.Verdict { return r.fold.store.History() }

// Stale tells whether a newer revision has been known for longer than
// StaleAfter, so that no new work may be taken.
func (r *Replica) Stale(now time.Time) bool { return r.BehindFor(now) > StaleAfter }

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) note(n Note, detail string) { r.emit(Noted{Note: n, Detail: detail}) }

// publish emits the state when it has moved.
func (r *Replica) publish() {
	revision := r.Revision()
	r.behind.reached(revision)
	if !r.loaded || revision == r.published {
		return
	}
	if !invariant.Check(revision > r.published, invariantRevisionInForce, "%s after %s", revision, r.published) {
		return
	}
	r.published = revision
	r.emit(InForce{View: r.View()})
}

// adopt puts a whole state in force if it is newer than the one in force.
func (r *Replica) adopt(fold *streamFold) bool {
	if fold.store.Revision() <= r.Revision() && r.loaded {
		return false
	}
	before := r.fold.store
	r.fold = fold
	r.loaded = true
	r.recent.clear()
	r.snap.cancelReopen()
	r.contestSince = time.Time{}
	if before.Revision() != 0 && before.Revision().Generation() != fold.store.Revision().Generation() {
		r.noteReopened(before)
	}
	r.settleFromHistory()
	return true
}

func (r *Replica) noteReopened(before *configstore.Store) {
	r.note(NoteReopened, "revision "+r.Revision().String())
	for _, v := range before.History() {
		if _, kept := r.fold.store.Lookup(v.ChangeID); v.Accepted && !kept && v.Revision > r.fold.store.Opening().From {
			r.note(NoteDiverged, v.ChangeID)
		}
	}
}

// cursor is the offset of the next record to fold.
func (r *Replica) cursor() eventlog.Offset {
	return eventlog.Offset(r.Revision().Offset()) + 1
}

// foldRecord folds the next record of the stream in force.
func (r *Replica) foldRecord(now time.Time, rec eventlog.Record) bool {
	result, err := r.fold.add(rec)
	if errors.Is(err, configstore.ErrUnknownRules) {
		r.block()
		return false
	}
	r.recent.add(rec)
	r.snap.folded(rec, result)
	if result.reopened {
		r.noteReopened(result.replaced)
		r.recent.clear()
		r.snap.cancelReopen()
		r.settleFromHistory()
	}
	if result.verdict != nil {
		r.settle(*result.verdict)
	}
	return true
}

func (r *Replica) block() {
	if !r.blocked {
		r.note(NoteUnknownRules, "revision "+r.Revision().String())
	}
	r.blocked = true
}

// BehindFor returns how long a newer revision has been known; it is longer
// than StaleAfter from the start when the rules of a change are unknown.
func (r *Replica) BehindFor(now time.Time) time.Duration {
	if r.blocked {
		return 2 * StaleAfter
	}
	return r.behind.since(now)
}
