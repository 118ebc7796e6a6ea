package admin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// testAdmin is the operators' API of a host that has a book in force.
type testAdmin struct {
	admin *Admin
	book  *rules.Book
	revs  *revlog.Log
	// drains counts the calls of Config.Drain.
	drains int
}

func newTestAdmin(t *testing.T) *testAdmin {
	t.Helper()
	r := &testAdmin{}
	hs := httptest.NewServer(plat.New())
	t.Cleanup(hs.Close)
	r.revs = revlog.New(store.New(store.Config{URL: hs.URL}))
	svc := clock.New()
	t.Cleanup(svc.Stop)
	lp := loop.New(loop.Config{Step: answerStatus, Clock: svc, Log: logr.Discard(), Execute: func(event.Effect) {}})
	t.Cleanup(lp.Stop)
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("platform.get.ok", reg).Inc(7)
	r.admin = New(Config{
		Loop: lp, Clock: svc, Log: logr.Discard(), Level: logs.NewLevel(0), Revs: r.revs, Metrics: reg,
		Book: func() *rules.Book { return r.book }, Drain: func() { r.drains++ },
		Operators: []config.Operator{
			{Name: "anu", TokenDigest: strings.ToUpper(rules.Digest("token-anu"))},
			{Name: "bold", TokenDigest: rules.Digest("token-bold")},
		},
	})
	return r
}

// answerStatus is a control thread that reports two data centres. One of them
// gets revision 5 only after 300 ms, so that a waiting request polls first.
func answerStatus(now ident.Time, ev event.Event) []event.Effect {
	e, ok := ev.(event.StatusAsked)
	if !ok {
		return nil
	}
	khovdRev := ident.Revision(4)
	if now > ident.Time(300*time.Millisecond) {
		khovdRev = 5
	}
	return []event.Effect{event.StatusAnswered{Ask: e.Ask, Centres: []event.CentreStatus{
		{Place: event.Place{DataCentre: "uvs"}, InForce: 5}, {Place: event.Place{DataCentre: "khovd"}, InForce: khovdRev},
	}}}
}

func (r *testAdmin) call(method, path, token, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	r.admin.ServeHTTP(w, req)
	return w
}

func wantStatus(t *testing.T, what string, want int, w *httptest.ResponseRecorder) {
	t.Helper()
	if diff := cmp.Diff(want, w.Code); diff != "" {
		t.Errorf("%s: status (-want +got):\n%s%s", what, diff, w.Body)
	}
}

// Guards against a route registered without requireOperator: without a valid
// token (none, an unknown or revoked one, or a digest in its place), only health,
// readiness and metrics may be served.
func TestOperatorTokenRequired(t *testing.T) {
	r := newTestAdmin(t)
	paths := []struct{ method, path string }{
		{"GET", "/v1/status"},
		{"GET", "/v1/inForce?revision=1"},
		{"GET", "/v1/book"},
		{"GET", "/v1/profiles"},
		{"GET", "/v1/accounts"},
		{"POST", "/v1/changes"},
		{"GET", "/v1/proposals"},
		{"POST", "/v1/proposals"},
		{"POST", "/v1/proposals/x/approve"},
		{"GET", "/v1/history"},
		{"POST", "/v1/rollback"},
		{"POST", "/v1/drain"},
		{"POST", "/v1/route"},
		{"GET", "/v1/logLevel"},
		{"PUT", "/v1/logLevel"},
	}
	for _, p := range paths {
		for _, token := range []string{"", "token-nobody", rules.Digest("token-anu")} {
			wantStatus(t, p.method+" "+p.path, http.StatusUnauthorized, r.call(p.method, p.path, token, "{}"))
		}
	}
	if r.drains != 0 {
		t.Error("a request without an operator's token started a drain")
	}
	wantStatus(t, "drain by an operator", http.StatusAccepted, r.call("POST", "/v1/drain", "token-anu", ""))
	if diff := cmp.Diff(1, r.drains); diff != "" {
		t.Errorf("drains (-want +got):\n%s", diff)
	}
}

// Guards against a health check that depends on readiness: a liveness probe would
// then restart a host without a configuration over and over. Metrics need no
// token either.
func TestHealthIsNotReadiness(t *testing.T) {
	r := newTestAdmin(t)
	wantStatus(t, "health", http.StatusNoContent, r.call("GET", "/healthz", "", ""))
	wantStatus(t, "not ready", http.StatusServiceUnavailable, r.call("GET", "/readyz", "", ""))
	r.book = &rules.Book{Revision: 1}
	wantStatus(t, "ready", http.StatusNoContent, r.call("GET", "/readyz", "", ""))
	for _, path := range []string{"/metrics", "/metrics?format=text"} {
		w := r.call("GET", path, "", "")
		if !strings.Contains(w.Body.String(), "platform.get.ok") {
			t.Errorf("%s lacks the counter: %s", path, w.Body)
		}
	}
}

// Guards against the acceptance of malformed changes, and of a change whose body
// names an approver: one operator would then count as two.
func TestBadChanges(t *testing.T) {
	r := newTestAdmin(t)
	big := `{"id":"c","note":"` + strings.Repeat("x", maxBodyBytes) + `"}`
	for _, c := range []struct {
		name string
		body string
		want int
	}{
		{"too long", big, http.StatusBadRequest},
		{"misspelt", `{"id":"c","item":[]}`, http.StatusBadRequest},
		{"without an id", `{"items":[]}`, http.StatusBadRequest},
		{"without items", `{"id":"c","items":[]}`, http.StatusUnprocessableEntity},
		{"forged approval", `{"id":"c","approver":"bold","operator":"chimeg","items":[{"kind":"profile","name":"p","doc":{"service":"s","maxCrossings":0,"twoOperators":true}}]}`, http.StatusForbidden},
	} {
		wantStatus(t, c.name, c.want, r.call("POST", "/v1/changes", "token-anu", c.body))
	}
	_, err := r.revs.Read(context.Background(), 1)
	if err == nil {
		t.Error("one of the changes was accepted into the log")
	}
}

// Guards against a false report of which data centres still lack a revision: a
// request must wait for a lagging data centre, and a revision that no data centre
// has must not be reported as in force.
func TestInForce(t *testing.T) {
	r := newTestAdmin(t)
	w := r.call("GET", "/v1/inForce?revision=5&waitMs=20000", "token-bold", "")
	wantStatus(t, "wait", http.StatusOK, w)
	if !bytes.Contains(w.Body.Bytes(), []byte(`"everywhere":true`)) {
		t.Errorf("after the wait: %s", w.Body)
	}
	w = r.call("GET", "/v1/inForce?revision=6", "token-bold", "")
	if !bytes.Contains(w.Body.Bytes(), []byte(`"everywhere":false`)) {
		t.Errorf("a later revision: %s", w.Body)
	}
	wantStatus(t, "no revision", http.StatusBadRequest, r.call("GET", "/v1/inForce?revision=x", "token-bold", ""))
}
