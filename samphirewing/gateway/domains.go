package gateway

import (
	"math"
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/crossdomain"
	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// answerBytesWeight is the weight of an answer in the mean size of a pool's answers.
const answerBytesWeight = 0.02

// observeLatency measures the round trip to the endpoint's failure domain: by a new
// connection, or by an answer that took no work.
func (x *exchange) observeLatency(grant *dispatch.Grant, answer *forward.Response) {
	kind, took := crossdomain.Connect, answer.ConnectTime
	if took == 0 {
		if !x.gateway.options.Dialect.NotRun(answer) {
			return
		}
		kind, took = crossdomain.Refusal, time.Since(x.sentAt)
	}
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RecordLatency(grant.Endpoint.FailureDomain, kind, took)
}

// countDomainSend counts a request that is sent to another failure domain.
func (x *exchange) countDomainSend() {
	if x.otherDomain {
		x.gateway.metrics.domainSends.Inc(1)
		x.gateway.metrics.domainBytes.Inc(int64(len(x.request.Body)))
	}
}

// countAnswerBytes counts a part of an answer.
func (x *exchange) countAnswerBytes(n int) {
	x.answerBytes += int64(n)
	if x.otherDomain {
		x.gateway.metrics.domainBytes.Inc(int64(n))
	}
}

// recordAnswerBytes updates the mean size of the pool's answers.
func (x *exchange) recordAnswerBytes(outcome string) {
	if outcome != outcomeAnswered {
		return
	}
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	mean, known := g.answerBytes[x.pool]
	if !known {
		mean = float64(x.answerBytes)
	}
	g.answerBytes[x.pool] = mean + answerBytesWeight*(float64(x.answerBytes)-mean)
}

// expectedBytes returns the expected size of the request and its answer.
func (x *exchange) expectedBytes() int32 {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return int32(min(float64(len(x.request.Body))+g.answerBytes[x.pool], math.MaxInt32))
}

// updateDomainsLocked moves the shares of the traffic between failure domains.
func (g *Gateway) updateDomainsLocked(now time.Time) {
	for _, c := range g.scheduler.UpdateDomains(now) {
		event := EventDomainTrafficEnded
		if c.Leaving {
			event = EventDomainTrafficBegan
		}
		g.options.Events.Emit(event, events.F("pool", c.Pool), events.F("to", c.Domain), events.F("share", c.Share),
			events.F("extra_ms", c.ExtraMs), events.F("gain_ms", c.GainMs))
	}
	g.metrics.domainRoundTrip.Update(g.scheduler.ExtraRoundTrip().Microseconds())
	g.metrics.domainShare.Update(int64(1000 * g.scheduler.LeftShare()))
}
