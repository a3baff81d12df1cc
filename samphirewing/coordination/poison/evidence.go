package poison

import (
	"math"
	"slices"
	"time"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Outgoing returns the evidence to send to the other daemons with the next
// message, or nil.
func (t *Table) Outgoing(now time.Time) *peerpb.Evidence {
	t.expire(now)
	if len(t.crashes)+len(t.blocks)+len(t.cleared) == 0 {
		return nil
	}
	refresh := t.refresh.Due(now)
	m := &peerpb.Evidence{}
	for id, c := range t.crashes {
		if c.pending.Take(refresh) {
			m.Crashes = append(m.Crashes, c.encode(now, id))
		}
	}
	for part, p := range t.cleared {
		if p.Take(refresh) {
			m.AnsweredParts = append(m.AnsweredParts, uint64(part))
			m.AnsweredAgesMs = append(m.AnsweredAgesMs, milliseconds(now.Sub(t.answered.last(part))))
		}
	}
	for part, b := range t.blocks {
		if b.pending.Take(refresh) {
			m.Blocked = append(m.Blocked, b.encode(now, part))
		}
	}
	if len(m.Crashes)+len(m.AnsweredParts)+len(m.Blocked) == 0 {
		return nil
	}
	return m
}

func (c *crash) encode(now time.Time, id CrashID) *peerpb.Crash {
	m := &peerpb.Crash{Endpoint: id.Endpoint, StartedUnixMs: id.StartedUnixMs, AgeMs: milliseconds(now.Sub(c.at))}
	for part, sentAt := range c.suspects {
		m.Suspects = append(m.Suspects, uint64(part))
		m.SentAgesMs = append(m.SentAgesMs, milliseconds(now.Sub(sentAt)))
	}
	return m
}

func (b *block) encode(now time.Time, part structs.PromptPart) *peerpb.BlockedPart {
	m := &peerpb.BlockedPart{
		Part: uint64(part), FirstCrashAgeMs: milliseconds(now.Sub(b.firstCrash)), NextTrialMs: milliseconds(b.nextTrial.Sub(now)), Trials: uint32(b.trials),
	}
	for _, companion := range b.companions {
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
		if t.mergeBlock(now, b) {
			blocked = append(blocked, structs.PromptPart(b.GetPart()))
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

// mergeBlock applies another daemon's block. It returns true if the part was not
// blocked here.
func (t *Table) mergeBlock(now time.Time, m *peerpb.BlockedPart) bool {
	part, firstCrash := structs.PromptPart(m.GetPart()), before(now, m.GetFirstCrashAgeMs())
	nextTrial := now.Add(min(time.Duration(m.GetNextTrialMs())*time.Millisecond, maxTrialInterval))
	if t.answered.last(part).After(firstCrash) {
		t.announce(part)
		return false
	}
	var companions []structs.PromptPart
	for _, companion := range m.GetCompanions() {
		if c := structs.PromptPart(companion); !t.answered.last(c).After(firstCrash) {
			companions = append(companions, c)
		}
	}
	known := t.blocks[part]
	if known == nil {
		return t.addBlock(part, block{firstCrash: firstCrash, companions: companions, nextTrial: nextTrial, trials: int(m.GetTrials())})
	}
	known.narrow(func(part structs.PromptPart) bool { return slices.Contains(companions, part) })
	if trials := int(m.GetTrials()); trials > known.trials {
		known.trials, known.nextTrial = trials, nextTrial
		known.pending.Renew()
	}
	return false
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func before(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}
