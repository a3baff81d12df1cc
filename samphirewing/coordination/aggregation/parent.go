package aggregation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/peers"
)

const (
	// maxUngrouped is the number of daemons up to which each is a group of its
	// own.
	maxUngrouped = 12
	// maxGroupSize bounds the daemons of a group; larger failure domains are
	// divided.
	maxGroupSize = 32
	// maxChildren is the number of children of a daemon while all candidates answer: a
	// whole group. maxChildrenLarge is that in a deployment of more than
	// largeDeployment daemons, where the totals are long.
	maxChildren      = maxGroupSize
	maxChildrenLarge = 4
	largeDeployment  = 128
	// silenceLimit is how long a parent or another root may be silent before it
	// is replaced.
	silenceLimit = 500 * time.Millisecond
	// probeInterval is the time between two probes of a better parent, and
	// maxProbes the number of daemons probed at a time without a parent.
	probeInterval = 250 * time.Millisecond
	maxProbes     = 3
	// minAvoidance and maxAvoidance bound how long a daemon that did not answer
	// is avoided. The time doubles until it has been the parent for maxAvoidance,
	// so that a slow daemon does not become the parent again and again.
	minAvoidance = time.Second
	maxAvoidance = 4 * time.Second
)

// groupKey identifies a group of daemons.
type groupKey string

// candidate is a daemon that may be a root.
type candidate struct {
	id       instance.ID
	capacity int
	rank     uint64
}

// compareCandidates orders by descending capacity, since a root has more to do
// than others, then by a hash that spreads the groups' roots.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// divide returns the candidates of each group, best first. self is included.
func divide(self peers.Record, selfLeaving bool, others []peers.Record) (groups map[groupKey][]candidate, own groupKey) {
	all := append([]peers.Record{self}, others...)
	domainSizes := map[instance.FailureDomain]int{}
	for _, r := range all {
		domainSizes[r.FailureDomain]++
	}
	keyOf := func(r peers.Record) groupKey {
		if len(all) <= maxUngrouped {
			return groupKey(r.Instance)
		}
		parts := (domainSizes[r.FailureDomain] + maxGroupSize - 1) / maxGroupSize
		return groupKey(fmt.Sprint(r.FailureDomain, "/", xxhash.Sum64String(string(r.Instance))%uint64(parts)))
	}
	groups = map[groupKey][]candidate{}
	for i, r := range all {
		key := keyOf(r)
		if i == 0 && selfLeaving {
			continue
		}
		groups[key] = append(groups[key], candidate{r.Instance, r.Capacity, xxhash.Sum64String(string(key) + "/" + string(r.Instance))})
	}
	for _, members := range groups {
		slices.SortFunc(members, compareCandidates)
	}
	return groups, keyOf(self)
}

// parentOrder returns the candidates that rank above a daemon, in the order in which
// it reports to them: first those of a tree in which each daemon has at most the
// given number of children, from its parent there up to the root, then the others, best
// first. A root that sends the total to a whole group sends more the larger the
// deployment is.
func parentOrder(self instance.ID, candidates []candidate, children int) []candidate {
	rank := slices.IndexFunc(candidates, func(c candidate) bool { return c.id == self })
	if rank < 0 {
		return candidates
	}
	order := make([]candidate, 0, rank)
	inPath := make(map[int]bool, rank)
	for above := rank; above > 0; {
		above = (above - 1) / children
		inPath[above] = true
		order = append(order, candidates[above])
	}
	for i, c := range candidates[:rank] {
		if !inPath[i] {
			order = append(order, c)
		}
	}
	return order
}

// childrenIn returns the number of children of a daemon in a deployment.
func childrenIn(daemons int) int {
	if daemons > largeDeployment {
		return maxChildrenLarge
	}
	return maxChildren
}

// treeDepth returns the number of levels below the root of a group.
func treeDepth(size, children int) (depth int) {
	for last := size - 1; last > 0; depth++ {
		last = (last - 1) / children
	}
	return depth
}

// avoided records daemons that did not answer.
type avoided map[instance.ID]avoidance

type avoidance struct {
	until  time.Time
	length time.Duration
}

func (a avoided) add(now time.Time, id instance.ID) {
	length := min(max(2*a[id].length, minAvoidance), maxAvoidance)
	a[id] = avoidance{now.Add(length), length}
}

func (a avoided) contains(now time.Time, id instance.ID) bool { return now.Before(a[id].until) }

// parentChoice is the daemon to which this daemon reports.
type parentChoice struct {
	// current is the parent, this daemon itself if it is a root, or empty while
	// none answers.
	current instance.ID
	since   time.Time
	heardAt time.Time
	// probes holds the better candidates that are asked to answer.
	probes  map[instance.ID]*probe
	avoided avoided
}

type probe struct {
	since    time.Time
	lastSent time.Time
}

func newParentChoice() parentChoice {
	return parentChoice{probes: map[instance.ID]*probe{}, avoided: avoided{}}
}

// update chooses the parent among the candidates of the group, best first. It
// returns the former parent if this daemon becomes a root.
func (p *parentChoice) update(now time.Time, self instance.ID, candidates []candidate, children int) (former instance.ID) {
	for id, probe := range p.probes {
		if now.Sub(probe.since) > silenceLimit {
			p.avoided.add(now, id)
		}
	}
	if p.current != "" && p.current != self {
		switch {
		case now.Sub(p.heardAt) > silenceLimit:
			p.avoided.add(now, p.current)
		case now.Sub(p.since) > maxAvoidance:
			delete(p.avoided, p.current)
		}
	}
	better, wanted := p.better(now, parentOrder(self, candidates, children)), maxProbes
	if p.usable(now, self, candidates) {
		wanted = 1
	} else {
		p.current = ""
	}
	p.setProbes(now, better[:min(wanted, len(better))])
	if len(better) == 0 && (p.current == "" || p.ranksBelow(self, candidates)) {
		former, p.current = p.current, self
	}
	return former
}

// better returns the candidates that are preferred to the parent and not avoided.
func (p *parentChoice) better(now time.Time, preferred []candidate) []instance.ID {
	var all []instance.ID
	for _, c := range preferred {
		if c.id == p.current && !p.avoided.contains(now, c.id) {
			break
		}
		if !p.avoided.contains(now, c.id) {
			all = append(all, c.id)
		}
	}
	return all
}

// ranksBelow reports whether the parent ranks below this daemon.
func (p *parentChoice) ranksBelow(self instance.ID, candidates []candidate) bool {
	for _, c := range candidates {
		switch c.id {
		case p.current:
			return false
		case self:
			return true
		}
	}
	return false
}

// usable reports whether the current parent is still a candidate.
func (p *parentChoice) usable(now time.Time, self instance.ID, candidates []candidate) bool {
	if p.current == "" || p.current == self {
		return p.current == self
	}
	return !p.avoided.contains(now, p.current) && slices.ContainsFunc(candidates, func(c candidate) bool { return c.id == p.current })
}

func (p *parentChoice) setProbes(now time.Time, ids []instance.ID) {
	for id := range p.probes {
		if !slices.Contains(ids, id) {
			delete(p.probes, id)
		}
	}
	for _, id := range ids {
		if p.probes[id] == nil {
			p.probes[id] = &probe{since: now}
		}
	}
}

// dueProbes returns the daemons to probe now.
func (p *parentChoice) dueProbes(now time.Time) []instance.ID {
	var due []instance.ID
	for id, probe := range p.probes {
		if now.Sub(probe.lastSent) >= probeInterval {
			probe.lastSent = now
			due = append(due, id)
		}
	}
	return due
}

// heard records a total from a daemon. It returns whether the daemon is now the
// parent, and the former parent if it has just become so.
func (p *parentChoice) heard(now time.Time, from instance.ID) (isParent bool, former instance.ID) {
	if p.probes[from] != nil {
		former, p.current, p.since = p.current, from, now
		clear(p.probes)
	} else if from != p.current {
		return false, ""
	}
	p.heardAt = now
	return true, former
}
