package load

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

const start = ident.Time(time.Hour)

// polledTarget returns a target that is polled, answeringTarget one that reports its load in its
// answers.
func polledTarget() State { return State{Target: event.Target{ID: "a"}} }

func answeringTarget() State {
	return State{Target: event.Target{ID: "a", Service: "board", Capacity: 8}}
}

// Guards against counting a request of this host twice when a later report includes it too.
func TestReportCountsOwnWorkOnce(t *testing.T) {
	s := polledTarget()
	s.AddRequest(start, 100, 10)
	s.AddRequest(start, 100, 10)
	now := start.Add(time.Second)
	s.SetReport(event.Load{Running: 5, Slots: 8}, now)
	if diff := cmp.Diff(5, s.Outstanding(now)); diff != "" {
		t.Errorf("a report of 5 that contains 2 of this host (-want +got):\n%s", diff)
	}
	s.AddRequest(now.Add(time.Second), 100, 10)
	if diff := cmp.Diff(6, s.Outstanding(now.Add(time.Second))); diff != "" {
		t.Errorf("one sent after the report (-want +got):\n%s", diff)
	}
}

// Guards against a report keeping a target busy long after the reported requests have ended.
func TestReportsLoseWeightWithAge(t *testing.T) {
	s := polledTarget()
	s.SetReport(event.Load{Running: 10, Slots: 16}, start)
	var got []int
	for _, age := range []time.Duration{0, fullTrustAge, (fullTrustAge + maxReportAge) / 2, maxReportAge} {
		got = append(got, s.Outstanding(start.Add(age)))
	}
	if diff := cmp.Diff([]int{10, 10, 5, 0}, got); diff != "" {
		t.Errorf("requests by age of the report (-want +got):\n%s", diff)
	}
}

// Guards against an end that is recorded twice and makes a target look free.
func TestEndsDoNotGoBelowZero(t *testing.T) {
	s := polledTarget()
	s.AddRequest(start, 100, 10)
	s.EndRequest(start, 100, 10)
	s.EndRequest(start, 100, 10)
	if diff := cmp.Diff([]int{0, 0}, []int{s.InFlight, int(s.InFlightTokens)}); diff != "" {
		t.Errorf("after one send and two ends (-want +got):\n%s", diff)
	}
}

// Guards against a wait for the first token that leaves out the prompts of other hosts.
func TestWaitCountsPendingPrefillOfAllHosts(t *testing.T) {
	s := answeringTarget()
	s.Load.PrefillRate = 10000
	s.AddPrefill(start, 5000)
	s.PeerPendingPrefill = 15000
	if diff := cmp.Diff(2*time.Second, s.Wait(start, 2, 1)); diff != "" {
		t.Errorf("wait (-want +got):\n%s", diff)
	}
	s.PrefillDone(5000)
	if diff := cmp.Diff(1500*time.Millisecond, s.Wait(start, 2, 1)); diff != "" {
		t.Errorf("wait after the prompt of this host is prefilled (-want +got):\n%s", diff)
	}
}

// Guards against a target that looks as if it answered in no time because this host has not used
// it.
func TestUnusedTargetGetsTypicalValues(t *testing.T) {
	var services Services
	used, unused := answeringTarget(), answeringTarget()
	for range 50 {
		services.ObserveRequest(&used, 800*time.Millisecond)
		services.ObserveFirstToken(&used, 2000, 0, 100*time.Millisecond)
		services.ObserveGap(start, &used, 20*time.Millisecond)
	}
	services.ApplyTypical(start, &unused)
	if diff := cmp.Diff([]any{800 * time.Millisecond, 50.0}, []any{unused.RequestTime(), unused.Load.DecodeRate}); diff != "" {
		t.Errorf("request time and decode rate (-want +got):\n%s", diff)
	}
	if got := unused.Load.PrefillRate; math.Abs(got/20000-1) > rateStep {
		t.Errorf("prefill rate %v, want 20000 within a step", got)
	}
	services.ObserveFirstToken(&used, 2000, 0, 100*time.Millisecond)
	own := used.Load.PrefillRate
	services.ApplyTypical(start, &used)
	if diff := cmp.Diff(own, used.Load.PrefillRate); diff != "" {
		t.Errorf("prefill rate of the target that was used (-want +got):\n%s", diff)
	}
}

// Guards against treating the zero pace of a service without samples as a measurement.
func TestUnknownServiceHasNoValues(t *testing.T) {
	var services Services
	if p, ok := services.Pace("board"); ok || p.EventRate(start) != 0 || services.RequestTime("board") != 0 || services.PrefillRate("board") != 0 {
		t.Errorf("a service without samples has values: %+v", p)
	}
}

// Guards against streams that look slow indefinitely after a burst if no further streams follow.
func TestSlowPaceDecays(t *testing.T) {
	var services Services
	s := answeringTarget()
	services.ObserveGap(start, &s, 20*time.Millisecond)
	for range 200 {
		services.ObserveGap(start, &s, 100*time.Millisecond)
	}
	p, _ := services.Pace("board")
	slow, later := p.GapAt(start), p.GapAt(start.Add(5*paceHalfLife))
	if slow < 90*time.Millisecond || later > 40*time.Millisecond {
		t.Errorf("pace after a burst %v, ten seconds later %v", slow, later)
	}
}

// Guards against a restarted target that keeps the load of its previous incarnation.
func TestRestartKeepsOnlyTypicalRequestTime(t *testing.T) {
	var services Services
	s := answeringTarget()
	services.ObserveRequest(&s, time.Second)
	s.AddRequest(start, 100, 10)
	s.ObserveAnswer(start, 3, 1, 8)
	next := s.AfterRestart(event.Target{ID: "a", Service: "board", Capacity: 8, Incarnation: 2})
	if diff := cmp.Diff([]any{0, false, time.Second}, []any{next.Outstanding(start), next.HasLoad, next.RequestTime()}); diff != "" {
		t.Errorf("requests, load and request time (-want +got):\n%s", diff)
	}
}
