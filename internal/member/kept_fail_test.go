package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// The summary that withdraws an offer is lost, and summaries that leave the
// pools out go on coming. If these made the offer look new, requests would go
// on crossing to a data centre that has no room for them.
func TestOfferExpiresUnderSummariesWithoutPools(t *testing.T) {
	w := newWorld(21, 2, 1, 4)
	w.busy("dc1", 10)
	w.run(30*time.Second, nil)
	b := w.nodes[1].tb
	if b.OfferLeft(w.now, "dc0", scribe) == 0 {
		t.Fatal("no offer to begin with")
	}
	s := b.Centres(w.now)[0].Summary
	w.nodes[0].cut = true
	for range 8 {
		w.run(time.Second, nil)
		s.Seq++
		s.Age, s.Pools, s.PoolsKept = 0, nil, true
		b.SummaryReceived(w.now, s)
	}
	if left := b.OfferLeft(w.now, "dc0", scribe); left != 0 {
		t.Errorf("%d may be sent on an offer that has expired", left)
	}
}

// Two targets have the same key. If a host told of the work at one by it, peers
// would count the work at the other, and send it nothing while it is idle.
func TestTargetsOfOneKeyGoByTheirIDs(t *testing.T) {
	first := make(map[event.TargetKey]ident.TargetID)
	var one, two ident.TargetID
	for n := 0; one == ""; n++ {
		two = ident.TargetID(fmt.Sprint("engine-", n))
		one = first[keyOf(two)]
		first[keyOf(two)] = two
	}
	w := newWorld(24, 1, 2, 0)
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

// A digest tells of work at a target that this host learns of later. Were it
// lost, the target would look idle and draw the work of every host that starts.
func TestWorkAtATargetNotYetKnownCounts(t *testing.T) {
	w := newWorld(25, 1, 2, 0)
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

// A data centre is heard of first by a summary that leaves its parts out: the
// one before was lost. It must count as one whose hosts are not known, not as
// one that has none, and peers must be asked for them.
func TestPartsLeftOutAreNotNone(t *testing.T) {
	w := newWorld(22, 2, 1, 1)
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
	if d := cmp.Diff(tb.lacking(), []ident.DataCentre{"dc1"}); d != "" {
		t.Errorf("lacking (-want +got):\n%s", d)
	}
	if s := c.aged(w.now); !s.HostsKept || !s.PoolsKept {
		t.Error("parts that are not known are passed on as none")
	}
}

// The host that summaries go to restarts, or another takes its place. It holds
// nothing of what was told, and must be told all with the next summary, not
// only what has changed since.
func TestNewReceiverIsToldAll(t *testing.T) {
	w := newWorld(23, 2, 1, 1)
	w.run(20*time.Second, nil)
	tb := w.nodes[0].tb
	c := tb.Centres(w.now)[0]
	full := func(to event.Host) bool {
		s := tb.summary(w.now)
		return tb.leaveOut(w.now, c, to, &s, false) && !s.HostsKept && !s.PoolsKept && !s.AccountsKept
	}
	far := w.nodes[1].tb.Self()
	w.now = w.now.Add(minGap)
	if full(far) {
		t.Error("a receiver that has all is told all")
	}
	next := far
	next.Incarnation++
	w.now = w.now.Add(minGap)
	if !full(next) {
		t.Error("a receiver that restarted is not told all")
	}
	other := next
	other.ID = "dc1-x"
	w.now = w.now.Add(minGap)
	if !full(other) {
		t.Error("another receiver is not told all")
	}
	w.now = w.now.Add(minGap)
	newer := other
	newer.Incarnation++
	tb.PeerUp(w.now, newer)
	if !full(other) {
		t.Error("a receiver whose link tells of a restart is not told all")
	}
	tb.forgetSent()
	if !full(other) {
		t.Error("after a loss of the duty the receiver is not told all")
	}
}

// A target restarts with other slots, and the whole report of its new life is
// lost. The next one leaves the slots out. Taken with those of the old life it
// would draw more requests than there are slots.
func TestShortReportOfANewIncarnationIsNotFilledFromTheOld(t *testing.T) {
	w := newWorld(26, 1, 2, 1)
	w.run(5*time.Second, nil)
	tb := w.nodes[0].tb
	tg := tb.Targets()[0]
	peer := w.nodes[1].tb.Self()
	ld := event.Load{Key: keyOf(tg.ID), Incarnation: tg.Incarnation + 1, Seq: 1, Running: 1, Kept: true}
	tb.DigestReceived(w.now, event.Digest{Host: peer, Seq: 1 << 20, Loads: []event.Load{ld}})
	if tg.Load.Incarnation > 1 {
		t.Errorf("%d slots are taken for those of incarnation %d", tg.Load.Slots, tg.Load.Incarnation)
	}
	ld.Kept, ld.Slots = false, 4
	tb.DigestReceived(w.now, event.Digest{Host: peer, Seq: 1<<20 + 1, Loads: []event.Load{ld}})
	if tg.Load.Slots != 4 {
		t.Errorf("%d slots, the whole report tells 4", tg.Load.Slots)
	}
}

// A region was cut off, and the speakers of many data centres try the hosts of
// one there in turn. If all tried the same host at a time, that host alone would
// pass all their summaries on in the second after the heal.
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
