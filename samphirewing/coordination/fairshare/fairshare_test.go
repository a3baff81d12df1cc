package fairshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// use charges many small requests to an organisation.
func use(l *Ledger, now time.Time, key Key, total Cost) *Account {
	a := l.Account(key)
	for range 100 {
		l.Charge(now, a, total/100)
	}
	return a
}

// Guards against a level that leaves capacity to those who don't ask for it, or that
// takes from organisations below it.
func TestLevelIsMaxMinFair(t *testing.T) {
	l := New()
	small, middle, large := use(l, start, 1, 100), use(l, start, 2, 300), use(l, start, 3, 800)
	middle.AddWaiting(20)
	large.AddWaiting(2000)
	l.Update(start)
	assert.Equal(t, l.level, Cost(1200-100-320))
	assert.Assert(t, !small.Over() && !middle.Over() && large.Over())
	assert.Assert(t, small.Compare(large) < 0 && small.Compare(middle) == 0)
}

// Guards against telling organisations apart that all ask for more than there is.
func TestNobodyIsOverWhenAllAreEqual(t *testing.T) {
	l := New()
	for key := range Key(16) {
		use(l, start, key, 100).AddWaiting(500)
	}
	l.Update(start)
	for key := range Key(16) {
		assert.Assert(t, !l.Account(key).Over())
	}
}

// Guards against an organisation that was idle for long being preferred for as long.
func TestCatchUpAfterIdlenessIsBounded(t *testing.T) {
	l := New()
	busy := l.Account(1)
	now := start
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		l.Charge(now, busy, 100)
	}
	l.Update(now)
	perSecond := 1000.0
	used := l.Demand(now, busy) * float64(l.level)
	assert.Assert(t, used < 1.1*perSecond*UseWindow.Seconds(), "%v", used)
}

// Guards against shares that go on counting the use of daemons that are cut off.
func TestReportOfOtherDaemonsExpires(t *testing.T) {
	l := New()
	own := use(l, start, 1, 1000)
	own.AddWaiting(500)
	use(l, start, 2, 100)
	l.SetPeers(start, Entries{Largest: []Entry{{Key: 2, Used: 5000, Waiting: 20000}}})
	l.Update(start)
	assert.Assert(t, l.Account(2).Over() && l.PeersOver() == 1)
	l.Update(start.Add(PeerTTL + time.Millisecond))
	assert.Assert(t, !l.Account(2).Over() && own.Over() && l.PeersOver() == 0)
}
