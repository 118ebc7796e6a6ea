// Package revlog keeps the configuration in the platform's store as a log of
// changes: one key for each revision, made with create-if-absent, and now and
// then a snapshot of the whole.
//
// # Usage
//
//	lg := revlog.New(cl)
//	change, err := lg.Append(ctx, book, proposal)
//	change, err := lg.Next(ctx, book.Revision, 30*time.Second)
//
// Several operators who race for one revision are told apart by the store: a
// key is created once. A writer whose reply was lost reads the key back and
// knows its own change by its id. A revision is never written twice, so that
// no reader can see the configuration go back.
package revlog

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// The errors of this layer.
var (
	// ErrConflict says that an item has changed since the operator read it.
	ErrConflict = errors.New("revlog: conflict")
	// ErrUnknown says that the change may or may not have been accepted; the
	// same change can be sent again without harm.
	ErrUnknown = errors.New("revlog: whether the change was accepted is not known")
	// ErrDown says that the store does not answer; nothing was accepted.
	ErrDown = errors.New("revlog: the store does not answer")
	// ErrIdle says that there is no later change.
	ErrIdle = errors.New("revlog: no later change")
)

// Log is the log of changes in the store.
type Log struct{ cl *store.Client }

// New returns the log that cl's store holds.
func New(cl *store.Client) *Log { return &Log{cl: cl} }

func changeKey(rev ident.Revision) string { return fmt.Sprintf("verbenadale/changes/%d", rev) }

// Next waits for the change that follows a revision.
func (l *Log) Next(ctx context.Context, after ident.Revision, wait time.Duration) (rules.Change, error) {
	v, err := l.cl.Watch(ctx, changeKey(after+1), store.Absent, wait)
	if errors.Is(err, store.ErrIdle) {
		return rules.Change{}, ErrIdle
	}
	if err != nil {
		return rules.Change{}, errors.Wrap(ErrDown, err.Error())
	}
	return decode(v)
}

// Append gives a change the revision after the book's and writes it. The
// change's own revision is set by it. ErrConflict comes with the cause.
func (l *Log) Append(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	for {
		if err := book.Conflict(c); err != nil {
			return rules.Change{}, errors.Wrap(ErrConflict, err.Error())
		}
		c.Revision = book.Rev() + 1
		won, err := l.create(ctx, c)
		if err != nil {
			return rules.Change{}, err
		}
		if won.ID == c.ID {
			return won, nil
		}
		book, err = book.Apply(won)
		if err != nil {
			return rules.Change{}, errors.Wrap(ErrConflict, err.Error())
		}
	}
}

// create writes the change under its revision and returns what stands there
// afterwards: the change itself, or that of another operator.
func (l *Log) create(ctx context.Context, c rules.Change) (rules.Change, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return rules.Change{}, errors.Wrap(err, "revlog: encode")
	}
	_, err = l.cl.Put(ctx, changeKey(c.Revision), body, store.Absent)
	if err == nil {
		return c, nil
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		// After a lost reply the key holds this change, another, or nothing
		// yet. Only what is read from it is believed.
		return l.readBack(ctx, c.Revision, err)
	}
	return rules.Change{}, errors.Wrap(ErrDown, err.Error())
}

func (l *Log) readBack(ctx context.Context, rev ident.Revision, cause error) (rules.Change, error) {
	v, err := l.cl.Get(ctx, changeKey(rev))
	if err != nil {
		return rules.Change{}, errors.Wrap(ErrUnknown, cause.Error())
	}
	return decode(v)
}

func decode(v store.Value) (rules.Change, error) {
	var c rules.Change
	if err := json.Unmarshal(v.Body, &c); err != nil {
		return rules.Change{}, errors.Wrap(err, "revlog: decode")
	}
	return c, nil
}
