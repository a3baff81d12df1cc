package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// lineVersion identifies a version of an instance's line.
type lineVersion struct {
	incarnation instance.Incarnation
	version     uint64
}

// view is a set of live instances with the versions of their lines.
type view struct {
	lines map[memberRef]lineVersion
	// Invariant: digest is the sum of lineDigest over lines.
	digest uint32
}

func newView() view { return view{lines: map[memberRef]lineVersion{}} }

func (v *view) set(ref memberRef, l lineVersion) {
	v.remove(ref)
	v.lines[ref] = l
	v.digest += lineDigest(ref, l)
}

func (v *view) remove(ref memberRef) {
	if old, ok := v.lines[ref]; ok {
		v.digest -= lineDigest(ref, old)
		delete(v.lines, ref)
	}
}

// lineDigest hashes an instance's reference and line version to 32 bits.
func lineDigest(ref memberRef, l lineVersion) uint32 {
	const multiplier = 0x9e3779b97f4a7c15
	x := uint64(ref)
	for _, word := range [...]uint64{uint64(l.incarnation), l.version} {
		x = (x ^ word) * multiplier
		x ^= x >> 29
	}
	return uint32(x >> 32)
}

// source is an instance that reports on a failure domain.
type source struct {
	sender   instance.Process
	sequence uint64
	view     view
	// direct is set when the source is in the failure domain itself.
	direct bool
	// asOf is the time whose state the last report describes.
	asOf time.Time
	// lastFullRequest is when a full report was last requested.
	lastFullRequest time.Time
}

// domain is the record of one failure domain.
type domain struct {
	name instance.FailureDomain
	ref  domainRef
	// members is sorted by ID.
	members []*entry
	sources map[instance.ID]*source
	// lastReported is the view after the last report sent.
	lastReported view
	// relays caches the relays by linked failure domain. Nil means that they
	// have to be assigned again.
	relays map[instance.FailureDomain][]instance.ID
	// targets are the relay targets at the last report to this failure domain,
	// and formerTargets those before the change in round targetsChangedRound.
	targets             []instance.ID
	formerTargets       []instance.ID
	targetsChangedRound uint64
}

// ensureDomain returns the record of a failure domain, creating it if
// necessary.
func (m *Machine) ensureDomain(name instance.FailureDomain) *domain {
	d := m.domains[name]
	if d == nil {
		d = &domain{name: name, ref: domainRefOf(name), sources: map[instance.ID]*source{}, lastReported: newView()}
		m.domains[name] = d
		m.domainRefs[d.ref] = d
		for _, other := range m.domainOrder {
			other.invalidateRelays()
		}
		m.domainOrder = append(m.domainOrder, d)
		slices.SortFunc(m.domainOrder, func(a, b *domain) int { return strings.Compare(string(a.name), string(b.name)) })
	}
	return d
}

func compareEntry(e *entry, id instance.ID) int {
	return strings.Compare(string(e.member.ID), string(id))
}

func (d *domain) add(e *entry) {
	d.invalidateRelays()
	i, found := slices.BinarySearchFunc(d.members, e.member.ID, compareEntry)
	if !found {
		d.members = slices.Insert(d.members, i, e)
	}
}

func (d *domain) remove(e *entry) {
	d.invalidateRelays()
	i, found := slices.BinarySearchFunc(d.members, e.member.ID, compareEntry)
	if found {
		d.members = slices.Delete(d.members, i, i+1)
	}
}

// directReportAge returns the age of the newest direct report of the failure
// domain, or false if there is none.
func (d *domain) directReportAge(now time.Time) (time.Duration, bool) {
	minAge, ok := time.Duration(0), false
	for _, s := range d.sources {
		if age := now.Sub(s.asOf); s.direct && (!ok || age < minAge) {
			minAge, ok = age, true
		}
	}
	return minAge, ok
}

// receiveReport applies a source's report of a failure domain. It returns
// whether a full report has to be requested.
func (m *Machine) receiveReport(from instance.Process, sequence uint64, r *memberpb.Report, direct bool) bool {
	for _, line := range r.GetLines() {
		m.applyLine(line)
	}
	d := m.domainRefs[domainRef(r.GetDomain())]
	if d == nil || d == m.ownDomain() {
		return d == nil
	}
	s := d.sources[from.ID]
	if s == nil || s.sender.Incarnation < from.Incarnation {
		s = &source{sender: from, view: newView()}
		d.sources[from.ID] = s
	}
	if from.Incarnation < s.sender.Incarnation || sequence <= s.sequence {
		return false
	}
	s.sequence = sequence
	s.direct = direct
	s.asOf = m.now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
	if s.apply(m, r) {
		m.updateLiveness(d)
	}
	if s.view.digest == r.GetDigest() || m.now.Sub(s.lastFullRequest) < m.options.Interval {
		return false
	}
	s.lastFullRequest = m.now
	return true
}

// apply updates the source's view with a report, and returns whether the
// report contained any change. Updates of instances whose line is unknown are
// skipped: the digests then differ, and a full report is requested.
func (s *source) apply(m *Machine, r *memberpb.Report) bool {
	if !r.GetFull() && len(r.GetLines())+len(r.GetUpdates())+len(r.GetGone()) == 0 {
		return false
	}
	if r.GetFull() {
		s.view = newView()
	}
	for _, line := range r.GetLines() {
		s.view.set(memberRefOf(instance.ID(line.GetId())),
			lineVersion{instance.Incarnation(line.GetIncarnation()), line.GetUpdate().GetVersion()})
	}
	for _, u := range r.GetUpdates() {
		e := m.refs[memberRef(u.GetRef())]
		incarnation := instance.Incarnation(u.GetIncarnation())
		if e == nil || e.member.Incarnation < incarnation || e.version == 0 {
			continue
		}
		if e.member.Incarnation == incarnation {
			m.applyUpdate(e, u)
		}
		s.view.set(e.ref, lineVersion{incarnation, u.GetVersion()})
	}
	for _, ref := range r.GetGone() {
		s.view.remove(memberRef(ref))
	}
	return true
}

// updateLiveness sets which instances of another failure domain are alive:
// those whose newest incarnation is in the view of any source. Sources whose
// last report is too old have been removed.
func (m *Machine) updateLiveness(d *domain) {
	for _, e := range d.members {
		m.setAlive(e, d.reportedAlive(e, false))
	}
}

func (d *domain) reportedAlive(e *entry, directOnly bool) bool {
	for _, s := range d.sources {
		l, ok := s.view.lines[e.ref]
		if ok && l.incarnation == e.member.Incarnation && (s.direct || !directOnly) {
			return true
		}
	}
	return false
}

// expireSources removes the sources whose last report is older than DeadAfter.
func (m *Machine) expireSources(d *domain) {
	expired := false
	for id, s := range d.sources {
		if m.now.Sub(s.asOf) > m.options.DeadAfter {
			delete(d.sources, id)
			expired = true
		}
	}
	if expired {
		m.updateLiveness(d)
	}
}

// reportsAsLive returns whether this instance reports an instance as live. For
// other failure domains, only direct reports count. Otherwise two instances
// that forward reports to each other could keep a dead instance alive forever.
func (m *Machine) reportsAsLive(d *domain, e *entry) bool {
	if d == m.ownDomain() {
		return e.alive
	}
	return d.reportedAlive(e, true)
}

// deltaReport returns the changes of a failure domain since the last report.
func (m *Machine) deltaReport(d *domain) *memberpb.Report {
	r := &memberpb.Report{Domain: uint32(d.ref)}
	for _, e := range d.members {
		current, reported := lineVersion{e.member.Incarnation, e.version}, d.lastReported.lines[e.ref]
		live := m.reportsAsLive(d, e)
		switch {
		case !live && reported != lineVersion{}:
			r.Gone = append(r.Gone, uint64(e.ref))
			d.lastReported.remove(e.ref)
		case !live || current == reported:
		case current.incarnation == reported.incarnation:
			r.Updates = append(r.Updates, wireUpdate(e))
			d.lastReported.set(e.ref, current)
		default:
			r.Lines = append(r.Lines, wireLine(e))
			d.lastReported.set(e.ref, current)
		}
	}
	r.Digest = d.lastReported.digest
	r.AgeMs = m.reportAge(d)
	return r
}

// fullReport returns all live instances of a failure domain.
func (m *Machine) fullReport(d *domain) *memberpb.Report {
	r := &memberpb.Report{Domain: uint32(d.ref), Full: true, AgeMs: m.reportAge(d)}
	reported := newView()
	for _, e := range d.members {
		if m.reportsAsLive(d, e) {
			r.Lines = append(r.Lines, wireLine(e))
			reported.set(e.ref, lineVersion{e.member.Incarnation, e.version})
		}
	}
	r.Digest = reported.digest
	return r
}

func (m *Machine) reportAge(d *domain) uint32 {
	age, _ := d.directReportAge(m.now)
	return uint32(age.Milliseconds())
}
