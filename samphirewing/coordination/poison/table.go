package poison

import (
	"cmp"
	"maps"
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
	// settleTime is the time in which all daemons report their suspects of a crash.
	settleTime = time.Second
	// maxCrashes and maxSuspects bound the crashes and the suspects of all of them
	// together. The oldest crash is dropped for a new one. Sixteen requests with
	// the longest possible prompts fit.
	maxCrashes  = 64
	maxSuspects = 64 << 10
	// maxBlocks bounds the blocked parts.
	maxBlocks = 256
	// maxAnswered bounds each of the two generations of answered parts. Callers
	// choose the IDs, and each request may have thousands of parts.
	maxAnswered = 64 << 10
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
	// suspects is the number of suspects of all crashes.
	suspects int
	// settlesAt is when the suspects of the next crash are complete; zero if those
	// of all are.
	settlesAt time.Time
	// reviewed holds the parts blocked by reviews that no caller has been told of.
	reviewed []structs.PromptPart
	blocks   []*block
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
	// sentAt holds when the last request with each suspect was sent, and suspects
	// lists them in the order in which they became known.
	sentAt   map[structs.PromptPart]time.Time
	suspects []structs.PromptPart
	// next is the index of the first suspect that the next message to other daemons
	// includes.
	next    int
	pending gossip.Pending
	// settled is set once the suspects are complete.
	settled bool
}

func (c *crash) incriminates(part structs.PromptPart) bool {
	_, found := c.sentAt[part]
	return found
}

// exonerates reports whether a part can't have caused the crash.
func (c *crash) exonerates(part structs.PromptPart) bool { return c.settled && !c.incriminates(part) }

// put records when a request with a suspect was sent, and reports whether that is
// news.
func (c *crash) put(s Suspect) (changed bool) {
	known, found := c.sentAt[s.Part]
	if !found {
		c.suspects = append(c.suspects, s.Part)
	} else if !s.SentAt.After(known) {
		return false
	}
	c.sentAt[s.Part] = s.SentAt
	return true
}

// New returns an empty table. isProber reports whether this daemon is the one
// that tries a blocked part again.
func New(isProber func(structs.PromptPart) bool) *Table {
	return &Table{crashes: map[CrashID]*crash{}, cleared: map[structs.PromptPart]*gossip.Pending{}, isProber: isProber}
}

// RecordCrash records a crash, or further suspects of a known one. It returns
// the parts that are blocked for it.
func (t *Table) RecordCrash(now, at time.Time, id CrashID, suspects []Suspect) []structs.PromptPart {
	t.expire(now)
	c := t.crashes[id]
	if c == nil {
		t.makeRoom(1, len(suspects), nil)
		c = &crash{at: at, sentAt: make(map[structs.PromptPart]time.Time, len(suspects))}
		t.crashes[id] = c
		t.settlesBy(c)
		c.pending.Renew()
	} else {
		t.makeRoom(0, len(suspects), c)
	}
	before, changed := len(c.suspects), false
	for _, s := range suspects {
		if t.suspects+len(c.suspects)-before >= maxSuspects && !c.incriminates(s.Part) {
			continue
		}
		changed = c.put(s) || changed
	}
	if added := len(c.suspects) - before; added > 0 {
		t.suspects += added
		c.pending.Renew()
	}
	if !changed {
		return t.takeReviewed()
	}
	t.announceCleared(c)
	return append(t.takeReviewed(), t.judge(c)...)
}

// makeRoom drops the oldest crashes, except one, until the table has room for
// further crashes and suspects.
func (t *Table) makeRoom(crashes, suspects int, except *crash) {
	for len(t.crashes)+crashes > maxCrashes || t.suspects+suspects > maxSuspects {
		var oldest CrashID
		for id, c := range t.crashes {
			if o := t.crashes[oldest]; c != except && (o == nil || c.at.Before(o.at)) {
				oldest = id
			}
		}
		if c := t.crashes[oldest]; c == nil || c == except {
			return
		}
		t.drop(oldest)
	}
}

func (t *Table) drop(id CrashID) {
	t.suspects -= len(t.crashes[id].suspects)
	delete(t.crashes, id)
}

// verdict is a part that enough crashes incriminate.
type verdict struct {
	part    structs.PromptPart
	counted []*crash
}

// judge blocks the suspects of a crash that enough crashes incriminate, and
// narrows what is known of those that are blocked already. It returns the first
// part of each new block.
func (t *Table) judge(c *crash) (blocked []structs.PromptPart) {
	t.narrowBlocks(c)
	var verdicts []verdict
	crashes := t.crashesByTime()
	for _, part := range c.suspects {
		if t.isBlocked(part) {
			continue
		}
		if counted := t.succession(crashes, part); len(counted) >= crashesToBlock {
			verdicts = append(verdicts, verdict{part, counted})
		}
	}
	// Parts with more crashes have fewer others in all of them.
	slices.SortFunc(verdicts, func(a, b verdict) int {
		return cmp.Or(cmp.Compare(len(b.counted), len(a.counted)), cmp.Compare(a.part, b.part))
	})
	for _, v := range verdicts {
		if t.isBlocked(v.part) {
			continue
		}
		b := block{
			firstCrash: v.counted[0].at, parts: append(t.companions(v.part, v.counted), v.part), nextTrial: v.counted[len(v.counted)-1].at.Add(minTrialInterval),
			provisional: slices.ContainsFunc(v.counted, func(c *crash) bool { return !c.settled }),
		}
		if added := t.addBlock(b); added != nil {
			blocked = append(blocked, added.parts[0])
		}
	}
	return blocked
}

// settle narrows the blocks by the crashes whose suspects have become complete.
func (t *Table) settle(now time.Time) {
	if t.settlesAt.IsZero() || now.Before(t.settlesAt) {
		return
	}
	t.settlesAt = time.Time{}
	for _, c := range t.crashesByTime() {
		switch {
		case c.settled:
		case now.Sub(c.at) >= settleTime:
			c.settled = true
			t.narrowBlocks(c)
		default:
			t.settlesBy(c)
		}
	}
	t.reviewProvisional()
}

// settlesBy records when the suspects of a crash are complete.
func (t *Table) settlesBy(c *crash) {
	if at := c.at.Add(settleTime); t.settlesAt.IsZero() || at.Before(t.settlesAt) {
		t.settlesAt = at
	}
}

// reviewProvisional judges again what was judged by incomplete suspects.
func (t *Table) reviewProvisional() {
	before := len(t.blocks)
	t.blocks = slices.DeleteFunc(t.blocks, func(b *block) bool { return b.provisional })
	if len(t.blocks) == before {
		return
	}
	for _, c := range t.crashesByTime() {
		t.reviewed = append(t.reviewed, t.judge(c)...)
	}
}

// takeReviewed returns the parts blocked by reviews since the last call.
func (t *Table) takeReviewed() []structs.PromptPart {
	parts := t.reviewed
	t.reviewed = nil
	slices.Sort(parts)
	return slices.Compact(parts)
}

// narrowBlocks narrows the blocks by the suspects of a crash.
func (t *Table) narrowBlocks(c *crash) {
	narrowed := false
	for _, b := range t.blocks {
		narrowed = b.narrowTo(c) || narrowed
	}
	if narrowed {
		t.dropCovered()
	}
}

// companions returns the other parts that were suspects in all of the crashes, or
// may still turn out to be.
func (t *Table) companions(part structs.PromptPart, counted []*crash) (all []structs.PromptPart) {
	candidates := map[structs.PromptPart]bool{}
	for _, c := range counted {
		for _, other := range c.suspects {
			candidates[other] = true
		}
	}
	for other := range candidates {
		exonerated := func(c *crash) bool { return c.exonerates(other) }
		if other != part && !slices.ContainsFunc(counted, exonerated) && !t.answered.last(other).After(counted[0].at) {
			all = append(all, other)
		}
	}
	return all
}

// Crashes returns the number of crashes in succession that incriminate a part.
func (t *Table) Crashes(part structs.PromptPart) int {
	return len(t.succession(t.crashesByTime(), part))
}

// crashesByTime returns the crashes, oldest first.
func (t *Table) crashesByTime() []*crash {
	return slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
}

// succession returns the crashes, of all of them by time, that incriminate a part,
// oldest first: those since its last answer, each by a request sent after the
// crash before.
func (t *Table) succession(all []*crash, part structs.PromptPart) (counted []*crash) {
	answered := t.answered.last(part)
	for _, c := range all {
		sentAt, found := c.sentAt[part]
		if found && c.at.After(answered) && (len(counted) == 0 || sentAt.After(counted[len(counted)-1].at)) {
			counted = append(counted, c)
		}
	}
	return counted
}

// InDoubt reports whether a request that was lost in a crash should not be sent
// again, because a part of its prompt was lost in another crash before.
func (t *Table) InDoubt(parts []structs.PromptPart) bool {
	crashes := t.crashesByTime()
	return slices.ContainsFunc(parts, func(part structs.PromptPart) bool { return len(t.succession(crashes, part)) >= crashesToDoubt })
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
		if t.acquit(begun, part) {
			released = append(released, part)
		}
		if last := t.lastCrash(part); !last.IsZero() && begun.After(last) && !previous.After(last) {
			t.announce(part)
		}
	}
	if len(released) > 0 {
		t.dropCovered()
	}
	return released
}

// acquit removes a part from the blocks for crashes before an answer, and reports
// whether there were any. Blocks may be left without parts.
func (t *Table) acquit(begun time.Time, part structs.PromptPart) (released bool) {
	for _, b := range t.blocks {
		if begun.After(b.firstCrash) && b.contains(part) {
			b.narrow(func(other structs.PromptPart) bool { return other != part })
			released = true
		}
	}
	return released
}

// lastCrash returns the time of the last crash that a part is a suspect of.
func (t *Table) lastCrash(part structs.PromptPart) (last time.Time) {
	for _, c := range t.crashes {
		if c.at.After(last) && c.incriminates(part) {
			last = c.at
		}
	}
	return last
}

func (t *Table) announceCleared(c *crash) {
	for _, part := range c.suspects {
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
	t.settle(now)
	for id, c := range t.crashes {
		if now.Sub(c.at) > crashRetention {
			t.drop(id)
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
