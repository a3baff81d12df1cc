package membership

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// firstVersion is the version of an instance's line at its start.
const firstVersion = 1

// loadStep is the least change of the load figure that is told, in percent.
const loadStep = 10

// Machine is the state machine of one instance's membership. It is not safe
// for concurrent use.
type Machine struct {
	options Options
	// now never goes back.
	now  time.Time
	self *entry
	// Invariant: refs holds the entries by their references.
	entries map[instance.ID]*entry
	refs    map[memberRef]*entry
	// Invariant: domainRefs holds the domains by their references.
	domains    map[instance.FailureDomain]*domain
	domainRefs map[domainRef]*domain
	// domainOrder holds the domains by name.
	domainOrder []*domain
	// touched holds the entries that this step changed, as they were before.
	touched map[*entry]Member
	effects []Effect

	sequence        uint64
	highestRevision int64
	lastLoad        time.Time
	lastTick        time.Time
	nextRound       time.Time
	// round counts the rounds of heartbeats.
	round uint64
	// neighboursDue and domainsDue are when waiting changes are to be told in
	// the own failure domain, and to the others. Zero means that none waits.
	neighboursDue time.Time
	domainsDue    time.Time
	superseded    bool
}

// New returns a Machine that knows of no other instance yet.
func New(o Options) *Machine {
	o = o.withDefaults()
	m := &Machine{
		options:    o,
		entries:    map[instance.ID]*entry{},
		refs:       map[memberRef]*entry{},
		domains:    map[instance.FailureDomain]*domain{},
		domainRefs: map[domainRef]*domain{},
		touched:    map[*entry]Member{},
	}
	m.self = m.entryFor(o.Self.ID, o.Self.FailureDomain)
	m.self.member = o.Self
	m.self.version = firstVersion
	m.self.alive = true
	m.highestRevision = o.Self.Revision
	return m
}

// Step takes one event in.
func (m *Machine) Step(now time.Time, ev Event) {
	m.advance(now)
	switch ev := ev.(type) {
	case ListRead:
		m.readList(ev.Members)
	case HeartbeatReceived:
		m.receiveHeartbeat(ev.From, ev.Heartbeat)
	case SelfChanged:
		m.changeSelf(ev)
	case RevisionHeard:
		m.hearRevision(ev.Revision)
	}
	m.flushTouched()
}

// Tick lets time pass. It is to be called at least each PushDelay.
func (m *Machine) Tick(now time.Time) {
	m.advance(now)
	m.excuseOwnPause()
	m.expire()
	m.flushTouched()
	m.sendDue()
	m.lastTick = m.now
}

// Ready returns the effects since the last call.
func (m *Machine) Ready() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// Live returns the members that are heard of, this one included, by ID.
func (m *Machine) Live() []Member {
	var live []Member
	for _, e := range m.sortedEntries() {
		if e.alive {
			live = append(live, m.visible(e))
		}
	}
	invariant.Check(m.self.alive, invariantSelf, "%s is not live to itself", m.self.member.Process)
	return live
}

// All returns every known member by ID: live, dead and merely listed ones.
func (m *Machine) All() []Member {
	all := make([]Member, 0, len(m.entries))
	for _, e := range m.sortedEntries() {
		all = append(all, m.visible(e))
	}
	return all
}

// HighestRevision returns the highest configuration revision heard of.
func (m *Machine) HighestRevision() int64 { return m.highestRevision }

func (m *Machine) ownDomain() *domain { return m.domainFor(m.options.Self.FailureDomain) }

// advance moves the time on; an earlier time than before changes nothing.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

// excuseOwnPause moves the deadlines of others on when this process was
// paused itself, since what they sent meanwhile still waits to be read.
func (m *Machine) excuseOwnPause() {
	pause := m.now.Sub(m.lastTick)
	if m.lastTick.IsZero() || pause < 2*m.options.Interval {
		return
	}
	for _, e := range m.entries {
		e.lastHeard = earlier(e.lastHeard.Add(pause), m.now)
	}
	for _, d := range m.domains {
		for _, s := range d.sources {
			s.asOf = earlier(s.asOf.Add(pause), m.now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// expire finds out who is no longer heard of.
func (m *Machine) expire() {
	own := m.ownDomain()
	for _, e := range own.members {
		if e.alive && e != m.self && m.now.Sub(e.lastHeard) > m.options.DeadAfter {
			m.setAlive(e, false)
		}
	}
	for _, d := range m.domainOrder {
		if d != own {
			m.expireSources(d)
		}
	}
}

// changeSelf takes over the own line's changing part. Leaving is final.
func (m *Machine) changeSelf(c SelfChanged) {
	m.touch(m.self)
	member := &m.self.member
	before := *member
	if member.State != Leaving && c.State < Dead {
		member.State = c.State
	}
	member.Revision = max(member.Revision, c.Revision)
	member.Weight = c.Weight
	moved := max(member.Load, c.Load) - min(member.Load, c.Load)
	if moved >= loadStep && m.now.Sub(m.lastLoad) >= m.options.LoadInterval {
		member.Load = c.Load
		m.lastLoad = m.now
	}
	if *member != before {
		m.self.version++
	}
	m.hearRevision(member.Revision)
}

func (m *Machine) hearRevision(r int64) {
	if r <= m.highestRevision {
		return
	}
	m.highestRevision = r
	m.effects = append(m.effects, RevisionKnown{Revision: r})
}

// readList takes the platform's list in. It adds instances to look for; it
// says nothing of the life of those that are heard.
func (m *Machine) readList(list []ListedMember) {
	for _, e := range m.entries {
		e.listed = false
	}
	for _, l := range list {
		if l.ID == "" || l.ID == m.options.Self.ID {
			continue
		}
		e := m.entryFor(l.ID, l.FailureDomain)
		e.listed = true
		e.listedLeaving = l.Leaving
		if e.version == 0 {
			m.listOnly(e, l)
		}
	}
}

// listOnly notes what the list says of an instance that was never heard.
func (m *Machine) listOnly(e *entry, l ListedMember) {
	m.touch(e)
	m.moveDomain(e, l.FailureDomain)
	e.member.Addresses.Mesh = l.MeshAddress
}

// receiveHeartbeat takes a heartbeat in.
func (m *Machine) receiveHeartbeat(from instance.Process, h *memberpb.Heartbeat) {
	if from.ID == m.options.Self.ID {
		if from.Incarnation > m.options.Self.Incarnation && !m.superseded {
			m.superseded = true
			m.effects = append(m.effects, Superseded{By: from})
		}
		return
	}
	m.hearRevision(h.GetHighestRevision())
	if !h.GetBetweenDomains() && !m.hearNeighbour(from, h) {
		return
	}
	var want []uint32
	for _, r := range h.GetReports() {
		if m.receiveReport(from, h.GetSequence(), r, h.GetBetweenDomains()) {
			want = append(want, r.GetDomain())
		}
	}
	if len(want) > 0 || len(h.GetWant()) > 0 {
		m.reply(from.ID, h.GetBetweenDomains(), want, h.GetWant())
	}
}

// hearNeighbour notes a heartbeat from the own failure domain. It tells
// whether the heartbeat is newer than all before.
func (m *Machine) hearNeighbour(from instance.Process, h *memberpb.Heartbeat) bool {
	if line := h.GetLine(); line.GetId() == string(from.ID) {
		m.applyLine(line)
	}
	e := m.entryFor(from.ID, m.options.Self.FailureDomain)
	if from.Incarnation < max(e.member.Incarnation, e.heardIncarnation) {
		return false
	}
	if from.Incarnation == e.heardIncarnation && h.GetSequence() <= e.sequence {
		return false
	}
	e.heardIncarnation = from.Incarnation
	e.sequence = h.GetSequence()
	e.lastHeard = m.now
	e.confirmed = min(h.GetKnownVersion(), m.self.version)
	if h.GetUpdate() != nil && e.version > 0 && e.member.Incarnation == from.Incarnation {
		m.applyUpdate(e, h.GetUpdate())
	}
	if e.knownVersion() > 0 {
		m.setAlive(e, true)
	}
	if e.confirmed == 0 || e.knownVersion() == 0 {
		m.greet(e)
	}
	return true
}
