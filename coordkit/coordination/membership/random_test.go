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
	// agreementBound is the maximum time after the last fault until all
	// instances agree on the live members and their lines.
	agreementBound = 10 * time.Second
	faultPhase     = 15 * time.Second
	stablePhase    = 3 * time.Second
	checkInterval  = 100 * time.Millisecond
	// maxTraceLines bounds the trace printed for a failed run.
	maxTraceLines = 300
)

// TestRandomRuns injects random faults and checks that the machines agree
// within agreementBound after the last one. Run a single seed with
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
	rng     *rand.Rand
	domains int
	// revision is the newest configuration revision used.
	revision int64
	// staleList is the platform's list as read during the faults.
	staleList []ListedMember
}

func newRandomRun(seed uint64) *randomRun {
	r := &randomRun{network: newNetwork(seed, Options{}), rng: rand.New(rand.NewPCG(seed, 2))}
	r.onEffect = func(p *process, e Effect) {
		if c, ok := e.(MemberChanged); ok {
			r.log("%s sees %s %s rev %d (was %s %s)", p.self, c.Member.Process, c.Member.State, c.Member.Revision,
				c.Previous.Process, c.Previous.State)
		}
	}
	r.domains = 1 + r.rng.IntN(8)
	size := 4 + r.rng.IntN(12)
	if r.rng.IntN(8) == 0 {
		size = 16 + r.rng.IntN(45)
	}
	r.populate(size, r.domains)
	r.staleList = slices.Clone(r.members)
	return r
}

func (r *randomRun) run(t *testing.T) {
	defer func() {
		if breach, ok := recover().(invariant.Violation); ok {
			t.Fatalf("%v\n%s", breach, r.traceTail())
		}
	}()
	for end := r.now.Add(faultPhase); r.now.Before(end); {
		r.applyRandomAction()
		r.network.run(time.Duration(100+r.rng.IntN(1400)) * time.Millisecond)
		r.checkOwners(t)
	}
	r.endFaults()
	if elapsed, ok := r.waitForAgreement(); !ok {
		t.Fatalf("no agreement %v after the last fault: %s\n%s", elapsed, r.disagreement(), r.traceTail())
	}
	r.network.run(stablePhase)
	if d := r.disagreement(); d != "" {
		t.Fatalf("processes disagree again: %s\n%s", d, r.traceTail())
	}
}

// traceTail returns the last maxTraceLines of the trace.
func (r *randomRun) traceTail() string {
	return strings.Join(r.trace[max(0, len(r.trace)-maxTraceLines):], "\n")
}

// waitForAgreement runs until all processes agree, at most for agreementBound.
// It returns the virtual time taken, and whether they agree.
func (r *randomRun) waitForAgreement() (time.Duration, bool) {
	start := r.now
	for r.now.Sub(start) < agreementBound {
		r.network.run(checkInterval)
		if r.disagreement() == "" {
			return r.now.Sub(start), true
		}
	}
	return agreementBound, false
}

// applyRandomAction injects a random fault or change.
func (r *randomRun) applyRandomAction() {
	actions := []func(){
		r.changeNetwork, r.cutDomains, r.cutInstances, r.removeCuts, r.kill, r.kill, r.restart, r.restart,
		r.pause, r.changeSelf, r.changeSelf, r.leave, r.changeStaleList, r.readStaleList,
	}
	actions[r.rng.IntN(len(actions))]()
}

func (r *randomRun) randomProcess() *process { return r.processes[r.order[r.rng.IntN(len(r.order))]] }

func (r *randomRun) randomDomain() instance.FailureDomain { return r.randomProcess().domain }

func (r *randomRun) changeNetwork() {
	r.faults = faults{
		loss:       r.rng.Float64() * 0.4,
		duplicate:  r.rng.Float64() * 0.3,
		extraDelay: time.Duration(r.rng.IntN(2000)) * time.Millisecond,
	}
	r.log("network: loss %.2f, duplicates %.2f, delay to %v", r.faults.loss, r.faults.duplicate, r.faults.extraDelay)
}

func (r *randomRun) cutDomains() {
	a, b := r.randomDomain(), r.randomDomain()
	if a == b {
		return
	}
	r.cutDomainPairs[[2]instance.FailureDomain{a, b}] = true
	if r.rng.IntN(2) == 0 {
		r.cutDomainPairs[[2]instance.FailureDomain{b, a}] = true
	}
	r.log("cut %s to %s", a, b)
}

func (r *randomRun) cutInstances() {
	a, b := r.randomProcess().self.ID, r.randomProcess().self.ID
	r.cutInstancePairs[[2]instance.ID{a, b}] = true
	r.log("cut %s to %s", a, b)
}

func (r *randomRun) removeCuts() {
	clear(r.cutDomainPairs)
	clear(r.cutInstancePairs)
	r.log("cuts removed")
}

func (r *randomRun) kill() {
	p := r.randomProcess()
	if p.up {
		p.up = false
		r.log("kill %s", p.self)
	}
}

// restart starts the next incarnation, even if the instance was not killed.
func (r *randomRun) restart() {
	p := r.randomProcess()
	r.start(p.self.ID, p.domain, p.self.Incarnation+1)
}

func (r *randomRun) pause() {
	p := r.randomProcess()
	p.pausedUntil = r.now.Add(time.Duration(r.rng.IntN(6000)) * time.Millisecond)
	r.log("pause %s until %s", p.self, p.pausedUntil.Format("05.000"))
}

func (r *randomRun) changeSelf() {
	p := r.randomProcess()
	if !p.up {
		return
	}
	r.revision += int64(r.rng.IntN(3))
	state := Ready
	if r.rng.IntN(4) == 0 {
		state = Draining
	}
	r.log("%s reports %s, revision %d", p.self, state, r.revision)
	r.apply(p, SelfChanged{State: state, Revision: r.revision, Load: r.rng.Uint32N(100), Weight: 100})
}

func (r *randomRun) leave() {
	p := r.randomProcess()
	if p.up {
		r.log("%s leaves", p.self)
		r.apply(p, SelfChanged{State: Leaving, Weight: 100})
	}
}

// changeStaleList replaces the stale list by one with random entries missing or
// marked as leaving.
func (r *randomRun) changeStaleList() {
	r.staleList = nil
	for _, l := range r.members {
		switch r.rng.IntN(5) {
		case 0:
			continue
		case 1:
			l.Leaving = true
		}
		r.staleList = append(r.staleList, l)
	}
	r.log("list names %d of %d", len(r.staleList), len(r.members))
}

func (r *randomRun) readStaleList() {
	p := r.randomProcess()
	if p.up {
		r.log("%s reads the list", p.self)
		r.apply(p, ListRead{Members: r.staleList})
	}
}

// endFaults ends all faults: it removes cuts, resumes paused processes and lets
// all read the correct list.
func (r *randomRun) endFaults() {
	r.removeCuts()
	r.faults = faults{}
	r.log("all faults end")
	for _, id := range r.order {
		p := r.processes[id]
		p.pausedUntil = time.Time{}
		if p.up {
			r.apply(p, ListRead{Members: r.members})
		}
	}
}

// checkOwners checks that processes with the same candidates compute the same
// owners, whatever the order of the candidates.
func (r *randomRun) checkOwners(t *testing.T) {
	group := ownership.Group{Name: "pool", Shards: 5, Spread: true}
	owners := map[string]string{}
	for _, id := range r.order {
		p := r.processes[id]
		if !p.up {
			continue
		}
		candidates := Candidates(p.machine.Live())
		key := fmt.Sprint(candidates)
		r.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		assigned := fmt.Sprint(ownership.Assign(group, candidates))
		if before, ok := owners[key]; ok && before != assigned {
			t.Fatalf("%s computes other owners from the same candidates: %s, %s\n%s", p.self, assigned, before, r.traceTail())
		}
		owners[key] = assigned
	}
}
