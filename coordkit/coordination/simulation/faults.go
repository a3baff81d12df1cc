package simulation

import (
	"time"
)

// fault is one kind of disturbance: it begins, and ends after a while.
type fault struct {
	name    string
	longest time.Duration
	begin   func(r *Run) (end func())
}

// faults are chosen at random; several may be active at once.
var faults = []fault{
	{"kill", 10 * time.Second, killNode},
	{"pause", 8 * time.Second, pauseNode},
	{"one-way partition", 10 * time.Second, cutOneWay},
	{"partition", 10 * time.Second, cutBothWays},
	{"log down", 10 * time.Second, func(r *Run) func() {
		r.world.log.down = true
		return func() { r.world.log.down = false }
	}},
	{"log slow", 10 * time.Second, func(r *Run) func() {
		r.world.log.slow = true
		return func() { r.world.log.slow = false }
	}},
	{"log answers lost", 10 * time.Second, func(r *Run) func() {
		r.world.log.answersLostPerMille, r.world.log.requestsLostPerMille = 300, 200
		return func() { r.world.log.answersLostPerMille, r.world.log.requestsLostPerMille = 0, 0 }
	}},
	{"log lost", time.Second, loseLog},
	{"messages lost and late", 10 * time.Second, func(r *Run) func() {
		w := r.world
		w.lossPerMille, w.duplicatePerMille, w.slowestMessage = 200, 200, time.Second
		return func() { w.lossPerMille, w.duplicatePerMille, w.slowestMessage = 0, 0, 20*time.Millisecond }
	}},
	{"owners disagree", 10 * time.Second, func(r *Run) func() {
		r.moveOwners(false)
		return func() { r.moveOwners(true) }
	}},
	{"owners move", time.Second, func(r *Run) func() {
		r.moveOwners(true)
		return func() {}
	}},
}

// planFaults lets faults begin until faultTime; all have ended a while later.
func (r *Run) planFaults() {
	w := r.world
	for at := 5 * time.Second; at < faultTime; at += w.between(500*time.Millisecond, 8*time.Second) {
		f := faults[w.random.IntN(len(faults))]
		length := min(w.between(100*time.Millisecond, f.longest), faultTime-at+time.Second)
		w.after(at, func() {
			end := f.begin(r)
			if end == nil {
				return
			}
			w.note("fault begins: %s", f.name)
			w.disturbed = w.now.Add(length)
			w.after(length, func() {
				w.note("fault ends: %s", f.name)
				w.disturbed = w.now
				end()
			})
		})
	}
}

func killNode(r *Run) func() {
	n := r.anyNode()
	alive := 0
	for _, m := range r.world.nodes {
		if m.alive {
			alive++
		}
	}
	if !n.alive || alive <= 2 {
		return nil
	}
	n.alive = false
	r.world.note("%s is killed", n.lifeName())
	return func() { r.restart(n) }
}

// restart starts a killed node, but not while the log was just lost.
func (r *Run) restart(n *node) {
	if wait := restartPause - r.world.now.Sub(r.lostAt); !r.lostAt.IsZero() && wait > 0 {
		r.world.after(wait, func() { r.restart(n) })
		return
	}
	r.world.disturbed = r.world.now
	r.startNode(n)
}

func pauseNode(r *Run) func() {
	n := r.anyNode()
	length := r.world.between(500*time.Millisecond, 8*time.Second)
	n.pausedUntil = r.world.now.Add(length)
	r.world.note("%s is paused for %s", n.lifeName(), length)
	return func() { r.world.disturbed = n.pausedUntil }
}

func cutOneWay(r *Run) func() {
	a, b := r.world.random.IntN(instances), r.world.random.IntN(instances)
	r.world.cut[a][b] = a != b
	r.world.note("cut from d%d to d%d", a, b)
	return func() { r.world.cut[a][b] = false }
}

func cutBothWays(r *Run) func() {
	alone := r.world.random.IntN(instances)
	set := func(v bool) {
		for i := range instances {
			if i != alone {
				r.world.cut[alone][i], r.world.cut[i][alone] = v, v
			}
		}
	}
	set(true)
	r.world.note("d%d is cut off", alone)
	return func() { set(false) }
}

// loseLog empties the log, in some runs and not while it is being reopened.
func loseLog(r *Run) func() {
	if r.world.log.losses >= r.maxLoses || !r.lostAt.IsZero() && r.world.now.Sub(r.lostAt) < restartPause {
		return nil
	}
	r.lostAt = r.world.now
	r.world.log.lose()
	return func() {}
}

// moveOwners gives every partition a new owner; unless all agree, each node
// sees another one.
func (r *Run) moveOwners(agree bool) {
	for p := range partitions {
		owner := r.world.random.IntN(instances)
		for i := range r.owners {
			if !agree {
				owner = r.world.random.IntN(instances)
			}
			r.owners[i][p] = owner
		}
	}
}
