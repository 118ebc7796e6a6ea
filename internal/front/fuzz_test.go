package front

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
)

// Checks that, whatever headers a caller sends, a header that only hosts may send is refused, and
// that no value causes a panic.
func FuzzHead(f *testing.F) {
	f.Add("Verbenadale-Ticket", "tk-1", "1.1 verbenadale", "100")
	f.Add("Verbenadale-Envelope", "{}", "", "-1")
	f.Add("Idempotency-Key", "a b", "verbenadale,verbenadale", "99999999999999999999")
	fr := New(Config{})
	f.Fuzz(func(t *testing.T, key, val, via, deadline string) {
		r := httptest.NewRequest(http.MethodPost, chatPath, nil)
		r.Header.Set(key, val)
		r.Header.Set("Via", via)
		r.Header.Set(HeaderDeadline, deadline)
		x := &exchange{Front: fr, r: r}
		ref := x.checkHead()
		name := http.CanonicalHeaderKey(key)
		if strings.HasPrefix(name, headerPrefix) && name != HeaderTicket && name != HeaderProfile && name != HeaderDeadline {
			if ref == nil || ref.Code != codes.ForgedEnvelope.ID {
				t.Errorf("header %q was accepted", name)
			}
		}
		at, bad := x.parseDeadline()
		if bad == nil && deadline != "" && (at <= 0 || at.Sub(0).Milliseconds() > maxDeadlineMs) {
			t.Errorf("deadline %q was parsed as %d", deadline, at)
		}
		if bad != nil && bad.Outcome != event.NotRun {
			t.Errorf("refusal with outcome %s", bad.Outcome)
		}
	})
}

// Checks that a path at a plain service can't leave that service, however it is escaped.
func FuzzServicePath(f *testing.F) {
	for _, p := range []string{"vans/jobs", "vans/%2e%2e/x", "a%2Fb/c", "vans", "%zz/x", "vans/..%5c"} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, tail string) {
		profile, path, ok := splitServicePath(servicePrefix + tail)
		if !ok {
			return
		}
		u, err := url.Parse("http://vans" + path)
		if err != nil || profile == "" {
			t.Fatalf("path %q was parsed as %q of %q: %v", tail, path, profile, err)
		}
		for seg := range strings.SplitSeq(strings.ReplaceAll(u.Path, "\\", "/"), "/") {
			if seg == ".." || seg == "." {
				t.Errorf("path %q leaves the service as %q", tail, path)
			}
		}
	})
}

// Checks that an accepted completion request is valid JSON with numbers in their range.
func FuzzParse(f *testing.F) {
	for _, s := range []string{goodChat, streamChat, `{"messages":[1],"max_tokens":1e3}`, `{"MESSAGES":[1],"n":null}`, "{", "[]"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := parseCompletion(text, chatShape)
		if err != nil {
			return
		}
		if !json.Valid(text) || a.answerTokens() < 0 || a.answerTokens() > maxAnswerTokens {
			t.Errorf("invalid request accepted: %q", text)
		}
	})
}
