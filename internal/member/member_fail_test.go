package member

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// A host that restarts during an outage of the platform can't serve.
func TestRestartedHostLearnsFromPeers(t *testing.T) {
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
		t.Errorf("targets after the restart: %s", d)
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

// A host takes its own pause for the silence of others.
func TestPausedHostKeepsItsPeersAndDropsItsOffers(t *testing.T) {
	w := newSimulation(2, 2, 2, 2)
	w.setRunning("dc1", 10)
	w.run(30*time.Second, nil)
	n := w.nodes[2]
	if n.tb.OfferLeft(w.now, "dc0", scribePool) == 0 {
		t.Fatal("no offer before the pause")
	}
	n.tb.Advance(w.now)
	now := w.now.Add(time.Minute)
	n.tb.Advance(now)
	if got := len(n.tb.Peers(now)); got != 1 {
		t.Errorf("%d live peers after the pause", got)
	}
	for _, x := range n.tb.Targets() {
		if x.Suspect(now) {
			t.Errorf("%s is suspect after the pause", x.ID)
		}
	}
	// The summary that waited through the pause comes first.
	c := n.tb.Centres(now)[0]
	s := c.Summary
	s.Seq += 100
	s.Age = 0
	n.tb.SummaryReceived(now, s)
	if left := n.tb.OfferLeft(now, "dc0", scribePool); left != 0 {
		t.Errorf("an offer of %d outlives the pause", left)
	}
}

// A watcher without the platform keeps the duty.
func TestBlindWatcherHandsOver(t *testing.T) {
	w := newSimulation(3, 1, 3, 1)
	w.run(5*time.Second, nil)
	old := w.nodes[0].tb.watcher(w.now)
	w.node(old).platformUnreachable = true
	w.run(2*time.Second, nil)
	for _, n := range w.nodes {
		if n.tb.watcher(w.now) == old {
			t.Errorf("%s leaves the duty with %s", n.id, old)
		}
	}
	for _, n := range w.nodes {
		n.platformUnreachable = true
	}
	w.run(3*time.Second, nil)
	if got := w.nodes[0].tb.watcher(w.now); got != old {
		t.Errorf("with all blind %s watches, want the first, %s", got, old)
	}
}

// The duties of a dead host stay with it.
func TestDutiesPassOnFromASilentHost(t *testing.T) {
	w := newSimulation(4, 2, 3, 1)
	w.run(5*time.Second, nil)
	for _, old := range []ident.EntryID{w.nodes[0].tb.watcher(w.now), w.nodes[0].tb.representative(w.now)} {
		w.node(old).partitioned = true
	}
	w.run(4*time.Second, nil)
	held := 0
	for _, n := range w.nodes[:3] {
		if !n.partitioned && n.tb.IsWatcher(w.now) {
			held++
		}
	}
	if held != 1 {
		t.Errorf("%d live hosts watch", held)
	}
}

// A drain notice is late, or reverted by an old list or report.
func TestLeavingIsToldAtOnceAndSticks(t *testing.T) {
	w := newSimulation(5, 1, 3, 2)
	w.run(5050*time.Millisecond, nil)
	w.nodes[0].tb.MarkDraining(w.now, "dc0-t0", 1)
	w.run(100*time.Millisecond, nil)
	for _, n := range w.nodes {
		n.tb.HostsRead(w.now, w.list)
		if x, _ := n.tb.Target("dc0-t0"); !x.Drains {
			t.Errorf("%s does not know", n.id)
		}
		if x, _ := n.tb.Target("dc0-t1"); x.Drains {
			t.Errorf("%s takes the wrong target for leaving", n.id)
		}
	}
	w.list.Version++
	w.list.Targets[0].Incarnation = 2
	w.engine("dc0-t0").Incarnation = 2
	w.run(3*time.Second, nil)
	if x, _ := w.nodes[2].tb.Target("dc0-t0"); x.Drains || x.Incarnation != 2 {
		t.Errorf("the next incarnation counts as %+v", x.Target)
	}
}

// A draining host is named to callers.
func TestLeavingHostIsNotNamed(t *testing.T) {
	w := newSimulation(6, 2, 2, 1)
	w.run(10*time.Second, nil)
	n := w.nodes[0]
	n.tb.SetDraining()
	all := func(event.Place) bool { return true }
	w.run(100*time.Millisecond, nil)
	if hs := w.nodes[1].tb.EntryHosts(w.now, all, 1); hs[0].ID != w.nodes[1].id {
		t.Errorf("the peer names %s first", hs[0].ID)
	}
	w.run(2*HeartbeatInterval, nil)
	for _, m := range w.nodes {
		for _, h := range m.tb.EntryHosts(w.now, all, 1) {
			if h.ID == n.id {
				t.Errorf("%s names %s", m.id, n.id)
			}
		}
		if m.place == n.place && m.tb.watcher(w.now) == n.id {
			t.Errorf("%s leaves the duty to watch with %s", m.id, n.id)
		}
	}
}

// A late load report replaces a newer one.
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

// A burst goes to the target that was idle in the last report.
func TestSendsSinceTheReportCount(t *testing.T) {
	w := newSimulation(8, 1, 2, 1)
	w.run(3*time.Second, nil)
	a, b := w.nodes[0].tb, w.nodes[1].tb
	for range 4 {
		a.Sent("dc0-t0", 100, 100)
	}
	x, _ := a.Target("dc0-t0")
	if got := x.Outstanding(w.now); got != 4 {
		t.Errorf("the sender counts %d", got)
	}
	w.run(1100*time.Millisecond, nil)
	y, _ := b.Target("dc0-t0")
	if got := y.Outstanding(w.now); got != 4 {
		t.Errorf("the peer counts %d", got)
	}
	w.setRunning("dc0", 4)
	w.run(5*time.Second, nil)
	if got := x.Outstanding(w.now); got != 4 {
		t.Errorf("the sender counts %d once they are reported, as if they were others'", got)
	}
	for range 3 {
		a.Sent("dc0-t0", 100, 100)
	}
	if got := x.Outstanding(w.now); got != 7 {
		t.Errorf("the sender counts %d after three more", got)
	}
	w.setRunning("dc0", 9)
	w.run(time.Second, nil)
	for range 4 {
		a.Sent("dc0-t0", 100, 100)
	}
	if got := x.Outstanding(w.now); got != 13 {
		t.Errorf("the sender counts %d with two of others", got)
	}
	for range 11 {
		a.Ended("dc0-t0", 100, 100, true)
	}
	w.setRunning("dc0", 0)
	w.run(3*time.Second, nil)
	if got := y.Outstanding(w.now); got != 0 {
		t.Errorf("the peer counts %d after the end", got)
	}
}

// Hosts that start together read the list at the same moment.
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
	// Ten watchers read every two seconds, and fifty others every 30 to 40.
	if rate := float64(w.reads-before) / 10; rate > 10 {
		t.Errorf("%v reads a second", rate)
	}
	if most > 20 {
		t.Errorf("%d reads in 50 ms", most)
	}
}

// The report of a peer clears failures of the link from this host.
func TestPeersReportsDoNotClearOwnFailures(t *testing.T) {
	w := newSimulation(10, 1, 2, 4)
	w.run(3*time.Second, nil)
	tb := w.nodes[0].tb
	for _, x := range tb.Targets() {
		for range 3 {
			tb.Ended(x.ID, 0, 0, false)
		}
	}
	d := event.Digest{Host: w.nodes[1].tb.Self(), Seq: 1000}
	for _, x := range tb.Targets() {
		d.Loads = append(d.Loads, event.Load{Target: x.ID, Incarnation: 1, Seq: 1000, Slots: 10})
	}
	tb.DigestReceived(w.now, d)
	for _, x := range tb.Targets() {
		if !x.Suspect(w.now) {
			t.Errorf("%s is trusted again", x.ID)
		}
	}
	tb.LoadReported(w.now, event.Load{Target: "dc0-t0", Incarnation: 1, Seq: 1001, Slots: 10})
	x, _ := tb.Target("dc0-t0")
	if x.Suspect(w.now) || x.Share(w.now) > 0.2 {
		t.Errorf("after its own answer: suspect %v, share %v", x.Suspect(w.now), x.Share(w.now))
	}
}

// A digest of a former start or an older list reverts newer state.
func TestFormerRunsAndListsAreNotBelieved(t *testing.T) {
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
		// The time goes by in steps, as for a host that is not paused.
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
