package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the randomised runs")
	seedCount = flag.Uint64("seeds", 200, "number of randomised runs")
)

const (
	// agreementBound is the stated time after the last fault within which all
	// instances agree on who lives and what each says of itself.
	agreementBound = 10 * time.Second
	faultTime      = 15 * time.Second
	stableTime     = 3 * time.Second
	checkInterval  = 100 * time.Millisecond
	// traceLines is how much of a failed run is printed.
	traceLines = 300
)

// TestRandomRuns lets machines run through random faults and asks that they
// agree in time after the last one. Run one seed with
// go test -run TestRandomRuns -first-seed N -seeds 1.
func TestRandomRuns(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			newRandomRun(seed).run(t)
		})
	}
}

// randomRun is one seeded run.
type randomRun struct {
	*network
	dice    *rand.Rand
	domains int
	// revision is the newest configuration revision made up so far.
	revision int64
	// staleList is what processes read while the platform's list lags.
	staleList []ListedMember
}

func newRandomRun(seed uint64) *randomRun {
	r := &randomRun{network: newNetwork(seed, Options{}), dice: rand.New(rand.NewPCG(seed, 2))}
	r.onEffect = func(p *process, e Effect) {
		if c, ok := e.(MemberChanged); ok {
			r.log("%s sees %s %s rev %d (was %s %s)", p.life, c.Member.Process, c.Member.State, c.Member.Revision,
				c.Previous.Process, c.Previous.State)
		}
	}
	r.domains = 1 + r.dice.IntN(8)
	size := 4 + r.dice.IntN(12)
	if r.dice.IntN(8) == 0 {
		size = 16 + r.dice.IntN(45)
	}
	r.populate(size, r.domains)
	r.staleList = slices.Clone(r.list)
	return r
}

func (r *randomRun) run(t *testing.T) {
	defer func() {
		if breach, ok := recover().(invariant.Violation); ok {
			t.Fatalf("%v\n%s", breach, r.tail())
		}
	}()
	for end := r.now.Add(faultTime); r.now.Before(end); {
		r.step()
		r.network.run(time.Duration(100+r.dice.IntN(1400)) * time.Millisecond)
		r.checkOwners(t)
	}
	r.heal()
	if took, ok := r.agree(); !ok {
		t.Fatalf("no agreement %v after the last fault: %s\n%s", took, r.disagreement(), r.tail())
	}
	r.network.run(stableTime)
	if d := r.disagreement(); d != "" {
		t.Fatalf("agreement was lost again: %s\n%s", d, r.tail())
	}
}

// tail is the end of the trace.
func (r *randomRun) tail() string {
	return strings.Join(r.trace[max(0, len(r.trace)-traceLines):], "\n")
}

// agree runs until all processes agree, at most for the bound.
func (r *randomRun) agree() (time.Duration, bool) {
	start := r.now
	for r.now.Sub(start) < agreementBound {
		r.network.run(checkInterval)
		if r.disagreement() == "" {
			return r.now.Sub(start), true
		}
	}
	return agreementBound, false
}

// step does one random thing.
func (r *randomRun) step() {
	actions := []func(){
		r.changeNetwork, r.cutDomains, r.cutInstances, r.healCuts, r.kill, r.kill, r.restart, r.restart,
		r.pause, r.changeLine, r.changeLine, r.leave, r.changeList, r.readListSomewhere,
	}
	actions[r.dice.IntN(len(actions))]()
}

func (r *randomRun) any() *process { return r.processes[r.order[r.dice.IntN(len(r.order))]] }

func (r *randomRun) anyDomain() instance.FailureDomain { return r.any().domain }

func (r *randomRun) changeNetwork() {
	r.faults = faults{
		loss:       r.dice.Float64() * 0.4,
		duplicate:  r.dice.Float64() * 0.3,
		extraDelay: time.Duration(r.dice.IntN(2000)) * time.Millisecond,
	}
	r.log("network: loss %.2f, duplicates %.2f, delay to %v", r.faults.loss, r.faults.duplicate, r.faults.extraDelay)
}

func (r *randomRun) cutDomains() {
	a, b := r.anyDomain(), r.anyDomain()
	if a == b {
		return
	}
	r.cut[[2]instance.FailureDomain{a, b}] = true
	if r.dice.IntN(2) == 0 {
		r.cut[[2]instance.FailureDomain{b, a}] = true
	}
	r.log("cut %s to %s", a, b)
}

func (r *randomRun) cutInstances() {
	a, b := r.any().life.ID, r.any().life.ID
	r.cutPair[[2]instance.ID{a, b}] = true
	r.log("cut %s to %s", a, b)
}

func (r *randomRun) healCuts() {
	clear(r.cut)
	clear(r.cutPair)
	r.log("cuts healed")
}

func (r *randomRun) kill() {
	p := r.any()
	if p.up {
		p.up = false
		r.log("kill %s", p.life)
	}
}

// restart starts the next life, also of an instance that was not stopped.
func (r *randomRun) restart() {
	p := r.any()
	r.start(p.life.ID, p.domain, p.life.Incarnation+1)
}

func (r *randomRun) pause() {
	p := r.any()
	p.pausedUntil = r.now.Add(time.Duration(r.dice.IntN(6000)) * time.Millisecond)
	r.log("pause %s until %s", p.life, p.pausedUntil.Format("05.000"))
}

func (r *randomRun) changeLine() {
	p := r.any()
	if !p.up {
		return
	}
	r.revision += int64(r.dice.IntN(3))
	state := Ready
	if r.dice.IntN(4) == 0 {
		state = Draining
	}
	r.log("%s says %s, revision %d", p.life, state, r.revision)
	r.apply(p, SelfChanged{State: state, Revision: r.revision, Load: r.dice.Uint32N(100), Weight: 100})
}

func (r *randomRun) leave() {
	p := r.any()
	if p.up {
		r.log("%s leaves", p.life)
		r.apply(p, SelfChanged{State: Leaving, Weight: 100})
	}
}

// changeList makes the platform's list lag, lack lines or call lines leaving.
func (r *randomRun) changeList() {
	r.staleList = nil
	for _, l := range r.list {
		switch r.dice.IntN(5) {
		case 0:
			continue
		case 1:
			l.Leaving = true
		}
		r.staleList = append(r.staleList, l)
	}
	r.log("list names %d of %d", len(r.staleList), len(r.list))
}

func (r *randomRun) readListSomewhere() {
	p := r.any()
	if p.up {
		r.log("%s reads the list", p.life)
		r.apply(p, ListRead{Members: r.staleList})
	}
}

// heal ends all faults: what was cut passes again, what was paused goes on,
// and the list is right.
func (r *randomRun) heal() {
	r.healCuts()
	r.faults = faults{}
	r.log("all faults end")
	for _, id := range r.order {
		p := r.processes[id]
		p.pausedUntil = time.Time{}
		if p.up {
			r.apply(p, ListRead{Members: r.list})
		}
	}
}

// checkOwners asks that processes that see the same candidates name the same
// owners.
func (r *randomRun) checkOwners(t *testing.T) {
	group := ownership.Group{Name: "pool", Shards: 5, Spread: true}
	owners := map[string]string{}
	for _, id := range r.order {
		p := r.processes[id]
		if !p.up {
			continue
		}
		seen := Candidates(p.machine.Live())
		key := fmt.Sprint(seen)
		r.dice.Shuffle(len(seen), func(i, j int) { seen[i], seen[j] = seen[j], seen[i] })
		named := fmt.Sprint(ownership.Assign(group, seen))
		if before, ok := owners[key]; ok && before != named {
			t.Fatalf("%s names other owners than one that sees the same: %s, %s\n%s", p.life, named, before, r.tail())
		}
		owners[key] = named
	}
}
