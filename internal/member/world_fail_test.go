package member

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// State of hosts diverges under pauses, restarts, partitions and lost messages.
func TestSimulationKeepsInvariants(t *testing.T) {
	rapid.Check(t, runSimulation)
}

// Worlds that failed once.
func TestSimulationKeepsInvariantsOnFormerSeeds(t *testing.T) {
	seed, checks := flag.Lookup("rapid.seed").Value.String(), flag.Lookup("rapid.checks").Value.String()
	defer func() {
		_ = flag.Set("rapid.seed", seed)
		_ = flag.Set("rapid.checks", checks)
	}()
	_ = flag.Set("rapid.checks", "1")
	for _, former := range []string{"277", "58998", "22796"} {
		t.Run(former, func(t *testing.T) {
			_ = flag.Set("rapid.seed", former)
			rapid.Check(t, runSimulation)
		})
	}
}

func runSimulation(rt *rapid.T) {
	w := newSimulation(rapid.Int64().Draw(rt, "seed"), 3, rapid.IntRange(1, 3).Draw(rt, "hosts"), 3)
	w.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss")
	w.maxDelay = rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}).Draw(rt, "delay")
	check := func() { w.check(rt) }
	for range rapid.IntRange(5, 15).Draw(rt, "steps") {
		w.injectFault(rt)
		w.run(time.Duration(rapid.IntRange(1, 80).Draw(rt, "pause"))*100*time.Millisecond, check)
	}
	w.clearFaults()
	w.run(25*time.Second, check)
	w.checkConverged(rt)
	w.run(hostsInterval+5*time.Second-25*time.Second, check)
	w.checkOmittedParts(rt)
}

func (w *simulation) injectFault(rt *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")]
	e := w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(rt, "target")]
	switch rapid.IntRange(0, 17).Draw(rt, "what") {
	case 0:
		w.restart(n)
	case 1:
		w.anyFrozen = true
		n.frozen = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(rt, "frozen")) * time.Second)
	case 2:
		n.partitioned = !n.partitioned
	case 3:
		n.platformUnreachable = !n.platformUnreachable
	case 4:
		e.stopping = true
	case 5:
		e.Incarnation++
		e.stopping, e.seq = false, 0
	case 6:
		e.down = !e.down
	case 7:
		if n.frozen <= w.now {
			n.notices[e.ID] = max(n.notices[e.ID], e.Incarnation)
			n.tb.MarkDraining(w.now, e.ID, e.Incarnation)
		}
	case 8:
		for range rapid.IntRange(1, 3).Draw(rt, "sent") {
			n.tb.Sent(e.ID, 10, 10)
		}
	case 9:
		n.tb.Ended(e.ID, 10, 10, true)
	case 10:
		e.running = rapid.IntRange(0, e.slots).Draw(rt, "running")
	case 11, 12:
		w.revision++
	case 13, 14:
		e.slots = rapid.IntRange(8, 12).Draw(rt, "slots")
		e.running = min(e.running, e.slots)
	default:
		w.setRunning(e.Place.DataCentre, rapid.IntRange(0, e.slots).Draw(rt, "running"))
	}
}

func (w *simulation) clearFaults() {
	w.lossRate, w.maxDelay = 0, 10*time.Millisecond
	for _, n := range w.nodes {
		n.partitioned, n.platformUnreachable, n.frozen = false, false, 0
	}
}

func (w *simulation) check(rt *rapid.T) {
	for _, n := range w.nodes {
		w.checkNotices(rt, n)
		w.checkNewestMerged(rt, n)
		w.checkAges(rt, n)
	}
	w.checkOffers(rt)
}

// checkNotices: a drain notice that a host has received holds for the incarnation.
func (w *simulation) checkNotices(rt *rapid.T, n *node) {
	for _, t := range n.tb.Targets() {
		if drained, ok := n.notices[t.ID]; ok && t.Incarnation == drained && !t.Drains {
			rt.Fatalf("%v: %s has a drain notice of %s/%d and sends to it", w.now, n.id, t.ID, drained)
		}
	}
}

// checkNewestMerged: of each sender the newest digest and summary that came counts,
// in whatever order they came, and what peers have at a target is the sum over
// those digests.
func (w *simulation) checkNewestMerged(rt *rapid.T, n *node) {
	want := make(map[ident.TargetID]int)
	for _, p := range n.tb.peers {
		if got, want := p.seq, n.highestSeq[fmt.Sprint("digest", p.host.ID, p.host.Incarnation)]; got != want {
			rt.Fatalf("%v: %s goes by digest %d of %s, %d has come", w.now, n.id, got, p.host.ID, want)
		}
		if p.dead(w.now) {
			return
		}
		for _, u := range w.workByDigest[fmt.Sprint(p.host.ID, p.host.Incarnation, p.seq)] {
			if p.seq > n.droppedUseSeq[useKey(p, u.Target)] {
				want[u.Target] += u.Running
			}
		}
	}
	for _, t := range n.tb.Targets() {
		if t.PeerSent != want[t.ID] {
			rt.Fatalf("%v: %s counts %d of peers at %s, want %d", w.now, n.id, t.PeerSent, t.ID, want[t.ID])
		}
	}
	for _, c := range n.tb.Centres(w.now) {
		s := c.Summary
		if want := n.highestSeq[fmt.Sprint("summary", s.From, s.Incarnation)]; s.Seq != want {
			rt.Fatalf("%v: %s goes by summary %d of %s, %d has come", w.now, n.id, s.Seq, s.From, want)
		}
	}
}

// checkAges: a summary never looks older than it is, and at most as much
// younger as the links can hold it up: that between the data centres, the
// relay's, and one more where a host that restarted gets it from a third. A host that was paused can't know how
// long a message waited for it, and may take it for older; a
// short pause it does not notice.
func (w *simulation) checkAges(rt *rapid.T, n *node) {
	slack := 3*1500*time.Millisecond + 300*time.Millisecond
	if w.anyFrozen {
		slack += minPause
	}
	for _, c := range n.tb.Centres(w.now) {
		if !c.HasSummary {
			continue
		}
		s := c.Summary
		truth := w.now.Sub(w.summarySentAt[fmt.Sprint(s.From, s.Incarnation, s.Seq)])
		if got := c.Age(w.now); got > truth && !w.anyFrozen || got < truth-slack {
			rt.Fatalf("%v: %s takes the summary of %s for %v old, it is %v", w.now, n.id, s.From, got, truth)
		}
		w.checkPools(rt, n, c, slack)
	}
}

// checkPools: pools that are held are those of a summary that contained them, and
// look neither older nor newer than they are by more than the links explain,
// however many summaries without pools have come since.
func (w *simulation) checkPools(rt *rapid.T, n *node, c *Centre, slack time.Duration) {
	if c.poolsMadeAt == 0 {
		return
	}
	got := c.poolsAge(w.now)
	for _, t := range slices.Backward(w.sentPools[fmt.Sprint(c.Place, n.place)]) {
		truth := w.now.Sub(t.at)
		if (got <= truth || w.anyFrozen) && got >= truth-slack && slices.Equal(t.pools, c.Summary.Pools) {
			return
		}
	}
	rt.Fatalf("%v: %s takes pools of %s for %v old that were not sent then", w.now, n.id, c.Place.DataCentre, got)
}

// checkOffers: what a host sends offers no more than its spare slots, and no
// two data centres hold offers of each other at once.
func (w *simulation) checkOffers(rt *rapid.T) {
	sums := make(map[string]int)
	seen := make(map[string]bool)
	for _, l := range w.sent {
		s, ok := l.eff.(event.SendSummary)
		if !ok {
			continue
		}
		key := fmt.Sprint(l.from, s.Summary.Incarnation, l.sent)
		to := fmt.Sprint(key, s.To.Place)
		if seen[to] {
			continue // A doubled message.
		}
		seen[to] = true
		for _, p := range s.Summary.Pools {
			sums[key] += p.Offer
			// The naive count: a fifth is kept, and below a quarter free
			// nothing is offered at all.
			kept := (p.Slots + 4) / 5
			if p.Offer > 0 && (sums[key] > p.Free-kept || p.Free*4 < p.Slots) {
				rt.Fatalf("%v: %s offers %d of %d free of %d", w.now, l.from, sums[key], p.Free, p.Slots)
			}
			if p.Offer > 0 && p.Free*10 <= p.Slots {
				rt.Fatalf("%v: %s asks and offers", w.now, l.from)
			}
		}
	}
	w.sent = w.sent[:0]
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if a.frozen > w.now || b.frozen > w.now {
				continue
			}
			there := a.tb.OfferLeft(w.now, b.place.DataCentre, scribePool)
			back := b.tb.OfferLeft(w.now, a.place.DataCentre, scribePool)
			if there > 0 && back > 0 {
				rt.Fatalf("%v: %s may send %d to %s, which may send %d back", w.now, a.id, there, b.id, back)
			}
		}
	}
}

// checkConverged: after a while without faults all agree on each duty, see each
// other, and know every leaving word.
func (w *simulation) checkConverged(rt *rapid.T) {
	for _, n := range w.nodes {
		for _, m := range w.nodes {
			if n.place != m.place {
				continue
			}
			if d := cmp.Diff(n.tb.watcher(w.now), m.tb.watcher(w.now)); d != "" {
				rt.Fatalf("watchers differ: %s", d)
			}
			if d := cmp.Diff(n.tb.representative(w.now), m.tb.representative(w.now)); d != "" {
				rt.Fatalf("speakers differ: %s", d)
			}
			if d := cmp.Diff(n.tb.liveHosts(w.now), m.tb.liveHosts(w.now)); d != "" {
				rt.Fatalf("live hosts differ: %s", d)
			}
		}
		for _, e := range w.targets {
			if t, ok := n.tb.Target(e.ID); ok && e.stopping && !e.down && e.Incarnation == t.Incarnation && !t.Drains {
				rt.Fatalf("%s does not know that %s leaves", n.id, e.ID)
			}
		}
		for _, c := range n.tb.Centres(w.now) {
			if c.CutOff(w.now) {
				rt.Fatalf("%s takes %s for cut off", n.id, c.Place.DataCentre)
			}
		}
	}
}

// checkOmittedParts: parts that summaries leave out are known all the same. A host that
// missed the summary that contained them has them from the next whole one at the
// latest.
func (w *simulation) checkOmittedParts(rt *rapid.T) {
	for _, n := range w.nodes {
		w.checkStaticPart(rt, n)
		for _, m := range w.nodes {
			if n.place == m.place {
				continue
			}
			i, ok := n.tb.findCentre(m.place.DataCentre)
			if !ok {
				rt.Fatalf("%s does not know %s", n.id, m.place.DataCentre)
			}
			c := n.tb.centres[i]
			if d := cmp.Diff(m.tb.liveHosts(w.now), c.Summary.Hosts); d != "" {
				rt.Fatalf("%s holds other hosts of %s: %s", n.id, m.place.DataCentre, d)
			}
			if got, want := len(c.Summary.Pools), len(m.tb.pools); got != want {
				rt.Fatalf("%s knows %d pools of %s, there are %d", n.id, got, m.place.DataCentre, want)
			}
			if age := c.poolsAge(w.now); age > n.tb.summaryInterval()+3*time.Second {
				rt.Fatalf("%s knows the pools of %s as they were %v ago", n.id, m.place.DataCentre, age)
			}
		}
	}
}

// checkStaticPart: the part of a load report that most relays leave out is known.
func (w *simulation) checkStaticPart(rt *rapid.T, n *node) {
	for _, t := range n.tb.Targets() {
		e := w.engine(t.ID)
		if e.down || e.Incarnation != t.Incarnation {
			continue
		}
		if t.Load.Slots != e.slots || len(t.Load.Serves) != 1 || t.Load.PrefillRate == 0 {
			rt.Fatalf("%v: %s takes %s for %d slots that serve %v, it has %d", w.now, n.id, t.ID, t.Load.Slots, t.Load.Serves, e.slots)
		}
	}
}

// A recorded run replays with other effects.
func TestSameInputsGiveSameEffects(t *testing.T) {
	play := func() []byte {
		w := newSimulation(7, 3, 3, 4)
		w.lossRate, w.maxDelay, w.traced = 0.1, 300*time.Millisecond, true
		w.run(8*time.Second, nil)
		w.setRunning("dc1", 10)
		w.targets[0].stopping = true
		w.targets[5].stopping = true
		w.run(8*time.Second, nil)
		w.restart(w.nodes[2])
		w.run(8*time.Second, nil)
		return w.trace
	}
	if d := cmp.Diff(string(play()), string(play())); d != "" {
		t.Error(d)
	}
}

// A data centre gets no offer after a partition, or keeps it.
func TestOfferGrowsAfterPartitionHeals(t *testing.T) {
	w := newSimulation(3, 2, 1, 4)
	w.setRunning("dc1", 10)
	a, b := w.nodes[0], w.nodes[1]
	w.run(30*time.Second, nil)
	whole := b.tb.OfferLeft(w.now, "dc0", scribePool)
	if want := 4*10 - 8; whole != want {
		t.Fatalf("offer is %d, want %d", whole, want)
	}
	b.partitioned = true
	w.run(20*time.Second, nil)
	if left := b.tb.OfferLeft(w.now, "dc0", scribePool); left != 0 {
		t.Fatalf("an offer of %d outlives the link", left)
	}
	b.partitioned = false
	var seen []int
	var healed ident.Time
	w.run(25*time.Second, func() {
		left := b.tb.OfferLeft(w.now, "dc0", scribePool)
		if left > 0 && healed == 0 {
			healed = w.now
		}
		if healed > 0 && w.now.Sub(healed) < 12*time.Second {
			seen = append(seen, left)
		}
	})
	if !slices.IsSorted(seen) || seen[0] > whole/4 || seen[len(seen)-1] != whole {
		t.Errorf("offer after the heal went %v", seen)
	}
	if left := a.tb.OfferLeft(w.now, "dc1", scribePool); left != 0 {
		t.Errorf("the giver may send %d back", left)
	}
}

// Two data centres hold offers of each other.
func TestDataCentresDoNotExchangeOffers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rapid.Int64().Draw(rt, "seed"), 2, rapid.IntRange(1, 2).Draw(rt, "hosts"), 2)
		w.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")
		w.maxDelay = rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}).Draw(rt, "delay")
		rich := ident.DataCentre("dc0")
		for range rapid.IntRange(4, 12).Draw(rt, "turns") {
			poor := ident.DataCentre("dc1")
			if rich == "dc1" {
				poor = "dc0"
			}
			w.setRunning(rich, 0)
			w.setRunning(poor, 10)
			w.run(time.Duration(rapid.IntRange(10, 100).Draw(rt, "pause"))*100*time.Millisecond, func() { w.checkOffers(rt) })
			rich = poor
		}
	})
}

// Offers flap about a mark.
func TestOfferHysteresisAgreesWithHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &pool{}
		var history []pool
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			p.Slots = 40
			p.Free = rapid.IntRange(0, 40).Draw(rt, "free")
			away := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(rt, "away")
			p.update(away)
			history = append(history, pool{Pool: event.Pool{Free: p.Free, Targets: away}})
			// The naive rule looks back for the last moment at which a mark
			// was passed.
			want := false
			for _, h := range slices.Backward(history) {
				if h.Targets > 0 || h.Free < 10 {
					break
				}
				if h.Free >= 16 {
					want = true
					break
				}
			}
			if p.offering != want {
				rt.Fatalf("offering %v after %+v", p.offering, history)
			}
		}
	})
}

// Spare slots are offered to several data centres at once.
func TestOfferIsSplit(t *testing.T) {
	w := newSimulation(13, 4, 2, 4)
	for _, dc := range []ident.DataCentre{"dc1", "dc2", "dc3"} {
		w.setRunning(dc, 10)
	}
	w.run(30*time.Second, nil)
	sum := 0
	for _, n := range w.nodes[2:] {
		left := n.tb.OfferLeft(w.now, "dc0", scribePool)
		sum += left
		if left < 5 || left > 6 {
			t.Errorf("%s may send %d", n.id, left)
		}
	}
	if sum != 32 {
		t.Errorf("%d may be sent, 32 are spare", sum)
	}
}

// A data centre that forwards work accepts that of others.
func TestPoolThatForwardsWorkOffersNothing(t *testing.T) {
	w := newSimulation(11, 2, 2, 4)
	w.setRunning("dc1", 10)
	w.run(15*time.Second, nil)
	giver := w.nodes[0]
	if !giver.tb.IsRepresentative(w.now) {
		giver = w.nodes[1]
	}
	other := w.nodes[0]
	if other == giver {
		other = w.nodes[1]
	}
	held := func() int {
		return w.nodes[2].tb.OfferLeft(w.now, "dc0", scribePool) + w.nodes[3].tb.OfferLeft(w.now, "dc0", scribePool)
	}
	if held() == 0 {
		t.Fatal("no offer to begin with")
	}
	other.tb.OfferTake("dc9", scribePool)
	w.run(3*time.Second, nil)
	if n := held(); n != 0 {
		t.Errorf("%d are offered while a host sends work away", n)
	}
	other.tb.OfferGive("dc9", scribePool)
	w.run(5*time.Second, nil)
	if held() == 0 {
		t.Error("no offer after the end")
	}
}

// A late offer is used while the other side holds one of this one.
func TestOfferIsNotUsedWhileOwnOfferIsHeld(t *testing.T) {
	w := newSimulation(12, 2, 1, 4)
	w.run(15*time.Second, nil)
	a := w.nodes[0].tb
	seq := uint64(0)
	late := func() int {
		s := a.Centres(w.now)[0].Summary
		s.From, s.Age = "dc1-x", 0
		seq++
		s.Seq = seq
		s.Pools = []event.Pool{{Serve: model, Slots: 40, Free: 40, Offer: 20}}
		a.SummaryReceived(w.now, s)
		return a.OfferLeft(w.now, "dc1", scribePool)
	}
	if n := late(); n != 0 {
		t.Errorf("%d may be sent away with room at home", n)
	}
	w.setRunning("dc1", 10)
	w.run(15*time.Second, nil)
	a.pools[0].offering = false
	if n := late(); n != 0 {
		t.Errorf("%d may be sent to where an own offer is held", n)
	}
	w.setRunning("dc0", 8)
	w.run(offerLife+transit+2*time.Second, nil)
	if n := late(); n == 0 {
		t.Error("none may be sent away once the own offer is gone")
	}
}
