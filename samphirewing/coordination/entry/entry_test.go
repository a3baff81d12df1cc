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

func newRequest(id string, rank int, deadline time.Time) structs.Request {
	return structs.Request{ID: structs.RequestID(id), Rank: structs.Rank(rank), Deadline: deadline}
}

func newGranted(from, id string, number int) Granted {
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

func TestSecondGrantIsAnsweredWithRunningOffer(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	e.Step(start, Accept{Request: newRequest("r", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, newGranted("o1", "r", 1))
	e.Step(start, newGranted("o2", "r", 1))
	effects := e.Ready()
	assert.Equal(t, len(effectsOf[Dispatch](effects)), 1)
	offers := effectsOf[SendOffers](effects)
	last := offers[len(offers)-1]
	assert.Equal(t, last.To, instance.ID("o2"))
	assert.Assert(t, last.Offers[0].Running)
}

func TestRequestIsDispatchedAgainAfterNotSent(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	e.Step(start, Accept{Request: newRequest("r", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, newGranted("o1", "r", 1))
	e.Step(start, NotSent{Request: "r", Attempt: 1, Reason: structs.ReasonConnectFailed})
	e.Step(start, newGranted("o1", "r", 2))
	effects := e.Ready()
	assert.Equal(t, len(effectsOf[SendReturn](effects)), 1)
	assert.Equal(t, len(effectsOf[Dispatch](effects)), 2)
}

func TestLateGrantOfFinishedRequest(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	for _, id := range []string{"ran", "left"} {
		e.Step(start, Accept{Request: newRequest(id, 0, start.Add(time.Minute)), Shard: shard})
	}
	e.Step(start, newGranted("o1", "ran", 1))
	e.Step(start, Finished{Request: "ran", Attempt: 1, Outcome: structs.OutcomeDone})
	e.Step(start, CallerDisconnected{Request: "left"})
	e.Ready()
	for _, id := range []string{"ran", "left", "unknown"} {
		e.Step(start, newGranted("o2", id, 2))
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

func TestNewOwnerIsOfferedAllRequests(t *testing.T) {
	e := New(Options{})
	e.Step(start, OwnerChanged{Shard: shard, Owner: "o1"})
	e.Step(start, Accept{Request: newRequest("run", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, Accept{Request: newRequest("wait", 0, start.Add(time.Minute)), Shard: shard})
	e.Step(start, newGranted("o1", "run", 1))
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

func TestRequestExpiredInQueueIsNotRun(t *testing.T) {
	e := New(Options{})
	e.Step(start, Accept{Request: newRequest("r", 0, start.Add(time.Second)), Shard: shard})
	e.Tick(start.Add(time.Second))
	concluded := effectsOf[Conclude](e.Ready())
	assert.Equal(t, concluded[0].Outcome, structs.OutcomeNotRun)
	assert.Equal(t, concluded[0].Reason, structs.ReasonDeadlineInQueue)
	assert.Equal(t, e.Len(), 0)
}

func TestMemoryIsReleasedFromLowestTierFirst(t *testing.T) {
	e := New(Options{})
	for i := range 6 {
		e.Step(start.Add(time.Duration(i)), Accept{Request: newRequest(fmt.Sprint(i), i%3, start.Add(time.Minute)), Shard: shard})
	}
	e.Step(start, ReleaseMemory{MaxWaiting: 3})
	var ids []structs.RequestID
	for _, c := range effectsOf[Conclude](e.Ready()) {
		ids = append(ids, c.Request)
	}
	assert.DeepEqual(t, ids, []structs.RequestID{"5", "2", "4"})
}

// seedCount returns the number of seeds for randomised runs: SAMPHIREWING_SEEDS
// or the default.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("SAMPHIREWING_SEEDS")); err == nil {
		return n
	}
	return defaultCount
}

// TestRandomisedRuns sends an entry random grants, refusals, owner changes and
// dispatch answers, in any order, lost, repeated and late. It checks the
// invariants from the effects, independently of the checks in the package.
func TestRandomisedRuns(t *testing.T) {
	for seed := range seedCount(400) {
		run := newRandomRun(uint64(seed))
		run.runRandomEvents()
		run.settle()
		assert.Equal(t, run.violation, "", "seed %d\n%s", seed, run.trace.String())
		assert.Equal(t, run.entry.Len(), 0, "seed %d\n%s", seed, run.trace.String())
		assert.Equal(t, len(run.concluded), run.accepted, "seed %d\n%s", seed, run.trace.String())
	}
}

type dispatchedAttempt struct {
	Dispatch
	unanswered bool
}

type randomRun struct {
	random    *rand.Rand
	now       time.Time
	entry     *Entry
	accepted  int
	attempts  []*dispatchedAttempt
	sent      map[structs.RequestID]int
	concluded map[structs.RequestID]structs.Outcome
	violation string
	trace     strings.Builder
}

func newRandomRun(seed uint64) *randomRun {
	return &randomRun{
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       start,
		entry:     New(Options{}),
		sent:      make(map[structs.RequestID]int),
		concluded: make(map[structs.RequestID]structs.Outcome),
	}
}

func (r *randomRun) runRandomEvents() {
	for range 300 {
		r.now = r.now.Add(time.Duration(r.random.IntN(200)) * time.Millisecond)
		r.step(r.randomEvent())
	}
}

// settle expires every deadline and answers every dispatch.
func (r *randomRun) settle() {
	r.now = r.now.Add(time.Hour)
	r.step(nil)
	for _, a := range r.attempts {
		if a.unanswered {
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
		r.checkEffect(effect)
	}
}

func (r *randomRun) checkEffect(effect Effect) {
	switch ef := effect.(type) {
	case Dispatch:
		r.attempts = append(r.attempts, &dispatchedAttempt{Dispatch: ef, unanswered: true})
		if r.sent[ef.Request] > 0 {
			r.violation = fmt.Sprintf("request %s dispatched after it was sent", ef.Request)
		}
		if _, ended := r.concluded[ef.Request]; ended {
			r.violation = fmt.Sprintf("request %s dispatched after its outcome", ef.Request)
		}
	case Conclude:
		if _, twice := r.concluded[ef.Request]; twice {
			r.violation = fmt.Sprintf("request %s concluded twice", ef.Request)
		}
		if ef.Outcome == structs.OutcomeNotRun && r.sent[ef.Request] > 0 {
			r.violation = fmt.Sprintf("request %s was sent but is not_run", ef.Request)
		}
		r.concluded[ef.Request] = ef.Outcome
	}
}

func (r *randomRun) randomEvent() Event {
	id := fmt.Sprint(r.random.IntN(max(1, r.accepted)))
	owner := fmt.Sprintf("o%d", r.random.IntN(3))
	s := Shard{Pool: "p", Number: 0}
	switch r.random.IntN(10) {
	case 0, 1, 2:
		r.accepted++
		deadline := r.now.Add(time.Duration(r.random.IntN(20_000)) * time.Millisecond)
		return Accept{Request: newRequest(fmt.Sprint(r.accepted-1), r.random.IntN(3), deadline), Shard: s}
	case 3:
		return OwnerChanged{Shard: s, Owner: instance.ID(owner)}
	case 4, 5:
		return newGranted(owner, id, r.random.IntN(100))
	case 6:
		return r.answerRandomAttempt()
	case 7:
		return Refused{From: instance.ID(owner), Request: structs.RequestID(id), Refusal: structs.Refusal{Reason: structs.ReasonQueueFull}}
	case 8:
		return CancelRequested{Request: structs.RequestID(id), Reason: structs.ReasonCanceledByOwner}
	default:
		return CallerDisconnected{Request: structs.RequestID(id)}
	}
}

func (r *randomRun) answerRandomAttempt() Event {
	if len(r.attempts) == 0 {
		return ReleaseMemory{MaxWaiting: 5}
	}
	return r.answer(r.attempts[r.random.IntN(len(r.attempts))])
}

// answer returns a random answer to a dispatch, or late progress if the attempt
// was already answered.
func (r *randomRun) answer(a *dispatchedAttempt) Event {
	if !a.unanswered {
		return Progressed{Request: a.Request, Attempt: a.Attempt, Output: 1}
	}
	a.unanswered = false
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
