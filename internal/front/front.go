// Package front serves callers over HTTP: the chat-completions API, plain services, tickets, and
// the list of entry hosts to use. docs/callers.md describes the interface.
//
// # Usage
//
//	fr := front.New(front.Config{Self: host, Loop: lp, Runner: rn, Book: book.Load})
//	srv := &http.Server{Handler: fr}
//
// The front checks the headers before it reads the body. If the headers or the path name the profile,
// a body that may not enter this host is therefore never read. The reducer decides everything that
// depends on state; the front checks only the form of a request, and its account and profile against
// the configuration in force.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uptrace/bunrouter"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/conns"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/meter"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/trace"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Config holds the dependencies and limits of the front.
type Config struct {
	Self   event.Host
	Loop   *loop.Loop
	Runner *serve.Runner
	Clock  *clock.Service
	Log    logr.Logger
	// Book returns the configuration in force.
	Book func() *rules.Book
	// MaxBody bounds one body, Budget the memory of all of them together.
	MaxBody ident.Bytes
	Budget  *serve.Budget
	// MaxRequests bounds the requests in flight; zero means no limit.
	MaxRequests int
	// BodyTimeout bounds the time for a body to arrive, WriteTimeout the time for a caller to
	// accept a piece of its answer. Zero means no limit.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	Trace        *trace.Tracer
	Meter        *meter.Traffic
}

// Front is the HTTP handler for callers.
type Front struct {
	cfg      Config
	router   *bunrouter.Router
	inFlight atomic.Int64
}

// New returns the handler for the given configuration.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg}
	f.router = bunrouter.New(
		bunrouter.WithNotFoundHandler(f.handle("unknown", (*exchange).unknownPath)),
		bunrouter.WithMethodNotAllowedHandler(f.handle("unknown", (*exchange).wrongMethod)),
	)
	f.router.POST("/v1/chat/completions", f.handle("chat", (*exchange).chat))
	f.router.POST("/v1/completions", f.handle("completion", (*exchange).completion))
	f.router.GET("/v1/models", f.handle("models", (*exchange).models))
	f.router.GET("/v1/entries", f.handle("entries", (*exchange).entries))
	f.router.POST("/v1/tickets", f.handle("tickets", (*exchange).tickets))
	for _, m := range serviceMethods {
		f.router.Handle(m, servicePrefix+"*rest", f.handle("service", (*exchange).service))
	}
	return f
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 an answer that breaks off looks complete.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusHTTPVersionNotSupported)
		return
	}
	f.router.ServeHTTP(w, r)
}

// InFlight returns the number of requests in flight.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// exchange is one request and its answer.
type exchange struct {
	*Front
	w         http.ResponseWriter
	r         *http.Request
	rc        *http.ResponseController
	id        ident.RequestID
	startedAt ident.Time
	span      trace.Span

	client  rules.Client
	profile rules.Profile
	// body is kept until the request is over.
	body serve.BodyReader
	// bodyStarted is set once reading the body has begun, bodyComplete once it has been read to its
	// end.
	bodyStarted, bodyComplete bool

	outcome event.Outcome
	status  int
	code    codes.ID
	// streaming is set if the answer is a stream.
	streaming bool
}

// ending returns which side ended the connection of the request.
func (x *exchange) ending() event.Ending { return conns.EndingOf(x.r.Context()) }

// handle returns the handler of one path. A refusal returned by serve is written as the answer.
func (f *Front) handle(name string, serve func(x *exchange) *event.Refuse) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		x := &exchange{
			Front: f, w: w, rc: http.NewResponseController(w),
			id: newRequestID(), startedAt: f.cfg.Clock.Now(),
		}
		w.Header().Set(HeaderRequest, string(x.id))
		n := f.inFlight.Add(1)
		f.cfg.Meter.AddInFlight(1)
		defer f.finish(x)
		var ctx context.Context
		ctx, x.span = f.cfg.Trace.Serve(r.Context(), r.Header, name)
		x.r = r.WithContext(ctx).Request
		x.setBodyDeadline()
		if f.cfg.MaxRequests > 0 && n > int64(f.cfg.MaxRequests) {
			x.refuse(x.notRun(codes.HostBusy, ""))
			return nil
		}
		if ref := x.checkHead(); ref != nil {
			x.refuse(ref)
			return nil
		}
		if ref := serve(x); ref != nil {
			x.refuse(ref)
		}
		return nil
	}
}

// finish records the end of an exchange. It also runs after a panic with http.ErrAbortHandler, which
// aborts an answer that has begun.
func (f *Front) finish(x *exchange) {
	f.inFlight.Add(-1)
	f.cfg.Meter.AddInFlight(-1)
	x.body.Release()
	if x.streaming {
		f.cfg.Meter.AddOpenStreams(-1)
	}
	took := f.cfg.Clock.Now().Sub(x.startedAt)
	f.cfg.Meter.ObserveDuration(took)
	if x.profile.Name != "" && x.outcome != "" {
		f.cfg.Meter.RequestEnded(x.profile.Name, x.outcome)
	}
	x.span.Set("request", string(x.id))
	x.span.Set("profile", string(x.profile.Name))
	x.span.Set("outcome", string(x.outcome))
	x.span.Set("code", string(x.code))
	x.span.End()
	if log := f.cfg.Log.V(1); log.Enabled() {
		log.Info("request", "request", x.id, "account", x.client.Name, "profile", x.profile.Name,
			"status", x.status, "outcome", x.outcome, "code", x.code, "took", took)
	}
}
