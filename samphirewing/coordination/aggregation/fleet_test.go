package aggregation

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// fleetSize is a deployment for which traffic is compared.
type fleetSize struct{ daemons, domains, endpoints int }

var fleetSizes = []fleetSize{{30, 3, 100}, {100, 5, 300}, {300, 8, 900}, {400, 15, 1100}}

const (
	fleetOrganisations = 16
	// fleetRunning is the number of endpoints on which a daemon has requests.
	fleetRunning = 8
)

// traffic is what one daemon has sent, by part of the message.
type traffic struct{ messages, bytes, received, loads, estimates, uses, members int }

func (s *traffic) add(body []byte) {
	var m peerpb.Summary
	if err := proto.Unmarshal(body, &m); err != nil {
		panic(err)
	}
	s.messages++
	s.bytes += len(body)
	s.loads += proto.Size(&peerpb.Summary{Loads: m.Loads, Fleet: m.Fleet})
	s.estimates += proto.Size(&peerpb.Summary{Estimates: m.Estimates})
	s.uses += proto.Size(&peerpb.Summary{Uses: m.Uses})
	s.members += proto.Size(&peerpb.Summary{Members: m.Members})
}

// Guards against a root whose traffic grows with the deployment: with a total for each
// daemon of its group, and with a key for each load and use, it sent 0.5 MB a second
// at 30 daemons and 5.7 MB at 400. An eighth of a link of 100 Mbit/s is allowed.
func TestTrafficOfRootHardlyGrowsWithTheDeployment(t *testing.T) {
	const allowed = 100e6 / 8 / 8
	for _, c := range fleetSizes {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			m := newSim(1, c.daemons, c.domains)
			m.endpoints = c.endpoints
			m.run(3 * time.Second)
			for _, d := range m.daemons {
				d.traffic = traffic{}
			}
			const seconds = 2
			m.run(seconds * time.Second)
			var busiest *simDaemon
			age, oldest := time.Duration(0), time.Duration(0)
			for _, d := range m.daemons {
				if busiest == nil || d.traffic.bytes+d.traffic.received > busiest.traffic.bytes+busiest.traffic.received {
					busiest = d
				}
				age += d.node.ViewAge(m.now)
				oldest = max(oldest, d.node.ViewAge(m.now))
			}
			s := busiest.traffic
			children, roots := busiest.node.Neighbours()
			t.Logf("%d daemons: busiest sends %d KB/s in %d messages/s, receives %d KB/s: loads and uses in compact form %d, estimates %d, uses %d, members %d KB/s; %d children, %d roots, interval %v, age %v, oldest %v", c.daemons,
				s.bytes/seconds/1000, s.messages/seconds, s.received/seconds/1000, s.loads/seconds/1000, s.estimates/seconds/1000, s.uses/seconds/1000, s.members/seconds/1000, children, roots, busiest.node.Interval(), age/time.Duration(c.daemons), oldest)
			assert.Assert(t, float64(s.bytes+s.received)/seconds <= allowed, "%d bytes/s", (s.bytes+s.received)/seconds)
		})
	}
}

// stampKey is the endpoint in whose load a daemon puts the time.
func stampKey(d *simDaemon) uint32 { return uint32(1_000_000 + d.index) }

// ages returns the mean and the maximum age of what daemons know of each other.
func (m *sim) ages(t *testing.T) (mean, oldest time.Duration) {
	t.Helper()
	var sum time.Duration
	pairs := 0
	for range 40 {
		m.run(simStep)
		for _, d := range m.daemons {
			for _, other := range m.daemons {
				if d == other {
					continue
				}
				stamp := d.view.Loads[stampKey(other)].Running
				assert.Assert(t, stamp > 0, "%s does not know %s", d.id, other.id)
				age := m.now.Sub(start) - time.Duration(stamp)*time.Millisecond
				sum += age
				oldest = max(oldest, age)
				pairs++
			}
		}
	}
	return sum / time.Duration(pairs), oldest
}

// Guards against views that become older for the sake of fewer bytes. The bounds are
// the mean ages, over the same seeds, when each root sent the total to its whole group.
func TestViewsAreAsFreshAsWithoutLevels(t *testing.T) {
	for _, c := range []struct {
		daemons, domains int
		seeds            uint64
		bound            time.Duration
	}{{26, 4, 12, 63200 * time.Microsecond}, {80, 4, 4, 113300 * time.Microsecond}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			var sum, oldest time.Duration
			for seed := range c.seeds {
				m := newSim(seed, c.daemons, c.domains)
				m.stamped = true
				m.run(2 * time.Second)
				mean, seedOldest := m.ages(t)
				sum, oldest = sum+mean, max(oldest, seedOldest)
			}
			mean := sum / time.Duration(c.seeds)
			t.Logf("%d daemons: views are %v old in the mean, %v at most", c.daemons, mean, oldest)
			assert.Assert(t, mean <= c.bound, "%v", mean)
		})
	}
}
