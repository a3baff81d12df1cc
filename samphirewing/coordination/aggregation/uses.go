package aggregation

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

const (
	// usesRefreshRounds is the number of messages with uses in which the rows of
	// all daemons are repeated, to replace lost messages.
	usesRefreshRounds = 50
	// usesRetention is how long the row of a daemon is kept after its last
	// update. It exceeds the time for which peers retain their share.
	usesRetention = time.Minute
)

// MemberKey identifies an incarnation of a daemon in uses.
type MemberKey uint64

// KeyOf returns the key of a process.
func KeyOf(p instance.Process) MemberKey { return MemberKey(xxhash.Sum64String(p.String())) }

// MemberUses is what one incarnation of a daemon has admitted since its start.
type MemberUses struct {
	Member MemberKey
	// Reconnected is set on the first update after the daemon was unresponsive.
	Reconnected bool
	// Synced is set if the daemon knows the levels of the quotas.
	Synced bool
	// Tokens is keyed by the hash of the organisation's name.
	Tokens map[uint32]uint64
}

// useTable holds the uses of all daemons.
type useTable struct {
	rows map[MemberKey]*useRow
	// nextRefresh is the index, in the order of keys, of the next row to repeat in
	// each direction.
	nextRefresh [directions]int
}

// direction is one of the kinds of messages, which are not sent at the same times.
type direction = Kind

const directions = int(KindTotal) + 1

// directionSet is a set of directions, one bit each.
type directionSet uint8

const allDirections directionSet = 1<<directions - 1

func (s directionSet) has(d direction) bool { return s&(1<<d) != 0 }

type useRow struct {
	tokens map[uint32]uint64
	// changed has the organisations whose use has changed since it was sent, with
	// the directions in which it was not sent.
	changed   map[uint32]directionSet
	synced    bool
	updatedAt time.Time
	// reportedAt is when the row was last received from a child.
	reportedAt time.Time
	// inSubtree is set for this daemon and those that report to it.
	inSubtree bool
}

// echoWindow is how long after a child's report a total may contain its earlier
// uses.
const echoWindow = 500 * time.Millisecond

func newUseTable() useTable { return useTable{rows: map[MemberKey]*useRow{}} }

// put applies the uses of a daemon, received from a child, or known by this daemon
// itself, if inSubtree is set.
func (t *useTable) put(now time.Time, u MemberUses, inSubtree bool) {
	row := t.rows[u.Member]
	if row == nil {
		row = &useRow{tokens: map[uint32]uint64{}, changed: map[uint32]directionSet{}}
		t.rows[u.Member] = row
	}
	row.synced, row.updatedAt, row.inSubtree = u.Synced, now, inSubtree
	for organisation, tokens := range u.Tokens {
		if old, known := row.tokens[organisation]; !known || old != tokens {
			row.tokens[organisation] = tokens
			row.changed[organisation] = allDirections
		}
	}
}

// putReported applies the uses of a daemon received from a child.
func (t *useTable) putReported(now time.Time, u MemberUses) {
	t.put(now, u, true)
	t.rows[u.Member].reportedAt = now
}

// newerThanReported returns what a total says of a daemon's uses, without what is
// older than the daemon's own report to this one. A total that goes by several
// daemons contains earlier uses.
func (t *useTable) newerThanReported(now time.Time, u MemberUses) (newer MemberUses, inSubtree bool) {
	row := t.rows[u.Member]
	if row == nil || !row.inSubtree || now.Sub(row.reportedAt) > echoWindow {
		return u, false
	}
	newer = u
	newer.Tokens = map[uint32]uint64{}
	for organisation, tokens := range u.Tokens {
		if tokens > row.tokens[organisation] {
			newer.Tokens[organisation] = tokens
		}
	}
	return newer, true
}

// leaveSubtree records that daemons report to another parent. Their uses must not be
// repeated from here, where they are out of date from now on.
func (t *useTable) leaveSubtree(members []*peerpb.Member) {
	for _, m := range members {
		key := KeyOf(instance.Process{ID: instance.ID(m.GetInstance()), Incarnation: instance.Incarnation(m.GetIncarnation())})
		if row := t.rows[key]; row != nil {
			row.inSubtree = false
		}
	}
}

// markSent forgets the changes, which have been sent in a direction.
func (t *useTable) markSent(d direction) {
	t.nextRefresh[d] += t.refreshCount()
	if t.nextRefresh[d] >= len(t.rows) {
		t.nextRefresh[d] = 0
	}
	for _, row := range t.rows {
		for organisation, pending := range row.changed {
			if pending &^= 1 << d; pending == 0 {
				delete(row.changed, organisation)
				continue
			}
			row.changed[organisation] = pending
		}
	}
}

// expire forgets the rows without updates.
func (t *useTable) expire(now time.Time) {
	for key, row := range t.rows {
		if now.Sub(row.updatedAt) > usesRetention {
			delete(t.rows, key)
		}
	}
}

func (t *useTable) refreshCount() int {
	return (len(t.rows) + usesRefreshRounds - 1) / usesRefreshRounds
}

// changes returns the uses that were not sent in a direction and the next rows to
// repeat, or the complete table. Only totals include daemons outside the subtree.
func (t *useTable) changes(d direction, complete bool) []*peerpb.MemberUses {
	keys := make([]MemberKey, 0, len(t.rows))
	for key := range t.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	first, last := t.nextRefresh[d], t.nextRefresh[d]+t.refreshCount()
	var all []*peerpb.MemberUses
	for i, key := range keys {
		row := t.rows[key]
		if d != KindTotal && !row.inSubtree {
			continue
		}
		repeat := complete || i >= first && i < last
		if message := row.encode(key, d, repeat); message != nil {
			all = append(all, message)
		}
	}
	return all
}

func (r *useRow) encode(key MemberKey, d direction, complete bool) *peerpb.MemberUses {
	m := &peerpb.MemberUses{Member: uint64(key), Synced: r.synced}
	add := func(organisation uint32) {
		m.Organisations = append(m.Organisations, organisation)
		m.Tokens = append(m.Tokens, r.tokens[organisation])
	}
	if complete {
		for organisation := range r.tokens {
			add(organisation)
		}
	} else {
		for organisation, pending := range r.changed {
			if pending.has(d) {
				add(organisation)
			}
		}
	}
	if len(m.Organisations) == 0 {
		return nil
	}
	return m
}

func decodeUses(m *peerpb.MemberUses) MemberUses {
	u := MemberUses{Member: MemberKey(m.GetMember()), Synced: m.GetSynced(), Tokens: map[uint32]uint64{}}
	for i := range min(len(m.GetOrganisations()), len(m.GetTokens())) {
		u.Tokens[m.Organisations[i]] = m.Tokens[i]
	}
	return u
}
