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

// try is one attempt that runs beside the request's own goroutine, which can
// therefore break it off when the reducer decides so. The request's answer
// belongs to the attempt from start until t is dead.
type try struct {
	*run
	t        tomb.Tomb
	ctx      context.Context
	id       ident.Attempt
	deadline ident.Time
	resume   ident.Tokens
	once     bool
	keep     bool
	do       func(ctx context.Context) event.AttemptEnded
	idle     event.IdleTimeouts
	sent     bool
	// lastByte is when the last piece of the answer came, at first when the
	// attempt began.
	lastByte atomic.Int64
	begins   atomic.Bool
	// answered says that the first byte of the answer has been reported.
	answered bool
	use      usage
	end      event.AttemptEnded
	// events counts those since pacedAt.
	events  int
	pacedAt ident.Time
}

// paceEvents is the number of events over which the pace of a stream is averaged.
const paceEvents = 6

// loop runs the attempt to its end, its deadline or until it is killed.
func (t *try) loop() error {
	ctx, cancel := context.WithTimeout(t.t.Context(t.ctx), t.left(t.deadline))
	defer cancel()
	if t.idle != (event.IdleTimeouts{}) {
		w := &watch{try: t, ctx: ctx}
		t.t.Go(w.run)
	}
	end := t.do(ctx)
	end.Attempt = t.id
	t.end = end
	return nil
}

// forward runs an attempt at another entry host.
func (t *try) forward(ctx context.Context, f event.Forward) event.AttemptEnded {
	if t.Forward == nil {
		return event.AttemptEnded{Result: event.ResultNotRun}
	}
	ctx, span := t.Trace.Hop(ctx, "entry")
	defer span.End()
	span.Set("entry.to", string(f.To.ID))
	call := t.call
	call.Header = t.call.Header.Clone()
	trace.Inject(ctx, call.Header)
	end := t.Forward(ctx, Passed{Forward: f, Request: t.req, Call: call}, t.markSent, Relay{Begin: t.begin, Data: t.relayed})
	span.Set("result", string(end.Result))
	return end
}

// relayed takes a piece of the answer that another entry host passes on. That
// host has checked that it goes on where the last piece ended; one that goes
// back would reach the caller twice.
func (t *try) relayed(b []byte, upto ident.Tokens) error {
	if upto < t.upto {
		return errGap
	}
	t.first()
	return t.data(b, upto)
}

// silentAgain is the time between two reports of an attempt that stays silent.
const silentAgain = 500 * time.Millisecond

// watch reports an attempt that is silent for longer than its idle timeout. To break it off is
// the reducer's decision, which knows whether another attempt can follow.
type watch struct {
	*try
	ctx context.Context
}

func (w *watch) run() error {
	sub := w.Clock.At(w.due())
	defer sub.Close()
	for {
		select {
		case now := <-sub.C():
			if due := w.due(); due > now {
				sub.Reset(due)
				continue
			}
			w.Loop.Post(event.AttemptSilent{Attempt: w.id, Since: ident.Time(w.lastByte.Load()), Begun: w.begins.Load()})
			sub.Reset(now.Add(silentAgain))
		case <-w.ctx.Done():
			return nil
		}
	}
}

// progressed reports whether a piece of the answer has come since a silence was reported.
func (t *try) progressed(s event.Silence) bool {
	return s.Since > 0 && ident.Time(t.lastByte.Load()) > s.Since
}

// due is when the idle timeout ends.
func (w *watch) due() ident.Time {
	most := w.idle.First
	if w.begins.Load() {
		most = w.idle.Gap
	}
	if most == 0 {
		return w.deadline
	}
	return ident.Time(w.lastByte.Load()).Add(most)
}

// paced reports the pace of a stream at intervals.
func (t *try) paced() {
	now := t.Clock.Now()
	if t.pacedAt == 0 {
		t.pacedAt = now
		return
	}
	t.events++
	if t.events < paceEvents {
		return
	}
	t.Loop.Post(event.StreamPaced{Attempt: t.id, Gap: now.Sub(t.pacedAt) / paceEvents})
	t.events, t.pacedAt = 0, now
}

// first reports once that the answer has begun.
func (t *try) first() {
	t.lastByte.Store(int64(t.Clock.Now()))
	t.begins.Store(true)
	if t.answered {
		return
	}
	t.answered = true
	t.Loop.Post(event.FirstToken{Attempt: t.id})
}
