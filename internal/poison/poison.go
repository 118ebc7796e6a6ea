// Package poison finds the requests that end their targets, and the parts of prompts that do.
//
// A request that crashes each target it is sent to takes down a service within seconds: its
// retries, and the repeats of its caller, each end one more target. So do requests that share
// a part of their prompts with it, and nothing else. A Book counts the targets that ended under
// each content of a request and each part of a prompt, over all hosts, and condemns it after
// MaxEnds of them.
//
// # Usage
//
//	s := poison.Subject{Content: poison.ContentOf(account, body, method, path)}
//	s.Parts = append(s.Parts, poison.PartOf(id))
//	book := poison.New()
//	// When a target has ended while it ran the request, or has answered it:
//	book.Ended(now, poison.End{Subject: s, Run: run, SentAt: sentAt})
//	book.Answered(now, s, took)
//
//	// Before the request is sent to a target:
//	if content, ok := book.Blamed(now, s); ok {
//		// refuse it for good
//	}
//
//	// What other hosts have found, and what this host has found for them:
//	book.Merge(now, received)
//	if at := book.NextAnnouncement(); at > 0 && now >= at {
//		send(book.Announce(now))
//	}
//
// # Suspects
//
// A target ends while it runs many requests, of which at most one is to blame. Each of them is a
// suspect, until a target answers the same content. A call that many callers make runs at every
// target that crashes for whatever reason; if it was answered shortly before, it is condemned only
// if the targets ended one after the other, each of them under a run that began after the end
// before it was known, with no answer in a time that is long enough for one.
//
// # Parts of prompts
//
// Many requests have a part in common, so that one of them runs at nearly every target that ends. A
// part is condemned only by targets that ended one after the other, under answers to different
// requests that had just begun, with no whole answer to any request with the part in between. They
// have to be half of all targets that ended meanwhile, or manyEnds.
//
// Where several contents are condemned, one is not held against a request if another, which the
// request lacks, was at all of its ends: it is a bystander, or always comes with the one at fault.
//
// # Bounds
//
// The number of contents is bounded, those that are least recently known to end targets are dropped
// first. Suspicion expires; what was condemned is then a suspect that the next end condemns.
package poison

import (
	"cmp"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// MaxEnds is the number of targets that may end under one content before it is condemned.
const MaxEnds = 3

// Lifetimes and bounds.
const (
	// suspicionTTL is how long an end counts after the last one under the same content.
	suspicionTTL = 5 * time.Minute
	// answerTTL is how long an answer shows that targets survive the content. It is also how long a
	// content that was answered before stays condemned.
	answerTTL = 10 * time.Second
	// answerTimes is how often an answer could have come without one before a content that was
	// answered is condemned.
	answerTimes = 2
	// maxRecords bounds the contents under which one target ended, and as many with several ends and
	// condemned ones.
	maxRecords = 2048
	// staggerTime is the range over which hosts spread the expiry of what they know.
	staggerTime = time.Minute
	// freshAnswer is the age of an answer to a part of prompts up to which an end does not count against the part.
	freshAnswer = time.Second
	// maxBeginning is how long an answer counts as begun. Parts of prompts end targets that begin an
	// answer, not those that have been writing it.
	maxBeginning = 500 * time.Millisecond
	// minCoverage is the share of all targets that ended under a part of prompts, from its first end on, for
	// which MaxEnds of them condemn it. If more ended beside it, manyEnds do.
	minCoverage = 0.75
	manyEnds    = 2 * MaxEnds
	// maxRecentEnds bounds the targets that are remembered for minCoverage.
	maxRecentEnds = 256
	// minRestart is the shortest time after its end in which a target may have started again.
	minRestart = 100 * time.Millisecond
	// maxRuns bounds the targets that are remembered for one content.
	maxRuns = 32
	// answerSlots is the size of the table of recent answers. An answer replaces one of another
	// content with the same slot.
	answerSlots = 4096
)

// RunOf returns the run of an incarnation of a target.
func RunOf(id ident.TargetID, inc ident.Incarnation) event.TargetRun {
	return event.TargetRun(rank.Combine(rank.Hash("run", string(id)), uint64(inc)))
}

// End is a target that ended while it ran a request of this host.
type End struct {
	Subject
	Run    event.TargetRun
	SentAt ident.Time
	// AnswerBeganAt is when the first piece of the answer came, zero if none did.
	AnswerBeganAt ident.Time
	// EndedAt is when the target ended, if this host has found out later; zero means now.
	EndedAt ident.Time
	// Regions are the regions to which residency rules confine the request, nil for any.
	Regions []ident.Region
}

// Book holds what one host knows of requests that end targets. It belongs to the reducer.
type Book struct {
	records records
	// answers are the last answers to contents of requests, partAnswers those to parts of prompts.
	answers, partAnswers [answerSlots]answer
	announcer            announcer
	// recentEnds are the targets that ended last, under any content.
	recentEnds []knownEnd
	// ttl is how long this host keeps an end, at least suspicionTTL.
	ttl time.Duration
	// newlyCondemned holds the contents condemned since TakeCondemned.
	newlyCondemned []ident.Content
}

// answer is the last answer to a content.
type answer struct {
	content ident.Content
	at      ident.Time
	took    time.Duration
}

// New returns an empty book.
func New() *Book { return &Book{records: newRecords(), ttl: suspicionTTL} }

// Stagger lets the ends that this host knows expire up to staggerTime later, depending on the host. What
// was condemned is then tried again by one host after the other.
func (b *Book) Stagger(host ident.EntryID) {
	b.ttl = suspicionTTL + time.Duration(rank.Unit(rank.Mix(rank.Hash(string(host))))*float64(staggerTime))
}

// Ended records a target that ended while it ran a request of this host, and announces it.
func (b *Book) Ended(now ident.Time, e End) {
	endedAt := cmp.Or(e.EndedAt, now)
	b.ended(now, e, event.TargetEnd{Content: e.Content})
	if b.Survived(endedAt, e.Subject, e.SentAt, e.AnswerBeganAt) {
		return
	}
	for _, p := range e.Parts {
		b.ended(now, e, event.TargetEnd{Content: p, Part: true, Under: uint16(e.Content)})
	}
}

// ended records that a target ended under the content of a request or a part of its prompt.
func (b *Book) ended(now ident.Time, e End, end event.TargetEnd) {
	endedAt := cmp.Or(e.EndedAt, now)
	if end.Content == 0 || e.EndedAt > 0 && b.isAnsweredSince(end, endedAt) || end.Part && b.isAnsweredSince(end, endedAt.Add(-freshAnswer)) {
		return
	}
	end.Run, end.Age, end.Running, end.Confined = b.nextRun(e, end.Content), now.Sub(endedAt), endedAt.Sub(e.SentAt), e.Regions != nil
	if a, ok := b.answerSince(end, now.Add(-answerTTL)); ok {
		end.AnsweredIn = max(a.took, time.Millisecond)
	}
	r, isNew := b.record(now, end)
	r.regions = e.Regions
	if isNew {
		end.Condemned, end.AnsweredIn = r.condemnedAt > 0, r.answeredIn
		b.announcer.add(now, end, urgencyOf(r))
	}
}

// nextRun returns the run of a target that ended under a content. A target may have started again before
// this host knows of it, and then end a second time under the name of the run that has ended already. A
// request that was sent at once after an end may have gone out on a connection whose end had not been
// noticed.
func (b *Book) nextRun(e End, content ident.Content) event.TargetRun {
	run := e.Run
	r := b.records.find(content)
	if r == nil {
		return run
	}
	for _, known := range r.ends {
		if known.run == run && e.SentAt >= known.seenAt.Add(minRestart) {
			run = event.TargetRun(rank.Combine(uint64(run), 1))
		}
	}
	return run
}

// Merge records ends that other hosts have announced.
func (b *Book) Merge(now ident.Time, ends []event.TargetEnd) {
	for _, e := range ends[:min(len(ends), maxAnnounced)] {
		switch {
		case e.Content == 0:
		case e.Cleared:
			b.records.remove(e.Content)
		case b.isAnsweredSince(e, now.Add(-e.Age)):
			// The sender does not know of the answer.
			b.announcer.add(now, event.TargetEnd{Content: e.Content, Part: e.Part, Cleared: true, Confined: e.Confined}, urgent)
		default:
			b.record(now, e)
		}
	}
}

// MergeRuns records the ended targets that a forwarded request or its answer named.
func (b *Book) MergeRuns(now ident.Time, content ident.Content, runs []event.TargetRun, running time.Duration) {
	if content == 0 {
		return
	}
	for _, run := range runs[:min(len(runs), maxRuns)] {
		b.record(now, event.TargetEnd{Content: content, Run: run, Running: running})
	}
}

// record adds an end and reports whether it was not known.
func (b *Book) record(now ident.Time, e event.TargetEnd) (*record, bool) {
	b.expire(now)
	r := b.records.ensure(e.Content, e.Part)
	isNew := !r.has(e.Run)
	if isNew {
		r.add(now, e)
	}
	if isNew {
		b.addRecentEnd(now, e.Run)
	}
	condemns := r.condemnedAt == 0 && (e.Condemned && !r.isLapsed(now.Add(-e.Age), now) || isNew && r.isPoison(now.Add(-e.Age), b.endsSince(r.ends[0].seenAt)))
	if condemns {
		r.condemnedAt = max(now.Add(-e.Age), 1)
		b.newlyCondemned = append(b.newlyCondemned, r.content)
	}
	if isNew || condemns {
		b.records.moveToBack(r)
	}
	return r, isNew
}

// addRecentEnd adds a target to those that ended last.
func (b *Book) addRecentEnd(now ident.Time, run event.TargetRun) {
	if slices.ContainsFunc(b.recentEnds, func(e knownEnd) bool { return e.run == run }) {
		return
	}
	b.recentEnds = append(b.recentEnds, knownEnd{run: run, seenAt: now})
	b.recentEnds = b.recentEnds[max(len(b.recentEnds)-maxRecentEnds, 0):]
}

// endsSince returns how many targets this host has learned to have ended since a time.
func (b *Book) endsSince(since ident.Time) int {
	n := 0
	for _, e := range b.recentEnds {
		if e.seenAt >= since {
			n++
		}
	}
	return n
}

// Answered records that a target has given a request its whole answer, and how long that took.
func (b *Book) Answered(now ident.Time, s Subject, took time.Duration) {
	if s.Content != 0 {
		b.answered(now, event.TargetEnd{Content: s.Content}, took)
	}
	for _, p := range s.Parts {
		b.answered(now, event.TargetEnd{Content: p, Part: true}, took)
	}
}

// Survived records that a target has been writing the answer to a request for maxBeginning: the parts of its
// prompt do not end targets. It reports whether the answer has been written for as long.
func (b *Book) Survived(now ident.Time, s Subject, sentAt, beganAt ident.Time) bool {
	if beganAt == 0 || now.Sub(beganAt) < maxBeginning {
		return false
	}
	b.Answered(now, Subject{Parts: s.Parts}, now.Sub(sentAt))
	return true
}

// answered records an answer to the content that cleared names, and announces it if the content is a
// suspect.
func (b *Book) answered(now ident.Time, cleared event.TargetEnd, took time.Duration) {
	*b.slot(cleared) = answer{cleared.Content, now, took}
	if r := b.records.find(cleared.Content); r != nil {
		cleared.Cleared, cleared.Confined = true, r.confined
		b.announcer.add(now, cleared, urgent)
		b.records.remove(r.content)
	}
}

// slot returns the slot of the last answer to the content of an end.
func (b *Book) slot(e event.TargetEnd) *answer {
	if e.Part {
		return &b.partAnswers[e.Content%answerSlots]
	}
	return &b.answers[e.Content%answerSlots]
}

// answerSince returns the last answer to the content of an end that this host has received, if it has
// since a time.
func (b *Book) answerSince(e event.TargetEnd, since ident.Time) (answer, bool) {
	a := *b.slot(e)
	return a, a.content == e.Content && a.at >= since
}

func (b *Book) isAnsweredSince(e event.TargetEnd, since ident.Time) bool {
	_, ok := b.answerSince(e, since)
	return ok
}

// Condemned reports whether a content is condemned. A request that has it may still be sent to a
// target; see Blamed.
func (b *Book) Condemned(now ident.Time, content ident.Content) bool {
	b.expire(now)
	r := b.records.find(content)
	if r == nil || r.condemnedAt == 0 {
		return false
	}
	if r.isLapsed(r.condemnedAt, now) {
		b.records.remove(content)
		return false
	}
	return true
}

// IsPart reports whether a content is known to be a part of prompts.
func (b *Book) IsPart(content ident.Content) bool {
	r := b.records.find(content)
	return r != nil && r.part
}

// Runs returns the targets that ended under the content.
func (b *Book) Runs(now ident.Time, content ident.Content) []event.TargetRun {
	b.expire(now)
	var runs []event.TargetRun
	if r := b.records.find(content); r != nil {
		for _, e := range r.ends {
			runs = append(runs, e.run)
		}
	}
	return runs
}

// Allows reports whether the hosts of another region may know of an end.
func (b *Book) Allows(e event.TargetEnd, region ident.Region) bool {
	if !e.Confined {
		return true
	}
	r := b.records.find(e.Content)
	return r != nil && slices.Contains(r.regions, region)
}

// Len returns the number of contents under which targets have ended.
func (b *Book) Len() int { return len(b.records.byContent) }

// TakeCondemned returns the contents that were condemned since the last call.
func (b *Book) TakeCondemned() []ident.Content {
	cs := b.newlyCondemned
	b.newlyCondemned = nil
	return cs
}

// expire drops the suspicions that have expired. A condemned content becomes a suspect again that the
// next end condemns.
func (b *Book) expire(now ident.Time) {
	for _, l := range b.records.lists() {
		for front := l.Front(); front != nil; front = l.Front() {
			r := front.Value.(*record)
			if now.Sub(r.newestEndAt) < b.ttl {
				break
			}
			if r.condemnedAt == 0 {
				b.records.remove(r.content)
				continue
			}
			r.expireCondemned(now)
			b.records.moveToBack(r)
		}
	}
}
