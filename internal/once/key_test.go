package once

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
)

// The store takes the record but its reply is lost, and the read back fails as
// well, so the caller is told that nothing ran. Coming back with the same key
// finds the record of the first try. A user whose booking was never made could
// not make it with its key at all if that record counted as a run.
func TestLateWriteDoesNoHarm(t *testing.T) {
	rg := New("a", 5)
	first := rg.Key(0, "k", "p", "r1")
	got := []Verdict{
		rg.Claimed(0, "r1", event.ClaimFailed, event.KeyRecord{}),
		rg.Key(1, "k", "p", "r2"),
		rg.Claimed(1, "r2", event.ClaimTaken, first.Record),
	}
	want := []Verdict{
		refuse(codes.StoreDown, event.NotRun),
		{Do: Claim, Record: event.KeyRecord{Entry: "a", Incarnation: 5, Request: "r1", Print: "p"}},
		{Do: Run},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// The key is on record for another run or host. A user would have the work
// done twice if this host ran it, and be misled if it said "not run".
func TestKeyTaken(t *testing.T) {
	for name, tc := range map[string]struct {
		rec  event.KeyRecord
		want Verdict
	}{
		"other host":    {event.KeyRecord{Entry: "b", Incarnation: 3, Request: "x", Print: "p"}, owner("b", 3)},
		"later run":     {event.KeyRecord{Entry: "a", Incarnation: 6, Request: "x", Print: "p"}, owner("a", 6)},
		"earlier run":   {event.KeyRecord{Entry: "a", Incarnation: 4, Request: "x", Print: "p"}, refuse(codes.OutcomeUnknown, event.Unknown)},
		"other content": {event.KeyRecord{Entry: "b", Incarnation: 3, Request: "x", Print: "q"}, refuse(codes.KeyReused, event.NotRun)},
	} {
		rg := New("a", 5)
		rg.Key(0, "k", "p", "r1")
		got := []Verdict{rg.Claimed(0, "r1", event.ClaimTaken, tc.rec), rg.Key(1, "k", "p", "r2")}
		if diff := cmp.Diff([]Verdict{tc.want, tc.want}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
