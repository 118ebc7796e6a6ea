package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// trailerPrefix marks a header that is sent after the body.
const trailerPrefix = http.TrailerPrefix

// sink writes an answer to a caller.
func (f *Front) sink(w http.ResponseWriter, stream bool) serve.Sink {
	s := &callerSink{w: w, rc: http.NewResponseController(w), stream: stream}
	return serve.Sink{Begin: s.begin, Data: s.data, Finish: s.finish, Refuse: s.refuse}
}

type callerSink struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	stream bool
	// begun says that the status has been sent, so that only a trailer or a
	// cut can tell the outcome.
	begun bool
}

func (s *callerSink) begin(status int, h http.Header) {
	for k, vs := range h {
		s.w.Header()[k] = vs
	}
	if !s.stream || status != http.StatusOK {
		s.w.Header().Set(HeaderOutcome, string(event.Done))
	}
	s.begun = true
	s.w.WriteHeader(status)
}

func (s *callerSink) data(b []byte, _ ident.Tokens) error {
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	if !s.stream {
		return nil
	}
	return s.rc.Flush()
}

func (s *callerSink) finish(outcome event.Outcome) {
	if !s.stream {
		return
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	s.w.Header().Set(trailerPrefix+HeaderOutcome, string(outcome))
}

// refuse gives the final answer. A stream that has begun gets an error event
// and is then cut without its end mark, so that no client takes the part for
// the whole.
func (s *callerSink) refuse(r event.Refuse) {
	if !s.begun {
		refuse(s.w, r)
		return
	}
	b, _ := json.Marshal(errorBody(r))
	_, _ = s.w.Write([]byte("data: " + string(b) + "\n\n"))
	_ = s.rc.Flush()
	panic(http.ErrAbortHandler)
}

// errorAnswer is the body of a refusal, in the shape that clients of the
// chat-completions API expect.
type errorAnswer struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    codes.ID      `json:"code"`
	Outcome event.Outcome `json:"outcome"`
	// RetryAfterMs is when to come back.
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
	Entries      []string `json:"entries,omitempty"`
}

func errorBody(r event.Refuse) errorAnswer {
	c, _ := codes.Find(r.Code)
	msg := c.Title
	if r.Reason != "" {
		msg += ": " + r.Reason
	}
	return errorAnswer{Error: errorDetail{
		Message: msg, Type: "verbenadale_refusal", Code: r.Code, Outcome: r.Outcome,
		RetryAfterMs: r.RetryAfter.Milliseconds(), Entries: urls(r.Entries),
	}}
}

func refuse(w http.ResponseWriter, r event.Refuse) {
	c, _ := codes.Find(r.Code)
	w.Header().Set(HeaderOutcome, string(r.Outcome))
	if c.Wait {
		w.Header().Set("Retry-After", strconv.Itoa(seconds(r.RetryAfter)))
	}
	writeJSON(w, c.Status, errorBody(r))
}

// seconds rounds up, since Retry-After has no fractions and coming back too
// early would meet the same refusal.
func seconds(d time.Duration) int { return max(int(math.Ceil(d.Seconds())), 1) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
