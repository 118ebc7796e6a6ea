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

// maxNewRequestDelay bounds the time after the first drain signal in which a target may get new
// requests. listLag is the lag of the platform's target list.
const (
	maxNewRequestDelay = 5 * time.Second
	listLag            = 1500 * time.Millisecond
)

// A draining target must stop getting new requests in time even if only one source reports the
// drain: its load report, its refusals or the platform's list.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := startFleet(t, siteOf("uvs", 2, 4, 0), siteOf("erdenet", 1, 0, 0))
	f.configure()
	putJSON(t, f.platform+"/dev/faults", plat.Faults{HostsLagMs: listLag.Milliseconds()})
	var urls []string
	for _, m := range f.hosts {
		urls = append(urls, m.callers())
		eventually(t, "answers at "+string(m.id), func() bool {
			return sendRequest(context.Background(), m.callers(), "/v1/chat/completions", chatBody("draft", "hello", 4), nil).outcome == event.Done
		})
	}
	eventually(t, "all engines are known", func() bool { return len(f.status(f.host("uvs-1")).Targets) == 4 })
	done := make(chan load.Result, 1)
	go func() {
		done <- load.Run(context.Background(), load.Config{
			Entries: urls, Key: "key-1", Profile: "draft", Rate: 200, Duration: 10 * time.Second, AnswerTokens: 10, Stream: true, Retry: true,
		})
	}()
	eventually(t, "all engines get requests", func() bool {
		for _, tg := range f.targets {
			if f.engineLedger(tg.ID).Ran < 10 {
				return false
			}
		}
		return true
	})

	f.drainTarget("uvs-e1", "mute&hidden")
	f.listAsDraining("uvs-e1")
	f.drainTarget("uvs-e2", "hidden")
	f.drainTarget("uvs-e3", "mute")
	r := <-done
	t.Log(summarise(r))
	if r.Done != r.Requests {
		t.Errorf("%d of %d requests failed", r.Requests-r.Done, r.Requests)
	}
	for _, l := range []struct {
		id       ident.TargetID
		source   string
		maxDelay time.Duration
	}{
		{"uvs-e1", "the platform's list", maxNewRequestDelay + listLag},
		{"uvs-e2", "its refusals", maxNewRequestDelay},
		{"uvs-e3", "its load report", maxNewRequestDelay},
	} {
		ledger := f.engineLedger(l.id)
		last := time.Duration(ledger.LateMs) * time.Millisecond
		t.Logf("drain reported by %s: %d later requests, the last after %v", l.source, ledger.Late, last)
		if last > l.maxDelay {
			t.Errorf("drain reported by %s alone: last new request after %v, at most %v expected", l.source, last, l.maxDelay)
		}
	}
	if since := time.Since(f.engineLedger("uvs-e1").DrainingSince); since < maxNewRequestDelay+listLag {
		t.Errorf("the load continued for only %v", since)
	}
	if f.engineLedger("uvs-e2").Late == 0 {
		t.Error("no request was refused: another source reported the drain")
	}
}

// drainTarget drains an engine; silentSources are those that don't report the drain.
func (f *fleet) drainTarget(id ident.TargetID, silentSources string) {
	f.t.Helper()
	res, err := http.Post(f.url(id)+"/dev/leave?"+silentSources, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	res.Body.Close()
}

// listAsDraining marks a target as draining in the platform's list. The list names the incarnation
// of each target, so that the mark does not apply to the next one.
func (f *fleet) listAsDraining(id ident.TargetID) {
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
