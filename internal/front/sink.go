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

type callerSink struct {
	*exchange
	// engine is set if a stream ends with the end marker.
	engine bool
	// headerSent is set once the status has been sent, so that only a trailer or a cut can show the
	// outcome. ended is set once the answer has its end.
	headerSent, ended bool
}

// run runs a request and writes its answer. An answer without an end, since its caller seemed to have
// disconnected, is aborted: net/http would end it as if it were complete, also for a caller that has only
// closed its sending side.
func (x *exchange) run(call serve.Call, req event.Request, engine bool) {
	s := &callerSink{exchange: x, engine: engine}
	x.cfg.Runner.Run(x.r.Context(), call, req, serve.Sink{Begin: s.begin, Data: s.data, Finish: s.finish, Refuse: s.refuse})
	if !s.ended {
		panic(http.ErrAbortHandler)
	}
}

func (s *callerSink) begin(status int, h http.Header) {
	for k, vs := range h {
		s.w.Header()[k] = vs
	}
	s.streaming = status == http.StatusOK && strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	if s.streaming {
		s.w.Header().Set("Trailer", HeaderOutcome)
		s.cfg.Meter.AddOpenStreams(1)
	} else {
		s.w.Header().Set(HeaderOutcome, string(event.Done))
	}
	s.headerSent = true
	s.status = status
	s.cfg.Meter.ObserveFirstByte(s.cfg.Clock.Now().Sub(s.startedAt))
	s.w.WriteHeader(status)
}

func (s *callerSink) data(b []byte, _ ident.Tokens) error {
	s.extendWriteDeadline()
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	s.cfg.Meter.AddBytesOut(len(b))
	if !s.streaming {
		return nil
	}
	return s.rc.Flush()
}

// extendWriteDeadline bounds the time of the next write, since a caller that stops reading without
// closing its connection would occupy its slot at the target.
func (s *callerSink) extendWriteDeadline() {
	if s.cfg.WriteTimeout > 0 {
		_ = s.rc.SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout))
	}
}

func (s *callerSink) finish(outcome event.Outcome) {
	s.outcome, s.ended = outcome, true
	if !s.streaming {
		return
	}
	s.extendWriteDeadline()
	if s.engine {
		_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	}
	s.w.Header().Set(HeaderOutcome, string(outcome))
}

// refuse ends the answer with a refusal. A stream that has begun gets an error event and is then
// cut without its end marker, so that no client mistakes the partial answer for a complete one.
func (s *callerSink) refuse(r event.Refuse) {
	s.ended = true
	if !s.headerSent {
		s.exchange.refuse(&r)
		return
	}
	s.outcome = r.Outcome
	s.code = r.Code
	s.cfg.Meter.RequestRefused(r.Code)
	if s.streaming {
		s.extendWriteDeadline()
		b, _ := json.Marshal(errorBody(&r))
		_, _ = s.w.Write([]byte("event: error\ndata: " + string(b) + "\n\n"))
		_ = s.rc.Flush()
	}
	panic(http.ErrAbortHandler)
}
