package poison

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

const start = ident.Time(time.Hour)

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// end records that a target ended 10 ms after the request was sent to it.
func end(b *Book, now ident.Time, c ident.Content, run event.TargetRun) {
	b.Ended(now, End{Subject: Subject{Content: c}, Run: run, SentAt: now.Add(-10 * time.Millisecond)})
}

// exchange delivers the announcements of each book to the others.
func exchange(now ident.Time, books ...*Book) {
	for _, from := range books {
		ends := from.Announce(now)
		for _, to := range books {
			if to != from {
				to.Merge(now, ends)
			}
		}
	}
}

// Guards against a host that sends a request to a fourth target because other hosts saw the first ones
// end.
func TestEndsOfAllHostsCondemn(t *testing.T) {
	a, b, c := New(), New(), New()
	now := start
	for n, book := range []*Book{a, b, c} {
		check(t, fmt.Sprint("condemned before end ", n), false, a.Condemned(now, 1) || b.Condemned(now, 1) || c.Condemned(now, 1))
		end(book, now, 1, event.TargetRun(n))
		exchange(now, a, b, c)
		now = now.Add(time.Second)
	}
	check(t, "condemned", true, a.Condemned(now, 1) && b.Condemned(now, 1) && c.Condemned(now, 1))
	check(t, "another content", false, a.Condemned(now, 2))
	check(t, "announced once", []ident.Content{1}, b.TakeCondemned())
	check(t, "taken again", []ident.Content(nil), b.TakeCondemned())
}

// Guards against counting one end of a target several times.
func TestOneEndCountsOnce(t *testing.T) {
	a, b := New(), New()
	for range 4 {
		end(a, start, 1, 7)
		end(b, start, 1, 7)
		exchange(start, a, b)
		b.Merge(start, a.Known(start))
	}
	check(t, "runs", []event.TargetRun{7}, b.Runs(start, 1))
}

// Guards against missing that a target ended again before the host knew that it had started again.
func TestTargetThatRestartsCountsAgain(t *testing.T) {
	b := New()
	for n := range 3 {
		end(b, start.Add(time.Duration(n)*time.Second), 1, 7)
	}
	check(t, "condemned", true, b.Condemned(start.Add(3*time.Second), 1))
}

// Guards against condemning a request that targets answer.
func TestAnswerClears(t *testing.T) {
	a, b := New(), New()
	end(a, start, 1, 1)
	end(a, start, 1, 2)
	exchange(start, a, b)
	now := start.Add(time.Second)
	b.Answered(now, Subject{Content: 1}, 50*time.Millisecond)
	exchange(now, a, b)
	check(t, "known after the answer", 0, a.Len()+b.Len())
	now = now.Add(time.Second)
	end(a, now, 1, 3)
	exchange(now, a, b)
	check(t, "condemned", false, a.Condemned(now, 1) || b.Condemned(now, 1))
}

// Guards against a host that missed the answer and keeps others from sending the request.
func TestLateAnnouncementDoesNotUndoAnAnswer(t *testing.T) {
	a, b := New(), New()
	end(a, start, 1, 1)
	late := a.Announce(start)
	now := start.Add(time.Second)
	b.Answered(now, Subject{Content: 1}, 50*time.Millisecond)
	late[0].Age += time.Second
	b.Merge(now, late)
	check(t, "known", 0, b.Len())
	a.Merge(now, b.Announce(now))
	check(t, "known to the sender of the late announcement", 0, a.Len())
}

// Guards against counting an end that is found out later although the content was answered since, and against
// missing one that was not.
func TestEndFoundOutLaterCounts(t *testing.T) {
	a, b := New(), New()
	late := End{Subject: Subject{Content: 1}, Run: 7, SentAt: start, EndedAt: start.Add(time.Second)}
	now := start.Add(3 * time.Second)
	a.Ended(now, late)
	check(t, "without an answer", 1, a.Len())
	b.Answered(start.Add(2*time.Second), Subject{Content: 1}, 50*time.Millisecond)
	b.Ended(now, late)
	check(t, "after an answer", 0, b.Len())
	exchange(now, a, b)
	check(t, "after an answer that others have seen", 0, a.Len()+b.Len())
}

// Guards against condemning a popular call that runs at all targets while they are lost at once, and
// against never condemning one that begins to end them.
func TestPopularCallIsCondemnedOnlyInSeries(t *testing.T) {
	for name, c := range map[string]struct {
		gap, running, took time.Duration
		want               bool
	}{
		"at once":                     {gap: time.Millisecond, running: 20 * time.Millisecond, took: 20 * time.Millisecond},
		"before an answer could come": {gap: 50 * time.Millisecond, running: 10 * time.Millisecond, took: 2 * time.Second},
		"one after the other":         {gap: 50 * time.Millisecond, running: 10 * time.Millisecond, took: 20 * time.Millisecond, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := New()
			b.Answered(start, Subject{Content: 1}, c.took)
			now := start.Add(time.Second)
			for n := range 6 {
				b.Ended(now, End{Subject: Subject{Content: 1}, Run: event.TargetRun(n), SentAt: now.Add(-c.running)})
				now = now.Add(c.gap)
			}
			check(t, "condemned", c.want, b.Condemned(now, 1))
			check(t, "condemned later", false, b.Condemned(now.Add(answerTTL), 1))
		})
	}
}

// Guards against a suspicion that lasts for ever, and against one that is forgotten whole.
func TestCondemnationExpiresToASuspicion(t *testing.T) {
	b := New()
	for n := range MaxEnds {
		end(b, start, 1, event.TargetRun(n))
	}
	now := start.Add(suspicionTTL)
	check(t, "condemned", false, b.Condemned(now, 1))
	end(b, now, 1, 9)
	check(t, "condemned by the next end", true, b.Condemned(now, 1))
	end(b, now, 2, 1)
	check(t, "suspect", 0, len(b.Runs(now.Add(suspicionTTL), 2)))
}

// Guards against a flood of requests that push what is condemned out of memory, and against memory
// without a bound.
func TestBookIsBounded(t *testing.T) {
	b := New()
	for n := range MaxEnds {
		end(b, start, 1, event.TargetRun(n))
	}
	for n := range 3 * maxRecords {
		end(b, start, ident.Content(n+10), 1)
	}
	check(t, "records", maxRecords+1, b.Len())
	check(t, "condemned", true, b.Condemned(start, 1))
	check(t, "announced", maxAnnounced, len(b.Announce(start)))
	known := b.Known(start)
	check(t, "repeated", maxAnnounced, len(known))
	check(t, "repeated first", ident.Content(1), known[0].Content)
}

// Guards against waiting with the announcement of what must not be sent again.
func TestAnnouncementsAreUrgentByWhatTheyShow(t *testing.T) {
	b := New()
	check(t, "nothing to announce", ident.Time(0), b.NextAnnouncement())
	for n := range 20 {
		end(b, start, ident.Content(n+10), 1)
	}
	b.Announce(start)
	now := start.Add(time.Millisecond)
	end(b, now, 99, 1)
	check(t, "first end", start.Add(20*pacePerEnd), b.NextAnnouncement())
	end(b, now, 10, 2)
	check(t, "second end", start.Add(urgentInterval), b.NextAnnouncement())
	end(b, now, 10, 3)
	check(t, "condemned", true, b.NextAnnouncement() <= now)
}

// naive keeps every end of the contents that no target has answered since.
type naive map[ident.Content]map[event.TargetRun]bool

// Guards against hosts that disagree about what ends targets, whatever order their announcements
// arrive in, as long as none is lost.
func TestBooksAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{New(), New(), New()}
		n := make(naive)
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"end": func(t *rapid.T) {
				c := ident.Content(rapid.IntRange(1, 4).Draw(t, "content"))
				run := event.TargetRun(rapid.IntRange(1, 5).Draw(t, "run"))
				if n[c] == nil {
					n[c] = make(map[event.TargetRun]bool)
				}
				if n[c][run] {
					return
				}
				n[c][run] = true
				end(rapid.SampledFrom(books).Draw(t, "host"), now, c, run)
			},
			"answer": func(t *rapid.T) {
				c := ident.Content(rapid.IntRange(1, 4).Draw(t, "content"))
				exchange(now, books...)
				rapid.SampledFrom(books).Draw(t, "host").Answered(now, Subject{Content: c}, time.Hour)
				delete(n, c)
				exchange(now, books...)
				now = now.Add(2 * answerTTL)
			},
			"refresh": func(t *rapid.T) {
				from := rapid.SampledFrom(books).Draw(t, "from")
				rapid.SampledFrom(books).Draw(t, "to").Merge(now, from.Known(now))
			},
			"": func(t *rapid.T) {
				exchange(now, books...)
				for c := ident.Content(1); c <= 4; c++ {
					for i, b := range books {
						if got, want := b.Condemned(now, c), len(n[c]) >= MaxEnds; got != want {
							t.Fatalf("host %d, content %d: condemned %v, want %v", i, c, got, want)
						}
					}
				}
			},
		})
	})
}
