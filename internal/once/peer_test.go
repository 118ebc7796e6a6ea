package once

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// naiveAttempts remembers every attempt for ever.
type naiveAttempts map[ident.Attempt]event.Answer

// An attempt that has run is barred and sent to another target.
func TestRunOrBar(t *testing.T) {
	small := bounds{senders: 2, attempts: 5, senderAttempts: 4}
	for name, b := range map[string]bounds{"full": New("", 0).bounds, "small": small} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkPeers(t, b, name == "full") })
		})
	}
}

func drawAttempt(t *rapid.T) ident.Attempt {
	return ident.Attempt{
		Entry:       rapid.SampledFrom([]ident.EntryID{"a", "b", "c"}).Draw(t, "entry"),
		Incarnation: ident.Incarnation(rapid.IntRange(1, 2).Draw(t, "inc")),
		Number:      uint64(rapid.IntRange(1, 12).Draw(t, "number")),
	}
}

func checkPeers(t *rapid.T, b bounds, exact bool) {
	const inc = 7
	rg := New("me", inc)
	rg.bounds = b
	naive := naiveAttempts{}
	newest := map[ident.EntryID]ident.Incarnation{}
	now := ident.Time(0)
	// known says that the naive answer is the only one allowed.
	known := func(a ident.Attempt) bool {
		newest[a.Entry] = max(newest[a.Entry], a.Incarnation)
		return exact && a.Incarnation == newest[a.Entry]
	}
	t.Repeat(map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			a := drawAttempt(t)
			was, seen := naive[a]
			v := rg.AdmitAttempt(now, event.Envelope{Attempt: a, To: inc})
			if v.Action == Run && seen {
				t.Fatalf("%v runs, and was %s", a, was)
			}
			if v.Action == Refuse && v.Outcome == event.NotRun && was != event.Barred && was != event.Refused {
				t.Fatalf("%v is said not to have run, and was %q", a, was)
			}
			if known(a) && (v.Action == Run) == seen {
				t.Fatalf("%v: got %s, was %q", a, v.Action, was)
			}
			if v.Action == Run {
				naive[a] = event.Running
			}
		},
		"end": func(t *rapid.T) {
			a := drawAttempt(t)
			ans := rapid.SampledFrom([]event.Answer{event.Ended, event.Refused}).Draw(t, "answer")
			rg.AttemptEnded(now, a, ans)
			if naive[a] == event.Running {
				naive[a] = ans
			}
		},
		"bar": func(t *rapid.T) {
			a := drawAttempt(t)
			was, seen := naive[a]
			got := rg.Bar(now, a, inc)
			want := was
			if !seen {
				want = event.Barred
			}
			if got != event.Forgotten || known(a) {
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("%v (-naive +got):\n%s", a, diff)
				}
			}
			known(a)
			if got == event.Barred {
				naive[a] = event.Barred
			}
		},
		"": func(t *rapid.T) {
			now++
			held := 0
			for _, s := range rg.senders {
				held += len(s.attempts)
			}
			if held != rg.attemptCount || held > b.attempts || len(rg.senders) > b.senders {
				t.Fatalf("%d attempts of %d senders held, %d counted", held, len(rg.senders), rg.attemptCount)
			}
		},
	})
}

// A restarted host bars an attempt that its former run may have run.
func TestBarOtherIncarnation(t *testing.T) {
	rg := New("me", 8)
	a := ident.Attempt{Entry: "a", Incarnation: 1, Number: 1}
	if got := rg.Bar(0, a, 7); got != event.Forgotten {
		t.Errorf("asked about another incarnation: got %s", got)
	}
	if v := rg.AdmitAttempt(0, event.Envelope{Attempt: a, To: 7}); v.Action != Refuse {
		t.Errorf("meant for another incarnation: got %s", v.Action)
	}
}
