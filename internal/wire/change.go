package wire

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// FromChanges converts changes of the configuration.
func FromChanges(cs []rules.Change) *Changes { return &Changes{Changes: convert(cs, fromChange)} }

// ToEvent converts changes back.
func (p *Changes) ToEvent() []rules.Change { return convert(p.GetChanges(), toChange) }

// fromWallClock keeps milliseconds, since the time is only displayed. Zero means no
// time.
func fromWallClock(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func toWallClock(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

func fromChange(c rules.Change) *Change {
	return &Change{
		Revision: uint64(c.Revision), Id: string(c.ID), Base: uint64(c.Base), Operator: string(c.Operator),
		Approver: string(c.Approver), Note: c.Note, Items: convert(c.Items, fromItem), AtMs: fromWallClock(c.At),
	}
}

func toChange(p *Change) rules.Change {
	return rules.Change{
		Revision: ident.Revision(p.GetRevision()), ID: ident.ChangeID(p.GetId()), Base: ident.Revision(p.GetBase()),
		Operator: ident.Operator(p.GetOperator()), Approver: ident.Operator(p.GetApprover()),
		Note: p.GetNote(), Items: convert(p.GetItems(), toItem), At: toWallClock(p.GetAtMs()),
	}
}

func fromItem(it rules.Item) *Item {
	return &Item{Kind: string(it.Kind), Name: it.Name, Doc: it.Doc}
}

func toItem(p *Item) rules.Item {
	return rules.Item{Kind: rules.Kind(p.GetKind()), Name: p.GetName(), Doc: p.GetDoc()}
}

// FromBook converts a complete book.
func FromBook(b *rules.Book) (*Snapshot, error) {
	text, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	return &Snapshot{Book: text}, nil
}

// ToEvent converts a book back.
func (p *Snapshot) ToEvent() (*rules.Book, error) {
	b := &rules.Book{}
	if err := json.Unmarshal(p.GetBook(), b); err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	return b, nil
}

var answers = enumOf([]event.Answer{
	"", event.Barred, event.Running, event.Ended, event.Refused, event.Forgotten,
})

// FromBarAsk converts a "run or bar" query about an attempt.
func FromBarAsk(e event.AskBar) *BarAsk {
	return &BarAsk{Incarnation: uint64(e.Attempt.Incarnation), Number: e.Attempt.Number, To: uint64(e.Incarnation)}
}

// ToEvent converts the query of a peer. It can only concern an attempt of that peer,
// since the message has no field for another host.
func (p *BarAsk) ToEvent(from ident.EntryID) event.BarAsked {
	return event.BarAsked{
		From: from, ToIncarnation: ident.Incarnation(p.GetTo()),
		Attempt: ident.Attempt{
			Entry: from, Incarnation: ident.Incarnation(p.GetIncarnation()), Number: p.GetNumber(),
		},
	}
}

// FromBarAnswer converts an answer.
func FromBarAnswer(e event.AnswerBar) *BarAnswer {
	return &BarAnswer{
		Incarnation: uint64(e.Attempt.Incarnation), Number: e.Attempt.Number, Answer: Answer(answers.number(e.Answer)),
	}
}

// ToEvent converts an answer about an attempt of this host.
func (p *BarAnswer) ToEvent(self ident.EntryID) (event.BarAnswered, error) {
	ans, err := answers.value(int32(p.GetAnswer()))
	if err != nil {
		return event.BarAnswered{}, err
	}
	return event.BarAnswered{
		Attempt: ident.Attempt{
			Entry: self, Incarnation: ident.Incarnation(p.GetIncarnation()), Number: p.GetNumber(),
		},
		Answer: ans,
	}, nil
}

// enumValues lists the values of a named string type by their number on the wire. Zero
// is the unspecified value, which is malformed.
type enumValues[T ~string] []T

func enumOf[T ~string](vs []T) enumValues[T] { return vs }

func (ps enumValues[T]) number(v T) int32 {
	for n, p := range ps {
		if p == v {
			return int32(n)
		}
	}
	return 0
}

func (ps enumValues[T]) value(n int32) (T, error) {
	if n <= 0 || int(n) >= len(ps) {
		return "", errors.Wrapf(ErrFormat, "invalid enum number %d", n)
	}
	return ps[n], nil
}
