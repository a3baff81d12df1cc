package simulation

import (
	"time"
)

// fault is a kind of disturbance. begin starts it and returns the function that
// ends it, or nil when it does not apply.
type fault struct {
	name        string
	maxDuration time.Duration
	begin       func(r *Run) (end func())
}

// faults are selected at random; several may be active at the same time.
var faults = []fault{
	{"kill", 10 * time.Second, killNode},
	{"pause", 8 * time.Second, pauseNode},
	{"one-way partition", 10 * time.Second, partitionOneWay},
	{"partition", 10 * time.Second, isolateNode},
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
	{"log lost", time.Second, loseLogRecords},
	{"messages lost and late", 10 * time.Second, func(r *Run) func() {
		w := r.world
		w.lossPerMille, w.duplicatePerMille, w.maxMessageDelay = 200, 200, time.Second
		return func() { w.lossPerMille, w.duplicatePerMille, w.maxMessageDelay = 0, 0, 20*time.Millisecond }
	}},
	{"owners disagree", 10 * time.Second, func(r *Run) func() {
		r.reassignOwners(false)
		return func() { r.reassignOwners(true) }
	}},
	{"owners move", time.Second, func(r *Run) func() {
		r.reassignOwners(true)
		return func() {}
	}},
}

// scheduleFaults schedules faults that start before faultPhaseDuration and end
// at most a second after it.
func (r *Run) scheduleFaults() {
	w := r.world
	for at := 5 * time.Second; at < faultPhaseDuration; at += w.randomDuration(500*time.Millisecond, 8*time.Second) {
		f := faults[w.random.IntN(len(faults))]
		length := min(w.randomDuration(100*time.Millisecond, f.maxDuration), faultPhaseDuration-at+time.Second)
		w.after(at, func() {
			end := f.begin(r)
			if end == nil {
				return
			}
			w.tracef("fault begins: %s", f.name)
			w.lastFaultAt = w.now.Add(length)
			w.after(length, func() {
				w.tracef("fault ends: %s", f.name)
				w.lastFaultAt = w.now
				end()
			})
		})
	}
}

func killNode(r *Run) func() {
	n := r.randomNode()
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
	r.world.tracef("%s is killed", n.incarnationName())
	return func() { r.restart(n) }
}

// restart starts a killed node, but not until restartDelayAfterLoss after the
// log lost its records.
func (r *Run) restart(n *node) {
	if wait := restartDelayAfterLoss - r.world.now.Sub(r.lostAt); !r.lostAt.IsZero() && wait > 0 {
		r.world.after(wait, func() { r.restart(n) })
		return
	}
	r.world.lastFaultAt = r.world.now
	r.startNode(n)
}

func pauseNode(r *Run) func() {
	n := r.randomNode()
	length := r.world.randomDuration(500*time.Millisecond, 8*time.Second)
	n.pausedUntil = r.world.now.Add(length)
	r.world.tracef("%s is paused for %s", n.incarnationName(), length)
	return func() { r.world.lastFaultAt = n.pausedUntil }
}

func partitionOneWay(r *Run) func() {
	a, b := r.world.random.IntN(instances), r.world.random.IntN(instances)
	r.world.blocked[a][b] = a != b
	r.world.tracef("cut from d%d to d%d", a, b)
	return func() { r.world.blocked[a][b] = false }
}

func isolateNode(r *Run) func() {
	isolated := r.world.random.IntN(instances)
	setBlocked := func(v bool) {
		for i := range instances {
			if i != isolated {
				r.world.blocked[isolated][i], r.world.blocked[i][isolated] = v, v
			}
		}
	}
	setBlocked(true)
	r.world.tracef("d%d is cut off", isolated)
	return func() { setBlocked(false) }
}

// loseLogRecords empties the log, at most maxLogLosses times and not while the
// stream is being reopened.
func loseLogRecords(r *Run) func() {
	if r.world.log.losses >= r.maxLogLosses || !r.lostAt.IsZero() && r.world.now.Sub(r.lostAt) < restartDelayAfterLoss {
		return nil
	}
	r.lostAt = r.world.now
	r.world.log.lose()
	return func() {}
}

// reassignOwners gives every partition a new owner; unless agree is set, each
// node sees its own choice.
func (r *Run) reassignOwners(agree bool) {
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
