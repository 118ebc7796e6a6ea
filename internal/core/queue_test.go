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

// engineHost is the reducer of a host with one local engine and an offer of another data centre.
type engineHost struct {
	red       *core.Reducer
	now       ident.Time
	attempts  []ident.Attempt
	sent      int
	forwarded int
}

func newEngineHost(t *testing.T) *engineHost {
	t.Helper()
	s := &engineHost{now: ident.Time(time.Minute)}
	s.red = core.New(event.Host{ID: hostID("uvs", 0), Incarnation: 1, Place: placeOf("uvs")})
	book, err := (*rules.Book)(nil).Apply(rules.Change{Revision: 1, ID: "c", Items: []rules.Item{
		profileItem(rules.Profile{
			Name: "draft", Models: []rules.Serve{{Model: "draft"}}, MaxCrossings: 1,
			Weights: rules.Weights{Tail: 1, Crossing: 1},
		}),
		clientItem(rules.Client{Name: "foundation", KeyDigest: rules.Digest("k")}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	s.step(event.SnapshotReceived{Book: book})
	s.step(event.HostsRead{Version: 1, Targets: []event.Target{
		{ID: "t", Incarnation: 1, Kind: event.Engine, Place: placeOf("uvs"), Price: 1},
	}})
	s.reportLoad(1)
	return s
}

// reportLoad reports the load of the engine and an offer of the other data centre.
func (s *engineHost) reportLoad(seq uint64) {
	serve := rules.Serve{Model: "draft"}
	s.step(event.LoadReported{Load: event.Load{
		Target: "t", Incarnation: 1, Seq: seq, Slots: 4, Running: len(s.attempts), PrefillRate: 10000, DecodeRate: 100,
		Serves: []rules.Serve{serve},
	}})
	far := event.Host{ID: hostID("khovd", 0), Incarnation: 1, Place: placeOf("khovd")}
	s.step(event.SummaryReceived{Summary: event.Summary{
		From: far.ID, Place: far.Place, Incarnation: 1, Seq: seq, Hosts: []event.Host{far},
		Pools: []event.Pool{{Serve: serve, Slots: 40, Free: 40, Offer: 20, PrefillRate: 10000, DecodeRate: 100, Price: 1}},
	}})
}

func (s *engineHost) step(ev event.Event) {
	for _, eff := range s.red.Step(s.now, ev) {
		switch e := eff.(type) {
		case event.Dispatch:
			s.attempts = append(s.attempts, e.Attempt)
		case event.Forward:
			s.forwarded++
		}
	}
}

func (s *engineHost) send() {
	s.sent++
	s.step(event.RequestArrived{Request: event.Request{
		ID: ident.RequestID(fmt.Sprint("q", s.sent)), Account: "foundation", Profile: "draft",
		Prompt: 100, MaxTokens: 50, Deadline: s.now.Add(time.Minute),
	}})
}

// endOldest ends the oldest request at the engine.
func (s *engineHost) endOldest() {
	a := s.attempts[0]
	s.attempts = s.attempts[1:]
	s.step(event.AttemptSent{Attempt: a})
	s.step(event.AttemptEnded{Attempt: a, Result: event.ResultDone, Delivered: 50, Generated: 50})
}

// Guards against a long queue that keeps all its requests although another data centre offers
// capacity.
func TestLongQueueCrosses(t *testing.T) {
	for _, tc := range []struct {
		slotInterval time.Duration
		cross        bool
	}{{100 * time.Millisecond, true}, {time.Second, false}} {
		s := newEngineHost(t)
		for range 5 {
			s.send()
		}
		for i := range 100 {
			if i%2 == 0 {
				s.now = s.now.Add(tc.slotInterval)
				s.endOldest()
				s.reportLoad(uint64(i + 2))
			}
			if tc.cross || len(s.attempts) < 5 {
				s.send()
			}
		}
		if got := s.forwarded > 0; got != tc.cross {
			t.Errorf("one slot freed every %v: %d of %d requests crossed", tc.slotInterval, s.forwarded, s.sent)
		}
	}
}
