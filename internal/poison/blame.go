package poison

import (
	"math"
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Subject is what may be to blame for the end of a target that runs a request: its content, and the parts of its
// prompt that other requests share.
type Subject struct {
	Content ident.Content
	Parts   []ident.Content
}

// Has reports whether a content is one of the subject.
func (s Subject) Has(c ident.Content) bool { return s.Content == c || slices.Contains(s.Parts, c) }

// Blamed reports whether no target may receive a request, and by which content: one that is condemned and
// whose ends nothing else explains.
func (b *Book) Blamed(now ident.Time, s Subject) (ident.Content, bool) {
	b.expire(now)
	if b.records.condemned.Len() == 0 {
		return 0, false
	}
	if b.isBlamed(now, s.Content, s) {
		return s.Content, true
	}
	for _, p := range s.Parts {
		if b.isBlamed(now, p, s) {
			return p, true
		}
	}
	return 0, false
}

func (b *Book) isBlamed(now ident.Time, c ident.Content, s Subject) bool {
	return b.Condemned(now, c) && !b.isExplained(b.records.find(c), s)
}

// isExplained reports whether a condemned content that the request lacks was at all targets that ended under
// a record. The record then ran beside the content at fault, or in the same requests.
func (b *Book) isExplained(r *record, s Subject) bool {
	for el := b.records.condemned.Front(); el != nil; el = el.Next() {
		other := el.Value.(*record)
		if other != r && !s.Has(other.content) && other.explains(r) {
			return true
		}
	}
	return false
}

// explains reports whether all targets that ended under a record ended under this one as well, or minCoverage of
// them if the other one was answered shortly before: it then runs at targets that crash for another reason. The
// content of one request does not explain a part that others have ended targets with.
func (r *record) explains(o *record) bool {
	needed := len(o.ends)
	if o.answeredIn > 0 {
		needed = int(math.Ceil(minCoverage * float64(needed)))
	}
	if len(r.ends) < needed || o.part && !r.part && o.isVaried() {
		return false
	}
	common := 0
	for _, e := range o.ends {
		if r.has(e.run) {
			common++
		}
	}
	return common >= needed
}
