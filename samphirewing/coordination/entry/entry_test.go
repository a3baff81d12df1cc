package entry

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

var (
	start = time.Unix(1_000_000, 0)
	shard = Shard{Pool: "p"}
)

func request(id string, rank int, deadline time.Time) structs.Request {
	return structs.Request{ID: structs.RequestID(id), Rank: structs.Rank(rank), Deadline: deadline}
}

func granted(from, id string, number int) Granted {
	return Granted{From: instance.ID(from), Shard: shard, Grant: scheduling.Grant{
		Request: structs.RequestID(id), ID: scheduling.GrantID(number), Endpoint: "e",
	}}
}

func effectsOf[T Effect](effects []Effect) []T {
	var found []T
	for _, e := range effects {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func TestSecondGrantIsAnsweredWithTheRunningRequest(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	e.Step(start, Accept{Request: request("r", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, granted("o1", "r", 1))
	e.Step(start, granted("o2", "r", 1))
	effects := e.Ready()
	assert.Equal(t, len(effectsOf[Dispatch](effects)), 1)
	offers := effectsOf[SendOffers](effects)
	last := offers[len(offers)-1]
	assert.Equal(t, last.To, instance.ID("o2"))
	assert.Assert(t, last.Offers[0].Running)
}

func TestReturnedGrantMayBeGrantedAgain(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	e.Step(start, Accept{Request: request("r", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, granted("o1", "r", 1))
	e.Step(start, NotSent{Request: "r", Attempt: 1, Reason: structs.ReasonConnectFailed})
	e.Step(start, granted("o1", "r", 2))
	effects := e.Ready()
	assert.Equal(t, len(effectsOf[SendReturn](effects)), 1)
	assert.Equal(t, len(effectsOf[Dispatch](effects)), 2)
}

func TestLateGrantOfAnEndedRequest(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	for _, id := range []string{"ran", "left"} {
		e.Step(start, Accept{Request: request(id, 0, start.Add(time.Minute)), Shard: shard})
	}
	e.Step(start, granted("o1", "ran", 1))
	e.Step(start, Finished{Request: "ran", Attempt: 1, Outcome: structs.OutcomeDone})
	e.Step(start, CallerDisconnected{Request: "left"})
	e.Ready()
	for _, id := range []string{"ran", "left", "never-held"} {
		e.Step(start, granted("o2", id, 2))
	}
	effects := e.Ready()
	finishes := effectsOf[SendFinish](effects)
	assert.Equal(t, len(finishes), 1)
	assert.Equal(t, finishes[0].To, instance.ID("o2"))
	assert.Equal(t, finishes[0].Finish.Outcome, structs.OutcomeDone)
	returns := effectsOf[SendReturn](effects)
	assert.Equal(t, len(returns), 1)
	assert.Equal(t, returns[0].Return.ID, structs.RequestID("left"))
}

func TestNewOwnerIsOfferedEverything(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	e.Step(start, Accept{Request: request("run", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, Accept{Request: request("wait", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, granted("o1", "run", 1))
	e.Ready()
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o2"})
	effects := e.Ready()
	withdrawn := effectsOf[SendWithdraw](effects)
	assert.Equal(t, len(withdrawn), 1)
	assert.Equal(t, withdrawn[0].Withdraw.ID, structs.RequestID("wait"))
	offers := effectsOf[SendOffers](effects)[0].Offers
	assert.Equal(t, len(offers), 2)
	assert.Assert(t, offers[0].Running && !offers[1].Running)
}

func TestDeadlineInQueueIsNotRun(t *testing.T) {
	e := New(Options{})
	e.Step(start, Accept{Request: request("r", 0, start.Add(time.Second)), Shard: shard})
	e.Tick(start.Add(time.Second))
	concluded := effectsOf[Conclude](e.Ready())
	assert.Equal(t, concluded[0].Outcome, structs.OutcomeNotRun)
	assert.Equal(t, concluded[0].Reason, structs.ReasonDeadlineInQueue)
	assert.Equal(t, e.Len(), 0)
}

func TestMemoryIsReleasedFromTheLowestTier(t *testing.T) {
	e := New(Options{})
	for i := range 6 {
		e.Step(start.Add(time.Duration(i)), Accept{Request: request(fmt.Sprint(i), i%3, start.Add(time.Minute)), Shard: shard})
	}
	e.Step(start, ReleaseMemory{MaxWaiting: 3})
	var ids []structs.RequestID
	for _, c := range effectsOf[Conclude](e.Ready()) {
		ids = append(ids, c.Request)
	}
	assert.DeepEqual(t, ids, []structs.RequestID{"5", "2", "4"})
}

// seeds returns how many seeds randomised runs use: SAMPHIREWING_SEEDS or
// the default.
func seeds(byDefault int) int {
	if n, err := strconv.Atoi(os.Getenv("SAMPHIREWING_SEEDS")); err == nil {
		return n
	}
	return byDefault
}

// TestRandomisedRuns feeds an entry with grants, refusals, owner changes and
// dispatch answers in any order, lost, doubled and late, and checks from
// outside what the program asserts inside.
func TestRandomisedRuns(t *testing.T) {
	for seed := range seeds(400) {
		run := newRun(uint64(seed))
		run.drive()
		run.settle()
		assert.Equal(t, run.fault, "", "seed %d\n%s", seed, run.trace.String())
		assert.Equal(t, run.entry.Len(), 0, "seed %d\n%s", seed, run.trace.String())
		assert.Equal(t, len(run.concluded), run.accepted, "seed %d\n%s", seed, run.trace.String())
	}
}

type dispatchedAttempt struct {
	Dispatch
	open bool
}

type randomRun struct {
	random    *rand.Rand
	now       time.Time
	entry     *Entry
	accepted  int
	attempts  []*dispatchedAttempt
	sent      map[structs.RequestID]int
	concluded map[structs.RequestID]structs.Outcome
	fault     string
	trace     strings.Builder
}

func newRun(seed uint64) *randomRun {
	return &randomRun{
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       start,
		entry:     New(Options{}),
		sent:      make(map[structs.RequestID]int),
		concluded: make(map[structs.RequestID]structs.Outcome),
	}
}

func (r *randomRun) drive() {
	for range 300 {
		r.now = r.now.Add(time.Duration(r.random.IntN(200)) * time.Millisecond)
		r.step(r.event())
	}
}

// settle lets every deadline pass and answers every dispatch.
func (r *randomRun) settle() {
	r.now = r.now.Add(time.Hour)
	r.step(nil)
	for _, a := range r.attempts {
		if a.open {
			r.step(r.answer(a))
		}
	}
	r.step(nil)
}

func (r *randomRun) step(e Event) {
	fmt.Fprintf(&r.trace, "%s %T %+v\n", r.now.Sub(start), e, e)
	if e != nil {
		r.entry.Step(r.now, e)
	}
	r.entry.Tick(r.now)
	for _, effect := range r.entry.Ready() {
		fmt.Fprintf(&r.trace, "    -> %T %+v\n", effect, effect)
		r.carryOut(effect)
	}
}

func (r *randomRun) carryOut(effect Effect) {
	switch ef := effect.(type) {
	case Dispatch:
		r.attempts = append(r.attempts, &dispatchedAttempt{Dispatch: ef, open: true})
		if r.sent[ef.Request] > 0 {
			r.fault = fmt.Sprintf("request %s dispatched after it was sent", ef.Request)
		}
		if _, ended := r.concluded[ef.Request]; ended {
			r.fault = fmt.Sprintf("request %s dispatched after its outcome", ef.Request)
		}
	case Conclude:
		if _, twice := r.concluded[ef.Request]; twice {
			r.fault = fmt.Sprintf("request %s concluded twice", ef.Request)
		}
		if ef.Outcome == structs.OutcomeNotRun && r.sent[ef.Request] > 0 {
			r.fault = fmt.Sprintf("request %s was sent but is not_run", ef.Request)
		}
		r.concluded[ef.Request] = ef.Outcome
	}
}

func (r *randomRun) event() Event {
	id := fmt.Sprint(r.random.IntN(max(1, r.accepted)))
	owner := fmt.Sprintf("o%d", r.random.IntN(3))
	s := Shard{Pool: "p", Number: 0}
	switch r.random.IntN(10) {
	case 0, 1, 2:
		r.accepted++
		deadline := r.now.Add(time.Duration(r.random.IntN(20_000)) * time.Millisecond)
		return Accept{Request: request(fmt.Sprint(r.accepted-1), r.random.IntN(3), deadline), Shard: s}
	case 3:
		return OwnerChanged{Shard: s, Owner: instance.ID(owner)}
	case 4, 5:
		return granted(owner, id, r.random.IntN(100))
	case 6:
		return r.answerSome()
	case 7:
		return Refused{From: instance.ID(owner), Request: structs.RequestID(id), Refusal: structs.Refusal{Reason: structs.ReasonQueueFull}}
	case 8:
		return CancelRequested{Request: structs.RequestID(id), Reason: structs.ReasonCanceledByOwner}
	default:
		return CallerDisconnected{Request: structs.RequestID(id)}
	}
}

func (r *randomRun) answerSome() Event {
	if len(r.attempts) == 0 {
		return ReleaseMemory{MaxWaiting: 5}
	}
	return r.answer(r.attempts[r.random.IntN(len(r.attempts))])
}

// answer returns the dispatch's answer; an attempt that was answered before
// yields a late progress report.
func (r *randomRun) answer(a *dispatchedAttempt) Event {
	if !a.open {
		return Progressed{Request: a.Request, Attempt: a.Attempt, Output: 1}
	}
	a.open = false
	switch r.random.IntN(4) {
	case 0:
		return NotSent{Request: a.Request, Attempt: a.Attempt, Reason: structs.ReasonConnectFailed}
	case 1:
		return Declined{Request: a.Request, Attempt: a.Attempt, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonKeyUnsettled}
	case 2:
		r.sent[a.Request]++
		return Finished{Request: a.Request, Attempt: a.Attempt, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonStreamBroken}
	default:
		r.sent[a.Request]++
		return Finished{Request: a.Request, Attempt: a.Attempt, Outcome: structs.OutcomeDone}
	}
}
