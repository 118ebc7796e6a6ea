package member

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a host that can't serve after a restart during an outage of the platform: it must
// get its state from its peers.
func TestRestartedHostGetsStateFromPeers(t *testing.T) {
	w := newSimulation(1, 2, 3, 4)
	w.run(10*time.Second, nil)
	for _, n := range w.nodes {
		n.platformUnreachable = true
	}
	n := w.nodes[1]
	want := ids(n.tb.Targets())
	w.restart(n)
	w.run(6*time.Second, nil)
	if d := cmp.Diff(want, ids(n.tb.Targets())); d != "" {
		t.Errorf("targets after the restart (-want +got):\n%s", d)
	}
	for _, x := range n.tb.Targets() {
		if !x.HasLoad || x.Suspect(w.now) {
			t.Errorf("%s has load %v, suspect %v", x.ID, x.HasLoad, x.Suspect(w.now))
		}
	}
	if cs := n.tb.Centres(w.now); len(cs) != 1 || cs[0].CutOff(w.now) {
		t.Errorf("other data centres after the restart: %+v", cs)
	}
}

func ids(ts []*Target) []ident.TargetID {
	var out []ident.TargetID
	for _, t := range ts {
		out = append(out, t.ID)
	}
	return out
}

// Guards against a host that mistakes its own pause for silence of the other hosts, and against
// offers that outlive the pause.
func TestPausedHostKeepsItsPeersAndDropsItsOffers(t *testing.T) {
	w := newSimulation(2, 2, 2, 2)
	w.setRunning("dc1", 10)
	w.run(30*time.Second, nil)
	n := w.nodes[2]
	if n.tb.RemainingOffer(w.now, "dc0", scribePool) == 0 {
		t.Fatal("no offer before the pause")
	}
	n.tb.Advance(w.now)
	now := w.now.Add(time.Minute)
	n.tb.Advance(now)
	if got := len(n.tb.Peers(now)); got != 1 {
		t.Errorf("%d live peers after the pause, want 1", got)
	}
	for _, x := range n.tb.Targets() {
		if x.Suspect(now) {
			t.Errorf("%s is suspect after the pause", x.ID)
		}
	}
	// The summary that waited in the socket during the pause arrives first.
	c := n.tb.Centres(now)[0]
	s := c.Summary
	s.Seq += 100
	s.Age = 0
	n.tb.SummaryReceived(now, s)
	if remaining := n.tb.RemainingOffer(now, "dc0", scribePool); remaining != 0 {
		t.Errorf("an offer of %d outlives the pause", remaining)
	}
}

// Guards against a watcher that keeps the duty although it can't reach the platform, so that its
// data centre misses changes of the list.
func TestWatcherWithoutPlatformHandsOver(t *testing.T) {
	w := newSimulation(3, 1, 3, 1)
	w.run(5*time.Second, nil)
	old := w.nodes[0].tb.watcher(w.now)
	w.node(old).platformUnreachable = true
	w.run(2*time.Second, nil)
	for _, n := range w.nodes {
		if n.tb.watcher(w.now) == old {
			t.Errorf("%s still considers %s the watcher", n.id, old)
		}
	}
	for _, n := range w.nodes {
		n.platformUnreachable = true
	}
	w.run(3*time.Second, nil)
	if got := w.nodes[0].tb.watcher(w.now); got != old {
		t.Errorf("%s watches while no host reaches the platform, want the host that ranks first, %s", got, old)
	}
}

// Guards against duties that stay with a dead host.
func TestDutiesPassOnFromASilentHost(t *testing.T) {
	w := newSimulation(4, 2, 3, 1)
	w.run(5*time.Second, nil)
	for _, old := range []ident.EntryID{w.nodes[0].tb.watcher(w.now), w.nodes[0].tb.representative(w.now)} {
		w.node(old).partitioned = true
	}
	w.run(4*time.Second, nil)
	watchers := 0
	for _, n := range w.nodes[:3] {
		if !n.partitioned && n.tb.IsWatcher(w.now) {
			watchers++
		}
	}
	if watchers != 1 {
		t.Errorf("%d live hosts watch, want 1", watchers)
	}
}

// Guards against a drain notice that arrives late, or that an older list or report reverts.
func TestDrainNoticeIsSentAtOnceAndPersists(t *testing.T) {
	w := newSimulation(5, 1, 3, 2)
	w.run(5050*time.Millisecond, nil)
	w.nodes[0].tb.MarkDraining(w.now, "dc0-t0", 1)
	w.run(100*time.Millisecond, nil)
	for _, n := range w.nodes {
		n.tb.HostsRead(w.now, w.list)
		if x, _ := n.tb.Target("dc0-t0"); !x.KnownDraining {
			t.Errorf("%s does not know that the target drains", n.id)
		}
		if x, _ := n.tb.Target("dc0-t1"); x.KnownDraining {
			t.Errorf("%s considers another target draining", n.id)
		}
	}
	w.list.Version++
	w.list.Targets[0].Incarnation = 2
	w.engine("dc0-t0").Incarnation = 2
	w.run(3*time.Second, nil)
	if x, _ := w.nodes[2].tb.Target("dc0-t0"); x.KnownDraining || x.Incarnation != 2 {
		t.Errorf("the next incarnation is still draining or unknown: %+v", x.Target)
	}
}

// Guards against callers that are directed to a draining host.
func TestDrainingHostIsNotNamed(t *testing.T) {
	w := newSimulation(6, 2, 2, 1)
	w.run(10*time.Second, nil)
	n := w.nodes[0]
	n.tb.SetDraining()
	all := func(event.Place) bool { return true }
	w.run(100*time.Millisecond, nil)
	if hs := w.nodes[1].tb.EntryHosts(w.now, all, 1); hs[0].ID != w.nodes[1].id {
		t.Errorf("the peer names the draining host %s first", hs[0].ID)
	}
	w.run(2*HeartbeatInterval, nil)
	for _, m := range w.nodes {
		for _, h := range m.tb.EntryHosts(w.now, all, 1) {
			if h.ID == n.id {
				t.Errorf("%s names the draining host %s", m.id, n.id)
			}
		}
		if m.place == n.place && m.tb.watcher(w.now) == n.id {
			t.Errorf("%s still considers the draining host %s the watcher", m.id, n.id)
		}
	}
}

// Guards against a late load report that replaces a newer one.
func TestOldReportsAreIgnored(t *testing.T) {
	w := newSimulation(7, 1, 1, 1)
	w.run(2*time.Second, nil)
	tb := w.nodes[0].tb
	report := func(inc ident.Incarnation, seq uint64, running int) int {
		tb.LoadReported(w.now, event.Load{Target: "dc0-t0", Incarnation: inc, Seq: seq, Slots: 10, Running: running})
		x, _ := tb.Target("dc0-t0")
		return x.Outstanding(w.now)
	}
	var got []int
	got = append(got, report(1, 1000, 9), report(1, 999, 0), report(2, 1, 5), report(1, 2000, 0))
	if d := cmp.Diff([]int{9, 9, 5, 5}, got); d != "" {
		t.Error(d)
	}
}

// Guards against a burst of requests that all go to the target that was idle in the last report.
func TestSendsSinceTheReportCount(t *testing.T) {
	w := newSimulation(8, 1, 2, 1)
	w.run(3*time.Second, nil)
	a, b := w.nodes[0].tb, w.nodes[1].tb
	for range 4 {
		a.RequestSent("dc0-t0", 100, 100)
	}
	x, _ := a.Target("dc0-t0")
	if got := x.Outstanding(w.now); got != 4 {
		t.Errorf("the sender counts %d requests, want 4", got)
	}
	w.run(1100*time.Millisecond, nil)
	y, _ := b.Target("dc0-t0")
	if got := y.Outstanding(w.now); got != 4 {
		t.Errorf("the peer counts %d requests, want 4", got)
	}
	w.setRunning("dc0", 4)
	w.run(5*time.Second, nil)
	if got := x.Outstanding(w.now); got != 4 {
		t.Errorf("the sender counts %d requests after a report that includes its own 4", got)
	}
	for range 3 {
		a.RequestSent("dc0-t0", 100, 100)
	}
	if got := x.Outstanding(w.now); got != 7 {
		t.Errorf("the sender counts %d requests after three more, want 7", got)
	}
	w.setRunning("dc0", 9)
	w.run(time.Second, nil)
	for range 4 {
		a.RequestSent("dc0-t0", 100, 100)
	}
	if got := x.Outstanding(w.now); got != 13 {
		t.Errorf("the sender counts %d requests with two of other hosts, want 13", got)
	}
	for range 11 {
		a.RequestEnded("dc0-t0", 100, 100, true)
	}
	w.setRunning("dc0", 0)
	w.run(3*time.Second, nil)
	if got := y.Outstanding(w.now); got != 0 {
		t.Errorf("the peer counts %d requests after all have ended", got)
	}
}

// Guards against load peaks on the platform from hosts that start together and read the list at the
// same moment.
func TestReadsOfTheListAreSpread(t *testing.T) {
	w := newSimulation(9, 10, 6, 0)
	before, most := 0, 0
	w.run(300*time.Millisecond, func() {
		most = max(most, w.reads-before)
		before = w.reads
	})
	if w.reads != len(w.nodes) || most > len(w.nodes)/2 {
		t.Errorf("%d hosts of %d have read the list, %d at once", w.reads, len(w.nodes), most)
	}
	w.run(60*time.Second, nil)
	before, most = w.reads, 0
	for range 200 {
		at := w.reads
		w.run(50*time.Millisecond, nil)
		most = max(most, w.reads-at)
	}
	// Ten watchers read every two seconds, and the fifty other hosts every 30 to 40 s.
	if rate := float64(w.reads-before) / 10; rate > 10 {
		t.Errorf("%v reads a second", rate)
	}
	if most > 20 {
		t.Errorf("%d reads in 50 ms", most)
	}
}

// Guards against a peer's report that clears the failures of the link from this host to the target.
func TestPeersReportsDoNotClearOwnFailures(t *testing.T) {
	w := newSimulation(10, 1, 2, 4)
	w.run(3*time.Second, nil)
	tb := w.nodes[0].tb
	for _, x := range tb.Targets() {
		for range 3 {
			tb.RequestEnded(x.ID, 0, 0, false)
		}
	}
	d := event.Digest{Host: w.nodes[1].tb.Self(), Seq: 1000}
	for _, x := range tb.Targets() {
		d.Loads = append(d.Loads, event.Load{Target: x.ID, Incarnation: 1, Seq: 1000, Slots: 10})
	}
	tb.DigestReceived(w.now, d)
	for _, x := range tb.Targets() {
		if !x.Suspect(w.now) {
			t.Errorf("%s is no longer suspect after a peer's report", x.ID)
		}
	}
	tb.LoadReported(w.now, event.Load{Target: "dc0-t0", Incarnation: 1, Seq: 1001, Slots: 10})
	x, _ := tb.Target("dc0-t0")
	if x.Suspect(w.now) || x.Share(w.now) > 0.2 {
		t.Errorf("after an answer to this host: suspect %v, share %v", x.Suspect(w.now), x.Share(w.now))
	}
}

// Guards against a digest of a previous incarnation, or an older list, that reverts newer state.
func TestPreviousIncarnationsAndListsAreIgnored(t *testing.T) {
	tb := New(event.Host{ID: "e0", Incarnation: 1, Place: event.Place{DataCentre: "dc0"}})
	digest := func(now ident.Time, inc ident.Incarnation) ident.Incarnation {
		h := event.Host{ID: "e1", Incarnation: inc, Place: event.Place{DataCentre: "dc0"}}
		tb.DigestReceived(now, event.Digest{Host: h, Seq: uint64(now)})
		got, _ := tb.Host("e1")
		return got.Incarnation
	}
	list := func(now ident.Time, version uint64) string {
		url := []string{"", "old", "new"}[version]
		tb.HostsRead(now, event.HostsRead{Version: version, Targets: []event.Target{{ID: "t0", Incarnation: 1, Place: tb.self.Place, URL: url}}})
		x, _ := tb.Target("t0")
		return x.URL
	}
	var incs []ident.Incarnation
	var urls []string
	for _, step := range []struct {
		at  time.Duration
		old bool
	}{{time.Second, false}, {2 * time.Second, true}, {70 * time.Second, true}} {
		// Time advances in steps of HeartbeatInterval: a longer step would count as a pause.
		for tb.lastAdvance < ident.Time(step.at)-1 {
			tb.Advance(min(tb.lastAdvance.Add(HeartbeatInterval), ident.Time(step.at)-1))
		}
		n := 2
		if step.old {
			n = 1
		}
		incs = append(incs, digest(ident.Time(step.at), ident.Incarnation(n)))
		urls = append(urls, list(ident.Time(step.at), uint64(n)))
	}
	if d := cmp.Diff([]ident.Incarnation{2, 2, 1}, incs); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"new", "new", "old"}, urls); d != "" {
		t.Error(d)
	}
}

// Guards against probes of targets that have gone, by each host every second until the end of its
// process.
func TestRemovedTargetsAreNotProbed(t *testing.T) {
	now := ident.Time(time.Second)
	tb := New(newHost("h", "west-a", "west"))
	target := event.Target{ID: "t", Incarnation: 1, Kind: event.Service, Service: "writers", Capacity: 8, Place: tb.self.Place}
	tb.HostsRead(now, event.HostsRead{Version: 1, Complete: true, Targets: []event.Target{target}})
	probes := func() int {
		n := 0
		for range 5 {
			now = now.Add(HeartbeatInterval)
			for _, eff := range tb.Tick(now, LocalState{}) {
				if _, ok := eff.(event.PollLoad); ok {
					n++
				}
			}
		}
		return n
	}
	for range 5 {
		tb.LoadFailed(now, target.ID, target.Incarnation)
	}
	if n := probes(); n == 0 {
		t.Fatal("a suspect target is not probed")
	}
	tb.HostsRead(now, event.HostsRead{Version: 2, Complete: true})
	if n := probes(); n > 0 {
		t.Errorf("a removed target is probed %d times", n)
	}
	tb.HostsRead(now, event.HostsRead{Version: 3, Complete: true, Targets: []event.Target{target}})
	if n := probes(); n == 0 {
		t.Error("a target that is listed again is not probed")
	}
}
