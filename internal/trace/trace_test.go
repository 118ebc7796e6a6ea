package trace

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func check(t *testing.T, what string, want, have any) {
	t.Helper()
	if diff := cmp.Diff(want, have); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against a hop of a request that is missing from the caller's trace or has the
// wrong parent span.
func TestHops(t *testing.T) {
	exp := tracetest.NewInMemoryExporter()
	tr := newTracer(Config{Ratio: 0, Entry: "e"}, sdk.NewSimpleSpanProcessor(exp))
	ctx, first := tr.Serve(t.Context(), http.Header{"Traceparent": {parent}}, "chat")
	ctx, hop := tr.Hop(ctx, "entry")
	ctx, second := tr.Serve(WithParent(context.Background(), Parent(ctx)), http.Header{}, "passed")
	h := http.Header{}
	_, last := tr.Hop(ctx, "target")
	Inject(ctx, h)
	for _, s := range []Span{last, second, hop, first} {
		s.Set("outcome", "done")
		s.End()
	}
	var names []string
	parentSpan := "b7ad6b7169203331"
	spans := exp.GetSpans()
	for i := len(spans) - 1; i >= 0; i-- {
		s := spans[i]
		names = append(names, s.Name)
		check(t, "trace of "+s.Name, "0af7651916cd43dd8448eb211c80319c", s.SpanContext.TraceID().String())
		check(t, "parent of "+s.Name, parentSpan, s.Parent.SpanID().String())
		parentSpan = s.SpanContext.SpanID().String()
	}
	check(t, "spans", []string{"chat", "entry", "passed", "target"}, names)
	check(t, "out", true, strings.HasPrefix(h.Get("Traceparent"), "00-0af7651916cd43dd8448eb211c80319c-"))
}

// Guards against a host that exports no spans dropping the trace context, which would
// split the caller's trace.
func TestDisabledTracerPropagatesContext(t *testing.T) {
	tr, err := New(Config{Exporter: None})
	if err != nil {
		t.Fatal(err)
	}
	ctx, span := tr.Serve(t.Context(), http.Header{"Traceparent": {parent}}, "chat")
	ctx, hop := tr.Hop(ctx, "target")
	hop.SetInt("status", 200)
	hop.End()
	span.End()
	check(t, "out", parent, Parent(ctx))
	check(t, "stop", nil, tr.Stop(t.Context()))
	check(t, "no trace to propagate", "", Parent(t.Context()))
}

// Guards against losing queued spans when the host stops.
func TestStdout(t *testing.T) {
	var out bytes.Buffer
	tr, err := New(Config{Exporter: Stdout, Ratio: 1, Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	_, span := tr.Serve(t.Context(), http.Header{}, "chat")
	span.End()
	if err := tr.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	check(t, "span", true, strings.Contains(out.String(), `"Name":"chat"`))
}

// Guards against accepting an unknown exporter, which would silently export nothing.
func TestUnknownExporter(t *testing.T) {
	_, err := New(Config{Exporter: "file"})
	check(t, "fault", true, err != nil)
}
