package replication

import (
	"fmt"

	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// ServedSnapshot is a snapshot split into chunks for transfer to peers.
type ServedSnapshot struct {
	ID       string
	Revision configstore.Revision
	Chunks   []*configpb.Chunk
}

// RecordsAfter returns the records after a revision, for a peer that is behind.
// It returns false when the peer needs a snapshot.
func (r *Replica) RecordsAfter(revision configstore.Revision) (PeerRecords, bool) {
	if !r.loaded {
		return PeerRecords{}, true
	}
	own := r.Revision()
	answer := PeerRecords{Generation: own.Generation(), Revision: own}
	if revision >= own {
		return answer, true
	}
	if revision.Generation() != own.Generation() || revision == 0 {
		return answer, false
	}
	records, ok := r.recent.recordsFrom(eventlog.Offset(revision.Offset()) + 1)
	if !ok {
		return answer, false
	}
	for _, rec := range records {
		if mayOpenGeneration(rec) {
			return answer, false
		}
	}
	answer.Records = records
	return answer, true
}

// ServeSnapshot returns the current state, split into chunks for transfer.
func (r *Replica) ServeSnapshot() (ServedSnapshot, error) {
	data, err := r.applier.store.Snapshot()
	if err != nil {
		return ServedSnapshot{}, err
	}
	id := fmt.Sprintf("%s/%s", r.config.Self, r.Revision())
	return ServedSnapshot{ID: id, Revision: r.Revision(), Chunks: configstore.SplitSnapshot(id, r.Revision(), data)}, nil
}
