package target

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func testRequest(url string, atMostOnce bool) AttemptRequest {
	return AttemptRequest{
		Target: event.Target{ID: "uvs-p1", URL: url}, Attempt: ident.Attempt{Entry: "uvs-1", Incarnation: 1, Number: 1},
		Request: "req-1", Method: http.MethodPost, Path: "/notices", Body: []byte("a notice"),
		Header: http.Header{"Idempotency-Key": {"k"}}, AtMostOnce: atMostOnce,
	}
}

// Guards against net/http retrying a call that is not idempotent on a new connection
// because the reused one was closed without an answer.
func TestAtMostOnceCallIsSentOnce(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			return
		}
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	cl := New()
	warm := testRequest(srv.URL, false)
	warm.Path = "/load"
	res, err := cl.Send(context.Background(), warm, func() {})
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	sent := false
	if _, err := cl.Send(context.Background(), testRequest(srv.URL, true), func() { sent = true }); !errors.Is(err, ErrConnection) {
		t.Errorf("error %v, want %v", err, ErrConnection)
	}
	if diff := cmp.Diff(int32(1), calls.Load()); diff != "" || !sent {
		t.Errorf("sent %v, calls at the service (-want +got):\n%s", sent, diff)
	}
}

// Guards against reporting a request as sent although the connection was refused.
func TestNothingSentToAClosedPort(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	url := srv.URL
	srv.Close()
	sent := false
	_, err := New().Send(context.Background(), testRequest(url, true), func() { sent = true })
	if !errors.Is(err, ErrConnection) || sent {
		t.Errorf("error %v, sent %v", err, sent)
	}
}

// Guards against following a redirect to an address that no routing filter has allowed.
func TestRedirectsAreNotFollowed(t *testing.T) {
	var elsewhere atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	defer other.Close()
	srv := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer srv.Close()
	for _, atMostOnce := range []bool{false, true} {
		res, err := New().Send(context.Background(), testRequest(srv.URL, atMostOnce), func() {})
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusTemporaryRedirect || elsewhere.Load() != 0 {
			t.Errorf("atMostOnce %v: status %d, %d calls elsewhere", atMostOnce, res.StatusCode, elsewhere.Load())
		}
	}
}

// Guards against a time to come back that is ignored, or that lasts for ever, because of its form.
func TestRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                              0,
		"3":                             3 * time.Second,
		" 2.5 ":                         2500 * time.Millisecond,
		"1, 4":                          4 * time.Second,
		"0":                             0,
		"-1":                            0,
		"NaN":                           0,
		"soon, 2":                       2 * time.Second,
		"1e9":                           maxRetryAfter,
		"+Inf":                          maxRetryAfter,
		"Fri, 04 Dec 2026 11:26:45 GMT": 0,
	} {
		if got := RetryAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
	if got := RetryAfter(http.Header{"Retry-After": {"1", "3", "2"}}); got != 3*time.Second {
		t.Errorf("three headers: %v", got)
	}
}

// Guards against taking for alive a target that does not answer for itself.
func TestLivingTargetsNameThemselves(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		report string
		want   bool
	}{
		"its own":    {http.StatusOK, `{"target":"uvs-p1"}`, true},
		"another's":  {http.StatusOK, `{"target":"uvs-p2"}`, false},
		"of nobody":  {http.StatusOK, `{}`, false},
		"cut":        {http.StatusOK, `{"target":"uvs-p1"`, false},
		"no report":  {http.StatusNotFound, "", false},
		"a failure":  {http.StatusBadGateway, `{"target":"uvs-p1"}`, false},
		"no answer":  {0, "", false},
		"no content": {http.StatusNoContent, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.report))
			}))
			defer srv.Close()
			if got := New().Lives(t.Context(), event.Target{ID: "uvs-p1", URL: srv.URL}); got != c.want {
				t.Errorf("lives: %v, want %v", got, c.want)
			}
		})
	}
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	if New().Lives(t.Context(), event.Target{ID: "uvs-p1", URL: srv.URL}) {
		t.Error("a target that refuses connections counts as alive")
	}
}
