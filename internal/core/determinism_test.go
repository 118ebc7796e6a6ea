package core_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// twin steps a second reducer beside the first and compares their effects.
type twin struct {
	a, b *core.Reducer
	fail func(format string, args ...any)
}

// Step steps both reducers. The second gets the event decoded from its recorded form, as in a
// replay.
func (tw *twin) Step(now ident.Time, ev event.Event) []event.Effect {
	line, err := event.EncodeEvent(now, ev)
	if err != nil {
		tw.fail("%v", err)
	}
	_, same, err := event.DecodeEvent(line)
	if err != nil {
		tw.fail("%v", err)
	}
	effs := tw.a.Step(now, ev)
	if want, got := tw.lines(now, effs), tw.lines(now, tw.b.Step(now, same)); !bytes.Equal(want, got) {
		tw.fail("event %s\nfirst  %s\nsecond %s", line, want, got)
	}
	return effs
}

func (tw *twin) lines(now ident.Time, effs []event.Effect) []byte {
	var out []byte
	for _, eff := range effs {
		line, err := event.EncodeEffect(now, eff)
		if err != nil {
			tw.fail("%v", err)
		}
		out = append(append(out, line...), '\n')
	}
	return out
}

// queryActs cause what acts rarely do: queries, and waiting requests of several kinds at the same
// time.
var queryActs = []act{
	{"status", func(rt *rapid.T, w *world) { w.Post(anyHost(rt), 0, event.StatusAsked{Ask: 1}) }},
	{"entries", func(rt *rapid.T, w *world) {
		w.Post(anyHost(rt), 0, event.EntriesAsked{Ask: 2, Account: "third", Profile: "draft", Seed: uint64(w.n)})
	}},
	{"route", func(rt *rapid.T, w *world) {
		w.Post(anyHost(rt), 0, event.RouteAsked{Ask: 3, Request: event.Request{ID: "q", Account: "third", Profile: "draft"}})
	}},
	{"crowd", func(rt *rapid.T, w *world) {
		host := anyHost(rt)
		for n := range 40 {
			w.send(host, "draft", "", "", "", 4*time.Second)
			key := fmt.Sprint("crowd-", w.n, "-", n)
			w.send(host, "publish", key, "", key, 4*time.Second)
		}
	}},
}

// Guards against a replay of recorded events that decides differently from the original run.
func TestSameEventsGiveSameEffects(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorldOf(rt.Fatalf, func(self event.Host) drive.Reducer {
			return &twin{a: core.New(self), b: core.New(self), fail: rt.Fatalf}
		})
		for range rapid.IntRange(5, 25).Draw(rt, "steps") {
			rapid.SampledFrom(append(queryActs, acts...)).Draw(rt, "act").do(rt, w)
			w.Run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
		}
	})
}
