package serve

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Faults of an answer.
var (
	errWrongRequest = errors.New("serve: the answer belongs to another request")
	errTruncated    = errors.New("serve: the answer is not whole")
	errCallerGone   = errors.New("serve: the caller has gone")
)

// send runs an attempt at a target.
func (t *attempt) send(ctx context.Context, d event.Dispatch) event.AttemptEnded {
	ctx, span := t.Trace.Hop(ctx, "target")
	defer span.End()
	span.Set("target", string(d.Target.ID))
	send := t.Send
	if send == nil {
		send = t.Targets.Send
	}
	res, err := send(ctx, t.newOrder(d), t.markSent)
	if err != nil && !t.sent {
		return event.AttemptEnded{Result: event.ResultNotRun}
	}
	if err != nil {
		t.Log.V(1).Info("attempt broke", "attempt", d.Attempt, "target", d.Target.ID, "error", err)
		return event.AttemptEnded{Result: event.ResultBroken, Resumable: t.resumable(), Delivered: t.delivered}
	}
	defer res.Body.Close()
	end := t.receive(res, d)
	span.Set("result", string(end.Result))
	span.SetInt("status", end.Status)
	return end
}

// markSent says once that bytes may have left. The transport may call it again
// when it takes another connection.
func (t *attempt) markSent() {
	if t.sent {
		return
	}
	t.sent = true
	t.Loop.Post(event.AttemptSent{Attempt: t.id})
}

func (t *attempt) newOrder(d event.Dispatch) target.Order {
	body := t.call.Body
	if t.call.Engine {
		body = withModel(body, d.Serve.Model)
	}
	return target.Order{
		Target: d.Target, Attempt: d.Attempt, Request: t.call.AnswerID, Serve: d.Serve,
		Method: t.call.Method, Path: t.call.Path, Header: t.call.Header, Body: body,
		Priority: d.Priority, Resume: max(d.Resume, t.delivered), Left: t.remaining(d.Deadline), Once: d.Once,
		CopyFrom: d.CopyFrom.URL,
	}
}

// receive reads the answer of a target and judges it.
func (t *attempt) receive(res *http.Response, d event.Dispatch) event.AttemptEnded {
	end := event.AttemptEnded{Status: res.StatusCode, RetryAfter: retryAfter(res.Header), Delivered: t.delivered}
	if said := res.Header.Get(target.HeaderNotRun); said != "" {
		end.Result = event.ResultNotRun
		end.Draining = said == target.NotRunDraining
		return end
	}
	if err := t.checkEcho(res, d.Attempt); err != nil {
		return t.brokenResult(end, err)
	}
	if t.call.Engine && retryableStatus(res.StatusCode) {
		end.Result = event.ResultFailed
		return end
	}
	if t.sinkBegun && !canContinueStream(res) {
		end.Result, end.Resumable = event.ResultFailed, t.resumable()
		return end
	}
	from := t.delivered
	t.begin(res.StatusCode, t.filterHeader(res.Header))
	err := t.copy(res)
	end.Delivered = t.delivered
	end.Generated = t.delivered - from
	if t.reportedUsage.Completion > 0 {
		end.Generated = t.reportedUsage.Completion
	}
	end.Cached = t.reportedUsage.Details.Cached
	if err != nil {
		return t.brokenResult(end, err)
	}
	end.Result = event.ResultDone
	if t.call.Routed && res.StatusCode >= http.StatusInternalServerError {
		end.Result, end.Held = event.ResultFailed, true
	}
	return end
}

// canContinueStream reports whether an answer can continue a stream of which the caller has a part. Any
// other answer is whole by itself, and its end would make that part look complete.
func canContinueStream(res *http.Response) bool {
	return res.StatusCode == http.StatusOK && isEventStream(res.Header)
}

// resumable reports whether another target may go on with a stream.
func (t *attempt) resumable() bool {
	return t.call.Stream && (t.call.Engine || t.call.Routed && t.call.Resumable)
}

// retryableStatus reports whether a status of an engine says that another one may do
// better.
func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// brokenResult ends an attempt whose answer is of no use. Only a stream that merely
// stopped may be resumed: one that skipped or belonged to somebody else says
// nothing true about where it stands.
func (t *attempt) brokenResult(end event.AttemptEnded, err error) event.AttemptEnded {
	end.Result = event.ResultBroken
	end.Resumable = t.resumable() && errors.Is(err, errTruncated)
	t.Log.V(1).Info("attempt broke", "attempt", t.id, "error", err)
	return end
}

// checkEcho detects a crossed answer, of a target or proxy that mixes up two connections, by
// the echo of the attempt, before a byte is forwarded.
func (t *attempt) checkEcho(res *http.Response, a ident.Attempt) error {
	echo := res.Header.Get(target.HeaderAttempt)
	if echo == "" && !t.call.Engine {
		return nil
	}
	if echo != a.String() {
		return errWrongRequest
	}
	return nil
}

func (t *attempt) copy(res *http.Response) error {
	switch {
	case !t.streaming:
		return t.bufferBody(res.Body)
	case t.call.Engine:
		return t.copyEngineStream(res.Body)
	case t.call.Routed:
		return t.copyRoutedEvents(res.Body)
	}
	return t.copyRaw(res.Body)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// bufferBody reads an answer that is given on only when it is whole.
func (t *attempt) bufferBody(body io.Reader) error {
	buf := make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			t.recordProgress()
			if err := t.buffer(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return t.checkEngineAnswer()
		}
		if err != nil {
			return errors.Wrap(errTruncated, err.Error())
		}
	}
}

// usage is what an engine says of the tokens of a request.
type usage struct {
	Completion ident.Tokens `json:"completion_tokens"`
	Details    struct {
		Cached ident.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// checkEngineAnswer guards against a short or crossed answer of an engine that closed
// the connection properly all the same.
func (t *attempt) checkEngineAnswer() error {
	if !t.call.Engine || t.buffered.Status != http.StatusOK {
		return nil
	}
	var head struct {
		ID    ident.RequestID `json:"id"`
		Usage usage           `json:"usage"`
	}
	if err := json.Unmarshal(t.buffered.Body, &head); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	if head.ID != t.call.AnswerID {
		return errWrongRequest
	}
	t.reportedUsage = head.Usage
	return nil
}

// copyEngineStream passes events on until the end mark, which is held back until
// the reducer has taken note of the end.
func (t *attempt) copyEngineStream(body io.Reader) error {
	s := &engineStream{
		br:       bufio.NewReaderSize(body, streamBufferSize),
		quotedID: []byte(`"` + string(t.call.AnswerID) + `"`), lastID: t.delivered, skipOpening: t.delivered > 0,
	}
	for {
		b, err := s.next()
		if len(b) > 0 {
			t.recordProgress()
			if err := t.deliver(b, s.lastID); err != nil {
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

// copyRaw passes a stream of a plain service on as it comes. Its end is that
// of the message, which chunked encoding or a length distinguishes from a broken
// connection.
func (t *attempt) copyRaw(body io.Reader) error {
	buf := make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			t.recordProgress()
			if err := t.deliver(buf[:n], 0); err != nil {
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

// retryAfter reads a wait in seconds. A wait that a duration can't hold is
// none.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 || n > math.MaxInt32 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// forwardedHeaders are the headers of an answer that go on to the caller.
var forwardedHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Type",
	"Etag", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

func (t *attempt) filterHeader(h http.Header) http.Header {
	if t.call.Routed {
		return h
	}
	out := make(http.Header, len(forwardedHeaders))
	for _, k := range forwardedHeaders {
		if vs := h.Values(k); len(vs) > 0 {
			out[k] = vs
		}
	}
	return out
}
