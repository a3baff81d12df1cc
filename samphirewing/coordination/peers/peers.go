// Package peers holds what a daemon knows of its peers: their addresses, which
// of them are responsive, and which accept client requests.
package peers

import (
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
	// Capacity is the daemon's share of a processor, in thousandths of a core;
	// zero if unknown.
	Capacity int
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
	// suspected is set while another daemon has lost contact with the peer.
	suspected bool
	// withdrawn is set once the record was withdrawn, at withdrawnAt.
	withdrawn   bool
	withdrawnAt time.Time
}

// New returns an empty table for a daemon.
func New(self instance.ID) *Table { return &Table{self: self, peers: map[instance.ID]*peer{}} }

// Put adds or replaces a peer's published record. A record of an incarnation before
// the one that reports was written late and is ignored.
func (t *Table) Put(now time.Time, r Record) {
	if r.Instance == t.self {
		return
	}
	p := t.peers[r.Instance]
	if p == nil {
		p = &peer{}
		t.peers[r.Instance] = p
	}
	if r.Incarnation < p.incarnation && p.responsive(now) {
		return
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
// the peer was unresponsive before or has a new incarnation. Reports of an
// incarnation older than the published one, passed on by others, are ignored.
func (t *Table) Observe(now time.Time, sender instance.Process, s State) (appeared bool) {
	p := t.peers[sender.ID]
	if p == nil {
		p = &peer{}
		t.peers[sender.ID] = p
	}
	if sender.Incarnation < p.record.Incarnation {
		return false
	}
	appeared = !p.responsive(now) || p.incarnation != sender.Incarnation
	p.incarnation, p.seenAt, p.seen, p.state, p.withdrawn, p.suspected = sender.Incarnation, now, true, s, false, false
	return appeared
}

// Suspect records that another daemon has lost contact with a peer. Until the
// next report, clients are not directed to it; it retains its share.
func (t *Table) Suspect(id instance.ID) {
	if p := t.peers[id]; p != nil {
		p.suspected = true
	}
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

// CallerRecords returns the records of the peers that accept client requests.
func (t *Table) CallerRecords(now time.Time) []Record {
	var all []Record
	for _, p := range t.peers {
		if p.responsive(now) && !p.suspected && p.state.Ready && !p.state.Leaving && p.record.CallerAddress != "" {
			all = append(all, p.record)
		}
	}
	return all
}

// Addresses returns the peer addresses of the known peers that can be dialled.
func (t *Table) Addresses(now time.Time) map[instance.ID]string {
	all := map[instance.ID]string{}
	for id, p := range t.peers {
		if p.dialable(now) {
			all[id] = p.record.PeerAddress
		}
	}
	return all
}

func (p *peer) dialable(now time.Time) bool {
	return p.record.PeerAddress != "" && !p.withdrawn && now.Sub(p.lastActivity()) < ShareRetention
}

// Reachable returns the records of the peers that can be dialled and are not
// leaving.
func (t *Table) Reachable(now time.Time) []Record {
	all := make([]Record, 0, len(t.peers))
	for _, p := range t.peers {
		leaving := p.seen && p.state.Leaving && now.Sub(p.seenAt) < LeavingShareRetention
		if p.dialable(now) && !leaving {
			all = append(all, p.record)
		}
	}
	return all
}

// Serving returns the peers that may be sending requests to endpoints: those that
// report, leaving ones too, and those that can be dialled and are not known to be
// leaving.
func (t *Table) Serving(now time.Time) []instance.ID {
	all := make([]instance.ID, 0, len(t.peers))
	for id, p := range t.peers {
		if p.responsive(now) || p.dialable(now) && !(p.seen && p.state.Leaving) {
			all = append(all, id)
		}
	}
	return all
}

// Process returns the incarnation and the state of a responsive peer.
func (t *Table) Process(now time.Time, id instance.ID) (instance.Process, State, bool) {
	p := t.peers[id]
	if p == nil || !p.responsive(now) {
		return instance.Process{}, State{}, false
	}
	return instance.Process{ID: id, Incarnation: p.incarnation}, p.state, true
}

// Responsive reports whether a report of the peer arrived within
// ReportTimeout.
func (t *Table) Responsive(now time.Time, id instance.ID) bool {
	p := t.peers[id]
	return p != nil && p.responsive(now)
}
