package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// maxPartsPerMessage bounds the suspects, and the parts of blocks, in one message.
// What exceeds it goes into the next ones.
const maxPartsPerMessage = 512

// Outgoing returns the evidence to send to the other daemons with the next
// message, or nil.
func (t *Table) Outgoing(now time.Time) *peerpb.Evidence {
	t.expire(now)
	if len(t.crashes)+len(t.blocks)+len(t.cleared) == 0 {
		return nil
	}
	if t.refresh.Due(now) {
		t.repeatAll()
	}
	m := &peerpb.Evidence{}
	t.addCrashes(now, m)
	t.addAnswered(now, m)
	t.addBlocks(now, m)
	if len(m.Crashes)+len(m.AnsweredParts)+len(m.Blocked) == 0 {
		return nil
	}
	return m
}

func (t *Table) repeatAll() {
	for _, c := range t.crashes {
		c.pending.Repeat()
	}
	for _, p := range t.cleared {
		p.Repeat()
	}
	for _, b := range t.blocks {
		b.pending.Repeat()
	}
}

// addCrashes adds the crashes that were sent least often first, until the message
// is full. The rest of a crash follows in the next message.
func (t *Table) addCrashes(now time.Time, m *peerpb.Evidence) {
	room := maxPartsPerMessage
	byPending := func(a, b CrashID) int {
		return cmp.Or(cmp.Compare(t.crashes[b].pending, t.crashes[a].pending), t.crashes[a].at.Compare(t.crashes[b].at))
	}
	for _, id := range slices.SortedFunc(maps.Keys(t.crashes), byPending) {
		c := t.crashes[id]
		if room == 0 || !c.pending.Due() {
			return
		}
		end := min(c.next+room, len(c.suspects))
		room -= end - c.next
		m.Crashes = append(m.Crashes, c.encode(now, id, c.suspects[c.next:end]))
		if c.next = end; end == len(c.suspects) {
			c.next = 0
			c.pending.Sent()
		}
	}
}

func (t *Table) addAnswered(now time.Time, m *peerpb.Evidence) {
	for part, p := range t.cleared {
		if len(m.AnsweredParts) == maxPartsPerMessage {
			return
		}
		if p.Due() {
			p.Sent()
			m.AnsweredParts = append(m.AnsweredParts, uint64(part))
			m.AnsweredAgesMs = append(m.AnsweredAgesMs, milliseconds(now.Sub(t.answered.last(part))))
		}
	}
}

func (t *Table) addBlocks(now time.Time, m *peerpb.Evidence) {
	room := maxPartsPerMessage
	for _, b := range t.blocks {
		if room <= 0 {
			return
		}
		if b.pending.Due() && !b.provisional {
			b.pending.Sent()
			room -= len(b.parts)
			m.Blocked = append(m.Blocked, b.encode(now))
		}
	}
}

func (c *crash) encode(now time.Time, id CrashID, suspects []structs.PromptPart) *peerpb.Crash {
	m := &peerpb.Crash{Endpoint: id.Endpoint, StartedUnixMs: id.StartedUnixMs, AgeMs: milliseconds(now.Sub(c.at))}
	for _, part := range suspects {
		m.Suspects = append(m.Suspects, uint64(part))
		m.SentAgesMs = append(m.SentAgesMs, milliseconds(now.Sub(c.sentAt[part])))
	}
	return m
}

func (b *block) encode(now time.Time) *peerpb.BlockedPart {
	m := &peerpb.BlockedPart{
		Part: uint64(b.parts[0]), FirstCrashAgeMs: milliseconds(now.Sub(b.firstCrash)), NextTrialMs: milliseconds(b.nextTrial.Sub(now)), Trials: uint32(b.trials),
	}
	for _, companion := range b.parts[1:] {
		m.Companions = append(m.Companions, uint64(companion))
	}
	return m
}

// Merge adds another daemon's evidence. It returns the parts that are blocked or
// released for it.
func (t *Table) Merge(now time.Time, m *peerpb.Evidence) (blocked, released []structs.PromptPart) {
	for i := range min(len(m.GetAnsweredParts()), len(m.GetAnsweredAgesMs())) {
		part := structs.PromptPart(m.AnsweredParts[i])
		released = append(released, t.RecordAnswer(before(now, m.AnsweredAgesMs[i]), []structs.PromptPart{part})...)
	}
	for _, c := range m.GetCrashes() {
		if at := before(now, c.GetAgeMs()); now.Sub(at) <= crashRetention {
			blocked = append(blocked, t.RecordCrash(now, at, CrashID{Endpoint: c.GetEndpoint(), StartedUnixMs: c.GetStartedUnixMs()}, decodeSuspects(now, c))...)
		}
	}
	for _, b := range m.GetBlocked() {
		if added := t.mergeBlock(now, b); added != nil {
			blocked = append(blocked, added.parts[0])
		}
	}
	return blocked, released
}

// decodeSuspects decodes the suspects of a crash. Lists of unequal length, from a
// damaged message, are truncated to the shortest.
func decodeSuspects(now time.Time, c *peerpb.Crash) []Suspect {
	suspects := make([]Suspect, min(len(c.GetSuspects()), len(c.GetSentAgesMs()), maxSuspects))
	for i := range suspects {
		suspects[i] = Suspect{Part: structs.PromptPart(c.Suspects[i]), SentAt: before(now, c.SentAgesMs[i])}
	}
	return suspects
}

// mergeBlock applies another daemon's block. It returns the block if it is new
// here, or nil.
func (t *Table) mergeBlock(now time.Time, m *peerpb.BlockedPart) *block {
	b := block{
		firstCrash: before(now, m.GetFirstCrashAgeMs()), trials: int(m.GetTrials()),
		nextTrial: now.Add(min(time.Duration(m.GetNextTrialMs())*time.Millisecond, maxTrialInterval)),
	}
	for _, id := range append([]uint64{m.GetPart()}, m.GetCompanions()...) {
		if part := structs.PromptPart(id); t.answered.last(part).After(b.firstCrash) {
			t.announce(part)
		} else {
			b.parts = append(b.parts, part)
		}
	}
	if len(b.parts) == 0 {
		return nil
	}
	return t.addBlock(b)
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func before(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}
