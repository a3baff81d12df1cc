package aggregation

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// tick is the work of one Tick.
type tick struct {
	node *Node
	now  time.Time
	own  Own
	// subtree is the sum of this daemon and its children.
	subtree State
	// estimates is the sum of the subtree's, or nil if none are due.
	estimates Estimates
	// organisations is the sum of the subtree's, or nil if none are due.
	organisations Organisations
	out           []Outgoing
}

func (t *tick) send(to instance.ID, kind Kind, bodies ...[]byte) {
	var body []byte
	for _, b := range bodies {
		body = append(body, b...)
	}
	t.out = append(t.out, Outgoing{To: to, Kind: kind, Body: body})
}

// encode encodes a part of a message. The encodings of several parts, one after
// the other, are the encoding of the message with the fields of all of them.
func encode(m *peerpb.Summary) []byte {
	body, err := proto.Marshal(m)
	if err != nil {
		// Only strings that are not UTF-8 fail; the names of instances and pools
		// are checked when they are read.
		return nil
	}
	return body
}

// subtreeRoster returns this daemon and those that report to it.
func (t *tick) subtreeRoster() []*peerpb.Member {
	self := &peerpb.Member{
		Instance: string(t.node.options.Self.ID), Incarnation: uint64(t.node.options.Self.Incarnation),
		Ready: t.own.Flags.Ready, Leaving: t.own.Flags.Leaving,
	}
	rosters := [][]*peerpb.Member{{self}}
	for _, c := range t.node.children {
		rosters = append(rosters, c.members)
	}
	return merge(rosters...)
}

// summary returns a summary without its roster, and its contents.
func (t *tick) summary(d direction, s State) (*peerpb.Summary, *contents) {
	m := &peerpb.Summary{Sequence: t.node.sequence, IntervalMs: uint32(t.node.Interval().Milliseconds()), NeedsLevels: !t.node.synced, Evidence: t.own.Evidence, Limits: t.own.Limits}
	encodeState(s, m)
	c := t.contents(d, s, m.Loads)
	m.Loads = nil
	m.StoreEpoch = t.node.storeEpoch
	if t.own.StoreEpoch == t.node.storeEpoch {
		m.Positions = t.positions()
	}
	m.Fleet = t.fleet(d)
	return m, c
}

func (t *tick) positions() (all []*peerpb.Position) {
	for topic, p := range t.own.Positions {
		all = append(all, &peerpb.Position{
			Topic: topic, Next: max(p.Next, t.node.positions[topic].Next), Connected: p.Connected, AgeMs: uint32Of(t.now.Sub(p.ReadAt).Milliseconds()),
		})
	}
	return all
}

// fleet returns what only large deployments need, and what this daemon asks its
// parent or other roots for.
func (t *tick) fleet(d direction) *peerpb.Fleet {
	m := &peerpb.Fleet{ReadsCompact: t.node.known > maxUngrouped}
	if d != KindTotal {
		m.WantedTopics = t.own.WantedTopics
	}
	if !m.ReadsCompact && len(m.WantedTopics) == 0 {
		return nil
	}
	return m
}

// askForDictionary returns the part of a message that asks a daemon for the missing
// entries of its dictionary, if any.
func (t *tick) askForDictionary(of instance.ID) []byte {
	if !t.node.needsDictionary(of) {
		return nil
	}
	return encode(&peerpb.Summary{Fleet: &peerpb.Fleet{NeedsDictionary: true}})
}

func (t *tick) addEstimates(m *peerpb.Summary, e Estimates) {
	if t.estimates != nil {
		m.Estimates = encodeEstimates(e)
	}
}

// reportToParent sends the sum of the subtree to the parent.
func (t *tick) reportToParent() {
	n := t.node
	if n.parent.current == "" {
		return
	}
	for id := range n.misdirected {
		t.redirect(id)
	}
	clear(n.misdirected)
	n.sent[n.sequence] = t.subtree
	delete(n.sent, n.sequence-sentHistory)
	m, c := t.summary(KindReport, t.subtree)
	m.Rollouts = t.own.RolloutsUp
	t.addEstimates(m, t.estimates)
	t.addOrganisations(m, t.organisations, n.organisations.promises.up)
	m.RosterVersion, m.Members = n.upward.next(t.now, t.subtreeRoster())
	fresh := n.reportedTo != n.parent.current
	n.reportedTo = n.parent.current
	if fresh {
		m.Members = n.upward.members
	}
	t.send(n.parent.current, KindReport, encode(m), c.encode(!fresh, n.parentReadsCompact), t.askForDictionary(n.parent.current))
	c.markSent()
}

// withdraw tells the former parent, or the other roots if this daemon was a root
// itself, that another parent now includes its sum.
func (t *tick) withdraw(former instance.ID) {
	withdrawal := encode(&peerpb.Summary{Sequence: t.node.sequence, Withdrawn: true})
	switch former {
	case "":
	case t.node.options.Self.ID:
		for id := range t.node.roots {
			t.redirect(id)
		}
	default:
		t.send(former, KindReport, withdrawal)
	}
}

// redirect tells a root that took this daemon for one to which daemon it
// reports.
func (t *tick) redirect(to instance.ID) {
	t.send(to, KindGroup, encode(&peerpb.Summary{Sequence: t.node.sequence, Withdrawn: true, Parent: string(t.node.parent.current)}))
}

// sendProbes asks better candidates to become the parent.
func (t *tick) sendProbes() {
	for _, id := range t.node.parent.dueProbes(t.now) {
		m := &peerpb.Summary{Sequence: t.node.sequence, Probe: true, RosterVersion: t.node.upward.version, Members: t.subtreeRoster()}
		t.send(id, KindReport, encode(m))
	}
}

// sendToRoots sends the group's sum to the other roots, and to candidates of the
// groups from which nothing is heard.
func (t *tick) sendToRoots(groups map[groupKey][]candidate, own groupKey) {
	n := t.node
	m, c := t.summary(KindGroup, t.subtree)
	m.Rollouts = t.own.RolloutsUp
	t.addEstimates(m, t.estimates)
	t.addOrganisations(m, t.organisations, n.organisations.promises.up)
	version, members := n.upward.next(t.now, t.subtreeRoster())
	m.RosterVersion = version
	common := encode(m)
	repeated := encode(&peerpb.Summary{Members: members})
	complete := encode(&peerpb.Summary{Members: n.upward.members})
	for id, r := range n.roots {
		roster := repeated
		if !r.welcomed {
			roster = complete
		}
		t.send(id, KindGroup, common, roster, c.encode(r.welcomed, r.readsCompact), t.levelsFor(r), t.askForDictionary(id))
		r.welcomed = true
	}
	for id := range t.searched(groups, own) {
		t.send(id, KindGroup, common, complete, c.encode(true, false))
	}
	c.markSent()
}

// searched returns the daemons to try for the groups whose root is unknown: the
// best candidates in turn, and those to which other daemons redirected.
func (t *tick) searched(groups map[groupKey][]candidate, own groupKey) map[instance.ID]bool {
	n := t.node
	all := map[instance.ID]bool{}
	for id, until := range n.redirects {
		if t.now.After(until) || n.roots[id] != nil {
			delete(n.redirects, id)
			continue
		}
		all[id] = true
	}
	for key := range n.searches {
		if groups[key] == nil {
			delete(n.searches, key)
		}
	}
	for key, candidates := range groups {
		// A root without children may not know the root of its own group.
		if key == own && len(n.children) > 0 || n.hearsFrom(candidates) {
			delete(n.searches, key)
			continue
		}
		s := n.searches[key]
		if s == nil {
			s = &search{lastTry: t.now}
			n.searches[key] = s
		}
		if t.now.Sub(s.lastTry) >= searchInterval {
			s.next, s.lastTry = s.next+searchedAtOnce, t.now
		}
		for i := range searchedAtOnce {
			all[candidates[(s.next+i)%len(candidates)].id] = true
		}
	}
	delete(all, n.options.Self.ID)
	return all
}

// hearsFrom reports whether one of the candidates is a known root.
func (n *Node) hearsFrom(candidates []candidate) bool {
	for _, c := range candidates {
		if n.roots[c.id] != nil {
			return true
		}
	}
	return false
}

// sendToChildren sends the total to the children. others is the sum of all
// other daemons.
func (t *tick) sendToChildren(others State) {
	n := t.node
	if len(n.children) == 0 {
		return
	}
	others = others.clone()
	others.Add(t.own.State)
	m, contents := t.summary(KindTotal, others)
	m.Rollouts = t.own.RolloutsDown
	version, members := n.downward.next(t.now, t.allMembers())
	m.RosterVersion = version
	m.NeedsLevels = false
	t.addEstimates(m, n.fleet)
	t.addOrganisations(m, n.organisations.total, n.organisations.promises.down)
	common := encode(m)
	repeated := encode(&peerpb.Summary{Members: members})
	complete := encode(&peerpb.Summary{Members: n.downward.members})
	for id, c := range n.children {
		included := c.sequence
		if c.withdrawn {
			included = 0
		}
		personal := encode(&peerpb.Summary{IncludedSequence: included})
		roster := repeated
		if !c.welcomed {
			roster = complete
		}
		t.send(id, KindTotal, common, roster, contents.encode(c.welcomed, c.readsCompact), personal, t.levelsFor(c), t.askForDictionary(id))
		c.welcomed = true
	}
	contents.markSent()
}

// allMembers returns all daemons that the total includes.
func (t *tick) allMembers() []*peerpb.Member {
	rosters := [][]*peerpb.Member{t.subtreeRoster(), t.node.baseRoster}
	if _, root := t.node.Parent(); root {
		for _, r := range t.node.roots {
			rosters = append(rosters, r.members)
		}
	}
	return merge(rosters...)
}

// levelsFor returns the levels of the quotas if the neighbour asks for them and
// this daemon knows them.
func (t *tick) levelsFor(to *neighbour) []byte {
	if !to.needsLevels || !t.own.Synced {
		return nil
	}
	m := &peerpb.Summary{}
	for organisation, tokens := range t.own.Levels {
		m.Levels = append(m.Levels, &peerpb.Level{Organisation: organisation, Tokens: tokens})
	}
	return encode(m)
}
