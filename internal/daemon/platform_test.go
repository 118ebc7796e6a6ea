package daemon

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// testDaemon is a daemon whose reducer only records the events.
type testDaemon struct {
	*Daemon
	srv    *plat.Server
	events chan event.Event
}

func newTestDaemon(t *testing.T) *testDaemon {
	t.Helper()
	r := &testDaemon{srv: plat.New(), events: make(chan event.Event, 1024)}
	hs := httptest.NewServer(r.srv)
	t.Cleanup(hs.Close)
	const local = "127.0.0.1:0"
	set := config.Settings{
		Entry: "uvs-1", DataCentre: "uvs", Region: "uvs",
		Callers:   config.Callers{Listen: local, URL: "http://callers"},
		Peers:     config.Peers{Listen: local, Plain: true},
		Operators: config.Operators{Listen: local},
		Platform:  config.Platform{URL: hs.URL, TimeoutMs: 1000},
		Traces:    config.Traces{Exporter: "none"},
	}
	d, err := Start(Config{Settings: set, Log: logr.Discard(), Level: logs.NewLevel(0), Step: r.step})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	r.Daemon = d
	return r
}

func (r *testDaemon) step(_ ident.Time, ev event.Event) []event.Effect {
	if _, tick := ev.(event.Tick); !tick {
		r.events <- ev
	}
	return nil
}

// next waits for the next event other than a tick.
func (r *testDaemon) next(t *testing.T) event.Event {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	select {
	case ev := <-r.events:
		return ev
	case <-ctx.Done():
		t.Fatal("timed out waiting for an event")
		return nil
	}
}

func (r *testDaemon) append(t *testing.T, id ident.ChangeID, base ident.Revision) rules.Change {
	t.Helper()
	doc := json.RawMessage(`{"models":[{"model":"draft"}],"maxCrossings":0}`)
	c := rules.Change{ID: id, Base: base, Operator: "anu", Items: []rules.Item{{Kind: rules.KindProfile, Name: "p", Doc: doc}}}
	book, err := r.revs.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	done, err := r.revs.Append(context.Background(), book, c)
	if err != nil {
		t.Fatal(err)
	}
	return done
}

func wantSame(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// waitUntil waits until ok reports true.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// Guards against a second watch that runs in parallel with the first, counts as a call
// and delivers changes twice.
func TestOneWatch(t *testing.T) {
	r := newTestDaemon(t)
	r.execute(event.WatchChange{After: 0})
	r.execute(event.WatchChange{After: 0})
	c := r.append(t, "c1", 0)
	wantSame(t, "first change", event.Event(event.ChangesReceived{Changes: []rules.Change{c}}), r.next(t))

	r.execute(event.WatchChange{After: 1})
	waitUntil(t, "the watch waits", func() bool { return r.srv.Counts()["watch"] >= 2 })
	r.execute(event.StopWatch{})
	c = r.append(t, "c2", 1)
	r.execute(event.ReadHosts{})
	wantSame(t, "after StopWatch only the list comes", "hostsRead", event.TypeName(r.next(t)))
	r.execute(event.WatchChange{After: 1})
	wantSame(t, "a new watch", event.Event(event.ChangesReceived{Changes: []rules.Change{c}}), r.next(t))
	wantSame(t, "watches counted as failures", int64(0), metrics.GetOrRegisterCounter("platform.watch.down", r.metrics).Count())
}

// Guards against an effect that gets no event in reply while the store is down, so that
// the reducer waits for ever.
func TestPlatformDown(t *testing.T) {
	r := newTestDaemon(t)
	r.srv.SetFaults(plat.Faults{Down: true})
	for _, c := range []struct {
		eff  event.Effect
		want event.Event
	}{
		{event.ReadHosts{}, event.PlatformFailed{Op: event.OpReadHosts}},
		{event.ReadSnapshot{}, event.PlatformFailed{Op: event.OpReadSnapshot}},
		{event.WatchChange{}, event.PlatformFailed{Op: event.OpWatchChange}},
		{
			event.ClaimKey{Request: "r1", Key: "k", Deadline: r.clock.Now().Add(time.Minute)},
			event.KeyClaimed{Request: "r1", Claim: event.ClaimFailed},
		},
		{event.ClaimKey{Request: "r2", Key: "k"}, event.KeyClaimed{Request: "r2", Claim: event.ClaimFailed}},
	} {
		r.execute(c.eff)
		wantSame(t, event.TypeName(c.eff), c.want, r.next(t))
	}
}

// Guards against a draining host that stays in the directory, so that new callers are
// directed to it.
func TestDirectory(t *testing.T) {
	r := newTestDaemon(t)
	listed := func() []store.Listing {
		ls, err := r.store.Directory(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return ls
	}
	waitUntil(t, "listed", func() bool { return len(listed()) == 1 })
	wantSame(t, "caller URL", "http://callers", listed()[0].CallerURL)
	r.Drain()
	r.Drain()
	waitUntil(t, "gone", func() bool { return len(listed()) == 0 })
}
