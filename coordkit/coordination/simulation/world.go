package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// world holds the virtual time, the pending events and the faults.
type world struct {
	random *rand.Rand
	start  time.Time
	now    time.Time
	queue  eventQueue
	seq    int
	log    *fakeLog
	nodes  []*node
	// cut[a][b] is set while messages from a to b are lost.
	cut [][]bool
	// lossPerMille and duplicatePerMille hold for every message.
	lossPerMille      int
	duplicatePerMille int
	slowestMessage    time.Duration
	// disturbed is when a fault was last active.
	disturbed time.Time
	trace     []string
}

// event is one thing that happens at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue orders events by time, then by when they were planned.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
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

// traceLimit bounds the trace lines that are kept.
const traceLimit = 20_000

func newWorld(seed uint64, instances int) *world {
	start := time.Unix(1_800_000_000, 0).UTC()
	w := &world{
		random:         rand.New(rand.NewPCG(seed, 1)),
		start:          start,
		now:            start,
		disturbed:      start,
		slowestMessage: 20 * time.Millisecond,
	}
	w.log = newFakeLog(w)
	for range instances {
		w.cut = append(w.cut, make([]bool, instances))
	}
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: f})
}

// runUntil carries out events until the virtual time t.
func (w *world) runUntil(t time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(t) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = t
}

func (w *world) note(format string, args ...any) {
	if len(w.trace) >= traceLimit {
		w.trace = append(w.trace[:0], w.trace[traceLimit/2:]...)
	}
	line := fmt.Sprintf("%9.3f ", w.now.Sub(w.start).Seconds()) + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, line)
}

func (w *world) chance(perMille int) bool { return w.random.IntN(1000) < perMille }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// deliver runs f on a node after the message's delay, unless it is lost. A
// message may come twice and overtake others.
func (w *world) deliver(from, to *node, f func()) {
	copies := 1
	if w.chance(w.duplicatePerMille) {
		copies = 2
	}
	for range copies {
		lost := w.chance(w.lossPerMille)
		w.after(w.between(time.Millisecond, w.slowestMessage), func() {
			if !lost && !w.cut[from.number][to.number] {
				to.run(f)
			}
		})
	}
}

// node is one instance's place; its machines are replaced at each start.
type node struct {
	world  *world
	number int
	id     instance.ID
	// life counts the starts; zero means that it is down.
	life  int
	alive bool
	// pausedUntil holds everything back that reaches the node.
	pausedUntil time.Time
	// skew is how far the wall clock is off.
	skew time.Duration
	part parts
}

// now is the node's own clock.
func (n *node) now() time.Time { return n.world.now.Add(n.skew) }

// run carries out f on the node: later when it is paused, never when it died
// meanwhile.
func (n *node) run(f func()) {
	if !n.alive {
		return
	}
	if n.world.now.Before(n.pausedUntil) {
		life := n.life
		n.world.after(n.pausedUntil.Sub(n.world.now), func() {
			if n.life == life {
				n.run(f)
			}
		})
		return
	}
	f()
}

// later carries out f on this life of the node after d.
func (n *node) later(d time.Duration, f func()) {
	life := n.life
	n.world.after(d, func() {
		if n.alive && n.life == life {
			n.run(f)
		}
	})
}

func (n *node) lifeName() string { return fmt.Sprintf("%s@%d", n.id, n.life) }

func (w *world) liveIDs() []instance.ID {
	var ids []instance.ID
	for _, n := range w.nodes {
		if n.alive {
			ids = append(ids, n.id)
		}
	}
	return ids
}

func (w *world) byID(id instance.ID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
