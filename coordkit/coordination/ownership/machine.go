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

// GroupsChanged replaces the groups whose shards are assigned.
type GroupsChanged struct{ Groups []Group }

// CandidatesChanged replaces the instances that may own shards.
type CandidatesChanged struct{ Candidates []Candidate }

func (GroupsChanged) ownershipEvent()     {}
func (CandidatesChanged) ownershipEvent() {}

// Effect is an output of the Machine.
type Effect interface{ ownershipEffect() }

// ShardGained reports that this instance now owns a shard. Previous is the
// former owner, or empty.
type ShardGained struct {
	Shard    Shard
	Previous instance.ID
}

// ShardSettled reports that this instance has owned a gained shard for the
// takeover grace period. By then, the users of the shard have had time to
// switch to the new owner.
type ShardSettled struct{ Shard Shard }

// ShardLost reports that this instance no longer owns a shard. Next is the new
// owner, or empty if there is none or the shard was removed.
type ShardLost struct {
	Shard Shard
	Next  instance.ID
}

// ShardMoved reports a change of owner between other instances. Previous or
// Next is empty if there was, or is, no owner.
type ShardMoved struct {
	Shard    Shard
	Previous instance.ID
	Next     instance.ID
}

func (ShardGained) ownershipEffect()  {}
func (ShardSettled) ownershipEffect() {}
func (ShardLost) ownershipEffect()    {}
func (ShardMoved) ownershipEffect()   {}

// DefaultTakeoverGrace exceeds the time that a membership change takes to reach
// all instances.
const DefaultTakeoverGrace = 3 * time.Second

// Options configure a Machine. A zero TakeoverGrace selects the default.
type Options struct {
	Self instance.ID
	// TakeoverGrace is the time between ShardGained and ShardSettled.
	TakeoverGrace time.Duration
}

// assignment is the owner of a shard.
type assignment struct {
	owner instance.ID
	// score is the owner's score for the shard, or zero if the shard's group has
	// Spread set.
	score float64
}

// Machine tracks the owners of all shards, and reports those that this instance
// gains and loses. It is a single-threaded state machine and not safe for
// concurrent use.
type Machine struct {
	options    Options
	groups     []Group
	candidates []Candidate
	// hashes contains the hash of each candidate's ID, in the same order.
	hashes      []uint64
	assignments map[Shard]assignment
	// settleTimes contains the end of the grace period of each shard gained.
	settleTimes map[Shard]time.Time
	effects     []Effect
}

// New returns a Machine without groups or candidates.
func New(o Options) *Machine {
	if o.TakeoverGrace == 0 {
		o.TakeoverGrace = DefaultTakeoverGrace
	}
	return &Machine{options: o, assignments: map[Shard]assignment{}, settleTimes: map[Shard]time.Time{}}
}

// Step applies one event.
func (m *Machine) Step(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case GroupsChanged:
		m.changeGroups(now, ev.Groups)
	case CandidatesChanged:
		m.changeCandidates(now, ev.Candidates)
	}
}

// Tick advances the time and emits ShardSettled for grace periods that ended.
func (m *Machine) Tick(now time.Time) {
	var settled []Shard
	for shard, settleTime := range m.settleTimes {
		if !now.Before(settleTime) {
			settled = append(settled, shard)
		}
	}
	slices.SortFunc(settled, compareShard)
	for _, shard := range settled {
		delete(m.settleTimes, shard)
		m.effects = append(m.effects, ShardSettled{Shard: shard})
	}
}

// Ready returns the effects emitted since the last call.
func (m *Machine) Ready() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// Owner returns the owner of a shard, or false if the shard is unknown or there
// are no candidates.
func (m *Machine) Owner(s Shard) (instance.ID, bool) {
	owner := m.assignments[s].owner
	return owner, owner != ""
}

// Settling reports whether this instance owns the shard and its takeover grace
// period has not ended.
func (m *Machine) Settling(s Shard) bool {
	_, ok := m.settleTimes[s]
	return ok
}

// Owned returns the shards that this instance owns, sorted by group and number.
func (m *Machine) Owned() []Shard {
	var shards []Shard
	for shard, a := range m.assignments {
		if a.owner == m.options.Self {
			shards = append(shards, shard)
		}
	}
	slices.SortFunc(shards, compareShard)
	return shards
}

func compareShard(a, b Shard) int {
	if c := cmp.Compare(a.Group, b.Group); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

// changeGroups removes the shards that no group contains any more, and assigns
// the new ones.
func (m *Machine) changeGroups(now time.Time, groups []Group) {
	m.groups = slices.Clone(groups)
	slices.SortFunc(m.groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	configured := map[Shard]bool{}
	for _, g := range m.groups {
		for i := range g.Shards {
			configured[Shard{g.Name, i}] = true
		}
	}
	var removed []Shard
	for shard := range m.assignments {
		if !configured[shard] {
			removed = append(removed, shard)
		}
	}
	slices.SortFunc(removed, compareShard)
	for _, shard := range removed {
		m.setOwner(now, shard, assignment{})
		delete(m.assignments, shard)
	}
	for _, g := range m.groups {
		m.assign(now, g, nil, nil)
	}
}

// changeCandidates reassigns the shards of removed candidates, and moves shards
// to added ones. A candidate whose weight or failure domain changed counts as
// both. Unless Spread is set, a shard with an unchanged owner is scored only
// against the added candidates.
func (m *Machine) changeCandidates(now time.Time, candidates []Candidate) {
	before := map[Candidate]bool{}
	for _, c := range m.candidates {
		before[c] = true
	}
	unchanged := map[instance.ID]bool{}
	var added []Candidate
	for _, c := range candidates {
		if !before[c] {
			added = append(added, c)
			continue
		}
		unchanged[c.ID] = true
	}
	m.candidates = slices.Clone(candidates)
	m.hashes = make([]uint64, len(candidates))
	for i, c := range candidates {
		m.hashes[i] = xxhash.Sum64String(string(c.ID))
	}
	for _, g := range m.groups {
		m.assign(now, g, unchanged, added)
	}
}

// assign sets the owners of a group's shards. An owner in unchanged keeps its
// shard unless an added candidate scores higher. If unchanged is nil, no
// candidate has changed.
func (m *Machine) assign(now time.Time, g Group, unchanged map[instance.ID]bool, added []Candidate) {
	if g.Spread {
		owners := Assign(g, m.candidates)
		for i := range g.Shards {
			next := assignment{}
			if owners != nil {
				next.owner = owners[i]
			}
			m.setOwner(now, Shard{g.Name, i}, next)
		}
		return
	}
	for i := range g.Shards {
		shard := Shard{g.Name, i}
		current := m.assignments[shard]
		hash := xxhash.Sum64String(shard.String())
		if current.score > 0 && (unchanged == nil || unchanged[current.owner]) {
			m.setOwner(now, shard, bestOfAdded(hash, current, added))
			continue
		}
		m.setOwner(now, shard, m.bestCandidate(hash))
	}
}

// bestCandidate returns the candidate with the highest score for a key.
func (m *Machine) bestCandidate(keyHash uint64) assignment {
	var best assignment
	for i, c := range m.candidates {
		best = higherRanked(best, assignment{c.ID, score(keyHash, m.hashes[i], c.Weight)})
	}
	return best
}

// bestOfAdded returns the highest ranked of the given owner and the added
// candidates.
func bestOfAdded(keyHash uint64, best assignment, added []Candidate) assignment {
	for _, c := range added {
		best = higherRanked(best, assignment{c.ID, score(keyHash, xxhash.Sum64String(string(c.ID)), c.Weight)})
	}
	return best
}

func higherRanked(a, b assignment) assignment {
	if a.owner == "" || compareRanking(ranking{string(b.owner), b.score}, ranking{string(a.owner), a.score}) < 0 {
		return b
	}
	return a
}

// setOwner stores a shard's owner and emits the effect of the change, if any.
func (m *Machine) setOwner(now time.Time, s Shard, next assignment) {
	previous := m.assignments[s].owner
	m.assignments[s] = next
	if previous == next.owner {
		return
	}
	valid := next.owner == "" || slices.ContainsFunc(m.candidates, func(c Candidate) bool { return c.ID == next.owner })
	invariant.Check(valid, invariantOwner, "%s is assigned to %s, which is not a candidate", s, next.owner)
	switch {
	case next.owner == m.options.Self:
		m.settleTimes[s] = now.Add(m.options.TakeoverGrace)
		m.effects = append(m.effects, ShardGained{Shard: s, Previous: previous})
	case previous == m.options.Self:
		delete(m.settleTimes, s)
		m.effects = append(m.effects, ShardLost{Shard: s, Next: next.owner})
	default:
		m.effects = append(m.effects, ShardMoved{Shard: s, Previous: previous, Next: next.owner})
	}
}
