// Package poison finds the requests that end their targets.
//
// A request that crashes each target it is sent to takes down a service within seconds: its
// retries, and the repeats of its caller, each end one more target. A Book counts the targets that
// ended under each content, over all hosts, and condemns the content after MaxEnds of them.
//
// # Usage
//
//	req.Content = poison.ContentOf(account, body, method, path)
//	book := poison.New()
//	// When a target has ended while it ran the request, or has answered it:
//	book.Ended(now, poison.End{Content: req.Content, Run: run, SentAt: sentAt})
//	book.Answered(now, req.Content, took)
//
//	// Before the request is sent to a target:
//	if book.Condemned(now, req.Content) {
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
// # Bounds
//
// The number of contents is bounded, those that are least recently known to end targets are dropped
// first. Suspicion expires; what was condemned is then a suspect that the next end condemns.
package poison

import (
	"cmp"
	"container/list"
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
	// maxRecords bounds the suspected contents, and as many condemned ones.
	maxRecords = 2048
	// maxRuns bounds the targets that are remembered for one content.
	maxRuns = 8
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
	Content ident.Content
	Run     event.TargetRun
	SentAt  ident.Time
	// EndedAt is when the target ended, if this host has found out later; zero means now.
	EndedAt ident.Time
	// Regions are the regions to which residency rules confine the request, nil for any.
	Regions []ident.Region
}

// Book holds what one host knows of requests that end targets. It belongs to the reducer.
type Book struct {
	records map[ident.Content]*list.Element
	// suspects and condemned order the records by their last end, the oldest first.
	suspects, condemned *list.List
	answers             [answerSlots]answer
	announcer           announcer
	// newlyCondemned holds the contents condemned since TakeCondemned.
	newlyCondemned []ident.Content
}

// answer is the last answer to a content.
type answer struct {
	content ident.Content
	at      ident.Time
	took    time.Duration
}

// record is what is known of one content.
type record struct {
	content ident.Content
	// runs are the targets that ended, the earliest first, and when this host learned of each.
	runs   []event.TargetRun
	seenAt []ident.Time
	// inSeries counts the targets that ended one after the other: under a run that began after the
	// end before it was known.
	inSeries   int
	firstEndAt ident.Time
	lastEndAt  ident.Time
	// running is how long the request had been at the target that ended last.
	running time.Duration
	// answeredIn is how long an answer to the content took shortly before, zero for none.
	answeredIn time.Duration
	// confined is set if residency rules confine the requests, regions are those that may know
	// of the content, as far as this host knows them.
	confined bool
	regions  []ident.Region
	// condemnedAt is when the content was condemned, zero if it is not.
	condemnedAt ident.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{records: make(map[ident.Content]*list.Element), suspects: list.New(), condemned: list.New()}
}

// Ended records a target that ended while it ran a request of this host, and announces it.
func (b *Book) Ended(now ident.Time, e End) {
	endedAt := cmp.Or(e.EndedAt, now)
	if e.Content == 0 || e.EndedAt > 0 && b.isAnsweredSince(e.Content, endedAt) {
		return
	}
	end := event.TargetEnd{
		Content: e.Content, Run: b.nextRun(e), Age: now.Sub(endedAt), Running: endedAt.Sub(e.SentAt), Confined: e.Regions != nil,
	}
	if a, ok := b.answerSince(e.Content, now.Add(-answerTTL)); ok {
		end.AnsweredIn = max(a.took, time.Millisecond)
	}
	r, isNew := b.record(now, end)
	r.regions = e.Regions
	if isNew {
		b.announcer.add(now, end, urgencyOf(r))
	}
}

// nextRun returns the run of a target that ended. A target may have started again before this host
// knows of it, and then end a second time under the name of the run that has ended already.
func (b *Book) nextRun(e End) event.TargetRun {
	run := e.Run
	r := b.lookUp(e.Content)
	if r == nil {
		return run
	}
	for i, known := range r.runs {
		if known == run && e.SentAt >= r.seenAt[i] {
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
			b.remove(e.Content)
		case b.isAnsweredSince(e.Content, now.Add(-e.Age)):
			// The sender does not know of the answer.
			b.announcer.add(now, event.TargetEnd{Content: e.Content, Cleared: true, Confined: e.Confined}, urgent)
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
	r := b.ensure(e.Content)
	if slices.Contains(r.runs, e.Run) {
		return r, false
	}
	endedAt := now.Add(-e.Age)
	if len(r.runs) < maxRuns {
		r.runs, r.seenAt = append(r.runs, e.Run), append(r.seenAt, now)
	}
	if r.inSeries == 0 {
		r.firstEndAt = endedAt
	}
	if r.inSeries == 0 || endedAt.Add(-e.Running) >= r.lastEndAt {
		r.inSeries++
		r.lastEndAt = max(r.lastEndAt, endedAt)
		r.running = e.Running
	}
	r.answeredIn = max(r.answeredIn, e.AnsweredIn)
	r.confined = r.confined || e.Confined
	if r.condemnedAt == 0 && r.isPoison(endedAt) {
		r.condemnedAt = max(now, 1)
		b.newlyCondemned = append(b.newlyCondemned, r.content)
	}
	b.moveToBack(r)
	return r, true
}

// isPoison reports whether the ends of a record, the last one at endedAt, condemn its content.
func (r *record) isPoison(endedAt ident.Time) bool {
	if r.answeredIn == 0 {
		return len(r.runs) >= MaxEnds
	}
	return r.inSeries >= MaxEnds && endedAt.Sub(r.firstEndAt) >= answerTimes*r.answeredIn
}

// Answered records that a target has answered a request of the content, and how long that took.
func (b *Book) Answered(now ident.Time, content ident.Content, took time.Duration) {
	if content == 0 {
		return
	}
	b.answers[content%answerSlots] = answer{content, now, took}
	if r := b.lookUp(content); r != nil {
		b.announcer.add(now, event.TargetEnd{Content: content, Cleared: true, Confined: r.confined}, urgent)
		b.remove(content)
	}
}

// answerSince returns the last answer to the content that this host has received, if it has since a
// time.
func (b *Book) answerSince(content ident.Content, since ident.Time) (answer, bool) {
	a := b.answers[content%answerSlots]
	return a, a.content == content && a.at >= since
}

func (b *Book) isAnsweredSince(content ident.Content, since ident.Time) bool {
	_, ok := b.answerSince(content, since)
	return ok
}

// Condemned reports whether no target may receive the content.
func (b *Book) Condemned(now ident.Time, content ident.Content) bool {
	b.expire(now)
	r := b.lookUp(content)
	if r == nil || r.condemnedAt == 0 {
		return false
	}
	if r.answeredIn > 0 && now.Sub(r.condemnedAt) >= answerTTL {
		b.remove(content)
		return false
	}
	return true
}

// Runs returns the targets that ended under the content.
func (b *Book) Runs(now ident.Time, content ident.Content) []event.TargetRun {
	b.expire(now)
	if r := b.lookUp(content); r != nil {
		return slices.Clone(r.runs)
	}
	return nil
}

// Allows reports whether the hosts of another region may know of an end.
func (b *Book) Allows(e event.TargetEnd, region ident.Region) bool {
	if !e.Confined {
		return true
	}
	r := b.lookUp(e.Content)
	return r != nil && slices.Contains(r.regions, region)
}

// Len returns the number of contents under which targets have ended.
func (b *Book) Len() int { return len(b.records) }

// TakeCondemned returns the contents that were condemned since the last call.
func (b *Book) TakeCondemned() []ident.Content {
	cs := b.newlyCondemned
	b.newlyCondemned = nil
	return cs
}

// expire drops the suspicions that have expired. A condemned content becomes a suspect again that the
// next end condemns.
func (b *Book) expire(now ident.Time) {
	for _, l := range []*list.List{b.suspects, b.condemned} {
		for front := l.Front(); front != nil; front = l.Front() {
			r := front.Value.(*record)
			if now.Sub(r.lastEndAt) < suspicionTTL {
				break
			}
			if r.condemnedAt == 0 {
				b.remove(r.content)
				continue
			}
			r.condemnedAt, r.lastEndAt = 0, now
			kept := len(r.runs) - MaxEnds + 1
			r.runs, r.seenAt = r.runs[kept:], r.seenAt[kept:]
			r.inSeries = MaxEnds - 1
			b.moveToBack(r)
		}
	}
}

func (b *Book) lookUp(content ident.Content) *record {
	if el, ok := b.records[content]; ok {
		return el.Value.(*record)
	}
	return nil
}

func (b *Book) ensure(content ident.Content) *record {
	if r := b.lookUp(content); r != nil {
		return r
	}
	r := &record{content: content}
	b.records[content] = b.suspects.PushBack(r)
	return r
}

// moveToBack moves a record to the back of its list and drops the oldest record if that is full.
func (b *Book) moveToBack(r *record) {
	b.unlink(r.content)
	l := b.suspects
	if r.condemnedAt > 0 {
		l = b.condemned
	}
	b.records[r.content] = l.PushBack(r)
	if l.Len() > maxRecords {
		b.remove(l.Front().Value.(*record).content)
	}
}

func (b *Book) remove(content ident.Content) {
	b.unlink(content)
	delete(b.records, content)
}

// unlink removes a record from its list.
func (b *Book) unlink(content ident.Content) {
	el, ok := b.records[content]
	if !ok {
		return
	}
	b.suspects.Remove(el)
	b.condemned.Remove(el)
}
