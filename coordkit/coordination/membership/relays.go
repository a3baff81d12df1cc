package membership

import (
	"slices"

	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// lingerRounds is how many rounds the targets of a former link are told more.
const lingerRounds = 2

// relaysOf returns the instances of a failure domain that handle its link to
// another one, and keeps the answer until the live members there change.
//
// Each link goes to the instances that rank highest for it among those that
// still have room, so that no instance carries more than its share of links.
func (m *Machine) relaysOf(d, other *domain) []instance.ID {
	if d.relays == nil {
		d.relays = m.assignRelays(d)
	}
	return d.relays[other.name]
}

// forgetRelays drops the kept relays of a failure domain.
func (d *domain) forgetRelays() { d.relays = nil }

// assignRelays gives every link of a failure domain its relays.
func (m *Machine) assignRelays(d *domain) map[instance.FailureDomain][]instance.ID {
	relays := map[instance.FailureDomain][]instance.ID{}
	live := candidates(d, func(e *entry) bool { return e.alive })
	if len(live) == 0 {
		return relays
	}
	perLink := min(m.options.RelaysPerLink, len(live))
	links := len(m.domainOrder) - 1
	room := (links*perLink + len(live) - 1) / len(live)
	load := map[instance.ID]int{}
	for _, other := range m.domainOrder {
		if other == d {
			continue
		}
		ranked := ownership.Ranked(linkKey(d.name, other.name), live, len(live))
		slices.SortStableFunc(ranked, func(a, b instance.ID) int {
			return max(load[a]-room+1, 0) - max(load[b]-room+1, 0)
		})
		relays[other.name] = ranked[:perLink]
		for _, id := range ranked[:perLink] {
			load[id]++
		}
	}
	return relays
}

// linkKey is the rendezvous key of the relays of one failure domain that
// handle another one.
func linkKey(of, with instance.FailureDomain) string {
	return "relay/" + string(of) + "/" + string(with)
}

// relayTargets returns the instances of another failure domain to report to:
// the relays there or, without news from there, each known instance in turn.
func (m *Machine) relayTargets(d *domain) []instance.ID {
	if relays := m.relaysOf(d, m.ownDomain()); len(relays) > 0 {
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

// reportTargets returns whom to report to in a failure domain now. Those of a
// former link still hear of us for a few rounds: what we last told them counts
// there until it is too old, so it must include what moved the link.
func (m *Machine) reportTargets(d *domain) []instance.ID {
	var targets []instance.ID
	if slices.Contains(m.relaysOf(m.ownDomain(), d), m.options.Self.ID) {
		targets = m.relayTargets(d)
	}
	if !slices.Equal(targets, d.targets) {
		d.formerTargets, d.targets, d.targetsChanged = d.targets, targets, m.round
	}
	if m.round-d.targetsChanged > lingerRounds {
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

func candidates(d *domain, use func(*entry) bool) []ownership.Candidate {
	var all []ownership.Candidate
	for _, e := range d.members {
		if use(e) {
			all = append(all, ownership.Candidate{ID: e.member.ID, FailureDomain: d.name})
		}
	}
	return all
}
