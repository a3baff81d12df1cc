package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

const (
	simDaemons = 5
	simStep    = 50 * time.Millisecond
	simLength  = 60 * time.Second
	// maxReadDelay bounds how late a daemon reads a record.
	maxReadDelay = 2 * time.Second
	// maxPartition is less than ShareRetention.
	maxPartition   = 25 * time.Second
	maxDowntime    = 5 * time.Second
	leaveDuration  = 3 * time.Second
	maxStoreOutage = 5 * time.Second
	// usedShare is the share of a divided allowance that daemons use
	// (usableRetryFraction of the gateway); the rest covers daemons that have just
	// started and are partitioned.
	usedShare = 0.8
)

// simDaemon is one daemon: the real table with simulated reports and reads.
type simDaemon struct {
	record Record
	table  *Table
	up     bool
	// synced is set once the records were read in this incarnation.
	synced    bool
	changedAt time.Time
	leaving   bool
}

type peersSim struct {
	random  *rand.Rand
	now     time.Time
	daemons []*simDaemon
	// partitionedUntil is when each daemon's connections to its peers work
	// again, storeDownUntil when the store does.
	partitionedUntil [simDaemons]time.Time
	storeDownUntil   time.Time
	records          map[instance.ID]Record
	events           []simEvent
}

type simEvent struct {
	at     time.Time
	action func()
}

func (m *peersSim) schedule(d time.Duration, do func()) {
	m.events = append(m.events, simEvent{m.now.Add(d), do})
}

func (m *peersSim) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(limit))
}

func (m *peersSim) storeAvailable() bool { return !m.now.Before(m.storeDownUntil) }

// startDaemon starts the next incarnation of a daemon.
func (m *peersSim) startDaemon(d *simDaemon) {
	d.record.Incarnation++
	d.table, d.up, d.synced, d.leaving, d.changedAt = New(d.record.Instance), true, false, false, m.now
	incarnation := d.record.Incarnation
	m.publish(d, incarnation)
}

// publish writes a daemon's record; its peers read it with a delay.
func (m *peersSim) publish(d *simDaemon, incarnation instance.Incarnation) {
	if !d.up || d.record.Incarnation != incarnation || d.leaving {
		return
	}
	if !m.storeAvailable() {
		m.schedule(200*time.Millisecond, func() { m.publish(d, incarnation) })
		return
	}
	record := d.record
	m.records[record.Instance] = record
	m.broadcast(func(t *Table, now time.Time) { t.Put(now, record) })
}

// broadcast applies a change to the table of each running daemon, after a
// random delay and not while the store is unavailable.
func (m *peersSim) broadcast(change func(*Table, time.Time)) {
	for _, d := range m.daemons {
		table := d.table
		var read func()
		read = func() {
			switch {
			case d.table != table || !d.up:
			case !m.storeAvailable():
				m.schedule(simStep, read)
			default:
				change(table, m.now)
			}
		}
		m.schedule(m.randomUpTo(maxReadDelay), read)
	}
}

func (m *peersSim) injectFault() {
	n := m.random.IntN(simDaemons)
	d := m.daemons[n]
	switch m.random.IntN(4) {
	case 0:
		if d.up && !d.leaving {
			m.stop(d, m.randomUpTo(maxDowntime))
		}
	case 1:
		if d.up && !d.leaving {
			m.leave(d)
		}
	case 2:
		m.partitionedUntil[n] = m.now.Add(m.randomUpTo(maxPartition))
	default:
		m.storeDownUntil = m.now.Add(m.randomUpTo(maxStoreOutage))
	}
}

func (m *peersSim) stop(d *simDaemon, downtime time.Duration) {
	d.up, d.changedAt = false, m.now
	m.schedule(downtime, func() { m.startDaemon(d) })
}

func (m *peersSim) leave(d *simDaemon) {
	d.leaving, d.changedAt = true, m.now
	if m.storeAvailable() {
		delete(m.records, d.record.Instance)
		m.broadcast(func(t *Table, now time.Time) { t.Remove(now, d.record.Instance) })
	}
	m.schedule(leaveDuration, func() { m.stop(d, 500*time.Millisecond) })
}

func (m *peersSim) connected(a, b int) bool {
	return m.daemons[a].up && m.daemons[b].up && !m.now.Before(m.partitionedUntil[a]) && !m.now.Before(m.partitionedUntil[b])
}

func (m *peersSim) step() {
	due := m.events
	m.events = nil
	for _, e := range due {
		if e.at.After(m.now) {
			m.events = append(m.events, e)
			continue
		}
		e.action()
	}
	if m.random.IntN(40) == 0 {
		m.injectFault()
	}
	for a, from := range m.daemons {
		if from.up && !from.synced && m.storeAvailable() {
			from.synced = true
			for _, r := range m.records {
				from.table.Put(m.now, r)
			}
		}
		for b, to := range m.daemons {
			if a != b && m.connected(a, b) {
				to.table.Observe(m.now, instance.Process{ID: from.record.Instance, Incarnation: from.record.Incarnation}, State{Ready: !from.leaving, Leaving: from.leaving})
			}
		}
	}
}

// Daemons are killed, leave, restart, and are partitioned from each other and
// from the store. Their shares never add up to more than the whole, and
// clients are only sent to running daemons.
func TestSharesAndAddressesUnderFaults(t *testing.T) {
	for seed := range uint64(200) {
		m := &peersSim{random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), records: map[instance.ID]Record{}}
		for i := range simDaemons {
			name := fmt.Sprint("daemon-", i)
			m.daemons = append(m.daemons, &simDaemon{record: Record{Instance: instance.ID(name), PeerAddress: name, CallerAddress: name}})
		}
		for _, d := range m.daemons {
			m.startDaemon(d)
		}
		for end := m.now.Add(simLength); m.now.Before(end); m.now = m.now.Add(simStep) {
			m.step()
			m.checkShares(t, seed)
			m.checkAddresses(t, seed)
		}
	}
}

func (m *peersSim) checkShares(t *testing.T, seed uint64) {
	t.Helper()
	sum := 0.0
	for _, d := range m.daemons {
		if !d.up || !d.synced {
			// A daemon that has read no records yet divides by 64.
			continue
		}
		responsive, unresponsive := d.table.Counts(m.now)
		sum += 1 / float64(responsive+unresponsive+1)
	}
	assert.Assert(t, sum*usedShare <= 1.0001, "seed %d at %v: shares add up to %.2f", seed, m.now, sum)
}

func (m *peersSim) checkAddresses(t *testing.T, seed uint64) {
	t.Helper()
	for a, observer := range m.daemons {
		if !observer.up {
			continue
		}
		addresses := callerAddresses(observer.table, m.now)
		for b, d := range m.daemons {
			stopped := !d.up && m.now.Sub(d.changedAt) > ReportTimeout+simStep
			leaving := d.up && d.leaving && m.now.Sub(d.changedAt) > simStep && m.connected(a, b)
			if stopped || leaving {
				assert.Assert(t, !slices.Contains(addresses, d.record.CallerAddress), "seed %d: %s lists the address of %s", seed, observer.record.Instance, d.record.Instance)
			}
		}
	}
}
