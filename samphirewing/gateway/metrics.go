package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/telemetry"
)

// metricSet holds the gateway's metrics.
type metricSet struct {
	registry   metrics.Registry
	answer     metrics.Timer
	firstEvent metrics.Timer
	waited     metrics.Timer
	sends      metrics.Counter
	retries    metrics.Counter
	resumed    metrics.Counter
	// isRoot is one if this daemon reports to no other.
	isRoot metrics.Gauge
	// sumInterval is the time between two sums sent to children or other roots.
	sumInterval metrics.Gauge
	// listingsSent counts the listings of topics sent to other daemons.
	listingsSent metrics.Counter
	// unknownOrigins counts the streams that were refused since it is not known where
	// they began.
	unknownOrigins metrics.Counter
	children       metrics.Gauge
	roots          metrics.Gauge
	viewAge        metrics.Gauge
	// endChecks is the time for which answers without a length and chunks were held
	// back until their end was confirmed.
	endChecks metrics.Timer
	// endpointCrashes counts the crashes of which a request of this daemon is a
	// suspect.
	endpointCrashes metrics.Counter
	blockedRequests metrics.Counter
	blockedParts    metrics.Gauge
	// limitedEndpoints is the number of endpoints that name a rate limit.
	limitedEndpoints metrics.Gauge
	// leavingEndpoints is the number of endpoints that have said in an answer that
	// they leave.
	leavingEndpoints metrics.Gauge
	// backoffs counts the answers in which endpoints ask for no requests for a time.
	backoffs metrics.Counter
	// overShare is the number of organisations with waiting requests that are over
	// their share, counted once for each rank of a pool.
	overShare metrics.Gauge
	// displaced counts the waiting requests that were refused in favour of others.
	displaced metrics.Counter
	// promised counts the refused callers that were promised a place in the schedule of
	// future capacity, returned those that came back for it to this daemon.
	promised, returned metrics.Counter
	// tooLarge counts the requests that no engine of their pool can hold.
	tooLarge metrics.Counter
	// episodes counts the short slow episodes of engines, slowedEngines is the
	// number of engines in one.
	episodes      metrics.Counter
	slowedEngines metrics.Gauge
	// domainSends counts the requests sent to other failure domains, domainBytes the
	// bytes of these and their answers. domainShare is the recent share of a pool's
	// requests, in thousandths, that leave the domain. domainRoundTrip is the largest
	// difference of the round trips to another domain and within the own one.
	domainSends     metrics.Counter
	domainBytes     metrics.Counter
	domainShare     metrics.Gauge
	domainRoundTrip metrics.Gauge
	// exposed counts the requests sent to versions without a verdict.
	// rolloutsInProgress and closedGates are the numbers of orders without a verdict,
	// and of those that get no requests from this daemon.
	exposed            metrics.Counter
	rolloutsInProgress metrics.Gauge
	closedGates        metrics.Gauge
}

func newMetricSet(r metrics.Registry) metricSet {
	return metricSet{
		registry:     r,
		answer:       telemetry.Timer(r, "forward_answer_seconds"),
		firstEvent:   telemetry.Timer(r, "forward_first_event_seconds"),
		waited:       telemetry.Timer(r, "forward_waited_seconds"),
		sends:        telemetry.Counter(r, "forward_sends_total"),
		retries:      telemetry.Counter(r, "forward_retries_total"),
		resumed:      telemetry.Counter(r, "forward_streams_resumed_total"),
		isRoot:       telemetry.Gauge(r, "aggregation_root"),
		sumInterval:  telemetry.Gauge(r, "aggregation_sum_interval_milliseconds"),
		listingsSent: telemetry.Counter(r, "listings_relayed_total"), unknownOrigins: telemetry.Counter(r, "streams_of_unknown_origin_total"),
		children: telemetry.Gauge(r, "aggregation_children"),
		roots:    telemetry.Gauge(r, "aggregation_other_roots"),
		viewAge:  telemetry.Gauge(r, "aggregation_view_age_milliseconds"),

		endChecks:       telemetry.Timer(r, "forward_end_check_seconds"),
		endpointCrashes: telemetry.Counter(r, "forward_endpoint_crashes_total"),
		blockedRequests: telemetry.Counter(r, "forward_blocked_requests_total"),
		blockedParts:    telemetry.Gauge(r, "forward_blocked_prompt_parts"),

		limitedEndpoints: telemetry.Gauge(r, "forward_limited_endpoints"),
		leavingEndpoints: telemetry.Gauge(r, "forward_leaving_endpoints"),
		backoffs:         telemetry.Counter(r, "forward_endpoint_backoffs_total"),
		overShare:        telemetry.Gauge(r, "forward_organisations_over_share"),
		displaced:        telemetry.Counter(r, "forward_displaced_requests_total"),
		promised:         telemetry.Counter(r, "forward_promised_retries_total"),
		returned:         telemetry.Counter(r, "forward_returned_as_promised_total"),
		tooLarge:         telemetry.Counter(r, "forward_larger_than_engines_total"),
		episodes:         telemetry.Counter(r, "forward_engine_episodes_total"),
		slowedEngines:    telemetry.Gauge(r, "forward_engines_in_episode"),
		domainSends:      telemetry.Counter(r, "forward_domain_sends_total"),
		domainBytes:      telemetry.Counter(r, "forward_domain_bytes_total"),
		domainShare:      telemetry.Gauge(r, "forward_domain_share_thousandths"),
		domainRoundTrip:  telemetry.Gauge(r, "forward_domain_extra_round_trip_microseconds"),

		exposed:            telemetry.Counter(r, "rollout_exposed_requests_total"),
		rolloutsInProgress: telemetry.Gauge(r, "rollout_orders_in_progress"),
		closedGates:        telemetry.Gauge(r, "rollout_closed_gates"),
	}
}

func (m metricSet) recordAggregation(n *aggregation.Node, now time.Time) {
	_, root := n.Parent()
	children, roots := n.Neighbours()
	m.isRoot.Update(0)
	if root {
		m.isRoot.Update(1)
	}
	m.children.Update(int64(children))
	m.roots.Update(int64(roots))
	m.sumInterval.Update(n.SumInterval().Milliseconds())
	m.viewAge.Update(n.ViewAge(now).Milliseconds())
}

func (m metricSet) recordOutcome(outcome string, elapsed time.Duration) {
	telemetry.Counter(m.registry, "forward_requests_total", telemetry.L("outcome", outcome)).Inc(1)
	m.answer.Update(elapsed)
}

// recordEndCheck records whether the end of an answer without a length and chunks was
// confirmed.
func (m metricSet) recordEndCheck(confirmed bool, elapsed time.Duration) {
	telemetry.Counter(m.registry, "forward_end_checks_total", telemetry.L("confirmed", strconv.FormatBool(confirmed))).Inc(1)
	m.endChecks.Update(elapsed)
}
