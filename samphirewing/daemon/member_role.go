package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirewing/coordkit/coordination/membership"
	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	// memberTickInterval is the interval at which the membership machine is ticked.
	memberTickInterval = 100 * time.Millisecond
	// entryWeight is this entry's weight in the callers' entry list.
	entryWeight = 100
)

// memberRole runs the membership state machine. Only the goroutine of run accesses
// the machine; others read the published snapshots.
type memberRole struct {
	clock   clock.Clock
	sender  mesh.Sender
	sink    events.Sink
	machine *membership.Machine
	events  *mailbox[membership.Event]
	// onMembersChanged is called from run after the members have changed.
	onMembersChanged func()
	// onProcessEnded is called from run for each process that has ended.
	onProcessEnded func(instance.Process)
	// onPeerRevision is called from run when a peer reports another configuration
	// revision.
	onPeerRevision func(instance.ID, int64)
	setPeers       func([]mesh.Peer)
	// onSuperseded is called from run when a later incarnation of this instance
	// is running.
	onSuperseded func()

	owners atomic.Pointer[ownerCache]

	live atomic.Pointer[[]membership.Member]
	all  atomic.Pointer[[]membership.Member]

	mu   sync.Mutex
	self membership.Member
}

func newMemberRole(c clock.Clock, sender mesh.Sender, sink events.Sink) *memberRole {
	r := &memberRole{clock: c, sender: sender, sink: sink, events: newMailbox[membership.Event]()}
	r.live.Store(&[]membership.Member{})
	r.all.Store(&[]membership.Member{})
	r.owners.Store(newOwnerCache(nil))
	return r
}

// initialise sets this instance's own member entry; it must be called before run.
func (r *memberRole) initialise(self membership.Member) {
	r.self = self
	r.machine = membership.New(membership.Options{Self: self})
	r.publish()
}

// registerHandlers registers the handler of heartbeats.
func (r *memberRole) registerHandlers(reg mesh.Registrar) {
	reg.OnMessage(kindHeartbeat, func(from instance.Process, m mesh.Message) {
		var h memberpb.Heartbeat
		if decode(m, &h) {
			r.events.post(membership.HeartbeatReceived{From: from, Heartbeat: &h})
		}
	})
}

func (r *memberRole) run(ctx context.Context) {
	ticker := time.NewTicker(memberTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.events.ready():
			for _, e := range r.events.drain() {
				r.machine.Step(r.clock.Now(), e)
			}
		case <-ticker.C:
			r.machine.Tick(r.clock.Now())
		}
		r.execute(r.machine.Ready())
	}
}

func (r *memberRole) execute(effects []membership.Effect) {
	changed := false
	for _, effect := range effects {
		membership.EmitEvent(r.sink, effect)
		switch ef := effect.(type) {
		case membership.SendHeartbeat:
			sendMessage(r.sender, ef.To, kindHeartbeat, ef.Heartbeat)
		case membership.MemberChanged:
			changed = true
			r.handleMemberChanged(ef)
		case membership.MemberRemoved:
			changed = true
		case membership.Superseded:
			r.onSuperseded()
		}
	}
	if changed {
		r.publish()
		r.onMembersChanged()
	}
}

func (r *memberRole) handleMemberChanged(ef membership.MemberChanged) {
	if ef.Member.Revision != ef.Previous.Revision {
		r.onPeerRevision(ef.Member.ID, ef.Member.Revision)
	}
	restarted := ef.Previous.Incarnation != 0 && ef.Member.Incarnation > ef.Previous.Incarnation
	if restarted || (ef.Member.State == membership.Dead && ef.Previous.State != membership.Dead) {
		r.onProcessEnded(ef.Previous.Process)
	}
}

// publish updates the snapshots of the membership and the peers of the mesh.
func (r *memberRole) publish() {
	live := r.machine.Live()
	all := r.machine.All()
	r.live.Store(&live)
	r.all.Store(&all)
	r.owners.Store(newOwnerCache(live))
	peers := make([]mesh.Peer, 0, len(all))
	for _, m := range all {
		if m.ID != r.self.ID && m.Addresses.Mesh != "" {
			peers = append(peers, mesh.Peer{ID: m.ID, Address: m.Addresses.Mesh})
		}
	}
	r.setPeers(peers)
}

// applyList passes the daemons on the platform's membership list to the state
// machine.
func (r *memberRole) applyList(list []edge.Member) {
	var members []membership.ListedMember
	for _, l := range list {
		if l.Kind != edge.MemberDaemon {
			continue
		}
		members = append(members, membership.ListedMember{
			ID:            instance.ID(l.Name),
			MeshAddress:   l.Address,
			FailureDomain: l.FailureDomain,
			Leaving:       l.Leaving,
		})
	}
	r.events.post(membership.ListRead{Members: members})
}

func (r *memberRole) setRevision(revision int64) {
	r.updateSelf(func(m *membership.Member) { m.Revision = revision })
}

func (r *memberRole) setState(s membership.State) {
	r.updateSelf(func(m *membership.Member) { m.State = s })
}

func (r *memberRole) updateSelf(update func(*membership.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.self)
	r.events.post(membership.SelfChanged{
		State: r.self.State, Revision: r.self.Revision, Load: r.self.Load, Weight: r.self.Weight,
	})
}

func (r *memberRole) selfMember() membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// entries returns the addresses that callers may use.
func (r *memberRole) entries() []callerapi.Entry {
	var list []callerapi.Entry
	for _, m := range *r.live.Load() {
		if m.State != membership.Ready || m.Addresses.Caller == "" {
			continue
		}
		list = append(list, callerapi.Entry{
			Instance:      m.ID,
			Address:       m.Addresses.Caller,
			FailureDomain: m.FailureDomain,
			Weight:        int(max(1, m.Weight)),
		})
	}
	return list
}

// owner returns the live and ready instance that owns a key.
func (r *memberRole) owner(key string) (instance.ID, bool) { return r.owners.Load().owner(key) }

// peers returns the live instances.
func (r *memberRole) peers() []instance.ID {
	var ids []instance.ID
	for _, m := range *r.live.Load() {
		ids = append(ids, m.ID)
	}
	return ids
}
