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

// rig is the operators' address of a host that stands at a book.
type rig struct {
	admin *Admin
	book  *rules.Book
	revs  *revlog.Log
	drain int
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{}
	hs := httptest.NewServer(plat.New())
	t.Cleanup(hs.Close)
	r.revs = revlog.New(store.New(store.Config{URL: hs.URL}))
	svc := clock.New()
	t.Cleanup(svc.Stop)
	lp := loop.New(loop.Config{Step: step, Clock: svc, Log: logr.Discard(), Execute: func(event.Effect) {}})
	t.Cleanup(lp.Stop)
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("platform.get.ok", reg).Inc(7)
	r.admin = New(Config{
		Loop: lp, Clock: svc, Log: logr.Discard(), Level: logs.NewLevel(0), Revs: r.revs, Metrics: reg,
		Book: func() *rules.Book { return r.book }, Drain: func() { r.drain++ },
		Operators: []config.Operator{
			{Name: "anu", TokenDigest: strings.ToUpper(rules.Digest("token-anu"))},
			{Name: "bold", TokenDigest: rules.Digest("token-bold")},
		},
	})
	return r
}

// step answers with two data centres, of which one is behind for the first
// looks.
func step(now ident.Time, ev event.Event) []event.Effect {
	e, ok := ev.(event.StatusAsked)
	if !ok {
		return nil
	}
	late := ident.Revision(4)
	if now > ident.Time(300*time.Millisecond) {
		late = 5
	}
	return []event.Effect{event.StatusAnswered{Ask: e.Ask, Centres: []event.CentreStatus{
		{Place: event.Place{DataCentre: "uvs"}, InForce: 5}, {Place: event.Place{DataCentre: "khovd"}, InForce: late},
	}}}
}

func (r *rig) call(method, path, token, body string) *httptest.ResponseRecorder {
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

// A caller without a token, or with a revoked one, gets more than health, readiness and metrics.
func TestOnlyOperators(t *testing.T) {
	r := newRig(t)
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
	if r.drain != 0 {
		t.Error("a stranger started a drain")
	}
	wantStatus(t, "drain by an operator", http.StatusAccepted, r.call("POST", "/v1/drain", "token-anu", ""))
	if diff := cmp.Diff(1, r.drain); diff != "" {
		t.Errorf("drains (-want +got):\n%s", diff)
	}
}

// A host that is not ready yet is restarted over and over by a liveness probe.
func TestHealthIsNotReadiness(t *testing.T) {
	r := newRig(t)
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

// A malformed change is accepted, or one that claims to be approved lets one operator count as two.
func TestBadChanges(t *testing.T) {
	r := newRig(t)
	big := `{"id":"c","note":"` + strings.Repeat("x", maxBody) + `"}`
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
		t.Error("one of them is in the log")
	}
}

// An operator is not shown which data centre a change is still missing in.
func TestInForce(t *testing.T) {
	r := newRig(t)
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
