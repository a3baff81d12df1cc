package gateway

import (
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/episode"
	"github.com/samphirewing/samphirewing/state/routing"
)

// Guards against events of a stream that its engine's meter misses or counts twice,
// whatever the line ends and however many arrive at once.
func TestEventsAreCounted(t *testing.T) {
	for text, want := range map[string]int{"data: 1\n\n": 1, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n": 2, "data: 1\r\n\r\ndata: 2\r\n\r\n": 2} {
		assert.Equal(t, countEvents([]byte(text)), want, "%q", text)
	}
}

// Guards against a stream that stays in the meter after its end, which would look
// like an engine that stands still.
func TestStreamsLeaveTheMeter(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("stream", func(r *routing.Route) { r.Streaming = true }))
	for name, handler := range map[string]http.HandlerFunc{
		"whole": answerWith(http.StatusOK, "Signed", "data: 1\n\ndata: 2\n\n"),
		"cut":   eventsThenBreak("data: 1\n\ndata: 2\n\n"),
	} {
		f.endpoints = nil
		f.startEndpoint(name, handler)
		f.serve("/stream/1")
		f.gateway.mu.Lock()
		meter := f.gateway.scheduler.MeterOf(f.endpoints[0].Name)
		f.gateway.mu.Unlock()
		assert.Equal(t, meter.Streams(), int64(0), name)
	}
}

// BenchmarkStreamPace is the cost of one event of 150 bytes.
func BenchmarkStreamPace(b *testing.B) {
	pace := streamPace{meter: &episode.Meter{}}
	event := append(bytes.Repeat([]byte("x"), 148), "\n\n"...)
	for b.Loop() {
		pace.record(event)
		pace.pause()
		pace.resume()
	}
}

// Guards against traffic to another failure domain that is not counted, or the own
// domain's traffic that is.
func TestTrafficToOtherDomainsIsCounted(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("call", func(*routing.Route) {}))
	f.startEndpoint("near", answerWith(http.StatusOK, "Signed", "x"))
	f.serve("/call/1")
	assert.Equal(t, f.gateway.metrics.domainBytes.Count(), int64(0))
	f.endpoints = nil
	f.startEndpoint("far", answerWith(http.StatusOK, "Signed", "12345"))
	f.endpoints[0].FailureDomain = "other"
	f.gateway.SetEndpoints(f.endpoints)
	f.serve("/call/2")
	assert.Equal(t, f.gateway.metrics.domainSends.Count(), int64(1))
	assert.Equal(t, f.gateway.metrics.domainBytes.Count(), int64(len("body")+len("12345")))
}
