package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/poison"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Guards against a request that ends targets in each region, because its repeats reach hosts that do
// not know of it.
func TestPoisonRequestEndsThreeTargetsInAllRegions(t *testing.T) {
	for _, size := range []struct{ regions, hosts, targets int }{{1, 2, 6}, {3, 2, 4}, {3, 30, 30}, {12, 8, 10}} {
		for _, profile := range []ident.Profile{"fetch", "draft", "publish"} {
			t.Run(fmt.Sprintf("%d regions of %d hosts, %s", size.regions, size.hosts, profile), func(t *testing.T) {
				for seed := range uint64(5) {
					p := newRoutePlay(seed, size.regions, size.hosts, size.targets, 8, 30*time.Millisecond)
					p.poison(profile, 16, func() { p.Run(400 * time.Millisecond) })
					if n := p.ends(); n != poison.MaxEnds {
						t.Errorf("seed %d: %d targets ended, want %d", seed, n, poison.MaxEnds)
					}
					if n := p.sends[poisonContent]; n > poison.MaxEnds {
						t.Errorf("seed %d: sent to %d targets", seed, n)
					}
				}
			})
		}
	}
}

// Guards against refusing what ran beside a request that ends its targets.
func TestNeighboursOfAPoisonRequestAreServed(t *testing.T) {
	for _, work := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		t.Run(work.String(), func(t *testing.T) {
			const regions, targets, slots = 3, 4, 32
			rate := 0.5 * regions * targets * slots / work.Seconds()
			for seed := range uint64(4) {
				p := newRoutePlay(seed, regions, 2, targets, slots, work)
				p.load(int(rate*2), 2*time.Second)
				p.poison("draft", 8, func() { p.load(int(rate*0.4), 400*time.Millisecond) })
				p.load(int(rate), time.Second)
				p.Run(10 * time.Second)
				delete(p.condemned, poisonContent)
				if len(p.condemned) > 0 {
					t.Errorf("seed %d: other requests were condemned: %v", seed, p.condemned)
				}
				if n := p.ends(); n > poison.MaxEnds {
					t.Errorf("seed %d: %d targets ended", seed, n)
				}
			}
		})
	}
}

// Guards against refusing requests because their targets crash at once or in turn for another reason.
func TestWaveOfCrashesCondemnsNoRequest(t *testing.T) {
	const regions, targets, slots, work = 3, 6, 32, time.Second
	rate := 0.4 * regions * targets * slots / work.Seconds()
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint("every ", gap), func(t *testing.T) {
			for seed := range uint64(3) {
				p := newRoutePlay(seed, regions, 4, targets, slots, work)
				p.load(int(rate*2), 2*time.Second)
				for n := range 10 {
					p.EndTarget(p.Targets[(n*5+int(seed))%len(p.Targets)].ID)
					p.load(int(rate*gap.Seconds()), gap)
				}
				p.load(int(rate), time.Second)
				p.Run(10 * time.Second)
				if len(p.condemned) > 0 {
					t.Errorf("seed %d: condemned %v", seed, p.condemned)
				}
			}
		})
	}
}

// Guards against forgetting a request that ends its targets when the host that found it restarts.
func TestPoisonRequestIsKnownAfterARestart(t *testing.T) {
	p := newRoutePlay(1, 2, 3, 4, 8, 30*time.Millisecond)
	host := p.hosts[0]
	// Hosts that have just started retry nothing.
	p.Run(retry.Window + 2*time.Second)
	for range 2 {
		p.ask(host, "fetch", poisonContent)
		p.Run(500 * time.Millisecond)
	}
	p.Restart(host)
	p.Run(time.Second)
	p.ask(host, "fetch", poisonContent)
	p.Run(time.Second)
	if n := p.ends(); n != poison.MaxEnds {
		t.Errorf("%d targets ended, want %d", n, poison.MaxEnds)
	}
	if n := p.condemned[poisonContent]; n != 2 {
		t.Errorf("%d requests were condemned, want the second and the third", n)
	}
}

// Guards against leaving copies of a condemned request in the queue or at targets.
func TestCopiesOfACondemnedRequestEnd(t *testing.T) {
	h := newTestHost(t, 8, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	ask := func(id string, profile ident.Profile) event.Dispatch {
		effs := h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(id), Account: "callers", Profile: profile, Content: poisonContent, Deadline: h.now.Add(10 * time.Second),
		}})
		d, ok := pick[event.Dispatch](effs)
		if !ok {
			t.Fatalf("request %s is not sent: %v", id, effs)
		}
		h.step(event.AttemptSent{Attempt: d.Attempt})
		return d
	}
	waiting, silent, begun, once := ask("waiting", "fetch"), ask("silent", "draft"), ask("begun", "draft"), ask("once", "publish")
	h.step(event.FirstToken{Attempt: begun.Attempt})
	h.step(event.AttemptEnded{Attempt: waiting.Attempt, Result: event.ResultBroken, TargetEnded: true})
	effs := h.step(event.TargetEndsReceived{From: "w2", Ends: []event.TargetEnd{{Content: poisonContent, Run: 1}, {Content: poisonContent, Run: 2}}})
	ref, ok := pick[event.Refuse](effs)
	if !ok || ref.Request != "waiting" || ref.Code != codes.PoisonRequest.ID || ref.Outcome != event.Unknown || ref.RetryAfter != 0 {
		t.Errorf("the request that waits for its retry got %+v", ref)
	}
	var broken []ident.Attempt
	for _, eff := range effs {
		if e, ok := eff.(event.BreakOff); ok {
			broken = append(broken, e.Attempt)
		}
	}
	if diff := cmp.Diff([]ident.Attempt{silent.Attempt}, broken); diff != "" {
		t.Errorf("attempts broken off; %v has begun, %v may run once (-want +got):\n%s", begun.Attempt, once.Attempt, diff)
	}
	ref, _ = pick[event.Refuse](h.step(event.AttemptEnded{Attempt: silent.Attempt, Result: event.ResultBroken}))
	if ref.Code != codes.PoisonRequest.ID {
		t.Errorf("the attempt that was broken off ends with %+v", ref)
	}
}

// Guards against naming a request that residency rules confine to the hosts of other regions.
func TestEndsUnderConfinedRequestsStayInTheirRegions(t *testing.T) {
	p := newRoutePlay(1, 3, 2, 4, 8, 30*time.Millisecond)
	bound := routeProfile("bound", rules.Idempotent, 2)
	bound.Regions = []ident.Region{"r0", "r1"}
	p.Change(profileItem(bound))
	p.Run(3 * time.Second)
	announcedTo := make(map[ident.Region]bool)
	p.OnMessage = func(_, to event.Host, eff event.Effect) {
		if _, ok := eff.(event.SendTargetEnds); ok {
			announcedTo[to.Place.Region] = true
		}
	}
	for range 2 {
		p.ask("r0-h0", "bound", poisonContent)
		p.Run(time.Second)
	}
	if diff := cmp.Diff(map[ident.Region]bool{"r0": true, "r1": true}, announcedTo); diff != "" {
		t.Errorf("regions (-want +got):\n%s", diff)
	}
	p.ask("r1-h1", "bound", poisonContent)
	p.Run(time.Second)
	if n := p.ends(); n != poison.MaxEnds {
		t.Errorf("%d targets ended, want %d", n, poison.MaxEnds)
	}
}

// Guards against sending a request on after the region to which it was forwarded has lost targets to it,
// as long as no announcement has arrived.
func TestEndsOfAForwardedRequestCount(t *testing.T) {
	h := newTestHost(t, 0, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.remoteRegion(2)
	ask := func(id string) []event.Effect {
		return h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(id), Account: "callers", Profile: "fetch", Content: poisonContent, Deadline: h.now.Add(5 * time.Second),
		}})
	}
	f, ok := pick[event.Forward](ask("first"))
	if !ok {
		t.Fatal("the request is not forwarded")
	}
	h.step(event.AttemptSent{Attempt: f.Envelope.Attempt})
	h.step(event.AttemptEnded{Attempt: f.Envelope.Attempt, Result: event.ResultBroken, EndedRuns: []event.TargetRun{1, 2}})
	h.now = h.now.Add(time.Second)
	f, _ = pick[event.Forward](append(h.step(event.Tick{}), ask("second")...))
	if diff := cmp.Diff([]event.TargetRun{1, 2}, f.EndedRuns); diff != "" {
		t.Errorf("ended targets named to the next region (-want +got):\n%s", diff)
	}
	h.step(event.AttemptSent{Attempt: f.Envelope.Attempt})
	ref, _ := pick[event.Refuse](h.step(event.AttemptEnded{Attempt: f.Envelope.Attempt, Result: event.ResultBroken, EndedRuns: []event.TargetRun{3}}))
	if ref.Code != codes.PoisonRequest.ID || ref.Denial.Reason != event.DeniedPoison {
		t.Errorf("after the third end: %+v", ref)
	}
}
