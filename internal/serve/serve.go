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
	// AnswerID is the request id that the answer names, where another entry
	// host gave it out; empty stands for the id of the request.
	AnswerID ident.RequestID
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

// ForwardedRequest is a request that is passed on to another entry host.
type ForwardedRequest struct {
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
	Forward func(ctx context.Context, p ForwardedRequest, sent func(), out Relay) event.AttemptEnded
	// Answers keeps the answers that repeats are given again.
	Answers *AnswerCache
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
	box, ok := rn.Loop.Open(req.ID)
	if !ok {
		sink.Refuse(event.Refuse{Request: req.ID, Code: codes.InProgress.ID, Outcome: event.NotRun})
		return
	}
	defer rn.Loop.Close(req.ID)
	rn.running.Add(1)
	defer rn.running.Add(-1)
	r := &run{Runner: rn, call: call, req: req, sink: sink, delivered: call.Resume}
	if r.call.AnswerID == "" {
		r.call.AnswerID = req.ID
	}
	defer r.discardBuffer()
	rn.Loop.Post(event.RequestArrived{Request: req})
	r.process(ctx, box)
}

// run is one request that runs.
type run struct {
	*Runner
	call Call
	req  event.Request
	sink Sink
	// current is the attempt that runs, nil for none.
	current *attempt
	// onceStarted says that an attempt that may not be repeated has begun.
	onceStarted bool
	// sinkFailed says that the caller takes no more.
	sinkFailed bool
	// sinkBegun says that the sink has sinkBegun, streaming that what
	// comes is passed on as it comes.
	sinkBegun, streaming bool
	// keepCopy says that a stream is held for repeats beside being passed on.
	keepCopy bool
	// delivered counts the tokens that the sink has been given.
	delivered ident.Tokens
	// buffered is the answer that waits until it is whole.
	buffered BufferedAnswer
	reserved int
}

// process carries out what the reducer decides until the request is over.
func (r *run) process(ctx context.Context, box <-chan event.Effect) {
	for {
		select {
		case eff := <-box:
			if r.apply(ctx, eff) {
				return
			}
		case <-r.attemptDone():
			if r.finishAttempt() {
				return
			}
		case <-r.callerDone(ctx):
			r.abandon(box)
			return
		case <-r.Loop.Done():
			r.stopAttempt()
			r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.OutcomeUnknown.ID, Outcome: event.Unknown})
			return
		}
	}
}

// attemptDone is closed when the live attempt has attemptDone. It never is without one.
func (r *run) attemptDone() <-chan struct{} {
	if r.current == nil {
		return nil
	}
	return r.current.t.Dead()
}

// callerDone is closed when the caller has left and the request may be broken
// off. A call that may not be repeated goes on once it has begun: to break it
// off would leave nobody knowing whether it ran, while its outcome can still
// be given to the caller's repeat.
func (r *run) callerDone(ctx context.Context) <-chan struct{} {
	if r.onceStarted {
		return nil
	}
	return ctx.Done()
}

// abandon breaks the request off because its caller has gone.
func (r *run) abandon(box <-chan event.Effect) {
	r.Loop.Post(r.callerLeftEvent())
	r.stopAttempt()
	for {
		select {
		case eff := <-box:
			r.reportNotRun(eff)
		default:
			return
		}
	}
}

func (r *run) callerLeftEvent() event.CallerLeft {
	e := event.CallerLeft{Request: r.req.ID}
	if r.call.Ending != nil {
		e.Ending = r.call.Ending()
	}
	return e
}

// reportNotRun says that an attempt that was decided before the caller left has
// not been run, so that nothing waits for its end.
func (r *run) reportNotRun(eff event.Effect) {
	switch e := eff.(type) {
	case event.Dispatch:
		r.Loop.Post(event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultNotRun})
	case event.Forward:
		r.Loop.Post(event.AttemptEnded{Attempt: e.Envelope.Attempt, Result: event.ResultNotRun})
	}
}

// stopAttempt breaks off the live attempt and reports its end.
func (r *run) stopAttempt() { r.abortAttempt(false) }

// abortAttempt is stop with the reason, which may be a silence.
func (r *run) abortAttempt(silent bool) {
	if r.current == nil {
		return
	}
	r.current.t.Kill(nil)
	_ = r.current.t.Wait()
	r.current.end.Silent = silent
	r.Loop.Post(r.current.end)
	r.current = nil
}

// finishAttempt reports the end of the live attempt. It reports true when that showed
// that the caller has gone.
func (r *run) finishAttempt() bool {
	t := r.current
	r.current = nil
	if t.atMostOnce && t.keepAnswer && t.end.Result == event.ResultDone {
		t.end.Kept = r.Answers.Put(r.req.ID, r.buffered)
	}
	r.Loop.Post(t.end)
	if r.sinkFailed && !r.onceStarted {
		r.Loop.Post(r.callerLeftEvent())
		return true
	}
	return false
}

// apply carries out one effect and reports whether the request is over.
func (r *run) apply(ctx context.Context, eff event.Effect) bool {
	switch e := eff.(type) {
	case event.Dispatch:
		t := &attempt{run: r, id: e.Attempt, atMostOnce: e.Once, keepAnswer: e.Keep, deadline: e.Deadline, resume: e.Resume, idleTimeouts: e.IdleTimeouts}
		t.do = func(ctx context.Context) event.AttemptEnded { return t.send(ctx, e) }
		return r.startAttempt(ctx, t)
	case event.Forward:
		t := &attempt{run: r, id: e.Envelope.Attempt, atMostOnce: e.Once, keepAnswer: e.Keep, deadline: e.Deadline, resume: e.Resume, idleTimeouts: e.IdleTimeouts}
		t.do = func(ctx context.Context) event.AttemptEnded { return t.forward(ctx, e) }
		return r.startAttempt(ctx, t)
	case event.BreakOff:
		if r.current != nil && r.current.id == e.Attempt && !r.current.progressedSince(e.Silence) {
			r.abortAttempt(e.Silence.Since > 0)
		}
	case event.Replay:
		r.stopAttempt()
		r.replay(e)
		return true
	case event.Refuse:
		r.stopAttempt()
		r.sink.Refuse(e)
		return true
	case event.Finish:
		r.flushBuffered()
		r.sink.Finish(e.Outcome)
		return true
	}
	return false
}

// startAttempt starts an attempt. One that still runs is broken off first, since two
// would write to one caller. It reports true when the request is over because
// its body did not come.
func (r *run) startAttempt(ctx context.Context, t *attempt) bool {
	r.stopAttempt()
	if !r.readBody() {
		return true
	}
	if !r.sinkBegun {
		r.discardBuffer()
	}
	r.onceStarted = r.onceStarted || t.atMostOnce
	r.keepCopy = t.keepAnswer
	r.delivered = max(r.delivered, t.resume)
	if t.atMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	t.ctx = ctx
	t.end = event.AttemptEnded{Attempt: t.id, Result: event.ResultBroken}
	r.current = t
	t.lastByteAt.Store(int64(r.Clock.Now()))
	t.t.Go(t.loop)
	return false
}

// discardBuffer gives up a held answer and its share of the budget.
func (r *run) discardBuffer() {
	r.Budget.Release(r.reserved)
	r.reserved = 0
	r.buffered = BufferedAnswer{}
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
		r.Loop.Post(r.callerLeftEvent())
		r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.BadRequest.ID, Outcome: event.NotRun})
		return false
	}
	r.call.Body = b
	r.call.ReadBody = nil
	return true
}

func (r *run) remaining(deadline ident.Time) time.Duration {
	return max(deadline.Sub(r.Clock.Now()), 0)
}

func (r *run) begin(status int, h http.Header) {
	r.buffered.Status = status
	r.buffered.Header = h
	r.streaming = r.call.Stream && status == http.StatusOK && isEventStream(h)
}

// buffer adds to the held answer within the budget.
func (r *run) buffer(b []byte) error {
	if !r.Budget.Reserve(len(b)) {
		return errAnswerTooLarge
	}
	r.reserved += len(b)
	return r.buffered.append(b, r.MaxAnswer)
}

func (r *run) deliver(b []byte, upto ident.Tokens) error {
	if !r.streaming {
		return r.buffer(b)
	}
	if r.keepCopy && len(r.buffered.Body) <= maxKeptAnswer {
		// A body that grows past what may be kept stays too large, and
		// Outcomes refuses it.
		_ = r.buffer(b)
	}
	if r.sinkFailed {
		return nil
	}
	if !r.sinkBegun {
		r.sinkBegun = true
		r.sink.Begin(r.buffered.Status, r.buffered.Header)
	}
	r.delivered = max(r.delivered, upto)
	if err := r.sink.Data(b, upto); err != nil {
		r.sinkFailed = true
		if !r.onceStarted {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	return nil
}

// flushBuffered gives the sink an answer that was held until it was whole.
func (r *run) flushBuffered() {
	if r.sinkBegun {
		return
	}
	r.sinkBegun = true
	r.sink.Begin(r.buffered.Status, r.buffered.Header)
	if len(r.buffered.Body) > 0 {
		_ = r.sink.Data(r.buffered.Body, r.delivered)
	}
}

func (r *run) replay(e event.Replay) {
	held, ok := r.Answers.Get(e.Of)
	if !ok {
		r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.NoOutcome.ID, Outcome: event.Done})
		return
	}
	r.buffered = held
	r.flushBuffered()
	r.sink.Finish(event.Done)
}
