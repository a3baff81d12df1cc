package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// kind names a fault.
type kind string

// The faults. Those of planned work may cost callers nothing.
const (
	daemonTerm     kind = "daemon-term"
	daemonHangup   kind = "daemon-hangup"
	settingsBroken kind = "settings-broken"
	configPublish  kind = "config-publish"
	configStorm    kind = "config-storm"
	endpointDrain  kind = "endpoint-drain"

	daemonKill      kind = "daemon-kill"
	daemonPause     kind = "daemon-pause"
	linkDelay       kind = "link-delay"
	linkReset       kind = "link-reset"
	linkSilence     kind = "link-silence"
	linkHoldUp      kind = "link-hold-up"
	linkHoldDown    kind = "link-hold-down"
	linkRefuse      kind = "link-refuse"
	storeAway       kind = "store-away"
	storeSilent     kind = "store-silent"
	storeLoses      kind = "store-loses-answers"
	storeForgets    kind = "store-forgets"
	storeLapse      kind = "store-lapse"
	endpointCrash   kind = "endpoint-crash"
	endpointRejects kind = "endpoint-rejects"
	endpointLoses   kind = "endpoint-loses-answers"
	endpointSlow    kind = "endpoint-slow"
	endpointClock   kind = "endpoint-clock-back"
	poolRejects     kind = "pool-rejects"
)

var (
	plannedKinds = []kind{daemonTerm, daemonHangup, settingsBroken, configPublish, configStorm, endpointDrain}
	otherKinds   = []kind{
		daemonKill, daemonPause, linkDelay, linkReset, linkSilence, linkHoldUp, linkHoldDown, linkRefuse,
		storeAway, storeSilent, storeLoses, storeForgets, storeLapse, endpointCrash, endpointRejects, endpointLoses, endpointSlow, endpointClock, poolRejects,
	}
)

// planned tells whether a fault is planned work.
func (k kind) planned() bool { return slices.Contains(plannedKinds, k) }

// fault is one fault of a plan.
type fault struct {
	kind kind
	// at is counted from the start of the load.
	at, length time.Duration
	// target picks the daemon, endpoint or link; each kind takes it modulo
	// what there is.
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%v+%v %s(%d)", f.at.Round(time.Millisecond), f.length.Round(time.Millisecond), f.kind, f.target)
}

// plan is a seeded series of faults.
type plan struct {
	seed   uint64
	length time.Duration
	faults []fault
}

const (
	// calmBefore is the time before the first fault, in which connections are
	// made.
	calmBefore = time.Second
	// plannedPart is the part of a plan in which all faults are planned work,
	// so that what it cuts has no other cause.
	plannedPart = 0.45
	// plannedGap and otherGap are the mean times between the starts of two
	// faults; faults last longer, so that they overlap.
	plannedGap = 1200 * time.Millisecond
	otherGap   = 600 * time.Millisecond
	// minFault and maxFault bound how long a fault lasts; the longest outlasts
	// the time-outs of peers and of the store's waiting reads.
	minFault = 200 * time.Millisecond
	maxFault = 5 * time.Second
)

// newPlan draws a plan.
func newPlan(seed uint64, length time.Duration) plan {
	random := rand.New(rand.NewPCG(seed, 1))
	p := plan{seed: seed, length: length}
	change := time.Duration(plannedPart * float64(length))
	for at := calmBefore; at < length; {
		kinds, gap := plannedKinds, plannedGap
		if at > change {
			gap = otherGap
			if random.IntN(4) > 0 {
				kinds = otherKinds
			}
		}
		lasting := minFault + time.Duration(random.Float64()*random.Float64()*float64(maxFault-minFault))
		p.faults = append(p.faults, fault{kind: kinds[random.IntN(len(kinds))], at: at, length: lasting, target: random.IntN(1 << 16)})
		at += time.Duration((0.2 + 1.6*random.Float64()) * float64(gap))
	}
	return p
}

// without returns the plan without the faults from i to j.
func (p plan) without(i, j int) plan {
	p.faults = append(slices.Clone(p.faults[:i]), p.faults[j:]...)
	return p
}

func (p plan) String() string {
	lines := make([]string, 0, len(p.faults))
	for _, f := range p.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// shrink drops faults for as long as the plan still fails; tries bounds the
// runs.
func shrink(p plan, tries int, fails func(plan) bool) plan {
	for part := (len(p.faults) + 1) / 2; part > 0 && tries > 0; {
		dropped := false
		for i := 0; i < len(p.faults) && tries > 0; {
			smaller := p.without(i, min(i+part, len(p.faults)))
			tries--
			if fails(smaller) {
				p, dropped = smaller, true
				continue
			}
			i += part
		}
		if !dropped {
			part /= 2
		}
	}
	return p
}
