package member

import (
	"testing"
	"time"
)

// Guards against forwarded requests that are subtracted from an offer twice, or never.
func TestOfferIsChargedWithUnreportedRequests(t *testing.T) {
	w := newSimulation(3, 2, 1, 4)
	w.setRunning("dc1", 10)
	w.run(30*time.Second, nil)
	tb := w.nodes[1].tb
	offer := tb.RemainingOffer(w.now, "dc0", scribePool)
	if offer < 4 {
		t.Fatalf("an offer of %d is too small for the test", offer)
	}
	for n := range offer {
		if remaining := tb.RemainingOffer(w.now, "dc0", scribePool); remaining != offer-n {
			t.Fatalf("%d remain after %d of %d were forwarded", remaining, n, offer)
		}
		tb.ForwardStarted("dc0", scribePool)
	}
	if remaining := tb.RemainingOffer(w.now, "dc0", scribePool); remaining != 0 {
		t.Fatalf("%d remain of an offer that is used up", remaining)
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
	if remaining := tb.RemainingOffer(now, "dc0", scribePool); remaining != 3 {
		t.Errorf("%d remain of a new offer of 3", remaining)
	}
	tb.ForwardStarted("dc0", scribePool)
	if remaining := tb.RemainingOffer(now, "dc0", scribePool); remaining != 2 {
		t.Errorf("%d remain of 3 after one was forwarded", remaining)
	}
}
