package clock

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/ident"
)

func TestDueTimesFireInOrder(t *testing.T) {
	s := New()
	defer s.Stop()
	now := s.Now()
	late := s.At(now.Add(40 * time.Millisecond))
	early := s.At(now.Add(5 * time.Millisecond))
	gone := s.At(now.Add(10 * time.Millisecond))
	gone.Close()
	first := <-early.C()
	second := <-late.C()
	if first > second {
		t.Errorf("the early moment came at %d, after the late one at %d", first, second)
	}
	select {
	case <-gone.C():
		t.Error("a closed subscription was delivered")
	default:
	}
}

func TestResetReplacesTheDueTime(t *testing.T) {
	s := New()
	defer s.Stop()
	sub := s.At(s.Now())
	want := s.Now().Add(20 * time.Millisecond)
	sub.Reset(want)
	if got := <-sub.C(); got < want {
		t.Errorf("woke at %d, before %d", got, want)
	}
}

// A process that wakes from a pause fires all missed periods at once.
func TestMissedPeriodsAreSkipped(t *testing.T) {
	at := ident.Time(100)
	every := 10 * time.Nanosecond
	got := []ident.Time{nextAfter(at, every, 100), nextAfter(at, every, 109), nextAfter(at, every, 1055)}
	if diff := cmp.Diff([]ident.Time{110, 110, 1060}, got); diff != "" {
		t.Errorf("next moments (-want +got):\n%s", diff)
	}
}
