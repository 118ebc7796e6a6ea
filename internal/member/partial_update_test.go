package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against summaries without pools that extend the lifetime of an offer.
func TestOfferExpiresUnderSummariesWithoutPools(t *testing.T) {
	w := newSimulation(21, 2, 1, 4)
	w.setRunning("dc1", 10)
	w.run(30*time.Second, nil)
	b := w.nodes[1].tb
	if b.RemainingOffer(w.now, "dc0", scribePool) == 0 {
		t.Fatal("no offer before the link is cut")
	}
	s := b.Centres(w.now)[0].Summary
	w.nodes[0].partitioned = true
	for range 8 {
		w.run(time.Second, nil)
		s.Seq++
		s.Age, s.Pools, s.PoolsOmitted = 0, nil, true
		b.SummaryReceived(w.now, s)
	}
	if remaining := b.RemainingOffer(w.now, "dc0", scribePool); remaining != 0 {
		t.Errorf("%d requests may be forwarded on an expired offer", remaining)
	}
}

// Guards against requests at one target that are counted at another with the same key.
func TestTargetsWithTheSameKeyAreNamedByID(t *testing.T) {
	first := make(map[event.TargetKey]ident.TargetID)
	var one, two ident.TargetID
	for n := 0; one == ""; n++ {
		two = ident.TargetID(fmt.Sprint("engine-", n))
		one = first[targetKey(two)]
		first[targetKey(two)] = two
	}
	w := newSimulation(24, 1, 2, 0)
	for _, id := range []ident.TargetID{one, two} {
		tg := event.Target{ID: id, Incarnation: 1, Kind: event.Engine, Place: w.nodes[0].place}
		w.targets = append(w.targets, &engine{Target: tg, slots: 10})
		w.list.Targets = append(w.list.Targets, tg)
	}
	w.run(3*time.Second, nil)
	w.nodes[0].tb.RequestSent(one, 10, 10)
	w.nodes[0].tb.RequestSent(one, 10, 10)
	w.nodes[0].tb.RequestSent(two, 10, 10)
	w.run(3*time.Second, nil)
	var got []int
	for _, id := range []ident.TargetID{one, two} {
		tg, _ := w.nodes[1].tb.Target(id)
		got = append(got, tg.PeerInFlight)
	}
	if d := cmp.Diff([]int{2, 1}, got); d != "" {
		t.Errorf("requests of peers (-want +got):\n%s", d)
	}
}

// Guards against losing the requests of peers at a target that this host discovers only later.
func TestPeerRequestsAtUnknownTargetAreCounted(t *testing.T) {
	w := newSimulation(25, 1, 2, 0)
	tb, peer := w.nodes[0].tb, w.nodes[1].tb.Self()
	d := event.Digest{Host: peer, Seq: 1, Use: []event.TargetUse{{Key: targetKey("late"), Running: 3}}}
	tb.DigestReceived(w.now, d)
	late := event.Target{ID: "late", Incarnation: 1, Kind: event.Engine, Place: peer.Place}
	tb.HostsRead(w.now, event.HostsRead{Version: 1, Hosts: []event.Host{peer}, Targets: []event.Target{late}})
	tg, _ := tb.Target("late")
	if tg.PeerInFlight != 3 {
		t.Errorf("%d requests of peers are counted, want 3", tg.PeerInFlight)
	}
	d.Seq, d.Use = 2, nil
	tb.DigestReceived(w.now, d)
	if tg.PeerInFlight != 0 {
		t.Errorf("%d requests of peers are counted, want none", tg.PeerInFlight)
	}
}

// Guards against a summary that omits the hosts and thereby makes a data centre look empty.
func TestOmittedPartsAreNotEmpty(t *testing.T) {
	w := newSimulation(22, 2, 1, 1)
	tb := w.nodes[0].tb
	far := w.nodes[1].tb.Self()
	tb.PeerUp(w.now, far)
	tb.SummaryReceived(w.now, event.Summary{
		From: far.ID, Place: far.Place, Incarnation: far.Incarnation, Seq: 1,
		HostsOmitted: true, PoolsOmitted: true, AccountsOmitted: true, HostsHash: 7,
	})
	c := tb.Centres(w.now)[0]
	if d := cmp.Diff([]event.Host{far}, c.Hosts); d != "" {
		t.Errorf("hosts (-want +got):\n%s", d)
	}
	if d := cmp.Diff(tb.staleCentres(), []ident.DataCentre{"dc1"}); d != "" {
		t.Errorf("data centres with stale hosts (-want +got):\n%s", d)
	}
	if s := c.summaryWithAge(w.now); !s.HostsOmitted || !s.PoolsOmitted {
		t.Error("unknown parts are passed on as empty ones")
	}
}

// Guards against a new recipient of summaries that misses parts sent only to the previous
// recipient.
func TestNewRecipientGetsFullSummary(t *testing.T) {
	w := newSimulation(23, 2, 1, 1)
	w.run(20*time.Second, nil)
	tb := w.nodes[0].tb
	c := tb.Centres(w.now)[0]
	getsFull := func(to event.Host) bool {
		s := tb.summary(w.now)
		return tb.omitKnownParts(w.now, c, to, &s, false) && !s.HostsOmitted && !s.PoolsOmitted && !s.AccountsOmitted
	}
	far := w.nodes[1].tb.Self()
	w.now = w.now.Add(minSummaryGap)
	if getsFull(far) {
		t.Error("a recipient that is up to date gets a full summary")
	}
	next := far
	next.Incarnation++
	w.now = w.now.Add(minSummaryGap)
	if !getsFull(next) {
		t.Error("a restarted recipient does not get a full summary")
	}
	other := next
	other.ID = "dc1-x"
	w.now = w.now.Add(minSummaryGap)
	if !getsFull(other) {
		t.Error("a new recipient does not get a full summary")
	}
	w.now = w.now.Add(minSummaryGap)
	newer := other
	newer.Incarnation++
	tb.PeerUp(w.now, newer)
	if !getsFull(other) {
		t.Error("a recipient whose link shows a restart does not get a full summary")
	}
	tb.resetLastSent()
	if !getsFull(other) {
		t.Error("the recipient does not get a full summary after the duty has moved")
	}
}

// Guards against a shortened report of a new incarnation that is completed with fields of the
// previous one.
func TestShortReportOfNewIncarnationIsNotCompletedFromPrevious(t *testing.T) {
	w := newSimulation(26, 1, 2, 1)
	w.run(5*time.Second, nil)
	tb := w.nodes[0].tb
	tg := tb.Targets()[0]
	peer := w.nodes[1].tb.Self()
	ld := event.Load{Key: targetKey(tg.ID), Incarnation: tg.Incarnation + 1, Seq: 1, Running: 1, StaticOmitted: true}
	tb.DigestReceived(w.now, event.Digest{Host: peer, Seq: 1 << 20, Loads: []event.Load{ld}})
	if tg.Load.Incarnation > 1 {
		t.Errorf("%d slots of the previous incarnation are attributed to incarnation %d", tg.Load.Slots, tg.Load.Incarnation)
	}
	ld.StaticOmitted, ld.Slots = false, 4
	tb.DigestReceived(w.now, event.Digest{Host: peer, Seq: 1<<20 + 1, Loads: []event.Load{ld}})
	if tg.Load.Slots != 4 {
		t.Errorf("%d slots, want 4 as in the full report", tg.Load.Slots)
	}
}

// Guards against representatives of many data centres that all send to the same host after a
// partition.
func TestRepresentativesTryDifferentHostsOfACutOffDataCentre(t *testing.T) {
	far := event.Place{DataCentre: "far", Region: "far"}
	list := event.HostsRead{Version: 1}
	for n := range 8 {
		list.Hosts = append(list.Hosts, event.Host{ID: ident.EntryID(fmt.Sprint("far-", n)), Incarnation: 1, Place: far})
	}
	tried := make(map[ident.EntryID]int)
	for n := range 40 {
		place := event.Place{DataCentre: ident.DataCentre(fmt.Sprint("dc", n)), Region: "near"}
		tb := New(event.Host{ID: ident.EntryID(fmt.Sprint("e", n)), Incarnation: 1, Place: place})
		tb.Advance(1)
		tb.HostsRead(1, list)
		h, _ := tb.recipient(1, tb.Centres(1)[0])
		tried[h.ID]++
	}
	for id, n := range tried {
		if n > 20 {
			t.Errorf("%d of 40 representatives try %s", n, id)
		}
	}
}
