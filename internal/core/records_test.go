package core_test

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// newRecordsHost returns a host that reads the store itself.
func newRecordsHost(t *testing.T) *testHost {
	h := newTestHost(t, 0, core.Bounds{SharedReads: true})
	rt := routeProfile("draft", rules.Streaming, 2)
	h.step(event.SnapshotReceived{Book: rules.FromStatic(2, rules.StaticConfig{Profiles: []rules.Profile{rt}, Clients: []rules.Client{{Name: "callers"}}})})
	return h
}

// list returns a list with a target of each build, all of them on record.
func (h *testHost) list(builds ...event.ServiceBuild) event.HostsRead {
	ev := event.HostsRead{Version: uint64(h.now), Complete: true}
	byService := map[string][]ident.Build{}
	for i, sb := range builds {
		tg := boardTarget(ident.TargetID(fmt.Sprint("t", i)))
		tg.Service, tg.Build = sb.Service, sb.Build
		ev.Targets = append(ev.Targets, tg)
		byService[sb.Service] = append(byService[sb.Service], sb.Build)
	}
	for _, s := range []string{"board", "sign"} {
		if b := byService[s]; len(b) > 0 {
			ev.Builds = append(ev.Builds, event.BuildRecord{Service: s, Builds: b, Revision: 3})
		}
	}
	return ev
}

// idle lets a time pass with an event in short intervals.
func (h *testHost) idle(d time.Duration, ev event.Event) (effs []event.Effect) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(50 * time.Millisecond)
		effs = append(effs, h.red.Step(h.now, event.Tick{})...)
		if ev != nil {
			effs = append(effs, h.red.Step(h.now, ev)...)
		}
	}
	return effs
}

// takeUpStream takes up a stream, which has no name if origin is zero.
func (h *testHost) takeUpStream(id ident.RequestID, origin ident.Stream) []event.Effect {
	return h.step(event.RequestArrived{Request: event.Request{
		ID: id, Account: "callers", Profile: "draft", Stream: true, Deadline: h.now.Add(10 * time.Second), Origin: origin, TakenUp: true,
	}})
}

// digest returns a digest of a host of this region.
func (h *testHost) digest(seq uint64, targets ...event.Target) event.DigestReceived {
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	return event.DigestReceived{Digest: event.Digest{
		Host: event.Host{ID: "w2", Incarnation: 1, Place: place}, Seq: seq, Targets: targets, ListVersion: uint64(h.now), Complete: len(targets) > 0,
	}}
}

// Guards against a stream without a name that is bound by a read from before it was taken up, which another one waited for.
func TestUnnamedStreamsWaitForTheirOwnRead(t *testing.T) {
	h := newRecordsHost(t)
	h.step(h.list(event.ServiceBuild{Service: "board", Build: "v1"}))
	h.idle(30*time.Second, event.ListRead{})
	asked, ok := pick[event.ReadBuilds](h.takeUpStream("a", 0))
	if !ok {
		t.Fatal("no read")
	}
	h.now = h.now.Add(200 * time.Millisecond)
	effs := h.takeUpStream("b", 0)
	effs = append(effs, h.step(event.BuildsRead{Read: asked.Read, Succeeded: true, Records: []event.BuildRecord{{Service: "board", Builds: []ident.Build{"v1"}, Revision: 3}}})...)
	for _, eff := range effs {
		if d, ok := eff.(event.Dispatch); ok && d.Request == "b" {
			t.Errorf("b is sent to build %s (%s) by read %d, which was asked for 200 ms before b came", d.Target.Build, d.Basis.BuildFrom, asked.Read)
		}
	}
}

// Guards against binding streams of a service that is newer than the list of a host, as if its targets named no builds.
func TestStreamsOfServicesWithoutARecordAreNotBound(t *testing.T) {
	for _, learns := range []bool{true, false} {
		h := newRecordsHost(t)
		h.step(event.HostsRead{Version: 1, Complete: true})
		h.step(event.ListRead{})
		h.idle(10*time.Second, nil)
		tg := boardTarget("new")
		tg.Build = "v1"
		if learns {
			h.step(h.digest(1, tg))
		}
		effs := h.takeUpStream("a", 7)
		asked, ok := pick[event.ReadBuilds](effs)
		if !ok {
			t.Fatal("no read")
		}
		effs = append(effs, h.step(event.BuildsRead{Read: asked.Read, Succeeded: true})...)
		if !learns {
			effs = append(effs, h.step(h.digest(1, tg))...)
			h.now = h.now.Add(100 * time.Millisecond)
			effs = append(effs, h.step(event.Tick{})...)
		}
		if d, ok := pick[event.Dispatch](effs); ok {
			t.Errorf("learns before %v: sent to %s (%s), without a record of the service", learns, d.Target.Build, d.Basis.BuildFrom)
		}
	}
}
