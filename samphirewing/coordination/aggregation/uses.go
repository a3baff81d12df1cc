package aggregation

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

const (
	// usesInterval is the minimum time between two messages with uses. Until uses
	// arrive, all daemons admit requests by the same level, so they are sent with
	// each summary.
	usesInterval = MinInterval
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
	// nextRefresh is the index, in the order of keys, of the next row to repeat.
	nextRefresh int
	lastSent    time.Time
}

type useRow struct {
	tokens    map[uint32]uint64
	changed   map[uint32]struct{}
	synced    bool
	updatedAt time.Time
	// inSubtree is set for this daemon and those that report to it.
	inSubtree bool
}

func newUseTable() useTable { return useTable{rows: map[MemberKey]*useRow{}} }

func (t *useTable) put(now time.Time, u MemberUses, inSubtree bool) {
	row := t.rows[u.Member]
	if row == nil {
		row = &useRow{tokens: map[uint32]uint64{}, changed: map[uint32]struct{}{}}
		t.rows[u.Member] = row
	}
	row.synced, row.updatedAt, row.inSubtree = u.Synced, now, inSubtree
	for organisation, tokens := range u.Tokens {
		if old, known := row.tokens[organisation]; !known || old != tokens {
			row.tokens[organisation] = tokens
			row.changed[organisation] = struct{}{}
		}
	}
}

// due reports whether the next messages should include uses.
func (t *useTable) due(now time.Time) bool { return now.Sub(t.lastSent) >= usesInterval }

// markSent forgets the changes, which have been sent, and the rows without
// updates.
func (t *useTable) markSent(now time.Time) {
	t.lastSent = now
	t.nextRefresh += t.refreshCount()
	if t.nextRefresh >= len(t.rows) {
		t.nextRefresh = 0
	}
	for key, row := range t.rows {
		clear(row.changed)
		if now.Sub(row.updatedAt) > usesRetention {
			delete(t.rows, key)
		}
	}
}

func (t *useTable) refreshCount() int {
	return (len(t.rows) + usesRefreshRounds - 1) / usesRefreshRounds
}

// changes returns the changed uses and the next rows to repeat, or the complete
// table. Unless all daemons are asked for, only those of the subtree are
// included.
func (t *useTable) changes(complete, allMembers bool) []*peerpb.MemberUses {
	keys := make([]MemberKey, 0, len(t.rows))
	for key := range t.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	first, last := t.nextRefresh, t.nextRefresh+t.refreshCount()
	var all []*peerpb.MemberUses
	for i, key := range keys {
		row := t.rows[key]
		if !allMembers && !row.inSubtree {
			continue
		}
		repeat := complete || i >= first && i < last
		if message := row.encode(key, repeat); message != nil {
			all = append(all, message)
		}
	}
	return all
}

func (r *useRow) encode(key MemberKey, complete bool) *peerpb.MemberUses {
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
		for organisation := range r.changed {
			add(organisation)
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
