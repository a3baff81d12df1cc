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

func (r *Replica) pollInterval(now time.Time) time.Duration {
	d := min(max(time.Duration(len(r.peers))*pollIntervalPerPeer, minPollInterval), maxPollInterval)
	if now.Sub(r.lastPeerMessage) > peerTimeout {
		d = min(d, maxPollIntervalWithoutPeers)
	}
	return d
}

func (r *Replica) scheduleRead(at time.Time) {
	if r.nextReadAt.IsZero() || at.Before(r.nextReadAt) {
		r.nextReadAt = at
	}
}

func (r *Replica) readIfDue(now time.Time) {
	if r.phase == phaseAwaitingPeers {
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
	if r.commits.hasPending() {
		r.scheduleRead(now.Add(urgentPollInterval))
	}
	if r.lag.duration(now) > 2*fetchRetryDelay {
		r.scheduleRead(now.Add(fetchRetryDelay))
	}
	if now.Before(r.nextReadAt) || now.Before(r.readBackoffUntil) {
		return
	}
	r.nextReadAt = time.Time{}
	r.reading = true
	if r.phase == phaseLoading {
		r.emit(r.loader.nextRead())
		return
	}
	r.emit(ReadLog{From: r.followOffset(), Limit: readBatchRecords})
}

// followOffset is one record before the cursor when that record is cached and
// is not a chunk, so that a replaced stream is detected.
func (r *Replica) followOffset() eventlog.Offset {
	cursor := r.cursor()
	if rec, ok := r.recent.record(cursor - 1); ok && !isChunk(rec) {
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
	r.nextReadAt = time.Time{}
}

func (r *Replica) handleRead(now time.Time, e ReadCompleted) {
	if !invariant.Check(r.reading, invariantOneRead, "answer to a read that is not outstanding") {
		return
	}
	r.reading = false
	expired := errors.Is(e.Err, eventlog.ErrExpired)
	if e.Err != nil && !expired {
		r.readBackoffUntil = now.Add(readRetryDelay)
		return
	}
	if r.phase == phaseLoading {
		r.handleLoadBatch(now, e.Batch, expired)
		return
	}
	r.handleFollowBatch(now, e, expired)
}

func (r *Replica) handleFollowBatch(now time.Time, e ReadCompleted, expired bool) {
	cursor := r.cursor()
	switch {
	case e.Batch.Next < cursor || r.tailReplaced(e.Batch):
		r.suspectLogLoss(now)
		return
	case expired && e.Batch.Oldest > cursor:
		r.notify(NoticeReload, "records after revision "+r.Revision().String()+" expired")
		r.startLoading()
		return
	}
	r.logLostSince = time.Time{}
	if expired {
		// Only the record before the cursor has expired.
		r.recent.clear()
		r.nextReadAt = now
		return
	}
	applied := r.applyBatch(now, e.Batch.Records)
	r.relay(applied)
	r.nextReadAt = now.Add(r.jitter(r.pollInterval(now)))
	if r.phase == phaseFollowing && len(applied) > 0 && r.cursor() < e.Batch.Next {
		r.nextReadAt = now
	}
}

func (r *Replica) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.random.Int64N(int64(d)/2+1))
}

// tailReplaced reports whether the first record of the batch differs from the
// applied one at the same offset.
func (r *Replica) tailReplaced(b eventlog.Batch) bool {
	if len(b.Records) == 0 {
		return false
	}
	known, ok := r.recent.record(b.Records[0].Offset)
	if !ok || isChunk(known) {
		return false
	}
	return !equalRecords(known, b.Records[0])
}

func equalRecords(a, b eventlog.Record) bool {
	return a.Offset == b.Offset && a.Time.Equal(b.Time) && bytes.Equal(a.Data, b.Data)
}

// applyBatch applies the records from the cursor on and returns those it
// applied.
func (r *Replica) applyBatch(now time.Time, records []eventlog.Record) []eventlog.Record {
	var applied []eventlog.Record
	for _, rec := range records {
		if rec.Offset != r.cursor() {
			continue
		}
		decoded, err := configstore.DecodeRecord(rec.Data)
		if err == nil && decoded.Generation > r.Revision().Generation() {
			r.notify(NoticeReload, "a later generation of the stream was met")
			r.startLoading()
			break
		}
		if !r.applyRecord(now, rec) {
			break
		}
		applied = append(applied, rec)
	}
	return applied
}

func (r *Replica) relay(applied []eventlog.Record) {
	if len(applied) == 0 || len(r.peers) == 0 {
		return
	}
	bare := make([]eventlog.Record, 0, len(applied))
	for _, rec := range applied {
		if mayOpenGeneration(rec) {
			return
		}
		bare = append(bare, withoutChunkData(rec))
	}
	r.emit(RelayRecords{Generation: r.Revision().Generation(), Records: bare, Revision: r.Revision()})
}

// suspectLogLoss handles a stream that ends before the cursor or holds other
// records. The stream is loaded again once that has lasted for lossConfirmTime.
func (r *Replica) suspectLogLoss(now time.Time) {
	if r.logLostSince.IsZero() {
		r.logLostSince = now
	}
	r.nextReadAt = now.Add(lossConfirmTime / 4)
	if now.Sub(r.logLostSince) < lossConfirmTime {
		return
	}
	r.notify(NoticeLogLost, "at revision "+r.Revision().String())
	r.startLoading()
}

func (r *Replica) handleLoadBatch(now time.Time, b eventlog.Batch, expired bool) {
	switch r.loader.handleBatch(b, expired) {
	case loadReading:
		return
	case loadNoSnapshot:
		r.notify(NoticeNoSnapshot, "")
		r.stopLoading(now.Add(snapshotRetryDelay))
		if !r.loaded {
			r.phase = phaseLoading
		}
	case loadBlocked:
		r.completeLoad(now)
		r.block()
	case loadDone:
		r.completeLoad(now)
	}
}

func (r *Replica) stopLoading(nextRead time.Time) {
	r.phase = phaseFollowing
	r.nextReadAt = nextRead
	r.loader = newLoader(r.config.Rules)
}

// completeLoad compares the state loaded from the log with the current one.
func (r *Replica) completeLoad(now time.Time) {
	l := r.loader
	r.stopLoading(now.Add(r.jitter(r.pollInterval(now))))
	if !r.loaded && l.isNewStream() && !r.peersAreEmpty(now) {
		r.phase = phaseLoading
		r.nextReadAt = now.Add(newStreamRetryDelay)
		return
	}
	if r.contestsOpening(now, l.applier.store) {
		r.snap.scheduleReopen(now)
		return
	}
	if r.adopt(l.applier) {
		r.logLostSince = time.Time{}
		r.snap.resetFromLoad(l)
		return
	}
	if l.applier.store.Revision() == r.Revision() {
		r.logLostSince = time.Time{}
		return
	}
	if known, ok := r.recent.record(l.lastRecord.Offset); ok && equalRecords(known, withoutChunkData(l.lastRecord)) {
		// The service returned an older state of the same stream.
		return
	}
	r.snap.scheduleReopen(now)
}

func (r *Replica) handlePeerRecords(now time.Time, e PeerRecords) {
	r.lastPeerMessage = now
	if e.Fetched {
		r.fetch.done()
		if e.Revision == 0 {
			r.emptyPeers[e.Peer] = true
			r.fetch.retryAt = now
		}
	}
	r.observeRevision(now, e.Peer, e.Revision)
	if e.Generation != r.Revision().Generation() || !r.loaded || r.blocked {
		return
	}
	for _, rec := range e.Records {
		if rec.Offset != r.cursor() || mayOpenGeneration(rec) {
			continue
		}
		if !r.applyRecord(now, rec) {
			return
		}
	}
}

func (r *Replica) handlePeerSnapshot(now time.Time, e PeerSnapshot) {
	r.lastPeerMessage = now
	r.fetch.done()
	store, err := configstore.RestoreStore(r.config.Rules, e.Data)
	if err != nil {
		return
	}
	if r.contestsOpening(now, store) {
		if r.phase == phaseFollowing && !r.reading {
			r.startLoading()
		}
		return
	}
	if r.adopt(newApplier(r.config.Rules, store)) {
		r.snap.resetFromPeer(now)
	}
}

// contestsOpening reports whether the current state is newer than the one that
// a later generation was opened from, and may still replace it.
func (r *Replica) contestsOpening(now time.Time, opened *configstore.Store) bool {
	own := r.Revision()
	if !r.loaded || opened.Revision().Generation() != own.Generation()+1 || opened.Opening().From >= own {
		return false
	}
	if r.contestSince.IsZero() {
		r.contestSince = now
	}
	return now.Sub(r.contestSince) < openingWindow
}

func (r *Replica) handlePeerRevision(now time.Time, e PeerRevision) {
	r.lastPeerMessage = now
	r.observeRevision(now, e.Peer, e.Revision)
}

func (r *Replica) observeRevision(now time.Time, peer instance.ID, revision configstore.Revision) {
	if revision > r.Revision() {
		r.lag.observe(now, revision)
		r.fetch.candidate = peer
	}
}

// fetchState tracks the outstanding request to a peer.
type fetchState struct {
	outstanding bool
	retryAt     time.Time
	// candidate is the peer that last reported a newer revision.
	candidate instance.ID
}

func (f *fetchState) done() { f.outstanding = false }

// fetchIfBehind requests missing records or a snapshot from the peer that last
// reported a newer revision, or from a random one.
func (r *Replica) fetchIfBehind(now time.Time) {
	if r.fetch.outstanding || now.Before(r.fetch.retryAt) || r.blocked {
		return
	}
	peer := r.fetch.candidate
	r.fetch.candidate = ""
	if len(r.lag.marks) == 0 && r.loaded {
		return
	}
	if peer == "" {
		peer = r.randomPeer()
	}
	if peer == "" {
		return
	}
	r.fetch.outstanding = true
	r.fetch.retryAt = now.Add(fetchRetryDelay)
	r.emit(FetchFromPeer{Peer: peer, Revision: r.Revision()})
}

// peersAreEmpty reports whether enough peers confirmed that they have no state.
// It is true after newStreamGrace, and when there is no other peer.
func (r *Replica) peersAreEmpty(now time.Time) bool {
	if now.Sub(r.started) >= newStreamGrace {
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
	return empty >= min(others, newStreamMinPeers)
}

func (r *Replica) randomPeer() instance.ID {
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
