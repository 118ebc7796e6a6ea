package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a host that starts in a large data centre and is kept busy by a full digest from each
// of its peers, and against one that gets none.
func TestFewHostsSendFullDigests(t *testing.T) {
	place := event.Place{DataCentre: "uvs", Region: "uvs", Reach: "uvs"}
	host := func(i int) event.Host {
		return event.Host{ID: ident.EntryID(fmt.Sprint("h", i)), Incarnation: 1, Place: place}
	}
	for _, n := range []int{1, 5, 40, 120} {
		now := ident.Time(time.Second)
		newcomer, full := host(n), 0
		for i := range n {
			tb := New(host(i))
			tb.HostsRead(now, event.HostsRead{Version: 1, Complete: true, Targets: []event.Target{{ID: "t", Incarnation: 1, Place: place}}})
			for j := range n {
				tb.PeerUp(now, host(j))
			}
			tb.Tick(now, LocalState{})
			tb.PeerUp(now, newcomer)
			for _, eff := range tb.Tick(now, LocalState{}) {
				d, ok := eff.(event.SendDigest)
				if ok && len(d.Digest.Targets) > 0 && len(d.To) == 1 && d.To[0].ID == newcomer.ID {
					full++
				}
			}
		}
		if want := min(n, maxFullDigests); full != want {
			t.Errorf("%d of %d hosts send a full digest, want %d", full, n, want)
		}
	}
}
