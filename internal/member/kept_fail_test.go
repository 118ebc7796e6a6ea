package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Summaries without pools extend an offer.
func TestOfferExpiresUnderSummariesWithoutPools(t *testing.T) {
	w := newSimulation(21, 2, 1, 4)
	w.setRunning("dc1", 10)
	w.run(30*time.Second, nil)
	b := w.nodes[1].tb
	if b.OfferLeft(w.now, "dc0", scribePool) == 0 {
		t.Fatal("no offer to begin with")
	}
	s := b.Centres(w.now)[0].Summary
	w.nodes[0].partitioned = true
	for range 8 {
		w.run(time.Second, nil)
		s.Seq++
		s.Age, s.Pools, s.PoolsKept = 0, nil, true
		b.SummaryReceived(w.now, s)
	}
	if left := b.OfferLeft(w.now, "dc0", scribePool); left != 0 {
		t.Errorf("%d may be sent on an offer that has expired", left)
	}
}

// The work at one target is counted at another with the same key.
func TestTargetsOfOneKeyGoByTheirIDs(t *testing.T) {
	first := make(map[event.TargetKey]ident.TargetID)
	var one, two ident.TargetID
	for n := 0; one == ""; n++ {
		two = ident.TargetID(fmt.Sprint("engine-", n))
		one = first[keyOf(two)]
		first[keyOf(two)] = two
	}
	w := newSimulation(24, 1, 2, 0)
	for _, id := range []ident.TargetID{one, two} {
		tg := event.Target{ID: id, Incarnation: 1, Kind: event.Engine, Place: w.nodes[0].place}
		w.targets = append(w.targets, &engine{Target: tg, slots: 10})
		w.list.Targets = append(w.list.Targets, tg)
	}
	w.run(3*time.Second, nil)
	w.nodes[0].tb.Sent(one, 10, 10)
	w.nodes[0].tb.Sent(one, 10, 10)
	w.nodes[0].tb.Sent(two, 10, 10)
	w.run(3*time.Second, nil)
	var got []int
	for _, id := range []ident.TargetID{one, two} {
		tg, _ := w.nodes[1].tb.Target(id)
		got = append(got, tg.PeerSent)
	}
	if d := cmp.Diff([]int{2, 1}, got); d != "" {
		t.Errorf("work of peers (-want +got):\n%s", d)
	}
}

// The work of peers at a target that becomes known later is lost.
func TestWorkAtATargetNotYetKnownCounts(t *testing.T) {
	w := newSimulation(25, 1, 2, 0)
	tb, peer := w.nodes[0].tb, w.nodes[1].tb.Self()
	d := event.Digest{Host: peer, Seq: 1, Use: []event.TargetUse{{Key: keyOf("late"), Running: 3}}}
	tb.DigestReceived(w.now, d)
	late := event.Target{ID: "late", Incarnation: 1, Kind: event.Engine, Place: peer.Place}
	tb.HostsRead(w.now, event.HostsRead{Version: 1, Hosts: []event.Host{peer}, Targets: []event.Target{late}})
	tg, _ := tb.Target("late")
	if tg.PeerSent != 3 {
		t.Errorf("%d count, 3 run", tg.PeerSent)
	}
	d.Seq, d.Use = 2, nil
	tb.DigestReceived(w.now, d)
	if tg.PeerSent != 0 {
		t.Errorf("%d count, none run", tg.PeerSent)
	}
}

// A summary without hosts makes a data centre look empty.
func TestPartsLeftOutAreNotNone(t *testing.T) {
	w := newSimulation(22, 2, 1, 1)
	tb := w.nodes[0].tb
	far := w.nodes[1].tb.Self()
	tb.PeerUp(w.now, far)
	tb.SummaryReceived(w.now, event.Summary{
		From: far.ID, Place: far.Place, Incarnation: far.Incarnation, Seq: 1,
		HostsKept: true, PoolsKept: true, AccountsKept: true, HostsHash: 7,
	})
	c := tb.Centres(w.now)[0]
	if d := cmp.Diff([]event.Host{far}, c.Hosts); d != "" {
		t.Errorf("hosts (-want +got):\n%s", d)
	}
	if d := cmp.Diff(tb.outdatedCentres(), []ident.DataCentre{"dc1"}); d != "" {
		t.Errorf("lacking (-want +got):\n%s", d)
	}
	if s := c.summaryWithAge(w.now); !s.HostsKept || !s.PoolsKept {
		t.Error("parts that are not known are passed on as none")
	}
}

// A new receiver of summaries misses parts that were sent to another one.
func TestNewReceiverIsToldAll(t *testing.T) {
	w := newSimulation(23, 2, 1, 1)
	w.run(20*time.Second, nil)
	tb := w.nodes[0].tb
	c := tb.Centres(w.now)[0]
	full := func(to event.Host) bool {
		s := tb.summary(w.now)
		return tb.omitKnownParts(w.now, c, to, &s, false) && !s.HostsKept && !s.PoolsKept && !s.AccountsKept
	}
	far := w.nodes[1].tb.Self()
	w.now = w.now.Add(minSummaryGap)
	if full(far) {
		t.Error("a receiver that has all gets all")
	}
	next := far
	next.Incarnation++
	w.now = w.now.Add(minSummaryGap)
	if !full(next) {
		t.Error("a receiver that restarted does not get all")
	}
	other := next
	other.ID = "dc1-x"
	w.now = w.now.Add(minSummaryGap)
	if !full(other) {
		t.Error("another receiver does not get all")
	}
	w.now = w.now.Add(minSummaryGap)
	newer := other
	newer.Incarnation++
	tb.PeerUp(w.now, newer)
	if !full(other) {
		t.Error("a receiver whose link shows a restart does not get all")
	}
	tb.resetLastSent()
	if !full(other) {
		t.Error("after a loss of the duty the receiver does not get all")
	}
}

// A short report is completed from that of a former start.
func TestShortReportOfANewIncarnationIsNotFilledFromTheOld(t *testing.T) {
	w := newSimulation(26, 1, 2, 1)
	w.run(5*time.Second, nil)
	tb := w.nodes[0].tb
	tg := tb.Targets()[0]
	peer := w.nodes[1].tb.Self()
	ld := event.Load{Key: keyOf(tg.ID), Incarnation: tg.Incarnation + 1, Seq: 1, Running: 1, Kept: true}
	tb.DigestReceived(w.now, event.Digest{Host: peer, Seq: 1 << 20, Loads: []event.Load{ld}})
	if tg.Load.Incarnation > 1 {
		t.Errorf("%d slots count as those of incarnation %d", tg.Load.Slots, tg.Load.Incarnation)
	}
	ld.Kept, ld.Slots = false, 4
	tb.DigestReceived(w.now, event.Digest{Host: peer, Seq: 1<<20 + 1, Loads: []event.Load{ld}})
	if tg.Load.Slots != 4 {
		t.Errorf("%d slots, the whole report says 4", tg.Load.Slots)
	}
}

// All representatives send to the same host after a partition.
func TestSpeakersTryDifferentHostsOfACutOffDataCentre(t *testing.T) {
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
			t.Errorf("%d of 40 speakers try %s", n, id)
		}
	}
}
