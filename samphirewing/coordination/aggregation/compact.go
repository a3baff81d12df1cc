package aggregation

import (
	"cmp"
	"slices"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// maxDictionary bounds a dictionary, which holds the endpoints, daemons and
// organisations that were seen since it was begun.
const maxDictionary = 1 << 14

// dictionary numbers hashes, so that a message names each by one or two bytes in
// place of four or eight. Entries are only appended: a neighbour needs just those
// that it has not received.
type dictionary struct {
	epoch uint64
	keys  []uint64
	index map[uint64]uint32
	// sent holds how many entries were sent in each direction.
	sent [directions]int
}

func newDictionary(epoch uint64) *dictionary {
	return &dictionary{epoch: epoch, index: map[uint64]uint32{}}
}

func (d *dictionary) indexOf(key uint64) uint32 {
	i, found := d.index[key]
	if !found {
		i = uint32(len(d.keys))
		d.keys = append(d.keys, key)
		d.index[key] = i
	}
	return i
}

// since returns the entries from an index on, or nil if there are none.
func (d *dictionary) since(start int) *peerpb.Dictionary {
	if start >= len(d.keys) {
		return nil
	}
	return &peerpb.Dictionary{Epoch: d.epoch, Start: uint32(start), Keys: d.keys[start:]}
}

// receivedDictionary is the dictionary of a neighbour.
type receivedDictionary struct {
	from  instance.Process
	epoch uint64
	keys  []uint64
	// incomplete is set while entries are missing.
	incomplete bool
}

// add applies entries. Those after a gap are ignored.
func (d *receivedDictionary) add(m *peerpb.Dictionary) {
	if m == nil {
		return
	}
	if m.GetEpoch() != d.epoch && m.GetStart() == 0 {
		d.epoch, d.keys = m.GetEpoch(), nil
	}
	start := int(m.GetStart())
	if m.GetEpoch() != d.epoch || start > len(d.keys) || start+len(m.GetKeys()) > maxDictionary {
		return
	}
	if start == 0 {
		d.incomplete = false
	}
	if end := start + len(m.GetKeys()); end > len(d.keys) {
		d.keys = append(d.keys[:start:start], m.GetKeys()...)
	}
}

// compactor encodes loads and uses by a dictionary.
type compactor struct {
	dictionary *dictionary
	message    *peerpb.Compact
}

func (c *compactor) addLoads(loads map[uint32]Load) {
	type entry struct {
		index uint32
		load  Load
	}
	entries := make([]entry, 0, len(loads))
	for endpoint, l := range loads {
		entries = append(entries, entry{c.dictionary.indexOf(uint64(endpoint)), l})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.index, b.index) })
	m := c.message
	last, lastUnreachable := uint32(0), uint32(0)
	for _, e := range entries {
		m.Endpoints = append(m.Endpoints, e.index-last)
		m.Running = append(m.Running, uint32Of(e.load.Running))
		m.PrefillUnits = append(m.PrefillUnits, uint32Of(e.load.PrefillUnits))
		m.Tokens = append(m.Tokens, uint32Of(e.load.TokenSteps))
		last = e.index
		if e.load.Unreachable > 0 {
			m.Unreachable = append(m.Unreachable, e.index-lastUnreachable)
			m.UnreachableCounts = append(m.UnreachableCounts, uint32Of(e.load.Unreachable))
			lastUnreachable = e.index
		}
	}
}

func (c *compactor) addUses(rows []*peerpb.MemberUses) {
	type entry struct {
		index uint32
		row   *peerpb.MemberUses
	}
	entries := make([]entry, 0, len(rows))
	for _, row := range rows {
		entries = append(entries, entry{c.dictionary.indexOf(row.GetMember()), row})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.index, b.index) })
	m := c.message
	last := uint32(0)
	for _, e := range entries {
		m.Members = append(m.Members, e.index-last)
		last = e.index
		count := 2 * uint32(len(e.row.GetOrganisations()))
		if e.row.GetSynced() {
			count++
		}
		m.UseCounts = append(m.UseCounts, count)
		for i, organisation := range e.row.GetOrganisations() {
			m.Organisations = append(m.Organisations, c.dictionary.indexOf(uint64(organisation)))
			m.UseTokens = append(m.UseTokens, e.row.GetTokens()[i])
		}
	}
}

// compact moves loads and uses of a message into its compact part.
func (d *dictionary) compact(loads map[uint32]Load, uses []*peerpb.MemberUses) *peerpb.Compact {
	c := compactor{d, &peerpb.Compact{Epoch: d.epoch}}
	c.addLoads(loads)
	c.addUses(uses)
	c.message.Length = uint32(len(d.keys))
	return c.message
}

// expand puts the compact part of a message back into its loads and uses. It returns
// false if entries of the dictionary are missing; the message then has neither.
func (d *receivedDictionary) expand(m *peerpb.Summary) bool {
	c := m.GetFleet().GetCompact()
	if c == nil {
		return true
	}
	d.incomplete = c.GetEpoch() != d.epoch || int(c.GetLength()) > len(d.keys)
	if d.incomplete {
		return false
	}
	m.Loads = d.expandLoads(c)
	m.Uses = append(m.Uses, d.expandUses(c)...)
	return true
}

func (d *receivedDictionary) key(index uint32) (uint64, bool) {
	if int(index) >= len(d.keys) {
		return 0, false
	}
	return d.keys[index], true
}

func (d *receivedDictionary) expandLoads(c *peerpb.Compact) *peerpb.Loads {
	loads := &peerpb.Loads{}
	count := min(len(c.GetEndpoints()), len(c.GetRunning()), len(c.GetPrefillUnits()), len(c.GetTokens()))
	unreachable := map[uint32]uint32{}
	index := uint32(0)
	for i := range min(len(c.GetUnreachable()), len(c.GetUnreachableCounts())) {
		index += c.Unreachable[i]
		unreachable[index] = c.UnreachableCounts[i]
	}
	index = 0
	for i := range count {
		index += c.Endpoints[i]
		key, found := d.key(index)
		if !found {
			break
		}
		loads.Endpoints = append(loads.Endpoints, uint32(key))
		loads.Running = append(loads.Running, c.Running[i])
		loads.PrefillUnits = append(loads.PrefillUnits, c.PrefillUnits[i])
		loads.Tokens = append(loads.Tokens, c.Tokens[i])
		loads.Unreachable = append(loads.Unreachable, unreachable[index])
	}
	return loads
}

func (d *receivedDictionary) expandUses(c *peerpb.Compact) (rows []*peerpb.MemberUses) {
	index, next := uint32(0), 0
	for i := range min(len(c.GetMembers()), len(c.GetUseCounts())) {
		index += c.Members[i]
		member, found := d.key(index)
		count := int(c.UseCounts[i] / 2)
		if !found || next+count > min(len(c.GetOrganisations()), len(c.GetUseTokens())) {
			break
		}
		row := &peerpb.MemberUses{Member: member, Synced: c.UseCounts[i]%2 == 1}
		for ; count > 0; count, next = count-1, next+1 {
			organisation, found := d.key(c.Organisations[next])
			if !found {
				return rows
			}
			row.Organisations = append(row.Organisations, uint32(organisation))
			row.Tokens = append(row.Tokens, c.UseTokens[next])
		}
		rows = append(rows, row)
	}
	return rows
}

// contents encodes the loads and uses of a message to several recipients, in the
// form that each of them understands.
type contents struct {
	tick      *tick
	direction direction
	loads     map[uint32]Load
	legacy    *peerpb.Loads
	encoded   map[contentsForm][]byte
}

// contentsForm is one of the forms of the same contents.
type contentsForm struct{ compact, complete bool }

func (t *tick) contents(d direction, s State, legacy *peerpb.Loads) *contents {
	return &contents{t, d, s.Loads, legacy, map[contentsForm][]byte{}}
}

// encode returns the contents for a recipient. A recipient that was not welcomed
// gets complete uses, and the dictionary if it can read compact contents.
func (c *contents) encode(welcomed, readsCompact bool) []byte {
	form := contentsForm{readsCompact, !welcomed}
	body, found := c.encoded[form]
	if !found {
		body = c.encodeForm(form)
		c.encoded[form] = body
	}
	return body
}

func (c *contents) encodeForm(form contentsForm) []byte {
	n := c.tick.node
	uses := n.uses.changes(c.direction, form.complete)
	switch {
	case form.compact && form.complete:
		// The changes of this tick are in the dictionary from now on.
		c.encode(true, true)
		return encode(&peerpb.Summary{Loads: c.legacy, Uses: uses, Fleet: &peerpb.Fleet{Dictionary: n.dictionary.since(0)}})
	case form.compact:
		compact := n.dictionary.compact(c.loads, uses)
		return encode(&peerpb.Summary{Fleet: &peerpb.Fleet{Compact: compact, Dictionary: n.dictionary.since(n.dictionary.sent[c.direction])}})
	default:
		return encode(&peerpb.Summary{Loads: c.legacy, Uses: uses})
	}
}

// markSent records that the contents were sent to all recipients of the direction.
func (c *contents) markSent() {
	n := c.tick.node
	n.uses.markSent(c.direction)
	if _, sent := c.encoded[contentsForm{compact: true}]; sent {
		n.dictionary.sent[c.direction] = len(n.dictionary.keys)
	}
}

// renewDictionary begins a new dictionary if the present one has too many entries,
// most of which are no longer used.
func (n *Node) renewDictionary() {
	if len(n.dictionary.keys) < maxDictionary/2 {
		return
	}
	n.dictionary = newDictionary(n.dictionary.epoch + 1)
	n.reportedTo = ""
	for _, neighbours := range []map[instance.ID]*neighbour{n.children, n.roots} {
		for _, other := range neighbours {
			other.welcomed = false
		}
	}
}

// expand replaces the compact part of a message. It returns false if this daemon
// lacks entries of the sender's dictionary, which it then asks for.
func (n *Node) expand(from instance.Process, m *peerpb.Summary) bool {
	if m.GetFleet() == nil {
		return true
	}
	d := n.dictionaries[from.ID]
	if d == nil || d.from != from {
		d = &receivedDictionary{from: from}
		n.dictionaries[from.ID] = d
	}
	d.add(m.GetFleet().GetDictionary())
	return d.expand(m)
}

// needsDictionary reports whether entries of a daemon's dictionary are missing.
func (n *Node) needsDictionary(of instance.ID) bool {
	d := n.dictionaries[of]
	return d != nil && d.incomplete
}

// forgetDictionaries forgets those of daemons that are no longer neighbours.
func (n *Node) forgetDictionaries() {
	for id := range n.dictionaries {
		if n.children[id] == nil && n.roots[id] == nil && id != n.parent.current {
			delete(n.dictionaries, id)
		}
	}
}
