package revlog

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/rules"
)

// duplicateWindow is the number of newest revisions that are searched for an
// earlier write of the same change. At 8,400 changes a day it spans a quarter of
// an hour.
const duplicateWindow = 96

// maxWriteAttempts bounds the attempts to write one key while their outcome is
// unknown.
const maxWriteAttempts = 8

// Append writes a change under the first free revision after the book's and
// returns it with that revision. It can be called again with the same change,
// recognised by its id: if the change is among the newest duplicateWindow
// revisions, Append returns it; if it is older, the result is ErrConflict. In
// neither case is it written twice.
//
// ErrConflict names the item that has changed since c.Base. ErrUnknown is
// returned after a write that may have taken effect, or if the log could not be
// searched for an earlier write of c. Every other error means that this call
// added no change to the log.
func (l *Log) Append(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	if len(c.Items) == 0 {
		return rules.Change{}, wrapAs(ErrRefused, errors.New("the change has no items"))
	}
	if c.At.IsZero() {
		c.At = l.Now().UTC()
	}
	for {
		existing, err := l.validate(ctx, book, c)
		if err != nil || existing.Revision != 0 {
			return existing, err
		}
		c.Revision = book.Rev() + 1
		stored, err := l.create(ctx, c)
		if err != nil {
			return rules.Change{}, err
		}
		if stored.ID == c.ID {
			l.snapshotIfDue(ctx, book, stored)
			return stored, nil
		}
		book, err = l.catchUp(ctx, book, stored)
		if err != nil {
			return rules.Change{}, err
		}
	}
}

// validate checks whether a change can be applied to the book as its next
// revision. If the change is already in the log, validate returns the stored
// change, whose revision is not zero.
//
// The log is searched for a duplicate only after a conflict: an accepted change
// has changed its own items since its base, so sending it again always
// conflicts. A typical change therefore costs no read.
func (l *Log) validate(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	conflict := book.Conflict(c)
	if conflict != nil {
		existing, err := l.findDuplicate(ctx, book, c)
		if err != nil || existing.Revision != 0 {
			return existing, err
		}
		return rules.Change{}, &Conflict{Cause: conflict}
	}
	if c.Approver == "" && book.NeedsApproval(c.Items) {
		return rules.Change{}, ErrNeedsApproval
	}
	next := c
	next.Revision = book.Rev() + 1
	if _, err := book.Apply(next); err != nil {
		// A change that can't be applied would block every reader of the log
		// at its revision permanently.
		return rules.Change{}, wrapAs(ErrRefused, err)
	}
	return rules.Change{}, nil
}

// Conflict is an ErrConflict that names the changed item.
type Conflict struct{ Cause error }

// Error returns the message, which names the changed item.
func (e *Conflict) Error() string { return ErrConflict.Error() + ": " + e.Cause.Error() }

// Is reports ErrConflict.
func (e *Conflict) Is(target error) bool { return target == ErrConflict }

// Unwrap returns the cause, a *rules.ConflictError.
func (e *Conflict) Unwrap() error { return e.Cause }

// findDuplicate searches the log after the base of c for a change with the id of
// c. If a read fails it returns ErrUnknown, because an earlier attempt may have
// been accepted.
func (l *Log) findDuplicate(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	first := c.Base + 1
	if book.Rev() > duplicateWindow {
		first = max(first, book.Rev()-duplicateWindow+1)
	}
	for rev := first; rev <= book.Rev(); rev++ {
		stored, err := l.Read(ctx, rev)
		if err != nil {
			return rules.Change{}, wrapAs(ErrUnknown, err)
		}
		if stored.ID != c.ID {
			continue
		}
		if !sameChange(stored, c) {
			return rules.Change{}, wrapAsf(ErrRefused, "the id %s belongs to another change, revision %d", c.ID, rev)
		}
		return stored, nil
	}
	return rules.Change{}, nil
}

// create writes the change under its revision and returns the change that the
// store then has there: c itself, or that of another operator.
//
// It doesn't move to the next revision until it has read this one. Otherwise
// the same change could enter the log twice, because a delayed write may still
// take effect.
func (l *Log) create(ctx context.Context, c rules.Change) (rules.Change, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return rules.Change{}, wrapAs(ErrRefused, err)
	}
	uncertain := false
	for range maxWriteAttempts {
		_, err = l.cl.Put(ctx, changeKey(c.Revision), body, store.Absent)
		if err == nil {
			l.cacheChange(c)
			return c, nil
		}
		uncertain = uncertain || errors.Is(err, store.ErrUnknown)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			break
		}
		stored, readErr := l.Read(ctx, c.Revision)
		if readErr == nil {
			return stored, nil
		}
		if !errors.Is(readErr, ErrNotFound) {
			err = readErr
			break
		}
	}
	return rules.Change{}, writeError(err, uncertain)
}

// writeError converts the last error of an abandoned write to an error of this
// package. uncertain reports that an attempt may have taken effect.
func writeError(err error, uncertain bool) error {
	if uncertain {
		return wrapAs(ErrUnknown, err)
	}
	if errors.Is(err, store.ErrTooLarge) {
		return wrapAs(ErrRefused, err)
	}
	return wrapAs(ErrUnavailable, err)
}

// catchUp applies the change of another operator that won the revision, and
// then the changes that follow it. Otherwise a host with an old book would try
// to write each revision that is already taken.
func (l *Log) catchUp(ctx context.Context, book *rules.Book, winner rules.Change) (*rules.Book, error) {
	next, err := book.Apply(winner)
	if err != nil {
		return nil, wrapAs(ErrRefused, err)
	}
	next, err = l.replay(ctx, next, maxReplay)
	if err != nil {
		return nil, err
	}
	return next, nil
}

// replay reads and applies up to n changes that follow the book's revision.
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
