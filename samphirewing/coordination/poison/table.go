package poison

import (
	"slices"
	"time"

	"github.com/samphirewing/samphirewing/coordination/gossip"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// crashesToBlock is the number of crashes in succession for which a part is
	// blocked. Two may coincide with a part that few requests share.
	crashesToBlock = 3
	// crashesToDoubt is the number of crashes in succession from which a request
	// that was lost in one is not sent again.
	crashesToDoubt = 2
	// crashRetention is how long a crash is remembered.
	crashRetention = 2 * time.Minute
	// maxCrashes and maxSuspects bound the crashes and the suspects of each. The
	// oldest crash is dropped for a new one.
	maxCrashes  = 64
	maxSuspects = 64
	// maxBlocks bounds the blocked parts.
	maxBlocks = 256
	// maxAnswered bounds each of the two generations of answered parts. Callers
	// choose the IDs.
	maxAnswered = 4096
)

// CrashID identifies a crash: an endpoint ends once for each start.
type CrashID struct {
	// Endpoint is a hash of the endpoint's name.
	Endpoint      uint64
	StartedUnixMs int64
}

// Suspect is a part of the prompt of a request that may have caused a crash.
type Suspect struct {
	Part structs.PromptPart
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Table holds the evidence and the blocked parts. It is not safe for concurrent
// use.
//
// Invariant: no part is blocked that was answered after the first of the crashes
// for which it was blocked.
type Table struct {
	crashes map[CrashID]*crash
	blocks  map[structs.PromptPart]*block
	// answered holds when an answer last began that went on well, for each part
	// of its prompt.
	answered answeredParts
	// cleared holds the suspects of remembered crashes that were answered since.
	cleared map[structs.PromptPart]*gossip.Pending
	refresh gossip.Refresh
	// isProber reports whether this daemon tries a blocked part again.
	isProber func(structs.PromptPart) bool
}

type crash struct {
	at time.Time
	// suspects holds when the last request with each part was sent.
	suspects map[structs.PromptPart]time.Time
	pending  gossip.Pending
}

// New returns an empty table. isProber reports whether this daemon is the one
// that tries a blocked part again.
func New(isProber func(structs.PromptPart) bool) *Table {
	return &Table{crashes: map[CrashID]*crash{}, blocks: map[structs.PromptPart]*block{}, cleared: map[structs.PromptPart]*gossip.Pending{}, isProber: isProber}
}

// RecordCrash records a crash, or further suspects of a known one. It returns
// the parts that are blocked for it.
func (t *Table) RecordCrash(now, at time.Time, id CrashID, suspects []Suspect) []structs.PromptPart {
	t.expire(now)
	c := t.crashes[id]
	if c == nil {
		t.makeRoom()
		c = &crash{at: at, suspects: map[structs.PromptPart]time.Time{}}
		t.crashes[id] = c
		c.pending.Renew()
	}
	for _, s := range suspects {
		known, found := c.suspects[s.Part]
		if !found && len(c.suspects) >= maxSuspects {
			continue
		}
		if !found {
			c.pending.Renew()
		}
		if !found || s.SentAt.After(known) {
			c.suspects[s.Part] = s.SentAt
		}
	}
	t.announceCleared(c)
	return t.judge(now, c)
}

// makeRoom drops the oldest crash if the table is full.
func (t *Table) makeRoom() {
	if len(t.crashes) < maxCrashes {
		return
	}
	var oldest CrashID
	for id, c := range t.crashes {
		if o := t.crashes[oldest]; o == nil || c.at.Before(o.at) {
			oldest = id
		}
	}
	delete(t.crashes, oldest)
}

// judge blocks the suspects of a crash that enough crashes incriminate, and
// narrows what is known of those that are blocked already.
func (t *Table) judge(now time.Time, c *crash) (blocked []structs.PromptPart) {
	for part := range c.suspects {
		if b := t.blocks[part]; b != nil {
			if !c.at.Before(b.firstCrash) {
				b.narrow(func(other structs.PromptPart) bool { _, found := c.suspects[other]; return found })
			}
			continue
		}
		counted := t.succession(part)
		if len(counted) < crashesToBlock {
			continue
		}
		b := block{firstCrash: counted[0].at, companions: t.companions(part, counted), nextTrial: now.Add(minTrialInterval)}
		if t.addBlock(part, b) {
			blocked = append(blocked, part)
		}
	}
	slices.Sort(blocked)
	return blocked
}

// companions returns the other parts that were suspects in all of the crashes.
func (t *Table) companions(part structs.PromptPart, counted []*crash) (all []structs.PromptPart) {
	for other := range counted[0].suspects {
		missing := func(c *crash) bool { _, found := c.suspects[other]; return !found }
		if other != part && !slices.ContainsFunc(counted, missing) && !t.answered.last(other).After(counted[0].at) {
			all = append(all, other)
		}
	}
	return all
}

// Crashes returns the number of crashes in succession that incriminate a part.
func (t *Table) Crashes(part structs.PromptPart) int { return len(t.succession(part)) }

// succession returns the crashes that incriminate a part, oldest first: those
// since its last answer, each by a request sent after the crash before.
func (t *Table) succession(part structs.PromptPart) (counted []*crash) {
	var all []*crash
	answered := t.answered.last(part)
	for _, c := range t.crashes {
		if _, found := c.suspects[part]; found && c.at.After(answered) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b *crash) int { return a.at.Compare(b.at) })
	for _, c := range all {
		if len(counted) == 0 || c.suspects[part].After(counted[len(counted)-1].at) {
			counted = append(counted, c)
		}
	}
	return counted
}

// InDoubt reports whether a request that was lost in a crash should not be sent
// again, because a part of its prompt was lost in another crash before.
func (t *Table) InDoubt(parts []structs.PromptPart) bool {
	return slices.ContainsFunc(parts, func(part structs.PromptPart) bool { return t.Crashes(part) >= crashesToDoubt })
}

// RecordAnswer records that an answer to a request with these parts began at the
// given time and went on well. It returns the parts that are released for it.
func (t *Table) RecordAnswer(begun time.Time, parts []structs.PromptPart) (released []structs.PromptPart) {
	for _, part := range parts {
		previous := t.answered.last(part)
		if !begun.After(previous) {
			continue
		}
		t.answered.put(part, begun)
		if b := t.blocks[part]; b != nil && begun.After(b.firstCrash) {
			delete(t.blocks, part)
			released = append(released, part)
		}
		for _, b := range t.blocks {
			if begun.After(b.firstCrash) {
				b.narrow(func(other structs.PromptPart) bool { return other != part })
			}
		}
		if last := t.lastCrash(part); !last.IsZero() && begun.After(last) && !previous.After(last) {
			t.announce(part)
		}
	}
	return released
}

// lastCrash returns the time of the last crash that a part is a suspect of.
func (t *Table) lastCrash(part structs.PromptPart) (last time.Time) {
	for _, c := range t.crashes {
		if _, found := c.suspects[part]; found && c.at.After(last) {
			last = c.at
		}
	}
	return last
}

func (t *Table) announceCleared(c *crash) {
	for part := range c.suspects {
		if t.answered.last(part).After(c.at) && t.cleared[part] == nil {
			t.announce(part)
		}
	}
}

// announce sends to the other daemons when a part was last answered.
func (t *Table) announce(part structs.PromptPart) {
	p := new(gossip.Pending)
	p.Renew()
	t.cleared[part] = p
}

// expire drops what is older than its retention.
func (t *Table) expire(now time.Time) {
	for id, c := range t.crashes {
		if now.Sub(c.at) > crashRetention {
			delete(t.crashes, id)
		}
	}
	for part := range t.cleared {
		if now.Sub(t.answered.last(part)) > crashRetention {
			delete(t.cleared, part)
		}
	}
}

// answeredParts holds the parts answered last, in two generations so that it is
// bounded.
type answeredParts struct {
	recent, older map[structs.PromptPart]time.Time
}

func (a *answeredParts) last(part structs.PromptPart) time.Time {
	if at, found := a.recent[part]; found {
		return at
	}
	return a.older[part]
}

func (a *answeredParts) put(part structs.PromptPart, at time.Time) {
	if len(a.recent) >= maxAnswered || a.recent == nil {
		a.older, a.recent = a.recent, map[structs.PromptPart]time.Time{}
	}
	a.recent[part] = at
}
