package opctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

var update = flag.Bool("update", false, "write the golden files")

// testHost is the operators' API of an entry host with a simulated platform. Its
// control thread is the method step, which answers queries only.
type testHost struct {
	platform    *plat.Server
	revs        *revlog.Log
	book        atomic.Pointer[rules.Book]
	drained     atomic.Int32
	url         string
	platformURL string
}

// connError matches a connection error of the platform, whose text depends on
// when the connection breaks.
var connError = regexp.MustCompile(`Get "(http://PLATFORM[^"]*)": [^)\n]*`)

var operators = []config.Operator{
	{Name: "anu", TokenDigest: rules.Digest("token-anu")},
	{Name: "bold", TokenDigest: rules.Digest("token-bold")},
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	h := &testHost{platform: plat.New()}
	pl := httptest.NewServer(h.platform)
	t.Cleanup(pl.Close)
	h.platformURL = pl.URL
	h.revs = revlog.New(store.New(store.Config{URL: pl.URL}))
	h.revs.Now = func() time.Time { return time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC) }
	svc := clock.New()
	t.Cleanup(svc.Stop)
	lp := loop.New(loop.Config{Step: h.step, Clock: svc, Log: logr.Discard(), Execute: func(event.Effect) {}})
	t.Cleanup(lp.Stop)
	ad := httptest.NewServer(admin.New(admin.Config{
		Loop: lp, Clock: svc, Log: logr.Discard(), Level: logs.NewLevel(0), Revs: h.revs,
		Book: h.book.Load, Operators: operators, Drain: func() { h.drained.Add(1) },
	}))
	t.Cleanup(ad.Close)
	h.url = ad.URL
	return h
}

// step answers queries with three data centres, of which khovd is unreachable and
// stays at revision 1.
func (h *testHost) step(_ ident.Time, ev event.Event) []event.Effect {
	h.syncBook()
	rev := h.book.Load().Rev()
	at := func(dc ident.DataCentre, in ident.Revision) event.CentreStatus {
		return event.CentreStatus{Place: event.Place{DataCentre: dc, Region: ident.Region(dc)}, InForce: in}
	}
	switch e := ev.(type) {
	case event.StatusAsked:
		khovd := at("khovd", min(rev, 1))
		khovd.CutOff = true
		khovd.Age = 90 * time.Second
		return []event.Effect{event.StatusAnswered{
			Ask: e.Ask, Self: event.Host{ID: "uvs-1", Place: event.Place{DataCentre: "uvs", Region: "uvs"}},
			Revision: rev, Ready: rev > 0, Requests: 3, PlatformAge: 200 * time.Millisecond,
			Centres: []event.CentreStatus{at("uvs", rev), at("erdenet", rev), khovd},
			Targets: []event.TargetStatus{
				{Target: event.Target{ID: "uvs-e1", Kind: event.Engine, Place: event.Place{DataCentre: "uvs"}}, Load: event.Load{Slots: 8, Running: 2}, InFlight: 1},
				{Target: event.Target{ID: "uvs-e2", Kind: event.Engine, Place: event.Place{DataCentre: "uvs"}}, Draining: true},
			},
		}}
	case event.RouteAsked:
		return []event.Effect{event.RouteAnswered{Ask: e.Ask, Chosen: 0, Choices: []event.Choice{
			{Target: "uvs-e1", DataCentre: "uvs", Cost: 0.5, Wait: 0.2, Prefill: 0.1, Decode: 0.2},
			{DataCentre: "khovd", RuledOut: codes.FilterResidency.ID},
		}}}
	}
	return nil
}

// syncBook puts the newest revision of the log into force at the host.
func (h *testHost) syncBook() {
	book, err := h.revs.Load(context.Background())
	if err == nil && book.Rev() > h.book.Load().Rev() {
		h.book.Store(book)
	}
}

// run executes one command line and writes its output and exit status to out. The
// prefix "bold:" runs it as the other operator.
func (h *testHost) run(out *bytes.Buffer, dir, line string) {
	args := strings.Fields(line)
	token := "token-anu"
	if args[0] == "bold:" {
		token, args = "token-bold", args[1:]
	}
	for i, a := range args {
		if strings.HasSuffix(a, ".jsonc") {
			args[i] = filepath.Join(dir, a)
		}
	}
	opts := &Options{URL: h.url, Token: token, Out: out, Err: out}
	top := flag.NewFlagSet("verbctl", flag.ContinueOnError)
	top.SetOutput(out)
	cdr := subcommands.NewCommander(top, "verbctl")
	cdr.Output, cdr.Error = out, out
	Register(cdr, opts)
	_ = top.Parse(args)
	code := cdr.Execute(context.Background())
	fmt.Fprintf(out, "exit %d\n\n", code)
	h.syncBook()
}

// Guards against changed output or exit statuses of the commands of verbctl, which
// scripts read. Each testdata folder has a script and its golden output; a line
// that begins with "!" sets the faults of the simulated platform.
func TestScripts(t *testing.T) {
	dirs, err := filepath.Glob("testdata/*")
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) { runScript(t, dir) })
	}
}

func runScript(t *testing.T, dir string) {
	script, err := os.ReadFile(filepath.Join(dir, "script.txt"))
	if err != nil {
		t.Fatal(err)
	}
	h := newTestHost(t)
	var out bytes.Buffer
	for line := range strings.Lines(string(script)) {
		line = strings.TrimSpace(line)
		fmt.Fprintf(&out, "$ %s\n", line)
		if text, ok := strings.CutPrefix(line, "!"); ok {
			var f plat.Faults
			if err := json.Unmarshal([]byte(text), &f); err != nil {
				t.Fatal(err)
			}
			h.platform.SetFaults(f)
			continue
		}
		h.run(&out, dir, line)
	}
	got := strings.ReplaceAll(out.String(), dir+string(filepath.Separator), "")
	got = strings.ReplaceAll(got, h.platformURL, "http://PLATFORM")
	got = connError.ReplaceAllString(got, `Get "$1": the link broke`)
	golden(t, filepath.Join(dir, "want.txt"), got)
}

func golden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

// Guards against a false report of the outcome of a change: it is unknown if the
// call is aborted, since the host may have received it, and known if the host
// could not be dialled.
func TestOutcomeAfterConnectionError(t *testing.T) {
	h := newTestHost(t)
	h.platform.SetFaults(plat.Faults{Down: true})
	cl := &Client{URL: "http://127.0.0.1:1", Token: "token-anu"}
	_, err := cl.Change(context.Background(), rules.Change{ID: "c1"})
	if got := asUnknown(err, "c1", ""); !errors.Is(got, err) || (&Options{Err: &bytes.Buffer{}}).reportExit(got) == exitUnknown {
		t.Errorf("a change that was never sent is reported as unknown: %v", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = (&Client{URL: h.url, Token: "token-anu"}).Change(ctx, rules.Change{ID: "c1"})
	if diff := cmp.Diff(exitUnknown, (&Options{Err: &bytes.Buffer{}}).reportExit(asUnknown(err, "c1", "again"))); diff != "" {
		t.Errorf("exit status of an aborted call (-want +got):\n%s", diff)
	}
}

// Guards against a command whose usage text has no example.
func TestEveryCommandHasAnExample(t *testing.T) {
	opts := &Options{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}
	cdr := subcommands.NewCommander(flag.NewFlagSet("verbctl", flag.ContinueOnError), "verbctl")
	Register(cdr, opts)
	n := 0
	check := func(c subcommands.Command) {
		n++
		if c.Name() != "help" && !strings.Contains(c.Usage(), "Example") {
			t.Errorf("%s has no example", c.Name())
		}
	}
	cdr.VisitCommands(func(_ *subcommands.CommandGroup, c subcommands.Command) {
		check(c)
		if g, ok := c.(*group); ok {
			for _, sub := range g.cmds {
				check(sub)
			}
		}
	})
	if n < 20 {
		t.Errorf("only %d commands were checked", n)
	}
}

// Guards against taking a malformed answer for a success.
func TestMalformedAnswersAreNoSuccess(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000\r\n", "HTTP/1.1 042 X\r\n", "HTTP/1.1 +20 X\r\n", "HTTP/1.1 200 X\r\nX A: b\r\n"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, head+"Connection: close\r\nContent-Length: 2\r\n\r\n{}")
		}))
		defer srv.Close()
		err := (&Client{URL: srv.URL}).SetLevel(t.Context(), admin.Level{})
		var ce *CallError
		if !errors.As(err, &ce) || ce.Status != 0 {
			t.Errorf("%q: %v", head, err)
		}
	}
}
