package replication

import (
	"fmt"
	"time"

	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// snapshotState decides when this instance appends a snapshot.
type snapshotState struct {
	// lastRevision is the revision of the newest snapshot known in the log,
	// lastTime when its last chunk was appended, by the log's clock.
	lastRevision configstore.Revision
	lastTime     time.Time
	// changesSinceLast counts the changes applied since that snapshot.
	changesSinceLast int
	// dueAt is when this instance may append the next snapshot, or zero.
	dueAt time.Time
	// reopenAt is when the lost stream may be opened again, before staggering,
	// or zero.
	reopenAt time.Time
	// pending holds the chunks still to be appended, in order, for generation.
	pending    []*configpb.Chunk
	generation configstore.Generation
	// token identifies the outstanding append, or is zero.
	token    uint64
	attempts int
	// completed is set when the last chunk was appended, until that is
	// reported.
	completed bool
}

// recordApplied updates the state after a record of the stream.
func (s *snapshotState) recordApplied(rec eventlog.Record, result applyResult) {
	if s.lastTime.IsZero() {
		s.lastTime = rec.Time
	}
	if result.verdict != nil {
		s.changesSinceLast++
		return
	}
	if result.snapshotRevision != 0 {
		s.lastRevision = max(s.lastRevision, result.snapshotRevision)
		s.lastTime = rec.Time
		s.changesSinceLast = 0
		s.dueAt = time.Time{}
	}
}

// resetFromLoad takes the snapshot state from a load of the log.
func (s *snapshotState) resetFromLoad(l *loader) {
	s.lastRevision = l.lastSnapshot
	s.lastTime = l.lastSnapshotTime
	s.changesSinceLast = l.changes
}

// resetFromPeer resets the state after a snapshot from a peer. It is unknown
// when the log's newest snapshot was appended; now is assumed, so peers that
// know it append theirs first.
func (s *snapshotState) resetFromPeer(now time.Time) {
	s.changesSinceLast = 0
	if s.lastTime.IsZero() {
		s.lastTime = now
	}
}

// scheduleReopen requests an opening snapshot after this instance's stagger
// delay.
func (s *snapshotState) scheduleReopen(now time.Time) {
	if s.reopenAt.IsZero() {
		s.reopenAt = now
	}
}

func (s *snapshotState) cancelReopen() {
	s.reopenAt = time.Time{}
	s.pending = nil
}

// staggeredStart delays a time by this instance's rank, so that instances do
// not append the same snapshot.
func (r *Replica) staggeredStart(from time.Time, salt string) time.Time {
	position := rank(r.config.Self, r.peers, salt)
	return from.Add(time.Duration(position) * staggerDelay)
}

// snapshotIfDue appends the next chunk, or starts a snapshot when this
// instance's stagger delay has passed and no other instance has appended one.
func (r *Replica) snapshotIfDue(now time.Time) {
	if !r.loaded || r.blocked || r.snap.token != 0 || r.Revision() == 0 {
		return
	}
	if len(r.snap.pending) > 0 {
		r.appendChunk()
		return
	}
	if !r.snap.reopenAt.IsZero() {
		if !r.lag.hasNewerIn(r.Revision().Generation()) && !now.Before(r.staggeredStart(r.snap.reopenAt, "reopen "+r.Revision().String())) {
			r.snap.reopenAt = now.Add(snapshotRetryDelay)
			r.startSnapshot(r.Revision().Generation() + 1)
		}
		return
	}
	if r.phase != phaseFollowing || !r.logLostSince.IsZero() || !r.snapshotNeeded(now) {
		return
	}
	if r.snap.dueAt.IsZero() {
		r.snap.dueAt = r.staggeredStart(now, "snapshot "+r.snap.lastRevision.String())
	}
	if !now.Before(r.snap.dueAt) {
		r.snap.dueAt = now.Add(snapshotRetryDelay)
		r.startSnapshot(r.Revision().Generation())
	}
}

// snapshotNeeded reports whether the newest snapshot in the log is followed by
// too many changes, or is so old that it will expire.
func (r *Replica) snapshotNeeded(now time.Time) bool {
	if len(r.lag.marks) > 0 {
		return false
	}
	if r.snap.changesSinceLast >= r.config.SnapshotEvery {
		return true
	}
	return !r.snap.lastTime.IsZero() && now.Sub(r.snap.lastTime) >= r.config.SnapshotAge
}

func (r *Replica) startSnapshot(g configstore.Generation) {
	data, err := r.applier.store.Snapshot()
	if err != nil {
		return
	}
	r.snap.attempts++
	id := fmt.Sprintf("%s/%s/%d", r.config.Self, r.Revision(), r.snap.attempts)
	r.snap.pending = configstore.SplitSnapshot(id, r.Revision(), data)
	r.snap.generation = g
	r.appendChunk()
}

func (r *Replica) appendChunk() {
	data, err := configstore.EncodeChunk(r.snap.generation, r.snap.pending[0])
	if err != nil {
		r.snap.pending = nil
		return
	}
	r.snap.token = r.commits.nextToken()
	r.emit(AppendRecord{Token: r.snap.token, Data: data})
}

// handleAppend processes the result of a chunk's append. A chunk that may not
// have been appended aborts the snapshot; the next attempt has a new id.
func (s *snapshotState) handleAppend(now time.Time, e Appended) bool {
	if e.Token != s.token || s.token == 0 {
		return false
	}
	s.token = 0
	if e.Err != nil || len(s.pending) == 0 {
		s.pending = nil
		s.dueAt = now.Add(snapshotRetryDelay)
		if !s.reopenAt.IsZero() {
			s.reopenAt = now.Add(snapshotRetryDelay)
		}
		return true
	}
	s.pending = s.pending[1:]
	s.completed = len(s.pending) == 0
	return true
}
