package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/standin/operator"
)

const (
	// poisonShare is the share of requests to engines that carry the part while it
	// crashes endpoints.
	poisonShare = 0.15
	// poisonTime is added to the duration of the fault, so that callers still send
	// the part when it has to be blocked.
	poisonTime = contactTimeout + 2*time.Second
	// crashRestart is the time from a crash to the next start of the endpoint.
	crashRestart = 400 * time.Millisecond
	crashPoll    = 20 * time.Millisecond
)

// poisonParts is the prompt parts that crash endpoints. It is safe for concurrent
// use.
type poisonParts struct {
	mu      sync.Mutex
	count   int
	current string
}

// begin makes a new part crash endpoints.
func (p *poisonParts) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	p.current = fmt.Sprintf("dead%04x", p.count)
}

func (p *poisonParts) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = ""
}

// part returns the part that crashes endpoints, or "".
func (p *poisonParts) part() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

func (p *poisonParts) crash(parts []string) bool {
	current := p.part()
	return current != "" && slices.Contains(parts, current)
}

// crashRecord is a crash of an endpoint by a prompt part.
type crashRecord struct {
	part string
	at   time.Time
}

// poison lets a new prompt part crash engines. One such fault is active at a time.
func (in *injector) poison(f fault) {
	if !in.poisoning.tryAcquire() {
		return
	}
	defer in.poisoning.release()
	env := in.env
	env.poison.begin()
	defer env.history.beginSpan(f.kind, operator.Engines)()
	time.Sleep(f.duration + poisonTime)
	env.poison.end()
}

// recordCrash records a crash and restarts the endpoint.
func (env *environment) recordCrash(e *endpoint, part string) {
	env.history.addCrash(crashRecord{part, time.Now()})
	crashed := e.currentRunner()
	end := env.history.beginSpan(endpointCrash, e.options.ID)
	if err := e.link.setListening(false); err != nil {
		env.options.progress("link of %s: %v", e.options.ID, err)
	}
	env.restarts.Go(func() {
		defer end()
		time.Sleep(crashRestart)
		for !e.tryAcquire() {
			time.Sleep(crashPoll)
		}
		defer e.release()
		if err := e.link.setListening(true); err != nil {
			env.options.progress("link of %s: %v", e.options.ID, err)
		}
		if e.currentRunner() != crashed {
			return
		}
		if err := env.startEndpoint(e, 0); err != nil {
			env.options.progress("restart of %s: %v", e.options.ID, err)
		}
	})
}

// checkPoison finds requests with a part that crashes endpoints which reached
// endpoints after it should have been blocked. Daemons that were disturbed are
// excused.
func checkPoison(index *evidenceIndex) (all []violation) {
	crashes := map[string][]time.Time{}
	for _, c := range index.crashes {
		crashes[c.part] = append(crashes[c.part], c.at)
	}
	for part, times := range crashes {
		slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
		if len(times) < crashesUntilBlocked {
			continue
		}
		from, count := times[crashesUntilBlocked-1].Add(contactTimeout), 0
		for _, a := range index.arrivals {
			o, known := index.outcomeByRequest[a.Request]
			if known && a.At.After(from) && slices.Contains(a.Parts, part) && !index.wasOut(o.daemon, from.Add(-contactTimeout), a.At) {
				count++
			}
		}
		if count > sendsAfterwards {
			all = append(all, violation{at: from, text: fmt.Sprintf("part %s crashed %d endpoints and was sent %d times after it should have been blocked", part, len(times), count)})
		}
	}
	return all
}

// wasOut reports whether a daemon was disturbed, stopped or restarted between from
// and to. A fault counts for contactTimeout after its end.
func (index *evidenceIndex) wasOut(daemon string, from, to time.Time) bool {
	if index.isDisturbed(from, to, daemon) {
		return true
	}
	return slices.ContainsFunc(index.spans, func(s span) bool {
		return s.kind == daemonTerm && s.scope == daemon && !s.from.After(to) && !s.to.Add(contactTimeout).Before(from)
	})
}

// checkLimit finds endpoints that got more requests than the limit that they name.
// Daemons that were disturbed are excused.
func checkLimit(index *evidenceIndex) (all []violation) {
	for _, s := range index.spans {
		if s.kind != endpointLimit {
			continue
		}
		var counted []arrival
		limit := 0.0
		for _, a := range index.arrivals {
			if a.endpoint != s.scope || a.At.Before(s.from) || a.At.After(s.to) || a.RateLimit == 0 {
				continue
			}
			limit = a.RateLimit
			o, known := index.outcomeByRequest[a.Request]
			if known && index.wasTold(o.daemon, s, a) && !index.wasOut(o.daemon, s.from, a.At) {
				counted = append(counted, a)
			}
		}
		all = append(all, checkSlidingWindow(counted, limitWindow, func(to time.Time, n int) string {
			if allowed := 1.5*limit*limitWindow.Seconds() + 5; to.After(s.from.Add(contactTimeout)) && float64(n) > allowed {
				return fmt.Sprintf("%s named a limit of %v a second and got %d requests in %v, at most %.0f allowed", s.scope, limit, n, limitWindow, allowed)
			}
			return ""
		})...)
	}
	return all
}

// wasTold reports whether a daemon had passed on an answer with the limit well
// before an arrival.
func (index *evidenceIndex) wasTold(daemon string, s span, a arrival) bool {
	return slices.ContainsFunc(index.arrivals, func(earlier arrival) bool {
		return earlier.endpoint == s.scope && earlier.RateLimit > 0 && !earlier.At.Before(s.from) &&
			index.outcomeByRequest[earlier.Request].daemon == daemon && a.At.Sub(earlier.At) >= limitKnownAfter
	})
}
