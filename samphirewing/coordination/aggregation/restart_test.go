package aggregation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/peers"
)

// A store as the platform's, shared by all daemons.
const (
	storeBytesPerSecond = 500e6
	storeReadsPerSecond = 6000
	storeReadBurst      = storeReadsPerSecond / 10
	storeCallCost       = 100 * time.Microsecond
	storeLatency        = 3 * time.Millisecond
	storeCallTimeout    = 1500 * time.Millisecond
)

const (
	// The links of the machines have from 10 to 200 Mbit/s.
	minLinkBytesPerSecond = 1.25e6
	linkRange             = 20
	// decodeTimePerByte is what a fifth of a core takes to decode a listing.
	decodeTimePerByte = 50 * time.Nanosecond
	// recordBytes is the size of a listed record of a daemon or an endpoint, pageSize
	// the number of records in an answer.
	recordBytes = 300
	pageSize    = 500
	// configurationBytes is the size of a configuration with 9,700 organisations.
	configurationBytes = 1_000_000
	// compression is how many times smaller relayed listings are.
	compression   = 2.5
	retryDelayMin = 100 * time.Millisecond
	retryDelayMax = 800 * time.Millisecond
	// startsWithin is the time within which all processes start.
	startsWithin = 100 * time.Millisecond
)

// simStore serves listings over one link.
type simStore struct {
	free           time.Time
	tokens         float64
	refilledAt     time.Time
	calls, refused int
}

// read returns when the answer has arrived, or whether the call is refused.
func (s *simStore) read(now time.Time, bytes int, link float64) (doneAt time.Time, accepted bool) {
	s.calls++
	s.tokens = min(storeReadBurst, s.tokens+storeReadsPerSecond*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens < 1 {
		s.refused++
		return now.Add(storeLatency), false
	}
	s.tokens--
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(storeCallCost + seconds(float64(bytes)/storeBytesPerSecond))
	return s.free.Add(storeLatency + seconds(float64(bytes)/link)), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

type restartEvent struct {
	at     time.Time
	action func()
}

// restartSim restarts all daemons of a deployment at once.
type restartSim struct {
	*sim
	store    simStore
	starters map[*simDaemon]*starter
	events   []restartEvent
	// relay is set unless each daemon reads all listings from the store.
	relay           bool
	listedEndpoints int
	began           time.Time
}

// starter is a daemon that starts: it reads the daemons' records, then the
// configuration and the endpoints, from the store or from another daemon.
type starter struct {
	sim    *restartSim
	daemon *simDaemon
	listed map[string]bool
	wanted map[string]bool
	// link is in bytes per second, linkFree when the daemon has sent the listings to others.
	link     float64
	linkFree time.Time
	answered map[string]time.Time
	readyAt  time.Time
}

// listingPages returns the sizes of the answers with a topic's listing.
func (m *restartSim) listingPages(topic string) []int {
	records := 0
	switch topic {
	case "operator":
		return []int{configurationBytes}
	case "endpoints":
		records = m.listedEndpoints
	case "instances":
		records = len(m.daemons)
	}
	var pages []int
	for ; records > 0; records -= pageSize {
		pages = append(pages, min(records, pageSize)*recordBytes)
	}
	return pages
}

func (m *restartSim) at(t time.Time, action func()) {
	m.events = append(m.events, restartEvent{t, action})
}

// list reads the pages of a topic one after the other, and a failed one again.
func (s *starter) list(topic string, page int, retryDelay time.Duration, done func()) {
	m := s.sim
	if s.listed[topic] && topic != "instances" {
		return
	}
	pages := m.listingPages(topic)
	doneAt, accepted := m.store.read(m.now, pages[page], s.link)
	if timeout := m.now.Add(storeCallTimeout); doneAt.After(timeout) {
		doneAt, accepted = timeout, false
	}
	if !accepted {
		delay := min(max(2*retryDelay, retryDelayMin), retryDelayMax)
		if m.relay {
			s.wanted[topic] = true
			delay = delay/2 + rand.N(delay/2)
		} else {
			// A listing began anew.
			page = 0
		}
		m.at(doneAt.Add(delay), func() { s.list(topic, page, delay, done) })
		return
	}
	doneAt = doneAt.Add(time.Duration(pages[page]) * decodeTimePerByte)
	m.at(doneAt, func() {
		if page+1 < len(pages) {
			s.list(topic, page+1, 0, done)
			return
		}
		done()
	})
}

func (s *starter) start() {
	m := s.sim
	d := s.daemon
	d.incarnation++
	d.node, d.table = nil, peers.New(d.id)
	if !m.relay {
		s.listAll()
	}
	s.list("instances", 0, 0, func() {
		for _, other := range m.daemons {
			record := m.record(other)
			record.Incarnation = 1
			d.table.Put(m.now, record)
		}
		d.node = New(Options{Self: m.process(d), Record: m.record(d), Table: d.table})
		d.down, d.inbox, d.nextTick = false, nil, m.now
		if !m.relay {
			s.list("instances", 0, 0, func() {})
			return
		}
		delay := d.node.ListingDelay(m.now)
		if delay == 0 {
			s.listAll()
			return
		}
		s.wanted["operator"], s.wanted["endpoints"] = true, true
		m.at(m.now.Add(delay), s.listAll)
	})
}

func (s *starter) listAll() {
	for _, topic := range []string{"operator", "endpoints"} {
		s.list(topic, 0, 0, func() { s.receiveListing(topic) })
	}
}

func (s *starter) receiveListing(topic string) {
	s.listed[topic], s.wanted[topic] = true, false
	if s.readyAt.IsZero() && s.listed["operator"] && s.listed["endpoints"] {
		s.readyAt = s.sim.now
	}
}

// answer sends listings to a daemon that asks for them.
func (s *starter) answer(to *starter, topics []string) {
	m := s.sim
	for _, topic := range topics {
		key := topic + "/" + string(to.daemon.id)
		if at, found := s.answered[key]; !s.listed[topic] || found && m.now.Sub(at) < 400*time.Millisecond {
			continue
		}
		s.answered[key] = m.now
		bytes := 0
		for _, page := range m.listingPages(topic) {
			bytes += page
		}
		if s.linkFree.Before(m.now) {
			s.linkFree = m.now
		}
		s.linkFree = s.linkFree.Add(seconds(float64(bytes) / compression / s.link))
		m.at(s.linkFree.Add(seconds(float64(bytes)/compression/to.link)+time.Duration(bytes)*decodeTimePerByte/4), func() {
			if to.wanted[topic] {
				to.receiveListing(topic)
			}
		})
	}
}

func newRestartSim(seed uint64, size fleetSize, relay bool) *restartSim {
	m := &restartSim{sim: newSim(seed, size.daemons, size.domains), relay: relay, starters: map[*simDaemon]*starter{}}
	m.listedEndpoints = size.endpoints
	m.store = simStore{tokens: storeReadBurst, refilledAt: m.now}
	m.began = m.now
	for _, d := range m.daemons {
		d.down = true
		s := &starter{sim: m, daemon: d, listed: map[string]bool{}, wanted: map[string]bool{}, answered: map[string]time.Time{}, link: minLinkBytesPerSecond * math.Pow(linkRange, m.random.Float64())}
		m.starters[d] = s
		m.at(m.now.Add(time.Duration(m.random.Int64N(int64(startsWithin)))), s.start)
	}
	m.onWanted = func(d, from *simDaemon, topics []string) { m.starters[d].answer(m.starters[from], topics) }
	m.wanted = func(d *simDaemon) (topics []string) {
		for topic, wanted := range m.starters[d].wanted {
			if wanted {
				topics = append(topics, topic)
			}
		}
		sort.Strings(topics)
		return topics
	}
	return m
}

// run lets the time pass until all daemons serve, or limit.
func (m *restartSim) run(limit time.Duration) {
	for m.now.Before(m.began.Add(limit)) && !m.allReady() {
		m.step()
		for {
			sort.SliceStable(m.events, func(i, j int) bool { return m.events[i].at.Before(m.events[j].at) })
			if len(m.events) == 0 || m.events[0].at.After(m.now) {
				break
			}
			due := m.events[0]
			m.events = m.events[1:]
			due.action()
		}
	}
}

func (m *restartSim) allReady() bool {
	for _, s := range m.starters {
		if s.readyAt.IsZero() {
			return false
		}
	}
	return true
}

// times returns when half of the daemons and the last one served, as the time since
// the restart.
func (m *restartSim) times() (median, last time.Duration, unready int) {
	var all []time.Duration
	for _, s := range m.starters {
		if s.readyAt.IsZero() {
			unready++
			continue
		}
		all = append(all, s.readyAt.Sub(m.began))
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	if len(all) == 0 {
		return 0, 0, unready
	}
	return all[len(all)/2], all[len(all)-1], unready
}

// Guards against a deployment that does not serve for many seconds after all its
// daemons were killed at once, since each of them reads everything from the store
// at the same time.
func TestDaemonsServeSoonAfterCommonRestart(t *testing.T) {
	const bound, limit = 2 * time.Second, 20 * time.Second
	for _, size := range append([]fleetSize{{4, 2, 20}, {12, 3, 60}}, fleetSizes...) {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			for _, relay := range []bool{false, true} {
				m := newRestartSim(1, size, relay)
				m.run(limit)
				median, last, unready := m.times()
				t.Logf("%d daemons, relay %v: half serve after %v, all after %v, %d not after %v; %d calls, %d refused", size.daemons, relay, median, last, unready, limit, m.store.calls, m.store.refused)
				if relay {
					assert.Assert(t, unready == 0 && last <= bound, "the last of %d serves after %v", size.daemons, last)
				}
			}
		})
	}
}
