package replication

import (
	"bytes"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

func (r *Replica) interval(now time.Time) time.Duration {
	d := min(max(time.Duration(len(r.peers))*pollPerPeer, pollMin), pollMax)
	if now.Sub(r.heardPeer) > aloneAfter {
		d = min(d, pollAlone)
	}
	return d
}

func (r *Replica) scheduleRead(at time.Time) {
	if r.nextRead.IsZero() || at.Before(r.nextRead) {
		r.nextRead = at
	}
}

func (r *Replica) readIfDue(now time.Time) {
	if r.phase == phaseAsking {
		if len(r.peers) > 0 && !r.loaded && now.Sub(r.started) < peerGrace {
			return
		}
		r.phase = phaseFollowing
		if !r.loaded {
			r.startLoading()
		}
	}
	if r.reading || r.blocked {
		return
	}
	if r.commits.waiting() {
		r.scheduleRead(now.Add(pollUrgent))
	}
	if r.behind.since(now) > 2*fetchRetry {
		r.scheduleRead(now.Add(fetchRetry))
	}
	if now.Before(r.nextRead) || now.Before(r.noReadBefore) {
		return
	}
	r.nextRead = time.Time{}
	r.reading = true
	if r.phase == phaseLoading {
		r.emit(r.loader.read())
		return
	}
	r.emit(ReadLog{From: r.followFrom(), Limit: readLimitRecords})
}

// followFrom is one record before the cursor when that record is known and
// small, so that a stream that was replaced shows itself.
func (r *Replica) followFrom() eventlog.Offset {
	cursor := r.cursor()
	if rec, ok := r.recent.at(cursor - 1); ok && !isChunk(rec) {
		return cursor - 1
	}
	return cursor
}

func isChunk(rec eventlog.Record) bool {
	decoded, err := configstore.DecodeRecord(rec.Data)
	return err == nil && decoded.Chunk != nil
}

func (r *Replica) startLoading() {
	r.phase = phaseLoading
	r.loader = newLoader(r.config.Rules)
	r.nextRead = time.Time{}
}

func (r *Replica) logAnswered(now time.Time, e LogAnswered) {
	if !invariant.Check(r.reading, invariantOneRead, "answer to a read that is not outstanding") {
		return
	}
	r.reading = false
	expired := errors.Is(e.Err, eventlog.ErrExpired)
	if e.Err != nil && !expired {
		r.noReadBefore = now.Add(pollFailed)
		return
	}
	if r.phase == phaseLoading {
		r.loadAnswered(now, e.Batch, expired)
		return
	}
	r.followAnswered(now, e, expired)
}

func (r *Replica) followAnswered(now time.Time, e LogAnswered, expired bool) {
	cursor := r.cursor()
	switch {
	case e.Batch.Next < cursor || r.tailReplaced(e.Batch):
		r.looksLost(now)
		return
	case expired && e.Batch.Oldest > cursor:
		r.note(NoteReload, "records after revision "+r.Revision().String()+" expired")
		r.startLoading()
		return
	}
	r.lostSince = time.Time{}
	if expired {
		// Only the record before the cursor expired.
		r.recent.clear()
		r.nextRead = now
		return
	}
	fresh := r.foldBatch(now, e.Batch.Records)
	r.relay(fresh)
	r.nextRead = now.Add(r.jittered(r.interval(now)))
	if r.phase == phaseFollowing && len(fresh) > 0 && r.cursor() < e.Batch.Next {
		r.nextRead = now
	}
}

func (r *Replica) jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.random.Int64N(int64(d)/2+1))
}

// tailReplaced tells whether the batch shows another record at the offset of
// the last one folded.
func (r *Replica) tailReplaced(b eventlog.Batch) bool {
	if len(b.Records) == 0 {
		return false
	}
	known, ok := r.recent.at(b.Records[0].Offset)
	if !ok || isChunk(known) {
		return false
	}
	return !sameRecord(known, b.Records[0])
}

func sameRecord(a, b eventlog.Record) bool {
	return a.Offset == b.Offset && a.Time.Equal(b.Time) && bytes.Equal(a.Data, b.Data)
}

// foldBatch folds the records that follow the cursor and returns them.
func (r *Replica) foldBatch(now time.Time, records []eventlog.Record) []eventlog.Record {
	var fresh []eventlog.Record
	for _, rec := range records {
		if rec.Offset != r.cursor() {
			continue
		}
		decoded, err := configstore.DecodeRecord(rec.Data)
		if err == nil && decoded.Generation > r.Revision().Generation() {
			r.note(NoteReload, "a later generation of the stream was met")
			r.startLoading()
			break
		}
		if !r.foldRecord(now, rec) {
			break
		}
		fresh = append(fresh, rec)
	}
	return fresh
}

func (r *Replica) relay(fresh []eventlog.Record) {
	if len(fresh) == 0 || len(r.peers) == 0 {
		return
	}
	bare := make([]eventlog.Record, 0, len(fresh))
	for _, rec := range fresh {
		if opensGeneration(rec) {
			return
		}
		bare = append(bare, withoutChunkData(rec))
	}
	r.emit(RelayRecords{Generation: r.Revision().Generation(), Records: bare, Revision: r.Revision()})
}

// looksLost is called when the stream ends before the cursor or holds other
// records. Only when that lasts is the stream loaded anew.
func (r *Replica) looksLost(now time.Time) {
	if r.lostSince.IsZero() {
		r.lostSince = now
	}
	r.nextRead = now.Add(lossConfirm / 4)
	if now.Sub(r.lostSince) < lossConfirm {
		return
	}
	r.note(NoteLogLost, "at revision "+r.Revision().String())
	r.startLoading()
}

func (r *Replica) loadAnswered(now time.Time, b eventlog.Batch, expired bool) {
	switch r.loader.answered(b, expired) {
	case loadReading:
		return
	case loadNoSnapshot:
		r.note(NoteNoSnapshot, "")
		r.endLoading(now.Add(snapshotRetry))
		if !r.loaded {
			r.phase = phaseLoading
		}
	case loadBlocked:
		r.finishLoad(now)
		r.block()
	case loadDone:
		r.finishLoad(now)
	}
}

func (r *Replica) endLoading(nextRead time.Time) {
	r.phase = phaseFollowing
	r.nextRead = nextRead
	r.loader = newLoader(r.config.Rules)
}

// finishLoad compares the state that the log gives with the one in force.
func (r *Replica) finishLoad(now time.Time) {
	l := r.loader
	r.endLoading(now.Add(r.jittered(r.interval(now))))
	if !r.loaded && l.young() && !r.peersAreEmpty(now) {
		r.phase = phaseLoading
		r.nextRead = now.Add(youngRetry)
		return
	}
	if r.contests(now, l.fold.store) {
		r.snap.reopen(now)
		return
	}
	if r.adopt(l.fold) {
		r.lostSince = time.Time{}
		r.snap.loaded(l)
		return
	}
	if l.fold.store.Revision() == r.Revision() {
		r.lostSince = time.Time{}
		return
	}
	if known, ok := r.recent.at(l.tail.Offset); ok && sameRecord(known, withoutChunkData(l.tail)) {
		// The service answered with an older state of the same stream.
		return
	}
	r.snap.reopen(now)
}

func (r *Replica) peerRecords(now time.Time, e PeerRecords) {
	r.heardPeer = now
	if e.Fetched {
		r.fetch.done()
		if e.Revision == 0 {
			r.emptyPeers[e.Peer] = true
			r.fetch.next = now
		}
	}
	r.hear(now, e.Peer, e.Revision)
	if e.Generation != r.Revision().Generation() || !r.loaded || r.blocked {
		return
	}
	for _, rec := range e.Records {
		if rec.Offset != r.cursor() || opensGeneration(rec) {
			continue
		}
		if !r.foldRecord(now, rec) {
			return
		}
	}
}

func (r *Replica) peerState(now time.Time, e PeerState) {
	r.heardPeer = now
	r.fetch.done()
	store, err := configstore.RestoreStore(r.config.Rules, e.Data)
	if err != nil {
		return
	}
	if r.contests(now, store) {
		if r.phase == phaseFollowing && !r.reading {
			r.startLoading()
		}
		return
	}
	if r.adopt(newStreamFold(r.config.Rules, store)) {
		r.snap.restored(now)
	}
}

// contests tells whether the state in force is newer than the one that a
// later generation was opened with, and may still replace it.
func (r *Replica) contests(now time.Time, opened *configstore.Store) bool {
	own := r.Revision()
	if !r.loaded || opened.Revision().Generation() != own.Generation()+1 || opened.Opening().From >= own {
		return false
	}
	if r.contestSince.IsZero() {
		r.contestSince = now
	}
	return now.Sub(r.contestSince) < openingWindow
}

func (r *Replica) revisionHeard(now time.Time, e RevisionHeard) {
	r.heardPeer = now
	r.hear(now, e.Peer, e.Revision)
}

func (r *Replica) hear(now time.Time, peer instance.ID, revision configstore.Revision) {
	if revision > r.Revision() {
		r.behind.heard(now, revision)
		r.fetch.candidate = peer
	}
}

// fetchState is the one outstanding request to a peer.
type fetchState struct {
	waiting bool
	next    time.Time
	// candidate is the peer that last told of a newer revision.
	candidate instance.ID
}

func (f *fetchState) done() { f.waiting = false }

// fetchIfBehind asks a peer for what is missing: one that told of a newer
// revision, or any one while nothing is loaded.
func (r *Replica) fetchIfBehind(now time.Time) {
	if r.fetch.waiting || now.Before(r.fetch.next) || r.blocked {
		return
	}
	peer := r.fetch.candidate
	r.fetch.candidate = ""
	if len(r.behind.marks) == 0 && r.loaded {
		return
	}
	if peer == "" {
		peer = r.anyPeer()
	}
	if peer == "" {
		return
	}
	r.fetch.waiting = true
	r.fetch.next = now.Add(fetchRetry)
	r.emit(FetchFromPeer{Peer: peer, Revision: r.Revision()})
}

// peersAreEmpty tells whether enough peers hold nothing, or none can be asked.
func (r *Replica) peersAreEmpty(now time.Time) bool {
	if now.Sub(r.started) >= youngGrace {
		return true
	}
	others, empty := 0, 0
	for _, p := range r.peers {
		if p == r.config.Self {
			continue
		}
		others++
		if r.emptyPeers[p] {
			empty++
		}
	}
	return empty >= min(others, youngPeers)
}

func (r *Replica) anyPeer() instance.ID {
	others := make([]instance.ID, 0, len(r.peers))
	for _, p := range r.peers {
		if p != r.config.Self && (r.loaded || !r.emptyPeers[p]) {
			others = append(others, p)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[r.random.IntN(len(others))]
}
