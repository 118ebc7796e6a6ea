package poison

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// record is what is known of one content.
type record struct {
	content ident.Content
	// part is set if the content is a part of prompts.
	part bool
	// ends are the targets that ended, the earliest known first.
	ends []knownEnd
	// inSeries counts the targets that ended one after the other: under a run that began after the
	// end before it was known. For a part, repeats of one request count once.
	inSeries   int
	firstEndAt ident.Time
	// lastEndAt is the last end of the series, newestEndAt the last of all.
	lastEndAt, newestEndAt ident.Time
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

// knownEnd is one target that ended.
type knownEnd struct {
	run event.TargetRun
	// seenAt is when this host learned of the end.
	seenAt ident.Time
	under  uint16
}

// has reports whether a target is known to have ended under the content.
func (r *record) has(run event.TargetRun) bool {
	return slices.ContainsFunc(r.ends, func(e knownEnd) bool { return e.run == run })
}

// add adds an end that is not known.
func (r *record) add(now ident.Time, e event.TargetEnd) {
	endedAt := now.Add(-e.Age)
	repeats := r.part && e.Under != 0 && slices.ContainsFunc(r.ends, func(k knownEnd) bool { return k.under == e.Under })
	if len(r.ends) < maxRuns {
		r.ends = append(r.ends, knownEnd{run: e.Run, seenAt: now, under: e.Under})
	}
	if r.inSeries == 0 {
		r.firstEndAt = endedAt
	}
	if r.inSeries == 0 || endedAt.Add(-e.Running) >= r.lastEndAt && !repeats {
		r.inSeries++
		r.lastEndAt = max(r.lastEndAt, endedAt)
		r.running = e.Running
	}
	r.newestEndAt = max(r.newestEndAt, endedAt)
	r.answeredIn = max(r.answeredIn, e.AnsweredIn)
	r.confined = r.confined || e.Confined
}

// isPoison reports whether the ends of a record, the last one at endedAt, condemn its content. allEnds is the
// number of targets that have ended since the first of them, whatever they ran.
func (r *record) isPoison(endedAt ident.Time, allEnds int) bool {
	if !r.part && r.answeredIn == 0 {
		return len(r.ends) >= MaxEnds
	}
	if r.inSeries < MaxEnds || endedAt.Sub(r.firstEndAt) < answerTimes*r.answeredIn {
		return false
	}
	return !r.part || float64(len(r.ends)) >= minCoverage*float64(allEnds) || r.inSeries >= manyEnds
}

// isLapsed reports whether a content that was condemned at a time no longer is: one that was answered shortly
// before is condemned for answerTTL only.
func (r *record) isLapsed(condemnedAt, now ident.Time) bool {
	return r.answeredIn > 0 && now.Sub(condemnedAt) >= answerTTL
}

// isVaried reports whether the targets ended under requests of several contents, which share a part.
func (r *record) isVaried() bool {
	first := uint16(0)
	for _, e := range r.ends {
		if first != 0 && e.under != 0 && e.under != first {
			return true
		}
		first = cmp.Or(first, e.under)
	}
	return false
}

// expireCondemned makes the content a suspect that the next end condemns.
func (r *record) expireCondemned(now ident.Time) {
	r.condemnedAt, r.lastEndAt, r.newestEndAt = 0, now, now
	r.ends = r.ends[max(len(r.ends)-MaxEnds+1, 0):]
	r.inSeries = MaxEnds - 1
}

// records holds the records of a book. Those with one end, those with several and those that are
// condemned have a list each, ordered by their last ends and bounded, so that a flood of the first
// displaces none of the others.
type records struct {
	byContent                   map[ident.Content]*list.Element
	single, repeated, condemned *list.List
}

func newRecords() records {
	return records{byContent: make(map[ident.Content]*list.Element), single: list.New(), repeated: list.New(), condemned: list.New()}
}

// lists returns the lists, the most important first.
func (rs *records) lists() []*list.List { return []*list.List{rs.condemned, rs.repeated, rs.single} }

func (rs *records) listOf(r *record) *list.List {
	switch {
	case r.condemnedAt > 0:
		return rs.condemned
	case len(r.ends) > 1:
		return rs.repeated
	}
	return rs.single
}

// find returns the record of a content, nil if there is none.
func (rs *records) find(content ident.Content) *record {
	if el, ok := rs.byContent[content]; ok {
		return el.Value.(*record)
	}
	return nil
}

func (rs *records) ensure(content ident.Content, part bool) *record {
	if r := rs.find(content); r != nil {
		return r
	}
	r := &record{content: content, part: part}
	rs.byContent[content] = rs.single.PushBack(r)
	return r
}

// moveToBack moves a record to the back of its list and drops the oldest record if that is full.
func (rs *records) moveToBack(r *record) {
	rs.unlink(r.content)
	l := rs.listOf(r)
	rs.byContent[r.content] = l.PushBack(r)
	if l.Len() > maxRecords {
		rs.remove(l.Front().Value.(*record).content)
	}
}

func (rs *records) remove(content ident.Content) {
	rs.unlink(content)
	delete(rs.byContent, content)
}

// unlink removes a record from its list.
func (rs *records) unlink(content ident.Content) {
	el, ok := rs.byContent[content]
	if !ok {
		return
	}
	for _, l := range rs.lists() {
		l.Remove(el)
	}
}
