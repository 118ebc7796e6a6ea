// Package serve runs one request from its arrival to its final answer: it
// tells the reducer what happens and carries out what the reducer decides.
// Requests of callers and those that other entry hosts pass on are run alike.
//
// # Usage
//
//	rn := &serve.Runner{Loop: lp, Clock: svc, Targets: cl, Forward: peers.Forward}
//	rn.Run(ctx, call, req, sink)
//
// Run returns when the sink has had its one final call: Finish or Refuse.
// Bytes never pass through the control thread.
package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/target"
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
}

// Sink takes the answer. Its functions are called by one goroutine: Begin at
// most once and before Data, and at last either Finish or Refuse.
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
	// Forward runs an attempt at another entry host. It calls sent before the
	// first byte can reach it.
	Forward func(ctx context.Context, p Passed, sent func(), out Relay) event.AttemptEnded
	// Outcomes keeps the answers that repeats are given again.
	Outcomes *Outcomes
	// MaxAnswer bounds an answer that is held until it is whole.
	MaxAnswer ident.Bytes
}

// Run runs a request. A caller that leaves ends ctx.
func (rn *Runner) Run(ctx context.Context, call Call, req event.Request, sink Sink) {
	box, ok := rn.Loop.Open(req.ID)
	if !ok {
		sink.Refuse(event.Refuse{Request: req.ID, Code: codes.InProgress.ID, Outcome: event.NotRun})
		return
	}
	defer rn.Loop.Close(req.ID)
	r := &run{Runner: rn, call: call, req: req, sink: sink, upto: call.Resume}
	if r.call.Answer == "" {
		r.call.Answer = req.ID
	}
	rn.Loop.Post(event.RequestArrived{Request: req})
	for {
		select {
		case eff := <-box:
			if r.carry(ctx, eff) {
				return
			}
		case <-ctx.Done():
			rn.leave(req.ID)
			return
		case <-rn.Loop.Done():
			sink.Refuse(event.Refuse{Request: req.ID, Code: codes.OutcomeUnknown.ID, Outcome: event.Unknown})
			return
		}
	}
}

func (rn *Runner) leave(id ident.RequestID) { rn.Loop.Post(event.CallerLeft{Request: id}) }

// run is one request that runs.
type run struct {
	*Runner
	call Call
	req  event.Request
	sink Sink
	// begun says that the sink has been told to begin.
	begun bool
	// upto counts the tokens that the sink has been given.
	upto ident.Tokens
	// held is the answer that waits until it is whole.
	held Held
}

// carry carries out one effect and reports whether the request is over.
func (r *run) carry(ctx context.Context, eff event.Effect) bool {
	switch e := eff.(type) {
	case event.Dispatch:
		return r.attempt(ctx, e.Attempt, e.Deadline, e.Once, e.Keep, func(ctx context.Context, sent func()) event.AttemptEnded {
			return r.send(ctx, e, sent)
		})
	case event.Forward:
		return r.attempt(ctx, e.Envelope.Attempt, e.Deadline, e.Once, e.Keep, func(ctx context.Context, sent func()) event.AttemptEnded {
			return r.Forward(ctx, Passed{Forward: e, Request: r.req, Call: r.call}, sent, r.relay())
		})
	case event.Replay:
		r.replay(e)
		return true
	case event.Refuse:
		r.sink.Refuse(e)
		return true
	case event.Finish:
		r.release()
		r.sink.Finish(e.Outcome)
		return true
	}
	return false
}

// attempt runs one attempt and reports how it ended.
func (r *run) attempt(ctx context.Context, a ident.Attempt, deadline ident.Time, once, keep bool,
	do func(ctx context.Context, sent func()) event.AttemptEnded,
) bool {
	r.held = Held{}
	if !r.readBody() {
		return true
	}
	base := ctx
	if once {
		// A call that may not be repeated goes on when its caller leaves: to
		// break it off would leave nobody knowing whether it ran, while its
		// outcome can still be given to the caller's repeat.
		base = context.WithoutCancel(ctx)
	}
	actx, cancel := context.WithTimeout(base, r.left(deadline))
	defer cancel()
	sent := func() { r.Loop.Post(event.AttemptSent{Attempt: a}) }
	end := do(actx, sent)
	end.Attempt = a
	if base.Err() != nil {
		r.leave(r.req.ID)
		return true
	}
	if keep && end.Result == event.ResultDone {
		end.Kept = r.Outcomes.Keep(r.req.ID, r.held)
	}
	r.Loop.Post(end)
	return false
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
		r.leave(r.req.ID)
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

// relay returns a relay that passes a stream on and holds any other answer.
func (r *run) relay() Relay {
	return Relay{Begin: r.begin, Data: r.data}
}

func (r *run) begin(status int, h http.Header) {
	r.held.Status = status
	r.held.Header = h
}

func (r *run) data(b []byte, upto ident.Tokens) error {
	if !r.call.Stream || r.held.Status != http.StatusOK {
		return r.held.add(b, r.MaxAnswer)
	}
	if !r.begun {
		r.begun = true
		r.sink.Begin(r.held.Status, r.held.Header)
	}
	r.upto = upto
	return r.sink.Data(b, upto)
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
