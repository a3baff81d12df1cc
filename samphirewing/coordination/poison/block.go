package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirewing/samphirewing/coordination/gossip"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// minTrialInterval and maxTrialInterval bound the time between two trials of a
	// blocked part. Each may cost an endpoint.
	minTrialInterval = 30 * time.Second
	maxTrialInterval = 10 * time.Minute
	// otherProberWait is the retry delay while another daemon is to try a part.
	otherProberWait = 5 * time.Second
)

// block is a set of parts that crash endpoints in combination. Only requests that
// contain all of them are blocked, so that others tell which of the parts is the
// cause.
//
// Invariant: no block of a table covers another one.
type block struct {
	// firstCrash is the first of the crashes for which the parts were blocked. An
	// answer that begins after it disproves the verdict.
	firstCrash time.Time
	// parts holds the suspects in all of the crashes, sorted.
	parts []structs.PromptPart
	// nextTrial is when one request with the parts is let through.
	nextTrial time.Time
	trials    int
	// provisional is set if the suspects of a crash were incomplete. Such a block is
	// neither sent to other daemons nor kept when the crash has settled.
	provisional bool
	pending     gossip.Pending
}

// startTrial sets the time of the next trial.
func (b *block) startTrial(now time.Time) {
	b.trials++
	b.nextTrial = now.Add(min(minTrialInterval<<min(b.trials, 10), maxTrialInterval))
	b.pending.Renew()
}

// adoptTrials applies the trials of another block for the same parts if it has had
// more.
func (b *block) adoptTrials(other *block) {
	if other.trials > b.trials {
		b.trials, b.nextTrial = other.trials, other.nextTrial
		b.pending.Renew()
	}
}

func (b *block) contains(part structs.PromptPart) bool {
	_, found := slices.BinarySearch(b.parts, part)
	return found
}

// narrow removes the parts that are not kept, and reports whether there were any.
func (b *block) narrow(kept func(structs.PromptPart) bool) bool {
	before := len(b.parts)
	b.parts = slices.DeleteFunc(b.parts, func(part structs.PromptPart) bool { return !kept(part) })
	if len(b.parts) == before {
		return false
	}
	b.pending.Renew()
	return true
}

// narrowTo removes the parts that a crash exonerates. A crash without any of the
// parts says nothing of the block.
func (b *block) narrowTo(c *crash) bool {
	if c.at.Before(b.firstCrash) || !slices.ContainsFunc(b.parts, c.incriminates) {
		return false
	}
	return b.narrow(func(part structs.PromptPart) bool { return !c.exonerates(part) })
}

// prompt is the parts of one request.
type prompt struct {
	parts []structs.PromptPart
	// sorted is computed when it is first needed.
	sorted []structs.PromptPart
}

func (p *prompt) containsAll(b *block) bool {
	if !slices.Contains(p.parts, b.parts[0]) {
		return false
	}
	if len(b.parts) == 1 {
		return true
	}
	if p.sorted == nil {
		p.sorted = slices.Sorted(slices.Values(p.parts))
	}
	return isSubset(b.parts, p.sorted)
}

// isSubset reports whether a sorted list contains all elements of another one.
func isSubset(some, all []structs.PromptPart) bool {
	for _, part := range all {
		if len(some) == 0 || part > some[0] {
			break
		}
		if part == some[0] {
			some = some[1:]
		}
	}
	return len(some) == 0
}

// covers reports whether the block blocks all requests that the other one does.
func (b *block) covers(other *block) bool { return isSubset(b.parts, other.parts) }

// addBlock adds a block and narrows it by the crashes since. It returns nil if
// another block covers it, which then adopts its trials, or if the table is full.
func (t *Table) addBlock(b block) *block {
	slices.Sort(b.parts)
	b.parts = slices.Compact(b.parts)
	for _, c := range t.crashesByTime() {
		b.narrowTo(c)
	}
	if i := slices.IndexFunc(t.blocks, func(other *block) bool { return other.covers(&b) }); i >= 0 {
		t.blocks[i].adoptTrials(&b)
		return nil
	}
	t.blocks = slices.DeleteFunc(t.blocks, func(other *block) bool {
		if !b.covers(other) {
			return false
		}
		b.adoptTrials(other)
		return true
	})
	if len(t.blocks) >= maxBlocks {
		return nil
	}
	b.pending.Renew()
	t.blocks = append(t.blocks, &b)
	return &b
}

// dropCovered removes the blocks without parts, and those that another one covers.
func (t *Table) dropCovered() {
	all := slices.DeleteFunc(t.blocks, func(b *block) bool { return len(b.parts) == 0 })
	t.blocks = nil
	for i, b := range all {
		covered := false
		for j, other := range all {
			// Of two blocks with the same parts, the first is kept.
			if j != i && other.covers(b) && (j < i || len(other.parts) < len(b.parts)) {
				covered = true
			}
		}
		if !covered {
			t.blocks = append(t.blocks, b)
		}
	}
}

// isBlocked reports whether a block contains the part.
func (t *Table) isBlocked(part structs.PromptPart) bool {
	return slices.ContainsFunc(t.blocks, func(b *block) bool { return b.contains(part) })
}

// Blocked returns a blocked part, if any, and the time until it is tried again.
func (t *Table) Blocked(now time.Time, parts []structs.PromptPart) (part structs.PromptPart, wait time.Duration, blocked bool) {
	return t.check(now, &prompt{parts: parts})
}

func (t *Table) check(now time.Time, p *prompt) (part structs.PromptPart, wait time.Duration, blocked bool) {
	t.settle(now)
	for _, b := range t.blocks {
		switch {
		case !p.containsAll(b):
		case now.Before(b.nextTrial):
			return b.parts[0], b.nextTrial.Sub(now), true
		case !t.isProber(b.parts[0]):
			return b.parts[0], otherProberWait, true
		}
	}
	return 0, 0, false
}

// Begin is Blocked for a request that is sent at once if it isn't blocked. It
// counts as the trial of the parts that are due for one.
func (t *Table) Begin(now time.Time, parts []structs.PromptPart) (part structs.PromptPart, wait time.Duration, blocked bool) {
	p := prompt{parts: parts}
	part, wait, blocked = t.check(now, &p)
	if blocked {
		return part, wait, true
	}
	for _, b := range t.blocks {
		if p.containsAll(b) {
			b.startTrial(now)
		}
	}
	return 0, 0, false
}

// Release releases a part, with all that are blocked in combination with it, and
// clears them of all crashes so far.
func (t *Table) Release(now time.Time, part structs.PromptPart) (found bool) {
	cleared := []structs.PromptPart{part}
	t.blocks = slices.DeleteFunc(t.blocks, func(b *block) bool {
		if !b.contains(part) {
			return false
		}
		found, cleared = true, append(cleared, b.parts...)
		return true
	})
	for _, part := range cleared {
		t.answered.put(part, now)
		t.announce(part)
	}
	return found
}

// Status describes parts that are blocked in combination.
type Status struct {
	// Part is the first of the parts, Companions are the others. Any of them may be
	// the cause.
	Part       structs.PromptPart
	Companions []structs.PromptPart
	// Crashes is the number of crashes in succession that are remembered.
	Crashes int
	// NextTrial is the time until a request with the parts is let through, and
	// Trials the number of those so far.
	NextTrial time.Duration
	Trials    int
}

// Status returns the blocked parts in the order of their IDs.
func (t *Table) Status(now time.Time) []Status {
	all := make([]Status, 0, len(t.blocks))
	for _, b := range t.blocks {
		all = append(all, Status{Part: b.parts[0], Companions: slices.Clone(b.parts[1:]), Crashes: t.Crashes(b.parts[0]), NextTrial: b.nextTrial.Sub(now), Trials: b.trials})
	}
	slices.SortFunc(all, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Part, b.Part), slices.Compare(a.Companions, b.Companions))
	})
	return all
}
