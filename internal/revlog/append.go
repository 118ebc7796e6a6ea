package revlog

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/rules"
)

// repeatWindow is how many changes after its base a repeated change is looked
// for. At 8,400 changes a day it spans a quarter of an hour.
const repeatWindow = 96

// maxWriteAttempts bounds the writes under one revision whose outcome is not known.
const maxWriteAttempts = 8

// Append gives a change the first free revision after the book's and writes
// it; it sets the change's own revision. The same change, known by its id, can
// be sent again: it is found in the log and not written twice.
//
// ErrConflict names the item that has changed since c.Base. ErrUnknown is
// returned only after a write that may have taken effect; every other error
// means that nothing was accepted.
func (l *Log) Append(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	if len(c.Items) == 0 {
		return rules.Change{}, wrapAs(ErrRefused, errors.New("it has no items"))
	}
	if c.At.IsZero() {
		c.At = l.Now().UTC()
	}
	for {
		done, err := l.validate(ctx, book, c)
		if err != nil || done.Revision != 0 {
			return done, err
		}
		c.Revision = book.Rev() + 1
		won, err := l.create(ctx, c)
		if err != nil {
			return rules.Change{}, err
		}
		if won.ID == c.ID {
			l.snapshotIfDue(ctx, book, won)
			return won, nil
		}
		book, err = l.catchUp(ctx, book, won)
		if err != nil {
			return rules.Change{}, err
		}
	}
}

// validate decides by the book whether a change may be written next. It returns a
// change with a revision where this one is in the log already.
//
// A repeat is looked for only after a conflict: a change that was accepted has
// changed its own items since its base, so that its repeat always conflicts,
// and the usual change costs no read.
func (l *Log) validate(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	conflict := book.Conflict(c)
	if conflict != nil {
		done, err := l.findRepeat(ctx, book, c)
		if err != nil || done.Revision != 0 {
			return done, err
		}
		return rules.Change{}, &Conflict{Cause: conflict}
	}
	if c.Approver == "" && book.NeedsApproval(c.Items) {
		return rules.Change{}, ErrNeedsApproval
	}
	next := c
	next.Revision = book.Rev() + 1
	if _, err := book.Apply(next); err != nil {
		// A change that can't be applied would stop every reader of the log
		// at its revision for good.
		return rules.Change{}, wrapAs(ErrRefused, err)
	}
	return rules.Change{}, nil
}

// Conflict is an ErrConflict with the item that has changed.
type Conflict struct{ Cause error }

// Error names the item.
func (e *Conflict) Error() string { return ErrConflict.Error() + ": " + e.Cause.Error() }

// Is reports ErrConflict.
func (e *Conflict) Is(target error) bool { return target == ErrConflict }

// Unwrap returns the rules.ConflictError.
func (e *Conflict) Unwrap() error { return e.Cause }

// findRepeat looks for the change in the log, from its base on. A read that fails
// leaves open whether an earlier sending was accepted.
func (l *Log) findRepeat(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	first := c.Base + 1
	if book.Rev() > repeatWindow {
		first = max(first, book.Rev()-repeatWindow+1)
	}
	for rev := first; rev <= book.Rev(); rev++ {
		old, err := l.Read(ctx, rev)
		if err != nil {
			return rules.Change{}, wrapAs(ErrUnknown, err)
		}
		if old.ID != c.ID {
			continue
		}
		if !sameChange(old, c) {
			return rules.Change{}, wrapAsf(ErrRefused, "the id %s belongs to another change, revision %d", c.ID, rev)
		}
		return old, nil
	}
	return rules.Change{}, nil
}

// create writes the change under its revision and returns what stands there
// afterwards: the change itself, or that of another operator.
//
// It stays at the one revision until it knows what stands there. Going on to
// the next with the outcome open could put the same change into the log twice:
// a write that was held up on its way would still land.
func (l *Log) create(ctx context.Context, c rules.Change) (rules.Change, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return rules.Change{}, wrapAs(ErrRefused, err)
	}
	doubt := false
	for range maxWriteAttempts {
		_, err = l.cl.Put(ctx, changeKey(c.Revision), body, store.Absent)
		if err == nil {
			l.cacheChange(c)
			return c, nil
		}
		doubt = doubt || errors.Is(err, store.ErrUnknown)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			break
		}
		won, readErr := l.Read(ctx, c.Revision)
		if readErr == nil {
			return won, nil
		}
		if !errors.Is(readErr, ErrNotFound) {
			err = readErr
			break
		}
	}
	return rules.Change{}, writeError(err, doubt)
}

// writeError returns what a write that was given up means for the operator.
func writeError(err error, doubt bool) error {
	if doubt {
		return wrapAs(ErrUnknown, err)
	}
	if errors.Is(err, store.ErrTooLarge) {
		return wrapAs(ErrRefused, err)
	}
	return wrapAs(ErrUnavailable, err)
}

// catchUp takes the book past a change of another operator and then to the
// end of the log, so that a host that was behind does not try to write every
// revision that is long taken.
func (l *Log) catchUp(ctx context.Context, book *rules.Book, won rules.Change) (*rules.Book, error) {
	next, err := book.Apply(won)
	if err != nil {
		return nil, wrapAs(ErrRefused, err)
	}
	next, err = l.replay(ctx, next, maxReplay)
	if err != nil {
		return nil, err
	}
	return next, nil
}

// replay applies up to n changes that come after the book.
func (l *Log) replay(ctx context.Context, book *rules.Book, n int) (*rules.Book, error) {
	for range n {
		c, err := l.Read(ctx, book.Rev()+1)
		if errors.Is(err, ErrNotFound) {
			return book, nil
		}
		if err != nil {
			return book, err
		}
		next, err := book.Apply(c)
		if err != nil {
			return book, wrapAs(ErrRefused, err)
		}
		book = next
	}
	return book, nil
}
