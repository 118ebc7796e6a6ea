// Package front serves callers over HTTP: the chat-completions API, plain
// services, tickets, and the list of entry hosts to use. docs/callers.md
// describes it.
//
// # Usage
//
//	fr := front.New(front.Config{Self: host, Loop: lp, Runner: rn, Book: book.Load})
//	srv := &http.Server{Handler: fr}
//
// Whatever can be judged from the headers is judged before the body is read,
// so that a body whose place is elsewhere never enters this host. The reducer
// judges all that depends on state; the front judges only shapes, and the
// account and profile by the configuration in force.
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

// Config is what the front needs.
type Config struct {
	Self   event.Host
	Loop   *loop.Loop
	Runner *serve.Runner
	Clock  *clock.Service
	Log    logr.Logger
	// Book returns the configuration in force.
	Book func() *rules.Book
	// MaxBody bounds one body, Budget all of them together.
	MaxBody ident.Bytes
	Budget  *serve.Budget
	// MaxRequests bounds the requests in flight; zero is no bound.
	MaxRequests int
	// BodyTime is how long a body may take to arrive, WriteTime how long a
	// caller may take to accept a piece of its answer. Zero is no bound.
	BodyTime  time.Duration
	WriteTime time.Duration
	Trace     *trace.Tracer
	Meter     *meter.Traffic
}

// Front is the handler for callers.
type Front struct {
	cfg    Config
	router *bunrouter.Router
	open   atomic.Int64
}

// New returns a handler.
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
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// Open returns the number of requests in flight.
func (f *Front) Open() int { return int(f.open.Load()) }

// exchange is one request and its answer.
type exchange struct {
	*Front
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	id    ident.RequestID
	began ident.Time
	span  trace.Span

	client  rules.Client
	profile rules.Profile
	// body is held until the request is over.
	body  []byte
	taken int
	// reading says that reading the body has begun, whole that it has come to
	// its end.
	reading, whole bool

	outcome event.Outcome
	status  int
	code    codes.ID
	// stream says that the answer is a stream.
	stream bool
}

// ending returns which side ended the connection of the request.
func (x *exchange) ending() event.Ending { return conns.EndingOf(x.r.Context()) }

// handle returns the handler of one path. A refusal that the function returns
// is the answer.
func (f *Front) handle(name string, do func(x *exchange) *event.Refuse) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		x := &exchange{
			Front: f, w: w, rc: http.NewResponseController(w),
			id: newRequestID(), began: f.cfg.Clock.Now(),
		}
		w.Header().Set(HeaderRequest, string(x.id))
		n := f.open.Add(1)
		f.cfg.Meter.AddInFlight(1)
		defer f.done(x)
		var ctx context.Context
		ctx, x.span = f.cfg.Trace.Serve(r.Context(), r.Header, name)
		x.r = r.WithContext(ctx).Request
		x.limitBody()
		if f.cfg.MaxRequests > 0 && n > int64(f.cfg.MaxRequests) {
			x.refuse(x.not(codes.HostBusy, ""))
			return nil
		}
		if ref := x.checkHead(); ref != nil {
			x.refuse(ref)
			return nil
		}
		if ref := do(x); ref != nil {
			x.refuse(ref)
		}
		return nil
	}
}

// done records the end of an exchange. It runs also when the connection
// is cut by a panic, which is how net/http cuts one.
func (f *Front) done(x *exchange) {
	f.open.Add(-1)
	f.cfg.Meter.AddInFlight(-1)
	f.cfg.Budget.Give(x.taken)
	if x.stream {
		f.cfg.Meter.AddOpenStreams(-1)
	}
	took := f.cfg.Clock.Now().Sub(x.began)
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
