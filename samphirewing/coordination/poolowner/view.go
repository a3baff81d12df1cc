package poolowner

import (
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/breaker"
	"github.com/samphirewing/samphirewing/state/structs"
)

// View is a snapshot of an owner's state, as rows for operators.
type View struct {
	Pool      structs.PoolName
	Shard     int
	At        time.Time
	Waiting   []WaitingRow
	Running   []RunningRow
	Endpoints []EndpointRow
	Totals    Totals
}

// WaitingRow is one waiting request. Position counts from 0.
type WaitingRow struct {
	ID           structs.RequestID
	Position     int
	Tier         structs.TierName
	Rank         structs.Rank
	Organisation structs.OrganisationName
	Target       structs.Target
	WorkClass    string
	Entry        instance.ID
	PromptTokens structs.Tokens
	WaitTime     time.Duration
	DeadlineIn   time.Duration
}

// RunningRow is one granted or dispatched request.
type RunningRow struct {
	ID           structs.RequestID
	Tier         structs.TierName
	Rank         structs.Rank
	Organisation structs.OrganisationName
	Target       structs.Target
	WorkClass    string
	Entry        instance.ID
	Endpoint     structs.EndpointName
	// Dispatched is set once the entry has reported the dispatch.
	Dispatched bool
	Output     structs.Tokens
	RunTime    time.Duration
	DeadlineIn time.Duration
}

// EndpointState is the state of an endpoint that decides whether it gets new
// work.
type EndpointState string

// The endpoint states. If several apply, the first one is reported.
const (
	EndpointUndeclared EndpointState = "undeclared"
	EndpointUnlisted   EndpointState = "unlisted"
	EndpointLeaving    EndpointState = "leaving"
	EndpointDrained    EndpointState = "drained"
	EndpointFailing    EndpointState = "failing"
	EndpointProbation  EndpointState = "probation"
	EndpointServing    EndpointState = "serving"
)

// EndpointRow is one endpoint.
type EndpointRow struct {
	Name           structs.EndpointName
	FailureDomain  instance.FailureDomain
	SpeedClass     string
	Targets        []structs.Target
	State          EndpointState
	Reason         string
	Running        int
	InFlightTokens structs.Tokens
	WindowTokens   structs.Tokens
	// PrefillRate and DecodeRate are in tokens per second; zero if unknown.
	PrefillRate  float64
	DecodeRate   float64
	PrefixBlocks int
}

// Totals counts requests since the owner was created.
// Invariant: Offered equals the sum of the outcome counts and the number of
// unfinished requests.
type Totals struct {
	Offered  int64
	Grants   int64
	Returned int64
	Shed     int64
	Released int64
	Done     int64
	NotRun   int64
	Failed   int64
	Unknown  int64
}

func (t *Totals) count(o structs.Outcome) {
	switch o {
	case structs.OutcomeDone:
		t.Done++
	case structs.OutcomeNotRun:
		t.NotRun++
	case structs.OutcomeFailed:
		t.Failed++
	default:
		t.Unknown++
	}
}

func (t *Totals) finished() int64 { return t.Done + t.NotRun + t.Failed + t.Unknown }

// Gauges are the sizes of an owner's queue and the states of its endpoints,
// without the individual requests.
type Gauges struct {
	Pool      structs.PoolName
	Shard     int
	Waiting   int
	Running   int
	Endpoints []EndpointRow
}

// Gauges returns the current gauges. Its cost does not depend on the queue
// length.
func (o *Owner) Gauges() Gauges {
	waiting := o.waiting.Len()
	g := Gauges{Pool: o.options.Pool, Shard: o.options.Shard, Waiting: waiting, Running: len(o.requests) - waiting}
	for _, e := range o.ordered {
		g.Endpoints = append(g.Endpoints, o.endpointRow(e))
	}
	return g
}

// Snapshot returns the current state with all requests.
func (o *Owner) Snapshot() View {
	v := View{Pool: o.options.Pool, Shard: o.options.Shard, At: o.now, Totals: o.totals}
	for _, r := range o.waitingRequests() {
		v.Waiting = append(v.Waiting, o.waitingRow(r, len(v.Waiting)))
	}
	for _, r := range o.runningRequests() {
		v.Running = append(v.Running, o.runningRow(r))
	}
	for _, e := range o.ordered {
		v.Endpoints = append(v.Endpoints, o.endpointRow(e))
	}
	return v
}

func (o *Owner) waitingRow(r *request, position int) WaitingRow {
	return WaitingRow{
		ID:           r.spec.ID,
		Position:     position,
		Tier:         r.spec.Tier,
		Rank:         r.spec.Rank,
		Organisation: r.spec.Organisation,
		Target:       r.spec.Target,
		WorkClass:    r.spec.WorkClass,
		Entry:        r.spec.Entry.ID,
		PromptTokens: r.spec.PromptTokens,
		WaitTime:     o.now.Sub(r.arrivedAt),
		DeadlineIn:   r.spec.Deadline.Sub(o.now),
	}
}

func (o *Owner) runningRow(r *request) RunningRow {
	return RunningRow{
		ID:           r.spec.ID,
		Tier:         r.spec.Tier,
		Rank:         r.spec.Rank,
		Organisation: r.spec.Organisation,
		Target:       r.spec.Target,
		WorkClass:    r.spec.WorkClass,
		Entry:        r.spec.Entry.ID,
		Endpoint:     r.endpoint.spec.Name,
		Dispatched:   r.phase == phaseRunning,
		Output:       r.run.output,
		RunTime:      o.now.Sub(r.grantedAt),
		DeadlineIn:   r.spec.Deadline.Sub(o.now),
	}
}

func (o *Owner) endpointRow(e *endpoint) EndpointRow {
	return EndpointRow{
		Name:           e.spec.Name,
		FailureDomain:  e.spec.FailureDomain,
		SpeedClass:     e.spec.SpeedClass,
		Targets:        e.spec.Targets,
		State:          o.endpointState(e),
		Reason:         o.endpointReason(e),
		Running:        e.running,
		InFlightTokens: e.inFlight,
		WindowTokens:   e.window.Size(),
		PrefillRate:    e.speed.PrefillRate(),
		DecodeRate:     decodeRate(e),
		PrefixBlocks:   o.prefixes.Blocks(e.number),
	}
}

// decodeRate is the number of tokens per second that the endpoint generates at
// its present load, or for one request when idle.
func decodeRate(e *endpoint) float64 {
	running := max(e.running, 1)
	return float64(running) / e.speed.Step(running).Seconds()
}

func (o *Owner) endpointState(e *endpoint) EndpointState {
	switch {
	case !e.declared:
		return EndpointUndeclared
	case !e.spec.Listed:
		return EndpointUnlisted
	case e.spec.Leaving:
		return EndpointLeaving
	case e.spec.Drained:
		return EndpointDrained
	case e.breaker.State(o.now) != breaker.Closed:
		return EndpointFailing
	case e.straggler.OnProbation():
		return EndpointProbation
	default:
		return EndpointServing
	}
}

// endpointReason returns the name of the filter that keeps work off an
// endpoint, or "".
func (o *Owner) endpointReason(e *endpoint) string {
	n := o.baseNode(e)
	for _, f := range o.roomFilters {
		if !f.Allows(&minimalWork, &n) {
			return string(f.Name)
		}
	}
	return ""
}

// waitingRequests returns the waiting requests, ordered by rank, due time and
// arrival.
func (o *Owner) waitingRequests() []*request {
	waiting := o.filterRequests(func(r *request) bool { return r.endpoint == nil })
	sort.Slice(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		if a.spec.Rank != b.spec.Rank {
			return a.spec.Rank < b.spec.Rank
		}
		if !a.item.Due.Equal(b.item.Due) {
			return a.item.Due.Before(b.item.Due)
		}
		return a.item.Sequence < b.item.Sequence
	})
	return waiting
}

// runningRequests returns the granted and running requests, in order of
// arrival.
func (o *Owner) runningRequests() []*request {
	running := o.filterRequests(func(r *request) bool { return r.endpoint != nil })
	sort.Slice(running, func(i, j int) bool { return running[i].item.Sequence < running[j].item.Sequence })
	return running
}

func (o *Owner) filterRequests(keep func(*request) bool) []*request {
	var found []*request
	for _, r := range o.requests {
		if keep(r) {
			found = append(found, r)
		}
	}
	return found
}

func (o *Owner) queuePosition(r *request) int {
	for i, other := range o.waitingRequests() {
		if other == r {
			return i
		}
	}
	return 0
}

func (o *Owner) checkAccounting() {
	unfinished := int64(len(o.requests))
	if o.totals.Offered != o.totals.finished()+unfinished {
		invariant.Check(false, "one-outcome",
			"%d offered, %d finished, %d unfinished", o.totals.Offered, o.totals.finished(), unfinished)
	}
}
