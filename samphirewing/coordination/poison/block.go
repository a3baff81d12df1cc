package poison

import (
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

// block is the state of a blocked part.
type block struct {
	// firstCrash is the first of the crashes for which the part was blocked. An
	// answer that begins after it disproves the verdict.
	firstCrash time.Time
	// companions are the parts that were suspects in the same crashes and may be
	// the cause in its place. Only requests that contain all of them are blocked,
	// so that others tell which of the parts it is.
	companions []structs.PromptPart
	// nextTrial is when one request with the part is let through.
	nextTrial time.Time
	trials    int
	pending   gossip.Pending
}

// startTrial sets the time of the next trial.
func (b *block) startTrial(now time.Time) {
	b.trials++
	b.nextTrial = now.Add(min(minTrialInterval<<min(b.trials, 10), maxTrialInterval))
	b.pending.Renew()
}

// narrow removes the companions that are not kept.
func (b *block) narrow(kept func(structs.PromptPart) bool) {
	before := len(b.companions)
	b.companions = slices.DeleteFunc(b.companions, func(part structs.PromptPart) bool { return !kept(part) })
	if len(b.companions) < before {
		b.pending.Renew()
	}
}

// applies reports whether a request with these parts is blocked.
func (b *block) applies(parts []structs.PromptPart) bool {
	return !slices.ContainsFunc(b.companions, func(part structs.PromptPart) bool { return !slices.Contains(parts, part) })
}

func (t *Table) addBlock(part structs.PromptPart, b block) bool {
	if t.blocks[part] == nil && len(t.blocks) >= maxBlocks {
		return false
	}
	b.pending.Renew()
	t.blocks[part] = &b
	return true
}

// Blocked returns the first blocked part, if any, and the time until it is tried
// again.
func (t *Table) Blocked(now time.Time, parts []structs.PromptPart) (part structs.PromptPart, wait time.Duration, blocked bool) {
	if len(t.blocks) == 0 {
		return 0, 0, false
	}
	for _, part := range parts {
		b := t.blocks[part]
		switch {
		case b == nil || !b.applies(parts):
		case now.Before(b.nextTrial):
			return part, b.nextTrial.Sub(now), true
		case !t.isProber(part):
			return part, otherProberWait, true
		}
	}
	return 0, 0, false
}

// Begin is Blocked for a request that is sent at once if it isn't blocked. It
// counts as the trial of the parts that are due for one.
func (t *Table) Begin(now time.Time, parts []structs.PromptPart) (part structs.PromptPart, wait time.Duration, blocked bool) {
	part, wait, blocked = t.Blocked(now, parts)
	if blocked {
		return part, wait, true
	}
	for _, part := range parts {
		if b := t.blocks[part]; b != nil && b.applies(parts) {
			b.startTrial(now)
		}
	}
	return 0, 0, false
}

// Release releases a part and clears it of all crashes so far.
func (t *Table) Release(now time.Time, part structs.PromptPart) (found bool) {
	_, found = t.blocks[part]
	delete(t.blocks, part)
	t.answered.put(part, now)
	t.announce(part)
	return found
}

// Status describes a blocked part.
type Status struct {
	Part structs.PromptPart
	// Companions are the parts that may be the cause in its place.
	Companions []structs.PromptPart
	// Crashes is the number of crashes in succession that are remembered.
	Crashes int
	// NextTrial is the time until a request with the part is let through, and
	// Trials the number of those so far.
	NextTrial time.Duration
	Trials    int
}

// Status returns the blocked parts in the order of their IDs.
func (t *Table) Status(now time.Time) []Status {
	all := make([]Status, 0, len(t.blocks))
	for part, b := range t.blocks {
		all = append(all, Status{Part: part, Companions: b.companions, Crashes: t.Crashes(part), NextTrial: b.nextTrial.Sub(now), Trials: b.trials})
	}
	slices.SortFunc(all, func(a, b Status) int {
		if a.Part < b.Part {
			return -1
		}
		return 1
	})
	return all
}
