package gateway

import (
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Outcomes that are not failures of the gateway. Other outcomes are named by a
// FailureKind.
const (
	outcomeAnswered   = "answered"
	outcomeCallerLeft = "caller-left"
	outcomeBroken     = "broken"
)

func (g *Gateway) emitPlaced(x *exchange, grant *dispatch.Grant) {
	g.options.Events.Emit(EventRequestPlaced,
		events.F("request", x.request.ID), events.F("route", x.route.Name), events.F("rank", int(x.scheduled.Rank)),
		events.F("endpoint", grant.Endpoint.Name), events.F("version", grant.Endpoint.Version), events.F("bound_by", x.boundBy), events.F("attempt", x.sends+1),
		events.F("waited_ms", grant.Waited.Milliseconds()), events.F("forecast_ms", grant.Forecast.Milliseconds()),
		events.F("others", grant.PeerRunning), events.F("view_age_ms", grant.PeerReportAge.Milliseconds()))
}

func (g *Gateway) emitRefusal(x *exchange, r *dispatch.Refusal) {
	g.options.Events.Emit(EventRequestRefused,
		events.F("request", x.request.ID), events.F("route", x.route.Name), events.F("rank", int(x.scheduled.Rank)),
		events.F("reason", string(r.Reason)), events.F("waiting", r.Waiting), events.F("bound_to", x.scheduled.Binding.Version),
		events.F("held_ms", time.Since(x.request.Arrived).Milliseconds()), events.F("retry_after_ms", r.RetryAfter.Milliseconds()))
}

// recordOutcome logs and counts how a request ended.
func (x *exchange) recordOutcome(outcome string) {
	elapsed := time.Since(x.request.Arrived)
	x.gateway.metrics.recordOutcome(outcome, elapsed)
	x.recordAnswerBytes(outcome)
	route, version := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	x.gateway.options.Events.Emit(EventRequestEnded,
		events.F("request", x.request.ID), events.F("route", route), events.F("configuration", version),
		events.F("organisation", string(x.scheduled.Organisation)), events.F("endpoint", x.endpoint),
		events.F("sends", x.sends), events.F("first_event_ms", x.firstEventAfter.Milliseconds()),
		events.F("took_ms", elapsed.Milliseconds()), events.F("outcome", outcome), events.F("reason", x.reason),
		events.F("tokens", int64(x.quotaTokens())), events.F("retry_after_ms", x.failure.RetryAfter.Milliseconds()))
}

// quotaTokens returns the tokens that the request counts towards its
// organisation's quota.
func (x *exchange) quotaTokens() structs.Tokens {
	switch {
	case x.request.TokensDeclared:
		return x.request.PromptTokens + x.request.MaxOutputTokens
	case x.organisation != nil:
		return x.organisation.DefaultTokens
	}
	return 0
}
