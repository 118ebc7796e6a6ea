// Package trace records a span for each hop of a request: from the caller to an
// entry host, from an entry host to another, and from an entry host to a
// target. The context travels in the headers of W3C trace context.
//
// # Usage
//
//	tr, err := trace.New(trace.Config{Exporter: trace.Stdout, Ratio: 0.1, Entry: "uvs-1"})
//	defer tr.Stop(ctx)
//
//	ctx, span := tr.Serve(r.Context(), r.Header, "chat")    // incoming request
//	defer span.End()
//
//	ctx, span := tr.Hop(ctx, "target")                      // outgoing request
//	defer span.End()
//	trace.Inject(ctx, req.Header)
//
// A nil Tracer records no spans but still propagates the context that a caller
// sent, so that the spans of caller and target stay in one trace even if this
// host exports none. Spans contain ids, sizes and outcomes, and never the text of
// a prompt or an answer: they are sent to a place that no residency rule covers.
package trace

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Exporter names a destination of spans.
type Exporter string

// The exporters.
const (
	None   Exporter = "none"
	Stdout Exporter = "stdout"
	OTLP   Exporter = "otlp"
)

// ErrExporter is returned if the exporter cannot be created.
var ErrExporter = errors.New("trace: cannot create the exporter")

// Config configures a tracer.
type Config struct {
	Exporter Exporter
	// Endpoint is the URL of the collector, for OTLP over HTTP.
	Endpoint string
	// Ratio is the share of requests that are sampled, if the caller has not
	// made the sampling decision.
	Ratio float64
	Entry ident.EntryID
	// Out receives the spans of Stdout; nil means the standard output.
	Out io.Writer
}

// Tracer records spans. A nil Tracer records none.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   oteltrace.Tracer
	entry    ident.EntryID
}

// New returns a tracer, nil for the exporter None. It fails with ErrExporter.
func New(cfg Config) (*Tracer, error) {
	exp, err := exporter(cfg)
	if err != nil {
		return nil, errors.Wrap(ErrExporter, err.Error())
	}
	if exp == nil {
		return nil, nil
	}
	return newTracer(cfg, sdk.NewBatchSpanProcessor(exp)), nil
}

func newTracer(cfg Config, proc sdk.SpanProcessor) *Tracer {
	p := sdk.NewTracerProvider(
		sdk.WithSpanProcessor(proc),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(cfg.Ratio))),
	)
	return &Tracer{provider: p, tracer: p.Tracer("verbenadale"), entry: cfg.Entry}
}

func exporter(cfg Config) (sdk.SpanExporter, error) {
	switch cfg.Exporter {
	case Stdout:
		out := cfg.Out
		if out == nil {
			out = os.Stdout
		}
		return stdouttrace.New(stdouttrace.WithWriter(out))
	case OTLP:
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(cfg.Endpoint))
	case None, "":
		return nil, nil
	}
	return nil, errors.Errorf("unknown exporter %q: must be none, stdout or otlp", cfg.Exporter)
}

// Stop exports the pending spans and ends the tracer.
func (t *Tracer) Stop(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "trace: stop")
}

// Span is one hop. The zero Span records nothing.
type Span struct{ s oteltrace.Span }

// End ends the hop.
func (s Span) End() {
	if s.s != nil {
		s.s.End()
	}
}

// Set records an attribute. Its value must not contain text of a request.
func (s Span) Set(key, val string) {
	if s.s != nil {
		s.s.SetAttributes(attribute.String(key, val))
	}
}

// SetInt records a numeric attribute.
func (s Span) SetInt(key string, n int) {
	if s.s != nil {
		s.s.SetAttributes(attribute.Int(key, n))
	}
}

// propagator reads and writes the headers traceparent and tracestate.
var propagator propagation.TraceContext

// Serve starts the span of an incoming request with the given headers.
func (t *Tracer) Serve(ctx context.Context, h http.Header, name string) (context.Context, Span) {
	if h.Get("Traceparent") != "" {
		ctx = propagator.Extract(ctx, propagation.HeaderCarrier(h))
	}
	return t.start(ctx, name, oteltrace.SpanKindServer)
}

// Hop starts the span of an outgoing request.
func (t *Tracer) Hop(ctx context.Context, name string) (context.Context, Span) {
	return t.start(ctx, name, oteltrace.SpanKindClient)
}

func (t *Tracer) start(ctx context.Context, name string, kind oteltrace.SpanKind) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	ctx, s := t.tracer.Start(ctx, name, oteltrace.WithSpanKind(kind))
	if !s.IsRecording() {
		return ctx, Span{}
	}
	s.SetAttributes(attribute.String("entry.self", string(t.entry)))
	return ctx, Span{s}
}

// Inject writes the trace context of ctx into the headers of an outgoing
// request.
func Inject(ctx context.Context, h http.Header) {
	if oteltrace.SpanContextFromContext(ctx).IsValid() {
		propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// Parent returns the trace context of ctx as a traceparent header, empty if
// there is none. It is for links that carry no HTTP headers.
func Parent(ctx context.Context) string {
	h := http.Header{}
	Inject(ctx, h)
	return h.Get("Traceparent")
}

// WithParent returns a context that continues the trace of a traceparent.
func WithParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
}
