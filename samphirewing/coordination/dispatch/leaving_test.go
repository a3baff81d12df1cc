package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The registry of the simulation: a log of endpoints' entries that daemons
// read, with the faults of the users' store.
type registry struct {
	records []registryRecord
	// first is the oldest record still held.
	first     int
	away      bool
	staleTill time.Time
	stale     int
}

type registryRecord struct {
	name  structs.EndpointName
	entry *endpointset.Endpoint
	at    time.Time
}

const (
	simStep    = 20 * time.Millisecond
	simLength  = 20 * time.Second
	simDaemons = 4
	simEngines = 6
	leaveBound = 2 * time.Second
	silentMost = 1500 * time.Millisecond
	lapsedWait = 1500 * time.Millisecond
	staleFor   = time.Second
	// lapseAfter is three heartbeats of an endpoint.
	lapseAfter  = 3600 * time.Millisecond
	awayFor     = 3 * time.Second
	awayGap     = 5 * time.Second
	changesWait = 250 * time.Millisecond
)

func (g *registry) put(now time.Time, name structs.EndpointName, e *endpointset.Endpoint) {
	g.records = append(g.records, registryRecord{name, e, now})
}

// newest returns the newest entries among the first n records.
func (g *registry) newest(n int) map[structs.EndpointName]int {
	last := map[structs.EndpointName]int{}
	for i, r := range g.records[:n] {
		last[r.name] = i
		if r.entry == nil {
			delete(last, r.name)
		}
	}
	return last
}

// simDaemon is one daemon: the product's endpoint set and scheduler behind a
// model of its reads.
type simDaemon struct {
	set       *endpointset.Set
	scheduler *Scheduler
	next      int
	known     bool
	readAt    time.Time
	// served is set once an endpoint was known in this life.
	served bool
	// touch is since when the daemon has reached the registry without a break.
	touch time.Time
}

func (d *simDaemon) read(now time.Time, g *registry) {
	if now.Before(d.readAt) {
		return
	}
	switch {
	case g.away:
		d.set.RegistryLost()
		d.readAt = now.Add(100 * time.Millisecond)
		d.touch = now
		return
	case d.known && d.next >= g.first:
		d.set.RegistryRestored(now)
		if d.next < len(g.records) {
			d.apply(now, g, d.next, len(g.records))
			d.next = len(g.records)
			d.readAt = now.Add(changesWait)
		}
		d.set.RecordRead(now)
	default:
		d.set.RegistryRestored(now)
		d.list(now, g)
	}
	d.scheduler.SetEndpoints(d.set.Usable())
}

func (d *simDaemon) apply(now time.Time, g *registry, from, to int) {
	for i := from; i < to; i++ {
		if r := g.records[i]; r.entry == nil {
			d.set.Remove(now, r.name, int64(i))
		} else {
			d.set.Put(*r.entry, int64(i))
		}
	}
}

func (d *simDaemon) list(now time.Time, g *registry) {
	end := len(g.records)
	if now.Before(g.staleTill) {
		end = max(end-g.stale, 0)
	}
	listed := map[structs.EndpointName]bool{}
	for name := range g.newest(end) {
		listed[name] = true
	}
	if !d.set.ApplyListing(now, listed, int64(end)) {
		d.readAt, d.touch = now.Add(100*time.Millisecond), now
		return
	}
	for _, i := range g.newest(end) {
		d.apply(now, g, i, i+1)
	}
	d.next, d.known = end, true
}

// leavingSim drives several daemons through one seed.
type leavingSim struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Time
	registry registry
	daemons  []*simDaemon
	leftAt   map[structs.EndpointName]time.Time
	born     int64
	later    []simEvent
	returned time.Time
	granted  int
	starved  int
}

type simEvent struct {
	at time.Time
	do func()
}

func (m *leavingSim) after(d time.Duration, do func()) {
	m.later = append(m.later, simEvent{m.now.Add(d), do})
}

func (m *leavingSim) register(name structs.EndpointName, draining bool) {
	if !draining {
		m.born++
		delete(m.leftAt, name)
	}
	e := engine(string(name))
	e.StartedUnixMs, e.Draining = m.born, draining
	m.registry.put(m.now, name, &e)
}

// fault begins one of the registry's or the endpoints' troubles.
func (m *leavingSim) fault() {
	name := structs.EndpointName(fmt.Sprint("engine-", m.random.IntN(simEngines)))
	_, leaving := m.leftAt[name]
	switch m.random.IntN(5) {
	case 0:
		if leaving || m.registry.away {
			return
		}
		m.register(name, true)
		m.leftAt[name] = m.now
		m.after(3*time.Second, func() { m.registry.put(m.now, name, nil) })
		m.after(4*time.Second, func() { m.register(name, false) })
	case 1:
		m.goAway()
	case 2:
		m.registry.first = len(m.registry.records)
		m.registry.staleTill, m.registry.stale = m.now.Add(staleFor), 1+m.random.IntN(4)
		for _, d := range m.daemons {
			d.known = false
		}
	case 3:
		// The connection of one daemon turns silent: nothing is read until a
		// time-out shows it.
		d := m.daemons[m.random.IntN(simDaemons)]
		d.readAt = m.now.Add(time.Duration(m.random.Float64() * float64(silentMost)))
	default:
		m.daemons[m.random.IntN(simDaemons)].restart()
	}
}

// goAway takes the registry away; the entries of all endpoints lapse meanwhile
// and return shortly after it.
func (m *leavingSim) goAway() {
	// Endpoints renew their entries between two absences.
	if m.registry.away || m.now.Sub(m.returned) < awayGap {
		return
	}
	m.registry.away = true
	away := lapseAfter + time.Duration(m.random.Float64()*float64(awayFor))
	var lapsed []endpointset.Endpoint
	m.after(lapseAfter, func() {
		for name, i := range m.registry.newest(len(m.registry.records)) {
			if e := m.registry.records[i].entry; !e.Draining {
				lapsed = append(lapsed, *e)
				m.registry.put(m.now, name, nil)
			}
		}
	})
	m.after(away, func() { m.registry.away, m.returned = false, m.now })
	m.after(away+lapsedWait, func() {
		for _, e := range lapsed {
			if _, leaving := m.leftAt[e.Name]; !leaving {
				m.registry.put(m.now, e.Name, &e)
			}
		}
	})
}

func (d *simDaemon) restart() {
	d.set, d.scheduler, d.known, d.readAt = endpointset.New(), scheduler(), false, time.Time{}
	d.served = false
}

func (m *leavingSim) run() {
	for end := m.now.Add(simLength); m.now.Before(end); m.now = m.now.Add(simStep) {
		due := m.later
		m.later = nil
		for _, e := range due {
			if e.at.After(m.now) {
				m.later = append(m.later, e)
				continue
			}
			e.do()
		}
		if m.random.IntN(60) == 0 {
			m.fault()
		}
		for _, d := range m.daemons {
			d.read(m.now, &m.registry)
			d.scheduler.SetEndpoints(d.set.Usable())
			m.offer(d)
		}
	}
}

// offer sends one request; what it is granted must not be leaving for longer
// than the bound.
func (m *leavingSim) offer(d *simDaemon) {
	grant, refusal := d.scheduler.Offer(m.now, draft("r", m.now, 0))
	switch {
	case refusal != nil && refusal.Reason == ReasonNoEndpoint && d.served:
		m.starved++
	case grant != nil:
		m.granted++
		// Who starts from a listing of before may not know of the absence.
		d.served = d.served || !m.now.Before(m.registry.staleTill)
		d.scheduler.Release(m.now, grant, Succeeded)
		left, leaving := m.leftAt[grant.Endpoint.Name]
		if leaving && m.now.Sub(left) > leaveBound && m.now.Sub(d.touch) > leaveBound {
			m.t.Fatalf("seed %d: %s got a request %v after it announced its leaving", m.seed, grant.Endpoint.Name, m.now.Sub(left))
		}
	}
}

// Several daemons, with the product's endpoint set and scheduler, while the
// registry is away, silent, forgets, lists old states and lets entries lapse:
// a leaving endpoint gets nothing new after its bound, and endpoints whose
// entries lapsed with the registry's absence go on being used.
func TestLeavingEndpointsOverSeveralDaemons(t *testing.T) {
	starved, granted := 0, 0
	for seed := range uint64(200) {
		m := &leavingSim{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 9)), now: start, leftAt: map[structs.EndpointName]time.Time{}}
		for range simDaemons {
			d := &simDaemon{}
			d.restart()
			m.daemons = append(m.daemons, d)
		}
		for i := range simEngines {
			m.register(structs.EndpointName(fmt.Sprint("engine-", i)), false)
		}
		m.run()
		starved += m.starved
		granted += m.granted
	}
	assert.Assert(t, granted > 500_000, "%d granted", granted)
	assert.Equal(t, starved, 0, "requests found no endpoint though all live ones were only lapsed")
}
