package member

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against state of hosts that diverges under pauses, restarts, partitions and lost
// messages.
func TestSimulationKeepsInvariants(t *testing.T) {
	rapid.Check(t, runSimulation)
}

// Repeats the seeds that once violated an invariant.
func TestSimulationKeepsInvariantsOnFailedSeeds(t *testing.T) {
	seed, checks := flag.Lookup("rapid.seed").Value.String(), flag.Lookup("rapid.checks").Value.String()
	defer func() {
		_ = flag.Set("rapid.seed", seed)
		_ = flag.Set("rapid.checks", checks)
	}()
	_ = flag.Set("rapid.checks", "1")
	for _, failedSeed := range []string{"277", "58998", "22796"} {
		t.Run(failedSeed, func(t *testing.T) {
			_ = flag.Set("rapid.seed", failedSeed)
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
		n.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(rt, "frozen")) * time.Second)
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
		if n.frozenUntil <= w.now {
			n.notices[e.ID] = max(n.notices[e.ID], e.Incarnation)
			n.tb.MarkDraining(w.now, e.ID, e.Incarnation)
		}
	case 8:
		for range rapid.IntRange(1, 3).Draw(rt, "sent") {
			n.tb.RequestSent(e.ID, 10, 10)
		}
	case 9:
		n.tb.RequestEnded(e.ID, 10, 10, true)
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
		n.partitioned, n.platformUnreachable, n.frozenUntil = false, false, 0
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

// checkNotices checks that a drain notice that a host has received stays valid for its
// incarnation.
func (w *simulation) checkNotices(rt *rapid.T, n *node) {
	for _, t := range n.tb.Targets() {
		if drained, ok := n.notices[t.ID]; ok && t.Incarnation == drained && !t.KnownDraining {
			rt.Fatalf("%v: %s has a drain notice for %s/%d but may still send to it", w.now, n.id, t.ID, drained)
		}
	}
}

// checkNewestMerged checks that a host uses the newest digest and summary of each sender that
// it has received, in whatever order they arrived, and that the work of peers at a target is
// the sum over these digests.
func (w *simulation) checkNewestMerged(rt *rapid.T, n *node) {
	want := make(map[ident.TargetID]int)
	for _, p := range n.tb.peers {
		if got, want := p.seq, n.highestSeq[fmt.Sprint("digest", p.host.ID, p.host.Incarnation)]; got != want {
			rt.Fatalf("%v: %s uses digest %d of %s, want the newest received, %d", w.now, n.id, got, p.host.ID, want)
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
		if t.PeerInFlight != want[t.ID] {
			rt.Fatalf("%v: %s counts %d requests of peers at %s, want %d", w.now, n.id, t.PeerInFlight, t.ID, want[t.ID])
		}
	}
	for _, c := range n.tb.Centres(w.now) {
		s := c.Summary
		if want := n.highestSeq[fmt.Sprint("summary", s.From, s.Incarnation)]; s.Seq != want {
			rt.Fatalf("%v: %s uses summary %d of %s, want the newest received, %d", w.now, n.id, s.Seq, s.From, want)
		}
	}
}

// checkAges checks that a summary never looks older than it is, and younger by at most the
// delay of the links: that between the data centres, that of the relay, and one more if a
// restarted host gets the summary from a third host. A host that was paused does not know how
// long a message has waited, and may overestimate the age. It does not notice a short pause.
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
		actual := w.now.Sub(w.summarySentAt[fmt.Sprint(s.From, s.Incarnation, s.Seq)])
		if got := c.Age(w.now); got > actual && !w.anyFrozen || got < actual-slack {
			rt.Fatalf("%v: %s estimates the age of the summary of %s at %v, actual age %v", w.now, n.id, s.From, got, actual)
		}
		w.checkPools(rt, n, c, slack)
	}
}

// checkPools checks that the known pools are those of a summary that contained them, and that
// their age is off by no more than the link delays explain, however many summaries without
// pools have arrived since.
func (w *simulation) checkPools(rt *rapid.T, n *node, c *Centre, slack time.Duration) {
	if c.poolsMadeAt == 0 {
		return
	}
	got := c.poolsAge(w.now)
	for _, t := range slices.Backward(w.sentPools[fmt.Sprint(c.Place, n.place)]) {
		actual := w.now.Sub(t.at)
		if (got <= actual || w.anyFrozen) && got >= actual-slack && cmp.Equal(t.pools, c.Summary.Pools, cmpopts.EquateEmpty()) {
			return
		}
	}
	rt.Fatalf("%v: %s has pools of %s with an estimated age of %v, but no matching summary was sent then", w.now, n.id, c.Place.DataCentre, got)
}

// checkOffers checks that a host offers no more than its spare slots, and that no two data
// centres hold offers of each other at once.
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
			continue // A duplicate message.
		}
		seen[to] = true
		for _, p := range s.Summary.Pools {
			sums[key] += p.Offer
			// An independent computation: a fifth of the slots is kept in reserve, and nothing
			// is offered with less than a quarter free.
			reserve := (p.Slots + 4) / 5
			if p.Offer > 0 && (sums[key] > p.Free-reserve || p.Free*4 < p.Slots) {
				rt.Fatalf("%v: %s offers %d slots with %d free of %d", w.now, l.from, sums[key], p.Free, p.Slots)
			}
			if p.Offer > 0 && p.Free*10 <= p.Slots {
				rt.Fatalf("%v: %s requests and offers capacity at once", w.now, l.from)
			}
		}
	}
	w.sent = w.sent[:0]
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if a.frozenUntil > w.now || b.frozenUntil > w.now {
				continue
			}
			forth := a.tb.RemainingOffer(w.now, b.place.DataCentre, scribePool)
			back := b.tb.RemainingOffer(w.now, a.place.DataCentre, scribePool)
			if forth > 0 && back > 0 {
				rt.Fatalf("%v: %s may forward %d requests to %s, which may forward %d back", w.now, a.id, forth, b.id, back)
			}
		}
	}
}

// checkConverged checks that after a period without faults all hosts agree on each duty, see
// each other, and know every drain notice.
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
				rt.Fatalf("representatives differ: %s", d)
			}
			if d := cmp.Diff(n.tb.liveHosts(w.now), m.tb.liveHosts(w.now)); d != "" {
				rt.Fatalf("live hosts differ: %s", d)
			}
		}
		for _, e := range w.targets {
			if t, ok := n.tb.Target(e.ID); ok && e.stopping && !e.down && e.Incarnation == t.Incarnation && !t.KnownDraining {
				rt.Fatalf("%s does not know that %s is draining", n.id, e.ID)
			}
		}
		for _, c := range n.tb.Centres(w.now) {
			if c.CutOff(w.now) {
				rt.Fatalf("%s considers %s cut off", n.id, c.Place.DataCentre)
			}
		}
	}
}

// checkOmittedParts checks that hosts know the parts that summaries omit. A host that missed a
// summary with a part gets the part again with the next summary that contains it.
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
				rt.Fatalf("%s has different hosts of %s: %s", n.id, m.place.DataCentre, d)
			}
			if got, want := len(c.Summary.Pools), len(m.tb.pools); got != want {
				rt.Fatalf("%s knows %d pools of %s, want %d", n.id, got, m.place.DataCentre, want)
			}
			if age := c.poolsAge(w.now); age > n.tb.summaryInterval()+3*time.Second {
				rt.Fatalf("%s has pools of %s that are %v old", n.id, m.place.DataCentre, age)
			}
		}
	}
}

// checkStaticPart checks that hosts know the part of a load report that most relays omit.
func (w *simulation) checkStaticPart(rt *rapid.T, n *node) {
	for _, t := range n.tb.Targets() {
		e := w.engine(t.ID)
		if e.down || e.Incarnation != t.Incarnation {
			continue
		}
		if t.Load.Slots != e.slots || len(t.Load.Serves) != 1 || t.Load.PrefillRate == 0 {
			rt.Fatalf("%v: %s knows %s with %d slots that serve %v, want %d slots", w.now, n.id, t.ID, t.Load.Slots, t.Load.Serves, e.slots)
		}
	}
}

// Guards against a replay of a recorded run that produces other effects, for example because
// effects are made in the order of a map.
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

// Guards against a data centre that gets no offer after a partition, gets all of it at once,
// or keeps an offer during the partition.
func TestOfferGrowsAfterPartitionHeals(t *testing.T) {
	w := newSimulation(3, 2, 1, 4)
	w.setRunning("dc1", 10)
	giver, receiver := w.nodes[0], w.nodes[1]
	w.run(30*time.Second, nil)
	fullOffer := receiver.tb.RemainingOffer(w.now, "dc0", scribePool)
	if want := 4*10 - 8; fullOffer != want {
		t.Fatalf("offer is %d, want %d", fullOffer, want)
	}
	receiver.partitioned = true
	w.run(20*time.Second, nil)
	if remaining := receiver.tb.RemainingOffer(w.now, "dc0", scribePool); remaining != 0 {
		t.Fatalf("offer is %d while the link is down, want 0", remaining)
	}
	receiver.partitioned = false
	var growth []int
	var healed ident.Time
	w.run(25*time.Second, func() {
		remaining := receiver.tb.RemainingOffer(w.now, "dc0", scribePool)
		if remaining > 0 && healed == 0 {
			healed = w.now
		}
		if healed > 0 && w.now.Sub(healed) < 12*time.Second {
			growth = append(growth, remaining)
		}
	})
	if !slices.IsSorted(growth) || growth[0] > fullOffer/4 || growth[len(growth)-1] != fullOffer {
		t.Errorf("offers after the partition healed were %v", growth)
	}
	if remaining := giver.tb.RemainingOffer(w.now, "dc1", scribePool); remaining != 0 {
		t.Errorf("the data centre that made the offer may forward %d requests back", remaining)
	}
}

// Guards against two data centres that hold offers of each other at once.
func TestDataCentresDoNotExchangeOffers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rapid.Int64().Draw(rt, "seed"), 2, rapid.IntRange(1, 2).Draw(rt, "hosts"), 2)
		w.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")
		w.maxDelay = rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}).Draw(rt, "delay")
		idle := ident.DataCentre("dc0")
		for range rapid.IntRange(4, 12).Draw(rt, "turns") {
			busy := ident.DataCentre("dc1")
			if idle == "dc1" {
				busy = "dc0"
			}
			w.setRunning(idle, 0)
			w.setRunning(busy, 10)
			w.run(time.Duration(rapid.IntRange(10, 100).Draw(rt, "pause"))*100*time.Millisecond, func() { w.checkOffers(rt) })
			idle = busy
		}
	})
}

// Guards against an offer that starts and stops repeatedly while the load varies around one
// threshold.
func TestOfferHysteresisAgreesWithHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &pool{}
		var history []pool
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			p.Slots = 40
			p.Free = rapid.IntRange(0, 40).Draw(rt, "free")
			forwarded := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(rt, "away")
			p.update(forwarded)
			history = append(history, pool{Pool: event.Pool{Free: p.Free, Targets: forwarded}})
			// The reference rule looks back for the last time that a threshold was crossed.
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
				rt.Fatalf("offering is %v after %+v", p.offering, history)
			}
		}
	})
}

// Guards against the same spare slots being offered to several data centres.
func TestOfferIsSplit(t *testing.T) {
	w := newSimulation(13, 4, 2, 4)
	for _, dc := range []ident.DataCentre{"dc1", "dc2", "dc3"} {
		w.setRunning(dc, 10)
	}
	w.run(30*time.Second, nil)
	sum := 0
	for _, n := range w.nodes[2:] {
		remaining := n.tb.RemainingOffer(w.now, "dc0", scribePool)
		sum += remaining
		if remaining < 5 || remaining > 6 {
			t.Errorf("%s may forward %d requests, want 5 or 6", n.id, remaining)
		}
	}
	if sum != 32 {
		t.Errorf("%d requests may be forwarded, want 32, the spare slots", sum)
	}
}

// Guards against two data centres that exchange work: one that forwards requests must not offer
// capacity for the same pool.
func TestPoolThatForwardsWorkOffersNothing(t *testing.T) {
	w := newSimulation(11, 2, 2, 4)
	w.setRunning("dc1", 10)
	w.run(15*time.Second, nil)
	representative := w.nodes[0]
	if !representative.tb.IsRepresentative(w.now) {
		representative = w.nodes[1]
	}
	other := w.nodes[0]
	if other == representative {
		other = w.nodes[1]
	}
	offered := func() int {
		return w.nodes[2].tb.RemainingOffer(w.now, "dc0", scribePool) + w.nodes[3].tb.RemainingOffer(w.now, "dc0", scribePool)
	}
	if offered() == 0 {
		t.Fatal("no offer before the forwarded request")
	}
	other.tb.ForwardStarted("dc9", scribePool)
	w.run(3*time.Second, nil)
	if n := offered(); n != 0 {
		t.Errorf("%d slots are offered while a host forwards requests", n)
	}
	other.tb.ForwardEnded("dc9", scribePool)
	w.run(5*time.Second, nil)
	if offered() == 0 {
		t.Error("no offer after the forwarded request ended")
	}
}

// Guards against a late offer that is used while the other data centre holds an offer of this
// one.
func TestOfferIsNotUsedWhileOwnOfferIsHeld(t *testing.T) {
	w := newSimulation(12, 2, 1, 4)
	w.run(15*time.Second, nil)
	a := w.nodes[0].tb
	seq := uint64(0)
	lateOffer := func() int {
		s := a.Centres(w.now)[0].Summary
		s.From, s.Age = "dc1-x", 0
		seq++
		s.Seq = seq
		s.Pools = []event.Pool{{Serve: model, Slots: 40, Free: 40, Offer: 20}}
		a.SummaryReceived(w.now, s)
		return a.RemainingOffer(w.now, "dc1", scribePool)
	}
	if n := lateOffer(); n != 0 {
		t.Errorf("%d requests may be forwarded with free slots in this data centre", n)
	}
	w.setRunning("dc1", 10)
	w.run(15*time.Second, nil)
	a.pools[0].offering = false
	if n := lateOffer(); n != 0 {
		t.Errorf("%d requests may be forwarded to a data centre that holds an offer of this one", n)
	}
	w.setRunning("dc0", 8)
	w.run(offerTTL+maxTransitTime+2*time.Second, nil)
	if n := lateOffer(); n == 0 {
		t.Error("no request may be forwarded after the offer of this data centre has expired")
	}
}
