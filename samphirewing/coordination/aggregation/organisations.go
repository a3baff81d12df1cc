package aggregation

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// minOrganisationsInterval and maxOrganisationsInterval bound the time between two
	// messages with uses by organisation. It is a part of the time with which use is
	// forgotten, and grows with the number of daemons, which bounds the traffic of
	// roots.
	minOrganisationsInterval = 500 * time.Millisecond
	maxOrganisationsInterval = time.Second
	organisationsPerDaemon   = 10 * time.Millisecond
	// costStep is the granularity of costs. It is small compared with a request, which
	// costs some tens of milliseconds.
	costStep fairshare.Cost = 4
)

// Organisations is what the requests of organisations have used recently and what
// waits, at one daemon or the sum of several.
type Organisations map[fairshare.Group]fairshare.Entries

// combine adds other, or subtracts it. Results below zero, from sums of different
// times, become zero. It modifies neither argument.
func (o Organisations) combine(other Organisations, sign fairshare.Cost) Organisations {
	sum := make(Organisations, len(o))
	for group, entries := range o {
		sum[group] = entries
	}
	for group, added := range other {
		old, found := sum[group]
		if !found && sign < 0 {
			continue
		}
		sum[group] = combineEntries(old, added, sign)
	}
	return sum
}

func combineEntries(old, added fairshare.Entries, sign fairshare.Cost) fairshare.Entries {
	add := func(e, other fairshare.Entry) fairshare.Entry {
		e.Used = max(0, e.Used+sign*other.Used)
		e.Waiting = max(0, e.Waiting+sign*other.Waiting)
		return e
	}
	result := fairshare.Entries{Rest: add(old.Rest, added.Rest)}
	index := make(map[fairshare.Key]int, len(old.Largest)+len(added.Largest))
	result.Largest = make([]fairshare.Entry, 0, len(old.Largest)+len(added.Largest))
	for _, e := range old.Largest {
		index[e.Key] = len(result.Largest)
		result.Largest = append(result.Largest, e)
	}
	for _, e := range added.Largest {
		i, found := index[e.Key]
		switch {
		case found:
			result.Largest[i] = add(result.Largest[i], e)
		case sign > 0:
			result.Largest = append(result.Largest, e)
		default:
			// The sum no longer names the organisation.
			result.Rest = add(result.Rest, e)
		}
	}
	return result
}

func encodeOrganisations(o Organisations) *peerpb.Organisations {
	m := &peerpb.Organisations{}
	for group, entries := range o {
		entries.Truncate()
		g := &peerpb.OrganisationGroup{
			Pool: string(group.Pool), Rank: int32(group.Rank),
			RestUsed: uint32OfCost(entries.Rest.Used), RestWaiting: uint32OfCost(entries.Rest.Waiting),
		}
		for _, e := range entries.Largest {
			used, waiting := uint32OfCost(e.Used), uint32OfCost(e.Waiting)
			if used+waiting == 0 {
				continue
			}
			g.Organisations = append(g.Organisations, uint32(e.Key))
			g.Used = append(g.Used, used)
			g.Waiting = append(g.Waiting, waiting)
		}
		if len(g.Organisations) > 0 || g.RestUsed+g.RestWaiting > 0 {
			m.Groups = append(m.Groups, g)
		}
	}
	return m
}

func uint32OfCost(c fairshare.Cost) uint32 {
	return uint32(min(max(math.Round(float64(c/costStep)), 0), math.MaxUint32))
}

func costOf(steps uint32) fairshare.Cost { return fairshare.Cost(steps) * costStep }

// decodeOrganisations decodes uses. Lists of unequal length, from a damaged message or
// a newer release, are truncated to the shortest, and lists that are too long to the
// bound.
func decodeOrganisations(m *peerpb.Organisations) Organisations {
	o := make(Organisations, len(m.GetGroups()))
	for _, g := range m.GetGroups() {
		entries := fairshare.Entries{Rest: fairshare.Entry{Used: costOf(g.GetRestUsed()), Waiting: costOf(g.GetRestWaiting())}}
		for i := range min(len(g.GetOrganisations()), len(g.GetUsed()), len(g.GetWaiting()), fairshare.MaxEntries) {
			entries.Largest = append(entries.Largest, fairshare.Entry{Key: fairshare.Key(g.Organisations[i]), Used: costOf(g.Used[i]), Waiting: costOf(g.Waiting[i])})
		}
		o[fairshare.Group{Pool: structs.PoolName(g.GetPool()), Rank: structs.Rank(g.GetRank())}] = entries
	}
	return o
}

// organisationUses is a node's part in the exchange of uses.
type organisationUses struct {
	sentAt   time.Time
	interval time.Duration
	// own is this daemon's part of what was last sent.
	own Organisations
	// total is the sum of all daemons: computed by a root, received by others.
	total Organisations
	// computed is set if the last tick of a root computed the total.
	computed bool
	promises promiseLists
}

// prepareOrganisations computes the sum of the subtree if it is due, and the total if
// this daemon is a root.
func (t *tick) prepareOrganisations() {
	n := t.node
	u := &n.organisations
	u.computed = false
	u.promises.addOwn(t.own.Promises)
	if t.now.Sub(u.sentAt) < u.interval {
		return
	}
	daemons := time.Duration(1 + len(n.options.Table.Reachable(t.now)))
	u.promises.bound = int(min(max(promisesPerSum/daemons, minPromises), maxPromises))
	// A use waits for the interval at each level below the root.
	u.interval = min(max(daemons*organisationsPerDaemon, minOrganisationsInterval), maxOrganisationsInterval) / time.Duration(max(n.depth(), 1))
	u.sentAt = t.now
	sum := Organisations{}.combine(t.own.Organisations, 1)
	for _, c := range n.children {
		if !c.withdrawn {
			sum = sum.combine(c.organisations, 1)
		}
	}
	t.organisations, u.own = sum, t.own.Organisations
	if _, root := n.Parent(); !root {
		return
	}
	total := sum
	for _, r := range n.roots {
		total = total.combine(r.organisations, 1)
	}
	for group, entries := range total {
		entries.Truncate()
		total[group] = entries
	}
	u.total, u.computed = total, true
}

// addOrganisations adds uses to a message if they are due, and promises if there are any.
func (t *tick) addOrganisations(m *peerpb.Summary, o Organisations, promises []Promise) {
	if t.organisations != nil {
		m.Organisations = encodeOrganisations(o)
	}
	if len(promises) == 0 {
		return
	}
	if m.Organisations == nil {
		m.Organisations = &peerpb.Organisations{PromisesOnly: true}
	}
	m.Organisations.Promises = encodePromises(t.now, promises)
}

// receiveTotal applies the parent's total.
func (u *organisationUses) receiveTotal(m *peerpb.Summary, update *Update) {
	if m.GetOrganisations() == nil || m.GetOrganisations().GetPromisesOnly() {
		return
	}
	u.total = decodeOrganisations(m.GetOrganisations())
	update.Organisations = u.total.combine(u.own, -1)
}

// OtherOrganisations returns the sum of the uses of all other daemons if this one is a
// root and the last tick has computed it, or nil.
func (n *Node) OtherOrganisations() Organisations {
	u := &n.organisations
	if _, root := n.Parent(); !root || !u.computed {
		return nil
	}
	return u.total.combine(u.own, -1)
}
