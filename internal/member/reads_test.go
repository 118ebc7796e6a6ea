package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Calls to the store grow with the hosts, or none reads after both readers have frozen.
func TestActiveReadersAreBounded(t *testing.T) {
	const n = 20
	host := func(i int) event.Host { return reachHost(fmt.Sprint("w", i), "west-a", "west") }
	tables := make([]*Table, n)
	for i := range tables {
		tables[i] = New(host(i))
	}
	now := ident.Time(time.Second)
	seq := uint64(0)
	beat := func(frozen map[int]bool) (reading []int) {
		now = now.Add(HeartbeatInterval)
		seq++
		for i, tb := range tables {
			if frozen[i] {
				continue
			}
			for j := range tables {
				if j != i && !frozen[j] {
					tb.DigestReceived(now, event.Digest{Host: host(j), Seq: seq})
				}
			}
		}
		for i, tb := range tables {
			if !frozen[i] && tb.IsActiveReader(now) {
				reading = append(reading, i)
			}
		}
		return reading
	}
	for i, tb := range tables {
		tb.Advance(now)
		if !tb.IsActiveReader(now) {
			t.Fatalf("host %d knows of no other and does not read", i)
		}
	}
	first := beat(nil)
	if len(first) != activeReaders {
		t.Fatalf("hosts %v read, want %d", first, activeReaders)
	}
	frozen := map[int]bool{first[0]: true, first[1]: true}
	beat(frozen)
	second := beat(frozen)
	if len(second) != activeReaders {
		t.Errorf("hosts %v read two seconds after both readers froze, want %d", second, activeReaders)
	}
}
