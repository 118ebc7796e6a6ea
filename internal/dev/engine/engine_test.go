package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Guards against load or cache reports in a format that the target client cannot
// decode.
func TestClientReadsReports(t *testing.T) {
	eng := New(Config{ID: "uvs-e1", Incarnation: 7, Serves: []rules.Serve{{Model: "draft"}}, PrefillRate: 1000})
	defer eng.Stop()
	srv := httptest.NewServer(eng)
	defer srv.Close()
	tg := event.Target{ID: "uvs-e1", Kind: event.Engine, URL: srv.URL}
	prompt := `"` + strings.Repeat("memory ", 100) + `"`
	body := `{"model":"draft","max_tokens":2,"prompt":` + prompt + `}`
	res, err := http.Post(srv.URL+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	cl := target.New()
	ld, err := cl.Load(context.Background(), tg)
	if err != nil || ld.Slots != defaultSlots || len(ld.Serves) != 1 {
		t.Errorf("load %+v, %v", ld, err)
	}
	evs, err := cl.Cache(context.Background(), tg, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := []event.CacheChanged{{Target: "uvs-e1", Incarnation: 7, Seq: 1, Stored: blocks([]byte(prompt))}}
	if diff := cmp.Diff(want, evs); diff != "" {
		t.Errorf("cache events (-want +got):\n%s", diff)
	}
}
