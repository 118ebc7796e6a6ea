// Package serve runs one request from its arrival to its final answer: it posts events to the
// reducer and executes the effects that the reducer returns. Requests of callers and requests
// forwarded by other entry hosts are handled in the same way.
//
// # Usage
//
//	rn := &serve.Runner{Loop: lp, Clock: svc, Targets: cl, Forward: peers.Forward}
//	rn.Run(ctx, call, req, sink)
//
// Run returns after the sink has had its one final call, Finish or Refuse, or after the caller has
// disconnected. Bodies and answers never pass through the control thread.
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
	// ReadBody, if set, reads the body before the first attempt, after the reducer has admitted the
	// request. A body that may not enter this host is thus never read.
	ReadBody func() ([]byte, error)
	// AnswerID is the request id that the answer contains, if another entry host assigned it; empty
	// means the id of the request.
	AnswerID ident.RequestID
	// Resume is the number of tokens that the caller has already received.
	Resume ident.Tokens
	// Stream is set if the caller accepts a stream of server-sent events.
	Stream bool
	// Engine is set if an engine answers. Its answer must contain the request id, and be complete
	// JSON or a stream with its end marker.
	Engine bool
	// Routed is set if the request came in on a route: the answer of its target is relayed byte for
	// byte with all of its headers, and a stream of events ends with its message.
	Routed bool
	// Resumable is set if another target may continue a stream of a route.
	Resumable bool
	// Ending returns which side ended the connection of the request, once it has ended; nil if that
	// is not known.
	Ending func() event.Ending
}

// Sink receives the answer. Its functions are called by one goroutine at a time: Begin at most once
// and before Data, and finally either Finish or Refuse, or neither if the caller has disconnected.
type Sink struct {
	// Build, if set, receives the build of the target that answers before Begin is called.
	Build func(build ident.Build)
	Begin func(status int, h http.Header)
	// Data receives a piece of the answer and the number of tokens up to its end. An error means
	// that the caller has disconnected.
	Data   func(b []byte, tokens ident.Tokens) error
	Finish func(outcome event.Outcome)
	Refuse func(r event.Refuse)
}

// Relay receives the answer of one attempt. Begin is called before Data.
type Relay struct {
	// Build, if set, receives the build of the target that answers before Begin is called.
	Build func(build ident.Build)
	Begin func(status int, h http.Header)
	Data  func(b []byte, tokens ident.Tokens) error
}

// ForwardedRequest is a request to forward to another entry host.
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
	// Send, if set, sends attempts in place of Targets.
	Send func(ctx context.Context, req target.AttemptRequest, onSend func()) (*http.Response, error)
	// Ended, if set, reports in place of Targets whether the process of a target has ended.
	Ended func(ctx context.Context, t event.Target) bool
	// Lives, if set, reports in place of Targets whether a target answers a query under its own id.
	Lives func(ctx context.Context, t event.Target) bool
	// Forward runs an attempt at another entry host. It calls onSend before the first byte can reach
	// that host.
	Forward func(ctx context.Context, req ForwardedRequest, onSend func(), relay Relay) event.AttemptEnded
	// Answers stores the answers that are replayed to repeats of a request.
	Answers *AnswerCache
	// MaxAnswer bounds an answer that is buffered until it is complete.
	MaxAnswer ident.Bytes
	// Budget bounds the memory of all buffered answers together; nil means no limit.
	Budget *Budget
	// Trace records a span for each hop; nil records none.
	Trace *trace.Tracer

	running atomic.Int64
}

// Running returns the number of requests that have not had their final answer.
func (rn *Runner) Running() int { return int(rn.running.Load()) }

// Run runs a request until its final answer. ctx must be cancelled when the caller disconnects.
func (rn *Runner) Run(ctx context.Context, call Call, req event.Request, sink Sink) {
	effects, ok := rn.Loop.OpenMailbox(req.ID)
	if !ok {
		sink.Refuse(event.Refuse{Request: req.ID, Code: codes.InProgress.ID, Outcome: event.NotRun})
		return
	}
	defer rn.Loop.CloseMailbox(req.ID)
	rn.running.Add(1)
	defer rn.running.Add(-1)
	r := &run{Runner: rn, call: call, req: req, sink: sink, delivered: call.Resume}
	if r.call.AnswerID == "" {
		r.call.AnswerID = req.ID
	}
	defer r.discardBuffer()
	rn.Loop.Post(event.RequestArrived{Request: req})
	r.process(ctx, effects)
}

// run is the state of one running request.
type run struct {
	*Runner
	call Call
	req  event.Request
	sink Sink
	// current is the running attempt, or nil.
	current *attempt
	// atMostOnceStarted is set once an attempt that may not be repeated has started.
	atMostOnceStarted bool
	// sinkFailed is set once the caller no longer accepts data.
	sinkFailed bool
	// sinkBegun is set once the sink has been given the status, streaming if the answer is relayed
	// as it arrives.
	sinkBegun, streaming bool
	// keepCopy is set if a stream is also buffered for repeats while it is relayed. copyIncomplete is
	// set once a piece of it is missing from the buffer, so that it may not be stored.
	keepCopy, copyIncomplete bool
	// build is that of the target whose answer has begun.
	build ident.Build
	// delivered is the number of tokens that the sink has been given: the id of the last event.
	delivered ident.Tokens
	// unplaced is set while the sink has been given an event without an id after that one.
	unplaced atomic.Bool
	// hasLargeSteps is set once the ids of a stream have increased by more than one.
	hasLargeSteps bool
	// buffered is the answer that is kept until it is complete or for repeats; reserved is its share
	// of the budget.
	buffered BufferedAnswer
	reserved int
}

// process executes the effects of the reducer until the request is over.
func (r *run) process(ctx context.Context, effects <-chan event.Effect) {
	for {
		select {
		case eff := <-effects:
			if r.apply(ctx, eff) {
				return
			}
		case <-r.attemptDone():
			if r.finishAttempt() {
				return
			}
		case <-r.callerDone(ctx):
			r.abandon(effects)
			return
		case <-r.Loop.Done():
			r.stopAttempt()
			r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.OutcomeUnknown.ID, Outcome: event.Unknown})
			return
		}
	}
}

// attemptDone returns a channel that is closed when the current attempt has ended; nil without an
// attempt.
func (r *run) attemptDone() <-chan struct{} {
	if r.current == nil {
		return nil
	}
	return r.current.t.Dead()
}

// callerDone returns a channel that is closed when the caller has disconnected, or nil if the
// request must continue then. A call that may not be repeated continues once an attempt has
// started: if it were aborted, nobody would know whether it ran, whereas its outcome can still be
// given to a repeat of the caller.
func (r *run) callerDone(ctx context.Context) <-chan struct{} {
	if r.atMostOnceStarted {
		return nil
	}
	return ctx.Done()
}

// abandon aborts the request because its caller has disconnected.
func (r *run) abandon(effects <-chan event.Effect) {
	r.Loop.Post(r.callerLeftEvent())
	r.stopAttempt()
	for {
		select {
		case eff := <-effects:
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

// reportNotRun reports that an attempt has not run. The reducer decided on the attempt before it
// knew that the caller had disconnected, and would otherwise wait for its end.
func (r *run) reportNotRun(eff event.Effect) {
	switch e := eff.(type) {
	case event.Dispatch:
		r.Loop.Post(event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultNotRun})
	case event.Forward:
		r.Loop.Post(event.AttemptEnded{Attempt: e.Envelope.Attempt, Result: event.ResultNotRun})
	}
}

// stopAttempt aborts the current attempt for a reason other than silence.
func (r *run) stopAttempt() { r.abortAttempt(false) }

// abortAttempt aborts the current attempt and reports its end; silent is set if the attempt sent no
// data for too long.
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

// finishAttempt reports the end of the current attempt. It returns true if the request is over
// because the caller did not accept the answer.
func (r *run) finishAttempt() bool {
	a := r.current
	r.current = nil
	if a.atMostOnce && a.keepOutcome && a.end.Result == event.ResultDone && !r.copyIncomplete {
		a.end.OutcomeStored = r.Answers.Put(r.req.ID, r.buffered)
	}
	r.Loop.Post(a.end)
	if r.sinkFailed && !r.atMostOnceStarted {
		r.Loop.Post(r.callerLeftEvent())
		return true
	}
	return false
}

// apply executes one effect and reports whether the request is over.
func (r *run) apply(ctx context.Context, eff event.Effect) bool {
	switch e := eff.(type) {
	case event.Dispatch:
		a := &attempt{run: r, id: e.Attempt, atMostOnce: e.AtMostOnce, keepOutcome: e.KeepOutcome, deadline: e.Deadline, resume: e.ResumeAfter, idleTimeouts: e.IdleTimeouts}
		a.do = func(ctx context.Context) event.AttemptEnded { return a.send(ctx, e) }
		return r.startAttempt(ctx, a)
	case event.Forward:
		a := &attempt{run: r, id: e.Envelope.Attempt, atMostOnce: e.AtMostOnce, keepOutcome: e.KeepOutcome, deadline: e.Deadline, resume: e.ResumeAfter, idleTimeouts: e.IdleTimeouts}
		a.do = func(ctx context.Context) event.AttemptEnded { return a.forward(ctx, e) }
		return r.startAttempt(ctx, a)
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
		r.finish(e.Outcome)
		return true
	}
	return false
}

// startAttempt starts an attempt. It first aborts one that still runs, since both would write to
// the same caller. It returns true if the request is over because its body could not be read.
func (r *run) startAttempt(ctx context.Context, a *attempt) bool {
	r.stopAttempt()
	if !r.readBody() {
		return true
	}
	if !r.sinkBegun {
		r.discardBuffer()
		// An attempt that resumes a stream brings only the rest of the answer.
		r.copyIncomplete = a.resume > 0
	}
	r.atMostOnceStarted = r.atMostOnceStarted || a.atMostOnce
	r.keepCopy = a.keepOutcome
	r.delivered = max(r.delivered, a.resume)
	if a.atMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	a.ctx, a.continues = ctx, r.sinkBegun && r.delivered > 0
	a.end = event.AttemptEnded{Attempt: a.id, Result: event.ResultBroken}
	r.current = a
	a.lastByteAt.Store(int64(r.Clock.Now()))
	a.t.Go(a.loop)
	return false
}

// answerGrowth is the factor by which the buffer of an answer grows.
const answerGrowth = 1.5

// discardBuffer drops the buffered answer and releases its share of the budget.
func (r *run) discardBuffer() {
	r.Budget.Release(r.reserved)
	r.reserved = 0
	r.buffered = BufferedAnswer{}
}

// readBody reads a body whose reading was deferred and reports whether the request can continue. If
// the body can't be read, the request has not run: no attempt has been made.
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
	r.streaming = r.call.Stream && status == http.StatusOK && IsEventStream(h)
}

// buffer appends to the buffered answer within the budget.
func (r *run) buffer(b []byte) error {
	if err := r.growBuffer(len(r.buffered.Body) + len(b)); err != nil {
		return err
	}
	return r.buffered.appendBody(b, r.MaxAnswer)
}

// growBuffer makes room for an answer of n bytes. What is reserved is what the buffer occupies; while it grows, that is
// the old and the new one.
func (r *run) growBuffer(n int) error {
	old := cap(r.buffered.Body)
	if ident.Bytes(n) > r.MaxAnswer {
		return errAnswerTooLarge
	}
	if n <= old {
		return nil
	}
	size := max(n, min(int(answerGrowth*float64(old)), int(r.MaxAnswer)))
	reserve := r.Budget.Reserve
	if size > maxSmallAnswer {
		reserve = r.Budget.ReserveLarge
	}
	if !reserve(size) {
		return errAnswerTooLarge
	}
	body := make([]byte, len(r.buffered.Body), size)
	copy(body, r.buffered.Body)
	r.buffered.Body = body
	r.Budget.Release(r.reserved)
	r.reserved = size
	return nil
}

func (r *run) deliver(b []byte, tokens ident.Tokens) error {
	if !r.streaming {
		return r.buffer(b)
	}
	if r.keepCopy && !r.copyIncomplete {
		r.copyPiece(b)
	}
	if r.sinkFailed {
		return nil
	}
	if !r.sinkBegun {
		r.sinkBegun = true
		if r.sink.Build != nil {
			r.sink.Build(r.build)
		}
		r.sink.Begin(r.buffered.Status, r.buffered.Header)
	}
	r.delivered = max(r.delivered, tokens)
	if err := r.sink.Data(b, tokens); err != nil {
		r.sinkFailed = true
		if !r.atMostOnceStarted {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	return nil
}

// copyPiece adds a piece of a relayed stream to the copy for repeats. Once the copy lacks a piece
// it is dropped: a repeat would be given what remains of it as the whole answer.
func (r *run) copyPiece(b []byte) {
	var err error
	if len(r.buffered.Body)+len(b) > maxStoredAnswer {
		err = errAnswerTooLarge
	} else {
		err = r.buffer(b)
	}
	if err == nil {
		return
	}
	r.Log.V(1).Info("answer is not stored for repeats", "request", r.req.ID, "bytes", len(r.buffered.Body)+len(b), "reason", err.Error())
	r.copyIncomplete = true
	r.Budget.Release(r.reserved)
	r.reserved = 0
	r.buffered.Body = nil
}

// finish gives the sink what it has not been given of the answer, and its end. A sink that did not
// accept all of the answer is not given its end.
func (r *run) finish(outcome event.Outcome) {
	if !r.sinkBegun {
		r.sinkBegun = true
		r.sink.Begin(r.buffered.Status, r.buffered.Header)
		if err := r.writeBuffered(); err != nil {
			r.Log.Info("caller did not accept its answer", "request", r.req.ID, "bytes", len(r.buffered.Body), "reason", err.Error())
			return
		}
	}
	r.sink.Finish(outcome)
}

func (r *run) writeBuffered() error {
	if len(r.buffered.Body) == 0 {
		return nil
	}
	return r.sink.Data(r.buffered.Body, r.delivered)
}

func (r *run) replay(e event.Replay) {
	answer, ok := r.Answers.Get(e.Of)
	if !ok {
		r.sink.Refuse(event.Refuse{Request: r.req.ID, Code: codes.NoOutcome.ID, Outcome: event.Done})
		return
	}
	r.buffered = answer
	r.finish(event.Done)
}
