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
	// The smallest quota of the platform, with its window and what it allows
	// beyond the quota there.
	rate      = 36000.0
	burst     = 36000.0
	window    = 8 * time.Second
	headroom  = 0.1
	tolerance = 140000.0
	// meanTokens and mostTokens are the sizes of the platform's requests.
	meanTokens = 3000.0
	mostTokens = 58000.0
)

var start = time.Unix(1000, 0)

func book(fresh bool, instances int) *Limiter {
	b := New(Settings{FirstStart: fresh, Instances: instances})
	b.SetLimits(start, []Limit{{Organisation: organisation, Rate: rate, Burst: burst}})
	return b
}

func TestUnknownOrganisationsHaveNoQuota(t *testing.T) {
	ok, _ := book(true, 1).Take(start, "other", 1<<30)
	assert.Assert(t, ok)
}

func TestFullBucketIsRefusedAndTellsWhenToComeBack(t *testing.T) {
	b := book(true, 1)
	ok, _ := b.Take(start, organisation, structs.Tokens(burst))
	assert.Assert(t, ok)
	ok, wait := b.Take(start, organisation, 18000)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 500*time.Millisecond)
	ok, _ = b.Take(start.Add(wait), organisation, 18000)
	assert.Assert(t, ok)
}

func TestReturnedTokensMayBeUsedAgain(t *testing.T) {
	b := book(true, 1)
	b.Take(start, organisation, structs.Tokens(burst))
	b.Return(organisation, structs.Tokens(burst))
	ok, _ := b.Take(start, organisation, 1)
	assert.Assert(t, ok)
}

func TestLoweredQuotaHoldsAtOnce(t *testing.T) {
	b := book(true, 1)
	b.SetLimits(start, []Limit{{Organisation: organisation, Rate: 10, Burst: 10}})
	b.Take(start, organisation, 10)
	ok, _ := b.Take(start, organisation, 10)
	assert.Assert(t, !ok)
}

func TestRestartedDaemonTakesOverWhatAPeerKnows(t *testing.T) {
	b := book(false, 1)
	b.Observe(start, Report{Peer: "b@1", Synced: true, Uses: []Use{{Organisation: organisation, Tokens: 7e6, Level: 4000}}})
	ok, _ := b.Take(start, organisation, 4000)
	assert.Assert(t, ok)
	ok, _ = b.Take(start, organisation, 1)
	assert.Assert(t, !ok)
}

// fleet is several daemons in virtual time that report to each other, late and
// only while they are connected.
type fleet struct {
	random *rand.Rand
	books  []*Limiter
	lives  []int
	// cut holds the daemons that hear nobody.
	cut  []bool
	sent []use
}

type use struct {
	at     time.Time
	tokens float64
}

const (
	tick        = 10 * time.Millisecond
	reportEvery = 5
)

func (f *fleet) step(n int, now time.Time, demand float64) {
	for i, b := range f.books {
		// Requests are heavy-tailed: most are small, a few are large.
		tokens := min(meanTokens/4*math.Exp(1.4*f.random.NormFloat64()), mostTokens)
		if f.random.Float64() < demand*tick.Seconds()/meanTokens/float64(len(f.books)) {
			if ok, _ := b.Take(now, organisation, structs.Tokens(tokens)); ok {
				f.sent = append(f.sent, use{now, tokens})
			}
		}
		if n%reportEvery != i%reportEvery {
			continue
		}
		f.report(i, now)
	}
}

func (f *fleet) report(from int, now time.Time) {
	heard := 0
	for to := range f.books {
		if to != from && !f.cut[to] && !f.cut[from] {
			heard++
		}
	}
	f.books[from].SetPeers(now, heard, len(f.books)-1-heard)
	uses, synced := f.books[from].Usage(now)
	for to, b := range f.books {
		if to == from || f.cut[to] || f.cut[from] {
			continue
		}
		b.Observe(now, Report{Peer: string(rune('a'+from)) + string(rune('0'+f.lives[from])), Synced: synced, Uses: uses})
	}
}

// most returns the most tokens sent in any window.
func (f *fleet) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, u := range f.sent {
		sum += u.tokens
		for u.at.Sub(f.sent[first].at) > window {
			sum -= f.sent[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

func allowed() float64 {
	return (rate*window.Seconds()+burst)*(1+headroom) + tolerance
}

// An organisation that asks for four times its quota, while daemons are cut
// off, restart alone and restart together.
func TestQuotaHoldsOverDaemonsThatAreCutAndRestart(t *testing.T) {
	for seed := range uint64(200) {
		f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), lives: make([]int, 4), cut: make([]bool, 4)}
		for range f.cut {
			f.books = append(f.books, book(true, 4))
		}
		for n := range 3000 {
			now := start.Add(time.Duration(n) * tick)
			if f.random.Float64() < 0.001 {
				i := f.random.IntN(len(f.books))
				f.cut[i] = !f.cut[i]
			}
			if f.random.Float64() < 0.0005 {
				i := f.random.IntN(len(f.books))
				f.books[i] = New(Settings{Instances: 4})
				f.books[i].SetLimits(now, []Limit{{Organisation: organisation, Rate: rate, Burst: burst}})
				f.lives[i]++
			}
			f.step(n, now, 4*rate)
		}
		assert.Assert(t, f.most() <= allowed(), "seed %d: %.0f of %.0f tokens", seed, f.most(), allowed())
	}
}

// Callers are not refused below the quota when all is well.
func TestQuotaIsGivenOutWhole(t *testing.T) {
	for seed := range uint64(20) {
		f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), lives: make([]int, 4), cut: make([]bool, 4)}
		for range f.cut {
			f.books = append(f.books, book(true, 4))
		}
		const ticks = 3000
		for n := range ticks {
			f.step(n, start.Add(time.Duration(n)*tick), 4*rate)
		}
		total := 0.0
		for _, u := range f.sent {
			total += u.tokens
		}
		owed := rate * ticks * tick.Seconds()
		assert.Assert(t, total >= 0.97*owed, "seed %d: %.0f of %.0f tokens", seed, total, owed)
	}
}
