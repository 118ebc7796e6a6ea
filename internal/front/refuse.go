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

// errorAnswer is the body of a refusal, in the format that clients of the chat-completions API
// expect.
type errorAnswer struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    codes.ID      `json:"code"`
	Outcome event.Outcome `json:"outcome"`
	// RetryAfterMs is the delay after which the caller may retry.
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
	Entries      []string `json:"entries,omitempty"`
}

// defaultRetryDelay is the retry delay of refusals that the front itself decides.
const defaultRetryDelay = time.Second

// notRun returns the refusal of a request that has not been run.
func (x *exchange) notRun(c codes.Code, reason string) *event.Refuse {
	ref := &event.Refuse{Request: x.id, Code: c.ID, Outcome: event.NotRun, Reason: reason}
	if c.RetryLater {
		ref.RetryAfter = defaultRetryDelay
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
		RetryAfterMs: r.RetryAfter.Milliseconds(), Entries: callerURLs(r.Entries),
	}}
}

// refuse writes a refusal as the answer.
func (x *exchange) refuse(r *event.Refuse) {
	c, _ := codes.Find(r.Code)
	x.code = r.Code
	x.cfg.Meter.RequestRefused(r.Code)
	if c.RetryLater {
		x.w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
	if c.Status == http.StatusUnauthorized {
		x.w.Header().Set("Www-Authenticate", "Bearer")
	}
	x.closeIfBodyUnread()
	x.writeJSON(statusOf(c), r.Outcome, errorBody(r))
}

// ceilSeconds rounds up, since Retry-After has no fractions and a caller that retried too early
// would be refused again.
func ceilSeconds(d time.Duration) int { return max(int(math.Ceil(d.Seconds())), 1) }

// writeJSON answers with JSON.
func (x *exchange) writeJSON(status int, outcome event.Outcome, v any) {
	x.status = status
	x.outcome = outcome
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set(HeaderOutcome, string(outcome))
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(v)
}
