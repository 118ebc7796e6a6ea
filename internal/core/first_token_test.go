package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Guards against an engine being suspected after a burst of failures while it streams.
func TestFirstTokensShowThatATargetIsAlive(t *testing.T) {
	for _, tc := range []struct {
		name  string
		token bool
		want  string
	}{
		{"a stream has begun", true, "dispatch"},
		{"nothing was received", false, "refuse"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			red, now := oneEngine(t)
			var live []ident.Attempt
			for i := range 4 {
				for _, eff := range red.Step(now, arrival(i, now)) {
					if d, ok := eff.(event.Dispatch); ok {
						live = append(live, d.Attempt)
					}
				}
			}
			if len(live) != 4 {
				t.Fatalf("%d of 4 requests were sent", len(live))
			}
			for i, a := range live[:3] {
				if tc.token && i == 2 {
					red.Step(now, event.FirstToken{Attempt: live[3]})
				}
				red.Step(now, event.AttemptEnded{Attempt: a, Result: event.ResultFailed, Status: 500})
			}
			got := ""
			for _, eff := range red.Step(now, arrival(9, now)) {
				switch eff.(type) {
				case event.Dispatch, event.Refuse:
					got = event.TypeName(eff)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("a new request (-want +got):\n%s", diff)
			}
		})
	}
}

// oneEngine returns the reducer of a host with one engine.
func oneEngine(t *testing.T) (*core.Reducer, ident.Time) {
	t.Helper()
	now := ident.Time(time.Minute)
	red := core.New(event.Host{ID: hostID("uvs", 0), Incarnation: 1, Place: placeOf("uvs")})
	book, err := (*rules.Book)(nil).Apply(rules.Change{Revision: 1, ID: "c", Items: []rules.Item{
		profileItem(rules.Profile{Name: "draft", Models: []rules.Serve{{Model: "draft"}}}),
		clientItem(rules.Client{Name: "foundation", KeyDigest: rules.Digest("k")}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	red.Step(now, event.SnapshotReceived{Book: book})
	red.Step(now, event.HostsRead{Version: 1, Targets: []event.Target{{ID: "t", Incarnation: 1, Kind: event.Engine, Place: placeOf("uvs")}}})
	red.Step(now, event.LoadReported{Load: event.Load{
		Target: "t", Incarnation: 1, Seq: 1, Slots: 16, PrefillRate: 10000, DecodeRate: 100, Serves: []rules.Serve{{Model: "draft"}},
	}})
	return red, now
}

func arrival(n int, now ident.Time) event.RequestArrived {
	return event.RequestArrived{Request: event.Request{
		ID: ident.RequestID(fmt.Sprint("r", n)), Account: "foundation", Profile: "draft",
		Prompt: 10, MaxTokens: 1000, Stream: true, Deadline: now.Add(time.Minute),
	}}
}
