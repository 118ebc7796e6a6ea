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
	closed := s.At(now.Add(10 * time.Millisecond))
	closed.Close()
	first := <-early.C()
	second := <-late.C()
	if first > second {
		t.Errorf("early tick received at %d, after the late one at %d", first, second)
	}
	select {
	case <-closed.C():
		t.Error("closed subscription received a tick")
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
		t.Errorf("tick received at %d, before the due time %d", got, want)
	}
}

// Guards against a burst of all missed ticks when a process resumes after a pause.
func TestMissedPeriodsAreSkipped(t *testing.T) {
	due := ident.Time(100)
	period := 10 * time.Nanosecond
	got := []ident.Time{nextAfter(due, period, 100), nextAfter(due, period, 109), nextAfter(due, period, 1055)}
	if diff := cmp.Diff([]ident.Time{110, 110, 1060}, got); diff != "" {
		t.Errorf("next ticks (-want +got):\n%s", diff)
	}
}
