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

// faults are the faults of the simulated network.
type faults struct {
	loss      float64
	duplicate float64
	// extraDelay bounds the random delay added to the latency.
	extraDelay time.Duration
}

// process is one simulated instance.
type process struct {
	machine     *Machine
	self        instance.Process
	domain      instance.FailureDomain
	up          bool
	pausedUntil time.Time
	// undelivered contains the heartbeats that arrived during a pause.
	undelivered    []delivery
	sentBytes      int
	sentHeartbeats int
}

type delivery struct {
	arrival  time.Time
	sequence uint64
	from     instance.Process
	to       instance.ID
	data     []byte
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].arrival.Equal(d[j].arrival) {
		return d[i].arrival.Before(d[j].arrival)
	}
	return d[i].sequence < d[j].sequence
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
	now           time.Time
	random        *rand.Rand
	options       Options
	processes     map[instance.ID]*process
	order         []instance.ID
	members       []ListedMember
	queue         deliveries
	deliveryCount uint64
	faults        faults
	latency       time.Duration
	// cutDomainPairs and cutInstancePairs contain the pairs of sender and
	// receiver, as failure domains and as instances, between which every
	// heartbeat is lost.
	cutDomainPairs   map[[2]instance.FailureDomain]bool
	cutInstancePairs map[[2]instance.ID]bool
	// onEffect is called with every effect but SendHeartbeat.
	onEffect func(p *process, e Effect)
	trace    []string
}

func newNetwork(seed uint64, options Options) *network {
	return &network{
		now:              time.Unix(1_700_000_000, 0),
		random:           rand.New(rand.NewPCG(seed, 1)),
		options:          options,
		processes:        map[instance.ID]*process{},
		latency:          time.Millisecond,
		cutDomainPairs:   map[[2]instance.FailureDomain]bool{},
		cutInstancePairs: map[[2]instance.ID]bool{},
		onEffect:         func(*process, Effect) {},
	}
}

func (n *network) log(format string, args ...any) {
	elapsed := n.now.Sub(time.Unix(1_700_000_000, 0))
	n.trace = append(n.trace, fmt.Sprintf("%8.3fs ", elapsed.Seconds())+fmt.Sprintf(format, args...))
}

// start starts an incarnation of an instance.
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
	p.self, p.domain, p.up, p.pausedUntil = options.Self.Process, domain, true, time.Time{}
	p.undelivered = nil
	p.machine = New(options)
	n.log("start %s in %s", p.self, domain)
	n.apply(p, ListRead{Members: n.members})
}

func (n *network) apply(p *process, ev Event) {
	p.machine.Step(n.now, ev)
	n.executeEffects(p)
}

func (n *network) executeEffects(p *process) {
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
	p.sentBytes += len(data)
	p.sentHeartbeats++
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
		n.deliveryCount++
		heap.Push(&n.queue, delivery{n.now.Add(delay), n.deliveryCount, p.self, s.To, data})
	}
}

func (n *network) deliver(d delivery) {
	to, from := n.processes[d.to], n.processes[d.from.ID]
	if to == nil || !to.up || n.cutDomainPairs[[2]instance.FailureDomain{from.domain, to.domain}] || n.cutInstancePairs[[2]instance.ID{d.from.ID, d.to}] {
		return
	}
	if to.pausedUntil.After(n.now) {
		to.undelivered = append(to.undelivered, d)
		return
	}
	h := new(memberpb.Heartbeat)
	if err := proto.Unmarshal(d.data, h); err != nil {
		panic(err)
	}
	n.apply(to, HeartbeatReceived{From: d.from, Heartbeat: h})
}

// run advances virtual time.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		next := n.now.Add(tickInterval)
		for len(n.queue) > 0 && !n.queue[0].arrival.After(next) {
			due := heap.Pop(&n.queue).(delivery)
			n.now = laterTime(n.now, due.arrival)
			n.deliver(due)
		}
		n.now = next
		for _, id := range n.order {
			p := n.processes[id]
			if p.up && !p.pausedUntil.After(n.now) {
				n.resume(p)
				p.machine.Tick(n.now)
				n.executeEffects(p)
			}
		}
	}
}

// resume delivers the heartbeats that arrived while a process was paused.
func (n *network) resume(p *process) {
	pending := p.undelivered
	p.undelivered = nil
	for _, d := range pending {
		n.deliver(d)
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// populate starts count instances spread over the failure domains.
func (n *network) populate(count, domains int) {
	for i := range count {
		n.members = append(n.members, ListedMember{
			ID:            instance.ID(fmt.Sprintf("instance-%03d", i)),
			MeshAddress:   "10.0.0.1:7000",
			FailureDomain: instance.FailureDomain(fmt.Sprintf("domain-%02d", i%domains)),
		})
	}
	for _, l := range n.members {
		n.start(l.ID, l.FailureDomain, 1)
	}
}

// disagreement describes the first process whose live members differ from the
// running processes, or returns an empty string if there is none.
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
				return fmt.Sprintf("%s sees %d live of %d, first difference at %d", p.self, len(live), len(want), i)
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
