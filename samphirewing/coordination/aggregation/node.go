package aggregation

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/peers"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// Kind is the kind of a message.
type Kind int8

// The kinds of messages.
const (
	// KindReport goes to the parent: the sum of the sender and its children.
	KindReport Kind = iota
	// KindGroup goes to other roots: the sum of the sender's group.
	KindGroup
	// KindTotal goes to children: the sum of all daemons.
	KindTotal
)

const (
	// MinInterval is the minimum time between two messages to the same daemon.
	MinInterval = 50 * time.Millisecond
	// messagesPerSecond bounds the messages that a daemon sends or receives.
	messagesPerSecond = 300
	// loadTTL is how long the sum of a silent daemon counts.
	loadTTL = 500 * time.Millisecond
	// baseTTL is how long the parent's last total counts. It leaves time to find
	// another parent.
	baseTTL = 2 * loadTTL
	// rosterInterval is how often the roster is repeated without changes.
	rosterInterval = time.Second
	// searchInterval is the time between attempts with further candidates of a
	// group whose root is not known.
	searchInterval = 300 * time.Millisecond
	// searchedAtOnce is the number of candidates of such a group tried at a time.
	searchedAtOnce = 2
	// redirectTTL is how long a daemon named by another one as its parent is
	// tried.
	redirectTTL = time.Second
	// sumsPerSecondOfAll is the number of daemons divided by the time between two sums
	// in a large deployment.
	sumsPerSecondOfAll = 2500
	// divideInterval is how often the daemons are divided into groups.
	divideInterval = 250 * time.Millisecond
	// hopDelay is the time in which a busy daemon processes a message.
	hopDelay = 50 * time.Millisecond
	// passageAllowance is added to the age of a read at each of several levels.
	passageAllowance = hopDelay / 2
	// sentHistory is the number of own reports kept, to be subtracted from the
	// totals that include them.
	sentHistory = 32
)

// Outgoing is an encoded message to another daemon.
type Outgoing struct {
	To   instance.ID
	Kind Kind
	Body []byte
}

// Own is this daemon's own contribution.
type Own struct {
	State State
	Flags peers.State
	// Uses holds the tokens admitted since the start, and Levels the remaining
	// quotas, keyed by the hash of the organisation's name.
	Uses   map[uint32]uint64
	Levels map[uint32]float64
	// Synced is set if the levels are known.
	Synced bool
	// Estimates is what this daemon has observed of endpoints.
	Estimates Estimates
	// Positions holds how far this daemon has read each topic, in the latest epoch of
	// the store's offsets that it knows of.
	Positions  map[string]Position
	StoreEpoch uint64
	// Evidence is what is new, or repeated, about prompt parts that crash
	// endpoints; nil if there is nothing.
	Evidence *peerpb.Evidence
	// Limits is what is new, or repeated, about the rate limits of endpoints; nil if
	// there is nothing.
	Limits *peerpb.EndpointLimits
	// Organisations is the use by organisation of this daemon's requests, Promises what
	// is new of the times at which refused callers are to come back.
	Organisations Organisations
	Promises      []Promise
	// RolloutsUp is what is new, or repeated, about rollouts for the parent and the
	// other roots, RolloutsDown for the children; nil if there is nothing.
	RolloutsUp, RolloutsDown *peerpb.Rollouts
	// WantedTopics has the topics whose listing this daemon asks other daemons for.
	WantedTopics []string
}

// Position is how far a topic has been read.
type Position struct {
	// Next is the offset after the last record read.
	Next int64
	// Connected is set while the topic can be read.
	Connected bool
	// ReadAt is when the topic was last read from the store, by this daemon or by
	// the one from which it has the records. Zero if unknown.
	ReadAt time.Time
}

// Update is what a message tells about other daemons.
type Update struct {
	// View is the sum of all other daemons, if the message brought a new one.
	View *State
	// Fleet is the sum of the estimates of all daemons, if the message brought it.
	Fleet Estimates
	Uses  []MemberUses
	// UseDelay is the time after which all daemons know of a use.
	UseDelay time.Duration
	// Evidence is the sender's evidence of prompt parts that crash endpoints, or
	// nil. The recipient passes on what is new.
	Evidence *peerpb.Evidence
	// Limits is what the sender knows of the rate limits of endpoints, or nil.
	Limits *peerpb.EndpointLimits
	// Rollouts is what the sender knows of rollouts, or nil; FromChild is set if it
	// reports to this daemon.
	Rollouts  *peerpb.Rollouts
	FromChild bool
	// WantedTopics has the topics whose listing the sender asks for.
	WantedTopics []string
	// Forward is set if a new total came that this daemon's children wait for. The
	// next Tick should not wait for the interval.
	Forward bool
	// Levels is set if this daemon asked for the levels of the quotas; From is
	// the daemon that answered.
	Levels map[uint32]float64
	From   instance.Process
	// Organisations is the sum of the uses by organisation of all other daemons, or
	// nil if the message brought none.
	Organisations Organisations
	// Promises are new ones of other daemons.
	Promises []Promise
	// Appeared lists the daemons that were unresponsive or have a new
	// incarnation.
	Appeared []instance.Process
}

// Options configures a Node.
type Options struct {
	Self   instance.Process
	Record peers.Record
	// Table holds the known peers. The node records in it which of them are
	// responsive.
	Table *peers.Table
}

// Node is one daemon's part in the exchange. It is not safe for concurrent use.
type Node struct {
	options  Options
	sequence uint64
	synced   bool
	parent   parentChoice
	// sent holds the recent reports to the parent.
	sent map[uint64]State
	// base is the sum of the daemons outside the subtree, from the parent's last
	// total, received at baseAt.
	base       State
	baseAt     time.Time
	baseRoster []*peerpb.Member
	// parentInterval is the interval between the parent's totals.
	parentInterval time.Duration
	children       map[instance.ID]*neighbour
	roots          map[instance.ID]*neighbour
	searches       map[groupKey]*search
	// misdirected holds the roots that took this daemon for one, and redirects
	// the daemons to which other roots were redirected, until when.
	misdirected map[instance.ID]bool
	redirects   map[instance.ID]time.Time
	// positions holds the highest offset of each topic that any daemon has read,
	// and whether and when the parent has read the topic.
	positions  map[string]Position
	storeEpoch uint64
	// groups and ownGroup are the division at dividedAt.
	groups      map[groupKey][]candidate
	ownGroup    groupKey
	dividedAt   time.Time
	uses        useTable
	reconnected map[MemberKey]bool
	// upward is the roster of the subtree, downward that of all daemons.
	upward, downward roster
	rosters          rosterVersions
	// dictionary is this daemon's own, dictionaries those of the neighbours.
	dictionary   *dictionary
	dictionaries map[instance.ID]*receivedDictionary
	// parentReadsCompact is set if the parent understands compact messages.
	parentReadsCompact bool
	// superseded is a former parent that has not been told so.
	superseded instance.ID
	// reportedTo is the parent that has received the complete uses and roster.
	reportedTo instance.ID
	// fleet is the sum of the estimates of all daemons, and estimatesSent when
	// estimates were last sent.
	fleet         Estimates
	estimatesSent time.Time
	organisations organisationUses
	// known is the number of daemons at the last division.
	known int
	// groupsSentAt and totalSentAt are when the sums were last sent to other roots
	// and to children. baseChanged is set once a newer total came from the parent.
	groupsSentAt, totalSentAt time.Time
	baseChanged               bool
	// urgent is set in a tick with news of crashes, limits or rollouts, which are sent
	// in a fixed number of ticks, and when uses by organisation are due.
	urgent bool
	// fanOut is the number of messages of the last tick.
	fanOut int
}

// neighbour is a child or another root.
type neighbour struct {
	process instance.Process
	state   State
	// estimates are those of the neighbour's last message that had any.
	estimates Estimates
	// organisations are those of the neighbour's last message that had any.
	organisations Organisations
	sequence      uint64
	heardAt       time.Time
	// withdrawn is set once a child has another parent.
	withdrawn bool
	// members is the neighbour's last roster.
	members []*peerpb.Member
	// welcomed is set once the complete uses were sent; needsLevels is set while
	// the neighbour asks for levels.
	welcomed    bool
	needsLevels bool
	// readsCompact is set if the neighbour understands compact messages.
	readsCompact bool
}

// search looks for the root of a group.
type search struct {
	next    int
	lastTry time.Time
}

// New returns a node without neighbours.
func New(o Options) *Node {
	return &Node{
		options: o, parent: newParentChoice(), sent: map[uint64]State{}, base: NewState(),
		children: map[instance.ID]*neighbour{}, roots: map[instance.ID]*neighbour{}, searches: map[groupKey]*search{},
		positions: map[string]Position{}, misdirected: map[instance.ID]bool{}, redirects: map[instance.ID]time.Time{},
		uses: newUseTable(), reconnected: map[MemberKey]bool{}, rosters: rosterVersions{},
		dictionary: newDictionary(1), dictionaries: map[instance.ID]*receivedDictionary{},
	}
}

// Parent returns the daemon to which this one reports, and whether it is a root
// and reports to none.
func (n *Node) Parent() (parent instance.ID, root bool) {
	return n.parent.current, n.parent.current == n.options.Self.ID
}

// Position returns how far any daemon has read a topic, whether this daemon's
// parent reads it and passes its records on, and when the parent was last known
// to have read it.
func (n *Node) Position(now time.Time, topic string) Position {
	p := n.positions[topic]
	_, root := n.Parent()
	p.Connected = p.Connected && !root && n.parent.current != "" && now.Sub(n.parent.heardAt) <= silenceLimit
	return p
}

// StoreEpoch returns the latest epoch of the store's offsets that any daemon knows of.
func (n *Node) StoreEpoch() uint64 { return n.storeEpoch }

// beginStoreEpoch forgets the positions of an earlier epoch.
func (n *Node) beginStoreEpoch(epoch uint64) {
	if epoch > n.storeEpoch {
		n.storeEpoch, n.positions = epoch, map[string]Position{}
	}
}

// Children returns the daemons that report to this one.
func (n *Node) Children() []instance.ID {
	var all []instance.ID
	for id, c := range n.children {
		if !c.withdrawn {
			all = append(all, id)
		}
	}
	return all
}

// Neighbours returns the number of daemons that report to this one, and of the
// other roots heard from.
func (n *Node) Neighbours() (children, roots int) { return len(n.children), len(n.roots) }

// ViewAge returns the age of the oldest part of the view: the parent's total,
// or the sums of the other roots. Without a total it is the time for which one
// counts, without other roots zero.
func (n *Node) ViewAge(now time.Time) (age time.Duration) {
	if _, root := n.Parent(); !root {
		if n.baseAt.IsZero() {
			return baseTTL
		}
		return now.Sub(n.baseAt)
	}
	for _, r := range n.roots {
		age = max(age, now.Sub(r.heardAt))
	}
	return age
}

// Interval returns the time until the next Tick.
func (n *Node) Interval() time.Duration {
	interval := max(MinInterval, time.Duration(n.fanOut)*time.Second/messagesPerSecond)
	if sums := n.SumInterval(); sums > MinInterval && interval <= sums {
		// Most messages are sums, which are not sent in each tick.
		interval = MinInterval
	}
	if _, root := n.Parent(); !root {
		interval = max(interval, n.parentInterval)
	}
	return interval
}

// useDelay returns the time after which all daemons know of a use.
func (n *Node) useDelay() time.Duration {
	report, sum := n.Interval()+hopDelay, max(n.Interval(), n.SumInterval())+hopDelay
	if _, root := n.Parent(); root && len(n.children) == 0 {
		return sum
	}
	depth := time.Duration(max(1, n.depth()))
	// Up to the root, to another root, to its children, and on from there at once.
	return depth*report + 2*sum + (depth-1)*hopDelay
}

// depth returns the number of levels below the root of this daemon's group.
func (n *Node) depth() int { return treeDepth(len(n.groups[n.ownGroup]), childrenIn(n.known)) }

// SumInterval returns the time between two sums sent to other roots or to children.
// They contain all endpoints and the uses of all daemons, so that with the same
// interval everywhere the bytes would grow with the square of the deployment.
func (n *Node) SumInterval() time.Duration {
	return max(MinInterval, time.Duration(n.known)*time.Second/sumsPerSecondOfAll)
}

// isDue reports whether sums last sent at a time should be sent again. Ticks are not
// exact, so half a tick earlier is due too.
func (n *Node) isDue(now, sentAt time.Time) bool {
	return n.urgent || now.Sub(sentAt) >= n.SumInterval()-MinInterval/2
}

// totalDue reports whether to send the total to the children. Daemons below the root
// pass on each total of their parent at once; children would take them for lost if
// they waited long for one.
func (n *Node) totalDue(now time.Time) bool {
	if _, root := n.Parent(); root {
		return n.isDue(now, n.totalSentAt)
	}
	return n.urgent || n.baseChanged || now.Sub(n.totalSentAt) >= n.SumInterval()*3/2
}

// Tick returns the messages to send now and the sum of all other daemons.
func (n *Node) Tick(now time.Time, own Own) ([]Outgoing, State) {
	n.expire(now)
	n.renewDictionary()
	n.beginStoreEpoch(own.StoreEpoch)
	n.urgent = own.Evidence != nil || own.Limits != nil || own.RolloutsUp != nil || own.RolloutsDown != nil
	n.synced = own.Synced
	n.sequence++
	n.uses.put(now, MemberUses{Member: KeyOf(n.options.Self), Synced: own.Synced, Tokens: own.Uses}, true)
	others := n.childSum()
	t := &tick{node: n, now: now, own: own, subtree: others.clone()}
	t.subtree.Add(own.State)
	if now.Sub(n.dividedAt) >= divideInterval {
		n.groups, n.ownGroup = divide(n.options.Record, own.Flags.Leaving, n.options.Table.Reachable(now))
		n.dividedAt = now
		n.forgetDictionaries()
		n.known = 0
		for _, candidates := range n.groups {
			n.known += len(candidates)
		}
	}
	t.withdraw(n.superseded)
	n.superseded = ""
	t.withdraw(n.parent.update(now, n.options.Self.ID, n.groups[n.ownGroup], childrenIn(n.known)))
	if now.Sub(n.estimatesSent) >= estimatesInterval {
		n.estimatesSent = now
		t.estimates = t.subtreeEstimates()
		t.updateFleet(t.subtreeEstimates())
	}
	t.prepareOrganisations()
	n.urgent = n.urgent || t.organisations != nil
	if _, root := n.Parent(); root {
		for _, r := range n.roots {
			others.Add(r.state)
		}
		if n.isDue(now, n.groupsSentAt) {
			n.groupsSentAt = now
			t.sendToRoots(n.groups, n.ownGroup)
			n.organisations.promises.sentUp()
		}
	} else {
		others.Add(n.base)
		t.reportToParent()
		n.organisations.promises.sentUp()
	}
	t.sendProbes()
	if n.totalDue(now) {
		n.totalSentAt, n.baseChanged = now, false
		t.sendToChildren(others)
		n.organisations.promises.sentDown()
	}
	n.uses.expire(now)
	n.fanOut = len(t.out)
	return t.out, others
}

// expire forgets the neighbours that are silent.
func (n *Node) expire(now time.Time) {
	for id, c := range n.children {
		if now.Sub(c.heardAt) > loadTTL {
			delete(n.children, id)
			if !c.withdrawn {
				n.options.Table.Suspect(id)
			}
		}
	}
	for id, r := range n.roots {
		if now.Sub(r.heardAt) > loadTTL {
			delete(n.roots, id)
		}
	}
	if !n.baseAt.IsZero() && now.Sub(n.baseAt) > baseTTL {
		n.base, n.baseRoster, n.baseAt = NewState(), nil, time.Time{}
	}
}

func (n *Node) childSum() State {
	sum := NewState()
	for _, c := range n.children {
		if !c.withdrawn {
			sum.Add(c.state)
		}
	}
	return sum
}

// Receive applies a message. Malformed messages return an error.
func (n *Node) Receive(now time.Time, from instance.Process, kind Kind, body []byte) (Update, error) {
	m := &peerpb.Summary{}
	if err := proto.Unmarshal(body, m); err != nil {
		return Update{}, err
	}
	update := Update{From: from, UseDelay: n.useDelay(), Evidence: m.GetEvidence(), Limits: m.GetLimits(), Rollouts: m.GetRollouts(), FromChild: kind == KindReport, WantedTopics: m.GetFleet().GetWantedTopics()}
	update.Promises = n.organisations.receivePromises(now, kind, m)
	expanded := n.expand(from, m)
	n.observe(now, from, m, &update)
	n.observePositions(now, m, kind == KindTotal && from.ID == n.parent.current)
	switch kind {
	case KindReport:
		n.receiveReport(now, from, m, expanded)
	case KindGroup:
		n.receiveGroup(now, from, m, expanded)
	case KindTotal:
		if !n.receiveTotal(now, from, m, expanded, &update) {
			return update, nil
		}
	}
	for _, row := range m.GetUses() {
		uses := decodeUses(row)
		if uses.Member == KeyOf(n.options.Self) {
			continue
		}
		if kind == KindReport {
			n.uses.putReported(now, uses)
		} else {
			inSubtree := false
			if kind == KindTotal {
				if uses, inSubtree = n.uses.newerThanReported(now, uses); inSubtree && len(uses.Tokens) == 0 {
					continue
				}
			}
			n.uses.put(now, uses, inSubtree)
		}
		uses.Reconnected = n.reconnected[uses.Member]
		delete(n.reconnected, uses.Member)
		update.Uses = append(update.Uses, uses)
	}
	if len(m.GetLevels()) > 0 {
		update.Levels = map[uint32]float64{}
		for _, l := range m.GetLevels() {
			update.Levels[l.GetOrganisation()] = l.GetTokens()
		}
	}
	return update, nil
}

// observe records the sender as responsive. The daemons in its roster are
// recorded with the neighbour that the sender is.
func (n *Node) observe(now time.Time, from instance.Process, m *peerpb.Summary, update *Update) {
	state := peers.State{}
	for _, member := range m.GetMembers() {
		if member.GetInstance() == string(from.ID) {
			state = peers.State{Ready: member.GetReady(), Leaving: member.GetLeaving()}
		}
	}
	if len(m.GetMembers()) == 0 {
		_, state, _ = n.options.Table.Process(now, from.ID)
	}
	n.observeProcess(now, from, state, update)
	for _, member := range m.GetMembers() {
		n.observeMember(now, member, update)
	}
	if len(m.GetMembers()) > 0 {
		n.suspectMissing(from, m.GetMembers())
		n.rosters.put(from, m.GetRosterVersion(), m.GetMembers())
		return
	}
	for _, member := range n.rosters.get(from, m.GetRosterVersion()) {
		n.observeMember(now, member, update)
	}
}

// suspectMissing marks the daemons that are missing from the parent's new
// roster, so that callers are not directed to them.
func (n *Node) suspectMissing(from instance.Process, members []*peerpb.Member) {
	if from.ID != n.parent.current {
		return
	}
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.GetInstance()] = true
	}
	for _, m := range n.baseRoster {
		if !present[m.GetInstance()] {
			n.options.Table.Suspect(instance.ID(m.GetInstance()))
		}
	}
}

func (n *Node) observeMember(now time.Time, m *peerpb.Member, update *Update) {
	process := instance.Process{ID: instance.ID(m.GetInstance()), Incarnation: instance.Incarnation(m.GetIncarnation())}
	if known, _, responsive := n.options.Table.Process(now, process.ID); responsive && known.Incarnation > process.Incarnation {
		return
	}
	n.observeProcess(now, process, peers.State{Ready: m.GetReady(), Leaving: m.GetLeaving()}, update)
}

func (n *Node) observeProcess(now time.Time, p instance.Process, state peers.State, update *Update) {
	if p.ID == n.options.Self.ID {
		return
	}
	if n.options.Table.Observe(now, p, state) {
		n.reconnected[KeyOf(p)] = true
		update.Appeared = append(update.Appeared, p)
	}
}

func (n *Node) observePositions(now time.Time, m *peerpb.Summary, fromParent bool) {
	n.beginStoreEpoch(m.GetStoreEpoch())
	if m.GetStoreEpoch() < n.storeEpoch {
		// The sender does not know yet that the store was restored, so that it does
		// not relay the topics either.
		if fromParent {
			for topic, known := range n.positions {
				known.Connected = false
				n.positions[topic] = known
			}
		}
		return
	}
	for _, p := range m.GetPositions() {
		known := n.positions[p.GetTopic()]
		known.Next = max(known.Next, p.GetNext())
		if fromParent {
			known.Connected = p.GetConnected()
			known.ReadAt = now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond)
			if n.depth() > 1 {
				// Ages don't include the passage of messages, which adds up.
				known.ReadAt = known.ReadAt.Add(-passageAllowance)
			}
		}
		n.positions[p.GetTopic()] = known
	}
}

func (n *Node) receiveReport(now time.Time, from instance.Process, m *peerpb.Summary, expanded bool) {
	c := neighbourOf(n.children, from)
	if !n.update(now, c, m) {
		return
	}
	c.withdrawn = m.GetWithdrawn() || m.GetProbe()
	if m.GetWithdrawn() {
		n.uses.leaveSubtree(c.members)
	}
	if !c.withdrawn && expanded {
		c.state = decodeState(m)
	}
}

// update applies what a message tells about its sender. It returns false if the
// message is older than the last one.
func (n *Node) update(now time.Time, from *neighbour, m *peerpb.Summary) bool {
	from.heardAt = now
	if members := n.rosters.get(from.process, m.GetRosterVersion()); members != nil {
		from.members = members
	}
	if m.GetSequence() < from.sequence {
		return false
	}
	from.sequence, from.needsLevels = m.GetSequence(), m.GetNeedsLevels()
	from.readsCompact = m.GetFleet().GetReadsCompact()
	from.welcomed = from.welcomed && !m.GetFleet().GetNeedsDictionary()
	if m.GetEstimates() != nil {
		from.estimates = decodeEstimates(m.GetEstimates())
	}
	if m.GetOrganisations() != nil && !m.GetOrganisations().GetPromisesOnly() {
		from.organisations = decodeOrganisations(m.GetOrganisations())
	}
	return true
}

func (n *Node) receiveGroup(now time.Time, from instance.Process, m *peerpb.Summary, expanded bool) {
	if m.GetWithdrawn() {
		delete(n.roots, from.ID)
		if parent := instance.ID(m.GetParent()); parent != "" && parent != n.options.Self.ID {
			n.redirects[parent] = now.Add(redirectTTL)
		}
		return
	}
	if _, root := n.Parent(); !root {
		n.misdirected[from.ID] = true
	}
	r := neighbourOf(n.roots, from)
	if n.update(now, r, m) && expanded {
		r.state = decodeState(m)
	}
}

// receiveTotal applies a total if it is the parent's, and returns whether it
// is.
func (n *Node) receiveTotal(now time.Time, from instance.Process, m *peerpb.Summary, expanded bool, update *Update) bool {
	isParent, former := n.parent.heard(now, from.ID)
	if !isParent {
		return false
	}
	n.superseded = former
	if m.GetEstimates() != nil {
		n.fleet = decodeEstimates(m.GetEstimates())
		update.Fleet = n.fleet
	}
	n.organisations.receiveTotal(m, update)
	n.parentReadsCompact = m.GetFleet().GetReadsCompact()
	if m.GetFleet().GetNeedsDictionary() {
		n.reportedTo = ""
	}
	if !expanded {
		return true
	}
	if m.GetIncludedSequence() == 0 && !n.baseAt.IsZero() {
		// The total may include this daemon through its former parent.
		return true
	}
	base := decodeState(m)
	if own, found := n.sent[m.GetIncludedSequence()]; found {
		base.Subtract(own)
	}
	n.baseChanged = true
	update.Forward = len(n.children) > 0 && n.depth() > 1
	n.base, n.baseAt, n.baseRoster = base, now, n.rosters.get(from, m.GetRosterVersion())
	n.parentInterval = min(time.Duration(m.GetIntervalMs())*time.Millisecond, silenceLimit/2)
	view := base.clone()
	view.Add(n.childSum())
	update.View = &view
	return true
}

// neighbourOf returns the neighbour for a process; a new incarnation starts
// anew.
func neighbourOf(all map[instance.ID]*neighbour, p instance.Process) *neighbour {
	if found := all[p.ID]; found != nil && found.process == p {
		return found
	}
	created := &neighbour{process: p, state: NewState()}
	all[p.ID] = created
	return created
}
