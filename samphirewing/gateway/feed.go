package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/mesh"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/coordination/catchup"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/telemetry"
)

const (
	// maxRelayedBytes bounds the records relayed in one message as they are. Larger
	// ones are relayed compressed, up to maxListingBytes; daemons read the rest
	// themselves.
	maxRelayedBytes = 64 << 10
	// maxFeedBatches bounds the relayed messages that wait for the follower.
	maxFeedBatches = 64
	// behindReportDelay is how long announced records may be missing before that is
	// logged.
	behindReportDelay = time.Second
)

// ErrReadDirectly means that no other daemon relays the records of a topic, or
// that some of them are missing.
const ErrReadDirectly = errors.ConstError("the records are not relayed; read them from the store")

// Feed relays the records of one topic: the roots among the daemons read the
// topic from the store, and pass the records on to the others. It is safe for
// concurrent use.
type Feed struct {
	topic string

	mu sync.Mutex
	// epoch is that of the offsets in batches, progress and listing.
	epoch   uint64
	batches []Batch
	// progress is how much of the topic this daemon has received, connected whether
	// it can read the topic. All records that were written until readAt are known to
	// this daemon or announced to it.
	progress  catchup.Progress
	connected bool
	readAt    time.Time
	// relay is the daemon that passes on the records.
	relay catchup.Relay
	// interrupt cancels the read in progress.
	interrupt context.CancelFunc
	changed   chan struct{}
	// publish passes records on to other daemons; nil without peers. relaying is
	// set while there are such daemons.
	publish  func(Batch)
	relaying bool
	listing  listingState
	// behind is the gauge of how long announced records have been missing.
	behind metrics.Gauge
	// behindReported is how long they had been missing at the last tick, or zero if
	// that was not reported.
	behindReported time.Duration
}

func newFeed(topic string, registry metrics.Registry) *Feed {
	return &Feed{
		topic: topic, changed: make(chan struct{}, 1), listing: newListingState(),
		behind: telemetry.Gauge(registry, "topic_behind_milliseconds", telemetry.L("topic", topic)),
	}
}

// Feed returns the feed of a topic.
func (g *Gateway) Feed(topic string) *Feed {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.feeds[topic]
	if f == nil {
		f = newFeed(topic, g.options.Metrics)
		f.epoch = g.storeEpoch.Load()
		g.feeds[topic] = f
	}
	return f
}

// SetMaxAge sets how long after the last read from the store, by whichever daemon
// relays the records, they count as current. Zero sets no limit.
func (f *Feed) SetMaxAge(maxAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay.MaxAge = maxAge
}

// RelayAge returns the time since the daemon that relays the records last read
// the topic, or zero if none relays them.
func (f *Feed) RelayAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.relay.Connected {
		return 0
	}
	return time.Since(f.relay.ReadAt)
}

// Behind returns how long announced records have been missing.
func (f *Feed) Behind() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress.Behind(time.Now())
}

// Relaying reports whether other daemons rely on this one to read the topic.
func (f *Feed) Relaying() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relaying
}

// Await returns the next relayed records from an offset on, or a batch without
// records after the given time. It returns ErrReadDirectly if the records are to
// be read from the store instead. failedAt is when this daemon's own last read
// failed, or zero if it succeeded.
func (f *Feed) Await(ctx context.Context, next int64, limit time.Duration, failedAt time.Time) (Batch, error) {
	deadline := time.Now().Add(limit)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		batch, found, err := f.take(next, failedAt)
		if found || err != nil {
			return batch, err
		}
		now := time.Now()
		if !now.Before(deadline) {
			return Batch{From: next, Next: next, Epoch: f.Epoch()}, nil
		}
		timer.Reset(min(deadline.Sub(now), f.currentFor(now)))
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-timer.C:
		case <-f.changed:
		}
	}
}

// currentFor returns how long the relayed records still count as current if the
// relay does not read the topic again.
func (f *Feed) currentFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay.CurrentFor(now)
}

// AwaitSource waits after a failed read until the records can be had from another
// daemon or are known to be missing, and at most for the given time. It reports
// whether they are missing.
func (f *Feed) AwaitSource(ctx context.Context, limit time.Duration, failedAt time.Time) (missing bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		f.mu.Lock()
		now := time.Now()
		missing = f.progress.MustRead(now)
		usable := f.relay.Usable(now, failedAt)
		f.mu.Unlock()
		if missing || usable {
			return missing
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		case <-f.changed:
		}
	}
}

func (f *Feed) take(next int64, failedAt time.Time) (Batch, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.batches) > 0 {
		batch := f.batches[0]
		f.batches = f.batches[1:]
		if batch.Next <= next {
			continue
		}
		if batch.From > next {
			f.batches = nil
			return Batch{}, false, ErrReadDirectly
		}
		return batch.after(next), true, nil
	}
	if now := time.Now(); !f.relay.Usable(now, failedAt) || f.progress.MustRead(now) {
		return Batch{}, false, ErrReadDirectly
	}
	return Batch{}, false, nil
}

// Epoch returns the epoch of the store's offsets. It rises when any daemon learns that
// the store has been restored from a copy.
func (f *Feed) Epoch() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch
}

// BeginEpoch forgets what is known of the topic's offsets if the epoch is a later one.
func (f *Feed) BeginEpoch(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch <= f.epoch {
		return
	}
	f.epoch, f.batches, f.progress = epoch, nil, catchup.Progress{}
	f.listing.newest, f.listing.encoded = nil, nil
	f.connected, f.relay.Connected, f.readAt = false, false, time.Time{}
	if f.interrupt != nil {
		f.interrupt()
	}
	f.notify()
}

// Read is a read of a topic from the store.
type Read struct{ begun catchup.Read }

// BeginRead must be called before a read is sent to the store.
func (f *Feed) BeginRead() Read {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Read{begun: f.progress.BeginRead()}
}

// BeginWaitingRead does the same for a read that may wait for records, and returns
// its context. It is cancelled if another daemon has read records meanwhile, as the
// store may then not be reachable from here. A read of records that are known to be
// missing has nothing to wait for, and is not cancelled: mayWait is false.
func (f *Feed) BeginWaitingRead(ctx context.Context) (r Read, readCtx context.Context, cancel context.CancelFunc, mayWait bool) {
	readCtx, cancel = context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if mayWait = !f.progress.Missing(); mayWait {
		f.interrupt = cancel
	}
	return Read{begun: f.progress.BeginRead()}, readCtx, cancel, mayWait
}

// EndRead records the answer to a read, which was current at the given time, and
// passes the records on. end is where the topic ended.
func (f *Feed) EndRead(r Read, b Batch, end int64, readAt time.Time) {
	f.mu.Lock()
	f.interrupt = nil
	if b.Epoch != f.epoch {
		f.mu.Unlock()
		return
	}
	f.connected = true
	f.progress.EndRead(time.Now(), r.begun, b.Next, end, readAt)
	if b.Next >= end {
		f.readAt = later(f.readAt, readAt)
	}
	f.listing.apply(b)
	publish := f.publish
	f.mu.Unlock()
	publishRecords(publish, b)
}

// FailRead records that a read has failed.
func (f *Feed) FailRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt, f.connected = nil, false
}

// Applied records that relayed records have been applied, and passes them on.
func (f *Feed) Applied(b Batch) {
	f.mu.Lock()
	if b.Epoch != f.epoch {
		f.mu.Unlock()
		return
	}
	f.connected = true
	f.progress.Receive(b.Next)
	f.listing.apply(b)
	publish := f.publish
	f.mu.Unlock()
	publishRecords(publish, b)
}

func publishRecords(publish func(Batch), b Batch) {
	if publish != nil && len(b.Records) > 0 {
		publish(b)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setPublish sets the function that passes records on, and whether other daemons
// rely on it.
func (f *Feed) setPublish(publish func(Batch), relaying bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish, f.relaying = publish, relaying
}

// update applies what other daemons have read of the topic.
func (f *Feed) update(now time.Time, p aggregation.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay.Connected = p.Connected
	announcedAt := time.Time{}
	if p.Connected {
		f.relay.ReadAt, announcedAt = p.ReadAt, p.ReadAt
		f.readAt = later(f.readAt, p.ReadAt)
	}
	f.progress.Announce(now, p.Next, announcedAt)
	behind := f.progress.MustRead(now)
	if behind || !f.relay.Usable(now, time.Time{}) || !f.connected {
		f.notify()
	}
	if f.interrupt != nil && behind {
		f.interrupt()
	}
}

func (f *Feed) add(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Epoch != f.epoch {
		return
	}
	if len(f.batches) < maxFeedBatches {
		f.batches = append(f.batches, b)
	}
	f.notify()
}

func (f *Feed) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *Feed) ownPosition() aggregation.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return aggregation.Position{Next: f.progress.Next(), Connected: f.connected, ReadAt: f.readAt}
}

// CurrentAt returns the latest known time until which this daemon has received all
// records.
func (f *Feed) CurrentAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress.CurrentAt()
}

func (g *Gateway) allFeeds() []*Feed {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*Feed, 0, len(g.feeds))
	for _, f := range g.feeds {
		all = append(all, f)
	}
	return all
}

// positions returns how far each topic has been read in the current epoch.
func (g *Gateway) positions() (epoch uint64, all map[string]aggregation.Position) {
	all = map[string]aggregation.Position{}
	epoch = g.storeEpoch.Load()
	for _, f := range g.allFeeds() {
		if f.Epoch() == epoch {
			all[f.topic] = f.ownPosition()
		}
	}
	return epoch, all
}

// StoreEpoch returns the latest epoch of the store's offsets that is known.
func (g *Gateway) StoreEpoch() uint64 { return g.storeEpoch.Load() }

// ObserveStoreEpoch records the epoch of the store's offsets that an answer of the store
// or another daemon has named.
func (g *Gateway) ObserveStoreEpoch(epoch uint64) {
	for known := g.storeEpoch.Load(); epoch > known; known = g.storeEpoch.Load() {
		if g.storeEpoch.CompareAndSwap(known, epoch) {
			for _, f := range g.allFeeds() {
				f.BeginEpoch(epoch)
			}
			g.streams.beginEpoch(epoch)
		}
	}
}

// relayRecords passes the records of a topic on to the daemons that report to
// this one.
func (p *Peering) relayRecords(topic string, b Batch) {
	children := p.children()
	if len(children) == 0 {
		return
	}
	kind, message := kindRecords, proto.Message(nil)
	if size := b.size(); size <= maxRelayedBytes {
		records := &peerpb.Records{Topic: topic, From: b.From, Next: b.Next, Epoch: b.Epoch}
		for _, r := range b.Records {
			records.Records = append(records.Records, encodeRecord(r))
		}
		message = records
	} else {
		compressed := b.compressedRecords()
		if len(compressed) == 0 || len(compressed) > maxListingBytes {
			return
		}
		kind, message = kindCompressedRecords, &peerpb.CompressedRecords{Topic: topic, From: b.From, Next: b.Next, Records: compressed, Epoch: b.Epoch}
	}
	body, err := proto.Marshal(message)
	if err != nil {
		p.gateway.options.Events.Emit(EventPeeringFault, events.F("error", err))
		return
	}
	for _, id := range children {
		// A daemon that does not get the records reads them itself.
		_ = p.mesh.Send(id, mesh.Message{Kind: kind, Body: body})
	}
}

func (p *Peering) children() []instance.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Children()
}

func (p *Peering) isParent(id instance.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	parent, _ := p.node.Parent()
	return parent == id
}

// position returns how far any daemon has read a topic, and in which epoch.
func (p *Peering) position(now time.Time, topic string) (aggregation.Position, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Position(now, topic), p.node.StoreEpoch()
}

func (p *Peering) storeEpoch() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.StoreEpoch()
}

// receiveRecords accepts records from the parent.
func (p *Peering) receiveRecords(from instance.Process, m mesh.Message) {
	p.gateway.Guard("relayed records", func() { p.addRecords(from, m) })
}

func (p *Peering) addRecords(from instance.Process, m mesh.Message) {
	if !p.isParent(from.ID) {
		return
	}
	topic, b, err := decodeBatch(m)
	if err != nil {
		p.gateway.options.Events.Emit(EventPeeringFault, events.F("instance", string(from.ID)), events.F("error", err))
		return
	}
	p.gateway.Feed(topic).add(b)
}

func decodeBatch(m mesh.Message) (topic string, b Batch, err error) {
	if m.Kind == kindCompressedRecords {
		var message peerpb.CompressedRecords
		if err := proto.Unmarshal(m.Body, &message); err != nil {
			return "", Batch{}, err
		}
		b = Batch{From: message.GetFrom(), Next: message.GetNext(), Epoch: message.GetEpoch(), Compressed: message.GetRecords()}
		b.Records, err = decompressRecords(b.Compressed)
		return message.GetTopic(), b, err
	}
	var message peerpb.Records
	if err := proto.Unmarshal(m.Body, &message); err != nil {
		return "", Batch{}, err
	}
	b = Batch{From: message.GetFrom(), Next: message.GetNext(), Epoch: message.GetEpoch()}
	for _, r := range message.GetRecords() {
		b.Records = append(b.Records, decodeRecord(r))
	}
	return message.GetTopic(), b, nil
}

// updateFeeds tells the feeds what other daemons have read.
func (p *Peering) updateFeeds(now time.Time) {
	relaying := len(p.children()) > 0
	p.gateway.ObserveStoreEpoch(p.storeEpoch())
	for _, f := range p.gateway.allFeeds() {
		f.setPublish(func(b Batch) { p.relayRecords(f.topic, b) }, relaying)
		if position, epoch := p.position(now, f.topic); epoch == f.Epoch() {
			f.update(now, position)
		}
		f.reportBehind(now, p.gateway.options.Events)
	}
}

// reportBehind records how long announced records have been missing.
func (f *Feed) reportBehind(now time.Time, sink events.Sink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := f.progress.Behind(now)
	f.behind.Update(behind.Milliseconds())
	switch reported := f.behindReported; {
	case behind >= behindReportDelay:
		f.behindReported = behind
		if reported == 0 {
			sink.Emit(EventTopicBehind, events.F("topic", f.topic), events.F("offset", f.progress.Next()), events.F("behind_ms", behind.Milliseconds()))
		}
	case reported > 0:
		f.behindReported = 0
		sink.Emit(EventTopicCaughtUp, events.F("topic", f.topic), events.F("offset", f.progress.Next()), events.F("behind_ms", reported.Milliseconds()))
	}
}
