package member

import (
	"fmt"
	"math"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a host that no longer follows the platform's list because a peer names a version that the list never had.
func TestImplausibleVersionOfAPeerStopsNothing(t *testing.T) {
	for _, version := range []uint64{math.MaxUint64, math.MaxInt64, 1 << 53, 1 << 40} {
		for name, digest := range map[string]event.Digest{
			"list":         {Targets: []event.Target{newTarget("a")}, ListVersion: version, Complete: true},
			"confirmation": {ListVersion: version, ListConfirmed: true},
			"removal":      {Removed: []event.RemovedTarget{{Target: "a", Version: version}}},
		} {
			for _, readFirst := range []bool{true, false} {
				t.Run(fmt.Sprint(name, " ", version, " ", readFirst), func(t *testing.T) {
					at := ident.Time(time.Hour)
					tb := newNearbyTable(at)
					if readFirst {
						tb.HostsRead(at, listOf(7, newTarget("a")))
						tb.ListRead(at, 0)
					}
					for seq := range uint64(5) {
						at = at.Add(time.Second)
						digest.Host, digest.Seq = newHost("w2", "west-a", "west"), seq+1
						tb.DigestReceived(at, digest)
						tb.HostsRead(at, listOf(8+seq, newTarget("a"), newTarget(fmt.Sprint("b", seq))))
						tb.ListRead(at, 0)
					}
					check := []bool{usable(t, tb, at, "a"), usable(t, tb, at, "b4"), usable(t, tb, at, "b3"), tb.NextListRead() > at.Add(time.Second)}
					for i, want := range []bool{true, true, false, true} {
						if check[i] != want {
							t.Errorf("a usable, the newest target usable, a removed one usable, next read not at once: got %v", check)
							break
						}
					}
				})
			}
		}
	}
}
