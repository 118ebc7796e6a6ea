package daemon

import (
	"context"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
)

// traceHeaders carry the trace from one entry host to another.
var traceHeaders = []string{"Traceparent", "Tracestate"}

// runForwarded runs a request that another entry host has passed on, as a hop of
// the same trace. Its headers of the trace end here: the target gets those of
// the hop to it.
func (d *Daemon) runForwarded(ctx context.Context, call serve.Call, req event.Request, sink serve.Sink) {
	ctx, span := d.trace.Serve(ctx, call.Header, "passed")
	defer span.End()
	for _, name := range traceHeaders {
		call.Header.Del(name)
	}
	d.runner.Run(ctx, call, req, sink)
}
