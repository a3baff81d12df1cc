package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/placement"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// decisionRing keeps the latest decisions. Placements are kept as the nodes
// they saw, in memory that is used again, and explained when asked for.
type decisionRing struct {
	ring []decisionRecord
	next int
	size int
}

type decisionRecord struct {
	decision scheduling.Decision
	work     placement.Work
	nodes    []placement.Node
}

func newDecisionRing(limit int) decisionRing {
	return decisionRing{ring: make([]decisionRecord, limit)}
}

func (d *decisionRing) slot() *decisionRecord {
	r := &d.ring[d.next]
	d.next = (d.next + 1) % len(d.ring)
	d.size = min(d.size+1, len(d.ring))
	r.nodes = r.nodes[:0]
	return r
}

func (d *decisionRing) add(x scheduling.Decision) { d.slot().decision = x }

func (d *decisionRing) placed(
	at time.Time, id structs.RequestID, chosen structs.EndpointName, w placement.Work, nodes []placement.Node,
) {
	r := d.slot()
	r.decision = scheduling.Decision{At: at, Request: id, Kind: scheduling.DecisionPlaced, Chosen: chosen}
	r.work = w
	r.nodes = append(r.nodes, nodes...)
}

// each calls f with the kept decisions, oldest first.
func (d *decisionRing) each(f func(*decisionRecord)) {
	start := (d.next - d.size + len(d.ring)) % len(d.ring)
	for i := range d.size {
		f(&d.ring[(start+i)%len(d.ring)])
	}
}

func (o *Owner) explainRecord(r *decisionRecord) scheduling.Decision {
	d := r.decision
	if len(r.nodes) > 0 {
		d.Candidates = o.policy.Explain(&r.work, r.nodes)
	}
	return d
}

// Decisions returns the latest decisions, oldest first.
func (o *Owner) Decisions() []scheduling.Decision {
	all := make([]scheduling.Decision, 0, o.decisions.size)
	o.decisions.each(func(r *decisionRecord) { all = append(all, o.explainRecord(r)) })
	return all
}

// Explain returns the kept decisions on one request, oldest first; for a
// request that still waits the last one says what it waits for.
func (o *Owner) Explain(id structs.RequestID) []scheduling.Decision {
	var found []scheduling.Decision
	o.decisions.each(func(r *decisionRecord) {
		if r.decision.Request == id {
			found = append(found, o.explainRecord(r))
		}
	})
	if r, ok := o.requests[id]; ok && r.endpoint == nil {
		found = append(found, o.explainWaiting(r))
	}
	return found
}

func (o *Owner) explainWaiting(r *request) scheduling.Decision {
	d := scheduling.Decision{At: o.now, Request: r.spec.ID, Kind: scheduling.DecisionWaiting}
	switch {
	case r.notBefore.After(o.now):
		d.Reason = structs.ReasonRetryBudget
	case o.targets[r.spec.Target] == nil:
		d.Reason = structs.ReasonNoEndpoint
	}
	d.Candidates = o.explainCandidates(r)
	d.QueuePosition = o.placeInQueue(r)
	return d
}
