package membership

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// probeRounds is how many rounds pass between two heartbeats to an instance
// that is not heard.
const probeRounds = 2

// sendDue sends heartbeats to every watched instance at each interval, and
// those that carry a change when that is due.
func (m *Machine) sendDue() {
	regular := !m.now.Before(m.nextRound)
	toNeighbours := regular || m.isDue(m.neighboursDue)
	toDomains := regular || m.isDue(m.domainsDue)
	if !toNeighbours && !toDomains {
		return
	}
	if regular {
		m.round++
		m.nextRound = m.now.Add(m.options.Interval)
		m.forget()
	}
	m.sequence++
	if toNeighbours {
		m.neighboursDue = time.Time{}
		m.sendToNeighbours()
	}
	if toDomains {
		m.domainsDue = time.Time{}
		m.sendToDomains()
	}
}

func (m *Machine) isDue(at time.Time) bool { return !at.IsZero() && !m.now.Before(at) }

// sendToNeighbours sends heartbeats to the instances of the own failure
// domain, with the news of other failure domains that reached us directly.
func (m *Machine) sendToNeighbours() {
	own := m.ownDomain()
	var passedOn []*memberpb.Report
	for _, d := range m.domainOrder {
		if _, direct := d.newsAge(m.now); direct && d != own {
			passedOn = append(passedOn, m.report(d))
		}
	}
	for _, e := range own.members {
		if e != m.self && m.watches(e) {
			m.send(e.member.ID, m.neighbourHeartbeat(e, passedOn))
		}
	}
}

// greet sends a heartbeat out of turn to an instance that lacks our line, or
// whose line we lack.
func (m *Machine) greet(e *entry) {
	if m.now.Sub(e.lastGreeted) < m.options.PushDelay {
		return
	}
	e.lastGreeted = m.now
	m.sequence++
	m.send(e.member.ID, m.neighbourHeartbeat(e, nil))
}

// watches tells whether an instance of the own failure domain gets a
// heartbeat in this round.
func (m *Machine) watches(e *entry) bool {
	if e.alive || m.now.Sub(e.lastHeard) < m.options.DeadAfter {
		return true
	}
	return m.round%probeRounds == 0 && !(e.version == 0 && e.listedLeaving)
}

func (m *Machine) send(to instance.ID, h *memberpb.Heartbeat) {
	m.effects = append(m.effects, SendHeartbeat{To: to, Heartbeat: h})
}

// heartbeat is the part that all heartbeats share.
func (m *Machine) heartbeat() *memberpb.Heartbeat {
	h := &memberpb.Heartbeat{Sequence: m.sequence}
	if m.highestRevision > m.self.member.Revision {
		h.HighestRevision = m.highestRevision
	}
	return h
}

// neighbourHeartbeat is the heartbeat for an instance of the own failure
// domain. It holds as much of our own line as that instance lacks.
func (m *Machine) neighbourHeartbeat(e *entry, reports []*memberpb.Report) *memberpb.Heartbeat {
	h := m.heartbeat()
	h.KnownVersion = e.knownVersion()
	h.Reports = reports
	switch {
	case e.confirmed == 0:
		h.Line = wireLine(m.self)
	case e.confirmed < m.self.version:
		h.Update = wireUpdate(m.self)
		h.Update.Ref = 0
		h.Update.Incarnation = 0
	}
	return h
}

// sendToDomains tells other failure domains who lives in ours, where this
// instance is one of the relays to them.
func (m *Machine) sendToDomains() {
	own := m.ownDomain()
	var report *memberpb.Report
	for _, d := range m.domainOrder {
		if d == own {
			continue
		}
		for _, to := range m.reportTargets(d) {
			if report == nil {
				report = m.report(own)
			}
			h := m.heartbeat()
			h.BetweenDomains = true
			h.Reports = []*memberpb.Report{report}
			m.send(to, h)
		}
	}
}

// reply answers at once: with full reports of the failure domains that the
// sender asked for, and with what we want from it.
func (m *Machine) reply(to instance.ID, betweenDomains bool, want, wanted []uint32) {
	m.sequence++
	h := m.heartbeat()
	h.BetweenDomains = betweenDomains
	h.Want = want
	for _, ref := range wanted {
		d := m.domainRefs[domainRef(ref)]
		if d != nil && (!betweenDomains || d == m.ownDomain()) {
			h.Reports = append(h.Reports, m.fullReport(d))
		}
	}
	if e := m.entries[to]; e != nil && !betweenDomains {
		h.KnownVersion = e.knownVersion()
	}
	m.send(to, h)
}
