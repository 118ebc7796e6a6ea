package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
)

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

// defaultWait is when to come back after a refusal of the front itself.
const defaultWait = time.Second

// not returns the refusal of a request that has not been run.
func (x *exchange) not(c codes.Code, reason string) *event.Refuse {
	ref := &event.Refuse{Request: x.id, Code: c.ID, Outcome: event.NotRun, Reason: reason}
	if c.Wait {
		ref.RetryAfter = defaultWait
	}
	return ref
}

func errorBody(r *event.Refuse) errorAnswer {
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

// refuse answers with a refusal.
func (x *exchange) refuse(r *event.Refuse) {
	c, _ := codes.Find(r.Code)
	x.code = r.Code
	x.cfg.Meter.RequestRefused(r.Code)
	if c.Wait {
		x.w.Header().Set("Retry-After", strconv.Itoa(seconds(r.RetryAfter)))
	}
	if c.Status == http.StatusUnauthorized {
		x.w.Header().Set("Www-Authenticate", "Bearer")
	}
	x.hangUp()
	x.answer(statusOf(c), r.Outcome, errorBody(r))
}

// seconds rounds up, since Retry-After has no fractions and coming back too
// early would meet the same refusal.
func seconds(d time.Duration) int { return max(int(math.Ceil(d.Seconds())), 1) }

// answer answers with JSON.
func (x *exchange) answer(status int, outcome event.Outcome, v any) {
	x.status = status
	x.outcome = outcome
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set(HeaderOutcome, string(outcome))
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(v)
}
