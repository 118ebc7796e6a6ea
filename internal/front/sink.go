package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sink writes the answer of a target to the caller.
func (x *exchange) sink(engine bool) serve.Sink {
	s := &callerSink{exchange: x, engine: engine}
	return serve.Sink{Begin: s.begin, Data: s.data, Finish: s.finish, Refuse: s.refuse}
}

type callerSink struct {
	*exchange
	// engine says that a stream ends with the end mark.
	engine bool
	// begun says that the status has been sent, so that only a trailer or a
	// cut can show the outcome.
	begun bool
}

func (s *callerSink) begin(status int, h http.Header) {
	for k, vs := range h {
		s.w.Header()[k] = vs
	}
	s.stream = status == http.StatusOK && strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	if s.stream {
		s.w.Header().Set("Trailer", HeaderOutcome)
		s.cfg.Meter.AddOpenStreams(1)
	} else {
		s.w.Header().Set(HeaderOutcome, string(event.Done))
	}
	s.begun = true
	s.status = status
	s.cfg.Meter.ObserveFirstByte(s.cfg.Clock.Now().Sub(s.began))
	s.w.WriteHeader(status)
}

func (s *callerSink) data(b []byte, _ ident.Tokens) error {
	s.extendWriteDeadline()
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	s.cfg.Meter.AddBytesOut(len(b))
	if !s.stream {
		return nil
	}
	return s.rc.Flush()
}

// extendWriteDeadline bounds the time that a write may wait, since a caller that stops reading
// without closing its connection would hold its slot at the target.
func (s *callerSink) extendWriteDeadline() {
	if s.cfg.WriteTime > 0 {
		_ = s.rc.SetWriteDeadline(time.Now().Add(s.cfg.WriteTime))
	}
}

func (s *callerSink) finish(outcome event.Outcome) {
	s.outcome = outcome
	if !s.stream {
		return
	}
	s.extendWriteDeadline()
	if s.engine {
		_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	}
	s.w.Header().Set(HeaderOutcome, string(outcome))
}

// refuse gives the final answer. A stream that has begun gets an error event
// and is then cut without its end mark, so that no client takes the part for
// the whole.
func (s *callerSink) refuse(r event.Refuse) {
	if !s.begun {
		s.exchange.refuse(&r)
		return
	}
	s.outcome = r.Outcome
	s.code = r.Code
	s.cfg.Meter.RequestRefused(r.Code)
	if s.stream {
		s.extendWriteDeadline()
		b, _ := json.Marshal(errorBody(&r))
		_, _ = s.w.Write([]byte("event: error\ndata: " + string(b) + "\n\n"))
		_ = s.rc.Flush()
	}
	panic(http.ErrAbortHandler)
}
