// Package serve runs one request from its arrival to its final answer: it posts
// what happens to the reducer and carries out what the reducer decides.
// Requests of callers and those that other entry hosts pass on are run alike.
//
// # Usage
//
//	rn := &serve.Runner{Loop: lp, Clock: svc, Targets: cl, Forward: peers.Forward}
//	rn.Run(ctx, call, req, sink)
//
// Run returns when the sink has had its one final call, Finish or Refuse, or
// when the caller has gone.
// Bytes never pass through the control thread.
package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/internal/trace"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Call is the part of a request that the reducer does not see.
type Call struct {
	Method string
	// Path is the path at the target.
	Path   string
	Header http.Header
	Body   []byte
	// ReadBody, where set, reads the body before the first attempt, once the
	// reducer has let the request in. A body that may not enter this host is
	// thus never read.
	ReadBody func() ([]byte, error)
	// Answer is the request id that the answer names, where another entry
	// host gave it out; empty stands for the id of the request.
	Answer ident.RequestID
	// Resume is the number of tokens that the caller has been given before.
	Resume ident.Tokens
	// Stream says that the answer is a stream of server-sent events.
	Stream bool
	// Engine says that the answer is an engine's, which must name its request
	// and be whole JSON or a stream with its end mark.
	Engine bool
	// Routed says that the request came by a route: the answer of its target
	// is passed on byte for byte with all of its headers, and a stream of
	// events ends with its message.
	Routed bool
	// Resumable says that a stream of a route may go on at another target.
	Resumable bool
	// Ending returns which side ended the connection that the request came on, once it has
	// ended; nil where that is not known.
	Ending func() event.Ending
}

// Sink takes the answer. Its functions are called by one goroutine at a time:
// Begin at most once and before Data, and at last either Finish or Refuse, or
// neither where the caller has gone.
type Sink struct {
	Begin func(status int, h http.Header)
	// Data takes a piece of the answer and the number of tokens up to its
	// end. An error says that the caller has gone.
	Data   func(b []byte, upto ident.Tokens) error
	Finish func(outcome event.Outcome)
	Refuse func(r event.Refuse)
}

// Relay takes the answer of one attempt. Begin comes before Data.
type Relay struct {
	Begin func(status int, h http.Header)
	Data  func(b []byte, upto ident.Tokens) error
}

// Passed is a request that is passed on to another entry host.
type Passed struct {
	Forward event.Forward
	Request event.Request
	Call    Call
}

// Runner runs requests.
type Runner struct {
	Loop    *loop.Loop
	Clock   *clock.Service
	Log     logr.Logger
	Targets *target.Client
	// Send, where set, sends attempts in place of Targets.
	Send func(ctx context.Context, o target.Order, sent func()) (*http.Response, error)
	// Forward runs an attempt at another entry host. It calls sent before the
	// first byte can reach it.
	Forward func(ctx context.Context, p Passed, sent func(), out Relay) event.AttemptEnded
	// Outcomes keeps the answers that repeats are given again.
	Outcomes *Outcomes
	// MaxAnswer bounds an answer that is held until it is whole.
	MaxAnswer ident.Bytes
	// Budget bounds all held answers together; nil is no bound.
	Budget *Budget
	// Trace makes a span for each hop; nil makes none.
	Trace *trace.Tracer

	running atomic.Int64
}

// Running returns the number of requests that have not had their final
// answer.
func (rn *Runner) Running() int { return int(rn.running.Load()) }

// Run runs a request. A caller that leaves ends ctx.
func (rn *Runner) Run(ctx context.Context, call Call, req event.Request, sink Sink) {
	box, ok := rn.Loop.OpenMailbox(req.ID)
	if !ok {
		sink.Refuse(event.Refuse{Request: req.ID, Code: codes.InProgress.ID, Outcome: event.NotRun})
		return
	}
	defer rn.Loop.CloseMailbox(req.ID)
	rn.running.Add(1)
	defer rn.running.Add(-1)
	r := &run{Runner: rn, call: call, req: req, sink: sink, upto: call.Resume}
	if r.call.Answer == "" {
		r.call.Answer = req.ID
	}
	defer r.drop()
	rn.Loop.Post(event.RequestArrived{Request: req})
	r.follow(ctx, box)
}

// run is one request that runs.
type run struct {
	*Runner
	call Call
	req  event.Request
	sink Sink
	// live is the attempt that runs, nil for none.
	live *try
	// once says that an attempt that may not be repeated has begun.
	once bool
	// gone says that the caller takes no more.
	gone bool
	// begun says that the sink has begun, streaming that what
	// comes is passed on as it comes.
	begun, streaming bool
	// keep says that a stream is held for repeats beside being passed on.
	keep bool
	// upto counts the tokens that the sink has been given.
	upto ident.Tokens
	// held is the answer that waits until it is whole.
	held  Held
	taken int
}

// follow carries out what the reducer decides until the request is over.
func (r *run) follow(ctx context.Context, box <-chan event.Effect) {
	for {
		select {
		case eff := <-box:
			if r.carry(ctx, eff) {
				return
			}
		case <-r.ended():
			if r.settle() {
				return
			}
		case <-r.callerLeft(ctx):
			r.leave(box)
			return
		case <-r.Loop.Done():
			r.stop()
			r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.OutcomeUnknown.ID, Outcome: event.Unknown})
			return
		}
	}
}

// ended is closed when the live attempt has ended. It never is without one.
func (r *run) ended() <-chan struct{} {
	if r.live == nil {
		return nil
	}
	return r.live.t.Dead()
}

// callerLeft is closed when the caller has left and the request may be broken
// off. A call that may not be repeated goes on once it has begun: to break it
// off would leave nobody knowing whether it ran, while its outcome can still
// be given to the caller's repeat.
func (r *run) callerLeft(ctx context.Context) <-chan struct{} {
	if r.once {
		return nil
	}
	return ctx.Done()
}

// leave breaks the request off because its caller has gone.
func (r *run) leave(box <-chan event.Effect) {
	r.Loop.Post(r.callerGone())
	r.stop()
	for {
		select {
		case eff := <-box:
			r.decline(eff)
		default:
			return
		}
	}
}

func (r *run) callerGone() event.CallerLeft {
	e := event.CallerLeft{Request: r.req.ID}
	if r.call.Ending != nil {
		e.Ending = r.call.Ending()
	}
	return e
}

// decline says that an attempt that was decided before the caller left has
// not been run, so that nothing waits for its end.
func (r *run) decline(eff event.Effect) {
	switch e := eff.(type) {
	case event.Dispatch:
		r.Loop.Post(event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultNotRun})
	case event.Forward:
		r.Loop.Post(event.AttemptEnded{Attempt: e.Envelope.Attempt, Result: event.ResultNotRun})
	}
}

// stop breaks off the live attempt and reports its end.
func (r *run) stop() { r.breakOff(false) }

// breakOff is stop with the reason, which may be a silence.
func (r *run) breakOff(silent bool) {
	if r.live == nil {
		return
	}
	r.live.t.Kill(nil)
	_ = r.live.t.Wait()
	r.live.end.Silent = silent
	r.Loop.Post(r.live.end)
	r.live = nil
}

// settle reports the end of the live attempt. It reports true when that showed
// that the caller has gone.
func (r *run) settle() bool {
	t := r.live
	r.live = nil
	if t.once && t.keep && t.end.Result == event.ResultDone {
		t.end.Kept = r.Outcomes.Keep(r.req.ID, r.held)
	}
	r.Loop.Post(t.end)
	if r.gone && !r.once {
		r.Loop.Post(r.callerGone())
		return true
	}
	return false
}

// carry carries out one effect and reports whether the request is over.
func (r *run) carry(ctx context.Context, eff event.Effect) bool {
	switch e := eff.(type) {
	case event.Dispatch:
		t := &try{run: r, id: e.Attempt, once: e.Once, keep: e.Keep, deadline: e.Deadline, resume: e.Resume, idle: e.IdleTimeouts}
		t.do = func(ctx context.Context) event.AttemptEnded { return t.send(ctx, e) }
		return r.start(ctx, t)
	case event.Forward:
		t := &try{run: r, id: e.Envelope.Attempt, once: e.Once, keep: e.Keep, deadline: e.Deadline, resume: e.Resume, idle: e.IdleTimeouts}
		t.do = func(ctx context.Context) event.AttemptEnded { return t.forward(ctx, e) }
		return r.start(ctx, t)
	case event.BreakOff:
		if r.live != nil && r.live.id == e.Attempt && !r.live.progressed(e.Silence) {
			r.breakOff(e.Silence.Since > 0)
		}
	case event.Replay:
		r.stop()
		r.replay(e)
		return true
	case event.Refuse:
		r.stop()
		r.sink.Refuse(e)
		return true
	case event.Finish:
		r.release()
		r.sink.Finish(e.Outcome)
		return true
	}
	return false
}

// start starts an attempt. One that still runs is broken off first, since two
// would write to one caller. It reports true when the request is over because
// its body did not come.
func (r *run) start(ctx context.Context, t *try) bool {
	r.stop()
	if !r.readBody() {
		return true
	}
	if !r.begun {
		r.drop()
	}
	r.once = r.once || t.once
	r.keep = t.keep
	r.upto = max(r.upto, t.resume)
	if t.once {
		ctx = context.WithoutCancel(ctx)
	}
	t.ctx = ctx
	t.end = event.AttemptEnded{Attempt: t.id, Result: event.ResultBroken}
	r.live = t
	t.lastByte.Store(int64(r.Clock.Now()))
	t.t.Go(t.loop)
	return false
}

// drop gives up a held answer and its share of the budget.
func (r *run) drop() {
	r.Budget.Give(r.taken)
	r.taken = 0
	r.held = Held{}
}

// readBody reads a body that was left unread until now and reports whether
// the request can go on. Without its body the request has not run: no attempt
// has been made.
func (r *run) readBody() bool {
	if r.call.ReadBody == nil {
		return true
	}
	b, err := r.call.ReadBody()
	if err != nil {
		r.Loop.Post(r.callerGone())
		r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.BadRequest.ID, Outcome: event.NotRun})
		return false
	}
	r.call.Body = b
	r.call.ReadBody = nil
	return true
}

func (r *run) left(deadline ident.Time) time.Duration {
	return max(deadline.Sub(r.Clock.Now()), 0)
}

func (r *run) begin(status int, h http.Header) {
	r.held.Status = status
	r.held.Header = h
	r.streaming = r.call.Stream && status == http.StatusOK && isEventStream(h)
}

// hold adds to the held answer within the budget.
func (r *run) hold(b []byte) error {
	if !r.Budget.Take(len(b)) {
		return errAnswerTooLarge
	}
	r.taken += len(b)
	return r.held.add(b, r.MaxAnswer)
}

func (r *run) data(b []byte, upto ident.Tokens) error {
	if !r.streaming {
		return r.hold(b)
	}
	if r.keep && len(r.held.Body) <= maxKept {
		// A body that grows past what may be kept stays too large, and
		// Outcomes refuses it.
		_ = r.hold(b)
	}
	if r.gone {
		return nil
	}
	if !r.begun {
		r.begun = true
		r.sink.Begin(r.held.Status, r.held.Header)
	}
	r.upto = max(r.upto, upto)
	if err := r.sink.Data(b, upto); err != nil {
		r.gone = true
		if !r.once {
			return errors.Wrap(errGone, err.Error())
		}
	}
	return nil
}

// release gives the sink an answer that was held until it was whole.
func (r *run) release() {
	if r.begun {
		return
	}
	r.begun = true
	r.sink.Begin(r.held.Status, r.held.Header)
	if len(r.held.Body) > 0 {
		_ = r.sink.Data(r.held.Body, r.upto)
	}
}

func (r *run) replay(e event.Replay) {
	held, ok := r.Outcomes.Get(e.Of)
	if !ok {
		r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.NoOutcome.ID, Outcome: event.Done})
		return
	}
	r.held = held
	r.release()
	r.sink.Finish(event.Done)
}
