package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// The invariants of the table.
const (
	invariantIncarnation invariant.Name = "membership-incarnation-never-falls"
	invariantLeaving     invariant.Name = "membership-leaving-is-final"
	invariantSelf        invariant.Name = "membership-self-is-live"
)

// entry is what is kept of one instance.
type entry struct {
	// member is the newest line. Its State is what the instance says of
	// itself; use Machine.visible for the state as seen from here.
	// Invariants: the incarnation never falls; Leaving stays until the
	// incarnation changes.
	member Member
	ref    memberRef
	// version of the line, zero when only the list names the instance.
	version uint64
	listed  bool
	// listedLeaving is set when the list names the instance as leaving.
	listedLeaving bool
	alive         bool
	// notAliveSince is when alive was last lost, or the entry made.
	notAliveSince time.Time

	// The rest is used for instances of the own failure domain only.

	// heardIncarnation and sequence are those of the last heartbeat.
	heardIncarnation instance.Incarnation
	sequence         uint64
	lastHeard        time.Time
	// lastGreeted is when a heartbeat out of turn last went to the instance.
	lastGreeted time.Time
	// confirmed is the version of our own line that the instance holds.
	confirmed uint64
}

// knownVersion is the version of the line for the incarnation last heard.
func (e *entry) knownVersion() uint64 {
	if e.member.Incarnation != e.heardIncarnation {
		return 0
	}
	return e.version
}

// visible returns the member as seen from here.
func (m *Machine) visible(e *entry) Member {
	v := e.member
	if e.version > 0 && !e.alive {
		v.State = Dead
	}
	return v
}

// entryFor returns the entry of an instance, which it makes when needed.
func (m *Machine) entryFor(id instance.ID, domain instance.FailureDomain) *entry {
	e := m.entries[id]
	if e == nil {
		e = &entry{member: Member{Process: instance.Process{ID: id}, FailureDomain: domain}, ref: refOf(id), notAliveSince: m.now}
		m.entries[id] = e
		m.refs[e.ref] = e
		m.domainFor(domain).add(e)
	}
	return e
}

// moveDomain files the entry under another failure domain.
func (m *Machine) moveDomain(e *entry, domain instance.FailureDomain) {
	if e.member.FailureDomain == domain {
		return
	}
	m.domainFor(e.member.FailureDomain).remove(e)
	e.member.FailureDomain = domain
	m.domainFor(domain).add(e)
}

// applyLine takes over a line if it is newer than the one held.
func (m *Machine) applyLine(line *memberpb.Line) *entry {
	id := instance.ID(line.GetId())
	domain := instance.FailureDomain(line.GetFailureDomain())
	if id == "" || line.GetUpdate().GetVersion() == 0 || id == m.options.Self.ID {
		return nil
	}
	e := m.entryFor(id, domain)
	incarnation := instance.Incarnation(line.GetIncarnation())
	if incarnation < e.member.Incarnation || (incarnation == e.member.Incarnation && e.version > 0) {
		if incarnation == e.member.Incarnation {
			m.applyUpdate(e, line.GetUpdate())
		}
		return e
	}
	m.touch(e)
	m.moveDomain(e, domain)
	m.setIncarnation(e, incarnation)
	e.member.Addresses = Addresses{Mesh: line.GetMeshAddress(), Caller: line.GetCallerAddress(), Operator: line.GetOperatorAddress()}
	e.member.Region = instance.Region(line.GetRegion())
	m.setChanging(e, line.GetUpdate())
	return e
}

// setIncarnation moves the entry to a later life, which starts afresh.
func (m *Machine) setIncarnation(e *entry, incarnation instance.Incarnation) {
	ok := invariant.Check(incarnation >= e.member.Incarnation, invariantIncarnation,
		"%s goes from %s to %s", e.member.ID, e.member.Incarnation, incarnation)
	if !ok {
		return
	}
	e.member.Incarnation = incarnation
	e.member.State = Joining
	e.version = 0
	e.alive = false
	m.domainFor(e.member.FailureDomain).forgetRelays()
	e.notAliveSince = m.now
}

// applyUpdate takes over the changing part of a line if it is newer.
func (m *Machine) applyUpdate(e *entry, u *memberpb.Update) {
	if u.GetVersion() <= e.version {
		return
	}
	m.touch(e)
	m.setChanging(e, u)
}

// setChanging stores the changing part of a line.
func (m *Machine) setChanging(e *entry, u *memberpb.Update) {
	state := State(u.GetState())
	if state >= Dead {
		// A state of a newer release: the instance lives and takes no work.
		state = Draining
	}
	if e.member.State == Leaving {
		state = Leaving
	}
	e.member.State = state
	e.member.Revision = u.GetRevision()
	e.member.Load = u.GetLoad()
	e.member.Weight = u.GetWeight()
	e.version = u.GetVersion()
	m.hearRevision(e.member.Revision)
}

// setAlive notes whether an instance is heard of.
func (m *Machine) setAlive(e *entry, alive bool) {
	if e.alive == alive || e == m.self {
		return
	}
	m.touch(e)
	m.domainFor(e.member.FailureDomain).forgetRelays()
	e.alive = alive
	if !alive {
		e.notAliveSince = m.now
	}
}

// touch notes how an entry looked before this step first changed it.
func (m *Machine) touch(e *entry) {
	if _, ok := m.touched[e]; !ok {
		m.touched[e] = m.visible(e)
	}
}

// flushTouched emits MemberChanged for the entries that look different after
// this step, and notes whom the changes are to be told.
func (m *Machine) flushTouched() {
	if len(m.touched) == 0 {
		return
	}
	for _, e := range sortEntries(slices.Collect(maps.Keys(m.touched))) {
		before, after := m.touched[e], m.visible(e)
		if after == before {
			continue
		}
		sameLife := before.Incarnation == after.Incarnation
		invariant.Check(!sameLife || before.State != Leaving || after.State >= Leaving, invariantLeaving,
			"%s goes from leaving to %s", after.Process, after.State)
		invariant.Check(before.Incarnation <= after.Incarnation, invariantIncarnation,
			"%s goes from %s to %s", after.ID, before.Incarnation, after.Incarnation)
		switch {
		case !sameLife || before.State != after.State || before.Weight != after.Weight:
			m.tellWithin(e, m.options.PushDelay)
		case before.Revision != after.Revision:
			m.tellWithin(e, m.options.Interval/2)
		}
		if before.Incarnation == 0 && before.Addresses.Mesh == "" {
			before = Member{}
		}
		m.effects = append(m.effects, MemberChanged{Member: after, Previous: before})
	}
	clear(m.touched)
}

// tellWithin marks a change to be told after the given delay, or earlier with
// others that are due before.
func (m *Machine) tellWithin(e *entry, delay time.Duration) {
	due := m.now.Add(delay)
	own := e.member.FailureDomain == m.options.Self.FailureDomain
	if own {
		m.domainsDue = earlierDue(m.domainsDue, due)
	}
	if e == m.self || !own {
		m.neighboursDue = earlierDue(m.neighboursDue, due)
	}
}

// earlierDue returns the earlier of two due times, of which the first may be
// zero for none.
func earlierDue(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	return earlier(a, b)
}

// forget drops dead entries that nothing names any more.
func (m *Machine) forget() {
	var old []*entry
	for _, e := range m.entries {
		if e != m.self && !e.alive && !e.listed && m.now.Sub(e.notAliveSince) >= m.options.ForgetAfter {
			old = append(old, e)
		}
	}
	for _, e := range sortEntries(old) {
		delete(m.entries, e.member.ID)
		delete(m.refs, e.ref)
		m.domainFor(e.member.FailureDomain).remove(e)
		m.effects = append(m.effects, MemberRemoved{Member: m.visible(e)})
	}
}

func (m *Machine) sortedEntries() []*entry {
	return sortEntries(slices.Collect(maps.Values(m.entries)))
}

// sortEntries sorts in place by ID.
func sortEntries(all []*entry) []*entry {
	slices.SortFunc(all, func(a, b *entry) int { return compareEntry(a, b.member.ID) })
	return all
}

// wireLine is the whole line of an entry.
func wireLine(e *entry) *memberpb.Line {
	u := wireUpdate(e)
	u.Ref = 0
	u.Incarnation = 0
	return &memberpb.Line{
		Id:              string(e.member.ID),
		Incarnation:     uint64(e.member.Incarnation),
		MeshAddress:     e.member.Addresses.Mesh,
		CallerAddress:   e.member.Addresses.Caller,
		OperatorAddress: e.member.Addresses.Operator,
		FailureDomain:   string(e.member.FailureDomain),
		Region:          string(e.member.Region),
		Update:          u,
	}
}

// wireUpdate is the changing part of an entry's line.
func wireUpdate(e *entry) *memberpb.Update {
	return &memberpb.Update{
		Ref:         uint64(e.ref),
		Incarnation: uint64(e.member.Incarnation),
		Version:     e.version,
		State:       uint32(e.member.State),
		Revision:    e.member.Revision,
		Load:        e.member.Load,
		Weight:      e.member.Weight,
	}
}
