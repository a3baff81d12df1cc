package aggregation

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/endpointlimit"
	"github.com/samphirewing/samphirewing/coordination/peers"
	"github.com/samphirewing/samphirewing/coordination/poison"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Unix(1000, 0)

const (
	simStep = 25 * time.Millisecond
	// endpoints per daemon and in all.
	simEndpoints = 160
)

// simDaemon is a node with a constant load.
type simDaemon struct {
	// cutOff is set while the daemon can't read the topic, which it last read at
	// readAt.
	cutOff      bool
	readAt      time.Time
	id          instance.ID
	index       int
	domain      instance.FailureDomain
	incarnation instance.Incarnation
	table       *peers.Table
	node        *Node
	nextTick    time.Time
	view        State
	running     int64
	used        uint64
	leaving     bool
	down        bool
	// frozenUntil is when the daemon processes messages again; partitioned
	// daemons lose all of them.
	frozenUntil time.Time
	partitioned bool
	inbox       []simMessage
	uses        map[MemberKey]uint64
	poison      *poison.Table
	limits      *endpointlimit.Table
	// organisations is the daemon's own use, others what it knows of the other
	// daemons'.
	organisations, others Organisations
	// promises are the daemon's newest, known those of all other daemons.
	promises []Promise
	known    map[retryschedule.Fingerprint]int
	sent     int
	received int
	bytes    int
	traffic  traffic
	// former is set for a daemon of the former release.
	former bool
	// usedBy holds the uses of further organisations in a loaded deployment.
	usedBy [fleetOrganisations]uint64
}

type simMessage struct {
	from instance.Process
	kind Kind
	body []byte
}

// simTopic is a topic that roots read and all others have from them.
const simTopic = "topic"

// readTopic returns how far a daemon has read the topic.
func (m *sim) readTopic(d *simDaemon) map[string]Position {
	p := d.node.Position(m.now, simTopic)
	if _, root := d.node.Parent(); root {
		p.Connected = true
		if !d.cutOff {
			d.readAt = m.now
		}
	}
	if p.ReadAt.Before(d.readAt) {
		p.ReadAt = d.readAt
	}
	return map[string]Position{simTopic: p}
}

type sim struct {
	random  *rand.Rand
	now     time.Time
	daemons []*simDaemon
	byID    map[instance.ID]*simDaemon
	// loss is the probability that a message is lost.
	loss float64
	// endpoints is set for a loaded deployment: each daemon has requests on changing
	// endpoints out of so many, for several organisations.
	endpoints int
	// stamped is set if each daemon's load includes the time.
	stamped bool
	// wanted returns the topics that a daemon asks for, onWanted is called when one is
	// asked. Both may be nil.
	wanted   func(*simDaemon) []string
	onWanted func(d, from *simDaemon, topics []string)
}

func newSim(seed uint64, daemons, domains int) *sim {
	m := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: start, byID: map[instance.ID]*simDaemon{}}
	for i := range daemons {
		d := &simDaemon{id: instance.ID(fmt.Sprintf("daemon-%03d", i)), index: i, domain: instance.FailureDomain(fmt.Sprint("domain-", i%domains))}
		m.daemons = append(m.daemons, d)
		m.byID[d.id] = d
	}
	for _, d := range m.daemons {
		m.start(d)
	}
	return m
}

func (m *sim) record(d *simDaemon) peers.Record {
	return peers.Record{
		Instance: d.id, Incarnation: d.incarnation, PeerAddress: string(d.id), CallerAddress: string(d.id),
		FailureDomain: d.domain, Capacity: 480 + 320*min(1, d.index%8/7),
	}
}

// start starts the next incarnation of a daemon, which reads the records of all
// others.
func (m *sim) start(d *simDaemon) {
	d.incarnation++
	d.down, d.leaving, d.used, d.inbox, d.usedBy = false, false, 0, nil, [fleetOrganisations]uint64{}
	d.running, d.uses, d.view = 1+int64(d.index%3), map[MemberKey]uint64{}, NewState()
	d.table = peers.New(d.id)
	d.limits = endpointlimit.New(1)
	d.poison = poison.New(func(structs.PromptPart) bool { return false })
	d.nextTick = m.now.Add(time.Duration(m.random.IntN(int(MinInterval))))
	d.node = New(Options{Self: m.process(d), Record: m.record(d), Table: d.table})
	for _, other := range m.daemons {
		if other.incarnation > 0 {
			d.table.Put(m.now, m.record(other))
			other.table.Put(m.now, m.record(d))
		}
	}
}

func (m *sim) process(d *simDaemon) instance.Process {
	return instance.Process{ID: d.id, Incarnation: d.incarnation}
}

// load is the daemon's own state: requests on two endpoints.
func (d *simDaemon) load() State {
	s := NewState()
	s.Loads[uint32(d.index%simEndpoints)] = Load{Running: d.running, PrefillUnits: 100, TokenSteps: 10}
	s.Loads[uint32((d.index*7+3)%simEndpoints)] = Load{Running: d.running}
	s.Pools["engines"] = Pool{SlotsPerSecond: 10}
	return s
}

func (m *sim) step() {
	m.now = m.now.Add(simStep)
	for _, d := range m.daemons {
		if d.down || m.now.Before(d.frozenUntil) {
			continue
		}
		for _, message := range d.inbox {
			m.receive(d, message)
		}
		d.inbox = nil
		if !m.now.Before(d.nextTick) {
			m.tick(d)
		}
	}
}

func (m *sim) receive(d *simDaemon, message simMessage) {
	d.received++
	d.bytes += len(message.body)
	d.traffic.received += len(message.body)
	if d.former {
		message.body = withoutFleet(message.body)
	}
	update, err := d.node.Receive(m.now, message.from, message.kind, message.body)
	if err != nil {
		panic(err)
	}
	for _, u := range update.Uses {
		d.uses[u.Member] = u.Tokens[1]
	}
	if update.Evidence != nil {
		d.poison.Merge(m.now, update.Evidence)
	}
	d.limits.Merge(m.now, update.Limits)
	for _, p := range update.Promises {
		if d.known == nil {
			d.known = map[retryschedule.Fingerprint]int{}
		}
		d.known[p.Fingerprint]++
	}
	if update.Organisations != nil {
		d.others = update.Organisations
	}
	if update.View != nil {
		d.view = *update.View
	}
	if m.onWanted != nil && len(update.WantedTopics) > 0 {
		m.onWanted(d, m.byID[message.from.ID], update.WantedTopics)
	}
	if update.Forward {
		d.nextTick = m.now
	}
}

func (m *sim) tick(d *simDaemon) {
	d.used += uint64(m.random.IntN(3))
	own := Own{State: d.load(), Flags: peers.State{Ready: !d.leaving, Leaving: d.leaving}, Uses: map[uint32]uint64{1: d.used}, Synced: true, Evidence: d.poison.Outgoing(m.now), Limits: d.limits.Outgoing(m.now), Positions: m.readTopic(d), Organisations: d.organisations, Promises: d.promises}
	if m.endpoints > 0 {
		m.addLoad(d, &own)
	}
	if m.stamped {
		own.State.Loads[stampKey(d)] = Load{Running: m.now.Sub(start).Milliseconds()}
	}
	if m.wanted != nil {
		own.WantedTopics = m.wanted(d)
	}
	out, others := d.node.Tick(m.now, own)
	d.promises = nil
	if _, root := d.node.Parent(); root {
		d.view = others
	}
	if others := d.node.OtherOrganisations(); others != nil {
		d.others = others
	}
	d.nextTick = m.now.Add(d.node.Interval())
	for _, o := range out {
		d.sent++
		if m.endpoints > 0 {
			d.traffic.add(o.Body)
		}
		to := m.byID[o.To]
		if to == nil || to.down || to.partitioned != d.partitioned || m.random.Float64() < m.loss {
			continue
		}
		if d.former {
			o.Body = withoutFleet(o.Body)
		}
		to.inbox = append(to.inbox, simMessage{m.process(d), o.Kind, o.Body})
	}
}

// addLoad adds requests on changing endpoints.
func (m *sim) addLoad(d *simDaemon, own *Own) {
	own.Estimates = Estimates{}
	for range fleetRunning {
		endpoint := uint32(m.random.IntN(m.endpoints)) * 2654435761
		own.State.Loads[endpoint] = Load{Running: 1, PrefillUnits: int64(m.random.IntN(300)), TokenSteps: int64(m.random.IntN(200))}
		own.Estimates[endpoint] = Estimate{Samples: 1, SlownessSum: 1.25, Outcomes: 1}
	}
	for range 2 {
		d.usedBy[m.random.IntN(fleetOrganisations)] += uint64(m.random.IntN(2000))
	}
	for i, tokens := range d.usedBy {
		own.Uses[uint32(i+2)*2654435761] = tokens
	}
}

func (m *sim) run(length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); {
		m.step()
	}
}

// checkViews compares each daemon's view with the sum of all others that it can
// reach.
func (m *sim) checkViews(t *testing.T, label string) {
	t.Helper()
	t.Log(label)
	for _, d := range m.daemons {
		if d.down {
			continue
		}
		want := NewState()
		for _, other := range m.daemons {
			if other != d && !other.down && other.partitioned == d.partitioned {
				want.Add(other.load())
			}
		}
		if !reflect.DeepEqual(d.view.Loads, want.Loads) {
			assert.DeepEqual(t, d.view.Loads, want.Loads)
		}
	}
}

// checkUses compares what each daemon knows of the others' uses. The newest
// uses may still be on their way.
func (m *sim) checkUses(t *testing.T, label string) {
	t.Helper()
	const onTheWay = 30
	for _, d := range m.daemons {
		for _, other := range m.daemons {
			if other == d || d.down || other.down {
				continue
			}
			known := d.uses[KeyOf(m.process(other))]
			assert.Assert(t, known <= other.used && known+onTheWay >= other.used, "%s: %s knows %d of %d used by %s", label, d.id, known, other.used, other.id)
		}
	}
}

func (m *sim) roots() (count int) {
	for _, d := range m.daemons {
		if _, root := d.node.Parent(); root && !d.down {
			count++
		}
	}
	return count
}

// Every daemon knows the sum of all others, at a number of messages for the
// busiest daemon that doesn't grow with their number.
func TestAllDaemonsKnowTheSumOfTheOthers(t *testing.T) {
	for _, c := range []struct{ daemons, domains, roots int }{{1, 1, 1}, {4, 3, 4}, {12, 3, 12}, {13, 3, 3}, {27, 3, 3}, {34, 4, 4}, {118, 5, 5}, {400, 15, 15}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			m := newSim(1, c.daemons, c.domains)
			m.run(3 * time.Second)
			m.checkViews(t, "converged")
			m.checkUses(t, "converged")
			assert.Equal(t, m.roots(), c.roots)
			for _, d := range m.daemons {
				d.sent, d.received, d.bytes = 0, 0, 0
			}
			const seconds = 2
			m.run(seconds * time.Second)
			busiest, bytes, total := 0, 0, 0
			for _, d := range m.daemons {
				busiest, bytes = max(busiest, (d.sent+d.received)/seconds), max(bytes, d.bytes/seconds)
				total += d.received / seconds
				age := d.node.ViewAge(m.now)
				assert.Assert(t, age <= 300*time.Millisecond, "%s has a view of age %v", d.id, age)
			}
			t.Logf("%d daemons: busiest %d messages/s and %d bytes/s received; %d messages/s in all", c.daemons, busiest, bytes, total)
			assert.Assert(t, busiest <= 3*messagesPerSecond, "%d messages/s", busiest)
		})
	}
}

// A changed load is known everywhere within a few intervals.
func TestChangeReachesAllDaemons(t *testing.T) {
	m := newSim(1, 118, 5)
	m.run(3 * time.Second)
	m.daemons[17].running += 5
	m.run(500 * time.Millisecond)
	m.checkViews(t, "after a change")
}

// The loss of a root, a whole failure domain or most daemons leaves the others
// with a correct sum.
func TestSumAfterLosses(t *testing.T) {
	losses := map[string]func(m *sim, d *simDaemon) bool{
		"root":   func(m *sim, d *simDaemon) bool { _, root := d.node.Parent(); return root && d.domain == "domain-2" },
		"roots":  func(m *sim, d *simDaemon) bool { _, root := d.node.Parent(); return root },
		"domain": func(m *sim, d *simDaemon) bool { return d.domain == "domain-1" },
		"herd":   func(m *sim, d *simDaemon) bool { return m.random.Float64() < 0.55 },
	}
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			m := newSim(2, 60, 4)
			m.run(3 * time.Second)
			for _, d := range m.daemons {
				d.down = lost(m, d)
			}
			m.run(3 * time.Second)
			m.checkViews(t, name)
			for _, d := range m.daemons {
				if d.down {
					m.start(d)
				}
			}
			m.run(6 * time.Second)
			m.checkViews(t, name+", restarted")
			m.checkUses(t, name+", restarted")
		})
	}
}

// While a root is frozen, the others replace it. When it wakes up, it and its
// successor act at the same time: no load may then count twice for longer than
// a moment.
func TestFrozenRootIsReplacedAndReturns(t *testing.T) {
	m := newSim(3, 30, 3)
	m.run(3 * time.Second)
	var frozen *simDaemon
	for _, d := range m.daemons {
		if _, root := d.node.Parent(); root {
			frozen = d
		}
	}
	frozen.frozenUntil = m.now.Add(3 * time.Second)
	m.run(3 * time.Second)
	assert.Equal(t, m.roots(), 4, "the frozen root and its successor")
	m.run(2 * time.Second)
	m.checkViews(t, "after the return")
	m.run(10 * time.Second)
	assert.Equal(t, m.roots(), 3)
	m.checkViews(t, "after the hand-over")
	m.checkUses(t, "after the hand-over")
}

// A partitioned failure domain knows its own sum, and the others theirs.
func TestPartitionedDomain(t *testing.T) {
	m := newSim(4, 60, 4)
	m.run(3 * time.Second)
	for _, d := range m.daemons {
		d.partitioned = d.domain == "domain-3"
	}
	m.run(3 * time.Second)
	m.checkViews(t, "partitioned")
	for _, d := range m.daemons {
		d.partitioned = false
	}
	m.run(12 * time.Second)
	m.checkViews(t, "reconnected")
	m.checkUses(t, "reconnected")
}

// A daemon that restarts while another one is stopping learns of it, although
// the record of the latter is withdrawn: it still divides quotas with others.
func TestRestartedDaemonLearnsOfStoppingOne(t *testing.T) {
	for _, daemons := range []int{4, 30} {
		m := newSim(5, daemons, 3)
		m.run(3 * time.Second)
		stopping, restarted := m.daemons[0], m.daemons[1]
		stopping.leaving = true
		for _, d := range m.daemons {
			d.table.Remove(m.now, stopping.id)
		}
		m.run(time.Second)
		restarted.down = true
		m.run(time.Second)
		m.start(restarted)
		restarted.table.Remove(m.now, stopping.id)
		m.run(2 * time.Second)
		assert.Assert(t, restarted.table.Responsive(m.now, stopping.id), "%d daemons", daemons)
	}
}

// Daemons are killed, restart, freeze, leave and are partitioned. Once the
// faults have ended, all sums and uses are correct.
func TestSumsAndUsesAfterRandomFaults(t *testing.T) {
	const chunks = 8
	for chunk := range uint64(chunks) {
		t.Run(fmt.Sprint("chunk ", chunk), func(t *testing.T) {
			t.Parallel()
			for seed := chunk; seed < 200; seed += chunks {
				runRandomFaults(t, seed)
			}
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	daemons := 13 + int(seed%8)
	if seed == 49 {
		daemons = 400
	}
	m := newSim(seed, daemons, 3+daemons/40)
	m.run(2 * time.Second)
	for range 15 {
		m.injectFault()
		m.run(time.Duration(m.random.IntN(400)) * time.Millisecond)
	}
	for _, d := range m.daemons {
		d.partitioned, d.frozenUntil = false, time.Time{}
		if d.down || d.leaving {
			m.start(d)
		}
	}
	m.run(6 * time.Second)
	label := fmt.Sprint("seed ", seed)
	m.checkViews(t, label)
	m.checkUses(t, label)
}

func (m *sim) injectFault() {
	d := m.daemons[m.random.IntN(len(m.daemons))]
	switch m.random.IntN(5) {
	case 0:
		d.down = true
	case 1:
		if d.down {
			m.start(d)
		}
	case 2:
		d.frozenUntil = m.now.Add(time.Duration(m.random.IntN(3000)) * time.Millisecond)
	case 3:
		if d.leaving {
			m.start(d)
			return
		}
		d.leaving = true
	default:
		for _, other := range m.daemons {
			if other.domain == d.domain && m.random.IntN(2) == 0 {
				other.partitioned = !other.partitioned
			}
		}
	}
}

func TestDamagedMessagesAreRejected(t *testing.T) {
	m := newSim(6, 4, 2)
	_, err := m.daemons[0].node.Receive(m.now, m.process(m.daemons[1]), KindGroup, []byte{0xff, 0xff, 0xff})
	assert.Assert(t, err != nil)
}
