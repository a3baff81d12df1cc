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
	// readDelay is the most that a daemon's reading of a record lags.
	readDelay = 2 * time.Second
	// longestCut stays under the time for which a silent peer keeps its share.
	longestCut  = 25 * time.Second
	longestDown = 5 * time.Second
	leaveFor    = 3 * time.Second
	storeAway   = 5 * time.Second
	// usedShare is the part of a divided allowance that daemons use (gateway's
	// retryMargin): it covers daemons that have just come and are cut off.
	usedShare = 0.8
)

// simDaemon is one daemon: the product's table behind a model of its reports
// and reads.
type simDaemon struct {
	record Record
	table  *Table
	up     bool
	// listed is set once the records were read in this life.
	listed  bool
	since   time.Time
	leaving bool
}

type peersSim struct {
	random  *rand.Rand
	now     time.Time
	daemons []*simDaemon
	// cutTill is when a daemon's connections to the others work again, and
	// storeTill when the store does.
	cutTill   [simDaemons]time.Time
	storeTill time.Time
	records   map[instance.ID]Record
	later     []simEvent
}

type simEvent struct {
	at time.Time
	do func()
}

func (m *peersSim) after(d time.Duration, do func()) {
	m.later = append(m.later, simEvent{m.now.Add(d), do})
}

func (m *peersSim) upTo(most time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(most))
}

func (m *peersSim) storeReached() bool { return !m.now.Before(m.storeTill) }

// start begins a daemon's next life.
func (m *peersSim) start(d *simDaemon) {
	d.record.Incarnation++
	d.table, d.up, d.listed, d.leaving, d.since = New(d.record.Instance), true, false, false, m.now
	life := d.record.Incarnation
	m.write(d, life)
}

// write records a daemon; the others read it with a delay.
func (m *peersSim) write(d *simDaemon, life instance.Incarnation) {
	if !d.up || d.record.Incarnation != life || d.leaving {
		return
	}
	if !m.storeReached() {
		m.after(200*time.Millisecond, func() { m.write(d, life) })
		return
	}
	record := d.record
	m.records[record.Instance] = record
	m.tell(func(t *Table, now time.Time) { t.Put(now, record) })
}

// tell has each daemon that is up read a change, late, and after the store's
// return at the earliest.
func (m *peersSim) tell(change func(*Table, time.Time)) {
	for _, d := range m.daemons {
		table := d.table
		var read func()
		read = func() {
			switch {
			case d.table != table || !d.up:
			case !m.storeReached():
				m.after(simStep, read)
			default:
				change(table, m.now)
			}
		}
		m.after(m.upTo(readDelay), read)
	}
}

func (m *peersSim) fault() {
	n := m.random.IntN(simDaemons)
	d := m.daemons[n]
	switch m.random.IntN(4) {
	case 0:
		if d.up && !d.leaving {
			m.stop(d, m.upTo(longestDown))
		}
	case 1:
		if d.up && !d.leaving {
			m.leave(d)
		}
	case 2:
		m.cutTill[n] = m.now.Add(m.upTo(longestCut))
	default:
		m.storeTill = m.now.Add(m.upTo(storeAway))
	}
}

func (m *peersSim) stop(d *simDaemon, down time.Duration) {
	d.up, d.since = false, m.now
	m.after(down, func() { m.start(d) })
}

func (m *peersSim) leave(d *simDaemon) {
	d.leaving, d.since = true, m.now
	if m.storeReached() {
		delete(m.records, d.record.Instance)
		m.tell(func(t *Table, now time.Time) { t.Remove(now, d.record.Instance) })
	}
	m.after(leaveFor, func() { m.stop(d, 500*time.Millisecond) })
}

func (m *peersSim) connected(a, b int) bool {
	return m.daemons[a].up && m.daemons[b].up && !m.now.Before(m.cutTill[a]) && !m.now.Before(m.cutTill[b])
}

func (m *peersSim) step() {
	due := m.later
	m.later = nil
	for _, e := range due {
		if e.at.After(m.now) {
			m.later = append(m.later, e)
			continue
		}
		e.do()
	}
	if m.random.IntN(40) == 0 {
		m.fault()
	}
	for a, from := range m.daemons {
		if from.up && !from.listed && m.storeReached() {
			from.listed = true
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

// Daemons are killed, leave, return, are cut off from each other and from the
// store. What they divide among themselves is never more than there is, and
// callers are sent to daemons that live.
func TestSharesAndAddressesOverDaemonsThatComeAndGo(t *testing.T) {
	for seed := range uint64(200) {
		m := &peersSim{random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), records: map[instance.ID]Record{}}
		for i := range simDaemons {
			name := fmt.Sprint("daemon-", i)
			m.daemons = append(m.daemons, &simDaemon{record: Record{Instance: instance.ID(name), PeerAddress: name, CallerAddress: name}})
		}
		for _, d := range m.daemons {
			m.start(d)
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
		if !d.up || !d.listed {
			// A daemon that has read no records divides by 64.
			continue
		}
		heard, silent := d.table.Counts(m.now)
		sum += 1 / float64(heard+silent+1)
	}
	assert.Assert(t, sum*usedShare <= 1.0001, "seed %d at %v: shares add up to %.2f", seed, m.now, sum)
}

func (m *peersSim) checkAddresses(t *testing.T, seed uint64) {
	t.Helper()
	for a, asked := range m.daemons {
		if !asked.up {
			continue
		}
		addresses := asked.table.CallerAddresses(m.now)
		for b, d := range m.daemons {
			gone := !d.up && m.now.Sub(d.since) > ReportTimeout+simStep
			left := d.up && d.leaving && m.now.Sub(d.since) > simStep && m.connected(a, b)
			if gone || left {
				assert.Assert(t, !slices.Contains(addresses, d.record.CallerAddress), "seed %d: %s is told of %s", seed, asked.record.Instance, d.record.Instance)
			}
		}
	}
}
