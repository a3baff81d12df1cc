package rollout

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// writeTakeover is how long each daemon waits for those that rank before it to
	// write, and writeTakeoverMax bounds the sum, so that a verdict is written within
	// the roll-back time although the first daemons don't reach the store.
	writeTakeover    = 400 * time.Millisecond
	writeTakeoverMax = 2 * time.Second
	// writeRetry is the delay after an attempt to write.
	writeRetry = 300 * time.Millisecond
)

// writer holds the attempts to record an order's status.
type writer struct {
	wanted      State
	wantedSince time.Time
	inFlight    bool
	retryAt     time.Time
}

// Write is a status to be appended on condition that the statuses still end at At.
type Write struct {
	Service structs.PoolName
	Status  Status
	At      int64
}

// Due returns the statuses to write now. Each of them must be followed by Written.
//
// A status is written only by a daemon that has read all statuses before At and
// found no verdict among them. Of several writes at the same position one is
// executed, however late, so that there is one verdict.
func (t *Table) Due(now time.Time) (all []Write) {
	if !t.statusRead || now.Sub(t.statusReadAt) > t.settings.RollbackTime/2 {
		return nil
	}
	for _, service := range t.services() {
		r := t.rollouts[service]
		state, wanted := t.state(r), r.controller.verdict
		if r.verdictLost {
			wanted = state
			r.verdictLost = t.statuses[service] != Status{State: state, Target: r.order.Target}
		}
		if state.Final() && !r.verdictLost || t.doubtful(now, r) {
			continue
		}
		if wanted == Unknown {
			wanted = InProgress
		}
		w := &r.writer
		if wanted != w.wanted {
			w.wanted, w.wantedSince = wanted, now
		}
		turn := w.wantedSince.Add(min(time.Duration(t.rank(service))*writeTakeover, writeTakeoverMax))
		if wanted == state && !r.verdictLost || w.inFlight || now.Before(w.retryAt) || now.Before(turn) {
			continue
		}
		w.inFlight = true
		all = append(all, Write{Service: service, Status: Status{State: wanted, Target: r.order.Target}, At: t.statusNext})
	}
	return all
}

// Written records the end of an attempt to write. What it has changed is read back,
// since an answer may be lost or a write be executed late.
func (t *Table) Written(now time.Time, w Write, err error) {
	r := t.rollouts[w.Service]
	if r == nil || r.order.Target != w.Status.Target {
		return
	}
	r.writer.inFlight, r.writer.retryAt = false, now.Add(writeRetry)
	if err != nil {
		t.notify(Notice{Kind: NoticeWriteFailed, Order: r.order, State: w.Status.State, Reason: err.Error()})
	}
}
