package retryschedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// Guards against a herd: callers that are refused at the same time come back one by one,
// at the rate of the capacity, and no place is promised that a caller can't wait for.
func TestRefusedCallersComeBackAtTheRateOfTheCapacity(t *testing.T) {
	s := New()
	perBin := map[time.Duration]int{}
	booked := 0
	for i := range 1000 {
		delay, ok := s.Book(start, Fingerprint(i+1), uint64(i), 50*time.Millisecond, time.Minute, 100)
		if !ok {
			continue
		}
		booked++
		assert.Assert(t, delay >= 50*time.Millisecond && delay <= Horizon)
		perBin[delay.Truncate(100*time.Millisecond)]++
	}
	for at, n := range perBin {
		assert.Assert(t, n <= 10, "%d callers come back from %s", n, at)
	}
	assert.Assert(t, booked > 290 && booked <= 300, "%d places in 3 s at 100 per second", booked)
	_, ok := s.Book(start.Add(2*time.Second), 2000, 0, 50*time.Millisecond, 500*time.Millisecond, 100)
	assert.Assert(t, !ok, "the next place is a second away")
}

// Guards against a place being taken twice, or by a caller that comes back at another
// time than it was told.
func TestClaimsAPlaceOnce(t *testing.T) {
	s := New()
	delay, _ := s.Book(start, 7, 42, 200*time.Millisecond, time.Second, 10)
	_, ok := s.Claim(start, 7)
	assert.Assert(t, !ok, "too early")
	due := start.Add(delay)
	assert.Equal(t, s.Due(start, due, 1), initialReturns)
	sequence, ok := s.Claim(due, 7)
	assert.Assert(t, ok)
	assert.Equal(t, sequence, uint64(42))
	assert.Equal(t, s.Due(start, due, 1), 0.0)
	_, ok = s.Claim(due, 7)
	assert.Assert(t, !ok, "already taken")
}

// Guards against capacity being kept free for callers that go to other daemons, and
// against places that are never forgotten.
func TestKeepsNothingFreeForCallersThatDoNotComeBack(t *testing.T) {
	s := New()
	now := start
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		s.Book(now, Fingerprint(i+1), 0, 50*time.Millisecond, time.Second, 100)
	}
	assert.Assert(t, s.Due(now, now.Add(time.Second), 1) < 0.2)
	s.Due(now.Add(time.Minute), now.Add(time.Minute), 1)
	assert.Equal(t, s.Len(), 0)
	assert.Equal(t, len(s.byFingerprint), 0)
}
