package once

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// naiveAttempts remembers every attempt without limit.
type naiveAttempts map[ident.Attempt]event.Answer

// Guards against an attempt that has run being answered as barred, whereupon the sender
// would send the request to another target.
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
	// known reports whether the naive answer is the only one allowed.
	known := func(a ident.Attempt) bool {
		newest[a.Entry] = max(newest[a.Entry], a.Incarnation)
		return exact && a.Incarnation == newest[a.Entry]
	}
	t.Repeat(map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			a := drawAttempt(t)
			previous, seen := naive[a]
			v := rg.AdmitAttempt(now, event.Envelope{Attempt: a, ToIncarnation: inc})
			if v.Action == Run && seen {
				t.Fatalf("%v runs again, previous answer %s", a, previous)
			}
			if v.Action == Refuse && v.Outcome == event.NotRun && previous != event.Barred && previous != event.Refused {
				t.Fatalf("%v is reported as not run, previous answer %q", a, previous)
			}
			if known(a) && (v.Action == Run) == seen {
				t.Fatalf("%v: got %s, previous answer %q", a, v.Action, previous)
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
			previous, seen := naive[a]
			got := rg.Bar(now, a, inc)
			want := previous
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
			total := 0
			for _, s := range rg.senders {
				total += len(s.attempts)
			}
			if total != rg.attemptCount || total > b.attempts || len(rg.senders) > b.senders {
				t.Fatalf("registry holds %d attempts of %d senders, but counts %d", total, len(rg.senders), rg.attemptCount)
			}
		},
	})
}

// Guards against a restarted host barring an attempt that its previous incarnation may
// have run.
func TestBarOtherIncarnation(t *testing.T) {
	rg := New("me", 8)
	a := ident.Attempt{Entry: "a", Incarnation: 1, Number: 1}
	if got := rg.Bar(0, a, 7); got != event.Forgotten {
		t.Errorf("asked about another incarnation: got %s", got)
	}
	if v := rg.AdmitAttempt(0, event.Envelope{Attempt: a, ToIncarnation: 7}); v.Action != Refuse {
		t.Errorf("addressed to another incarnation: got %s", v.Action)
	}
}
