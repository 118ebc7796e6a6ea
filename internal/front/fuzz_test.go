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

// Whatever a caller writes into its headers, a header of this system that only
// hosts send is refused, and none of the values falls the host over.
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
				t.Errorf("header %q was taken", name)
			}
		}
		at, bad := x.parseDeadline()
		if bad == nil && deadline != "" && (at <= 0 || at.Sub(0).Milliseconds() > maxDeadlineMs) {
			t.Errorf("deadline %q was taken as %d", deadline, at)
		}
		if bad != nil && bad.Outcome != event.NotRun {
			t.Errorf("refusal with outcome %s", bad.Outcome)
		}
	})
}

// A path at a plain service never climbs out of it, however it is escaped.
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
			t.Fatalf("path %q was taken as %q of %q: %v", tail, path, profile, err)
		}
		for seg := range strings.SplitSeq(strings.ReplaceAll(u.Path, "\\", "/"), "/") {
			if seg == ".." || seg == "." {
				t.Errorf("path %q climbs as %q", tail, path)
			}
		}
	})
}

// What is taken as a completion request is JSON of the expected shape, with
// numbers in their range, and a fault shows no word of the body.
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
			t.Errorf("taken: %q", text)
		}
	})
}
