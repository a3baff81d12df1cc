package poolowner

import (
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// decisionRing keeps the latest decisions.
type decisionRing struct {
	ring []scheduling.Decision
	next int
	size int
}

func newDecisionRing(limit int) decisionRing {
	return decisionRing{ring: make([]scheduling.Decision, limit)}
}

func (d *decisionRing) add(x scheduling.Decision) {
	d.ring[d.next] = x
	d.next = (d.next + 1) % len(d.ring)
	d.size = min(d.size+1, len(d.ring))
}

// each calls f with the kept decisions, oldest first.
func (d *decisionRing) each(f func(scheduling.Decision)) {
	start := (d.next - d.size + len(d.ring)) % len(d.ring)
	for i := range d.size {
		f(d.ring[(start+i)%len(d.ring)])
	}
}

// Decisions returns the latest decisions, oldest first.
func (o *Owner) Decisions() []scheduling.Decision {
	all := make([]scheduling.Decision, 0, o.decisions.size)
	o.decisions.each(func(d scheduling.Decision) { all = append(all, d) })
	return all
}

// Explain returns the kept decisions on one request, oldest first; for a
// request that still waits the last one says what it waits for.
func (o *Owner) Explain(id structs.RequestID) []scheduling.Decision {
	var found []scheduling.Decision
	o.decisions.each(func(d scheduling.Decision) {
		if d.Request == id {
			found = append(found, d)
		}
	})
	if r, ok := o.requests[id]; ok && r.phase == phaseWaiting {
		found = append(found, o.explainWaiting(r))
	}
	return found
}

func (o *Owner) explainWaiting(r *request) scheduling.Decision {
	d := scheduling.Decision{At: o.now, Request: r.spec.ID, Kind: scheduling.DecisionWaiting}
	if len(o.byTarget[r.spec.Target]) == 0 {
		d.Reason = structs.ReasonNoEndpoint
	}
	o.choose(r, &d)
	d.QueuePlace = o.placeInQueue(r)
	return d
}
