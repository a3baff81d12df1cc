package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// lineVersion names one version of one instance's line.
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

// lineDigest mixes one line's identity into 32 bits.
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
	life     instance.Process
	sequence uint64
	view     view
	// direct is set when the source is in the failure domain itself.
	direct bool
	// asOf is when the source's news was true.
	asOf     time.Time
	lastWant time.Time
}

// domain is what is kept of one failure domain.
type domain struct {
	name instance.FailureDomain
	ref  domainRef
	// members are in the order of their IDs.
	members []*entry
	sources map[instance.ID]*source
	// told is the view that our last report held.
	told view
	// relays holds the relays by linked failure domain, or is nil when they
	// are to be found anew.
	relays map[instance.FailureDomain][]instance.ID
	// targets are those of the last report to this failure domain, and
	// formerTargets those before they changed in round targetsChanged.
	targets        []instance.ID
	formerTargets  []instance.ID
	targetsChanged uint64
}

// domainFor returns the record of a failure domain, which it makes when needed.
func (m *Machine) domainFor(name instance.FailureDomain) *domain {
	d := m.domains[name]
	if d == nil {
		d = &domain{name: name, ref: domainRefOf(name), sources: map[instance.ID]*source{}, told: newView()}
		m.domains[name] = d
		m.domainRefs[d.ref] = d
		for _, other := range m.domainOrder {
			other.forgetRelays()
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
	d.forgetRelays()
	i, found := slices.BinarySearchFunc(d.members, e.member.ID, compareEntry)
	if !found {
		d.members = slices.Insert(d.members, i, e)
	}
}

func (d *domain) remove(e *entry) {
	d.forgetRelays()
	i, found := slices.BinarySearchFunc(d.members, e.member.ID, compareEntry)
	if found {
		d.members = slices.Delete(d.members, i, i+1)
	}
}

// newsAge is the age of the newest direct news of the failure domain. It
// reports false when there is none.
func (d *domain) newsAge(now time.Time) (time.Duration, bool) {
	age, ok := time.Duration(0), false
	for _, s := range d.sources {
		if a := now.Sub(s.asOf); s.direct && (!ok || a < age) {
			age, ok = a, true
		}
	}
	return age, ok
}

// receiveReport takes in what a source says of a failure domain. It tells
// whether a full report is needed.
func (m *Machine) receiveReport(from instance.Process, sequence uint64, r *memberpb.Report, direct bool) bool {
	for _, line := range r.GetLines() {
		m.applyLine(line)
	}
	d := m.domainRefs[domainRef(r.GetDomain())]
	if d == nil || d == m.ownDomain() {
		return d == nil
	}
	s := d.sources[from.ID]
	if s == nil || s.life.Incarnation < from.Incarnation {
		s = &source{life: from, view: newView()}
		d.sources[from.ID] = s
	}
	if from.Incarnation < s.life.Incarnation || sequence <= s.sequence {
		return false
	}
	s.sequence = sequence
	s.direct = direct
	s.asOf = m.now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
	if s.apply(m, r) {
		m.judgeDomain(d)
	}
	if s.view.digest == r.GetDigest() || m.now.Sub(s.lastWant) < m.options.Interval {
		return false
	}
	s.lastWant = m.now
	return true
}

// apply brings the source's view up to the report, and tells whether there
// was anything new. What the report names but we know no line of is left out:
// the digest then differs, and the whole view is asked for.
func (s *source) apply(m *Machine, r *memberpb.Report) bool {
	if !r.GetFull() && len(r.GetLines())+len(r.GetUpdates())+len(r.GetGone()) == 0 {
		return false
	}
	if r.GetFull() {
		s.view = newView()
	}
	for _, line := range r.GetLines() {
		s.view.set(refOf(instance.ID(line.GetId())),
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

// judgeDomain sets who lives in another failure domain: an instance does when
// any source with fresh news says so of its newest incarnation.
func (m *Machine) judgeDomain(d *domain) {
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

// expireSources drops the sources whose news is too old.
func (m *Machine) expireSources(d *domain) {
	expired := false
	for id, s := range d.sources {
		if m.now.Sub(s.asOf) > m.options.DeadAfter {
			delete(d.sources, id)
			expired = true
		}
	}
	if expired {
		m.judgeDomain(d)
	}
}

// vouchesFor tells whether this instance's reports may call an instance live:
// of other failure domains only on direct news, so that two instances that
// pass news on to each other do not keep alive what both had from the other.
func (m *Machine) vouchesFor(d *domain, e *entry) bool {
	if d == m.ownDomain() {
		return e.alive
	}
	return d.reportedAlive(e, true)
}

// report says what lives in a failure domain and changed since the last one.
func (m *Machine) report(d *domain) *memberpb.Report {
	r := &memberpb.Report{Domain: uint32(d.ref)}
	for _, e := range d.members {
		now, told := lineVersion{e.member.Incarnation, e.version}, d.told.lines[e.ref]
		lives := m.vouchesFor(d, e)
		switch {
		case !lives && told != lineVersion{}:
			r.Gone = append(r.Gone, uint64(e.ref))
			d.told.remove(e.ref)
		case !lives || now == told:
		case now.incarnation == told.incarnation:
			r.Updates = append(r.Updates, wireUpdate(e))
			d.told.set(e.ref, now)
		default:
			r.Lines = append(r.Lines, wireLine(e))
			d.told.set(e.ref, now)
		}
	}
	r.Digest = d.told.digest
	r.AgeMs = m.reportAge(d)
	return r
}

// fullReport says all that lives in a failure domain.
func (m *Machine) fullReport(d *domain) *memberpb.Report {
	r := &memberpb.Report{Domain: uint32(d.ref), Full: true, AgeMs: m.reportAge(d)}
	whole := newView()
	for _, e := range d.members {
		if m.vouchesFor(d, e) {
			r.Lines = append(r.Lines, wireLine(e))
			whole.set(e.ref, lineVersion{e.member.Incarnation, e.version})
		}
	}
	r.Digest = whole.digest
	return r
}

func (m *Machine) reportAge(d *domain) uint32 {
	age, _ := d.newsAge(m.now)
	return uint32(age.Milliseconds())
}
