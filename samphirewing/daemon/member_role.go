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
	// memberTick is how often the membership machine is given the time.
	memberTick = 100 * time.Millisecond
	// entryWeight is the share of an entry in the callers' list.
	entryWeight = 100
)

// memberRole runs the membership state machine. The machine is touched only
// by the goroutine of run; others read the snapshot.
type memberRole struct {
	clock   clock.Clock
	sender  mesh.Sender
	sink    events.Sink
	machine *membership.Machine
	events  *mailbox[membership.Event]
	// changed is called from run after members have changed.
	changed func()
	// died is called from run for each life that has ended.
	died func(instance.Process)
	// revisionHeard is called from run when a peer has a revision in force.
	revisionHeard func(instance.ID, int64)
	setPeers      func([]mesh.Peer)
	// superseded is called from run when a later life of this instance runs.
	superseded func()

	owners atomic.Pointer[ownerLookup]

	live atomic.Pointer[[]membership.Member]
	all  atomic.Pointer[[]membership.Member]

	mu   sync.Mutex
	self membership.Member
}

func newMemberRole(c clock.Clock, sender mesh.Sender, sink events.Sink) *memberRole {
	r := &memberRole{clock: c, sender: sender, sink: sink, events: newMailbox[membership.Event]()}
	r.live.Store(&[]membership.Member{})
	r.all.Store(&[]membership.Member{})
	r.owners.Store(newOwnerLookup(nil))
	return r
}

// begin sets this instance's own line; it comes before run.
func (r *memberRole) begin(self membership.Member) {
	r.self = self
	r.machine = membership.New(membership.Options{Self: self})
	r.publish()
}

// receive registers the handler of heartbeats.
func (r *memberRole) receive(reg mesh.Registrar) {
	reg.OnMessage(kindHeartbeat, func(from instance.Process, m mesh.Message) {
		var h memberpb.Heartbeat
		if decode(m, &h) {
			r.events.post(membership.HeartbeatReceived{From: from, Heartbeat: &h})
		}
	})
}

func (r *memberRole) run(ctx context.Context) {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.events.ready():
			for _, e := range r.events.take() {
				r.machine.Step(r.clock.Now(), e)
			}
		case <-ticker.C:
			r.machine.Tick(r.clock.Now())
		}
		r.carryOut(r.machine.Ready())
	}
}

func (r *memberRole) carryOut(effects []membership.Effect) {
	changed := false
	for _, effect := range effects {
		membership.EmitEvent(r.sink, effect)
		switch ef := effect.(type) {
		case membership.SendHeartbeat:
			sendMessage(r.sender, ef.To, kindHeartbeat, ef.Heartbeat)
		case membership.MemberChanged:
			changed = true
			r.noteChange(ef)
		case membership.MemberRemoved:
			changed = true
		case membership.Superseded:
			r.superseded()
		}
	}
	if changed {
		r.publish()
		r.changed()
	}
}

func (r *memberRole) noteChange(ef membership.MemberChanged) {
	if ef.Member.Revision != ef.Previous.Revision {
		r.revisionHeard(ef.Member.ID, ef.Member.Revision)
	}
	restarted := ef.Previous.Incarnation != 0 && ef.Member.Incarnation > ef.Previous.Incarnation
	if restarted || (ef.Member.State == membership.Dead && ef.Previous.State != membership.Dead) {
		r.died(ef.Previous.Process)
	}
}

func (r *memberRole) publish() {
	live := r.machine.Live()
	all := r.machine.All()
	r.live.Store(&live)
	r.all.Store(&all)
	r.owners.Store(newOwnerLookup(live))
	peers := make([]mesh.Peer, 0, len(all))
	for _, m := range all {
		if m.ID != r.self.ID && m.Addresses.Mesh != "" {
			peers = append(peers, mesh.Peer{ID: m.ID, Address: m.Addresses.Mesh})
		}
	}
	r.setPeers(peers)
}

// listRead passes the platform's list on.
func (r *memberRole) listRead(lines []edge.Member) {
	var members []membership.ListedMember
	for _, l := range lines {
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
	r.changeSelf(func(m *membership.Member) { m.Revision = revision })
}

func (r *memberRole) setState(s membership.State) {
	r.changeSelf(func(m *membership.Member) { m.State = s })
}

func (r *memberRole) changeSelf(f func(*membership.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.self)
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
