package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against hosts of a small region that send work to engines which their peers have just
// filled.
func TestHostsAnnounceUseMoreOftenInSmallRegions(t *testing.T) {
	for _, c := range []struct {
		peers                  int
		pendingPrefill         ident.Tokens
		minDigests, maxDigests int
	}{
		{peers: 3, pendingPrefill: 5000, minDigests: 35, maxDigests: 44},
		{peers: 6, pendingPrefill: 5000, minDigests: 18, maxDigests: 22},
		{peers: 12, pendingPrefill: 5000, minDigests: 10, maxDigests: 11},
		{peers: 30, pendingPrefill: 5000, minDigests: 10, maxDigests: 11},
		{peers: 3, pendingPrefill: 0, minDigests: 10, maxDigests: 11},
	} {
		at := ident.Time(time.Minute)
		tb := New(newHost("w0", "west-a", "west"))
		tb.Advance(at)
		tb.HostsRead(at, listOf(1, newTarget("a")))
		tb.RequestSent("a", 10000, 100)
		tb.AddPrefill("a", c.pendingPrefill)
		digests := 0
		for n := range 1000 {
			now := at.Add(time.Duration(n) * 10 * time.Millisecond)
			for i := range c.peers {
				if n%100 == 0 {
					tb.PeerUp(now, newHost(fmt.Sprintf("w%d", i+1), "west-a", "west"))
				}
			}
			for _, eff := range tb.Tick(now, LocalState{}) {
				if e, ok := eff.(event.SendDigest); ok && len(e.To) == c.peers {
					digests++
				}
			}
		}
		if digests < c.minDigests || digests > c.maxDigests {
			t.Errorf("%d digests in ten seconds to %d peers with %d tokens to prefill", digests, c.peers, c.pendingPrefill)
		}
	}
}
