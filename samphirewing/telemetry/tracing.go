package telemetry

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// ExporterName selects where spans go.
type ExporterName string

// The exporters.
const (
	ExporterOff    ExporterName = "off"
	ExporterStdout ExporterName = "stdout"
	ExporterOTLP   ExporterName = "otlp"
)

const (
	tracerName = "github.com/samphirewing/samphirewing"
	// maxQueuedSpans bounds the spans that wait to be exported; more are
	// dropped.
	maxQueuedSpans = 4096
	exportTimeout  = 5 * time.Second
	traceHeader    = "traceparent"
)

var eventExportFailed = events.New(145, "trace-export-failed", log.WarnLevel)

// TracingOptions set tracing up.
type TracingOptions struct {
	Exporter ExporterName
	// Endpoint is the collector's URL for the exporter "otlp", for example
	// http://127.0.0.1:4318/v1/traces.
	Endpoint string
	// SampleRatio is the share of traces begun here that are recorded. A
	// trace that a caller began keeps the caller's choice.
	SampleRatio float64
	Self        instance.Process
	// Events receives failures to export; nil drops them.
	Events events.Sink
}

// Shutdown exports what is left and ends tracing.
type Shutdown func(ctx context.Context) error

// StartTracing returns a tracer. The exporter "off" gives one that costs next
// to nothing and passes a caller's trace context on unchanged.
func StartTracing(o TracingOptions) (Shutdown, trace.Tracer, error) {
	exporter, err := newExporter(o)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, NoopTracer(), nil
	}
	if o.SampleRatio < 0 || o.SampleRatio > 1 {
		return nil, nil, errors.Errorf("trace sample ratio %v is outside 0 to 1", o.SampleRatio)
	}
	reportExportErrors(o.Events)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithExportTimeout(exportTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "samphirewingd"),
			attribute.String("service.instance.id", o.Self.String()),
		)),
	)
	return provider.Shutdown, provider.Tracer(tracerName), nil
}

// NoopTracer returns a tracer that records nothing.
func NoopTracer() trace.Tracer { return noop.NewTracerProvider().Tracer(tracerName) }

// newExporter returns nil for the exporter "off".
func newExporter(o TracingOptions) (sdktrace.SpanExporter, error) {
	switch o.Exporter {
	case ExporterOff, "":
		return nil, nil
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case ExporterOTLP:
		if o.Endpoint == "" {
			return nil, errors.New("trace exporter otlp needs an endpoint; give the collector's URL")
		}
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(o.Endpoint))
	}
	return nil, errors.Errorf("unknown trace exporter %q; use off, stdout or otlp", o.Exporter)
}

// reportExportErrors turns the errors that the library reports in the
// background into events.
func reportExportErrors(sink events.Sink) {
	if sink == nil {
		sink = events.Discard{}
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		sink.Emit(eventExportFailed, events.F("error", err.Error()))
	}))
}

// carrier holds one trace parent.
type carrier struct{ parent string }

func (c *carrier) Get(key string) string {
	if key == traceHeader {
		return c.parent
	}
	return ""
}

func (c *carrier) Set(key, value string) {
	if key == traceHeader {
		c.parent = value
	}
}

func (c *carrier) Keys() []string { return []string{traceHeader} }

// TraceParent returns the W3C trace parent of the context, or an empty string.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	var c carrier
	propagation.TraceContext{}.Inject(ctx, &c)
	return c.parent
}

// WithTraceParent returns a context whose spans continue the given trace. An
// empty or malformed value changes nothing.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, &carrier{parent: parent})
}

// FromRequest continues the trace of an HTTP request.
func FromRequest(req *http.Request) context.Context {
	return WithTraceParent(req.Context(), req.Header.Get(traceHeader))
}

// ToHeader puts the trace parent of the context into a header.
func ToHeader(ctx context.Context, h http.Header) {
	if parent := TraceParent(ctx); parent != "" {
		h.Set(traceHeader, parent)
	}
}

// Hop names a step of a request's path.
type Hop string

// The hops that have a span each.
const (
	HopEntry   Hop = "entry.request"
	HopOffer   Hop = "entry.offer"
	HopPlace   Hop = "owner.place"
	HopEngine  Hop = "engine.generate"
	HopService Hop = "service.call"
	HopJournal Hop = "journal.intent"
	// HopForward is a forwarded request, HopWait its wait for a place, and
	// HopSend its sending to one endpoint with the relay of the answer.
	HopForward Hop = "forward.request"
	HopWait    Hop = "forward.wait"
	HopSend    Hop = "forward.send"
)

// hopKinds tells the hops that serve another's request, and those that send
// one, from inner steps.
var hopKinds = map[Hop]trace.SpanStartOption{
	HopEntry:   trace.WithSpanKind(trace.SpanKindServer),
	HopPlace:   trace.WithSpanKind(trace.SpanKindServer),
	HopEngine:  trace.WithSpanKind(trace.SpanKindClient),
	HopService: trace.WithSpanKind(trace.SpanKindClient),
	HopForward: trace.WithSpanKind(trace.SpanKindServer),
	HopSend:    trace.WithSpanKind(trace.SpanKindClient),
}

// StartHop begins the span of a hop. End it with EndHop.
func StartHop(ctx context.Context, tracer trace.Tracer, hop Hop) (context.Context, trace.Span) {
	if kind, ok := hopKinds[hop]; ok {
		return tracer.Start(ctx, string(hop), kind)
	}
	return tracer.Start(ctx, string(hop))
}

// EndHop ends a hop's span with the error that the hop ended in, or nil.
func EndHop(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
