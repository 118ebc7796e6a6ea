package fence_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/fence"
	"verbenadale.example/verbenadale/pkg/ident"
)

// naive remembers when each question came and each read was asked for.
type naive struct {
	asked     map[fence.Read]ident.Time
	succeeded map[fence.Read]bool
}

// settles reports whether a read that was asked for after a question has succeeded.
func (n *naive) settles(question ident.Time) bool {
	for r, at := range n.asked {
		if at > question && n.succeeded[r] {
			return true
		}
	}
	return false
}

// Guards against questions that are settled by a read from before them, and against those that no read settles.
func TestOnlyLaterReadsSettleQuestions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fence.Fence
		ref := naive{asked: make(map[fence.Read]ident.Time), succeeded: make(map[fence.Read]bool)}
		now, pending := ident.Time(0), fence.Read(0)
		questions := make(map[ident.Time]fence.Read)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now++
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				questions[now] = f.Wait()
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			case 2:
				if n, ok := f.Due(now, rapid.IntRange(1, 500).Draw(t, "hosts")); ok {
					if pending != 0 {
						t.Fatalf("read %d was asked for during %d", n, pending)
					}
					pending, ref.asked[n] = n, now
				}
			case 3:
				if pending == 0 {
					continue
				}
				ref.succeeded[pending] = rapid.Bool().Draw(t, "succeeds")
				f.Ended(now, pending, ref.succeeded[pending])
				pending = 0
			}
			for at, n := range questions {
				if got, want := f.Passed(n), ref.settles(at); got != want {
					t.Fatalf("question of %v, read %d: passed %v, want %v", at, n, got, want)
				}
			}
		}
	})
}

// Guards against hosts that together read more often than the store bears.
func TestReadsOfAllHostsAreBounded(t *testing.T) {
	const perSecond, seconds = 1000, 10
	for _, hosts := range []int{6, 95, 370} {
		var f fence.Fence
		reads := 0
		for now := ident.Time(0); now < ident.Time(seconds*time.Second); now = now.Add(time.Millisecond) {
			f.Wait()
			if n, ok := f.Due(now, hosts); ok {
				reads++
				f.Ended(now, n, true)
			}
		}
		if got, most := hosts*reads, hosts+perSecond*seconds; got > most {
			t.Errorf("%d hosts: %d reads in %d s, want %d at most", hosts, got, seconds, most)
		}
	}
}
