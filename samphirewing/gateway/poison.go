package gateway

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/poison"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// provenAfter is how long after its head a stream must still bring events to count
// as an answer that goes on well.
const provenAfter = 100 * time.Millisecond

// poisonGuard blocks requests with prompt parts that crash endpoints. It is safe
// for concurrent use.
type poisonGuard struct {
	events  events.Sink
	metrics metricSet

	mu    sync.Mutex
	table *poison.Table
	// members are all daemons that can be reached, with this one. They are empty
	// while no others are known.
	self    instance.ID
	members []ownership.Candidate
	// changed receives a value when blocked parts have changed.
	changed chan struct{}
}

func newPoisonGuard(sink events.Sink, m metricSet) *poisonGuard {
	p := &poisonGuard{events: sink, metrics: m, changed: make(chan struct{}, 1)}
	p.table = poison.New(p.isProber)
	return p
}

// isProber reports whether this daemon is the one of all that tries a part again.
func (p *poisonGuard) isProber(part structs.PromptPart) bool {
	owner, found := ownership.Owner(part.String(), p.members)
	return !found || owner == p.self
}

func (p *poisonGuard) setMembers(self instance.ID, others []instance.ID) {
	members := []ownership.Candidate{{ID: self}}
	for _, id := range others {
		members = append(members, ownership.Candidate{ID: id})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self, p.members = self, members
}

// recordCrash records that an endpoint crashed when it had begun to answer a
// request. It reports whether the request should not be sent again.
func (p *poisonGuard) recordCrash(e endpointset.Endpoint, request string, sentAt time.Time, parts []structs.PromptPart) (inDoubt bool) {
	now := time.Now()
	suspects := make([]poison.Suspect, len(parts))
	for i, part := range parts {
		suspects[i] = poison.Suspect{Part: part, SentAt: sentAt}
	}
	id := poison.CrashID{Endpoint: xxhash.Sum64String(string(e.Name)), StartedUnixMs: e.StartedUnixMs}
	p.metrics.endpointCrashes.Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	blocked := p.table.RecordCrash(now, now, id, suspects)
	p.events.Emit(EventEndpointCrashed, events.F("endpoint", e.Name), events.F("started", e.StartedUnixMs),
		events.F("request", request), events.F("parts", structs.PromptParts(parts)))
	p.logLocked(now, blocked, nil)
	return p.table.InDoubt(parts)
}

// recordAnswer records that an answer began at the given time and went on well.
func (p *poisonGuard) recordAnswer(begun time.Time, parts []structs.PromptPart) {
	if len(parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logLocked(time.Now(), nil, p.table.RecordAnswer(begun, parts))
}

// blocked returns why a request must not be sent, and the time until its part is
// tried again. With begin set, a request that is not blocked is sent at once.
func (p *poisonGuard) blocked(parts []structs.PromptPart, begin bool) (reason string, wait time.Duration, blocked bool) {
	if len(parts) == 0 {
		return "", 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	check := p.table.Blocked
	if begin {
		check = p.table.Begin
	}
	part, wait, blocked := check(time.Now(), parts)
	if !blocked {
		return "", 0, false
	}
	p.metrics.blockedRequests.Inc(1)
	return fmt.Sprintf("requests with the prompt part %s crash endpoints and are blocked", part), wait, true
}

// outgoing returns the evidence to send to other daemons, or nil.
func (p *poisonGuard) outgoing(now time.Time) *peerpb.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Outgoing(now)
}

// merge applies the evidence of another daemon.
func (p *poisonGuard) merge(now time.Time, m *peerpb.Evidence) {
	if m == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	blocked, released := p.table.Merge(now, m)
	p.logLocked(now, blocked, released)
}

func (p *poisonGuard) logLocked(now time.Time, blocked, released []structs.PromptPart) {
	if len(blocked)+len(released) == 0 {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
		// A notice is pending already.
	}
	status := p.table.Status(now)
	p.metrics.blockedParts.Update(int64(len(status)))
	for _, s := range status {
		for _, part := range blocked {
			if s.Part == part {
				p.events.Emit(EventPromptPartBlocked, events.F("part", part), events.F("companions", structs.PromptParts(s.Companions)), events.F("crashes", s.Crashes), events.F("next_trial_ms", s.NextTrial.Milliseconds()))
			}
		}
	}
	for _, part := range released {
		p.events.Emit(EventPromptPartReleased, events.F("part", part))
	}
}

// BlockedPart describes a blocked prompt part to operators.
type BlockedPart struct {
	// Part and Companions are hexadecimal IDs. Only requests that contain all
	// companions are blocked.
	Part       string   `json:"part"`
	Companions []string `json:"companions,omitempty"`
	// Crashes is the number of crashes remembered, Trials the number of requests
	// let through since, and NextTrialSeconds the time until the next.
	Crashes          int     `json:"crashes"`
	Trials           int     `json:"trials"`
	NextTrialSeconds float64 `json:"next_trial_seconds"`
}

// BlockedParts returns the prompt parts that are blocked, in the order of their
// IDs.
func (g *Gateway) BlockedParts() []BlockedPart {
	return g.blockedParts(func(structs.PromptPart) bool { return true })
}

// BlockedPartsToRecord returns the blocked parts that this daemon keeps on record
// for all.
func (g *Gateway) BlockedPartsToRecord() []BlockedPart { return g.blockedParts(g.poison.isProber) }

// BlockedPartsChanged returns a channel that receives a value when parts were
// blocked or released.
func (g *Gateway) BlockedPartsChanged() <-chan struct{} { return g.poison.changed }

// RestoreBlockedParts blocks the parts that were on record when this daemon
// started. Malformed ones are skipped.
func (g *Gateway) RestoreBlockedParts(all []BlockedPart) {
	m := &peerpb.Evidence{}
	for _, b := range all {
		part, err := structs.ParsePromptPart(b.Part)
		if err != nil {
			continue
		}
		blocked := &peerpb.BlockedPart{Part: uint64(part), Trials: uint32(max(b.Trials, 0)), NextTrialMs: uint32(max(b.NextTrialSeconds, 0) * 1000)}
		for _, id := range b.Companions {
			if companion, err := structs.ParsePromptPart(id); err == nil {
				blocked.Companions = append(blocked.Companions, uint64(companion))
			}
		}
		m.Blocked = append(m.Blocked, blocked)
	}
	g.poison.merge(time.Now(), m)
}

func (g *Gateway) blockedParts(included func(structs.PromptPart) bool) []BlockedPart {
	g.poison.mu.Lock()
	defer g.poison.mu.Unlock()
	all := []BlockedPart{}
	for _, s := range g.poison.table.Status(time.Now()) {
		if !included(s.Part) {
			continue
		}
		b := BlockedPart{Part: s.Part.String(), Crashes: s.Crashes, Trials: s.Trials, NextTrialSeconds: s.NextTrial.Seconds()}
		for _, companion := range s.Companions {
			b.Companions = append(b.Companions, companion.String())
		}
		all = append(all, b)
	}
	return all
}

// ReleasePart releases a blocked prompt part on all daemons. It returns false if
// the part is not blocked.
func (g *Gateway) ReleasePart(part structs.PromptPart) bool {
	p := g.poison
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !p.table.Release(now, part) {
		return false
	}
	p.logLocked(now, nil, []structs.PromptPart{part})
	return true
}

// handleCrash finds out whether the endpoint has crashed after it had begun to
// answer the request, in which case the request is a suspect. An answer begins
// with the first byte of its head, and incriminates until it has gone on well, which
// clears the request. inDoubt is set if the request should not be sent again.
func (x *exchange) handleCrash(ctx context.Context, grant *dispatch.Grant) (crashed, inDoubt bool) {
	if x.progress < progressBegun || x.proven || !x.endpointIsGone(ctx, grant) {
		return false, false
	}
	return true, x.gateway.poison.recordCrash(grant.Endpoint, x.request.ID, x.sentAt, x.request.PromptParts)
}

// endpointIsGone reports whether a request that can be a suspect has lost its
// endpoint.
func (x *exchange) endpointIsGone(ctx context.Context, grant *dispatch.Grant) bool {
	return len(x.request.PromptParts) > 0 && x.gateway.refusesConnections(ctx, grant.Endpoint.Address)
}

// refusesConnections reports whether nothing accepts connections at an address.
func (g *Gateway) refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, endpointCheckTimeout)
	defer cancel()
	return errors.Is(g.options.Client.CheckConnection(ctx, address), syscall.ECONNREFUSED)
}

// recordProgress clears the parts of a request of which events still arrive some
// time after the head of the answer.
func (x *exchange) recordProgress() {
	if !x.proven && time.Since(x.headAt) >= provenAfter {
		x.recordProven()
	}
}

func (x *exchange) recordProven() {
	x.proven = true
	x.gateway.poison.recordAnswer(x.headAt, x.request.PromptParts)
}

// refuseBlocked ends a request with a blocked part. It returns false if there is
// none. With begin set, such a request is sent at once.
func (x *exchange) refuseBlocked(begin bool) (outcome string, refused bool) {
	reason, wait, blocked := x.gateway.poison.blocked(x.request.PromptParts, begin)
	if !blocked {
		return "", false
	}
	return x.terminate(reason, wait), true
}
