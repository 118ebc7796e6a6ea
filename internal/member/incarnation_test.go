package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// newTargetWithoutIncarnation returns a target whose list entry lacks the incarnation.
func newTargetWithoutIncarnation(id string) event.Target {
	tg := newTarget(id)
	tg.Incarnation = 0
	return tg
}

// Guards against aborting the requests at a target when its incarnation becomes known for the first
// time.
func TestFirstKnownIncarnationIsNotARestart(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(newHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, newTargetWithoutIncarnation("a")))
	tb.LoadReported(at, event.Load{Target: "a", Incarnation: 7, Seq: 1, Slots: 8})
	if ids := tb.TakeRestarted(); len(ids) > 0 {
		t.Fatalf("targets %v count as restarted", ids)
	}
	if !tb.IsCurrent("a", 0) || !tb.IsCurrent("a", 7) {
		t.Error("requests sent before the incarnation was known are not attributed to the current one")
	}
	later := at.Add(2 * deadTimeout)
	tb.HostsRead(later, listOf(2, newTargetWithoutIncarnation("a")))
	if ids := tb.TakeRestarted(); len(ids) > 0 {
		t.Errorf("targets %v count as restarted after a list without incarnations", ids)
	}
	tb.LoadReported(later, event.Load{Target: "a", Incarnation: 8, Seq: 1, Slots: 8})
	if ids := tb.TakeRestarted(); len(ids) != 1 {
		t.Errorf("targets %v count as restarted, want a", ids)
	}
	if tb.IsCurrent("a", 0) || tb.IsCurrent("a", 7) {
		t.Error("requests sent to a previous incarnation count as running")
	}
}

// Guards against a drain notice that is reverted when the incarnation of the target becomes known
// for the first time.
func TestFirstKnownIncarnationKeepsDraining(t *testing.T) {
	at := ident.Time(time.Second)
	draining := newTargetWithoutIncarnation("a")
	draining.Draining = true
	tb := New(newHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, draining))
	tb.LoadReported(at, event.Load{Target: "a", Incarnation: 7, Seq: 1, Slots: 8})
	if usable(t, tb, at, "a") {
		t.Error("a draining target is usable after its first load report")
	}
}
