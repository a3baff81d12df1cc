// Package peers keeps what a daemon knows of the other daemons: where they
// are, which of them were heard lately, and which take callers.
package peers

import (
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
)

const (
	// ReportTimeout is how long a peer may be unheard before it counts as
	// silent; reports come several times within it.
	ReportTimeout = time.Second
	// ForgetAfter is how long a silent peer keeps its share of what daemons
	// divide. A peer that is only cut off goes on using its share meanwhile.
	ForgetAfter = 30 * time.Second
	// LeavingKeepsFor is how long a daemon that is leaving may go on using its
	// share unheard: the platform ends it eight seconds after its SIGTERM.
	LeavingKeepsFor = 8 * time.Second
)

// Record is what a daemon publishes of itself.
type Record struct {
	Instance    instance.ID
	Incarnation instance.Incarnation
	// PeerAddress is for other daemons, CallerAddress for callers.
	PeerAddress   string
	CallerAddress string
	FailureDomain instance.FailureDomain
}

// State is what a peer reports of itself.
type State struct {
	Ready   bool
	Leaving bool
}

// Table is the known peers. It is not safe for concurrent use.
// Invariant: self is in no entry.
type Table struct {
	self  instance.ID
	peers map[instance.ID]*peer
}

type peer struct {
	record Record
	// life is the incarnation that was heard last.
	life    instance.Incarnation
	listed  time.Time
	heardAt time.Time
	heard   bool
	state   State
	// gone is set once the record was withdrawn, goneAt tells when.
	gone   bool
	goneAt time.Time
}

// New returns an empty table of a daemon.
func New(self instance.ID) *Table { return &Table{self: self, peers: map[instance.ID]*peer{}} }

// Put takes in a peer's published record.
func (t *Table) Put(now time.Time, r Record) {
	if r.Instance == t.self {
		return
	}
	p := t.peers[r.Instance]
	if p == nil {
		p = &peer{}
		t.peers[r.Instance] = p
	}
	if r.Incarnation != p.record.Incarnation || p.gone {
		p.listed, p.gone = now, false
		if r.Incarnation > p.life {
			// What the life before reported, such as its leaving, is over.
			p.heard, p.state = false, State{}
		}
	}
	p.record = r
}

// Remove takes in that a peer withdrew its record.
func (t *Table) Remove(now time.Time, id instance.ID) {
	if p := t.peers[id]; p != nil && !p.gone {
		p.gone, p.goneAt = true, now
	}
}

// Retain takes in that only the named peers have records; the others are
// forgotten once they have no share any more.
func (t *Table) Retain(now time.Time, named map[instance.ID]bool) {
	for id, p := range t.peers {
		if named[id] || p.isHeard(now) {
			continue
		}
		t.Remove(now, id)
		if now.Sub(p.lastKnown()) >= p.keepsFor() {
			delete(t.peers, id)
		}
	}
}

// Observe takes in a report of a peer's life. It returns whether the peer was
// silent before, or is in a new life.
func (t *Table) Observe(now time.Time, life instance.Process, s State) (found bool) {
	p := t.peers[life.ID]
	if p == nil {
		p = &peer{}
		t.peers[life.ID] = p
	}
	found = !p.isHeard(now) || p.life != life.Incarnation
	p.life, p.heardAt, p.heard, p.state, p.gone = life.Incarnation, now, true, s, false
	return found
}

func (p *peer) isHeard(now time.Time) bool { return p.heard && now.Sub(p.heardAt) <= ReportTimeout }

// Counts returns how many peers are heard, and how many are silent but may be
// working.
func (t *Table) Counts(now time.Time) (heard, silent int) {
	for _, p := range t.peers {
		switch {
		case p.isHeard(now):
			heard++
		case now.Sub(p.lastKnown()) < p.keepsFor():
			silent++
		}
	}
	return heard, silent
}

// keepsFor is how long the peer keeps its share when it is not heard.
func (p *peer) keepsFor() time.Duration {
	if p.gone || p.heard && p.state.Leaving {
		return LeavingKeepsFor
	}
	return ForgetAfter
}

// lastKnown is when the peer last gave a sign of itself.
func (p *peer) lastKnown() time.Time {
	if p.gone && p.goneAt.After(p.heardAt) {
		return p.goneAt
	}
	if p.heardAt.After(p.listed) {
		return p.heardAt
	}
	return p.listed
}

// CallerAddresses returns the addresses of the peers that take callers.
func (t *Table) CallerAddresses(now time.Time) []string {
	var all []string
	for _, p := range t.peers {
		if p.isHeard(now) && p.state.Ready && !p.state.Leaving && p.record.CallerAddress != "" {
			all = append(all, p.record.CallerAddress)
		}
	}
	sort.Strings(all)
	return all
}

// Addresses returns where each known peer can be dialled.
func (t *Table) Addresses(now time.Time) map[instance.ID]string {
	all := map[instance.ID]string{}
	for id, p := range t.peers {
		if p.record.PeerAddress != "" && !p.gone && now.Sub(p.lastKnown()) < ForgetAfter {
			all[id] = p.record.PeerAddress
		}
	}
	return all
}

// Recipients returns the peers to report to: those that can be dialled, and
// those that are heard though they have withdrawn their record. A stopping
// daemon still has callers and divides quotas with the others.
func (t *Table) Recipients(now time.Time) []instance.ID {
	addresses := t.Addresses(now)
	all := make([]instance.ID, 0, len(t.peers))
	for id, p := range t.peers {
		if addresses[id] != "" || p.isHeard(now) {
			all = append(all, id)
		}
	}
	return all
}

// Responsive returns whether a peer was heard lately.
func (t *Table) Responsive(now time.Time, id instance.ID) bool {
	p := t.peers[id]
	return p != nil && p.isHeard(now)
}
