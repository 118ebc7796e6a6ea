package serve

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Faults in an answer.
var (
	errWrongRequest = errors.New("serve: answer belongs to another request")
	errTruncated    = errors.New("serve: answer is incomplete")
	errCallerGone   = errors.New("serve: caller has disconnected")
)

// send runs an attempt at a target.
func (a *attempt) send(ctx context.Context, d event.Dispatch) event.AttemptEnded {
	ctx, span := a.Trace.Hop(ctx, "target")
	defer span.End()
	span.Set("target", string(d.Target.ID))
	send := a.Send
	if send == nil {
		send = a.Targets.Send
	}
	res, err := send(ctx, a.newAttemptRequest(d), a.markSent)
	if err != nil && !a.sent {
		return event.AttemptEnded{Result: event.ResultNotRun}
	}
	if err != nil {
		a.Log.V(1).Info("attempt broke", "attempt", d.Attempt, "target", d.Target.ID, "error", err)
		end := event.AttemptEnded{Result: event.ResultBroken, Resumable: a.resumable(), Delivered: a.delivered}
		return a.withDisconnect(ctx, end, d.Target, errors.Is(err, target.ErrDisconnected))
	}
	body := &answerBody{ReadCloser: res.Body, unframed: isUnframed(a.call.Method, res)}
	res.Body = body
	defer res.Body.Close()
	end := a.receive(res, d)
	if body.unframed {
		end = a.checkUnframed(ctx, end, d.Target)
	}
	end = a.withDisconnect(ctx, end, d.Target, end.Result == event.ResultBroken && body.disconnected)
	span.Set("result", string(end.Result))
	span.SetInt("status", end.Status)
	return end
}

// checkUnframed decides whether an answer that ended with its connection is complete. The system closes the
// connections of a process that is killed in the same way as a target that has sent all of its answer, so the target
// must show that it lives on. An answer without a body could have stated a length of 0.
func (a *attempt) checkUnframed(ctx context.Context, end event.AttemptEnded, t event.Target) event.AttemptEnded {
	end.Unframed = true
	if end.Result != event.ResultDone && !end.AnswerBuffered {
		return end
	}
	reason := ""
	switch {
	case a.call.Engine && end.Status == http.StatusOK:
		// The id in its JSON, or the end marker, has shown it.
	case end.Status < http.StatusMultipleChoices && !a.hasBytes.Load():
		reason = "it is unframed and empty"
	case !a.targetLives(ctx, t):
		reason = "it is unframed, and its target does not answer for itself"
	}
	if reason != "" {
		end.AnswerBuffered = false
		return a.brokenResult(end, errors.Wrap(errTruncated, reason))
	}
	end.ProvenWhole = true
	return end
}

// targetLives reports whether a target answers a query now. The wait for it does not count as silence of the target.
func (a *attempt) targetLives(ctx context.Context, t event.Target) bool {
	a.answerEnded.Store(true)
	a.lastByteAt.Store(int64(a.Clock.Now()))
	lives := a.Lives
	if lives == nil {
		lives = a.Targets.Lives
	}
	return lives(ctx, t)
}

// withDisconnect adds to the end of an attempt whether the target closed its connection and, if so,
// whether the target has ended.
func (a *attempt) withDisconnect(ctx context.Context, end event.AttemptEnded, t event.Target, disconnected bool) event.AttemptEnded {
	end.Disconnected = disconnected && ctx.Err() == nil
	if !end.Disconnected {
		return end
	}
	ended := a.Ended
	if ended == nil {
		ended = a.Targets.Ended
	}
	end.TargetEnded = ended(ctx, t)
	return end
}

// answerBody is the body of an answer. It records whether the target closed the connection before
// the end of the body, or at its end if it is unframed.
type answerBody struct {
	io.ReadCloser
	unframed, disconnected bool
}

func (b *answerBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	b.disconnected = b.disconnected || err != nil && (b.unframed || !errors.Is(err, io.EOF)) && target.IsDisconnect(err)
	return n, err
}

// isUnframed reports whether the body of an answer has neither a length nor chunks. It ends with its
// connection, whether it is complete or its target has ended.
func isUnframed(method string, res *http.Response) bool {
	hasBody := method != http.MethodHead && res.StatusCode != http.StatusNoContent && res.StatusCode != http.StatusNotModified
	return hasBody && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// markSent reports that bytes of the request may have been sent. Only its first call has an effect:
// the transport calls it again when it uses another connection.
func (a *attempt) markSent() {
	if a.sent {
		return
	}
	a.sent = true
	a.Loop.Post(event.AttemptSent{Attempt: a.id})
}

func (a *attempt) newAttemptRequest(d event.Dispatch) target.AttemptRequest {
	body := a.call.Body
	if a.call.Engine {
		body = withModel(body, d.Serve.Model)
	}
	return target.AttemptRequest{
		Target: d.Target, Attempt: d.Attempt, Request: a.call.AnswerID, Serve: d.Serve,
		Method: a.call.Method, Path: a.call.Path, Header: a.call.Header, Body: body,
		Priority: d.Priority, Resume: max(d.ResumeAfter, a.delivered), Remaining: a.remaining(d.Deadline), AtMostOnce: d.AtMostOnce,
		CopyFrom: d.CopyFrom.URL,
	}
}

// receive reads the answer of a target and determines the result of the attempt.
func (a *attempt) receive(res *http.Response, d event.Dispatch) event.AttemptEnded {
	end := event.AttemptEnded{Status: res.StatusCode, RetryAfter: target.RetryAfter(res.Header), Delivered: a.delivered}
	if reason := res.Header.Get(target.HeaderNotRun); reason != "" {
		end.Result = event.ResultNotRun
		end.Draining = reason == target.NotRunDraining
		return end
	}
	if err := a.checkEcho(res, d.Attempt); err != nil {
		return a.brokenResult(end, err)
	}
	if a.call.Engine && retryableStatus(res.StatusCode) {
		end.Result = event.ResultFailed
		return end
	}
	if a.sinkBegun && !canContinueStream(res) {
		end.Result, end.Resumable = event.ResultFailed, a.resumable()
		return end
	}
	from := a.delivered
	a.setBuild(d.Target.Build)
	a.begin(res.StatusCode, a.filterHeader(res.Header))
	err := a.copy(res)
	end.Delivered = a.delivered
	end.Generated = a.delivered - from
	if a.reportedUsage.Completion > 0 {
		end.Generated = a.reportedUsage.Completion
	}
	end.Cached = a.reportedUsage.Details.Cached
	if err != nil {
		return a.brokenResult(end, err)
	}
	end.Result = event.ResultDone
	if a.call.Routed && res.StatusCode >= http.StatusInternalServerError {
		end.Result, end.AnswerBuffered = event.ResultFailed, true
	}
	return end
}

// canContinueStream reports whether an answer can continue a stream of which the caller already has
// a part. Any other answer is complete by itself, and its end would make that part look complete.
func canContinueStream(res *http.Response) bool {
	return res.StatusCode == http.StatusOK && IsEventStream(res.Header)
}

// resumable reports whether another target may continue the stream.
func (a *attempt) resumable() bool {
	return a.call.Stream && (a.call.Engine || a.call.Routed && a.call.Resumable)
}

// retryableStatus reports whether an engine answered with a status for which another engine may
// succeed.
func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// brokenResult ends an attempt whose answer is unusable. Only a stream that merely stopped may be
// resumed: after a missing event or an event of another request, its position can't be trusted.
func (a *attempt) brokenResult(end event.AttemptEnded, err error) event.AttemptEnded {
	end.Result, end.Fault = event.ResultBroken, faultOf(err)
	end.Resumable = a.resumable() && errors.Is(err, errTruncated)
	a.Log.V(1).Info("attempt broke", "attempt", a.id, "error", err)
	return end
}

// checkEcho compares the attempt id in the answer with the one sent, before a byte is relayed. It
// detects a target or proxy that confuses two connections. Only engines must send the id.
func (a *attempt) checkEcho(res *http.Response, id ident.Attempt) error {
	echo := res.Header.Get(target.HeaderAttempt)
	if echo == "" && !a.call.Engine {
		return nil
	}
	if echo != id.String() {
		return errWrongRequest
	}
	return nil
}

func (a *attempt) copy(res *http.Response) error {
	switch {
	case !a.streaming:
		return a.bufferBody(res.Body)
	case a.call.Engine:
		return a.copyEngineStream(res.Body)
	case a.call.Routed:
		return a.copyRoutedEvents(res.Body)
	}
	return a.copyRaw(res.Body)
}

// IsEventStream reports whether the headers of an answer announce a stream of server-sent events.
func IsEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// bufferBody reads an answer that is given to the caller only once it is complete.
func (a *attempt) bufferBody(body io.Reader) error {
	buf := make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			a.recordProgress()
			if err := a.buffer(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return a.checkEngineAnswer()
		}
		if err != nil {
			return errors.Wrap(errTruncated, err.Error())
		}
	}
}

// usage is the number of tokens that an engine reports for a request.
type usage struct {
	Completion ident.Tokens `json:"completion_tokens"`
	Details    struct {
		Cached ident.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// checkEngineAnswer detects an answer that is incomplete or belongs to another request although the
// HTTP message is complete. It also records the usage that the engine reports.
func (a *attempt) checkEngineAnswer() error {
	if !a.call.Engine || a.buffered.Status != http.StatusOK {
		return nil
	}
	var head struct {
		ID    ident.RequestID `json:"id"`
		Usage usage           `json:"usage"`
	}
	if err := json.Unmarshal(a.buffered.Body, &head); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	if head.ID != a.call.AnswerID {
		return errWrongRequest
	}
	a.reportedUsage = head.Usage
	return nil
}

// copyEngineStream relays the events before the end marker. The marker itself is not relayed: the
// front writes one when the reducer finishes the request.
func (a *attempt) copyEngineStream(body io.Reader) error {
	s := &engineStream{
		br:       bufio.NewReaderSize(body, streamBufferSize),
		quotedID: []byte(`"` + string(a.call.AnswerID) + `"`), lastID: a.delivered, skipOpening: a.delivered > 0,
	}
	for {
		b, err := s.next()
		if len(b) > 0 {
			a.recordProgress()
			if err := a.deliver(b, s.lastID); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyRaw relays a stream of a plain service as it arrives. The stream ends with its message:
// chunked encoding or a content length distinguishes the end from a broken connection.
func (a *attempt) copyRaw(body io.Reader) error {
	buf := make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			a.recordProgress()
			if err := a.deliver(buf[:n], 0); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(errTruncated, err.Error())
		}
	}
}

// relayedHeaders are the headers of an answer that are relayed to the caller.
var relayedHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Type",
	"Etag", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

func (a *attempt) filterHeader(h http.Header) http.Header {
	if a.call.Routed {
		return h
	}
	out := make(http.Header, len(relayedHeaders))
	for _, k := range relayedHeaders {
		if vs := h.Values(k); len(vs) > 0 {
			out[k] = vs
		}
	}
	return out
}
