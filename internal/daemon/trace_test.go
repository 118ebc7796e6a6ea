package daemon

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/pkg/rules"
)

// traceRecorder is an engine that records the trace context of the last request.
type traceRecorder struct {
	*engine.Engine
	mu     sync.Mutex
	parent string
}

// ServeHTTP records the trace context of a POST request and serves the call.
func (e *traceRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		e.mu.Lock()
		e.parent = r.Header.Get("Traceparent")
		e.mu.Unlock()
	}
	e.Engine.ServeHTTP(w, r)
}

// Guards against a trace that ends at the first entry host because the trace context
// is not forwarded.
func TestTraceCrossesEntryHosts(t *testing.T) {
	eng := &traceRecorder{Engine: engine.New(engine.Config{ID: "e1", Serves: []rules.Serve{{Model: "draft"}}, Slots: 8})}
	x, _, _ := twoEntriesWith(t, eng)
	const id = "4bf92f3577b34da6a3ce929d0e0e4736"
	req, err := http.NewRequest(http.MethodPost, "http://"+x.cfg.Settings.Callers.Listen+"/v1/completions",
		strings.NewReader(`{"model":"obituary","max_tokens":2,"prompt":"hello"}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("Traceparent", "00-"+id+"-00f067aa0ba902b7-01")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if res.StatusCode != http.StatusOK || !strings.Contains(eng.parent, id) {
		t.Errorf("status %d, the engine got trace %q, want %s", res.StatusCode, eng.parent, id)
	}
}
