package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// faultKind names a kind of fault.
type faultKind string

// The kinds of fault. Those in the first group are planned work, which must not
// cost any request.
const (
	daemonTerm faultKind = "daemon-term"
	// daemonTermWaiting stops a daemon where requests wait for busy endpoints.
	daemonTermWaiting faultKind = "daemon-term-waiting"
	daemonHangup      faultKind = "daemon-hangup"
	settingsBroken    faultKind = "settings-broken"
	configPublish     faultKind = "config-publish"
	configStorm       faultKind = "config-storm"
	// configLarge publishes two large configurations while links to the store are
	// slow.
	configLarge   faultKind = "config-large"
	endpointDrain faultKind = "endpoint-drain"
	// endpointLateWrite is endpointDrain with an earlier write that the store
	// executes late. It must cost no more.
	endpointLateWrite faultKind = "endpoint-late-write"

	daemonKill           faultKind = "daemon-kill"
	daemonPause          faultKind = "daemon-pause"
	linkDelay            faultKind = "link-delay"
	linkReset            faultKind = "link-reset"
	linkSilence          faultKind = "link-silence"
	linkHoldUp           faultKind = "link-hold-up"
	linkHoldDown         faultKind = "link-hold-down"
	linkRefuse           faultKind = "link-refuse"
	storeUnavailable     faultKind = "store-away"
	storeSilent          faultKind = "store-silent"
	storeLosesAnswers    faultKind = "store-loses-answers"
	storeForgets         faultKind = "store-forgets"
	storeLapse           faultKind = "store-lapse"
	storeRestored        faultKind = "store-restored"
	daemonsKill          faultKind = "daemons-kill"
	endpointCrash        faultKind = "endpoint-crash"
	endpointRejects      faultKind = "endpoint-rejects"
	endpointLosesAnswers faultKind = "endpoint-loses-answers"
	endpointSlow         faultKind = "endpoint-slow"
	endpointEpisodes     faultKind = "endpoint-episodes"
	endpointClock        faultKind = "endpoint-clock-back"
	endpointLeaves       faultKind = "endpoint-leaves-unannounced"
	// endpointUpgrade crashes an endpoint, which starts anew under its name and at its
	// address with the other version.
	endpointUpgrade faultKind = "endpoint-upgrade"
	// versionJoins lets endpoints of a new version join and crash while a daemon is out of
	// step.
	versionJoins faultKind = "version-joins"
	// endpointUnframed makes the streams of an endpoint end with their connection, and
	// kills it in the middle of them, by turns after a notice that it leaves.
	endpointUnframed  faultKind = "endpoint-unframed-killed"
	endpointBackoff   faultKind = "endpoint-backoff"
	endpointOddStatus faultKind = "endpoint-odd-status"
	readersCut        faultKind = "store-readers-cut"
	poolRejects       faultKind = "pool-rejects"
	endpointLimit     faultKind = "endpoint-limit"
	poisonPart        faultKind = "poison-part"
)

var (
	plannedKinds   = []faultKind{daemonTerm, daemonTermWaiting, daemonHangup, settingsBroken, configPublish, configStorm, configLarge, endpointDrain, endpointLateWrite}
	unplannedKinds = []faultKind{
		daemonKill, daemonPause, linkDelay, linkReset, linkSilence, linkHoldUp, linkHoldDown, linkRefuse,
		storeUnavailable, storeSilent, storeLosesAnswers, storeForgets, storeLapse, storeRestored, daemonsKill, endpointCrash, endpointRejects, endpointLosesAnswers, endpointSlow, endpointClock, endpointLeaves, endpointBackoff, endpointOddStatus, readersCut, poolRejects, endpointLimit, poisonPart, badVersion,
		endpointEpisodes, endpointUpgrade, endpointUnframed, versionJoins,
	}
	// promptedKinds are drawn more often, since only long faults of these kinds
	// test a promise.
	promptedKinds = []faultKind{endpointLimit, poisonPart, badVersion}
)

// isPlanned reports whether the fault is planned work.
func (k faultKind) isPlanned() bool { return slices.Contains(plannedKinds, k) }

// fault is one injected fault of a plan.
type fault struct {
	kind faultKind
	// at is the start of the fault, relative to the start of the load.
	at, duration time.Duration
	// target selects the daemon, endpoint or link, modulo the number of
	// candidates of the kind.
	target int
}

// between returns a duration that the target chooses from a range.
func (f fault) between(shortest, longest time.Duration) time.Duration {
	const steps = 1000
	return shortest + time.Duration(f.target%steps)*(longest-shortest)/steps
}

func (f fault) String() string {
	return fmt.Sprintf("%v+%v %s(%d)", f.at.Round(time.Millisecond), f.duration.Round(time.Millisecond), f.kind, f.target)
}

// plan is the series of faults that a seed determines.
type plan struct {
	seed   uint64
	length time.Duration
	faults []fault
}

const (
	// warmUp is the time before the first fault, in which connections are
	// established.
	warmUp = time.Second
	// plannedShare is the leading share of a plan in which all faults are
	// planned work, so that a lost request can't have another cause.
	plannedShare = 0.45
	// plannedGap and unplannedGap are the mean times between the starts of two
	// consecutive faults; faults last longer, so that they overlap.
	plannedGap   = 1200 * time.Millisecond
	unplannedGap = 600 * time.Millisecond
	// One in promptedEvery unplanned faults is of the promptedKinds.
	promptedEvery = 6
	// minFault and maxFault bound a fault's duration. The longest exceeds the
	// time-outs of peers and of the store's long-polling reads.
	minFault = 200 * time.Millisecond
	maxFault = 5 * time.Second
)

// newPlan generates the plan of a seed. If only is not empty, faults of other kinds
// are left out.
func newPlan(seed uint64, length time.Duration, only []faultKind) plan {
	random := rand.New(rand.NewPCG(seed, 1))
	p := plan{seed: seed, length: length}
	unplannedFrom := time.Duration(plannedShare * float64(length))
	for at := warmUp; at < length; {
		kinds, gap := plannedKinds, plannedGap
		if at > unplannedFrom {
			gap = unplannedGap
			if random.IntN(4) > 0 {
				kinds = unplannedKinds
			}
			if random.IntN(promptedEvery) == 0 {
				kinds = promptedKinds
			}
		}
		duration := minFault + time.Duration(random.Float64()*random.Float64()*float64(maxFault-minFault))
		if kinds = restrict(kinds, only); len(kinds) > 0 {
			p.faults = append(p.faults, fault{kind: kinds[random.IntN(len(kinds))], at: at, duration: duration, target: random.IntN(1 << 16)})
		}
		at += time.Duration((0.2 + 1.6*random.Float64()) * float64(gap))
	}
	return p
}

// restrict returns the kinds that are in only, or all if that is empty.
func restrict(kinds, only []faultKind) []faultKind {
	if len(only) == 0 {
		return kinds
	}
	return slices.DeleteFunc(slices.Clone(kinds), func(k faultKind) bool { return !slices.Contains(only, k) })
}

// parseKinds returns the kinds of the given names.
func parseKinds(names []string) (kinds []faultKind, err error) {
	for _, name := range names {
		kind := faultKind(name)
		if !slices.Contains(plannedKinds, kind) && !slices.Contains(unplannedKinds, kind) {
			return nil, errors.NotValidf("fault %q; a report of a run lists the kinds:", name)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// withoutRange returns the plan without the faults [i, j).
func (p plan) withoutRange(i, j int) plan {
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

// shrink removes faults, by halving ranges, as long as the plan still fails. It
// calls fails at most tries times.
func shrink(p plan, tries int, fails func(plan) bool) plan {
	for part := (len(p.faults) + 1) / 2; part > 0 && tries > 0; {
		dropped := false
		for i := 0; i < len(p.faults) && tries > 0; {
			smaller := p.withoutRange(i, min(i+part, len(p.faults)))
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
