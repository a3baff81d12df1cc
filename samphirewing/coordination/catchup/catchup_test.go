package catchup

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a slow read that counts as proof for what was announced while it
// was under way, so that the daemon waits for records that nobody relays.
func TestRecordsAnnouncedDuringAReadStayMissing(t *testing.T) {
	now := time.Now()
	p := Progress{}
	p.Announce(now, 1, now)
	read := p.BeginRead()
	now = now.Add(Tolerance)
	p.Announce(now, 2, now)
	now = now.Add(Tolerance / 2)
	p.EndRead(now, read, 1, 1, now)
	assert.Assert(t, p.Missing())
	assert.Assert(t, !p.MustRead(now), "relayed records may still arrive")
	assert.Assert(t, p.MustRead(now.Add(Tolerance)))
	p.EndRead(now, p.BeginRead(), 2, 2, now)
	assert.Assert(t, !p.Missing())
}

// Guards against an answer that was cut by its size limit being taken for all that
// the store has.
func TestCutAnswerRefutesNothing(t *testing.T) {
	now := time.Now()
	p := Progress{}
	p.Announce(now, 9, now)
	p.EndRead(now, p.BeginRead(), 4, 9, now)
	assert.Assert(t, p.Missing())
	assert.Assert(t, p.CurrentAt().IsZero())

	alone := Progress{}
	alone.EndRead(now, alone.BeginRead(), 4, 9, now)
	assert.Assert(t, alone.Missing(), "the answer itself says that there are more")
}

// Guards against reads without end by a daemon to which an offset was announced that
// the store never had.
func TestOffsetThatTheStoreDoesNotConfirmIsIgnored(t *testing.T) {
	now := time.Now()
	p := Progress{}
	p.Announce(now, 6, now)
	p.EndRead(now, p.BeginRead(), 5, 5, now)
	assert.Assert(t, !p.Missing())
	p.Announce(now, 6, now)
	assert.Assert(t, !p.Missing())
	p.Announce(now, 7, now)
	assert.Assert(t, p.Missing())
}

// Guards against an old listing being taken for proof that the store has no more.
func TestListingRefutesNothing(t *testing.T) {
	now := time.Now()
	p := Progress{}
	p.Announce(now, 9, now)
	p.List(5, now)
	assert.Assert(t, p.Missing())
	assert.Assert(t, p.CurrentAt().IsZero())
}

// Guards against a daemon that counts as current because the one which relays the
// records is.
func TestCurrentOnlyWithAllRecordsOfThatTime(t *testing.T) {
	start := time.Now()
	p := Progress{}
	p.List(5, start)
	p.Announce(start, 6, start.Add(time.Second))
	assert.Equal(t, p.CurrentAt(), start)
	p.Announce(start, 7, start.Add(2*time.Second))
	p.Receive(6)
	assert.Equal(t, p.CurrentAt(), start.Add(time.Second))
	p.Receive(7)
	assert.Equal(t, p.CurrentAt(), start.Add(2*time.Second))
}

// Plays versions that follow each other faster than a slow link delivers them, with
// lost relays and cut answers. Guards against a daemon that stands behind for longer
// than a read begun after the announcement takes, and against one that takes itself
// for current with records missing.
func TestNoDaemonStaysBehindWhatIsAnnounced(t *testing.T) {
	const (
		step        = 10 * time.Millisecond
		longestRead = 400 * time.Millisecond
		cutAfter    = 3
		versions    = 40
		// An answer may be cut several times before it brings the newest record.
		bound = Tolerance + (versions/cutAfter+2)*longestRead
	)
	for seed := uint64(1); seed <= 100; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		now, start := time.Now(), time.Now()
		p, written := Progress{}, []time.Time{}
		var read *Read
		var sentAt, answerAt time.Time
		var next, end int64
		for tick := 0; tick < 3000; tick++ {
			now = now.Add(step)
			if len(written) < versions && random.IntN(20) == 0 {
				written = append(written, now)
			}
			if random.IntN(10) == 0 {
				p.Announce(now, int64(len(written)), now)
			}
			if random.IntN(30) == 0 && p.Next() < int64(len(written)) && read == nil {
				p.Receive(p.Next() + 1)
			}
			if read == nil && p.MustRead(now) {
				r := p.BeginRead()
				read, sentAt, answerAt = &r, now, now.Add(time.Duration(random.Int64N(int64(longestRead))))
				end = int64(len(written))
				next = min(end, p.Next()+cutAfter)
			}
			if read != nil && !now.Before(answerAt) {
				p.EndRead(now, *read, next, end, sentAt)
				read = nil
			}
			assert.Assert(t, p.Behind(now) < bound, "seed %d: behind for %v", seed, p.Behind(now))
			for _, at := range written[p.Next():] {
				assert.Assert(t, p.CurrentAt().Before(at) || p.CurrentAt().Equal(at), "seed %d: current at %v without a record of %v", seed, p.CurrentAt().Sub(start), at.Sub(start))
			}
		}
		assert.Equal(t, p.Next(), int64(versions), "seed %d", seed)
	}
}
