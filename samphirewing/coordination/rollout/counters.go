package rollout

import (
	"math"
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Indexes of the counters of a daemon for one route. Those of the new version
// precede those of the old one.
const (
	// countDone is the number of responses that ended well or badly.
	countDone = iota
	// countFailed is the number of those that were failures.
	countFailed
	// countBroken is the number of responses that were lost with a connection, as
	// when a machine fails.
	countBroken
	// countTimed is the number of responses whose time was recorded.
	countTimed
	// countForecast is the number of those from endpoints whose speed was known, so
	// that the time was forecast, and countSlow of those that took at least slowFactor
	// times as long.
	countForecast
	countSlow
	// countLog is the sum of the logarithms of the times, relative to a usual
	// endpoint, in units of 1/logUnit and above -maxLog.
	countLog
	perVersion
)

const counters = 2 * perVersion

const (
	logUnit = 100
	maxLog  = 4.0
	// slowFactor separates slow responses from usual ones. Endpoints of the
	// platform are 2.8 times slower than others, but the forecast knows that.
	slowFactor = 1.8
)

const (
	// minStreamBytes and minStreamTime are the least rest of a stream whose pace is
	// more than the accident of its last reads.
	minStreamBytes = 64
	minStreamTime  = 10 * time.Millisecond
	// paceWeight is the weight of one stream in the usual pace, minSlowness the least
	// slowness by which a pace is corrected.
	paceWeight  = 0.05
	minSlowness = 0.25
)

const (
	// urgentRepeats is the number of messages in which a bad response of the new
	// version is reported immediately.
	urgentRepeats = 3
	// minRowInterval, maxRowInterval and rowInterval determine how often a row
	// without bad responses is reported. Rows have about 37 bytes, so that reports
	// stay under 10 KB per second with 400 daemons and 4 routes.
	minRowInterval = 300 * time.Millisecond
	maxRowInterval = 8 * time.Second
	rowInterval    = 4 * time.Millisecond
	// refreshIntervals is the number of intervals after which rows are repeated to all
	// daemons, also without a change.
	refreshIntervals = 4
	// maxRows bounds the rows of an order.
	maxRows = 1 << 14
)

// rowKey identifies the counters of an incarnation of a daemon for one route.
type rowKey struct {
	member uint32
	route  uint32
}

type counts [counters]uint64

// version returns the counters of one version.
func (c *counts) version(target bool) []uint64 {
	if target {
		return c[:perVersion]
	}
	return c[perVersion:]
}

func (c *counts) add(other *counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// sub returns the difference, or zero where it is negative.
func (c counts) sub(other *counts) counts {
	for i := range c {
		c[i] -= min(c[i], other[i])
	}
	return c
}

// bad returns the number of bad responses of the new version.
func (c *counts) bad() uint64 {
	v := c.version(true)
	return v[countFailed] + v[countBroken] + v[countSlow]
}

// row is what is known of an incarnation of a daemon for one route.
type row struct {
	counts counts
	// endpoints has a bit for each endpoint of the new version, by its hash, with a
	// failure.
	endpoints uint64
	// inSubtree is set for the rows of this daemon and of those that report to it.
	inSubtree bool
	changed   bool
	urgent    int
	// sentAt is when the row was last reported, refreshedAt when to all daemons.
	sentAt, refreshedAt time.Time
}

// counterTable holds the counters of all daemons for one order.
type counterTable struct{ rows map[rowKey]*row }

func newCounterTable() counterTable { return counterTable{rows: map[rowKey]*row{}} }

func routeKey(route string) uint32 { return uint32(xxhash.Sum64String(route)) }

func (t *counterTable) row(key rowKey) *row {
	r := t.rows[key]
	if r == nil && len(t.rows) < maxRows {
		r = &row{}
		t.rows[key] = r
	}
	return r
}

// sums returns the counters of each route, and the endpoints with bad responses.
func (t *counterTable) sums() (routes map[uint32]*counts, endpoints int) {
	routes = map[uint32]*counts{}
	seen := uint64(0)
	for key, r := range t.rows {
		sum := routes[key.route]
		if sum == nil {
			sum = &counts{}
			routes[key.route] = sum
		}
		sum.add(&r.counts)
		seen |= r.endpoints
	}
	return routes, bits.OnesCount64(seen)
}

// Outcome is how an attempt at an endpoint ended.
type Outcome int8

// The outcomes of attempts.
const (
	Succeeded Outcome = iota
	// Failed means that the endpoint answered with a failure.
	Failed
	// Broken means that the connection was lost before the answer was complete, or
	// that there was no answer for several times the forecast.
	Broken
)

// Attempt is an attempt at an endpoint.
type Attempt struct {
	Service  structs.PoolName
	Route    string
	Endpoint structs.EndpointName
	Version  string
}

// ownRow returns this daemon's counters of an attempt's version, or nil if no order
// is in progress.
func (t *Table) ownRow(a Attempt) (r *row, version []uint64) {
	o := t.rollouts[a.Service]
	if o == nil || t.state(o).Final() {
		return nil, nil
	}
	r = o.counters.row(rowKey{t.member, routeKey(a.Route)})
	if r == nil {
		return nil, nil
	}
	r.inSubtree, r.changed = true, true
	return r, r.counts.version(a.Version == o.order.Target)
}

// Ended records how an attempt ended.
func (t *Table) Ended(a Attempt, o Outcome) {
	r, version := t.ownRow(a)
	if r == nil {
		return
	}
	version[countDone]++
	target := a.Version == t.rollouts[a.Service].order.Target
	switch o {
	case Failed:
		version[countFailed]++
		if target {
			r.endpoints |= 1 << (xxhash.Sum64String(string(a.Endpoint)) % 64)
		}
	case Broken:
		version[countBroken]++
	}
	if o != Succeeded && target {
		r.urgent = urgentRepeats
	}
}

// Timed records the time of an attempt until the first event or, on plain
// services, the complete answer. forecast is the expected time on that endpoint, or
// zero if its speed is not known yet, usual that on an endpoint of usual speed.
func (t *Table) Timed(a Attempt, elapsed, forecast, usual time.Duration) {
	r, version := t.ownRow(a)
	if r == nil || usual <= 0 {
		return
	}
	version[countTimed]++
	ratio := math.Log(max(float64(elapsed)/float64(usual), 1e-9))
	version[countLog] += uint64(math.Round(logUnit * (maxLog + min(max(ratio, -maxLog), maxLog))))
	if forecast <= 0 {
		return
	}
	version[countForecast]++
	if float64(elapsed) >= slowFactor*float64(forecast) {
		version[countSlow]++
		if a.Version == t.rollouts[a.Service].order.Target {
			r.urgent = urgentRepeats
		}
	}
}

// Streamed records the time that the rest of a stream took after its first event, to
// which the first event's own time says nothing. slowness is that of the endpoint,
// or zero if it is not known.
func (t *Table) Streamed(a Attempt, elapsed time.Duration, bytes int, slowness float64) {
	o := t.rollouts[a.Service]
	if o == nil || bytes < minStreamBytes || elapsed < minStreamTime {
		return
	}
	perByte := float64(elapsed) / float64(bytes)
	if o.pace == 0 {
		o.pace = perByte
	}
	usual := o.pace * float64(bytes)
	t.Timed(a, elapsed, time.Duration(usual*slowness), time.Duration(usual))
	o.pace += paceWeight * (perByte/max(slowness, minSlowness) - o.pace)
}

// Outgoing returns what is new, or repeated, for the daemon that this one reports
// to (up) and for those that report to it (down); nil if there is nothing.
func (t *Table) Outgoing(now time.Time) (up, down *peerpb.Rollouts) {
	for _, service := range t.services() {
		r := t.rollouts[service]
		state := t.state(r)
		if state == Completed {
			continue
		}
		head := func() *peerpb.Rollout {
			return &peerpb.Rollout{Order: r.order.id(), AgeMs: uint32(max(r.age(now).Milliseconds(), 0)), TrialMs: uint32(r.controller.trialAt.Milliseconds()), Bad: r.controller.bad || state == RolledBack}
		}
		forParent, forChildren := head(), head()
		for key, d := range r.counters.due(now, state) {
			row := d.row
			message := &peerpb.RolloutCounts{Member: key.member, Route: key.route, Counters: append([]uint64(nil), row.counts[:]...), BadEndpoints: row.endpoints}
			forChildren.Counts = append(forChildren.Counts, message)
			if row.inSubtree || d.refresh {
				forParent.Counts = append(forParent.Counts, message)
			}
		}
		if up == nil {
			up, down = &peerpb.Rollouts{}, &peerpb.Rollouts{}
		}
		up.Rollouts, down.Rollouts = append(up.Rollouts, forParent), append(down.Rollouts, forChildren)
	}
	return up, down
}

func (t *Table) services() []structs.PoolName {
	all := make([]structs.PoolName, 0, len(t.rollouts))
	for service := range t.rollouts {
		all = append(all, service)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// dueRow is a row to report. refresh is set if it has not changed: all daemons then
// get it, since some may have started after the daemon of the row has ended.
type dueRow struct {
	*row
	refresh bool
}

// due returns the rows to report now. None are after a roll-back; daemons that start
// with statuses that are out of date need to know that the version is bad.
func (t *counterTable) due(now time.Time, state State) map[rowKey]dueRow {
	if state.Final() {
		return nil
	}
	interval := min(max(time.Duration(len(t.rows))*rowInterval, minRowInterval), maxRowInterval)
	due := map[rowKey]dueRow{}
	for key, r := range t.rows {
		refresh := now.Sub(r.refreshedAt) >= refreshIntervals*interval
		if r.urgent == 0 && !(r.changed && now.Sub(r.sentAt) >= interval) && !refresh {
			continue
		}
		if refresh {
			r.refreshedAt = now
		}
		r.urgent = max(r.urgent-1, 0)
		r.changed, r.sentAt = false, now
		due[key] = dueRow{r, refresh}
	}
	return due
}

// Merge applies what another daemon has reported. fromChild is set if it reports to
// this one.
func (t *Table) Merge(now time.Time, m *peerpb.Rollouts, fromChild bool) {
	for _, message := range m.GetRollouts() {
		for _, r := range t.rollouts {
			if r.order.id() == message.GetOrder() {
				t.merge(now, r, message, fromChild)
			}
		}
	}
}

func (t *Table) merge(now time.Time, r *rollout, m *peerpb.Rollout, fromChild bool) {
	r.ageKnown = true
	r.learnStart(now.Add(-min(time.Duration(m.GetAgeMs())*time.Millisecond, 2*r.order.Duration)))
	if at := time.Duration(m.GetTrialMs()) * time.Millisecond; at > 0 {
		r.controller.learnTrial(at)
	}
	if m.GetBad() && !r.controller.bad {
		// A daemon that has just started may lack the evidence.
		r.controller.bad = true
		r.controller.decide(RolledBack, "another daemon has found the version bad")
		t.notify(Notice{Kind: NoticeBadVersion, Order: r.order, State: t.state(r), Reason: r.controller.reason})
		t.updateGate(now, r)
	}
	for _, c := range m.GetCounts() {
		if c.GetMember() == t.member || len(c.GetCounters()) != counters {
			continue
		}
		if row := r.counters.row(rowKey{c.GetMember(), c.GetRoute()}); row != nil {
			row.merge(c)
			row.inSubtree = row.inSubtree || fromChild
		}
	}
}

func (r *row) merge(c *peerpb.RolloutCounts) {
	bad := r.counts.bad()
	for i, n := range c.GetCounters() {
		if n > r.counts[i] {
			r.counts[i], r.changed = n, true
		}
	}
	r.endpoints |= c.GetBadEndpoints()
	if r.counts.bad() > bad {
		r.urgent = urgentRepeats
	}
}
