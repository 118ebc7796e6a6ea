// Package revlog stores the configuration in the platform's store as a log of
// changes: one key for each revision, written with create-if-absent, and
// periodic snapshots of the whole configuration.
//
// # Usage
//
//	lg := revlog.New(cl)
//	book, err := lg.Load(ctx)
//	change, err := lg.Append(ctx, book, proposal)
//	change, err := lg.Next(ctx, book.Revision, 30*time.Second)
//
// If several operators race for one revision, only one of them can create its
// key. A writer whose reply was lost reads the key back and recognises its own
// change by the id. A revision is never written twice, so no reader sees the
// configuration revert.
//
// A change of a profile that requires two operators is proposed first:
//
//	p, err := lg.Propose(ctx, change)
//	change, err := lg.Approve(ctx, book, p.Change.ID, "second")
package revlog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// The errors of this package.
var (
	// ErrConflict is returned if an item has changed since the operator read
	// it.
	ErrConflict = errors.New("revlog: conflict")
	// ErrUnknown is returned if the change may or may not have been accepted.
	// The same change can safely be sent again.
	ErrUnknown = errors.New("revlog: whether the change was accepted is not known")
	// ErrUnavailable is returned if the store does not answer; the call added
	// no change to the log.
	ErrUnavailable = errors.New("revlog: the store does not answer")
	// ErrNoLaterChange is returned if no later change was written in time.
	ErrNoLaterChange = errors.New("revlog: no later change")
	// ErrNotFound is returned if there is no such change or proposal.
	ErrNotFound = errors.New("revlog: not found")
	// ErrNeedsApproval is returned if the change must be proposed and approved
	// by a second operator.
	ErrNeedsApproval = errors.New("revlog: the change needs the approval of a second operator")
	// ErrSameOperator is returned if an operator tries to approve their own
	// proposal.
	ErrSameOperator = errors.New("revlog: the operator who proposed a change may not approve it")
	// ErrRefused is returned if a change, or stored data, is not valid.
	ErrRefused = errors.New("revlog: the change can't be applied")
)

// wrapAs wraps sentinel, one of the errors above, and appends the text of cause.
// The result doesn't wrap cause.
func wrapAs(sentinel, cause error) error { return fmt.Errorf("%w: %s", sentinel, cause.Error()) }

func wrapAsf(sentinel error, format string, args ...any) error {
	return wrapAs(sentinel, errors.Errorf(format, args...))
}

// Log is the log of changes in the store. It is safe for concurrent use.
type Log struct {
	cl *store.Client
	// Now returns the wall-clock time for the At field of changes, which is
	// for display only.
	Now func() time.Time

	mu sync.Mutex
	// recent caches changes that were read or written. Entries can't become
	// stale because a written revision never changes.
	recent map[ident.Revision]rules.Change
}

// maxRecent bounds the number of changes in the cache.
const maxRecent = 512

// New returns the log in the store that cl connects to.
func New(cl *store.Client) *Log {
	return &Log{cl: cl, Now: time.Now, recent: make(map[ident.Revision]rules.Change)}
}

func changeKey(rev ident.Revision) string { return fmt.Sprintf("verbenadale/changes/%d", rev) }

// Next waits up to timeout for the change that follows a revision. It
// returns ErrNoLaterChange if there is none by then.
func (l *Log) Next(ctx context.Context, after ident.Revision, timeout time.Duration) (rules.Change, error) {
	if c, ok := l.cached(after + 1); ok {
		return c, nil
	}
	v, err := l.cl.Watch(ctx, changeKey(after+1), store.Absent, timeout)
	if errors.Is(err, store.ErrNoChange) {
		return rules.Change{}, ErrNoLaterChange
	}
	if err != nil {
		return rules.Change{}, wrapAs(ErrUnavailable, err)
	}
	return l.decode(after+1, v)
}

// Read returns the change that created a revision, or ErrNotFound.
func (l *Log) Read(ctx context.Context, rev ident.Revision) (rules.Change, error) {
	if c, ok := l.cached(rev); ok {
		return c, nil
	}
	v, err := l.cl.Get(ctx, changeKey(rev))
	if errors.Is(err, store.ErrAbsent) {
		return rules.Change{}, ErrNotFound
	}
	if err != nil {
		return rules.Change{}, wrapAs(ErrUnavailable, err)
	}
	return l.decode(rev, v)
}

// History returns up to n changes before a revision, newest first.
func (l *Log) History(ctx context.Context, before ident.Revision, n int) ([]rules.Change, error) {
	cs := []rules.Change{}
	for rev := before; rev > 1 && len(cs) < n; rev-- {
		c, err := l.Read(ctx, rev-1)
		if err != nil {
			return cs, err
		}
		cs = append(cs, c)
	}
	return cs, nil
}

func (l *Log) decode(rev ident.Revision, v store.Value) (rules.Change, error) {
	var c rules.Change
	if err := json.Unmarshal(v.Body, &c); err != nil {
		return rules.Change{}, wrapAs(ErrRefused, err)
	}
	if c.Revision != rev {
		return rules.Change{}, wrapAsf(ErrRefused, "found revision %d under the key of revision %d", c.Revision, rev)
	}
	l.cacheChange(c)
	return c, nil
}

func (l *Log) cached(rev ident.Revision) (rules.Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.recent[rev]
	return c, ok
}

func (l *Log) cacheChange(c rules.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent[c.Revision] = c
	if len(l.recent) <= maxRecent {
		return
	}
	oldest := c.Revision
	for rev := range l.recent {
		oldest = min(oldest, rev)
	}
	delete(l.recent, oldest)
}
