package poolowner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

var seeds = flag.Int("seeds", 200, "how many seeds the randomised runs of the owner use")

// takeOver makes a new owner that knows nothing; entries offer again what
// they hold.
func (f *fakeSystem) takeOver() {
	f.lives++
	o := New(Options{
		Pool:              "p",
		Seed:              f.lives,
		DefaultQueueLimit: 6,
		PrefixBlocksEach:  40,
		breakage:          f.breakage,
	})
	f.owner = &fakeOwner{
		owner:   o,
		granted: map[structs.RequestID]scheduling.GrantID{},
		keys:    map[string]structs.RequestID{},
		refused: map[structs.RequestID]bool{},
	}
	f.configure()
	for _, e := range f.entries {
		f.offerAll(e)
	}
	taken := f.owner
	f.after(2*time.Second, func() {
		if f.owner == taken {
			taken.takenOver = true
			f.step(scheduling.TakeoverDone{})
		}
	})
}

func (f *fakeSystem) configure() {
	f.owner.pool = scheduling.PoolSpec{Name: "p", Endpoints: append([]scheduling.EndpointSpec(nil), f.specs...), PreemptLower: true}
	f.step(scheduling.Configure{Pool: f.owner.pool})
}

// offerAll offers again all that an entry holds.
func (f *fakeSystem) offerAll(e *fakeEntry) {
	if !e.alive {
		return
	}
	for _, r := range e.requests {
		if !r.ended {
			f.tell(scheduling.Offer{Request: r.spec, Running: r.dispatched, Endpoint: r.endpoint, Streamed: r.output})
		}
	}
}

func (f *fakeSystem) arrive(n int) {
	e := f.entries[f.random.IntN(len(f.entries))]
	kinds := []structs.Target{"draft", "draft", "quote", "orders"}
	target := kinds[f.random.IntN(len(kinds))]
	r := &fakeRequest{entry: e, returned: map[returnedGrant]bool{}, spec: structs.Request{
		ID:              structs.RequestID(fmt.Sprintf("r%d", n)),
		Entry:           e.life,
		Kind:            structs.WorkModel,
		Target:          target,
		Rank:            structs.Rank(f.random.IntN(3)),
		Organisation:    structs.OrganisationName(fmt.Sprintf("o%d", f.random.IntN(3))),
		Weight:          1,
		PromptTokens:    structs.Tokens(10 + f.random.IntN(4000)),
		MaxOutputTokens: structs.Tokens(10 + f.random.IntN(300)),
		Deadline:        start.Add(f.now + 2*time.Second + f.within(18*time.Second)),
	}}
	if target == "orders" {
		r.spec.Kind = structs.WorkService
	}
	if f.chance(0.2) {
		r.spec.CallerKey = fmt.Sprintf("k%d", f.random.IntN(10))
		r.spec.Organisation = "o0"
	}
	for i := range int(r.spec.PromptTokens / 64) {
		r.spec.Prefix = append(r.spec.Prefix, structs.PrefixHash(f.random.IntN(3)*100+i))
	}
	f.byID[r.spec.ID] = r
	e.requests = append(e.requests, r)
	f.tell(scheduling.Offer{Request: r.spec})
	f.after(r.spec.Deadline.Sub(start.Add(f.now)), func() { f.deadline(r) })
}

func (f *fakeSystem) deadline(r *fakeRequest) {
	if r.ended || !r.entry.alive {
		return
	}
	if r.dispatched {
		f.finish(r, structs.OutcomeFailed, structs.ReasonDeadlineRunning, 0, 0)
		return
	}
	r.ended = true
	f.tell(scheduling.Withdraw{ID: r.spec.ID, Reason: structs.ReasonDeadlineInQueue})
}

// misfortune draws one fault.
func (f *fakeSystem) misfortune() {
	i := f.random.IntN(len(f.specs))
	s := &f.specs[i]
	switch f.random.IntN(8) {
	case 0:
		f.dead[s.Name] = !f.dead[s.Name]
	case 1:
		s.Leaving = !s.Leaving
		f.configure()
	case 2:
		s.Listed = !s.Listed
		f.configure()
	case 3:
		s.Drained = !s.Drained
		f.configure()
	case 4:
		f.loseEntry(f.random.IntN(len(f.entries)))
	case 5:
		f.takeOver()
	case 6:
		f.cacheNews(s.Name)
	case 7:
		f.tell(scheduling.LoadReport{
			Endpoint: s.Name, AsOf: start.Add(f.now), Waiting: f.random.IntN(3),
			TokensInUse: structs.Tokens(f.random.IntN(20_000)), TokenCapacity: 50_000,
		})
	}
}

func (f *fakeSystem) cacheNews(name structs.EndpointName) {
	e := scheduling.CacheEvent{Endpoint: name, Sequence: uint64(f.random.IntN(50)), Cleared: f.chance(0.1)}
	for range 20 {
		e.Stored = append(e.Stored, structs.PrefixHash(f.random.IntN(300)))
		e.Dropped = append(e.Dropped, structs.PrefixHash(f.random.IntN(300)))
	}
	f.tell(e)
}

func (f *fakeSystem) loseEntry(i int) {
	lost := f.entries[i]
	lost.alive = false
	f.entries[i] = f.newEntry(i)
	f.after(f.within(3*time.Second), func() { f.step(scheduling.EntryLost{Entry: lost.life}) })
}

// play runs one seed and returns what broke, or nil.
func play(seed uint64, b breakage) (broke error) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case invariant.Violation:
			broke = x
		case violation:
			broke = fmt.Errorf("seed %d: %s", seed, x)
		default:
			panic(x)
		}
	}()
	f := newFakeSystem(seed, b)
	for range 12 {
		f.after(f.within(fakeArrivals), f.misfortune)
	}
	f.run()
	return f.idle()
}

// run plays all arrivals and what follows from them.
func (f *fakeSystem) run() {
	for n := range fakeRequests {
		f.after(f.within(fakeArrivals), func() { f.arrive(n) })
	}
	f.schedule()
	for f.queue.Len() > 0 {
		next := f.queue.Min()
		f.queue.Remove(0)
		f.now = next.at
		next.do()
	}
}

// schedule plans the ticks and the entries' repeated offers.
func (f *fakeSystem) schedule() {
	for at := time.Duration(0); at < fakeEnd; at += 100 * time.Millisecond {
		f.after(at, func() {
			f.owner.owner.Tick(start.Add(f.now))
			f.carryOut()
		})
	}
	for at := time.Duration(0); at < fakeArrivals*2; at += 3 * time.Second {
		f.after(at, func() {
			for _, e := range f.entries {
				f.offerAll(e)
			}
		})
	}
}

// idle checks that nothing is left when all has ended.
func (f *fakeSystem) idle() error {
	o := f.owner.owner
	if len(o.requests) != 0 || o.waiting.Len() != 0 || len(o.entries) != 0 || o.timers.Len() != 0 {
		return fmt.Errorf("idle owner holds %d requests, %d waiting, %d entries, %d timers",
			len(o.requests), o.waiting.Len(), len(o.entries), o.timers.Len())
	}
	for _, e := range o.ordered {
		if e.running != 0 || e.inFlight != 0 || e.prefillAhead != 0 || len(e.held) != 0 || e.keptFor != nil {
			return fmt.Errorf("idle endpoint %s holds %d requests and %d tokens", e.spec.Name, e.running, e.inFlight)
		}
	}
	t := o.accounting
	if t.Offered != t.ended() {
		return fmt.Errorf("%d offered, %d ended", t.Offered, t.ended())
	}
	return nil
}

func TestRandomisedRuns(t *testing.T) {
	for seed := range uint64(*seeds) {
		assert.NilError(t, play(seed, breakNothing), "seed %d", seed)
	}
}

// Without misfortunes the runs reach the states that the checks are about.
func TestRandomisedRunsDoWork(t *testing.T) {
	var done, shed, returned, released int64
	for seed := range uint64(5) {
		f := newFakeSystem(seed, breakNothing)
		f.run()
		totals := f.owner.owner.accounting
		done += totals.Done
		shed += totals.Shed
		returned += totals.Returned
		released += totals.Released
	}
	assert.Assert(t, done > 5*fakeRequests/4, "%d done", done)
	assert.Assert(t, shed > 0 && returned > 0 && released > 0, "%d shed, %d returned, %d released", shed, returned, released)
}

// breakages lists each deliberate fault with a seed that finds it.
var breakages = []struct {
	fault breakage
	seed  uint64
}{
	{breakRegrantOnSilence, 0},
	{breakGrantLeaving, 3},
	{breakShedHighest, 0},
	{breakShedInTakeover, 1},
	{breakForgetEnded, 0},
	{breakLeakTokens, 0},
	{breakKeyTwice, 0},
	{breakCountTwice, 0},
	{breakAnyReturn, 8},
	{breakNeverRelease, 2},
	{breakRefuseGranted, 0},
}

func TestEachBreakageIsFound(t *testing.T) {
	for _, b := range breakages {
		broke := play(b.seed, b.fault)
		assert.Assert(t, broke != nil, "seed %d did not find: %s; seed %d does", b.seed, b.fault, findSeed(b.fault))
		assert.NilError(t, play(b.seed, breakNothing))
	}
}

// findSeed returns the first seed that finds a fault, for the list above after
// a change of policy, or -1.
func findSeed(b breakage) int {
	for seed := range 200 {
		if play(uint64(seed), b) != nil {
			return seed
		}
	}
	return -1
}
