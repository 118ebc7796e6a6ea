package serve

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
)

// errCrossed says that the answer belongs to another attempt.
var errCrossed = errors.New("serve: the answer belongs to another request")

// errShort says that the answer ended before its end mark.
var errShort = errors.New("serve: the answer is not whole")

// send runs an attempt at a target.
func (r *run) send(ctx context.Context, d event.Dispatch, sent func()) event.AttemptEnded {
	begun := false
	res, err := r.Targets.Send(ctx, r.order(d), func() {
		begun = true
		sent()
	})
	if err != nil && !begun {
		return event.AttemptEnded{Result: event.ResultNotRun}
	}
	if err != nil {
		return event.AttemptEnded{Result: event.ResultBroken, Resumable: r.call.Stream}
	}
	defer res.Body.Close()
	return r.receive(res, d)
}

func (r *run) order(d event.Dispatch) target.Order {
	return target.Order{
		Target: d.Target, Attempt: d.Attempt, Request: r.call.Answer,
		Method: r.call.Method, Path: r.call.Path, Header: r.call.Header, Body: r.call.Body,
		Priority: d.Priority, Resume: max(d.Resume, r.upto), Left: r.left(d.Deadline), Once: d.Once,
	}
}

// receive reads the answer of a target and judges it.
func (r *run) receive(res *http.Response, d event.Dispatch) event.AttemptEnded {
	end := event.AttemptEnded{Status: res.StatusCode, RetryAfter: retryAfter(res.Header)}
	if said := res.Header.Get(target.HeaderNotRun); said != "" {
		end.Result = event.ResultNotRun
		end.Leaving = said == "leaving"
		return end
	}
	if err := r.checkEcho(res, d.Attempt); err != nil {
		end.Result = event.ResultBroken
		end.Resumable = r.call.Stream
		return end
	}
	if r.call.Engine && res.StatusCode >= http.StatusInternalServerError {
		end.Result = event.ResultFailed
		return end
	}
	r.begin(res.StatusCode, answerHeader(res.Header))
	from := r.upto
	err := r.copy(res)
	end.Delivered = r.upto
	end.Generated = r.upto - from
	end.Result = event.ResultDone
	if err != nil {
		end.Result = event.ResultBroken
		end.Resumable = r.call.Stream
	}
	return end
}

// checkEcho guards against a crossed answer: a target or something between
// that mixes up two connections would give one caller the text of another.
// One would notice it only by reading the answer. The echo of the attempt
// tells before a byte is passed on.
func (r *run) checkEcho(res *http.Response, a ident.Attempt) error {
	echo := res.Header.Get(target.HeaderAttempt)
	if echo == "" && !r.call.Engine {
		return nil
	}
	if echo != a.String() {
		return errCrossed
	}
	return nil
}

func (r *run) copy(res *http.Response) error {
	if isEventStream(res.Header) {
		return r.copyStream(res.Body)
	}
	return r.copyWhole(res.Body)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyWhole reads an answer that is given on only when it is whole.
func (r *run) copyWhole(body io.Reader) error {
	b, err := io.ReadAll(io.LimitReader(body, int64(r.MaxAnswer)+1))
	if err != nil {
		return errors.Wrap(errShort, err.Error())
	}
	if err := r.held.add(b, r.MaxAnswer); err != nil {
		return err
	}
	if r.call.Engine {
		return r.checkWhole(b)
	}
	return nil
}

// checkWhole guards against a short or crossed answer of an engine that closed
// the connection properly all the same.
func (r *run) checkWhole(b []byte) error {
	if r.held.Status != http.StatusOK {
		return nil
	}
	var head struct {
		ID ident.RequestID `json:"id"`
	}
	if err := json.Unmarshal(b, &head); err != nil {
		return errors.Wrap(errShort, err.Error())
	}
	if head.ID != r.call.Answer {
		return errCrossed
	}
	return nil
}

// Sizes and marks of server-sent events.
const (
	streamBuffer = 16 << 10
	dataField    = "data: "
	idField      = "id: "
	endMark      = "[DONE]"
)

// copyStream passes events on until the end mark, which is held back until
// the reducer has taken note of the end.
func (r *run) copyStream(body io.Reader) error {
	br := bufio.NewReaderSize(body, streamBuffer)
	own := []byte(`"` + string(r.call.Answer) + `"`)
	var ev []byte
	upto := r.upto
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(errShort, err.Error())
		}
		ev = append(ev, line...)
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte(idField)); ok {
			upto = parseTokens(id, upto)
		}
		if data, ok := bytes.CutPrefix(text, []byte(dataField)); ok {
			if string(data) == endMark {
				return nil
			}
			if !bytes.Contains(data, own) {
				return errCrossed
			}
		}
		if len(text) > 0 {
			continue
		}
		if err := r.data(ev, upto); err != nil {
			return err
		}
		ev = ev[:0]
	}
}

func parseTokens(b []byte, old ident.Tokens) ident.Tokens {
	n, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return old
	}
	return ident.Tokens(n)
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// passedHeaders are the headers of an answer that go on to the caller.
var passedHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Last-Modified", "Retry-After"}

func answerHeader(h http.Header) http.Header {
	out := make(http.Header, len(passedHeaders))
	for _, k := range passedHeaders {
		if vs := h.Values(k); len(vs) > 0 {
			out[k] = vs
		}
	}
	return out
}
