package membership

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// firstVersion is the version of an instance's line at its start.
const firstVersion = 1

// minLoadChangePercent is the smallest change of the load, in percentage
// points, that changes the own line.
const minLoadChangePercent = 10

// Machine is the state machine of one instance's membership. It is not safe
// for concurrent use.
type Machine struct {
	options Options
	// Invariant: now never decreases.
	now  time.Time
	self *entry
	// Invariant: refs contains the same entries as entries, by reference.
	entries map[instance.ID]*entry
	refs    map[memberRef]*entry
	// Invariant: domainRefs contains the same records as domains, by reference.
	domains    map[instance.FailureDomain]*domain
	domainRefs map[domainRef]*domain
	// domainOrder contains the domains sorted by name.
	domainOrder []*domain
	// snapshots contains the entries changed by this step, with their local
	// views before the change.
	snapshots map[*entry]Member
	effects   []Effect

	sequence        uint64
	highestRevision int64
	lastLoadChange  time.Time
	lastTick        time.Time
	nextRound       time.Time
	// round counts the regular rounds of heartbeats.
	round uint64
	// neighbourHeartbeatsDue and domainReportsDue are when pending changes are
	// to be sent within the own failure domain and to the other ones. Zero
	// means that no change is pending.
	neighbourHeartbeatsDue time.Time
	domainReportsDue       time.Time
	superseded             bool
}

// New returns a Machine that contains only this instance.
func New(o Options) *Machine {
	o = o.withDefaults()
	m := &Machine{
		options:    o,
		entries:    map[instance.ID]*entry{},
		refs:       map[memberRef]*entry{},
		domains:    map[instance.FailureDomain]*domain{},
		domainRefs: map[domainRef]*domain{},
		snapshots:  map[*entry]Member{},
	}
	m.self = m.ensureEntry(o.Self.ID, o.Self.FailureDomain)
	m.self.member = o.Self
	m.self.version = firstVersion
	m.self.alive = true
	m.highestRevision = o.Self.Revision
	return m
}

// Step applies one event.
func (m *Machine) Step(now time.Time, ev Event) {
	m.advance(now)
	switch ev := ev.(type) {
	case ListRead:
		m.applyList(ev.Members)
	case HeartbeatReceived:
		m.receiveHeartbeat(ev.From, ev.Heartbeat)
	case SelfChanged:
		m.updateSelf(ev)
	case RevisionObserved:
		m.observeRevision(ev.Revision)
	}
	m.emitChanges()
}

// Tick advances the time, detects failures and emits the heartbeats that are
// due. It must be called at least once per PushDelay.
func (m *Machine) Tick(now time.Time) {
	m.advance(now)
	m.compensateForPause()
	m.detectFailures()
	m.emitChanges()
	m.sendDueHeartbeats()
	m.lastTick = m.now
}

// Ready returns the effects emitted since the last call.
func (m *Machine) Ready() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// Live returns the live members, including this instance, sorted by ID.
func (m *Machine) Live() []Member {
	var live []Member
	for _, e := range m.sortedEntries() {
		if e.alive {
			live = append(live, m.localView(e))
		}
	}
	invariant.Check(m.self.alive, invariantSelf, "%s does not consider itself live", m.self.member.Process)
	return live
}

// All returns all known members sorted by ID: live ones, dead ones, and those
// that only the platform's list names.
func (m *Machine) All() []Member {
	all := make([]Member, 0, len(m.entries))
	for _, e := range m.sortedEntries() {
		all = append(all, m.localView(e))
	}
	return all
}

// HighestRevision returns the highest configuration revision observed.
func (m *Machine) HighestRevision() int64 { return m.highestRevision }

func (m *Machine) ownDomain() *domain { return m.ensureDomain(m.options.Self.FailureDomain) }

// advance sets the current time. An earlier time than before has no effect.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

// compensateForPause extends the failure deadlines of other instances after a
// pause of this process, since their heartbeats of that time are still unread.
func (m *Machine) compensateForPause() {
	pause := m.now.Sub(m.lastTick)
	if m.lastTick.IsZero() || pause < 2*m.options.Interval {
		return
	}
	for _, e := range m.entries {
		e.lastHeartbeat = earlierTime(e.lastHeartbeat.Add(pause), m.now)
	}
	for _, d := range m.domains {
		for _, s := range d.sources {
			s.asOf = earlierTime(s.asOf.Add(pause), m.now)
		}
	}
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// detectFailures marks instances as dead that have exceeded DeadAfter.
func (m *Machine) detectFailures() {
	own := m.ownDomain()
	for _, e := range own.members {
		if e.alive && e != m.self && m.now.Sub(e.lastHeartbeat) > m.options.DeadAfter {
			m.setAlive(e, false)
		}
	}
	for _, d := range m.domainOrder {
		if d != own {
			m.expireSources(d)
		}
	}
}

// updateSelf applies a change of the own line's mutable part. Leaving is final.
func (m *Machine) updateSelf(c SelfChanged) {
	m.snapshot(m.self)
	member := &m.self.member
	before := *member
	if member.State != Leaving && c.State < Dead {
		member.State = c.State
	}
	member.Revision = max(member.Revision, c.Revision)
	member.Weight = c.Weight
	loadChange := max(member.Load, c.Load) - min(member.Load, c.Load)
	if loadChange >= minLoadChangePercent && m.now.Sub(m.lastLoadChange) >= m.options.LoadInterval {
		member.Load = c.Load
		m.lastLoadChange = m.now
	}
	if *member != before {
		m.self.version++
	}
	m.observeRevision(member.Revision)
}

func (m *Machine) observeRevision(revision int64) {
	if revision <= m.highestRevision {
		return
	}
	m.highestRevision = revision
	m.effects = append(m.effects, RevisionAdvanced{Revision: revision})
}

// applyList applies the platform's membership list. The list only adds
// instances to contact; it does not affect whether an instance is live.
func (m *Machine) applyList(list []ListedMember) {
	for _, e := range m.entries {
		e.listed = false
	}
	for _, l := range list {
		if l.ID == "" || l.ID == m.options.Self.ID {
			continue
		}
		e := m.ensureEntry(l.ID, l.FailureDomain)
		e.listed = true
		e.listedLeaving = l.Leaving
		if e.version == 0 {
			m.applyListedMember(e, l)
		}
	}
}

// applyListedMember applies a list entry to an instance that has not sent its
// line yet.
func (m *Machine) applyListedMember(e *entry, l ListedMember) {
	m.snapshot(e)
	m.moveDomain(e, l.FailureDomain)
	e.member.Addresses.Mesh = l.MeshAddress
}

// receiveHeartbeat applies a heartbeat.
func (m *Machine) receiveHeartbeat(from instance.Process, h *memberpb.Heartbeat) {
	if from.ID == m.options.Self.ID {
		if from.Incarnation > m.options.Self.Incarnation && !m.superseded {
			m.superseded = true
			m.effects = append(m.effects, Superseded{Successor: from})
		}
		return
	}
	m.observeRevision(h.GetHighestRevision())
	if !h.GetBetweenDomains() && !m.receiveNeighbourHeartbeat(from, h) {
		return
	}
	var request []uint32
	for _, r := range h.GetReports() {
		if m.receiveReport(from, h.GetSequence(), r, h.GetBetweenDomains()) {
			request = append(request, r.GetDomain())
		}
	}
	if len(request) > 0 || len(h.GetWant()) > 0 {
		m.reply(from.ID, h.GetBetweenDomains(), request, h.GetWant())
	}
}

// receiveNeighbourHeartbeat applies the sender's state in a heartbeat from the
// own failure domain. It returns false for a duplicate or outdated heartbeat.
func (m *Machine) receiveNeighbourHeartbeat(from instance.Process, h *memberpb.Heartbeat) bool {
	if line := h.GetLine(); line.GetId() == string(from.ID) {
		m.applyLine(line)
	}
	e := m.ensureEntry(from.ID, m.options.Self.FailureDomain)
	if from.Incarnation < max(e.member.Incarnation, e.heartbeatIncarnation) {
		return false
	}
	if from.Incarnation == e.heartbeatIncarnation && h.GetSequence() <= e.heartbeatSequence {
		return false
	}
	e.heartbeatIncarnation = from.Incarnation
	e.heartbeatSequence = h.GetSequence()
	e.lastHeartbeat = m.now
	e.ackedVersion = min(h.GetKnownVersion(), m.self.version)
	if h.GetUpdate() != nil && e.version > 0 && e.member.Incarnation == from.Incarnation {
		m.applyUpdate(e, h.GetUpdate())
	}
	if e.knownVersion() > 0 {
		m.setAlive(e, true)
	}
	if e.ackedVersion == 0 || e.knownVersion() == 0 {
		m.sendImmediately(e)
	}
	return true
}
