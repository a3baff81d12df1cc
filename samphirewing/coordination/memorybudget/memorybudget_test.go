package memorybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testSize = 40 << 20

var testOptions = BodyOptions{Max: 1000, MaxPerPeer: 100, MinRate: 256, Grace: 5 * time.Second, Timeout: 15 * time.Second}

func start() time.Time { return time.Unix(1000, 0) }

// The load of the package's comment: 60 bodies of 4 MiB arrive at once and stop just
// short of the end. Guards against the account growing beyond its size, against
// ordinary requests being refused meanwhile, and against stalled bodies keeping
// memory that others need.
func TestManyBodiesThatStopShort(t *testing.T) {
	a := New(testSize)
	s := NewBodies(a, testOptions)
	now := start()
	var crowd []*Body
	for range 60 {
		b, err := s.Begin(now, "crowd", func() {})
		assert.NilError(t, err)
		for range 1024 {
			if b.Reserve(now, 4<<10) != nil {
				break
			}
			assert.NilError(t, b.Received(now, 4<<10))
		}
		crowd = append(crowd, b)
	}
	assert.Assert(t, a.total <= testSize)
	ordinary, err := s.Begin(now, "other", func() {})
	assert.NilError(t, err)
	assert.NilError(t, ordinary.Reserve(now, 16<<10))

	now = now.Add(2 * stalledAfter)
	large, err := s.Begin(now, "other", func() {})
	assert.NilError(t, err)
	for large.Reserve(now, 4<<20) != nil {
		evicted := false
		for _, b := range crowd {
			if b.Evicted() {
				b.Release()
				evicted = true
			}
		}
		assert.Assert(t, evicted, "no stalled body gives way")
	}
	for _, b := range append(crowd, ordinary, large) {
		b.Release()
	}
	assert.Equal(t, a.total, int64(0))
	assert.Equal(t, s.Len(), 0)
}

// Guards against large bodies and unread responses taking the part of the account
// that ordinary requests have.
func TestOrdinaryRequestsKeepAFifth(t *testing.T) {
	a := New(testSize)
	for _, c := range []Class{Bulk, Response} {
		for a.Reserve(c, 1<<10) {
		}
	}
	assert.Assert(t, a.Reserve(Ordinary, testSize/5-2<<10))
}

// Guards against a body being held to the minimum rate before the grace has passed,
// and against one that is slower being read for longer.
func TestDeadlineFollowsFromTheMinimumRate(t *testing.T) {
	s := NewBodies(New(testSize), testOptions)
	b, err := s.Begin(start(), "peer", func() {})
	assert.NilError(t, err)
	assert.Equal(t, b.Deadline(), start().Add(5*time.Second))
	assert.NilError(t, b.Received(start(), 512))
	assert.Equal(t, b.Deadline(), start().Add(7*time.Second))
	assert.NilError(t, b.Received(start(), 1<<20))
	assert.Equal(t, b.Deadline(), start().Add(15*time.Second))
}

// Guards against a peer with many stalled bodies shutting out others, and itself.
func TestStalledBodiesOfAPeerGiveWay(t *testing.T) {
	s := NewBodies(New(testSize), testOptions)
	told := 0
	for range testOptions.MaxPerPeer {
		_, err := s.Begin(start(), "peer", func() { told++ })
		assert.NilError(t, err)
	}
	_, err := s.Begin(start(), "peer", func() {})
	assert.ErrorIs(t, err, ErrTooManyPeer)
	_, err = s.Begin(start(), "other", func() {})
	assert.NilError(t, err)
	_, err = s.Begin(start().Add(stalledAfter), "peer", func() {})
	assert.NilError(t, err)
	assert.Equal(t, told, 1)
}

// Guards against slow readers displacing a caller that reads, and against their
// memory being kept when it is needed.
func TestUnreadResponsesGiveWay(t *testing.T) {
	a := New(testSize)
	s := NewQueues(a)
	closed := 0
	var slow []*Queue
	for range 20 {
		q := s.Open(start(), func() { closed++ })
		for q.Add(start(), 16<<10) == nil {
		}
		slow = append(slow, q)
	}
	assert.Assert(t, a.Used(Response) <= a.Limit(Response)+20*16<<10)
	reader := s.Open(start(), func() { t.Error("a caller that reads was closed") })
	for range 100 {
		assert.NilError(t, reader.Add(start(), 16<<10))
		reader.Taken(start(), 16<<10)
	}
	now := start().Add(2 * stalledAfter)
	assert.NilError(t, reader.Add(now, 16<<10))
	assert.ErrorIs(t, reader.Add(now, 16<<10), ErrQueueFull)
	assert.Equal(t, closed, 1)
	for _, q := range append(slow, reader) {
		q.Close()
	}
	assert.Equal(t, a.total, int64(0))
}

// Guards against memory that is never returned, whatever the order of the calls.
func TestAccountReturnsToZero(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	a := New(testSize)
	s := NewBodies(a, testOptions)
	now := start()
	var all []*Body
	for range 20000 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		if b, err := s.Begin(now, "peer", func() {}); err == nil {
			all = append(all, b)
		}
		b := all[random.IntN(len(all))]
		n := 1 + random.Int64N(256<<10)
		switch random.IntN(5) {
		case 0:
			b.Release()
		case 1:
			b.Complete()
		case 2:
			b.Shrink(n)
		default:
			if !b.ended && b.Reserve(now, n) == nil {
				assert.NilError(t, b.Received(now, n))
			}
		}
		assert.Assert(t, a.total >= 0 && a.total <= testSize && s.leaving >= 0, "total %d, leaving %d", a.total, s.leaving)
	}
	for _, b := range all {
		b.Release()
	}
	assert.Equal(t, a.total, int64(0))
	assert.Equal(t, s.leaving, int64(0))
}
