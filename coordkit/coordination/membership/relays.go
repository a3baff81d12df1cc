package membership

import (
	"slices"

	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// formerTargetRounds is the number of rounds for which the former targets of a
// link still receive reports.
const formerTargetRounds = 2

// relaysForLink returns the instances of a failure domain that handle its link
// to another one. The result is cached until the live members change.
//
// Each link is assigned to the instances that rank highest for it among those
// below their maximum, so that no instance handles more than its share of
// links.
func (m *Machine) relaysForLink(d, other *domain) []instance.ID {
	if d.relays == nil {
		d.relays = m.assignRelays(d)
	}
	return d.relays[other.name]
}

// invalidateRelays clears the cached relays of a failure domain.
func (d *domain) invalidateRelays() { d.relays = nil }

// assignRelays returns the relays for each link of a failure domain.
func (m *Machine) assignRelays(d *domain) map[instance.FailureDomain][]instance.ID {
	relays := map[instance.FailureDomain][]instance.ID{}
	live := candidates(d, func(e *entry) bool { return e.alive })
	if len(live) == 0 {
		return relays
	}
	perLink := min(m.options.RelaysPerLink, len(live))
	links := len(m.domainOrder) - 1
	maxLinks := (links*perLink + len(live) - 1) / len(live)
	linkCount := map[instance.ID]int{}
	for _, other := range m.domainOrder {
		if other == d {
			continue
		}
		ranked := ownership.Ranked(linkKey(d.name, other.name), live, len(live))
		slices.SortStableFunc(ranked, func(a, b instance.ID) int {
			return max(linkCount[a]-maxLinks+1, 0) - max(linkCount[b]-maxLinks+1, 0)
		})
		relays[other.name] = ranked[:perLink]
		for _, id := range ranked[:perLink] {
			linkCount[id]++
		}
	}
	return relays
}

// linkKey is the rendezvous key for the relays in a failure domain that handle
// its link to another one.
func linkKey(domain, linked instance.FailureDomain) string {
	return "relay/" + string(domain) + "/" + string(linked)
}

// relayTargets returns the instances of another failure domain to report to:
// its relays or, if no instance there is known to be live, the known instances
// in rotation.
func (m *Machine) relayTargets(d *domain) []instance.ID {
	if relays := m.relaysForLink(d, m.ownDomain()); len(relays) > 0 {
		return relays
	}
	known := candidates(d, func(e *entry) bool { return !(e.version == 0 && e.listedLeaving) })
	ranked := ownership.Ranked(linkKey(d.name, m.options.Self.FailureDomain), known, len(known))
	var targets []instance.ID
	for i := range min(m.options.RelaysPerLink, len(ranked)) {
		targets = append(targets, ranked[(int(m.round)+i)%len(ranked)])
	}
	return targets
}

// reportTargets returns the instances of a failure domain to report to in this
// round. The former targets still receive reports for a few rounds: they use
// the last report until it expires, so it must include the change that moved
// the link.
func (m *Machine) reportTargets(d *domain) []instance.ID {
	var targets []instance.ID
	if slices.Contains(m.relaysForLink(m.ownDomain(), d), m.options.Self.ID) {
		targets = m.relayTargets(d)
	}
	if !slices.Equal(targets, d.targets) {
		d.formerTargets, d.targets, d.targetsChangedRound = d.targets, targets, m.round
	}
	if m.round-d.targetsChangedRound > formerTargetRounds {
		return targets
	}
	all := slices.Clone(targets)
	for _, id := range d.formerTargets {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

func candidates(d *domain, include func(*entry) bool) []ownership.Candidate {
	var all []ownership.Candidate
	for _, e := range d.members {
		if include(e) {
			all = append(all, ownership.Candidate{ID: e.member.ID, FailureDomain: d.name})
		}
	}
	return all
}
