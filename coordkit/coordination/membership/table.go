package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// The invariants of the membership table.
const (
	invariantIncarnation invariant.Name = "membership-incarnation-never-falls"
	invariantLeaving     invariant.Name = "membership-leaving-is-final"
	invariantSelf        invariant.Name = "membership-self-is-live"
)

// entry is the table's record of one instance.
type entry struct {
	// member is the newest line received. Its State is the one that the
	// instance reported; Machine.localView returns the observed state.
	// Invariants: member.Incarnation never decreases; once State is Leaving,
	// it stays so until the incarnation changes.
	member Member
	ref    memberRef
	// version is that of the line, or zero when only the platform's list
	// names the instance.
	version uint64
	listed  bool
	// listedLeaving is set when the list marks the instance as leaving.
	listedLeaving bool
	alive         bool
	// notAliveSince is when alive last became false or, if it was never true,
	// when the entry was created.
	notAliveSince time.Time

	// The fields below are used only for instances of the own failure domain.

	// heartbeatIncarnation and heartbeatSequence identify the last heartbeat
	// received.
	heartbeatIncarnation instance.Incarnation
	heartbeatSequence    uint64
	lastHeartbeat        time.Time
	// lastImmediateSend is when sendImmediately last sent to the instance.
	lastImmediateSend time.Time
	// ackedVersion is the version of the own line that the instance has
	// acknowledged.
	ackedVersion uint64
}

// knownVersion returns the version of the line, or zero if the line is not of
// the incarnation that sent the last heartbeat.
func (e *entry) knownVersion() uint64 {
	if e.member.Incarnation != e.heartbeatIncarnation {
		return 0
	}
	return e.version
}

// localView returns the member with its state as observed by this instance.
func (m *Machine) localView(e *entry) Member {
	member := e.member
	if e.version > 0 && !e.alive {
		member.State = Dead
	}
	return member
}

// ensureEntry returns the entry of an instance, creating it if necessary.
func (m *Machine) ensureEntry(id instance.ID, domain instance.FailureDomain) *entry {
	e := m.entries[id]
	if e == nil {
		e = &entry{member: Member{Process: instance.Process{ID: id}, FailureDomain: domain}, ref: memberRefOf(id), notAliveSince: m.now}
		m.entries[id] = e
		m.refs[e.ref] = e
		m.ensureDomain(domain).add(e)
	}
	return e
}

// moveDomain moves the entry to another failure domain.
func (m *Machine) moveDomain(e *entry, domain instance.FailureDomain) {
	if e.member.FailureDomain == domain {
		return
	}
	m.ensureDomain(e.member.FailureDomain).remove(e)
	e.member.FailureDomain = domain
	m.ensureDomain(domain).add(e)
}

// applyLine applies a line if it is newer than the stored one. It returns the
// instance's entry, or nil if the line is invalid or this instance's own.
func (m *Machine) applyLine(line *memberpb.Line) *entry {
	id := instance.ID(line.GetId())
	domain := instance.FailureDomain(line.GetFailureDomain())
	if id == "" || line.GetUpdate().GetVersion() == 0 || id == m.options.Self.ID {
		return nil
	}
	e := m.ensureEntry(id, domain)
	incarnation := instance.Incarnation(line.GetIncarnation())
	if incarnation < e.member.Incarnation || (incarnation == e.member.Incarnation && e.version > 0) {
		if incarnation == e.member.Incarnation {
			m.applyUpdate(e, line.GetUpdate())
		}
		return e
	}
	m.snapshot(e)
	m.moveDomain(e, domain)
	m.setIncarnation(e, incarnation)
	e.member.Addresses = Addresses{Mesh: line.GetMeshAddress(), Caller: line.GetCallerAddress(), Operator: line.GetOperatorAddress()}
	e.member.Region = instance.Region(line.GetRegion())
	m.setMutableFields(e, line.GetUpdate())
	return e
}

// setIncarnation moves the entry to a later incarnation and resets what
// belonged to the earlier one.
func (m *Machine) setIncarnation(e *entry, incarnation instance.Incarnation) {
	ok := invariant.Check(incarnation >= e.member.Incarnation, invariantIncarnation,
		"%s changes incarnation from %s to %s", e.member.ID, e.member.Incarnation, incarnation)
	if !ok {
		return
	}
	e.member.Incarnation = incarnation
	e.member.State = Joining
	e.version = 0
	e.alive = false
	m.ensureDomain(e.member.FailureDomain).invalidateRelays()
	e.notAliveSince = m.now
}

// applyUpdate applies the mutable part of a line if it is newer.
func (m *Machine) applyUpdate(e *entry, u *memberpb.Update) {
	if u.GetVersion() <= e.version {
		return
	}
	m.snapshot(e)
	m.setMutableFields(e, u)
}

// setMutableFields stores the mutable part of a line.
func (m *Machine) setMutableFields(e *entry, u *memberpb.Update) {
	state := State(u.GetState())
	if state >= Dead {
		// A newer release may send a state that this one does not define. The
		// instance is alive, but must not be given work.
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
	m.observeRevision(e.member.Revision)
}

// setAlive records whether the failure detector considers an instance alive.
func (m *Machine) setAlive(e *entry, alive bool) {
	if e.alive == alive || e == m.self {
		return
	}
	m.snapshot(e)
	m.ensureDomain(e.member.FailureDomain).invalidateRelays()
	e.alive = alive
	if !alive {
		e.notAliveSince = m.now
	}
}

// snapshot records the local view of an entry before the first change of this
// step.
func (m *Machine) snapshot(e *entry) {
	if _, ok := m.snapshots[e]; !ok {
		m.snapshots[e] = m.localView(e)
	}
}

// emitChanges emits MemberChanged for each entry whose local view this step
// changed, and schedules the heartbeats that publish the changes.
func (m *Machine) emitChanges() {
	if len(m.snapshots) == 0 {
		return
	}
	for _, e := range sortEntries(slices.Collect(maps.Keys(m.snapshots))) {
		before, after := m.snapshots[e], m.localView(e)
		if after == before {
			continue
		}
		sameIncarnation := before.Incarnation == after.Incarnation
		invariant.Check(!sameIncarnation || before.State != Leaving || after.State >= Leaving, invariantLeaving,
			"%s changes state from leaving to %s", after.Process, after.State)
		invariant.Check(before.Incarnation <= after.Incarnation, invariantIncarnation,
			"%s changes incarnation from %s to %s", after.ID, before.Incarnation, after.Incarnation)
		switch {
		case !sameIncarnation || before.State != after.State || before.Weight != after.Weight:
			m.publishWithin(e, m.options.PushDelay)
		case before.Revision != after.Revision:
			m.publishWithin(e, m.options.Interval/2)
		}
		if before.Incarnation == 0 && before.Addresses.Mesh == "" {
			before = Member{}
		}
		m.effects = append(m.effects, MemberChanged{Member: after, Previous: before})
	}
	clear(m.snapshots)
}

// publishWithin schedules the heartbeats that publish a change of an entry, at
// the latest after the given delay.
func (m *Machine) publishWithin(e *entry, delay time.Duration) {
	due := m.now.Add(delay)
	own := e.member.FailureDomain == m.options.Self.FailureDomain
	if own {
		m.domainReportsDue = earlierDueTime(m.domainReportsDue, due)
	}
	if e == m.self || !own {
		m.neighbourHeartbeatsDue = earlierDueTime(m.neighbourHeartbeatsDue, due)
	}
}

// earlierDueTime returns the earlier of two due times. A zero a means none.
func earlierDueTime(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	return earlierTime(a, b)
}

// removeExpired removes the entries that have not been alive for DeadRetention
// and that the platform's list does not name.
func (m *Machine) removeExpired() {
	var expired []*entry
	for _, e := range m.entries {
		if e != m.self && !e.alive && !e.listed && m.now.Sub(e.notAliveSince) >= m.options.DeadRetention {
			expired = append(expired, e)
		}
	}
	for _, e := range sortEntries(expired) {
		delete(m.entries, e.member.ID)
		delete(m.refs, e.ref)
		m.ensureDomain(e.member.FailureDomain).remove(e)
		m.effects = append(m.effects, MemberRemoved{Member: m.localView(e)})
	}
}

func (m *Machine) sortedEntries() []*entry {
	return sortEntries(slices.Collect(maps.Values(m.entries)))
}

// sortEntries sorts entries in place by ID and returns them.
func sortEntries(entries []*entry) []*entry {
	slices.SortFunc(entries, func(a, b *entry) int { return compareEntry(a, b.member.ID) })
	return entries
}

// wireLine returns an entry as a complete line.
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

// wireUpdate returns the mutable part of an entry's line.
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
