package serve

import (
	"context"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/trace"
	"verbenadale.example/verbenadale/pkg/ident"
)

// attempt is one attempt that runs beside the request's own goroutine, which can
// therefore break it off when the reducer decides so. The request's answer
// belongs to the attempt from start until t is dead.
type attempt struct {
	*run
	t            tomb.Tomb
	ctx          context.Context
	id           ident.Attempt
	deadline     ident.Time
	resume       ident.Tokens
	atMostOnce   bool
	keepAnswer   bool
	do           func(ctx context.Context) event.AttemptEnded
	idleTimeouts event.IdleTimeouts
	sent         bool
	// lastByteAt is when the last piece of the answer came, at first when the
	// attempt began.
	lastByteAt atomic.Int64
	hasBytes   atomic.Bool
	// firstByteReported says that the first byte of the answer has been reported.
	firstByteReported bool
	reportedUsage     usage
	end               event.AttemptEnded
	// gapCount counts those since pacedAt.
	gapCount int
	gapStart ident.Time
}

// gapEvents is the number of events over which the pace of a stream is averaged.
const gapEvents = 6

// loop runs the attempt to its end, its deadline or until it is killed.
func (t *attempt) loop() error {
	ctx, cancel := context.WithTimeout(t.t.Context(t.ctx), t.remaining(t.deadline))
	defer cancel()
	if t.idleTimeouts != (event.IdleTimeouts{}) {
		w := &silenceWatch{attempt: t, ctx: ctx}
		t.t.Go(w.run)
	}
	end := t.do(ctx)
	end.Attempt = t.id
	t.end = end
	return nil
}

// forward runs an attempt at another entry host.
func (t *attempt) forward(ctx context.Context, f event.Forward) event.AttemptEnded {
	if t.Forward == nil {
		return event.AttemptEnded{Result: event.ResultNotRun}
	}
	ctx, span := t.Trace.Hop(ctx, "entry")
	defer span.End()
	span.Set("entry.to", string(f.To.ID))
	call := t.call
	call.Header = t.call.Header.Clone()
	trace.Inject(ctx, call.Header)
	end := t.Forward(ctx, ForwardedRequest{Forward: f, Request: t.req, Call: call}, t.markSent, Relay{Begin: t.begin, Data: t.receiveRelayed})
	span.Set("result", string(end.Result))
	return end
}

// receiveRelayed takes a piece of the answer that another entry host passes on. That
// host has checked that it goes on where the last piece ended; one that goes
// back would reach the caller twice.
func (t *attempt) receiveRelayed(b []byte, upto ident.Tokens) error {
	if upto < t.delivered {
		return errOutOfSequence
	}
	t.recordProgress()
	return t.deliver(b, upto)
}

// silenceReportInterval is the time between two reports of an attempt that stays silent.
const silenceReportInterval = 500 * time.Millisecond

// silenceWatch reports an attempt that is silent for longer than its idle timeout. To break it off is
// the reducer's decision, which knows whether another attempt can follow.
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
			if due := w.idleDeadline(); due > now {
				sub.Reset(due)
				continue
			}
			w.Loop.Post(event.AttemptSilent{Attempt: w.id, Since: ident.Time(w.lastByteAt.Load()), Begun: w.hasBytes.Load()})
			sub.Reset(now.Add(silenceReportInterval))
		case <-w.ctx.Done():
			return nil
		}
	}
}

// progressedSince reports whether a piece of the answer has come since a silence was reported.
func (t *attempt) progressedSince(s event.Silence) bool {
	return s.Since > 0 && ident.Time(t.lastByteAt.Load()) > s.Since
}

// idleDeadline is when the idle timeout ends.
func (w *silenceWatch) idleDeadline() ident.Time {
	most := w.idleTimeouts.First
	if w.hasBytes.Load() {
		most = w.idleTimeouts.Gap
	}
	if most == 0 {
		return w.deadline
	}
	return ident.Time(w.lastByteAt.Load()).Add(most)
}

// recordGap reports the pace of a stream at intervals.
func (t *attempt) recordGap() {
	now := t.Clock.Now()
	if t.gapStart == 0 {
		t.gapStart = now
		return
	}
	t.gapCount++
	if t.gapCount < gapEvents {
		return
	}
	t.Loop.Post(event.StreamPaced{Attempt: t.id, Gap: now.Sub(t.gapStart) / gapEvents})
	t.gapCount, t.gapStart = 0, now
}

// recordProgress reports once that the answer has begun.
func (t *attempt) recordProgress() {
	t.lastByteAt.Store(int64(t.Clock.Now()))
	t.hasBytes.Store(true)
	if t.firstByteReported {
		return
	}
	t.firstByteReported = true
	t.Loop.Post(event.FirstToken{Attempt: t.id})
}
