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

// simRegistry simulates the registry: a log of endpoint entries that daemons
// read, with the faults of the metadata store.
type simRegistry struct {
	records []registryRecord
	// oldest is the index of the oldest retained record.
	oldest       int
	unavailable  bool
	staleUntil   time.Time
	staleRecords int
}

type registryRecord struct {
	name  structs.EndpointName
	entry *endpointset.Endpoint
	at    time.Time
}

const (
	simStep         = 20 * time.Millisecond
	simLength       = 20 * time.Second
	simDaemons      = 4
	simEngines      = 6
	maxDrainLag     = 2 * time.Second
	maxSilence      = 1500 * time.Millisecond
	reregisterDelay = 1500 * time.Millisecond
	staleDuration   = time.Second
	// entryTTL is three heartbeats of an endpoint.
	entryTTL          = 3600 * time.Millisecond
	maxExtraOutage    = 3 * time.Second
	minOutageInterval = 5 * time.Second
	pollInterval      = 250 * time.Millisecond
)

func (g *simRegistry) put(now time.Time, name structs.EndpointName, e *endpointset.Endpoint) {
	g.records = append(g.records, registryRecord{name, e, now})
}

// newest returns the index of the newest record of each present entry among
// the first n records.
func (g *simRegistry) newest(n int) map[structs.EndpointName]int {
	last := map[structs.EndpointName]int{}
	for i, r := range g.records[:n] {
		last[r.name] = i
		if r.entry == nil {
			delete(last, r.name)
		}
	}
	return last
}

// simDaemon is one daemon: the real endpoint set and scheduler with simulated
// registry reads.
type simDaemon struct {
	set        *endpointset.Set
	scheduler  *Scheduler
	nextRecord int
	synced     bool
	nextReadAt time.Time
	// served is set once an endpoint was known in this incarnation.
	served bool
	// connectedSince is the start of the current uninterrupted connection to
	// the registry.
	connectedSince time.Time
}

func (d *simDaemon) read(now time.Time, g *simRegistry) {
	if now.Before(d.nextReadAt) {
		return
	}
	switch {
	case g.unavailable:
		d.set.RegistryLost()
		d.nextReadAt = now.Add(100 * time.Millisecond)
		d.connectedSince = now
		return
	case d.synced && d.nextRecord >= g.oldest:
		d.set.RegistryRestored(now)
		if d.nextRecord < len(g.records) {
			d.apply(now, g, d.nextRecord, len(g.records))
			d.nextRecord = len(g.records)
			d.nextReadAt = now.Add(pollInterval)
		}
		d.set.RecordRead(now)
	default:
		d.set.RegistryRestored(now)
		d.relist(now, g)
	}
	d.scheduler.SetEndpoints(d.set.Usable())
}

func (d *simDaemon) apply(now time.Time, g *simRegistry, from, to int) {
	for i := from; i < to; i++ {
		if r := g.records[i]; r.entry == nil {
			d.set.Remove(now, r.name, int64(i))
		} else {
			d.set.Put(*r.entry, int64(i))
		}
	}
}

func (d *simDaemon) relist(now time.Time, g *simRegistry) {
	end := len(g.records)
	if now.Before(g.staleUntil) {
		end = max(end-g.staleRecords, 0)
	}
	listed := map[structs.EndpointName]bool{}
	for name := range g.newest(end) {
		listed[name] = true
	}
	if !d.set.ApplyListing(now, listed, int64(end)) {
		d.nextReadAt, d.connectedSince = now.Add(100*time.Millisecond), now
		return
	}
	for _, i := range g.newest(end) {
		d.apply(now, g, i, i+1)
	}
	d.nextRecord, d.synced = end, true
}

// drainSim runs several daemons with one seed.
type drainSim struct {
	t             *testing.T
	seed          uint64
	random        *rand.Rand
	now           time.Time
	registry      simRegistry
	daemons       []*simDaemon
	drainingSince map[structs.EndpointName]time.Time
	lastBorn      int64
	events        []simEvent
	recoveredAt   time.Time
	granted       int
	starved       int
}

type simEvent struct {
	at     time.Time
	action func()
}

func (m *drainSim) schedule(d time.Duration, do func()) {
	m.events = append(m.events, simEvent{m.now.Add(d), do})
}

func (m *drainSim) register(name structs.EndpointName, draining bool) {
	if !draining {
		m.lastBorn++
		delete(m.drainingSince, name)
	}
	e := engineEndpoint(string(name))
	e.StartedUnixMs, e.Draining = m.lastBorn, draining
	m.registry.put(m.now, name, &e)
}

// injectFault starts a random fault of the registry, a connection, an endpoint
// or a daemon.
func (m *drainSim) injectFault() {
	name := structs.EndpointName(fmt.Sprint("engine-", m.random.IntN(simEngines)))
	_, draining := m.drainingSince[name]
	switch m.random.IntN(5) {
	case 0:
		if draining || m.registry.unavailable {
			return
		}
		m.register(name, true)
		m.drainingSince[name] = m.now
		m.schedule(3*time.Second, func() { m.registry.put(m.now, name, nil) })
		m.schedule(4*time.Second, func() { m.register(name, false) })
	case 1:
		m.startOutage()
	case 2:
		m.registry.oldest = len(m.registry.records)
		m.registry.staleUntil, m.registry.staleRecords = m.now.Add(staleDuration), 1+m.random.IntN(4)
		for _, d := range m.daemons {
			d.synced = false
		}
	case 3:
		// One daemon's connection hangs: it reads nothing until a time-out.
		d := m.daemons[m.random.IntN(simDaemons)]
		d.nextReadAt = m.now.Add(time.Duration(m.random.Float64() * float64(maxSilence)))
	default:
		m.daemons[m.random.IntN(simDaemons)].restart()
	}
}

// startOutage makes the registry unavailable. All endpoint entries expire
// during the outage and are registered again shortly after it.
func (m *drainSim) startOutage() {
	// Endpoints renew their entries between two outages.
	if m.registry.unavailable || m.now.Sub(m.recoveredAt) < minOutageInterval {
		return
	}
	m.registry.unavailable = true
	outage := entryTTL + time.Duration(m.random.Float64()*float64(maxExtraOutage))
	var expired []endpointset.Endpoint
	m.schedule(entryTTL, func() {
		for name, i := range m.registry.newest(len(m.registry.records)) {
			if e := m.registry.records[i].entry; !e.Draining {
				expired = append(expired, *e)
				m.registry.put(m.now, name, nil)
			}
		}
	})
	m.schedule(outage, func() { m.registry.unavailable, m.recoveredAt = false, m.now })
	m.schedule(outage+reregisterDelay, func() {
		for _, e := range expired {
			if _, draining := m.drainingSince[e.Name]; !draining {
				m.registry.put(m.now, e.Name, &e)
			}
		}
	})
}

func (d *simDaemon) restart() {
	d.set, d.scheduler, d.synced, d.nextReadAt = endpointset.New(), newTestScheduler(), false, time.Time{}
	d.served = false
}

func (m *drainSim) run() {
	for end := m.now.Add(simLength); m.now.Before(end); m.now = m.now.Add(simStep) {
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at.After(m.now) {
				m.events = append(m.events, e)
				continue
			}
			e.action()
		}
		if m.random.IntN(60) == 0 {
			m.injectFault()
		}
		for _, d := range m.daemons {
			d.read(m.now, &m.registry)
			d.scheduler.SetEndpoints(d.set.Usable())
			m.offer(d)
		}
	}
}

// offer offers one request to a daemon and fails the test if it is granted an
// endpoint that has been draining for longer than maxDrainLag.
func (m *drainSim) offer(d *simDaemon) {
	grant, refusal := d.scheduler.Offer(m.now, newRequest("r", m.now, 0))
	switch {
	case refusal != nil && refusal.Reason == ReasonNoEndpoint && d.served:
		m.starved++
	case grant != nil:
		m.granted++
		// A daemon that started from a stale listing may not know of the outage.
		d.served = d.served || !m.now.Before(m.registry.staleUntil)
		d.scheduler.Release(m.now, grant, Succeeded)
		since, draining := m.drainingSince[grant.Endpoint.Name]
		if draining && m.now.Sub(since) > maxDrainLag && m.now.Sub(d.connectedSince) > maxDrainLag {
			m.t.Fatalf("seed %d: %s got a request %v after it started draining", m.seed, grant.Endpoint.Name, m.now.Sub(since))
		}
	}
}

// Several daemons run while the registry is unavailable, hangs, loses records,
// lists stale state and lets entries expire. A draining endpoint gets no new
// request after maxDrainLag, and endpoints whose entries expired during an
// outage remain in use.
func TestDrainingEndpointsUnderRegistryFaults(t *testing.T) {
	starved, granted := 0, 0
	for seed := range uint64(200) {
		m := &drainSim{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 9)), now: start, drainingSince: map[structs.EndpointName]time.Time{}}
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
	assert.Equal(t, starved, 0, "requests refused with no-endpoint although entries had only expired during an outage")
}
