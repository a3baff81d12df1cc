package fairshare

import (
	"slices"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// MaxEntries is the number of organisations that a report names for each group; the
// rest is one sum. Both deployments of the target have 16 organisations; of 9,700,
// only the largest can be over their share.
const MaxEntries = 24

// Group is a rank of a pool.
type Group struct {
	Pool structs.PoolName
	Rank structs.Rank
}

// Entry is the use and the waiting cost of one organisation, at one daemon or at
// several.
type Entry struct {
	Key     Key
	Used    Cost
	Waiting Cost
}

func (e Entry) total() Cost { return e.Used + e.Waiting }

// Entries are the organisations of one group.
type Entries struct {
	// Largest has the organisations with the highest sums of use and waiting cost.
	Largest []Entry
	// Rest is the sum of the others; its key is zero.
	Rest Entry
}

// Truncate keeps the largest entries and adds the others to the rest.
func (e *Entries) Truncate() {
	if len(e.Largest) <= MaxEntries {
		return
	}
	slices.SortFunc(e.Largest, func(a, b Entry) int {
		switch {
		case a.total() > b.total() || a.total() == b.total() && a.Key < b.Key:
			return -1
		case a == b:
			return 0
		}
		return 1
	})
	for _, small := range e.Largest[MaxEntries:] {
		e.Rest.Used += small.Used
		e.Rest.Waiting += small.Waiting
	}
	e.Largest = e.Largest[:MaxEntries:MaxEntries]
}

// Own returns what this daemon's requests have used recently and what waits.
func (l *Ledger) Own(now time.Time) Entries {
	scale := l.scale(now)
	var all Entries
	for _, a := range l.accounts {
		e := Entry{Key: a.key, Used: Cost(a.own / scale), Waiting: a.waiting}
		if e.total() >= minUse {
			all.Largest = append(all.Largest, e)
		}
	}
	all.Truncate()
	return all
}

// SetPeers replaces what the other daemons report. It changes the order of accounts.
func (l *Ledger) SetPeers(now time.Time, e Entries) {
	scale := l.scale(now)
	l.clearPeers()
	for _, entry := range e.Largest {
		a := l.Account(entry.Key)
		a.peers += float64(entry.Used) * scale
		a.peersWaiting += entry.Waiting
	}
	l.peersRest, l.peersAt = e.Rest, now
}

func (l *Ledger) clearPeers() {
	for _, a := range l.accounts {
		a.peers, a.peersWaiting = 0, 0
	}
	l.peersRest = Entry{}
}
