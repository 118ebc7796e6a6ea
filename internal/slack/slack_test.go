package slack

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/ident"
)

const goal = time.Second

// Guards against requests that are queued too long: when answers become slower, less of the goal
// is left for the queue.
func TestMaxWaitFollowsAnswerTimes(t *testing.T) {
	b := New()
	if got := b.MaxWait("r", goal, 0); got != goal {
		t.Errorf("with no answer known a request may wait %s", got)
	}
	last := goal
	for _, took := range []time.Duration{100, 400, 700, 1100} {
		for range 60 {
			b.FirstByte("r", took*time.Millisecond)
		}
		got := b.MaxWait("r", goal, 0)
		want := goal - took*time.Millisecond
		if off := (got - want).Abs(); off > 20*time.Millisecond || got >= last {
			t.Errorf("with answers after %dms a request may wait %s", took, got)
		}
		last = got
	}
	if b.MaxWait("r", goal, 0) > 0 {
		t.Error("a request may wait though no answer begins in time")
	}
}

// Guards against a request that comes back after a refusal being counted as a first request with a
// shorter time.
func TestReturningCallersAreRecognised(t *testing.T) {
	b := New()
	var got []time.Duration
	for _, remaining := range []time.Duration{3000, 2600, 1700, 2900, 2300} {
		got = append(got, b.Arrived("r", remaining*time.Millisecond).Round(100*time.Millisecond))
	}
	want := []time.Duration{0, 0, 1300 * time.Millisecond, 0, 700 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against all requests counting as repeats after a refusal once an operator has shortened
// the time of a route.
func TestShorterTimesAreLearned(t *testing.T) {
	b := New()
	b.Arrived("r", 10*time.Second)
	for range 4000 {
		b.Arrived("r", 3*time.Second)
	}
	if got := b.Arrived("r", 3*time.Second); got != 0 {
		t.Errorf("a request with the new time counts as having waited %s", got)
	}
}

func TestRoutesAreBounded(t *testing.T) {
	b := New()
	for i := range 3 * maxRoutes {
		b.Arrived(ident.Profile(fmt.Sprint(i)), time.Second)
	}
	if len(b.routes) > maxRoutes {
		t.Errorf("%d routes are stored", len(b.routes))
	}
}
