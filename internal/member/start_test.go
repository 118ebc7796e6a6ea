package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func unnamedTarget(id string) event.Target {
	tg := reachTarget(id)
	tg.Incarnation = 0
	return tg
}

// The first incarnation of a target breaks off its requests.
func TestFirstWordOfAnIncarnationIsNoNewStart(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, unnamedTarget("a")))
	tb.LoadReported(at, event.Load{Target: "a", Incarnation: 7, Seq: 1, Slots: 8})
	if ids := tb.Restarted(); len(ids) > 0 {
		t.Fatalf("%v count as started anew", ids)
	}
	if !tb.Runs("a", 0) || !tb.Runs("a", 7) {
		t.Error("what was sent before the incarnation was known is not at the target that runs")
	}
	later := at.Add(2 * deadTimeout)
	tb.HostsRead(later, listOf(2, unnamedTarget("a")))
	if ids := tb.Restarted(); len(ids) > 0 {
		t.Errorf("%v count as started anew after a list without incarnations", ids)
	}
	tb.LoadReported(later, event.Load{Target: "a", Incarnation: 8, Seq: 1, Slots: 8})
	if ids := tb.Restarted(); len(ids) != 1 {
		t.Errorf("%v count as started anew, a does", ids)
	}
	if tb.Runs("a", 0) || tb.Runs("a", 7) {
		t.Error("what a former start was sent counts as running")
	}
}

// The first incarnation of a target reverts its drain notice.
func TestFirstWordOfAnIncarnationKeepsTheTargetLeaving(t *testing.T) {
	at := ident.Time(time.Second)
	leaving := unnamedTarget("a")
	leaving.Draining = true
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, leaving))
	tb.LoadReported(at, event.Load{Target: "a", Incarnation: 7, Seq: 1, Slots: 8})
	if usable(t, tb, at, "a") {
		t.Error("a target that leaves is used after its first load report")
	}
}
