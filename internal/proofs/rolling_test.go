package proofs

import (
	"context"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/load"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// listTTL is how long callers may use a list of hosts.
const listTTL = 5 * time.Second

// A rolling replacement of hosts and targets must not cut streams, nor close the port of a
// host that callers may still have in their lists.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	a, b := siteOf("uvs", 2, 2, 0), siteOf("erdenet", 2, 2, 0)
	a.engineArgs = []string{"-slots", "200", "-tokenTime", "20ms"}
	b.engineArgs = a.engineArgs
	f := startFleet(t, a, b)
	f.configure()
	var urls []string
	for _, m := range f.hosts {
		urls = append(urls, m.callers())
		eventually(t, "answers at "+string(m.id), func() bool {
			return sendRequest(context.Background(), m.callers(), "/v1/chat/completions", chatBody("draft", "hello", 4), nil).outcome == event.Done
		})
		eventually(t, "the entry list is complete", func() bool { return len(fetchEntries(m.callers(), "draft")) == len(f.hosts) })
	}
	loads := []*streamLoad{startStreamLoad(urls[:2], 1), startStreamLoad(urls[2:], 2)}
	startedAt := time.Now()
	// The first streams last longer than a host would take to stop without waiting for them.
	for n, tokens := range []int{650, 100} {
		f.replaceHosts(tokens, f.hostsIn("uvs")[n], f.hostsIn("erdenet")[n])
		f.replaceTargets(f.targets[n].ID, f.targets[n+2].ID)
	}
	t.Logf("all hosts and targets replaced in %v", time.Since(startedAt))
	for _, c := range loads {
		c.stop(t)
	}
}

// streamLoad sends streams of two seconds, like callers that fetch the list of hosts from the hosts
// of one data centre.
type streamLoad struct {
	urls    []string
	seed    uint64
	stopped atomic.Bool
	done    chan struct{}
	total   load.Result
}

func startStreamLoad(urls []string, seed uint64) *streamLoad {
	c := &streamLoad{urls: urls, seed: seed, done: make(chan struct{})}
	go c.run()
	return c
}

func (c *streamLoad) run() {
	defer close(c.done)
	for !c.stopped.Load() {
		r := load.Run(context.Background(), load.Config{
			Entries: c.urls, FollowEntries: true, Key: "key-1", Profile: "draft", Rate: 20, Duration: 5 * time.Second,
			AnswerTokens: 100, Stream: true, Retry: true, Seed: c.seed,
		})
		c.seed += 2
		c.total.Requests += r.Requests
		c.total.Done += r.Done
		c.total.Wrong += r.Wrong
		c.total.Cut += r.Cut
		c.total.Errors += r.Errors
		c.total.Retries += r.Retries
	}
}

// stop ends the load and checks that every request got a complete answer.
func (c *streamLoad) stop(t *testing.T) {
	t.Helper()
	c.stopped.Store(true)
	<-c.done
	t.Logf("%s, retries %d", summarise(c.total), c.total.Retries)
	if c.total.Done != c.total.Requests {
		t.Errorf("%d of %d requests failed", c.total.Requests-c.total.Done, c.total.Requests)
	}
}

// replaceHosts stops hosts gracefully while streams run, waits until they exit and starts them
// again. A stream has the given number of tokens, at 20 ms each.
func (f *fleet) replaceHosts(tokens int, ms ...*fleetHost) {
	f.t.Helper()
	const streams = 5
	listed := time.Now()
	got := make(chan result, streams*len(ms))
	for _, m := range ms {
		for range streams {
			res, err := openRequest(context.Background(), m.callers(), "/v1/chat/completions", chatBody("draft", "a memory", tokens), nil)
			if err != nil {
				f.t.Fatal(err)
			}
			go func() { got <- readResult(res) }()
		}
		m.signal(f.t, syscall.SIGTERM)
	}
	f.checkStaleList(ms[0], listed)
	for range cap(got) {
		if ans := <-got; ans.outcome != event.Done || !strings.Contains(ans.body, "[DONE]") {
			f.t.Errorf("a stream at a stopping host was cut: %d %s", ans.status, ans.outcome)
		}
	}
	for _, m := range ms {
		eventually(f.t, string(m.id)+" ends", m.exited)
		if code := m.cmd.ProcessState.ExitCode(); code != 0 {
			f.t.Errorf("%s exited with code %d", m.id, code)
		}
		f.startHost(m)
	}
	for _, m := range f.hosts {
		eventually(f.t, "the entry list is complete", func() bool { return len(fetchEntries(m.callers(), "draft")) == len(f.hosts) })
	}
}

// checkStaleList sends a request to a stopping host, shortly before the expiry of a host list that
// was fetched before the stop. The host must refuse it and name other hosts.
func (f *fleet) checkStaleList(m *fleetHost, listed time.Time) {
	f.t.Helper()
	time.Sleep(time.Until(listed.Add(listTTL - 500*time.Millisecond)))
	ans := sendRequest(context.Background(), m.callers(), "/v1/chat/completions", chatBody("draft", "late", 4), nil)
	if ans.code != codes.Draining.ID || len(ans.entries) == 0 {
		f.t.Errorf("a caller with a stale list was answered %d %s with %v", ans.status, ans.code, ans.entries)
	}
}

// replaceTargets stops targets gracefully while streams run and starts them again.
func (f *fleet) replaceTargets(ids ...ident.TargetID) {
	f.t.Helper()
	for _, id := range ids {
		ran := f.engineLedger(id).Ran
		eventually(f.t, "streams run at "+string(id), func() bool { return f.engineLedger(id).Ran > ran })
		f.procs[id].signal(f.t, syscall.SIGTERM)
	}
	for _, id := range ids {
		old := f.procs[id]
		eventually(f.t, string(id)+" ends", old.exited)
		f.procs[id] = start(f.t, "verbdev", old.cmd.Args[1:]...)
		eventually(f.t, "the engine answers", reachable(f.url(id)+"/load"))
	}
	for _, id := range ids {
		eventually(f.t, "streams run again at "+string(id), func() bool { return f.engineLedger(id).Ran > 0 })
	}
}

// A second signal must stop the host at once, and its log must report the requests that this cut.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	t.Parallel()
	s := siteOf("uvs", 1, 1, 0)
	s.engineArgs = []string{"-tokenTime", "100ms"}
	f := startFleet(t, s)
	f.configure()
	m := f.hosts[0]
	eventually(t, "an answer", func() bool {
		return sendRequest(context.Background(), m.callers(), "/v1/chat/completions", chatBody("draft", "hello", 1), nil).outcome == event.Done
	})
	const streams = 3
	got := make(chan result, streams)
	for range streams {
		go func() {
			got <- sendRequest(context.Background(), m.callers(), "/v1/chat/completions", chatBody("draft", "a long memory", 300), nil)
		}()
	}
	eventually(t, "the streams run", func() bool { return f.status(m).Requests == streams })
	m.signal(t, syscall.SIGTERM)
	eventually(t, "the host drains", m.logged(`msg=draining`))
	if m.exited() {
		t.Fatal("the host exited with streams in flight")
	}
	m.signal(t, syscall.SIGTERM)
	eventually(t, "the host ends", m.exited)
	if code := m.cmd.ProcessState.ExitCode(); code == 0 {
		t.Error("the host exited with code 0 although requests were cut")
	}
	if !m.logged(`msg="stopped at once"`, "requestsCut=3")() {
		t.Errorf("the log does not report the cut requests:\n%s", m.output)
	}
	for range streams {
		if ans := <-got; strings.Contains(ans.body, "[DONE]") {
			t.Error("a cut stream has its end marker")
		}
	}
}
