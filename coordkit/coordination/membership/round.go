package membership

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// probeIntervalRounds is the number of rounds between heartbeats to an instance
// that is not alive.
const probeIntervalRounds = 2

// sendDueHeartbeats sends the regular heartbeats once per interval, and those
// that publish a change when they are due.
func (m *Machine) sendDueHeartbeats() {
	regular := !m.now.Before(m.nextRound)
	toNeighbours := regular || m.isDue(m.neighbourHeartbeatsDue)
	toDomains := regular || m.isDue(m.domainReportsDue)
	if !toNeighbours && !toDomains {
		return
	}
	if regular {
		m.round++
		m.nextRound = m.now.Add(m.options.Interval)
		m.removeExpired()
	}
	m.sequence++
	if toNeighbours {
		m.neighbourHeartbeatsDue = time.Time{}
		m.sendToNeighbours()
	}
	if toDomains {
		m.domainReportsDue = time.Time{}
		m.sendToDomains()
	}
}

func (m *Machine) isDue(due time.Time) bool { return !due.IsZero() && !m.now.Before(due) }

// sendToNeighbours sends heartbeats to the other instances of the own failure
// domain, and forwards the reports of other failure domains that this instance
// received directly.
func (m *Machine) sendToNeighbours() {
	own := m.ownDomain()
	var forwarded []*memberpb.Report
	for _, d := range m.domainOrder {
		if _, direct := d.directReportAge(m.now); direct && d != own {
			forwarded = append(forwarded, m.deltaReport(d))
		}
	}
	for _, e := range own.members {
		if e != m.self && m.shouldSend(e) {
			m.send(e.member.ID, m.newNeighbourHeartbeat(e, forwarded))
		}
	}
}

// sendImmediately sends a heartbeat outside the regular rounds to an instance
// that lacks the own line, or whose line is unknown here.
func (m *Machine) sendImmediately(e *entry) {
	if m.now.Sub(e.lastImmediateSend) < m.options.PushDelay {
		return
	}
	e.lastImmediateSend = m.now
	m.sequence++
	m.send(e.member.ID, m.newNeighbourHeartbeat(e, nil))
}

// shouldSend returns whether an instance of the own failure domain is sent a
// heartbeat in this round.
func (m *Machine) shouldSend(e *entry) bool {
	if e.alive || m.now.Sub(e.lastHeartbeat) < m.options.DeadAfter {
		return true
	}
	return m.round%probeIntervalRounds == 0 && !(e.version == 0 && e.listedLeaving)
}

func (m *Machine) send(to instance.ID, h *memberpb.Heartbeat) {
	m.effects = append(m.effects, SendHeartbeat{To: to, Heartbeat: h})
}

// newHeartbeat returns a heartbeat with the fields common to all heartbeats.
func (m *Machine) newHeartbeat() *memberpb.Heartbeat {
	h := &memberpb.Heartbeat{Sequence: m.sequence}
	if m.highestRevision > m.self.member.Revision {
		h.HighestRevision = m.highestRevision
	}
	return h
}

// newNeighbourHeartbeat returns the heartbeat for an instance of the own
// failure domain. It contains the parts of the own line that the instance has
// not acknowledged.
func (m *Machine) newNeighbourHeartbeat(e *entry, reports []*memberpb.Report) *memberpb.Heartbeat {
	h := m.newHeartbeat()
	h.KnownVersion = e.knownVersion()
	h.Reports = reports
	switch {
	case e.ackedVersion == 0:
		h.Line = wireLine(m.self)
	case e.ackedVersion < m.self.version:
		h.Update = wireUpdate(m.self)
		h.Update.Ref = 0
		h.Update.Incarnation = 0
	}
	return h
}

// sendToDomains reports the live instances of the own failure domain to the
// failure domains for which this instance is a relay.
func (m *Machine) sendToDomains() {
	own := m.ownDomain()
	var report *memberpb.Report
	for _, d := range m.domainOrder {
		if d == own {
			continue
		}
		for _, to := range m.reportTargets(d) {
			if report == nil {
				report = m.deltaReport(own)
			}
			h := m.newHeartbeat()
			h.BetweenDomains = true
			h.Reports = []*memberpb.Report{report}
			m.send(to, h)
		}
	}
}

// reply immediately sends the full reports in requested, and requests those in
// request.
func (m *Machine) reply(to instance.ID, betweenDomains bool, request, requested []uint32) {
	m.sequence++
	h := m.newHeartbeat()
	h.BetweenDomains = betweenDomains
	h.Want = request
	for _, ref := range requested {
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
