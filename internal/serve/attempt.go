package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/trace"
	"verbenadale.example/verbenadale/pkg/ident"
)

// attempt is one attempt at a request. It runs in a goroutine of its own, so that the goroutine of
// the request can abort it when the reducer decides to. Only the attempt accesses the answer of the
// request, from its start until t is dead.
type attempt struct {
	*run
	t            tomb.Tomb
	ctx          context.Context
	id           ident.Attempt
	deadline     ident.Time
	resume       ident.Tokens
	atMostOnce   bool
	keepOutcome  bool
	do           func(ctx context.Context) event.AttemptEnded
	idleTimeouts event.IdleTimeouts
	sent         bool
	// lastByteAt is when the last piece of the answer arrived; at first, when the attempt started.
	lastByteAt atomic.Int64
	hasBytes   atomic.Bool
	// answerEnded is set once the end of the answer has arrived and its target is asked whether it lives.
	answerEnded atomic.Bool
	// firstByteReported is set once the first byte of the answer has been reported.
	firstByteReported bool
	// cannotContinue is set if another entry host has answered with what is no continuation of the
	// stream of which the caller has a part.
	cannotContinue bool
	// relayFault is what was wrong with the answer that another entry host has relayed.
	relayFault    string
	reportedUsage usage
	end           event.AttemptEnded
	// gapCount is the number of events since gapStart, gapID the id of the event at that time.
	gapCount int
	gapStart ident.Time
	gapID    ident.Tokens
	// continues is set if the caller has a part of the stream from an earlier attempt, placed once
	// this one has delivered an event with an id.
	continues, placed bool
}

// gapEvents is the number of events over which the gap between events is averaged.
const gapEvents = 6

// loop runs the attempt until it ends, reaches its deadline or is killed.
func (a *attempt) loop() error {
	ctx, cancel := context.WithTimeout(a.t.Context(a.ctx), a.remaining(a.deadline))
	defer cancel()
	if a.idleTimeouts != (event.IdleTimeouts{}) {
		w := &silenceWatch{attempt: a, ctx: ctx}
		a.t.Go(w.run)
	}
	end := a.do(ctx)
	end.Attempt, end.Unplaced = a.id, a.unplaced.Load()
	end.Resumable = end.Resumable && !end.Unplaced
	a.end = end
	return nil
}

// forward runs an attempt at another entry host.
func (a *attempt) forward(ctx context.Context, f event.Forward) event.AttemptEnded {
	if a.Forward == nil {
		return event.AttemptEnded{Result: event.ResultNotRun}
	}
	ctx, span := a.Trace.Hop(ctx, "entry")
	defer span.End()
	span.Set("entry.to", string(f.To.ID))
	call := a.call
	call.Header = a.call.Header.Clone()
	trace.Inject(ctx, call.Header)
	end := a.Forward(ctx, ForwardedRequest{Forward: f, Request: a.req, Call: call}, a.markSent, Relay{Build: a.setBuild, Begin: a.beginRelayed, Data: a.receiveRelayed})
	end.Fault = a.relayFault
	if a.cannotContinue {
		a.Log.V(1).Info("attempt broke", "attempt", a.id, "error", errNotContinued)
		end.Result, end.Resumable, end.Fault = event.ResultFailed, a.resumable(), faultOf(errNotContinued)
		end.Delivered, end.Generated = a.delivered, 0
	}
	span.Set("result", string(end.Result))
	return end
}

func (a *attempt) setBuild(b ident.Build) { a.build = b }

// beginRelayed receives the head of an answer that another entry host relays. That host does not know
// whether the caller has a part of a stream.
func (a *attempt) beginRelayed(status int, h http.Header) {
	if a.sinkBegun && !canContinueStream(&http.Response{StatusCode: status, Header: h}) {
		a.cannotContinue = true
		return
	}
	a.begin(status, h)
}

// receiveRelayed receives a piece of the answer that another entry host relays. That host has checked
// that the pieces are contiguous. A piece whose token count is lower than that of the previous one
// is rejected, since the caller would receive text twice.
func (a *attempt) receiveRelayed(b []byte, tokens ident.Tokens) error {
	err := a.deliverRelayed(b, tokens)
	if err != nil {
		a.relayFault = faultOf(err)
	}
	return err
}

func (a *attempt) deliverRelayed(b []byte, tokens ident.Tokens) error {
	if a.cannotContinue {
		return errNotContinued
	}
	if tokens < a.delivered {
		return errOutOfSequence
	}
	a.recordProgress()
	if a.call.Routed && a.streaming {
		return a.deliverEvent(b, tokens)
	}
	return a.deliver(b, tokens)
}

// faults names the faults in answers.
var faults = []struct {
	err  error
	name string
}{
	{errTruncated, "truncated"},
	{errOutOfSequence, "outOfSequence"},
	{errNotContinued, "notContinued"},
	{errWrongRequest, "otherRequest"},
	{errEventTooLong, "tooLong"},
	{errAnswerTooLarge, "tooLong"},
	{errCallerGone, "callerGone"},
}

// faultOf returns the name of the fault in an answer.
func faultOf(err error) string {
	for _, f := range faults {
		if errors.Is(err, f.err) {
			return f.name
		}
	}
	return "other"
}

// silenceReportInterval is the time between two reports while an attempt sends no data.
const silenceReportInterval = 500 * time.Millisecond

// silenceWatch reports an attempt that sends no data for longer than its idle timeout. The reducer
// decides whether to abort it, since it knows whether another attempt can follow. None can after an
// event without an id.
type silenceWatch struct {
	*attempt
	ctx context.Context
}

func (w *silenceWatch) run() error {
	sub := w.Clock.At(w.idleDeadline())
	defer sub.Close()
	for {
		select {
		case now := <-sub.C():
			if w.answerEnded.Load() {
				return nil
			}
			if deadline := w.idleDeadline(); deadline > now {
				sub.Reset(deadline)
				continue
			}
			if !w.unplaced.Load() {
				w.Loop.Post(event.AttemptSilent{Attempt: w.id, Since: ident.Time(w.lastByteAt.Load()), AnswerBegan: w.hasBytes.Load()})
			}
			sub.Reset(now.Add(silenceReportInterval))
		case <-w.ctx.Done():
			return nil
		}
	}
}

// progressedSince reports whether a piece of the answer has arrived since the silence was reported.
func (a *attempt) progressedSince(s event.Silence) bool {
	return s.Since > 0 && ident.Time(a.lastByteAt.Load()) > s.Since
}

// idleDeadline returns when the idle timeout expires.
func (w *silenceWatch) idleDeadline() ident.Time {
	timeout := w.idleTimeouts.First
	if w.hasBytes.Load() {
		timeout = w.idleTimeouts.Gap
	}
	if timeout == 0 {
		return w.deadline
	}
	return ident.Time(w.lastByteAt.Load()).Add(timeout)
}

// recordGap reports the average time for which the id of a stream increases by one, once every gapEvents
// events. The lengths of answers are counted in ids too.
func (a *attempt) recordGap(id ident.Tokens) {
	now := a.Clock.Now()
	if a.gapStart == 0 {
		a.gapStart, a.gapID = now, id
		return
	}
	a.gapCount++
	if a.gapCount < gapEvents {
		return
	}
	if steps := id - a.gapID; steps > 0 {
		a.Loop.Post(event.StreamPaced{Attempt: a.id, Gap: now.Sub(a.gapStart) / time.Duration(steps)})
	}
	a.gapCount, a.gapStart, a.gapID = 0, now, id
}

// recordProgress records the arrival of data and reports the first byte of the answer once.
func (a *attempt) recordProgress() {
	a.lastByteAt.Store(int64(a.Clock.Now()))
	a.hasBytes.Store(true)
	if a.firstByteReported {
		return
	}
	a.firstByteReported = true
	a.Loop.Post(event.FirstToken{Attempt: a.id, Build: a.build})
}
