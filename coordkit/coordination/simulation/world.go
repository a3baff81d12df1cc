package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// world is the simulated environment: virtual time, scheduled events, network,
// log and nodes.
type world struct {
	random *rand.Rand
	start  time.Time
	now    time.Time
	queue  eventQueue
	seq    int
	log    *fakeLog
	nodes  []*node
	// blocked[a][b] is set while messages from a to b are lost.
	blocked [][]bool
	// lossPerMille and duplicatePerMille apply to every message.
	lossPerMille      int
	duplicatePerMille int
	maxMessageDelay   time.Duration
	// lastFaultAt is when a fault was last active.
	lastFaultAt time.Time
	trace       []string
}

// event is a function scheduled at a virtual time.
type event struct {
	time time.Time
	seq  int
	run  func()
}

// eventQueue orders events by time, then by when they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].time.Equal(q[j].time) {
		return q[i].time.Before(q[j].time)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(v any) { *q = append(*q, v.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// traceLimit bounds the retained trace lines.
const traceLimit = 20_000

func newWorld(seed uint64, instances int) *world {
	start := time.Unix(1_800_000_000, 0).UTC()
	w := &world{
		random:          rand.New(rand.NewPCG(seed, 1)),
		start:           start,
		now:             start,
		lastFaultAt:     start,
		maxMessageDelay: 20 * time.Millisecond,
	}
	w.log = newFakeLog(w)
	for range instances {
		w.blocked = append(w.blocked, make([]bool, instances))
	}
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{time: w.now.Add(d), seq: w.seq, run: f})
}

// runUntil runs the events up to the virtual time t.
func (w *world) runUntil(t time.Time) {
	for len(w.queue) > 0 && !w.queue[0].time.After(t) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.time
		e.run()
	}
	w.now = t
}

func (w *world) tracef(format string, args ...any) {
	if len(w.trace) >= traceLimit {
		w.trace = append(w.trace[:0], w.trace[traceLimit/2:]...)
	}
	line := fmt.Sprintf("%9.3f ", w.now.Sub(w.start).Seconds()) + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, line)
}

func (w *world) randomChance(perMille int) bool { return w.random.IntN(1000) < perMille }

func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// deliver runs f on a node after the message's delay, unless the message is
// lost. Messages may be duplicated and reordered.
func (w *world) deliver(from, to *node, f func()) {
	copies := 1
	if w.randomChance(w.duplicatePerMille) {
		copies = 2
	}
	for range copies {
		lost := w.randomChance(w.lossPerMille)
		w.after(w.randomDuration(time.Millisecond, w.maxMessageDelay), func() {
			if !lost && !w.blocked[from.index][to.index] {
				to.run(f)
			}
		})
	}
}

// node is one instance; its state machines are replaced at each start.
type node struct {
	world *world
	index int
	id    instance.ID
	// incarnation counts the starts.
	incarnation int
	alive       bool
	// pausedUntil delays everything that reaches the node.
	pausedUntil time.Time
	// skew is the offset of the node's clock.
	skew    time.Duration
	drivers drivers
}

// now is the time of the node's own clock.
func (n *node) now() time.Time { return n.world.now.Add(n.skew) }

// run runs f on the node: later when the node is paused, never when it is down
// or is restarted meanwhile.
func (n *node) run(f func()) {
	if !n.alive {
		return
	}
	if n.world.now.Before(n.pausedUntil) {
		incarnation := n.incarnation
		n.world.after(n.pausedUntil.Sub(n.world.now), func() {
			if n.incarnation == incarnation {
				n.run(f)
			}
		})
		return
	}
	f()
}

// later runs f after d if this incarnation of the node is still alive.
func (n *node) later(d time.Duration, f func()) {
	incarnation := n.incarnation
	n.world.after(d, func() {
		if n.alive && n.incarnation == incarnation {
			n.run(f)
		}
	})
}

func (n *node) incarnationName() string { return fmt.Sprintf("%s@%d", n.id, n.incarnation) }

func (w *world) liveIDs() []instance.ID {
	var ids []instance.ID
	for _, n := range w.nodes {
		if n.alive {
			ids = append(ids, n.id)
		}
	}
	return ids
}

func (w *world) nodeByID(id instance.ID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
