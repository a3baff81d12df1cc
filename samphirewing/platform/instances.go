package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/peers"
	"github.com/samphirewing/samphirewing/gateway"
)

const (
	// recordRetryMin and recordRetryMax bound the pause between two tries to
	// record this daemon in the store.
	recordRetryMin = 200 * time.Millisecond
	recordRetryMax = 2 * time.Second
	// maxAddresses is the most addresses that callers take from a list.
	maxAddresses = 64
)

// instanceEntry is a daemon's record in the store.
type instanceEntry struct {
	Incarnation   uint64 `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	FailureDomain string `json:"failure_domain"`
}

func decodeInstance(r keyedRecord) (peers.Record, error) {
	var e instanceEntry
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return peers.Record{}, errors.Annotatef(err, "record of instance %q", r.Key)
	}
	return peers.Record{
		Instance: instance.ID(r.Key), Incarnation: instance.Incarnation(e.Incarnation), PeerAddress: e.PeerAddress,
		CallerAddress: e.CallerAddress, FailureDomain: instance.FailureDomain(e.FailureDomain),
	}, nil
}

// joinPeers starts the exchange with the other daemons and records this one in
// the store.
func (d *Daemon) joinPeers(ctx context.Context) {
	self := instance.Process{ID: d.settings.Instance, Incarnation: d.nextIncarnation(ctx)}
	peering, err := gateway.StartPeering(d.gateway, gateway.PeeringOptions{
		Self: self, ListenAddress: d.settings.peerAddress(), Ready: d.ready, Leaving: d.stopping.Load,
	})
	if err != nil {
		// Alone, the daemon serves within its share of quotas and budgets.
		d.events.Emit(EventInstanceNotRecorded, events.F("error", err))
		return
	}
	d.peering.Store(peering)
	d.follow(ctx, topicInstances, followPeersWait, followPeersPause, &instanceReader{peering: peering, events: d.events})
	address := d.settings.PeerAdvertise
	if address == "" {
		address = peering.Address()
	}
	d.running.Go(func() { d.record(ctx, self, address) })
	peering.Run(ctx)
}

// nextIncarnation returns a number above that of this daemon's earlier lives.
// The time of day may have been set back since.
func (d *Daemon) nextIncarnation(ctx context.Context) instance.Incarnation {
	now := instance.Incarnation(time.Now().UnixMilli())
	records, _, err := d.store.newest(ctx, topicInstances)
	if err != nil {
		d.events.Emit(EventStoreLost, events.F("topic", topicInstances), events.F("error", err))
		return now
	}
	for _, r := range records {
		if r.Key != string(d.settings.Instance) {
			continue
		}
		if before, err := decodeInstance(r); err == nil {
			return max(now, before.Incarnation+1)
		}
	}
	return now
}

// record writes this daemon's record, until that has worked.
func (d *Daemon) record(ctx context.Context, self instance.Process, peerAddress string) {
	value, err := json.Marshal(instanceEntry{
		Incarnation: uint64(self.Incarnation), PeerAddress: peerAddress,
		CallerAddress: d.settings.FrontendAddress, FailureDomain: string(d.settings.FailureDomain),
	})
	if err != nil {
		d.events.Emit(EventInstanceNotRecorded, events.F("error", err))
		return
	}
	for pause := recordRetryMin; ctx.Err() == nil && !d.stopping.Load(); pause = min(2*pause, recordRetryMax) {
		err := d.store.putKeyed(ctx, topicInstances, string(self.ID), value)
		if err == nil {
			return
		}
		d.events.Emit(EventInstanceNotRecorded, events.F("error", err))
		sleep(ctx, pause)
	}
}

// leavePeers withdraws this daemon's record. Peers learn of its leaving from
// its reports as well, so that a store that is away does no harm.
func (d *Daemon) leavePeers() {
	if err := d.store.putKeyed(context.Background(), topicInstances, string(d.settings.Instance), nil); err != nil {
		d.events.Emit(EventInstanceNotRecorded, events.F("leaving", true), events.F("error", err))
	}
}

// instanceReader hands the daemons' records to the peering.
type instanceReader struct {
	plainReader
	peering *gateway.Peering
	events  events.Sink
}

func (r *instanceReader) listed(records []keyedRecord, _ int64) bool {
	named := map[instance.ID]bool{}
	for _, record := range records {
		named[instance.ID(record.Key)] = true
	}
	r.peering.RetainPeers(named)
	r.changed(records)
	return true
}

func (r *instanceReader) changed(records []keyedRecord) {
	for _, record := range records {
		if record.Value == nil {
			r.peering.RemovePeer(instance.ID(record.Key))
			continue
		}
		peer, err := decodeInstance(record)
		if err != nil {
			r.events.Emit(EventInstanceFault, events.F("offset", record.Offset), events.F("error", err))
			continue
		}
		r.peering.SetPeer(peer)
	}
}
