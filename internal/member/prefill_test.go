package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against two long prompts that are sent at the same time and queue at one target.
func TestPendingPrefillIsUpdatedOnEachSend(t *testing.T) {
	const rate = 1000
	tb := New(event.Host{ID: "dc0-0", Incarnation: 1, Place: event.Place{DataCentre: "dc0", Region: "r0"}})
	now := ident.Time(time.Minute)
	tb.Advance(now)
	tb.HostsRead(now, event.HostsRead{Version: 1, Targets: []event.Target{
		{ID: "t", Incarnation: 1, Kind: event.Engine, Place: event.Place{DataCentre: "dc0", Region: "r0"}},
	}})
	tb.LoadReported(now, event.Load{Target: "t", Incarnation: 1, Seq: 1, Slots: 8, PrefillRate: rate, DecodeRate: 50})
	now = now.Add(time.Second)
	tb.Advance(now)
	x, _ := tb.Target("t")
	wait := func(after time.Duration) time.Duration { return x.Wait(now.Add(after), 0, 1) }
	if got := wait(0); got != 0 {
		t.Fatalf("a wait of %v for an idle target", got)
	}
	tb.AddPrefill("t", rate/2)
	tb.AddPrefill("t", rate/2)
	for after, want := range map[time.Duration]time.Duration{
		0: time.Second, 400 * time.Millisecond: 600 * time.Millisecond, 2 * time.Second: 0,
	} {
		if got := wait(after); got.Round(time.Millisecond) != want {
			t.Errorf("%v after the sends: wait %v, want %v", after, got, want)
		}
	}
}
