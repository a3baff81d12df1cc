package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
)

const invariantOwner invariant.Name = "ownership-owner-is-candidate"

// Event is an input of the Machine.
type Event interface{ ownershipEvent() }

// GroupsChanged replaces the groups whose shards are owned.
type GroupsChanged struct{ Groups []Group }

// CandidatesChanged replaces the instances that may own shards.
type CandidatesChanged struct{ Candidates []Candidate }

func (GroupsChanged) ownershipEvent()     {}
func (CandidatesChanged) ownershipEvent() {}

// Effect is an output of the Machine.
type Effect interface{ ownershipEffect() }

// Gained tells that this instance owns a shard from now on. Previous is the
// owner before, or empty.
type Gained struct {
	Shard    Shard
	Previous instance.ID
}

// Settled tells that a gained shard has been owned for the takeover grace, so
// that all who use the shard have had time to turn to its new owner.
type Settled struct{ Shard Shard }

// Lost tells that this instance no longer owns a shard. Next is the owner
// now, or empty when there is none or the shard is gone.
type Lost struct {
	Shard Shard
	Next  instance.ID
}

// Moved tells that a shard went from another instance to another one.
type Moved struct {
	Shard    Shard
	Previous instance.ID
	Next     instance.ID
}

func (Gained) ownershipEffect()  {}
func (Settled) ownershipEffect() {}
func (Lost) ownershipEffect()    {}
func (Moved) ownershipEffect()   {}

// DefaultTakeoverGrace is longer than a change of members takes to be known.
const DefaultTakeoverGrace = 3 * time.Second

// Options set a Machine up. Zero values take the defaults.
type Options struct {
	Self          instance.ID
	TakeoverGrace time.Duration
}

// owned is the owner of one shard.
type owned struct {
	owner instance.ID
	// score is the owner's, or zero when the shard's group is spread.
	score float64
}

// Machine says which shards this instance owns. It is a single-threaded state
// machine.
type Machine struct {
	options    Options
	groups     []Group
	candidates []Candidate
	// hashes holds the hash of each candidate's ID.
	hashes  []uint64
	shards  map[Shard]owned
	settles map[Shard]time.Time
	effects []Effect
}

// New returns a Machine that owns nothing.
func New(o Options) *Machine {
	if o.TakeoverGrace == 0 {
		o.TakeoverGrace = DefaultTakeoverGrace
	}
	return &Machine{options: o, shards: map[Shard]owned{}, settles: map[Shard]time.Time{}}
}

// Step takes one event in.
func (m *Machine) Step(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case GroupsChanged:
		m.changeGroups(now, ev.Groups)
	case CandidatesChanged:
		m.changeCandidates(now, ev.Candidates)
	}
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Time) {
	var settled []Shard
	for shard, at := range m.settles {
		if !now.Before(at) {
			settled = append(settled, shard)
		}
	}
	slices.SortFunc(settled, compareShard)
	for _, shard := range settled {
		delete(m.settles, shard)
		m.effects = append(m.effects, Settled{Shard: shard})
	}
}

// Ready returns the effects since the last call.
func (m *Machine) Ready() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// Owner returns the owner of a shard. It reports false when the shard is
// unknown or there are no candidates.
func (m *Machine) Owner(s Shard) (instance.ID, bool) {
	o := m.shards[s].owner
	return o, o != ""
}

// Settling tells whether this instance gained the shard within the takeover
// grace.
func (m *Machine) Settling(s Shard) bool {
	_, ok := m.settles[s]
	return ok
}

// Owned returns the shards of this instance in order.
func (m *Machine) Owned() []Shard {
	var all []Shard
	for shard, o := range m.shards {
		if o.owner == m.options.Self {
			all = append(all, shard)
		}
	}
	slices.SortFunc(all, compareShard)
	return all
}

func compareShard(a, b Shard) int {
	if c := cmp.Compare(a.Group, b.Group); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

// changeGroups drops the shards that are gone and assigns the new ones.
func (m *Machine) changeGroups(now time.Time, groups []Group) {
	m.groups = slices.Clone(groups)
	slices.SortFunc(m.groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	kept := map[Shard]bool{}
	for _, g := range m.groups {
		for i := range g.Shards {
			kept[Shard{g.Name, i}] = true
		}
	}
	var gone []Shard
	for shard := range m.shards {
		if !kept[shard] {
			gone = append(gone, shard)
		}
	}
	slices.SortFunc(gone, compareShard)
	for _, shard := range gone {
		m.setOwner(now, shard, owned{})
		delete(m.shards, shard)
	}
	for _, g := range m.groups {
		m.assign(now, g, nil, nil)
	}
}

// changeCandidates moves the shards of those that went, and to those that
// came. The others stay without being scored again.
func (m *Machine) changeCandidates(now time.Time, candidates []Candidate) {
	before := map[Candidate]bool{}
	for _, c := range m.candidates {
		before[c] = true
	}
	after := map[instance.ID]bool{}
	var came []Candidate
	for _, c := range candidates {
		if !before[c] {
			came = append(came, c)
			continue
		}
		after[c.ID] = true
	}
	m.candidates = slices.Clone(candidates)
	m.hashes = make([]uint64, len(candidates))
	for i, c := range candidates {
		m.hashes[i] = xxhash.Sum64String(string(c.ID))
	}
	for _, g := range m.groups {
		m.assign(now, g, after, came)
	}
}

// assign sets the owners of one group's shards. An owner in stayed is kept
// unless one that came beats it; a nil stayed means that no candidate changed.
func (m *Machine) assign(now time.Time, g Group, stayed map[instance.ID]bool, came []Candidate) {
	if g.Spread {
		owners := Assign(g, m.candidates)
		for i := range g.Shards {
			next := owned{}
			if owners != nil {
				next.owner = owners[i]
			}
			m.setOwner(now, Shard{g.Name, i}, next)
		}
		return
	}
	for i := range g.Shards {
		shard := Shard{g.Name, i}
		current := m.shards[shard]
		hash := xxhash.Sum64String(shard.String())
		if current.score > 0 && (stayed == nil || stayed[current.owner]) {
			m.setOwner(now, shard, bestOf(hash, current, came))
			continue
		}
		m.setOwner(now, shard, m.best(hash))
	}
}

// best scores all candidates for a key.
func (m *Machine) best(keyHash uint64) owned {
	var best owned
	for i, c := range m.candidates {
		best = better(best, owned{c.ID, score(keyHash, m.hashes[i], c.Weight)})
	}
	return best
}

// bestOf returns the best of the owner and of those that came.
func bestOf(keyHash uint64, best owned, came []Candidate) owned {
	for _, c := range came {
		best = better(best, owned{c.ID, score(keyHash, xxhash.Sum64String(string(c.ID)), c.Weight)})
	}
	return best
}

func better(a, b owned) owned {
	if a.owner == "" || compareRanking(ranking{string(b.owner), b.score}, ranking{string(a.owner), a.score}) < 0 {
		return b
	}
	return a
}

// setOwner stores a shard's owner and tells what that changes.
func (m *Machine) setOwner(now time.Time, s Shard, next owned) {
	previous := m.shards[s].owner
	m.shards[s] = next
	if previous == next.owner {
		return
	}
	known := next.owner == "" || slices.ContainsFunc(m.candidates, func(c Candidate) bool { return c.ID == next.owner })
	invariant.Check(known, invariantOwner, "%s goes to %s, which is no candidate", s, next.owner)
	switch {
	case next.owner == m.options.Self:
		m.settles[s] = now.Add(m.options.TakeoverGrace)
		m.effects = append(m.effects, Gained{Shard: s, Previous: previous})
	case previous == m.options.Self:
		delete(m.settles, s)
		m.effects = append(m.effects, Lost{Shard: s, Next: next.owner})
	default:
		m.effects = append(m.effects, Moved{Shard: s, Previous: previous, Next: next.owner})
	}
}
