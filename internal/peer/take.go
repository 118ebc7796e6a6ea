package peer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// take is one request that a peer passes on to this host.
type take struct {
	m    *Mesh
	s    *session
	part *part
	open *wire.Open

	cancel context.CancelFunc
	// watch reads the stream, nil before it does. gone says that the peer no
	// longer wants the answer.
	watch *watch
	gone  atomic.Bool
	// asked says that the body was asked for: the request may be at a target from then on.
	asked atomic.Bool

	ended bool
	bytes uint64
}

// run reads the head of the request and has it run. The body stays unread
// until the reducer has let the request in.
func (k *take) run() error {
	defer k.m.taken.Add(-1)
	defer k.s.streams.Add(-1)
	defer k.s.inbound.Add(-1)
	defer k.part.st.Close()
	k.part.readWithin(k.m.cfg.Times.Hello)
	msg, err := k.part.read()
	if err != nil || msg.GetOpen() == nil {
		k.m.cnt.rejected.Inc(1)
		return nil
	}
	k.open = msg.GetOpen()
	if !k.honest() {
		k.m.cnt.rejected.Inc(1)
		k.end(event.AttemptEnded{Result: event.ResultNotRun, Code: codes.ForgedEnvelope.ID})
		k.linger()
		return nil
	}
	k.serve()
	k.linger()
	return nil
}

// honest reports whether the attempt is the peer's own. "Run or bar" goes by
// the attempt, so that one under another host's name could bar that one's.
func (k *take) honest() bool {
	a := k.open.GetEnvelope().ToEvent(k.s.host).Attempt
	return a.Entry == k.s.host.ID && a.Incarnation == k.s.host.Incarnation && a.Number > 0
}

func (k *take) serve() {
	ctx, cancel := context.WithCancel(k.m.t.Context(context.Background()))
	defer cancel()
	k.cancel = cancel
	if !k.startWatch() {
		return
	}
	stop := context.AfterFunc(ctx, k.part.expire)
	k.m.serve(ctx, k.call(), k.request(), serve.Sink{
		Begin: k.begin, Data: k.data, Finish: k.finish, Refuse: k.refuse,
	})
	stop()
}

// linger waits until the peer has closed the stream. It does so once it has
// the end frame, which is thus known to have arrived before a host that
// drains goes on to stop.
func (k *take) linger() {
	if !k.ended {
		return
	}
	k.part.readWithin(k.m.cfg.Times.Hello)
	if k.watch != nil {
		<-k.watch.done
		return
	}
	k.drain()
}

// drain reads until the peer closes the stream.
func (k *take) drain() {
	for {
		if _, err := k.part.read(); err != nil {
			return
		}
	}
}

// newID returns an id for the request at this host. It differs from that of the sender, since a
// request may come back to a host that has it already.
func newID() ident.RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return ident.RequestID("fwd-" + hex.EncodeToString(b[:]))
}

func (k *take) request() event.Request {
	o := k.open
	return event.Request{
		ID: newID(), Account: ident.Account(o.GetAccount()), Profile: ident.Profile(o.GetProfile()),
		Prompt: ident.Tokens(max(o.GetPrompt(), 0)), MaxTokens: ident.Tokens(max(o.GetMaxTokens(), 0)),
		Deadline: k.m.cfg.Clock.Now().Add(o.Left()), Stream: o.GetStream(), Service: o.GetService(),
		Envelope: value.Some(o.GetEnvelope().ToEvent(k.s.host)),
	}
}

func (k *take) call() serve.Call {
	o := k.open
	return serve.Call{
		Method: o.GetMethod(), Path: o.GetPath(), Header: wire.ToHeader(o.GetHeader()),
		ReadBody: k.readBody, AnswerID: ident.RequestID(o.GetRequest()), Resume: ident.Tokens(max(o.GetResume(), 0)),
		Stream: o.GetStream(), Engine: o.GetEngine(), Routed: o.GetRouted(), Resumable: o.GetResumable(),
		Ending: k.ending,
	}
}

// ending returns why the answer is no longer wanted.
func (k *take) ending() event.Ending {
	select {
	case <-k.m.t.Dying():
		return event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}
	case <-k.s.mux.CloseChan():
		return event.Ending{Side: event.SidePeer, Reason: event.ReasonFailed}
	default:
		return event.Ending{Side: event.SidePeer, Reason: event.ReasonClosed}
	}
}

// readBody asks for the body and waits for it, within bounds of time and length. It fails if
// the peer has gone, also after the whole body has come: nothing has reached a target yet.
func (k *take) readBody() ([]byte, error) {
	k.asked.Store(true)
	if err := k.part.write(&wire.Part{Body: &wire.Part_GoOn{GoOn: &wire.GoOn{}}}); err != nil {
		return nil, errors.Wrap(ErrLink, err.Error())
	}
	late := k.m.cfg.Clock.At(k.m.cfg.Clock.Now().Add(k.m.cfg.Times.Body))
	defer late.Close()
	select {
	case <-k.watch.whole:
	case <-k.watch.done:
	case <-late.C():
		return nil, errors.Wrap(ErrLink, "the body does not come")
	}
	if k.gone.Load() {
		return nil, errors.Wrap(ErrLink, "the peer has left")
	}
	return k.watch.body, nil
}

// startWatch has the stream read from now on.
func (k *take) startWatch() bool {
	k.part.readWithin(watchTime)
	k.watch = &watch{k: k, whole: make(chan struct{}), done: make(chan struct{})}
	if !k.m.start(k.watch.run) {
		k.watch = nil
		return false
	}
	return true
}

// watchTime is longer than any request may run.
const watchTime = 24 * time.Hour

// watch reads what the peer sends: the body, and then the end of the stream,
// which says that the answer is no longer wanted.
//
// It reads from the first moment on. A request may wait here for a place with
// its body unasked, and its caller leave meanwhile: were the end of the stream
// seen only after the body, the request would go to a target for nobody.
type watch struct {
	k *take
	// whole is closed when the body has come, done when the stream has ended.
	whole, done chan struct{}
	body        []byte
	err         error
}

func (w *watch) run() error {
	defer close(w.done)
	if w.err = w.read(); w.err == nil {
		close(w.whole)
		w.k.drain()
	}
	w.k.gone.Store(true)
	// A request that is not idempotent and may be at a target runs to its end, so that its
	// outcome is known.
	if !w.k.open.GetOnce() || !w.k.asked.Load() || w.err != nil {
		w.k.cancel()
	}
	return nil
}

// read reads the body.
func (w *watch) read() error {
	for {
		msg, err := w.k.part.read()
		if err != nil {
			return errors.Wrap(ErrLink, err.Error())
		}
		p := msg.GetPiece()
		if p == nil {
			return errors.Wrap(ErrRefused, "no piece of a body")
		}
		if ident.Bytes(len(w.body)+len(p.GetBody())) > w.k.m.cfg.Bounds.Body {
			return errors.Wrap(ErrFull, "bytes of a body")
		}
		w.body = append(w.body, p.GetBody()...)
		if p.GetLast() {
			return nil
		}
	}
}

func (k *take) begin(status int, h http.Header) {
	_ = k.say(&wire.Part{Body: &wire.Part_Begin{Begin: &wire.Begin{
		Status: uint32(status), Header: wire.FromHeader(h),
	}}})
}

func (k *take) data(b []byte, upto ident.Tokens) error {
	for _, p := range pieces(b) {
		k.bytes += uint64(len(p))
		msg := &wire.Part{Body: &wire.Part_Data{Data: &wire.Data{Body: p, Upto: int64(upto)}}}
		if err := k.say(msg); err != nil {
			return err
		}
	}
	return nil
}

// say sends a part of the answer. A call that may not be repeated goes on
// when nobody takes its answer any longer: breaking it off would leave
// unknown whether it ran.
func (k *take) say(msg *wire.Part) error {
	if k.gone.Load() && k.open.GetOnce() {
		return nil
	}
	err := k.part.write(msg)
	if err != nil && k.open.GetOnce() {
		k.gone.Store(true)
		return nil
	}
	return err
}

func (k *take) finish(outcome event.Outcome) {
	end := event.AttemptEnded{Result: event.ResultBroken}
	if outcome == event.Done {
		end.Result = event.ResultDone
	}
	k.end(end)
}

// refuse passes a refusal on. One that says that the request ran, though its
// answer is gone, ends the attempt as a failure and never as an answer.
func (k *take) refuse(r event.Refuse) {
	c, _ := codes.Find(r.Code)
	end := event.AttemptEnded{Code: r.Code, Status: c.Status, RetryAfter: r.RetryAfter}
	switch r.Outcome {
	case event.NotRun:
		end.Result = event.ResultNotRun
		end.Draining = r.Code == codes.Draining.ID
	case event.Done:
		end.Result = event.ResultFailed
	default:
		end.Result = event.ResultBroken
		end.Resumable = k.open.GetStream()
	}
	k.end(end)
}

func (k *take) end(end event.AttemptEnded) {
	if k.ended {
		return
	}
	k.ended = true
	_ = k.say(&wire.Part{Body: &wire.Part_End{End: wire.FromEnd(end, k.bytes)}})
}
