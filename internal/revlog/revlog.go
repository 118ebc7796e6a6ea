// Package revlog keeps the configuration in the platform's store as a log of
// changes: one key for each revision, made with create-if-absent, and now and
// then a snapshot of the whole.
//
// # Usage
//
//	lg := revlog.New(cl)
//	book, err := lg.Load(ctx)
//	change, err := lg.Append(ctx, book, proposal)
//	change, err := lg.Next(ctx, book.Revision, 30*time.Second)
//
// Several operators who race for one revision are distinguished by the store: a
// key is created once. A writer whose reply was lost reads the key back and
// knows its own change by its id. A revision is never written twice, so that
// no reader can see the configuration go back.
//
// A change of a profile that asks for two operators is first a proposal:
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
	// ErrAbsent says that no such change or proposal is known.
	ErrAbsent = errors.New("revlog: not found")
	// ErrNeedsApproval says that the change has to be proposed and approved by
	// a second operator.
	ErrNeedsApproval = errors.New("revlog: the change needs the approval of a second operator")
	// ErrSameOperator says that the proposer tried to approve.
	ErrSameOperator = errors.New("revlog: the operator who proposed a change may not approve it")
	// ErrRefused says that the change can't be applied as it is.
	ErrRefused = errors.New("revlog: the change can't be applied")
)

// turn makes an error of this layer from one below, which is kept as text only.
func turn(own, below error) error { return fmt.Errorf("%w: %s", own, below.Error()) }

func turnf(own error, format string, args ...any) error {
	return turn(own, errors.Errorf(format, args...))
}

// Log is the log of changes in the store. It is safe for several goroutines.
type Log struct {
	cl *store.Client
	// Now reads the wall clock, for the times that people read.
	Now func() time.Time

	mu sync.Mutex
	// recent holds changes that were read. A revision never changes once it
	// is written, so that they can't be out of date.
	recent map[ident.Revision]rules.Change
}

// maxRecent bounds the changes that are held in memory.
const maxRecent = 512

// New returns the log that cl's store holds.
func New(cl *store.Client) *Log {
	return &Log{cl: cl, Now: time.Now, recent: make(map[ident.Revision]rules.Change)}
}

func changeKey(rev ident.Revision) string { return fmt.Sprintf("verbenadale/changes/%d", rev) }

// Next waits for the change that follows a revision.
func (l *Log) Next(ctx context.Context, after ident.Revision, wait time.Duration) (rules.Change, error) {
	if c, ok := l.recall(after + 1); ok {
		return c, nil
	}
	v, err := l.cl.Watch(ctx, changeKey(after+1), store.Absent, wait)
	if errors.Is(err, store.ErrNoChange) {
		return rules.Change{}, ErrIdle
	}
	if err != nil {
		return rules.Change{}, turn(ErrDown, err)
	}
	return l.decode(after+1, v)
}

// Read returns the change that made a revision, or ErrAbsent.
func (l *Log) Read(ctx context.Context, rev ident.Revision) (rules.Change, error) {
	if c, ok := l.recall(rev); ok {
		return c, nil
	}
	v, err := l.cl.Get(ctx, changeKey(rev))
	if errors.Is(err, store.ErrAbsent) {
		return rules.Change{}, ErrAbsent
	}
	if err != nil {
		return rules.Change{}, turn(ErrDown, err)
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
		return rules.Change{}, turn(ErrRefused, err)
	}
	if c.Revision != rev {
		return rules.Change{}, turnf(ErrRefused, "revision %d stands under the key of %d", c.Revision, rev)
	}
	l.remember(c)
	return c, nil
}

func (l *Log) recall(rev ident.Revision) (rules.Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.recent[rev]
	return c, ok
}

func (l *Log) remember(c rules.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent[c.Revision] = c
	if len(l.recent) <= maxRecent {
		return
	}
	low := c.Revision
	for rev := range l.recent {
		low = min(low, rev)
	}
	delete(l.recent, low)
}
