package member

import (
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
		return tb.leaveOut(w.now, c, to, &s) && !s.HostsKept && !s.PoolsKept && !s.AccountsKept
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
	tb.forgetTold()
	if !full(other) {
		t.Error("after a loss of the duty the receiver is not told all")
	}
}
