package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

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
}

func newMetricSet(r metrics.Registry) metricSet {
	return metricSet{
		registry:   r,
		answer:     telemetry.Timer(r, "forward_answer_seconds"),
		firstEvent: telemetry.Timer(r, "forward_first_event_seconds"),
		waited:     telemetry.Timer(r, "forward_waited_seconds"),
		sends:      telemetry.Counter(r, "forward_sends_total"),
		retries:    telemetry.Counter(r, "forward_retries_total"),
		resumed:    telemetry.Counter(r, "forward_streams_resumed_total"),
	}
}

func (m metricSet) recordOutcome(outcome string, elapsed time.Duration) {
	telemetry.Counter(m.registry, "forward_requests_total", telemetry.L("outcome", outcome)).Inc(1)
	m.answer.Update(elapsed)
}
