// Package telemetry exposes metrics, sets up tracing and buffers the log.
//
// Metrics are registered in a go-metrics registry under names that include their
// labels in Prometheus notation. Traces are propagated by the W3C trace context
// in HTTP headers and in messages between instances, with one span per hop.
package telemetry

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// The reservoir of a histogram: its size in values, and the decay factor, which
// weights recent values.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Label is one dimension of a metric. Its values must come from small fixed sets,
// never from request IDs, caller keys or other input of callers.
type Label struct {
	Name  string
	Value string
}

// L returns a Label.
func L(name, value string) Label { return Label{Name: name, Value: value} }

// Name returns the registry name of a metric with labels, for example
// refused_total{reason="deadline",tier="counter"}.
func Name(base string, labels ...Label) string {
	if len(labels) == 0 {
		return base
	}
	labels = slices.Clone(labels)
	slices.SortFunc(labels, func(a, b Label) int { return cmp.Compare(a.Name, b.Name) })
	var b strings.Builder
	b.WriteString(base)
	for i, l := range labels {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(l.Name)
		b.WriteString(`="`)
		b.WriteString(labelEscaper.Replace(l.Value))
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Counter returns the counter with the given name and labels, and registers it if
// needed. Callers that count often should keep the result.
func Counter(r metrics.Registry, base string, labels ...Label) metrics.Counter {
	return metrics.GetOrRegisterCounter(Name(base, labels...), r)
}

// Gauge returns the gauge with the given name and labels, and registers it if
// needed.
func Gauge(r metrics.Registry, base string, labels ...Label) metrics.Gauge {
	return metrics.GetOrRegisterGauge(Name(base, labels...), r)
}

// Histogram returns the histogram with the given name and labels, and registers
// it if needed.
func Histogram(r metrics.Registry, base string, labels ...Label) metrics.Histogram {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return r.GetOrRegister(Name(base, labels...), newHistogram).(metrics.Histogram)
}

// Timer returns the timer with the given name and labels, and registers it if
// needed. Text reports it in seconds.
func Timer(r metrics.Registry, base string, labels ...Label) metrics.Timer {
	return metrics.GetOrRegisterTimer(Name(base, labels...), r)
}
