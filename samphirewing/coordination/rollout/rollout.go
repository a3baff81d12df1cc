// Package rollout moves the traffic of a service to a new version of its
// endpoints, guarded against versions that are bad.
//
// The load: while a service serves its usual traffic, bursts included, an operator
// starts endpoints of another version beside the old ones and orders the traffic
// to be moved. Some of the responses of a bad version are failures or several times
// slower, from the start or later, on every route or on one, or only under load.
//
// A Gate limits what the endpoints of the new version get from this daemon. Each
// daemon sends them at most a part of its own requests, so that the sum over all
// daemons stays within the allowed share whatever daemons know of each other. A
// Controller compares the responses of both versions, summed over all daemons, and
// determines the verdict. Counters are cumulative for each incarnation of a daemon,
// so that a report that arrives twice counts once.
//
// A Table holds the rollouts of a daemon. It is a state machine: orders, statuses,
// reports and the current time are its input. It is not safe for concurrent use.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Defaults of the settings, for deployments whose settings name none.
const (
	DefaultExposureShare     = 0.1
	DefaultExposureTolerance = 50
	DefaultRollbackTime      = 5 * time.Second
)

// Settings holds the bounds of a deployment. Zero values mean the defaults.
type Settings struct {
	// ExposureShare is the share of a service's requests that a version without a
	// verdict may get, ExposureTolerance the number in addition.
	ExposureShare     float64
	ExposureTolerance int
	// RollbackTime is how long after its 50th bad response a version may still get
	// requests.
	RollbackTime time.Duration
	// OrdersUnexpected is set for deployments that state no bounds of rollouts. A
	// version that appears there beside another is in use at once.
	OrdersUnexpected bool
}

func (s Settings) withDefaults() Settings {
	if s.ExposureShare <= 0 {
		s.ExposureShare = DefaultExposureShare
	}
	if s.ExposureTolerance <= 0 {
		s.ExposureTolerance = DefaultExposureTolerance
	}
	if s.RollbackTime <= 0 {
		s.RollbackTime = DefaultRollbackTime
	}
	return s
}

// Order is an operator's order to move a service's traffic to a version.
type Order struct {
	Service structs.PoolName
	Target  string
	// Duration is the time from the order until its deadline.
	Duration time.Duration
}

// id identifies an order. The store may execute the write of an order twice, so
// that its offset does not.
func (o Order) id() uint64 { return xxhash.Sum64String(string(o.Service) + "\x00" + o.Target) }

// State is the state of a rollout as recorded in the store.
type State int8

// The states of rollouts. Completed and RolledBack are verdicts and final.
const (
	Unknown State = iota
	InProgress
	Completed
	RolledBack
)

// String returns the state's name as used in logs.
func (s State) String() string {
	return [...]string{"unknown", "in-progress", "completed", "rolled-back"}[s]
}

// Final reports whether the state is a verdict.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Status is the recorded state of the last rollout of a service.
type Status struct {
	State  State
	Target string
}

const (
	// handoverTime is how long endpoints of the old version get no requests after
	// a completion. They stop immediately, and the registry drops them later.
	handoverTime = 10 * time.Second
	// unfamiliarHold is how long the endpoints of a version that appears beside
	// another get no requests unless an order names it: an order is known within
	// the propagation bound of 3 s, the endpoints may be known earlier, and a listing
	// of the orders may be out of date for some seconds.
	unfamiliarHold = 5 * time.Second
	// doubtTime is how long a listed order counts as doubtful whose service's status
	// names another version. The listing may be out of date.
	doubtTime = 5 * time.Second
	// recentStart is the age of endpoints up to which an order may name them that a
	// daemon which starts does not know yet: they are started with the order, and a
	// listing of the orders may be out of date for some seconds. It leaves as many for
	// clocks that differ.
	recentStart = 15 * time.Second
	// viewMaxAge is the age of the oldest summary with which the gates are open.
	viewMaxAge = 900 * time.Millisecond
	// evaluateInterval is the time between two evaluations of the evidence.
	evaluateInterval = 100 * time.Millisecond
)

// Table holds the rollouts known to a daemon.
type Table struct {
	settings Settings
	self     string
	member   uint32
	rollouts map[structs.PoolName]*rollout
	statuses map[structs.PoolName]Status
	// finals holds the verdicts that were read, by version.
	finals   map[structs.PoolName]map[string]State
	versions map[structs.PoolName]*poolVersions
	// statusNext is the position up to which the statuses have been read, at
	// statusReadAt.
	statusNext   int64
	statusRead   bool
	statusReadAt time.Time
	fleet        Fleet
	fleetAt      time.Time
	evaluatedAt  time.Time
	notices      []Notice
	// totalExposed is the number of attempts at new versions of all orders.
	totalExposed int64
}

// Fleet is what a daemon knows of the others.
type Fleet struct {
	// Responsive holds the names of the other daemons that respond; Unresponsive is
	// the number of those that don't.
	Responsive   []string
	Unresponsive int
	// ViewAge is the age of the oldest part of what the others reported.
	ViewAge time.Duration
}

// rollout is one order in progress, or its verdict.
type rollout struct {
	order Order
	// startedAt is the earliest time of the order that any daemon knows of.
	startedAt time.Time
	// ageKnown is set if the age does not have to be estimated by the start of the
	// new endpoints.
	ageKnown  bool
	verdictAt time.Time
	// listedAt is when the order was read from a listing, zero if it was given while
	// this daemon ran.
	listedAt time.Time
	// contactAt is when this daemon was first in contact with the others and the store.
	contactAt time.Time
	// fresh is set until this daemon has taken its part of the tolerance, if the order
	// was given while it ran.
	fresh bool
	// pace is the usual time per byte of a stream, in nanoseconds.
	pace       float64
	gate       Gate
	controller Controller
	counters   counterTable
	writer     writer
	// verdictLost is set while the store may have lost the verdict.
	verdictLost bool
}

// New returns a table for a daemon. name ranks the daemon among the others.
func New(s Settings, name string) *Table {
	return &Table{
		settings: s.withDefaults(), self: name, rollouts: map[structs.PoolName]*rollout{}, statuses: map[structs.PoolName]Status{},
		finals:   map[structs.PoolName]map[string]State{},
		versions: map[structs.PoolName]*poolVersions{},
	}
}

// SetIncarnation sets the name and the incarnation under which this daemon reports.
func (t *Table) SetIncarnation(name string, member uint32) { t.self, t.member = name, member }

// SetSettings changes the bounds. Gates of rollouts in progress use the new ones.
func (t *Table) SetSettings(s Settings) { t.settings = s.withDefaults() }

// Active reports whether an order is known.
func (t *Table) Active() bool { return len(t.rollouts) > 0 }

// PutOrder applies an order. fresh is set if it was given while this daemon ran;
// other orders may be older, and other incarnations of this daemon may have sent
// requests to the new version. The order of a known target changes nothing.
func (t *Table) PutOrder(now time.Time, o Order, fresh bool) {
	if known := t.rollouts[o.Service]; known != nil && known.order.Target == o.Target {
		return
	}
	r := &rollout{order: o, startedAt: now, ageKnown: fresh, fresh: fresh, counters: newCounterTable(), controller: newController(o.Duration)}
	if fresh && t.statuses[o.Service].Target != o.Target {
		// The version is ordered again, after another one.
		delete(t.finals[o.Service], o.Target)
	}
	if !fresh {
		r.listedAt, r.gate.closed = now, reasonNewcomer
	}
	if t.state(r).Final() {
		r.verdictAt = now
	}
	t.rollouts[o.Service] = r
	t.estimateAge(now, r)
	t.notify(Notice{Kind: NoticeOrdered, Order: o, Reason: t.Explain(now, o.Service)})
}

// Ordered reports whether an order for a service is known.
func (t *Table) Ordered(service structs.PoolName) bool { return t.rollouts[service] != nil }

// RemoveOrder withdraws an order. Both versions are then used alike.
func (t *Table) RemoveOrder(service structs.PoolName) { delete(t.rollouts, service) }

// RetainOrders withdraws the orders of services that a listing lacks.
func (t *Table) RetainOrders(listed map[structs.PoolName]bool) {
	for service := range t.rollouts {
		if !listed[service] {
			delete(t.rollouts, service)
		}
	}
}

// ApplyStatus applies the recorded status of a service's rollout.
func (t *Table) ApplyStatus(now time.Time, service structs.PoolName, s Status) {
	t.statuses[service] = s
	if _, decided := t.finals[service][s.Target]; decided || !s.State.Final() {
		// The first verdict stands.
		return
	}
	if t.finals[service] == nil {
		t.finals[service] = map[string]State{}
	}
	t.finals[service][s.Target] = s.State
	if r := t.rollouts[service]; r != nil && s.Target == r.order.Target {
		r.verdictAt = now
		t.notify(Notice{Kind: NoticeVerdict, Order: r.order, State: s.State, Reason: r.controller.reason})
	}
}

// StatusesLost records that the store was restored from a copy, which may lack the newest
// statuses. Verdicts that are known stand, and are written again.
func (t *Table) StatusesLost() {
	t.statuses, t.statusRead = map[structs.PoolName]Status{}, false
	for _, r := range t.rollouts {
		r.verdictLost = t.state(r).Final()
	}
}

// StatusRead records that all statuses before a position were applied, and were
// current at readAt.
func (t *Table) StatusRead(next int64, readAt time.Time) {
	t.statusNext, t.statusRead = next, true
	t.StatusCurrent(readAt)
}

// StatusCurrent records that the statuses applied so far were current at readAt.
func (t *Table) StatusCurrent(readAt time.Time) {
	if readAt.After(t.statusReadAt) {
		t.statusReadAt = readAt
	}
}

// InProgress returns the number of orders without a verdict, and of those whose
// gate is closed.
func (t *Table) InProgress() (inProgress, closed int) {
	for _, r := range t.rollouts {
		if t.state(r).Final() {
			continue
		}
		inProgress++
		if r.gate.closed != "" {
			closed++
		}
	}
	return inProgress, closed
}

// TotalExposed returns the number of attempts at versions without a verdict.
func (t *Table) TotalExposed() int64 { return t.totalExposed }

// SetFleet updates what this daemon knows of the others.
func (t *Table) SetFleet(now time.Time, f Fleet) { t.fleet, t.fleetAt = f, now }

// state returns the recorded state of an order.
func (t *Table) state(r *rollout) State {
	if s, decided := t.finals[r.order.Service][r.order.Target]; decided {
		return s
	}
	if s := t.statuses[r.order.Service]; s.Target == r.order.Target {
		return s.State
	}
	return Unknown
}

// doubtful reports whether an order may be out of date.
func (t *Table) doubtful(now time.Time, r *rollout) bool {
	status, known := t.statuses[r.order.Service]
	return known && status.Target != r.order.Target && !r.listedAt.IsZero() && now.Sub(r.listedAt) < doubtTime
}

// isolation returns why this daemon may not expose requests, or an empty string.
func (t *Table) isolation(now time.Time) string {
	known := len(t.fleet.Responsive) + t.fleet.Unresponsive + 1
	switch {
	case now.Sub(t.fleetAt) > viewMaxAge || t.fleet.ViewAge > viewMaxAge:
		return "no recent summaries of the other daemons"
	case 2*(len(t.fleet.Responsive)+1) <= known && known > 1:
		return "fewer than half of the daemons respond"
	case !t.statusRead || now.Sub(t.statusReadAt) > t.settings.RollbackTime/2:
		return "the status was not read recently"
	}
	return ""
}

// toleranceShare returns this daemon's part of the tolerance. The parts sum up to
// half of it; the other half covers daemons that disagree about the others.
func (t *Table) toleranceShare(o Order) int {
	usable := t.settings.ExposureTolerance / 2
	daemons := len(t.fleet.Responsive) + t.fleet.Unresponsive + 1
	if usable >= daemons {
		return usable / daemons
	}
	if t.rank(o.Service) < usable {
		return 1
	}
	return 0
}

// Rank returns this daemon's place among the responsive ones, by rendezvous hash of the
// service.
func (t *Table) Rank(service structs.PoolName) int { return t.rank(service) }

// rank returns this daemon's place among the responsive ones, by rendezvous hash
// of the service.
func (t *Table) rank(service structs.PoolName) int {
	weight := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + string(service)) }
	own, place := weight(t.self), 0
	for _, name := range t.fleet.Responsive {
		if weight(name) > own {
			place++
		}
	}
	return place
}

// NoticeKind is the kind of a Notice.
type NoticeKind int8

// The kinds of notices.
const (
	NoticeOrdered NoticeKind = iota
	NoticeStep
	NoticeGateClosed
	NoticeGateOpened
	NoticeBadVersion
	NoticeVerdict
	NoticeWriteFailed
)

// Notice is a change to be logged.
type Notice struct {
	Kind   NoticeKind
	Order  Order
	State  State
	Reason string
}

func (t *Table) notify(n Notice) { t.notices = append(t.notices, n) }

// TakeNotices returns the changes since the last call.
func (t *Table) TakeNotices() []Notice {
	all := t.notices
	t.notices = nil
	return all
}
