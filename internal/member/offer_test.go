package member

import (
	"testing"
	"time"
)

// Forwarded work is subtracted twice from an offer, or never.
func TestOfferIsChargedWithWhatItDoesNotKnow(t *testing.T) {
	w := newSimulation(3, 2, 1, 4)
	w.setRunning("dc1", 10)
	w.run(30*time.Second, nil)
	tb := w.nodes[1].tb
	whole := tb.OfferLeft(w.now, "dc0", scribePool)
	if whole < 4 {
		t.Fatalf("an offer of %d is too small for the test", whole)
	}
	for n := range whole {
		if left := tb.OfferLeft(w.now, "dc0", scribePool); left != whole-n {
			t.Fatalf("%d are left after %d of %d were sent", left, n, whole)
		}
		tb.OfferTake("dc0", scribePool)
	}
	if left := tb.OfferLeft(w.now, "dc0", scribePool); left != 0 {
		t.Fatalf("%d are left of an offer that is used up", left)
	}
	w.run(time.Second, nil)
	now := w.now
	s := tb.Centres(now)[0].Summary
	s.Seq += 1000
	s.Age = 0
	for i := range s.Pools {
		s.Pools[i].Offer = 3
	}
	tb.SummaryReceived(now, s)
	if left := tb.OfferLeft(now, "dc0", scribePool); left != 3 {
		t.Errorf("%d are left of a new offer of 3", left)
	}
	tb.OfferTake("dc0", scribePool)
	if left := tb.OfferLeft(now, "dc0", scribePool); left != 2 {
		t.Errorf("%d are left of 3 after one was sent", left)
	}
}
