package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/resume"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// streamListInterval is the time between two lists of unfinished streams that a
	// daemon writes. Streams that began since the last one are in doubt if all daemons
	// are lost.
	streamListInterval = 250 * time.Millisecond
	// streamVersionsInterval is how often due versions are looked for.
	streamVersionsInterval = 20 * time.Millisecond
	// tailMaxAge is the age of the last read of a tail after which it is listed anew,
	// since the newest records are smaller than all that were written meanwhile.
	tailMaxAge = 2 * time.Second
	// refreshSpacing is the least time between two reads for streams that are taken up.
	refreshSpacing = 20 * time.Millisecond
)

// topicTail reads a keyed topic on demand, up to its end.
type topicTail struct {
	store *storeClient
	topic string
	// records holds the newest record of each key before next, in an epoch of the
	// store, as of readAt.
	records map[string]keyedRecord
	next    int64
	epoch   uint64
	readAt  time.Time
}

// refresh reads all records that were written before it is called. A listing may be out
// of date, so that the records after it are read too.
func (t *topicTail) refresh(ctx context.Context) error {
	if t.records == nil || time.Since(t.readAt) > tailMaxAge {
		l, err := t.store.newestRecords(ctx, t.topic)
		if err != nil {
			return err
		}
		t.records, t.next, t.epoch = make(map[string]keyedRecord, len(l.records)), l.end, l.epoch
		t.apply(l.records)
	}
	for {
		answer, err := t.store.readRecords(ctx, t.topic, t.next, 0)
		if err == nil && answer.epoch != t.epoch {
			err = ErrRestored
		}
		if err != nil {
			t.records = nil
			return err
		}
		t.apply(answer.records)
		t.next, t.readAt = answer.next, answer.begunAt
		if answer.next >= answer.end {
			return nil
		}
	}
}

func (t *topicTail) apply(records []keyedRecord) {
	for _, r := range records {
		if r.Value == nil {
			delete(t.records, r.Key)
			continue
		}
		t.records[r.Key] = r
	}
}

// streamVersions is the record of a pool's versions at which streams may begin.
type streamVersions struct {
	Epoch    uint64   `json:"epoch"`
	Versions []string `json:"versions"`
	Settled  bool     `json:"settled"`
}

// streamKeeper keeps in the store where unfinished streams began, and at which versions
// streams may begin.
type streamKeeper struct {
	daemon          *Daemon
	versions, lists topicTail
	requests        chan refreshRequest
	// written is the list that was written last, in writtenEpoch. inherited is set once the list of this
	// daemon's earlier incarnation has been taken over.
	written      string
	writtenEpoch uint64
	inherited    bool
}

// refreshRequest asks for a read of the versions, and of the lists too if they are needed.
type refreshRequest struct {
	lists bool
	done  chan error
}

func newStreamKeeper(d *Daemon) *streamKeeper {
	return &streamKeeper{
		daemon: d, versions: topicTail{store: d.store, topic: topicStreamVersions}, lists: topicTail{store: d.store, topic: topicStreams},
		requests: make(chan refreshRequest, 64),
	}
}

// run serves refreshes and writes what is due until ctx ends.
func (k *streamKeeper) run(ctx context.Context) {
	k.daemon.running.Go(func() { k.serveRefreshes(ctx) })
	k.daemon.running.Go(func() { k.writeVersions(ctx) })
	k.writeLists(ctx)
}

// Refresh reads the versions and the lists in a read that begins after the call.
func (k *streamKeeper) Refresh(ctx context.Context) error { return k.request(ctx, true) }

func (k *streamKeeper) request(ctx context.Context, lists bool) error {
	r := refreshRequest{lists: lists, done: make(chan error, 1)}
	select {
	case k.requests <- r:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveRefreshes answers all requests that wait with one read.
func (k *streamKeeper) serveRefreshes(ctx context.Context) {
	for {
		var waiting []refreshRequest
		select {
		case <-ctx.Done():
			return
		case r := <-k.requests:
			waiting = append(waiting, r)
		}
		for more := true; more; {
			select {
			case r := <-k.requests:
				waiting = append(waiting, r)
			default:
				more = false
			}
		}
		lists := false
		for _, r := range waiting {
			lists = lists || r.lists
		}
		err := k.refresh(ctx, lists)
		for _, r := range waiting {
			r.done <- err
		}
		sleep(ctx, refreshSpacing)
	}
}

func (k *streamKeeper) refresh(ctx context.Context, lists bool) error {
	if err := k.versions.refresh(ctx); err != nil {
		return err
	}
	records := map[structs.PoolName]resume.Record{}
	for key, r := range k.versions.records {
		var v streamVersions
		if err := json.Unmarshal(r.Value, &v); err != nil {
			k.daemon.events.Emit(EventStreamRecordFault, events.F("topic", topicStreamVersions), events.F("key", key), events.F("error", err))
			continue
		}
		records[structs.PoolName(key)] = resume.Record(v)
	}
	k.daemon.gateway.StreamVersionsRead(k.versions.readAt, k.versions.epoch, k.versions.next, records)
	if !lists || !k.daemon.gateway.StreamListsNeeded() {
		return nil
	}
	return k.refreshLists(ctx)
}

func (k *streamKeeper) refreshLists(ctx context.Context) error {
	if err := k.lists.refresh(ctx); err != nil {
		return err
	}
	all := make(map[string]resume.List, len(k.lists.records))
	for name, r := range k.lists.records {
		var message peerpb.Streams
		err := proto.Unmarshal(r.Value, &message)
		if err == nil {
			all[name], err = resume.DecodeList(&message)
		}
		if err != nil {
			k.daemon.events.Emit(EventStreamRecordFault, events.F("topic", topicStreams), events.F("key", name), events.F("error", err))
		}
	}
	k.daemon.gateway.StreamListsRead(all)
	return nil
}

// writeVersions writes the versions at which streams may begin, when that is this
// daemon's turn.
func (k *streamKeeper) writeVersions(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, streamVersionsInterval) {
		writes, read := k.daemon.gateway.DueStreamVersions()
		if read {
			if err := k.request(ctx, false); err != nil {
				sleep(ctx, jitter(followRetryMax))
			}
		}
		for _, w := range writes {
			value, err := json.Marshal(streamVersions(w.Record))
			if err == nil {
				err = k.daemon.store.putKeyedAt(ctx, topicStreamVersions, string(w.Pool), value, w.At)
			}
			k.daemon.gateway.StreamVersionsWritten(w.Pool)
			if err == nil || !errors.Is(err, ErrPositionTaken) {
				k.daemon.events.Emit(EventStreamVersionsWritten, events.F("pool", string(w.Pool)), events.F("versions", w.Record.Versions), events.F("settled", w.Record.Settled), events.F("error", err))
			}
		}
	}
}

// writeLists writes the list of unfinished streams if this daemon reports to no other.
func (k *streamKeeper) writeLists(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, streamListInterval) {
		if p := k.daemon.peering.Load(); p != nil && !p.IsRoot() || !k.daemon.gateway.StreamListsNeeded() && k.written == "" {
			continue
		}
		if err := k.writeList(ctx); err != nil {
			k.daemon.events.Emit(EventStreamListNotWritten, events.F("error", err))
			sleep(ctx, jitter(followRetryMax))
		}
	}
}

func (k *streamKeeper) writeList(ctx context.Context) error {
	if !k.inherited {
		if err := k.request(ctx, true); err != nil {
			return err
		}
		k.daemon.gateway.InheritStreams(k.daemon.settings.Instance)
		k.inherited = true
	}
	epoch := k.daemon.gateway.StoreEpoch()
	value, err := proto.Marshal(k.daemon.gateway.StreamList().Encode())
	if err != nil || string(value) == k.written && epoch == k.writtenEpoch {
		return err
	}
	if len(value) == 0 {
		value = nil
	}
	if err := k.daemon.store.putKeyed(ctx, topicStreams, string(k.daemon.settings.Instance), value); err != nil {
		return err
	}
	k.written, k.writtenEpoch = string(value), epoch
	return nil
}
