package telemetry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func testRegistry() metrics.Registry {
	r := metrics.NewRegistry()
	Counter(r, "refused_total", L("tier", "counter"), L("reason", `a "b"`)).Inc(3)
	Counter(r, "refused_total", L("tier", "bench"), L("reason", "late")).Inc(1)
	Gauge(r, "waiting").Update(7)
	Timer(r, "first.token_seconds").Update(250 * time.Millisecond)
	h := Histogram(r, "batch_size")
	for i := range 100 {
		h.Update(int64(i + 1))
	}
	return r
}

func TestTextFormat(t *testing.T) {
	want := `# TYPE batch_size summary
batch_size{quantile="0.5"} 50.5
batch_size{quantile="0.9"} 90.9
batch_size{quantile="0.99"} 99.99
batch_size_sum 5050
batch_size_count 100
# TYPE first_token_seconds summary
first_token_seconds{quantile="0.5"} 0.25
first_token_seconds{quantile="0.9"} 0.25
first_token_seconds{quantile="0.99"} 0.25
first_token_seconds_sum 0.25
first_token_seconds_count 1
# TYPE refused_total counter
refused_total{reason="a \"b\"",tier="counter"} 3
refused_total{reason="late",tier="bench"} 1
# TYPE waiting gauge
waiting 7
`
	assert.Equal(t, string(Text(testRegistry())), want)
}

func TestHandlerFormats(t *testing.T) {
	server := httptest.NewServer(Handler(testRegistry()))
	defer server.Close()
	for _, c := range []struct{ url, accept, contentType, contains string }{
		{"", "", contentTypeText, "waiting 7\n"},
		{"?format=json", "", contentTypeJSON, `"waiting":{"value":7}`},
		{"", contentTypeJSON, contentTypeJSON, `"waiting":{"value":7}`},
	} {
		req, err := http.NewRequest(http.MethodGet, server.URL+c.url, nil)
		assert.NilError(t, err)
		req.Header.Set("Accept", c.accept)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("Content-Type"), c.contentType)
		assert.Assert(t, strings.Contains(string(body), c.contains), "%s", body)
	}
	resp, err := http.Post(server.URL, "text/plain", nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusMethodNotAllowed)
}

func TestOffPassesTheCallersTraceOn(t *testing.T) {
	shutdown, tracer, err := StartTracing(TracingOptions{Exporter: ExporterOff})
	assert.NilError(t, err)
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	req.Header.Set("Traceparent", parent)
	ctx, span := StartHop(FromRequest(req), tracer, HopEntry)
	EndHop(span, errors.New("any"))
	header := http.Header{}
	ToHeader(ctx, header)
	assert.Equal(t, header.Get("traceparent"), parent)
	assert.Equal(t, TraceParent(WithTraceParent(context.Background(), "nonsense")), "")
	assert.NilError(t, shutdown(context.Background()))
}

// TestHopsFormOneTrace follows a trace over two instances.
func TestHopsFormOneTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter)).Tracer(tracerName)
	ctx, entry := StartHop(WithTraceParent(context.Background(), parent), tracer, HopEntry)
	_, place := StartHop(WithTraceParent(context.Background(), TraceParent(ctx)), tracer, HopPlace)
	EndHop(place, errors.New("no room"))
	EndHop(entry, nil)

	spans := exporter.GetSpans()
	assert.Equal(t, len(spans), 2)
	assert.Equal(t, spans[0].Name, string(HopPlace))
	assert.Equal(t, spans[0].Parent.SpanID(), spans[1].SpanContext.SpanID())
	assert.Equal(t, spans[1].Parent.SpanID().String(), "b7ad6b7169203331")
	assert.Equal(t, spans[0].SpanContext.TraceID(), spans[1].SpanContext.TraceID())
	assert.Equal(t, spans[0].Status.Description, "no room")
}

func TestOTLPReachesTheCollector(t *testing.T) {
	var posts atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/traces" {
			posts.Add(1)
		}
	}))
	defer collector.Close()
	shutdown, tracer, err := StartTracing(TracingOptions{
		Exporter: ExporterOTLP, Endpoint: collector.URL + "/v1/traces", SampleRatio: 1,
		Self: instance.Process{ID: "a", Incarnation: 1},
	})
	assert.NilError(t, err)
	_, span := StartHop(context.Background(), tracer, HopEngine)
	EndHop(span, nil)
	assert.NilError(t, shutdown(context.Background()))
	assert.Equal(t, posts.Load(), int64(1))
}

func TestBadOptionsNameTheRemedy(t *testing.T) {
	for _, c := range []struct {
		options TracingOptions
		want    string
	}{
		{TracingOptions{Exporter: "file"}, "use off, stdout or otlp"},
		{TracingOptions{Exporter: ExporterOTLP}, "give the collector's URL"},
		{TracingOptions{Exporter: ExporterStdout, SampleRatio: 2}, "outside 0 to 1"},
	} {
		_, _, err := StartTracing(c.options)
		assert.ErrorContains(t, err, c.want)
	}
}

// BenchmarkHopOff is one hop with tracing off, with and without a trace of
// the caller.
func BenchmarkHopOff(b *testing.B) {
	for _, c := range []struct{ name, parent string }{{"untraced", ""}, {"traced", parent}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			tracer := NoopTracer()
			for b.Loop() {
				ctx, span := StartHop(WithTraceParent(context.Background(), c.parent), tracer, HopEntry)
				TraceParent(ctx)
				EndHop(span, nil)
			}
		})
	}
}

// BenchmarkHopRecorded is one recorded hop without its export.
func BenchmarkHopRecorded(b *testing.B) {
	b.ReportAllocs()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithBatcher(tracetest.NewNoopExporter())).Tracer(tracerName)
	for b.Loop() {
		ctx, span := StartHop(context.Background(), tracer, HopEntry)
		TraceParent(ctx)
		EndHop(span, nil)
	}
}

// BenchmarkText is one scrape of 200 metrics.
func BenchmarkText(b *testing.B) {
	r := metrics.NewRegistry()
	for i := range 200 {
		Histogram(r, "h", L("n", strings.Repeat("x", i))).Update(int64(i))
	}
	for b.Loop() {
		Text(r)
	}
}
