package platform

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/peers"
	"github.com/samphirewing/samphirewing/gateway"
)

const (
	// recordRetryMin and recordRetryMax bound the delay between attempts to
	// record this daemon in the store.
	recordRetryMin = 200 * time.Millisecond
	recordRetryMax = 2 * time.Second
	// maxAddresses is the maximum number of addresses that callers use from a
	// list.
	maxAddresses = 64
	// maxRecordedParts bounds the IDs of blocked prompt parts in a daemon's record,
	// to stay well below the size that the store accepts.
	maxRecordedParts = 4096
	// thousandthsPerCore is the unit of Capacity.
	thousandthsPerCore = 1000
)

// instanceEntry is a daemon's record in the store.
type instanceEntry struct {
	Incarnation   uint64 `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	FailureDomain string `json:"failure_domain"`
	// Capacity is in thousandths of a core; zero in records of earlier releases.
	Capacity int `json:"capacity,omitempty"`
	// BlockedParts holds the blocked prompt parts that this daemon keeps on record,
	// for daemons that start when no other runs.
	BlockedParts []blockedPartEntry `json:"blocked_parts,omitempty"`
}

// blockedPartEntry is a blocked prompt part in a daemon's record.
type blockedPartEntry struct {
	Part            string   `json:"part"`
	Companions      []string `json:"companions,omitempty"`
	Trials          int      `json:"trials"`
	NextTrialUnixMs int64    `json:"next_trial_unix_ms"`
}

// encodeBlockedParts replaces the times left by times of day. It leaves out the
// combinations for which the record has no room; they are blocked nevertheless.
func encodeBlockedParts(now time.Time, parts []gateway.BlockedPart) (all []blockedPartEntry) {
	room := maxRecordedParts
	for _, p := range parts {
		if room -= 1 + len(p.Companions); room < 0 {
			room += 1 + len(p.Companions)
			continue
		}
		nextTrial := now.Add(time.Duration(p.NextTrialSeconds * float64(time.Second)))
		all = append(all, blockedPartEntry{Part: p.Part, Companions: p.Companions, Trials: p.Trials, NextTrialUnixMs: nextTrial.UnixMilli()})
	}
	return all
}

func decodeBlockedParts(now time.Time, entries []blockedPartEntry) (all []gateway.BlockedPart) {
	for _, e := range entries {
		left := time.UnixMilli(e.NextTrialUnixMs).Sub(now)
		all = append(all, gateway.BlockedPart{Part: e.Part, Companions: e.Companions, Trials: e.Trials, NextTrialSeconds: left.Seconds()})
	}
	return all
}

func decodeInstance(r keyedRecord) (peers.Record, error) {
	var e instanceEntry
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return peers.Record{}, errors.Annotatef(err, "record of instance %q", r.Key)
	}
	return peers.Record{
		Instance: instance.ID(r.Key), Incarnation: instance.Incarnation(e.Incarnation), PeerAddress: e.PeerAddress,
		CallerAddress: e.CallerAddress, FailureDomain: instance.FailureDomain(e.FailureDomain), Capacity: e.Capacity,
	}, nil
}

// joinPeers starts the exchange of reports with the other daemons and records
// this daemon in the store.
func (d *Daemon) joinPeers(ctx context.Context) {
	// Without records or peers there is nobody to wait for.
	delay := time.Duration(0)
	defer func() { d.listings.Release(delay) }()
	incarnation, listing := d.readRecords(ctx)
	self := instance.Process{ID: d.settings.Instance, Incarnation: incarnation}
	peering, err := gateway.StartPeering(d.gateway, gateway.PeeringOptions{
		Self: self, Record: d.ownRecord(), ListenAddress: d.settings.peerAddress(), Ready: d.ready, Leaving: d.stopping.Load,
	})
	if err != nil {
		// Without peers, the daemon serves within its share of quotas and
		// budgets.
		d.events.Emit(EventInstanceNotRecorded, events.F("error", err))
		return
	}
	d.peering.Store(peering)
	lost := make(chan struct{}, 1)
	reader := &instanceReader{peering: peering, events: d.events, self: self, lost: lost}
	if listing != nil {
		reader.applyListing(listing.records, listing.end)
		delay = peering.ListingDelay()
	}
	d.listings.Release(delay)
	d.followInstances(ctx, reader, listing)
	address := d.settings.PeerAdvertise
	if address == "" {
		address = peering.Address()
	}
	d.running.Go(func() { d.recordInstance(ctx, self, address, lost) })
	peering.Run(ctx)
}

// ownRecord returns this daemon's record as its peers know it.
func (d *Daemon) ownRecord() peers.Record {
	return peers.Record{
		Instance: d.settings.Instance, CallerAddress: d.settings.FrontendAddress, FailureDomain: d.settings.FailureDomain, Capacity: d.settings.Capacity,
	}
}

// readRecords restores the blocked prompt parts that are on record. It returns a
// number greater than those of this daemon's earlier incarnations, even if the
// wall clock was set back since.
// The listing is nil if it could not be read.
func (d *Daemon) readRecords(ctx context.Context) (instance.Incarnation, *listing) {
	now := instance.Incarnation(time.Now().UnixMilli())
	l, err := d.store.newestRecords(ctx, topicInstances)
	if err != nil {
		d.events.Emit(EventStoreLost, events.F("topic", topicInstances), events.F("error", err))
		return now, nil
	}
	next := now
	for _, r := range l.records {
		var e instanceEntry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			d.events.Emit(EventInstanceFault, events.F("offset", r.Offset), events.F("error", err))
			continue
		}
		d.gateway.RestoreBlockedParts(decodeBlockedParts(time.Now(), e.BlockedParts))
		if r.Key == string(d.settings.Instance) {
			next = max(now, instance.Incarnation(e.Incarnation)+1)
		}
	}
	return next, &l
}

// recordInstance writes this daemon's record, and again when the blocked prompt
// parts that it keeps on record change, or the store has lost it.
func (d *Daemon) recordInstance(ctx context.Context, self instance.Process, peerAddress string, lost <-chan struct{}) {
	entry := instanceEntry{
		Incarnation: uint64(self.Incarnation), PeerAddress: peerAddress,
		CallerAddress: d.settings.FrontendAddress, FailureDomain: string(d.settings.FailureDomain), Capacity: d.settings.Capacity,
	}
	written := false
	for ctx.Err() == nil && !d.stopping.Load() {
		blocked := encodeBlockedParts(time.Now(), d.gateway.BlockedPartsToRecord())
		if !written || !sameParts(blocked, entry.BlockedParts) {
			entry.BlockedParts = blocked
			d.writeRecord(ctx, self.ID, entry)
			written = true
		}
		select {
		case <-ctx.Done():
		case <-d.gateway.BlockedPartsChanged():
		case <-lost:
			written = false
		}
	}
}

// sameParts reports whether two lists have the same parts.
func sameParts(a, b []blockedPartEntry) bool {
	return slices.EqualFunc(a, b, func(a, b blockedPartEntry) bool { return a.Part == b.Part && slices.Equal(a.Companions, b.Companions) })
}

// writeRecord writes a record and retries until it succeeds or the daemon stops.
func (d *Daemon) writeRecord(ctx context.Context, id instance.ID, entry instanceEntry) {
	value, err := json.Marshal(entry)
	if err != nil {
		d.events.Emit(EventInstanceNotRecorded, events.F("error", err))
		return
	}
	for pause := recordRetryMin; ctx.Err() == nil && !d.stopping.Load(); pause = min(2*pause, recordRetryMax) {
		err := d.store.putKeyed(ctx, topicInstances, string(id), value)
		if err == nil {
			return
		}
		d.events.Emit(EventInstanceNotRecorded, events.F("error", err))
		sleep(ctx, pause)
	}
}

// withdrawRecord removes this daemon's record. Peers also learn from its
// reports that it is leaving, so that an unavailable store is harmless.
func (d *Daemon) withdrawRecord() {
	if err := d.store.putKeyed(context.Background(), topicInstances, string(d.settings.Instance), nil); err != nil {
		d.events.Emit(EventInstanceNotRecorded, events.F("leaving", true), events.F("error", err))
	}
}

// instanceReader passes the daemons' records to the peering.
type instanceReader struct {
	noopReader
	peering *gateway.Peering
	events  events.Sink
	self    instance.Process
	// lost receives a value when a listing of a restored store lacks this daemon's
	// record. restored is set until that listing.
	lost     chan<- struct{}
	restored bool
}

func (r *instanceReader) epochBegan() { r.restored = true }

func (r *instanceReader) applyListing(records []keyedRecord, _ int64) bool {
	listed := map[instance.ID]bool{}
	recorded := false
	for _, record := range records {
		listed[instance.ID(record.Key)] = true
		peer, err := decodeInstance(record)
		recorded = recorded || err == nil && peer.Instance == r.self.ID && peer.Incarnation == r.self.Incarnation
	}
	if r.restored && !recorded {
		select {
		case r.lost <- struct{}{}:
		default:
		}
	}
	r.restored = false
	r.peering.RetainPeers(listed)
	r.applyChanges(records)
	return true
}

func (r *instanceReader) applyChanges(records []keyedRecord) {
	newest := map[string]keyedRecord{}
	for _, record := range records {
		newest[record.Key] = record
	}
	var peerRecords []peers.Record
	var withdrawn []instance.ID
	for _, record := range newest {
		if record.Value == nil {
			withdrawn = append(withdrawn, instance.ID(record.Key))
			continue
		}
		peer, err := decodeInstance(record)
		if err != nil {
			r.events.Emit(EventInstanceFault, events.F("offset", record.Offset), events.F("error", err))
			continue
		}
		peerRecords = append(peerRecords, peer)
	}
	r.peering.ApplyPeers(peerRecords, withdrawn)
}
