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

// ExporterName selects the exporter of spans.
type ExporterName string

// The exporters.
const (
	ExporterOff    ExporterName = "off"
	ExporterStdout ExporterName = "stdout"
	ExporterOTLP   ExporterName = "otlp"
)

const (
	tracerName = "github.com/samphirewing/samphirewing"
	// maxQueuedSpans bounds the spans queued for export; further spans are
	// dropped.
	maxQueuedSpans = 4096
	exportTimeout  = 5 * time.Second
	traceHeader    = "traceparent"
)

var eventExportFailed = events.New(145, "trace-export-failed", log.WarnLevel)

// TracingOptions configures tracing.
type TracingOptions struct {
	Exporter ExporterName
	// Endpoint is the collector's URL for the exporter "otlp", for example
	// http://127.0.0.1:4318/v1/traces.
	Endpoint string
	// SampleRatio is the share, from 0 to 1, of the traces started by this
	// process that are recorded. Traces started by a caller keep the caller's
	// sampling decision.
	SampleRatio float64
	Self        instance.Process
	// Events receives export failures; nil discards them.
	Events events.Sink
}

// Shutdown exports the remaining spans and stops tracing.
type Shutdown func(ctx context.Context) error

// StartTracing starts the exporter and returns a tracer. The tracer of the
// exporter "off" has almost no cost and propagates a caller's trace context
// unchanged.
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

// reportExportErrors emits an event for each error that the OpenTelemetry library
// reports in the background.
func reportExportErrors(sink events.Sink) {
	if sink == nil {
		sink = events.Discard{}
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		sink.Emit(eventExportFailed, events.F("error", err.Error()))
	}))
}

// carrier is a propagation.TextMapCarrier for the traceparent header.
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

// TraceParent returns the W3C traceparent value of the context, or an empty
// string if it has no valid span context.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	var c carrier
	propagation.TraceContext{}.Inject(ctx, &c)
	return c.parent
}

// WithTraceParent returns a context whose spans continue the given trace. It
// ignores an empty or malformed value.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, &carrier{parent: parent})
}

// ContextFromRequest returns the request's context with the trace of its
// traceparent header.
func ContextFromRequest(req *http.Request) context.Context {
	return WithTraceParent(req.Context(), req.Header.Get(traceHeader))
}

// InjectHeader sets the traceparent header to the trace of the context, if any.
func InjectHeader(ctx context.Context, h http.Header) {
	if parent := TraceParent(ctx); parent != "" {
		h.Set(traceHeader, parent)
	}
}

// Hop is the span name of one step on a request's path.
type Hop string

// The hops; each has a span.
const (
	HopEntry   Hop = "entry.request"
	HopOffer   Hop = "entry.offer"
	HopPlace   Hop = "owner.place"
	HopEngine  Hop = "engine.generate"
	HopService Hop = "service.call"
	HopJournal Hop = "journal.intent"
	// HopForward is a forwarded request, HopWait its wait for a free slot, and
	// HopSend an attempt to send it to one endpoint, including the relay of the
	// answer.
	HopForward Hop = "forward.request"
	HopWait    Hop = "forward.wait"
	HopSend    Hop = "forward.send"
)

// hopKinds holds the span kinds of the hops that receive or send a request. The
// other hops are internal steps.
var hopKinds = map[Hop]trace.SpanStartOption{
	HopEntry:   trace.WithSpanKind(trace.SpanKindServer),
	HopPlace:   trace.WithSpanKind(trace.SpanKindServer),
	HopEngine:  trace.WithSpanKind(trace.SpanKindClient),
	HopService: trace.WithSpanKind(trace.SpanKindClient),
	HopForward: trace.WithSpanKind(trace.SpanKindServer),
	HopSend:    trace.WithSpanKind(trace.SpanKindClient),
}

// StartHop starts the span of a hop; EndHop ends it.
func StartHop(ctx context.Context, tracer trace.Tracer, hop Hop) (context.Context, trace.Span) {
	if kind, ok := hopKinds[hop]; ok {
		return tracer.Start(ctx, string(hop), kind)
	}
	return tracer.Start(ctx, string(hop))
}

// EndHop ends a hop's span and records the hop's error, if any.
func EndHop(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
