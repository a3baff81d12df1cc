// Package peers holds what a daemon knows of its peers: their addresses, which
// of them are responsive, and which accept client requests.
package peers

import (
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
)

const (
	// ReportTimeout is how long after its last report a peer counts as
	// responsive; peers report several times within it.
	ReportTimeout = time.Second
	// ShareRetention is how long an unresponsive peer retains its share of
	// what daemons divide. A peer that is only partitioned continues to use
	// its share.
	ShareRetention = 30 * time.Second
	// LeavingShareRetention is the share retention of a peer that is leaving:
	// the platform kills it eight seconds after its SIGTERM.
	LeavingShareRetention = 8 * time.Second
)

// Record is what a daemon publishes about itself.
type Record struct {
	Instance    instance.ID
	Incarnation instance.Incarnation
	// PeerAddress is for other daemons, CallerAddress for clients.
	PeerAddress   string
	CallerAddress string
	FailureDomain instance.FailureDomain
}

// State is the state that a peer reports.
type State struct {
	Ready   bool
	Leaving bool
}

// Table holds the known peers. It is not safe for concurrent use.
// Invariant: peers does not contain self.
type Table struct {
	self  instance.ID
	peers map[instance.ID]*peer
}

type peer struct {
	record Record
	// incarnation is that of the last report.
	incarnation instance.Incarnation
	listedAt    time.Time
	seenAt      time.Time
	// seen is set once a report of the current incarnation arrived.
	seen  bool
	state State
	// withdrawn is set once the record was withdrawn, at withdrawnAt.
	withdrawn   bool
	withdrawnAt time.Time
}

// New returns an empty table for a daemon.
func New(self instance.ID) *Table { return &Table{self: self, peers: map[instance.ID]*peer{}} }

// Put adds or replaces a peer's published record.
func (t *Table) Put(now time.Time, r Record) {
	if r.Instance == t.self {
		return
	}
	p := t.peers[r.Instance]
	if p == nil {
		p = &peer{}
		t.peers[r.Instance] = p
	}
	if r.Incarnation != p.record.Incarnation || p.withdrawn {
		p.listedAt, p.withdrawn = now, false
		if r.Incarnation > p.incarnation {
			// The state of the previous incarnation, such as Leaving, is void.
			p.seen, p.state = false, State{}
		}
	}
	p.record = r
}

// Remove marks a peer's record as withdrawn.
func (t *Table) Remove(now time.Time, id instance.ID) {
	if p := t.peers[id]; p != nil && !p.withdrawn {
		p.withdrawn, p.withdrawnAt = true, now
	}
}

// Retain applies a complete listing of the published records: the other peers
// are withdrawn, and removed once their share has expired.
func (t *Table) Retain(now time.Time, listed map[instance.ID]bool) {
	for id, p := range t.peers {
		if listed[id] || p.responsive(now) {
			continue
		}
		t.Remove(now, id)
		if now.Sub(p.lastActivity()) >= p.shareRetention() {
			delete(t.peers, id)
		}
	}
}

// Observe applies a report from an incarnation of a peer. It returns whether
// the peer was unresponsive before or has a new incarnation.
func (t *Table) Observe(now time.Time, sender instance.Process, s State) (appeared bool) {
	p := t.peers[sender.ID]
	if p == nil {
		p = &peer{}
		t.peers[sender.ID] = p
	}
	appeared = !p.responsive(now) || p.incarnation != sender.Incarnation
	p.incarnation, p.seenAt, p.seen, p.state, p.withdrawn = sender.Incarnation, now, true, s, false
	return appeared
}

func (p *peer) responsive(now time.Time) bool { return p.seen && now.Sub(p.seenAt) <= ReportTimeout }

// Counts returns how many peers are responsive, and how many are unresponsive
// but still retain their share because they may be working.
func (t *Table) Counts(now time.Time) (responsive, unresponsive int) {
	for _, p := range t.peers {
		switch {
		case p.responsive(now):
			responsive++
		case now.Sub(p.lastActivity()) < p.shareRetention():
			unresponsive++
		}
	}
	return responsive, unresponsive
}

// shareRetention returns how long after its last activity the peer retains its
// share.
func (p *peer) shareRetention() time.Duration {
	if p.withdrawn || p.seen && p.state.Leaving {
		return LeavingShareRetention
	}
	return ShareRetention
}

// lastActivity returns when the peer last reported, was listed or was
// withdrawn.
func (p *peer) lastActivity() time.Time {
	if p.withdrawn && p.withdrawnAt.After(p.seenAt) {
		return p.withdrawnAt
	}
	if p.seenAt.After(p.listedAt) {
		return p.seenAt
	}
	return p.listedAt
}

// CallerAddresses returns the sorted client addresses of the peers that accept
// client requests.
func (t *Table) CallerAddresses(now time.Time) []string {
	var all []string
	for _, p := range t.peers {
		if p.responsive(now) && p.state.Ready && !p.state.Leaving && p.record.CallerAddress != "" {
			all = append(all, p.record.CallerAddress)
		}
	}
	sort.Strings(all)
	return all
}

// Addresses returns the peer addresses of the known peers that can be dialled.
func (t *Table) Addresses(now time.Time) map[instance.ID]string {
	all := map[instance.ID]string{}
	for id, p := range t.peers {
		if p.record.PeerAddress != "" && !p.withdrawn && now.Sub(p.lastActivity()) < ShareRetention {
			all[id] = p.record.PeerAddress
		}
	}
	return all
}

// Recipients returns the peers to send reports to: those that can be dialled,
// and those that are responsive although their record is withdrawn. A stopping
// daemon still serves clients and divides quotas with the others.
func (t *Table) Recipients(now time.Time) []instance.ID {
	addresses := t.Addresses(now)
	all := make([]instance.ID, 0, len(t.peers))
	for id, p := range t.peers {
		if addresses[id] != "" || p.responsive(now) {
			all = append(all, id)
		}
	}
	return all
}

// Responsive reports whether a report of the peer arrived within
// ReportTimeout.
func (t *Table) Responsive(now time.Time, id instance.ID) bool {
	p := t.peers[id]
	return p != nil && p.responsive(now)
}
