package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	organisation = structs.OrganisationName("shop")
	// The smallest quota of the platform, the window over which it is checked,
	// and the excess allowed in that window.
	rate      = 36000.0
	burst     = 36000.0
	window    = 8 * time.Second
	headroom  = 0.1
	tolerance = 140000.0
	// meanTokens and maxTokens are the mean and maximum size of the platform's
	// requests.
	meanTokens = 3000.0
	maxTokens  = 58000.0
)

var start = time.Unix(1000, 0)

func newTestLimiter(firstStart bool, instances int) *Limiter {
	l := New(Settings{FirstStart: firstStart, Instances: instances})
	l.SetLimits(start, []Limit{{Organisation: organisation, Rate: rate, Burst: burst}})
	return l
}

func TestUnknownOrganisationsHaveNoQuota(t *testing.T) {
	ok, _ := newTestLimiter(true, 1).Take(start, "other", 1<<30)
	assert.Assert(t, ok)
}

func TestEmptyBucketReturnsWait(t *testing.T) {
	l := newTestLimiter(true, 1)
	ok, _ := l.Take(start, organisation, structs.Tokens(burst))
	assert.Assert(t, ok)
	ok, wait := l.Take(start, organisation, 18000)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 500*time.Millisecond)
	ok, _ = l.Take(start.Add(wait), organisation, 18000)
	assert.Assert(t, ok)
}

func TestReturnedTokensMayBeUsedAgain(t *testing.T) {
	l := newTestLimiter(true, 1)
	l.Take(start, organisation, structs.Tokens(burst))
	l.Return(organisation, structs.Tokens(burst))
	ok, _ := l.Take(start, organisation, 1)
	assert.Assert(t, ok)
}

func TestLoweredQuotaAppliesImmediately(t *testing.T) {
	l := newTestLimiter(true, 1)
	l.SetLimits(start, []Limit{{Organisation: organisation, Rate: 10, Burst: 10}})
	l.Take(start, organisation, 10)
	ok, _ := l.Take(start, organisation, 10)
	assert.Assert(t, !ok)
}

func TestRestartedDaemonAdoptsPeerLevel(t *testing.T) {
	l := newTestLimiter(false, 1)
	l.Observe(start, Report{Peer: "b@1", Synced: true, HasLevels: true, Uses: []Use{{Organisation: organisation, Tokens: 7e6, Level: 4000}}})
	ok, _ := l.Take(start, organisation, 4000)
	assert.Assert(t, ok)
	ok, _ = l.Take(start, organisation, 1)
	assert.Assert(t, !ok)
}

// simCluster simulates several daemons in virtual time that report to each
// other, with a delay and only while they are connected.
type simCluster struct {
	random       *rand.Rand
	limiters     []*Limiter
	incarnations []int
	// partitioned marks the daemons that receive no reports.
	partitioned []bool
	admitted    []admission
}

type admission struct {
	at     time.Time
	tokens float64
}

const (
	tick        = 10 * time.Millisecond
	reportEvery = 5
)

func (c *simCluster) step(n int, now time.Time, demandPerSecond float64) {
	for i, l := range c.limiters {
		// Request sizes are heavy-tailed.
		tokens := min(meanTokens/4*math.Exp(1.4*c.random.NormFloat64()), maxTokens)
		if c.random.Float64() < demandPerSecond*tick.Seconds()/meanTokens/float64(len(c.limiters)) {
			if ok, _ := l.Take(now, organisation, structs.Tokens(tokens)); ok {
				c.admitted = append(c.admitted, admission{now, tokens})
			}
		}
		if n%reportEvery != i%reportEvery {
			continue
		}
		c.report(i, now)
	}
}

func (c *simCluster) report(from int, now time.Time) {
	responsive := 0
	for to := range c.limiters {
		if to != from && !c.partitioned[to] && !c.partitioned[from] {
			responsive++
		}
	}
	c.limiters[from].SetPeers(now, responsive, len(c.limiters)-1-responsive)
	uses, synced := c.limiters[from].Usage(now)
	for to, l := range c.limiters {
		if to == from || c.partitioned[to] || c.partitioned[from] {
			continue
		}
		l.Observe(now, Report{Peer: string(rune('a'+from)) + string(rune('0'+c.incarnations[from])), Synced: synced, HasLevels: true, Uses: uses})
	}
}

// maxWindowTokens returns the maximum number of tokens admitted in any window.
func (c *simCluster) maxWindowTokens() float64 {
	maximum, sum, first := 0.0, 0.0, 0
	for _, a := range c.admitted {
		sum += a.tokens
		for a.at.Sub(c.admitted[first].at) > window {
			sum -= c.admitted[first].tokens
			first++
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

func allowedTokens() float64 {
	return (rate*window.Seconds()+burst)*(1+headroom) + tolerance
}

// An organisation requests four times its quota while daemons are partitioned,
// restart alone and restart together.
func TestQuotaHoldsUnderPartitionsAndRestarts(t *testing.T) {
	for seed := range uint64(200) {
		c := &simCluster{random: rand.New(rand.NewPCG(seed, 1)), incarnations: make([]int, 4), partitioned: make([]bool, 4)}
		for range c.partitioned {
			c.limiters = append(c.limiters, newTestLimiter(true, 4))
		}
		for n := range 3000 {
			now := start.Add(time.Duration(n) * tick)
			if c.random.Float64() < 0.001 {
				i := c.random.IntN(len(c.limiters))
				c.partitioned[i] = !c.partitioned[i]
			}
			if c.random.Float64() < 0.0005 {
				i := c.random.IntN(len(c.limiters))
				c.limiters[i] = New(Settings{Instances: 4})
				c.limiters[i].SetLimits(now, []Limit{{Organisation: organisation, Rate: rate, Burst: burst}})
				c.incarnations[i]++
			}
			c.step(n, now, 4*rate)
		}
		assert.Assert(t, c.maxWindowTokens() <= allowedTokens(), "seed %d: %.0f of %.0f tokens", seed, c.maxWindowTokens(), allowedTokens())
	}
}

// Without faults, an organisation can use its whole quota.
func TestFullQuotaIsAvailable(t *testing.T) {
	for seed := range uint64(20) {
		c := &simCluster{random: rand.New(rand.NewPCG(seed, 2)), incarnations: make([]int, 4), partitioned: make([]bool, 4)}
		for range c.partitioned {
			c.limiters = append(c.limiters, newTestLimiter(true, 4))
		}
		const ticks = 3000
		for n := range ticks {
			c.step(n, start.Add(time.Duration(n)*tick), 4*rate)
		}
		total := 0.0
		for _, a := range c.admitted {
			total += a.tokens
		}
		expected := rate * ticks * tick.Seconds()
		assert.Assert(t, total >= 0.97*expected, "seed %d: %.0f of %.0f tokens", seed, total, expected)
	}
}
