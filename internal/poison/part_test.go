package poison

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Parts and contents of the tests.
const (
	bad, shared ident.Content = 1001, 1002
	request     ident.Content = 1
)

// partEnd records that a target ended under a request with parts, 10 ms after it was sent.
func partEnd(b *Book, now ident.Time, content ident.Content, run event.TargetRun, parts ...ident.Content) {
	b.Ended(now, End{Subject: Subject{Content: content, Parts: parts}, Run: run, SentAt: now.Add(-10 * time.Millisecond)})
}

// blamed reports whether a book refuses a request.
func blamed(b *Book, now ident.Time, content ident.Content, parts ...ident.Content) bool {
	_, ok := b.Blamed(now, Subject{Content: content, Parts: parts})
	return ok
}

// series ends a target a second under a new request each, and returns the time after the last one.
func series(b *Book, ends int, parts ...ident.Content) ident.Time {
	now := start
	for n := range ends {
		partEnd(b, now, request+ident.Content(n), event.TargetRun(n), parts...)
		now = now.Add(time.Second)
	}
	return now
}

// Guards against blaming a part for targets that ended at once, under answers that had been written for long, or under
// repeats of one request.
func TestWhatCountsAgainstAPart(t *testing.T) {
	for name, c := range map[string]struct {
		gap       time.Duration
		beganFor  time.Duration
		sameUnder bool
		want      bool
	}{
		"one after the other": {gap: time.Second, want: true},
		"just begun":          {gap: time.Second, beganFor: 100 * time.Millisecond, want: true},
		"at once":             {},
		"written for long":    {gap: time.Second, beganFor: maxBeginning},
		"one request":         {gap: time.Second, sameUnder: true},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := New(), start
			for n := range 4 {
				e := End{Subject: Subject{Content: 1, Parts: []ident.Content{bad}}, Run: event.TargetRun(n), SentAt: now.Add(-10 * time.Millisecond)}
				if !c.sameUnder {
					e.Content += ident.Content(n)
				}
				if c.beganFor > 0 {
					e.AnswerBeganAt = now.Add(-c.beganFor)
				}
				b.Ended(now, e)
				now = now.Add(c.gap)
			}
			check(t, "blamed", c.want, blamed(b, now, 99, bad))
		})
	}
}

// Guards against suspecting, and announcing, what all requests share each time that a target is lost.
func TestFreshAnswerKeepsAPartFromSuspicion(t *testing.T) {
	b := New()
	b.Answered(start, Subject{Parts: []ident.Content{shared}}, 50*time.Millisecond)
	partEnd(b, start.Add(freshAnswer), request, 1, shared)
	check(t, "after a fresh answer", 1, b.Len())
	partEnd(b, start.Add(freshAnswer+1), request, 2, shared)
	check(t, "after an older one", 2, b.Len())
}

// Guards against refusing requests for a part that always comes with the one at fault, and against sending one at fault that
// lacks it more than once.
func TestCompanionOfAPoisonPartIsNotBlamed(t *testing.T) {
	b := New()
	now := series(b, 3, shared, bad)
	check(t, "with both", true, blamed(b, now, 99, shared, bad))
	check(t, "with the companion", false, blamed(b, now, 99, shared))
	partEnd(b, now, 50, 50, bad)
	check(t, "alone", true, blamed(b, now, 99, bad))
	check(t, "the companion after that", false, blamed(b, now, 99, shared))
	b.Answered(now, Subject{Content: 60, Parts: []ident.Content{shared}}, 50*time.Millisecond)
	check(t, "after an answer to the companion", true, blamed(b, now, 99, shared, bad) && !blamed(b, now, 99, shared))
}

// Guards against refusing requests that ran beside the one at fault three times, and a part for the sake of one request that ends
// targets.
func TestBystandersAreNotBlamed(t *testing.T) {
	b, now := New(), start
	for n := range MaxEnds {
		run := event.TargetRun(n)
		partEnd(b, now, request+ident.Content(n), run, bad)
		partEnd(b, now, 77, run)
		now = now.Add(time.Second)
	}
	check(t, "condemned", true, b.Condemned(now, 77))
	check(t, "bystander", false, blamed(b, now, 77))

	b, now = New(), start
	for n := range MaxEnds {
		partEnd(b, now, 77, event.TargetRun(n), shared)
		now = now.Add(time.Second)
	}
	check(t, "the request", true, blamed(b, now, 77, shared))
	check(t, "another with its part", false, blamed(b, now, 78, shared))
}

// Guards against a host that goes on sending a part because it has missed some of the ends.
func TestVerdictsAreAnnounced(t *testing.T) {
	a, b := New(), New()
	series(a, 2, bad)
	a.Announce(start)
	now := start.Add(3 * time.Second)
	partEnd(a, now, 9, 9, bad)
	exchange(now, a, b)
	check(t, "by the announcement", true, blamed(b, now, 99, bad))
	c := New()
	c.Merge(now, a.Known(now))
	check(t, "by the refresh", true, blamed(c, now, 99, bad))
	b.Answered(now, Subject{Parts: []ident.Content{bad}}, time.Millisecond)
	exchange(now, a, b)
	check(t, "after an answer", false, blamed(a, now, 99, bad) || blamed(b, now, 99, bad))
}

// Guards against a verdict on what was answered shortly before that hosts hand to each other for ever.
func TestLapsedVerdictIsNotAdopted(t *testing.T) {
	a, b := New(), New()
	a.Answered(start.Add(-2*freshAnswer), Subject{Parts: []ident.Content{bad}}, 20*time.Millisecond)
	now := series(a, 3, bad)
	check(t, "condemned", true, blamed(a, now, 99, bad))
	b.Merge(now, a.Known(now))
	check(t, "adopted", true, blamed(b, now, 99, bad))
	now = now.Add(answerTTL)
	check(t, "lapsed", false, blamed(a, now, 99, bad) || blamed(b, now, 99, bad))
	b.Merge(now, a.Known(now))
	check(t, "adopted again", false, blamed(b, now, 99, bad))
}

// Guards against a target's survival that clears nothing, or clears a part as soon as an answer begins.
func TestAnswersWrittenForLongClearParts(t *testing.T) {
	b := New()
	now := series(b, 3, bad)
	s := Subject{Content: 9, Parts: []ident.Content{bad}}
	check(t, "not begun", false, b.Survived(now, s, now, 0))
	check(t, "just begun", false, b.Survived(now, s, now, now.Add(-maxBeginning+1)))
	check(t, "blamed", true, blamed(b, now, 99, bad))
	check(t, "written for long", true, b.Survived(now, s, now, now.Add(-maxBeginning)))
	check(t, "cleared", false, blamed(b, now, 99, bad))
}

// Guards against a flood of new parts that displaces the one at fault, whether it is condemned yet or not.
func TestFloodOfPartsDisplacesNoSuspect(t *testing.T) {
	b := New()
	now := series(b, 2, bad)
	for n := range 3 * maxRecords {
		partEnd(b, now, ident.Content(10_000+n), 100, ident.Content(50_000+n))
	}
	check(t, "bounded", true, b.Len() <= 3*maxRecords)
	partEnd(b, now, 9, 9, bad)
	check(t, "blamed", true, blamed(b, now, 99, bad))
}

// Guards against all hosts trying again at one moment what they have condemned.
func TestHostsTryAgainOneAfterTheOther(t *testing.T) {
	const hosts = 6
	again := 0
	for n := range hosts {
		b := New()
		b.Stagger(ident.EntryID(fmt.Sprint("h", n)))
		now := series(b, 3, bad)
		if !blamed(b, now.Add(suspicionTTL+staggerTime/4), 99, bad) {
			again++
		}
		check(t, "in the end", false, blamed(b, now.Add(suspicionTTL+staggerTime), 99, bad))
	}
	if again > hosts/2 {
		t.Errorf("%d of %d hosts try again within a quarter of the time", again, hosts)
	}
}

// Guards against refusing all requests that share a part because one of them was sent to a target at fault just after that had
// ended, over a connection whose end the host had not noticed.
func TestRequestSentIntoAnEndCountsAsThatEnd(t *testing.T) {
	b := New()
	now := series(b, 2, shared, bad)
	partEnd(b, now, 9, 9, shared, bad)
	sentAt := now.Add(5 * time.Millisecond)
	b.Ended(sentAt.Add(time.Millisecond), End{Subject: Subject{Content: 10, Parts: []ident.Content{shared}}, Run: 9, SentAt: sentAt})
	now = now.Add(time.Second)
	check(t, "targets that ended", 3, len(b.Runs(now, shared)))
	check(t, "at fault", true, blamed(b, now, 99, shared, bad))
	check(t, "with the shared part alone", false, blamed(b, now, 99, shared))
}

// Guards against refusing all requests that share a part because a target crashed for another reason while one part ended others.
func TestCrashBesideDoesNotBlameWhatIsAnswered(t *testing.T) {
	b := New()
	b.Answered(start.Add(-2*freshAnswer), Subject{Parts: []ident.Content{shared}}, 20*time.Millisecond)
	now := series(b, 4, shared, bad)
	partEnd(b, now, 50, 50, shared)
	now = now.Add(time.Second)
	check(t, "at fault", true, blamed(b, now, 99, shared, bad))
	check(t, "with the shared part alone", false, blamed(b, now, 99, shared))
}
