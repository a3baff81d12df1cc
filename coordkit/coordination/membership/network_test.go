package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// tickInterval is how often each simulated process ticks its machine.
const tickInterval = 50 * time.Millisecond

// faults are what the simulated network does to heartbeats.
type faults struct {
	loss      float64
	duplicate float64
	// extraDelay is the largest random delay beside the latency.
	extraDelay time.Duration
}

// process is one simulated instance.
type process struct {
	machine     *Machine
	life        instance.Process
	domain      instance.FailureDomain
	up          bool
	pausedUntil time.Time
	// held is what arrived during a pause.
	held     []delivery
	bytes    int
	messages int
}

type delivery struct {
	at   time.Time
	rank uint64
	from instance.Process
	to   instance.ID
	data []byte
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].rank < d[j].rank
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// network runs the machines of several processes in virtual time.
type network struct {
	now       time.Time
	random    *rand.Rand
	options   Options
	processes map[instance.ID]*process
	order     []instance.ID
	list      []ListedMember
	queue     deliveries
	sent      uint64
	faults    faults
	latency   time.Duration
	// cut holds the pairs of failure domains, and cutPair those of instances,
	// between which nothing passes in that direction.
	cut     map[[2]instance.FailureDomain]bool
	cutPair map[[2]instance.ID]bool
	// onEffect sees every effect beside the heartbeats.
	onEffect func(p *process, e Effect)
	trace    []string
}

func newNetwork(seed uint64, options Options) *network {
	return &network{
		now:       time.Unix(1_700_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		options:   options,
		processes: map[instance.ID]*process{},
		latency:   time.Millisecond,
		cut:       map[[2]instance.FailureDomain]bool{},
		cutPair:   map[[2]instance.ID]bool{},
		onEffect:  func(*process, Effect) {},
	}
}

func (n *network) log(format string, args ...any) {
	at := n.now.Sub(time.Unix(1_700_000_000, 0))
	n.trace = append(n.trace, fmt.Sprintf("%8.3fs ", at.Seconds())+fmt.Sprintf(format, args...))
}

// start runs a new life of an instance.
func (n *network) start(id instance.ID, domain instance.FailureDomain, incarnation instance.Incarnation) {
	p := n.processes[id]
	if p == nil {
		p = &process{}
		n.processes[id] = p
		n.order = append(n.order, id)
	}
	options := n.options
	options.Self = Member{
		Process:       instance.Process{ID: id, Incarnation: incarnation},
		Addresses:     Addresses{Mesh: "10.0.0.1:7000", Caller: "10.0.0.1:8080", Operator: "10.0.0.1:9090"},
		FailureDomain: domain,
		Region:        instance.Region("region-of-" + domain),
		State:         Ready,
		Weight:        100,
	}
	p.life, p.domain, p.up, p.pausedUntil = options.Self.Process, domain, true, time.Time{}
	p.held = nil
	p.machine = New(options)
	n.log("start %s in %s", p.life, domain)
	n.apply(p, ListRead{Members: n.list})
}

func (n *network) apply(p *process, ev Event) {
	p.machine.Step(n.now, ev)
	n.carryOut(p)
}

func (n *network) carryOut(p *process) {
	for _, e := range p.machine.Ready() {
		if send, ok := e.(SendHeartbeat); ok {
			n.send(p, send)
			continue
		}
		n.onEffect(p, e)
	}
}

func (n *network) send(p *process, s SendHeartbeat) {
	data, err := proto.Marshal(s.Heartbeat)
	if err != nil {
		panic(err)
	}
	p.bytes += len(data)
	p.messages++
	copies := 1
	if n.random.Float64() < n.faults.duplicate {
		copies = 2
	}
	for range copies {
		if n.random.Float64() < n.faults.loss {
			continue
		}
		delay := n.latency
		if n.faults.extraDelay > 0 {
			delay += time.Duration(n.random.Int64N(int64(n.faults.extraDelay)))
		}
		n.sent++
		heap.Push(&n.queue, delivery{n.now.Add(delay), n.sent, p.life, s.To, data})
	}
}

func (n *network) deliver(d delivery) {
	to, from := n.processes[d.to], n.processes[d.from.ID]
	if to == nil || !to.up || n.cut[[2]instance.FailureDomain{from.domain, to.domain}] || n.cutPair[[2]instance.ID{d.from.ID, d.to}] {
		return
	}
	if to.pausedUntil.After(n.now) {
		to.held = append(to.held, d)
		return
	}
	h := new(memberpb.Heartbeat)
	if err := proto.Unmarshal(d.data, h); err != nil {
		panic(err)
	}
	n.apply(to, HeartbeatReceived{From: d.from, Heartbeat: h})
}

// run lets virtual time pass.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		next := n.now.Add(tickInterval)
		for len(n.queue) > 0 && !n.queue[0].at.After(next) {
			due := heap.Pop(&n.queue).(delivery)
			n.now = maxTime(n.now, due.at)
			n.deliver(due)
		}
		n.now = next
		for _, id := range n.order {
			p := n.processes[id]
			if p.up && !p.pausedUntil.After(n.now) {
				n.resume(p)
				p.machine.Tick(n.now)
				n.carryOut(p)
			}
		}
	}
}

// resume delivers what a process did not read during its pause.
func (n *network) resume(p *process) {
	held := p.held
	p.held = nil
	for _, d := range held {
		n.deliver(d)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// populate starts count instances spread over the failure domains.
func (n *network) populate(count, domains int) {
	for i := range count {
		n.list = append(n.list, ListedMember{
			ID:            instance.ID(fmt.Sprintf("instance-%03d", i)),
			MeshAddress:   "10.0.0.1:7000",
			FailureDomain: instance.FailureDomain(fmt.Sprintf("domain-%02d", i%domains)),
		})
	}
	for _, l := range n.list {
		n.start(l.ID, l.FailureDomain, 1)
	}
}

// disagreement says in what two processes differ about who lives, or returns
// an empty string when all agree with what really runs.
func (n *network) disagreement() string {
	var want []Member
	for _, id := range n.order {
		if p := n.processes[id]; p.up {
			want = append(want, p.machine.self.member)
		}
	}
	slices.SortFunc(want, func(a, b Member) int { return compareID(a.ID, b.ID) })
	for _, id := range n.order {
		p := n.processes[id]
		if !p.up {
			continue
		}
		live := p.machine.Live()
		for i := range max(len(live), len(want)) {
			if i >= len(live) || i >= len(want) || live[i] != want[i] {
				return fmt.Sprintf("%s sees %d live of %d, first difference at %d", p.life, len(live), len(want), i)
			}
		}
	}
	return ""
}

func compareID(a, b instance.ID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
