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
	errCrossed = errors.New("serve: the answer belongs to another request")
	errShort   = errors.New("serve: the answer is not whole")
	errGone    = errors.New("serve: the caller has gone")
)

// send runs an attempt at a target.
func (t *try) send(ctx context.Context, d event.Dispatch) event.AttemptEnded {
	ctx, span := t.Trace.Hop(ctx, "target")
	defer span.End()
	span.Set("target", string(d.Target.ID))
	send := t.Send
	if send == nil {
		send = t.Targets.Send
	}
	res, err := send(ctx, t.order(d), t.markSent)
	if err != nil && !t.sent {
		return event.AttemptEnded{Result: event.ResultNotRun}
	}
	if err != nil {
		t.Log.V(1).Info("attempt broke", "attempt", d.Attempt, "target", d.Target.ID, "error", err)
		return event.AttemptEnded{Result: event.ResultBroken, Resumable: t.resumable(), Delivered: t.upto}
	}
	defer res.Body.Close()
	end := t.receive(res, d)
	span.Set("result", string(end.Result))
	span.SetInt("status", end.Status)
	return end
}

// markSent says once that bytes may have left. The transport may call it again
// when it takes another connection.
func (t *try) markSent() {
	if t.sent {
		return
	}
	t.sent = true
	t.Loop.Post(event.AttemptSent{Attempt: t.id})
}

func (t *try) order(d event.Dispatch) target.Order {
	body := t.call.Body
	if t.call.Engine {
		body = withModel(body, d.Serve.Model)
	}
	return target.Order{
		Target: d.Target, Attempt: d.Attempt, Request: t.call.Answer, Serve: d.Serve,
		Method: t.call.Method, Path: t.call.Path, Header: t.call.Header, Body: body,
		Priority: d.Priority, Resume: max(d.Resume, t.upto), Left: t.left(d.Deadline), Once: d.Once,
		CopyFrom: d.CopyFrom.URL,
	}
}

// receive reads the answer of a target and judges it.
func (t *try) receive(res *http.Response, d event.Dispatch) event.AttemptEnded {
	end := event.AttemptEnded{Status: res.StatusCode, RetryAfter: retryAfter(res.Header), Delivered: t.upto}
	if said := res.Header.Get(target.HeaderNotRun); said != "" {
		end.Result = event.ResultNotRun
		end.Draining = said == target.NotRunDraining
		return end
	}
	if err := t.checkEcho(res, d.Attempt); err != nil {
		return t.broken(end, err)
	}
	if t.call.Engine && failed(res.StatusCode) {
		end.Result = event.ResultFailed
		return end
	}
	if t.begun && !goesOn(res) {
		end.Result, end.Resumable = event.ResultFailed, t.resumable()
		return end
	}
	from := t.upto
	t.begin(res.StatusCode, t.answerHeader(res.Header))
	err := t.copy(res)
	end.Delivered = t.upto
	end.Generated = t.upto - from
	if t.use.Completion > 0 {
		end.Generated = t.use.Completion
	}
	end.Cached = t.use.Details.Cached
	if err != nil {
		return t.broken(end, err)
	}
	end.Result = event.ResultDone
	if t.call.Routed && res.StatusCode >= http.StatusInternalServerError {
		end.Result, end.Held = event.ResultFailed, true
	}
	return end
}

// goesOn reports whether an answer can continue a stream of which the caller has a part. Any
// other answer is whole by itself, and its end would make that part look complete.
func goesOn(res *http.Response) bool {
	return res.StatusCode == http.StatusOK && isEventStream(res.Header)
}

// resumable reports whether another target may go on with a stream.
func (t *try) resumable() bool {
	return t.call.Stream && (t.call.Engine || t.call.Routed && t.call.Resumable)
}

// failed reports whether a status of an engine says that another one may do
// better.
func failed(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// broken ends an attempt whose answer is of no use. Only a stream that merely
// stopped may be resumed: one that skipped or belonged to somebody else says
// nothing true about where it stands.
func (t *try) broken(end event.AttemptEnded, err error) event.AttemptEnded {
	end.Result = event.ResultBroken
	end.Resumable = t.resumable() && errors.Is(err, errShort)
	t.Log.V(1).Info("attempt broke", "attempt", t.id, "error", err)
	return end
}

// checkEcho detects a crossed answer, of a target or proxy that mixes up two connections, by
// the echo of the attempt, before a byte is forwarded.
func (t *try) checkEcho(res *http.Response, a ident.Attempt) error {
	echo := res.Header.Get(target.HeaderAttempt)
	if echo == "" && !t.call.Engine {
		return nil
	}
	if echo != a.String() {
		return errCrossed
	}
	return nil
}

func (t *try) copy(res *http.Response) error {
	switch {
	case !t.streaming:
		return t.copyWhole(res.Body)
	case t.call.Engine:
		return t.copyStream(res.Body)
	case t.call.Routed:
		return t.copyEvents(res.Body)
	}
	return t.copyRaw(res.Body)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyWhole reads an answer that is given on only when it is whole.
func (t *try) copyWhole(body io.Reader) error {
	buf := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			t.first()
			if err := t.hold(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return t.checkWhole()
		}
		if err != nil {
			return errors.Wrap(errShort, err.Error())
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

// checkWhole guards against a short or crossed answer of an engine that closed
// the connection properly all the same.
func (t *try) checkWhole() error {
	if !t.call.Engine || t.held.Status != http.StatusOK {
		return nil
	}
	var head struct {
		ID    ident.RequestID `json:"id"`
		Usage usage           `json:"usage"`
	}
	if err := json.Unmarshal(t.held.Body, &head); err != nil {
		return errors.Wrap(errShort, err.Error())
	}
	if head.ID != t.call.Answer {
		return errCrossed
	}
	t.use = head.Usage
	return nil
}

// copyStream passes events on until the end mark, which is held back until
// the reducer has taken note of the end.
func (t *try) copyStream(body io.Reader) error {
	s := &sse{
		br:  bufio.NewReaderSize(body, streamBuffer),
		own: []byte(`"` + string(t.call.Answer) + `"`), upto: t.upto, resumed: t.upto > 0,
	}
	for {
		b, err := s.next()
		if len(b) > 0 {
			t.first()
			if err := t.data(b, s.upto); err != nil {
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
func (t *try) copyRaw(body io.Reader) error {
	buf := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			t.first()
			if err := t.data(buf[:n], 0); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(errShort, err.Error())
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

// passedHeaders are the headers of an answer that go on to the caller.
var passedHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Type",
	"Etag", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

func (t *try) answerHeader(h http.Header) http.Header {
	if t.call.Routed {
		return h
	}
	out := make(http.Header, len(passedHeaders))
	for _, k := range passedHeaders {
		if vs := h.Values(k); len(vs) > 0 {
			out[k] = vs
		}
	}
	return out
}
