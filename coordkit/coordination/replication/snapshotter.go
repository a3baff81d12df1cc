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
	// last is the revision of the newest snapshot known in the log, lastTime
	// when it was seen by the log's clock.
	last     configstore.Revision
	lastTime time.Time
	// changes counts the changes folded since last.
	changes int
	// dueAt is when this instance's turn comes, or zero.
	dueAt time.Time
	// reopenAt is set while a lost stream waits to be opened again.
	reopenAt time.Time
	// pending are the chunks still to be appended, in order, for generation.
	pending    []*configpb.Chunk
	generation configstore.Generation
	// token is that of the outstanding append, or zero.
	token uint64
	tries int
	// whole is set when the last chunk was appended, until that is noted.
	whole bool
}

// folded notes a record of the stream.
func (s *snapshotState) folded(rec eventlog.Record, result folded) {
	if s.lastTime.IsZero() {
		s.lastTime = rec.Time
	}
	if result.verdict != nil {
		s.changes++
		return
	}
	if result.snapshotRevision != 0 {
		s.last = max(s.last, result.snapshotRevision)
		s.lastTime = rec.Time
		s.changes = 0
		s.dueAt = time.Time{}
	}
}

// loaded notes what a load from the log has met.
func (s *snapshotState) loaded(l *loader) {
	s.last = l.lastSnapshot
	s.lastTime = l.lastSnapshotTime
	s.changes = l.changes
}

// restored notes a state that came from a peer. What the log holds of it is
// not known; the peers that know take their turn first.
func (s *snapshotState) restored(now time.Time) {
	s.changes = 0
	if s.lastTime.IsZero() {
		s.lastTime = now
	}
}

// reopen asks for an opening snapshot, once this instance's turn comes.
func (s *snapshotState) reopen(now time.Time) {
	if s.reopenAt.IsZero() {
		s.reopenAt = now
	}
}

func (s *snapshotState) cancelReopen() {
	s.reopenAt = time.Time{}
	s.pending = nil
}

func (r *Replica) turn(from time.Time, salt string) time.Time {
	place := rank(r.config.Self, r.peers, salt)
	return from.Add(time.Duration(place) * turnDelay)
}

// snapshotIfDue appends the next chunk, or starts a snapshot when it is this
// instance's turn and nobody else has appended one.
func (r *Replica) snapshotIfDue(now time.Time) {
	if !r.loaded || r.blocked || r.snap.token != 0 || r.Revision() == 0 {
		return
	}
	if len(r.snap.pending) > 0 {
		r.appendChunk()
		return
	}
	if !r.snap.reopenAt.IsZero() {
		if !r.behind.inGeneration(r.Revision().Generation()) && !now.Before(r.turn(r.snap.reopenAt, "reopen "+r.Revision().String())) {
			r.snap.reopenAt = now.Add(snapshotRetry)
			r.startSnapshot(r.Revision().Generation() + 1)
		}
		return
	}
	if r.phase != phaseFollowing || !r.lostSince.IsZero() || !r.snapshotWanted(now) {
		return
	}
	if r.snap.dueAt.IsZero() {
		r.snap.dueAt = r.turn(now, "snapshot "+r.snap.last.String())
	}
	if !now.Before(r.snap.dueAt) {
		r.snap.dueAt = now.Add(snapshotRetry)
		r.startSnapshot(r.Revision().Generation())
	}
}

// snapshotWanted tells whether the newest snapshot in the log has too many
// changes after it, or is so old that it will expire.
func (r *Replica) snapshotWanted(now time.Time) bool {
	if len(r.behind.marks) > 0 {
		return false
	}
	if r.snap.changes >= r.config.SnapshotEvery {
		return true
	}
	return !r.snap.lastTime.IsZero() && now.Sub(r.snap.lastTime) >= r.config.SnapshotAge
}

func (r *Replica) startSnapshot(g configstore.Generation) {
	data, err := r.fold.store.Snapshot()
	if err != nil {
		return
	}
	r.snap.tries++
	id := fmt.Sprintf("%s/%s/%d", r.config.Self, r.Revision(), r.snap.tries)
	r.snap.pending = configstore.Split(id, r.Revision(), data)
	r.snap.generation = g
	r.appendChunk()
}

func (r *Replica) appendChunk() {
	data, err := configstore.EncodeChunk(r.snap.generation, r.snap.pending[0])
	if err != nil {
		r.snap.pending = nil
		return
	}
	r.snap.token = r.commits.token()
	r.emit(AppendRecord{Token: r.snap.token, Data: data})
}

// appended takes the answer to a chunk's append. A chunk that is not surely
// appended ends the snapshot; a later one has a new id.
func (s *snapshotState) appended(now time.Time, e Appended) bool {
	if e.Token != s.token || s.token == 0 {
		return false
	}
	s.token = 0
	if e.Err != nil || len(s.pending) == 0 {
		s.pending = nil
		s.dueAt = now.Add(snapshotRetry)
		if !s.reopenAt.IsZero() {
			s.reopenAt = now.Add(snapshotRetry)
		}
		return true
	}
	s.pending = s.pending[1:]
	s.whole = len(s.pending) == 0
	return true
}
