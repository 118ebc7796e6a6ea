package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against hosts that send work to engines which their peers have just filled, and against
// announcements whose number grows with the square of the hosts.
func TestHostsAnnounceUseMoreOftenInSmallRegions(t *testing.T) {
	for _, c := range []struct {
		peers                  int
		pendingPrefill         ident.Tokens
		minDigests, maxDigests int
	}{
		{peers: 3, pendingPrefill: 5000, minDigests: 35, maxDigests: 44},
		{peers: 6, pendingPrefill: 5000, minDigests: 35, maxDigests: 44},
		{peers: 12, pendingPrefill: 5000, minDigests: 35, maxDigests: 44},
		{peers: 30, pendingPrefill: 5000, minDigests: 18, maxDigests: 22},
		{peers: 60, pendingPrefill: 5000, minDigests: 10, maxDigests: 11},
		{peers: 100, pendingPrefill: 5000, minDigests: 10, maxDigests: 11},
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

// Guards against announcements of use that repeat every notice of the heartbeats, which after the
// loss of many targets are far larger than the use.
func TestUseIsAnnouncedWithoutNotices(t *testing.T) {
	now := ident.Time(time.Minute)
	tb := New(newHost("w0", "west-a", "west"))
	tb.Advance(now)
	tb.HostsRead(now, listOf(1, newTarget("a"), newTarget("b")))
	tb.PeerUp(now, newHost("w1", "west-a", "west"))
	tb.MarkDraining(now, "b", 1)
	tb.Tick(now, LocalState{})
	tb.RequestSent("a", 10000, 100)
	tb.AddPrefill("a", 10000)
	now = now.Add(minUseInterval + 10*time.Millisecond)
	var got []event.Digest
	for _, eff := range tb.Tick(now, LocalState{}) {
		if e, ok := eff.(event.SendDigest); ok {
			got = append(got, e.Digest)
		}
	}
	if len(got) != 1 || len(got[0].Use) != 1 || got[0].Use[0].PendingPrefill != 10000 {
		t.Fatalf("the use is announced by %+v", got)
	}
	if len(got[0].Draining) > 0 || len(got[0].Removed) > 0 {
		t.Errorf("the announcement repeats notices: %+v", got[0])
	}
	now = now.Add(HeartbeatInterval)
	for _, eff := range tb.Tick(now, LocalState{}) {
		if e, ok := eff.(event.SendDigest); ok && len(e.Digest.Draining) != 1 {
			t.Errorf("the heartbeat has the notices %+v", e.Digest.Draining)
		}
	}
}
