package daemon

import (
	"context"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
)

// traceHeaders carry the trace context from one entry host to another.
var traceHeaders = []string{"Traceparent", "Tracestate"}

// runForwarded runs a request that another entry host has forwarded, as a hop of
// the same trace. It removes the received trace headers, because the target gets
// the trace context of this hop instead.
func (d *Daemon) runForwarded(ctx context.Context, call serve.Call, req event.Request, sink serve.Sink) {
	ctx, span := d.trace.Serve(ctx, call.Header, "passed")
	defer span.End()
	for _, name := range traceHeaders {
		call.Header.Del(name)
	}
	d.runner.Run(ctx, call, req, sink)
}
