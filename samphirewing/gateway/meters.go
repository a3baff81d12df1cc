package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphirewing/samphirewing/telemetry"
)

// meters are the gateway's metrics.
type meters struct {
	registry metrics.Registry
	answer   metrics.Timer
	first    metrics.Timer
	waited   metrics.Timer
	sends    metrics.Counter
	retries  metrics.Counter
	resumed  metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry: r,
		answer:   telemetry.Timer(r, "forward_answer_seconds"),
		first:    telemetry.Timer(r, "forward_first_event_seconds"),
		waited:   telemetry.Timer(r, "forward_waited_seconds"),
		sends:    telemetry.Counter(r, "forward_sends_total"),
		retries:  telemetry.Counter(r, "forward_retries_total"),
		resumed:  telemetry.Counter(r, "forward_streams_resumed_total"),
	}
}

func (m meters) outcome(outcome string, took time.Duration) {
	telemetry.Counter(m.registry, "forward_requests_total", telemetry.L("outcome", outcome)).Inc(1)
	m.answer.Update(took)
}
