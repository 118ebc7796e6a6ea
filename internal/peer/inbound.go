package peer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
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

// inboundRequest is one request that a peer has forwarded to this host.
type inboundRequest struct {
	m       *Mesh
	session *session
	stream  *requestStream
	open    *wire.Open

	cancel context.CancelFunc
	// reader reads the stream after the head of the request, nil before. peerGone is set when
	// the peer no longer wants the answer.
	reader   *streamReader
	peerGone atomic.Bool
	// bodyRequested is set once the body was requested: from then on the request may be at a
	// target.
	bodyRequested atomic.Bool

	// build is that of the target that answers.
	build     ident.Build
	endSent   bool
	sentBytes uint64
}

// run reads the head of the request and serves it. The body is not requested until the reducer
// has admitted the request.
func (k *inboundRequest) run() error {
	defer k.m.inboundRequests.Add(-1)
	defer k.session.streams.Add(-1)
	defer k.session.inboundStreams.Add(-1)
	defer k.stream.raw.Close()
	k.stream.setReadTimeout(k.m.cfg.Timing.HelloTimeout)
	msg, err := k.stream.read()
	if err != nil || msg.GetOpen() == nil {
		k.m.counters.rejected.Inc(1)
		return nil
	}
	k.open = msg.GetOpen()
	if !k.ownsAttempt() {
		k.m.counters.rejected.Inc(1)
		k.sendEnd(event.AttemptEnded{Result: event.ResultNotRun, Code: codes.ForgedEnvelope.ID})
		k.awaitClose()
		return nil
	}
	k.serve()
	if k.reader != nil {
		k.reader.release()
	}
	k.awaitClose()
	return nil
}

// ownsAttempt reports whether the attempt is the peer's own. "Run or bar" identifies requests
// by attempt, so an attempt under another host's name could bar that host's request.
func (k *inboundRequest) ownsAttempt() bool {
	a := k.open.GetEnvelope().ToEvent(k.session.host).Attempt
	return a.Entry == k.session.host.ID && a.Incarnation == k.session.host.Incarnation && a.Number > 0
}

func (k *inboundRequest) serve() {
	ctx, cancel := context.WithCancel(k.m.tasks.Context(context.Background()))
	defer cancel()
	k.cancel = cancel
	if !k.startReader() {
		return
	}
	stop := context.AfterFunc(ctx, k.stream.cancelIO)
	k.m.serve(ctx, k.newCall(), k.newRequest(), serve.Sink{
		Build: k.setBuild, Begin: k.sendBegin, Data: k.sendData, Finish: k.sendFinish, Refuse: k.sendRefusal,
	})
	stop()
}

// awaitClose waits until the peer closes the stream. The peer closes it after it has received
// the end frame, so a draining host knows that the frame has arrived before it stops.
func (k *inboundRequest) awaitClose() {
	if !k.endSent {
		return
	}
	k.stream.setReadTimeout(k.m.cfg.Timing.HelloTimeout)
	if k.reader != nil {
		<-k.reader.done
		return
	}
	k.discardInput()
}

// discardInput reads until the peer closes the stream.
func (k *inboundRequest) discardInput() {
	for {
		if _, err := k.stream.read(); err != nil {
			return
		}
	}
}

// newRequestID returns an ID for the request on this host. It differs from the sender's ID,
// since a request may return to a host that already has it.
func newRequestID() ident.RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return ident.RequestID("fwd-" + hex.EncodeToString(b[:]))
}

func (k *inboundRequest) newRequest() event.Request {
	o := k.open
	return event.Request{
		ID: newRequestID(), Account: ident.Account(o.GetAccount()), Profile: ident.Profile(o.GetProfile()),
		Prompt: ident.Tokens(max(o.GetPrompt(), 0)), MaxTokens: ident.Tokens(max(o.GetMaxTokens(), 0)),
		Deadline: k.m.cfg.Clock.Now().Add(o.TimeLeft()), Stream: o.GetStream(), Service: o.GetService(), Content: ident.Content(o.GetContent()),
		EndedRuns: o.RunsToEvent(), Origin: ident.Stream(o.GetOrigin()), TakenUp: o.GetTakenUp(), Build: ident.Build(o.GetBuild()),
		Envelope: value.Some(o.GetEnvelope().ToEvent(k.session.host)),
	}
}

func (k *inboundRequest) newCall() serve.Call {
	o := k.open
	return serve.Call{
		Method: o.GetMethod(), Path: o.GetPath(), Header: wire.ToHeader(o.GetHeader()),
		ReadBody: k.readBody, AnswerID: ident.RequestID(o.GetRequest()), Resume: ident.Tokens(max(o.GetResume(), 0)),
		Stream: o.GetStream(), Engine: o.GetEngine(), Routed: o.GetRouted(), Resumable: o.GetResumable(),
		Ending: k.ending,
	}
}

// ending returns why the answer is no longer wanted.
func (k *inboundRequest) ending() event.Ending {
	select {
	case <-k.m.tasks.Dying():
		return event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}
	case <-k.session.mux.CloseChan():
		return event.Ending{Side: event.SidePeer, Reason: event.ReasonFailed}
	default:
		return event.Ending{Side: event.SidePeer, Reason: event.ReasonClosed}
	}
}

// readBody requests the body and waits for it, bounded in time and length. It fails if the peer
// has closed the stream, even after the whole body was received: nothing has reached a target
// yet.
func (k *inboundRequest) readBody() ([]byte, error) {
	k.bodyRequested.Store(true)
	if err := k.stream.write(&wire.Part{Body: &wire.Part_GoOn{GoOn: &wire.GoOn{}}}); err != nil {
		return nil, errors.Wrap(ErrLink, err.Error())
	}
	timeout := k.m.cfg.Clock.At(k.m.cfg.Clock.Now().Add(k.m.cfg.Timing.BodyTimeout))
	defer timeout.Close()
	select {
	case <-k.reader.bodyComplete:
	case <-k.reader.done:
	case <-timeout.C():
		return nil, errors.Wrap(ErrLink, "request body not received in time")
	}
	if k.peerGone.Load() {
		return nil, errors.Wrap(ErrLink, "peer closed the stream")
	}
	return k.reader.body, nil
}

// startReader starts the reader of the stream.
func (k *inboundRequest) startReader() bool {
	k.stream.setReadTimeout(maxStreamTime)
	k.reader = &streamReader{request: k, bodyComplete: make(chan struct{}), done: make(chan struct{})}
	if !k.m.spawn(k.reader.run) {
		k.reader = nil
		return false
	}
	return true
}

// maxStreamTime is longer than any request may run.
const maxStreamTime = 24 * time.Hour

// streamReader reads what the peer sends after the head: the body, then the end of the stream,
// which signals that the answer is no longer wanted.
//
// It runs from the start, not only after readBody. The request may be queued here before its
// body is requested, and its caller may disconnect meanwhile. If the end of the stream were
// noticed only after the body, the request would be sent to a target although nobody wants the
// answer.
type streamReader struct {
	request *inboundRequest
	// bodyComplete is closed when the whole body was received, done when the stream has ended.
	bodyComplete, done chan struct{}
	body               []byte
	err                error

	mu sync.Mutex
	// reserved is the share of the body in the budget, released is set once the request has ended.
	reserved int
	released bool
}

// reserve reserves memory for a piece of the body and reports whether it was available and is still needed.
func (w *streamReader) reserve(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.released || !w.request.m.cfg.Budget.ReserveBody(n) {
		return false
	}
	w.reserved += n
	return true
}

// release returns the memory of the body.
func (w *streamReader) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.request.m.cfg.Budget.Release(w.reserved)
	w.reserved, w.released = 0, true
}

func (w *streamReader) run() error {
	defer close(w.done)
	if w.err = w.read(); w.err == nil {
		close(w.bodyComplete)
		w.request.discardInput()
	}
	w.request.peerGone.Store(true)
	// A request that is not idempotent and may be at a target runs to its end, so that its
	// outcome is known.
	if !w.request.open.GetOnce() || !w.request.bodyRequested.Load() || w.err != nil {
		w.request.cancel()
	}
	return nil
}

// read reads the body.
func (w *streamReader) read() error {
	for {
		msg, err := w.request.stream.read()
		if err != nil {
			return errors.Wrap(ErrLink, err.Error())
		}
		p := msg.GetPiece()
		if p == nil {
			return errors.Wrap(ErrRefused, "expected a piece of the request body")
		}
		if ident.Bytes(len(w.body)+len(p.GetBody())) > w.request.m.cfg.Bounds.MaxBodyBytes {
			return errors.Wrap(ErrFull, "request body too large")
		}
		if !w.reserve(len(p.GetBody())) {
			return errors.Wrap(ErrFull, "no memory for the request body")
		}
		w.body = append(w.body, p.GetBody()...)
		if p.GetLast() {
			return nil
		}
	}
}

func (k *inboundRequest) setBuild(b ident.Build) { k.build = b }

func (k *inboundRequest) sendBegin(status int, h http.Header) {
	_ = k.send(&wire.Part{Body: &wire.Part_Begin{Begin: &wire.Begin{
		Status: uint32(status), Header: wire.FromHeader(h), Build: string(k.build),
	}}})
}

func (k *inboundRequest) sendData(b []byte, upto ident.Tokens) error {
	ps := splitPieces(b)
	for n, p := range ps {
		k.sentBytes += uint64(len(p))
		msg := &wire.Part{Body: &wire.Part_Data{Data: &wire.Data{Body: p, Upto: int64(upto), Partial: n < len(ps)-1}}}
		if err := k.send(msg); err != nil {
			return err
		}
	}
	return nil
}

// send sends a part of the answer. An at-most-once call continues after its answer is no longer
// wanted, since aborting it would leave unknown whether it ran.
func (k *inboundRequest) send(msg *wire.Part) error {
	if k.peerGone.Load() && k.open.GetOnce() {
		return nil
	}
	err := k.stream.write(msg)
	if err != nil && k.open.GetOnce() {
		k.peerGone.Store(true)
		return nil
	}
	return err
}

func (k *inboundRequest) sendFinish(outcome event.Outcome) {
	end := event.AttemptEnded{Result: event.ResultBroken}
	if outcome == event.Done {
		end.Result = event.ResultDone
	}
	k.sendEnd(end)
}

// sendRefusal sends a refusal as the end of the request. If the refusal states that the request
// ran and its answer is lost, the attempt ends as failed, never as answered.
func (k *inboundRequest) sendRefusal(r event.Refuse) {
	c, _ := codes.Find(r.Code)
	end := event.AttemptEnded{Code: r.Code, Status: c.Status, RetryAfter: r.RetryAfter, EndedRuns: r.EndedRuns}
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
	k.sendEnd(end)
}

func (k *inboundRequest) sendEnd(end event.AttemptEnded) {
	if k.endSent {
		return
	}
	k.endSent = true
	_ = k.send(&wire.Part{Body: &wire.Part_End{End: wire.FromEnd(end, k.sentBytes)}})
}
