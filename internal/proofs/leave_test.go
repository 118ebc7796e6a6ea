package proofs

import (
	"context"
	"net/http"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/load"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
)

// lastNewRequest is how long after its first word a leaving target may get new
// requests. listLag is by how much the platform's list lags.
const (
	lastNewRequest = 5 * time.Second
	listLag        = 1500 * time.Millisecond
)

// A target that one source alone reports as draining still gets new work.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := startFleet(t, siteOf("uvs", 2, 4, 0), siteOf("erdenet", 1, 0, 0))
	f.configure()
	put(t, f.platform+"/dev/faults", plat.Faults{HostsLagMs: listLag.Milliseconds()})
	var urls []string
	for _, m := range f.hosts {
		urls = append(urls, m.callers())
		eventually(t, "answers at "+string(m.id), func() bool {
			return ask(context.Background(), m.callers(), "/v1/chat/completions", chatBody("draft", "hello", 4), nil).outcome == event.Done
		})
	}
	eventually(t, "all engines are known", func() bool { return len(f.status(f.host("uvs-1")).Targets) == 4 })
	done := make(chan load.Result, 1)
	go func() {
		done <- load.Run(context.Background(), load.Config{
			Entries: urls, Key: "key-1", Profile: "draft", Rate: 200, For: 10 * time.Second, Tokens: 10, Stream: true, Retry: true,
		})
	}()
	eventually(t, "all engines work", func() bool {
		for _, tg := range f.targets {
			if f.engineLedger(tg.ID).Ran < 10 {
				return false
			}
		}
		return true
	})

	f.leaveQuietly("uvs-e1", "mute&hidden")
	f.listLeaving("uvs-e1")
	f.leaveQuietly("uvs-e2", "hidden")
	f.leaveQuietly("uvs-e3", "mute")
	r := <-done
	t.Log(summed(r))
	if r.Done != r.Requests {
		t.Errorf("%d of %d requests failed", r.Requests-r.Done, r.Requests)
	}
	for _, l := range []struct {
		id     ident.TargetID
		source string
		most   time.Duration
	}{
		{"uvs-e1", "the platform's list", lastNewRequest + listLag},
		{"uvs-e2", "its refusals", lastNewRequest},
		{"uvs-e3", "its load report", lastNewRequest},
	} {
		led := f.engineLedger(l.id)
		last := time.Duration(led.LateMs) * time.Millisecond
		t.Logf("%s: %d requests came late, the last after %v", l.source, led.Late, last)
		if last > l.most {
			t.Errorf("by %s alone the last new request came after %v, at most %v expected", l.source, last, l.most)
		}
	}
	if since := time.Since(f.engineLedger("uvs-e1").DrainingSince); since < lastNewRequest+listLag {
		t.Errorf("the load went on for %v only", since)
	}
	if f.engineLedger("uvs-e2").Late == 0 {
		t.Error("no request was refused: the source was not alone")
	}
}

// leaveQuietly has an engine leave without saying so in some ways.
func (f *fleet) leaveQuietly(id ident.TargetID, how string) {
	f.t.Helper()
	res, err := http.Post(f.url(id)+"/dev/leave?"+how, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	res.Body.Close()
}

// listLeaving has the platform's list say that a target leaves. The list names
// the run of each target, so that the word does not hold for the next one.
func (f *fleet) listLeaving(id ident.TargetID) {
	f.t.Helper()
	var ts []event.Target
	for _, tg := range f.targets {
		var ld event.Load
		getJSON(f.t, tg.URL+"/load", &ld)
		tg.Incarnation = ld.Incarnation
		tg.Draining = tg.ID == id
		ts = append(ts, tg)
	}
	putHosts(f.t, f.platform, store.Hosts{Targets: ts})
}
