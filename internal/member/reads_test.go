package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against store reads that grow with the number of hosts, and against no host reading
// after the active reader and the one that takes over have frozen.
func TestActiveReadersAreBounded(t *testing.T) {
	const n = 20
	host := func(i int) event.Host { return newHost(fmt.Sprint("w", i), "west-a", "west") }
	tables := make([]*Table, n)
	for i := range tables {
		tables[i] = New(host(i))
	}
	now := ident.Time(time.Second)
	seq := uint64(0)
	nextHeartbeat := func(frozen map[int]bool) (reading []int) {
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
			t.Fatalf("host %d knows no other host but is not an active reader", i)
		}
	}
	first := nextHeartbeat(nil)
	if len(first) != activeReaderCount {
		t.Fatalf("hosts %v are active readers, want %d of them", first, activeReaderCount)
	}
	frozen := map[int]bool{}
	reading := first
	for range 2 {
		for _, i := range reading {
			frozen[i] = true
		}
		nextHeartbeat(frozen)
		reading = nextHeartbeat(frozen)
		if len(reading) != activeReaderCount {
			t.Errorf("hosts %v are active readers two seconds after hosts %v froze, want %d of them", reading, frozen, activeReaderCount)
		}
	}
}
