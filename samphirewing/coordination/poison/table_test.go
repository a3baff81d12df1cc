package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

type parts = []structs.PromptPart

const (
	shared structs.PromptPart = iota + 1
	deadly
	other
)

var start = time.Unix(1000, 0)

// fixture is a table with a clock.
type fixture struct {
	*Table
	now      time.Time
	prober   bool
	endpoint uint64
}

func newFixture() *fixture {
	f := &fixture{now: start}
	f.Table = New(func(structs.PromptPart) bool { return f.prober })
	return f
}

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

// crash records the crash of another endpoint by a request sent some time ago.
func (f *fixture) crash(sentBefore time.Duration, p ...structs.PromptPart) parts {
	f.endpoint++
	return f.crashOf(f.endpoint, sentBefore, p...)
}

func (f *fixture) crashOf(endpoint uint64, sentBefore time.Duration, p ...structs.PromptPart) parts {
	var suspects []Suspect
	for _, part := range p {
		suspects = append(suspects, Suspect{part, f.now.Add(-sentBefore)})
	}
	return f.RecordCrash(f.now, f.now, CrashID{Endpoint: endpoint}, suspects)
}

func (f *fixture) blocks(p ...structs.PromptPart) bool {
	_, _, blocked := f.Blocked(f.now, p)
	return blocked
}

// crashInSuccession records enough crashes to block the parts.
func (f *fixture) crashInSuccession(p ...structs.PromptPart) {
	for range crashesToBlock {
		f.pass(time.Second)
		f.crash(300*time.Millisecond, p...)
	}
}

// Guards against requests with a deadly part that keep arriving, each with other
// companions.
func TestPartIsBlockedAfterCrashesInSuccession(t *testing.T) {
	f := newFixture()
	for i := range crashesToBlock {
		assert.Assert(t, !f.blocks(deadly))
		f.pass(time.Second)
		f.crash(300*time.Millisecond, deadly, structs.PromptPart(100+i))
	}
	assert.Assert(t, f.blocks(deadly, 999))
	assert.Assert(t, !f.blocks(100))
}

// Guards against an outage of a route: the part that most requests share is a
// suspect of every crash, of many at the same moment and of others one by one.
func TestWidelySharedPartSurvivesCrashesOfAnotherCause(t *testing.T) {
	f := newFixture()
	f.RecordAnswer(f.now, parts{shared})
	for range 20 {
		f.pass(time.Millisecond)
		f.crash(100*time.Millisecond, shared, structs.PromptPart(100+f.endpoint))
	}
	assert.Assert(t, !f.blocks(shared), "loss of a failure domain")
	for range 20 {
		f.pass(time.Second)
		f.RecordAnswer(f.now.Add(-200*time.Millisecond), parts{shared})
		f.crash(100*time.Millisecond, shared, structs.PromptPart(100+f.endpoint))
	}
	assert.Assert(t, !f.blocks(shared), "crashes one after the other")
}

// Guards against blocking sound requests that share a part with all deadly ones.
func TestPartsOfTheSameCrashesAreToldApart(t *testing.T) {
	f := newFixture()
	f.crashInSuccession(shared, deadly)
	assert.Assert(t, f.blocks(shared, deadly, other))
	assert.Assert(t, !f.blocks(shared, other), "a request that may be sound")
	assert.Assert(t, !f.blocks(deadly, other))

	f.pass(time.Second)
	released := f.RecordAnswer(f.now.Add(-100*time.Millisecond), parts{shared, other})
	assert.DeepEqual(t, released, parts{shared})
	assert.Assert(t, f.blocks(deadly, other), "the answer leaves one suspect")

	f = newFixture()
	f.crashInSuccession(shared, deadly)
	f.pass(time.Second)
	f.crash(100*time.Millisecond, deadly, other)
	f.pass(settleTime)
	assert.Assert(t, f.blocks(deadly), "the crash without the shared part leaves one suspect")
	assert.Assert(t, !f.blocks(shared, other))
}

// Guards against a sound part that is left as the only suspect by a crash of before,
// reports of which are repeated.
func TestCrashBeforeTheSuccessionDoesNotTellPartsApart(t *testing.T) {
	f := newFixture()
	f.crash(100*time.Millisecond, shared)
	f.pass(time.Second)
	f.RecordAnswer(f.now, parts{shared})
	f.crashInSuccession(shared, deadly)
	f.crashOf(1, 100*time.Millisecond, shared)
	assert.Assert(t, f.blocks(shared, deadly))
	assert.Assert(t, !f.blocks(shared, other))
}

// Guards against sound requests that are refused because of a part they share, when
// the first report of a crash is of one of them and that of the deadly request, of
// another daemon, follows.
func TestIncompleteReportsOfACrashTellNoPartsApart(t *testing.T) {
	f := newFixture()
	for range crashesToBlock - 1 {
		f.pass(2 * settleTime)
		f.crash(300*time.Millisecond, shared, deadly)
	}
	f.pass(2 * settleTime)
	f.crash(300*time.Millisecond, shared, other)
	assert.Assert(t, !f.blocks(shared, 99), "after the first report")
	f.pass(settleTime / 2)
	f.crashOf(f.endpoint, 300*time.Millisecond+settleTime/2, shared, deadly)
	assert.Assert(t, !f.blocks(shared, 99), "after the second")
	assert.Assert(t, f.blocks(shared, deadly))
	f.pass(settleTime)
	assert.Assert(t, !f.blocks(shared, 99), "after all reports")
	assert.Assert(t, f.blocks(shared, deadly))
}

// Guards against the same where crashes follow each other so fast that none is
// completely reported, and the deadly request is reported last each time.
func TestLateReportsOfSeveralCrashesRestoreTheVerdict(t *testing.T) {
	f := newFixture()
	for range crashesToBlock {
		f.pass(settleTime / 4)
		f.crash(settleTime/8, shared, other)
	}
	for n := range uint64(crashesToBlock) {
		f.crashOf(n+1, settleTime/4*time.Duration(crashesToBlock-n)-settleTime/8, shared, deadly)
	}
	f.pass(2 * settleTime)
	assert.Assert(t, !f.blocks(shared, 99))
	assert.Assert(t, !f.blocks(shared, other))
	assert.Assert(t, f.blocks(shared, other, deadly), "any of the three may be the cause")
	f.crash(settleTime/8, deadly, 98)
	f.pass(settleTime)
	assert.Assert(t, f.blocks(deadly))
	assert.Assert(t, !f.blocks(shared, other))
}

// Guards against one crash that several daemons report being taken for several.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	f := newFixture()
	for range 10 {
		f.pass(500 * time.Millisecond)
		f.crashOf(1, 100*time.Millisecond, deadly)
	}
	assert.Equal(t, f.Crashes(deadly), 1)
}

// Guards against a blocked part that never comes free, and against one that each
// of many daemons tries again.
func TestBlockedPartIsTriedByOneDaemonAtGrowingIntervals(t *testing.T) {
	a, b := newFixture(), newFixture()
	a.prober = true
	a.crashInSuccession(deadly)
	b.now = a.now
	exchange(a, b)
	interval := minTrialInterval
	for trial := range 3 {
		a.pass(interval)
		b.now = a.now
		assert.Assert(t, b.blocks(deadly), "trial %d at the other daemon", trial)
		_, _, blocked := a.Begin(a.now, parts{deadly})
		assert.Assert(t, !blocked, "trial %d", trial)
		assert.Assert(t, a.blocks(deadly), "a second request during trial %d", trial)
		a.crash(100*time.Millisecond, deadly)
		exchange(a, b)
		interval *= 2
	}
	a.pass(interval)
	b.now = a.now
	_, _, blocked := a.Begin(a.now, parts{deadly})
	assert.Assert(t, !blocked)
	assert.DeepEqual(t, a.RecordAnswer(a.now, parts{deadly}), parts{deadly})
	exchange(a, b)
	exchange(b, a)
	assert.Assert(t, !a.blocks(deadly) && !b.blocks(deadly))
}

func exchange(from, to *fixture) (blocked, released parts) {
	if m := from.Outgoing(from.now); m != nil {
		return to.Merge(to.now, m)
	}
	return nil, nil
}

// Guards against memory without bound: callers choose the IDs of parts.
func TestTableIsBoundedUnderFloodOfParts(t *testing.T) {
	f := newFixture()
	next := structs.PromptPart(1000)
	for range 2 * maxCrashes {
		f.pass(10 * time.Millisecond)
		var flood parts
		for range 2 * maxSuspects / maxCrashes {
			next++
			flood = append(flood, next)
		}
		f.crash(time.Millisecond, flood...)
		for range 200 {
			next++
			f.RecordAnswer(f.now, parts{next})
		}
	}
	assert.Assert(t, len(f.crashes) <= maxCrashes)
	suspects := 0
	for _, c := range f.crashes {
		suspects += len(c.suspects)
	}
	assert.Equal(t, suspects, f.suspects)
	assert.Assert(t, suspects <= maxSuspects && suspects > maxSuspects/2, "%d suspects", suspects)
	assert.Assert(t, len(f.answered.recent)+len(f.answered.older) <= 2*maxAnswered)
	assert.Assert(t, len(f.Table.blocks) <= maxBlocks)
}

// Guards against verdicts that differ for good, on daemons whose messages are
// lost, repeated and late, and against sound parts being blocked meanwhile.
func TestDaemonsAgreeDespiteLostAndLateMessages(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		daemons := make([]*fixture, 5)
		for i := range daemons {
			daemons[i] = newFixture()
		}
		const step = 50 * time.Millisecond
		for tick := range 400 {
			for _, d := range daemons {
				d.pass(step)
			}
			for _, d := range daemons {
				if to := daemons[random.IntN(len(daemons))]; to != d && random.Float64() < 0.6 {
					exchange(d, to)
				}
			}
			d := daemons[random.IntN(len(daemons))]
			if tick%4 == 0 {
				d.RecordAnswer(d.now.Add(-100*time.Millisecond), parts{shared})
			}
			if random.Float64() < 0.1 && !d.blocks(shared, deadly) {
				d.crashOf(uint64(tick+1), step, shared, deadly)
			}
			assert.Assert(t, !d.blocks(shared), "seed %d", seed)
		}
		for range 100 {
			for i, d := range daemons {
				d.pass(step)
				exchange(d, daemons[(i+1)%len(daemons)])
			}
		}
		for i, d := range daemons {
			assert.Assert(t, d.blocks(shared, deadly), "seed %d: daemon %d", seed, i)
			assert.Assert(t, !d.blocks(shared), "seed %d: daemon %d", seed, i)
		}
	}
}
