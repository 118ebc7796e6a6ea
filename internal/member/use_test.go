package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Hosts of a small region fill engines that others have just filled.
func TestHostsTellWhatTheySentMoreOftenInSmallRegions(t *testing.T) {
	for _, c := range []struct {
		peers       int
		unread      ident.Tokens
		least, most int
	}{
		{peers: 3, unread: 5000, least: 35, most: 44},
		{peers: 6, unread: 5000, least: 18, most: 22},
		{peers: 12, unread: 5000, least: 10, most: 11},
		{peers: 30, unread: 5000, least: 10, most: 11},
		{peers: 3, unread: 0, least: 10, most: 11},
	} {
		at := ident.Time(time.Minute)
		tb := New(reachHost("w0", "west-a", "west"))
		tb.Advance(at)
		tb.HostsRead(at, listOf(1, reachTarget("a")))
		tb.Sent("a", 10000, 100)
		tb.Prefill("a", c.unread)
		words := 0
		for n := range 1000 {
			now := at.Add(time.Duration(n) * 10 * time.Millisecond)
			for i := range c.peers {
				if n%100 == 0 {
					tb.PeerUp(now, reachHost(fmt.Sprintf("w%d", i+1), "west-a", "west"))
				}
			}
			for _, eff := range tb.Tick(now, LocalState{}) {
				if e, ok := eff.(event.SendDigest); ok && len(e.To) == c.peers {
					words++
				}
			}
		}
		if words < c.least || words > c.most {
			t.Errorf("%d words in ten seconds to %d peers with %d tokens unread", words, c.peers, c.unread)
		}
	}
}
