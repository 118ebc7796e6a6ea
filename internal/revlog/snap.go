package revlog

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// snapshotKey holds the newest snapshot.
const snapshotKey = "verbenadale/snapshot"

// snapshotInterval is the number of changes between two snapshots. A host that
// starts reads one snapshot and at most about as many changes.
const snapshotInterval = 32

// maxReplay bounds the changes that one Load reads after the snapshot. What
// is left comes with the watch.
const maxReplay = 4 * snapshotInterval

// Load reads the newest snapshot and the changes that follow it, as many as
// the call budget and the context let it. A book that is behind is no fault:
// the watch brings the rest. Only where nothing could be read it fails.
func (l *Log) Load(ctx context.Context) (*rules.Book, error) {
	snap, _, err := l.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	book, err := l.replay(ctx, snap, maxReplay)
	if err != nil && book.Rev() == 0 {
		return nil, err
	}
	if book.Rev() >= snap.Rev()+2*snapshotInterval {
		// The host that should have written the snapshot went away. Without
		// this, each start would read a longer log than the one before.
		l.writeSnapshot(ctx, book)
	}
	return book, nil
}

// snapshot reads the newest snapshot, the empty book where there is none.
func (l *Log) snapshot(ctx context.Context) (*rules.Book, store.Version, error) {
	v, err := l.cl.Get(ctx, snapshotKey)
	if errors.Is(err, store.ErrAbsent) {
		return &rules.Book{}, store.Absent, nil
	}
	if err != nil {
		return nil, store.Absent, wrapAs(ErrUnavailable, err)
	}
	book := &rules.Book{}
	if err := json.Unmarshal(v.Body, book); err != nil {
		return nil, store.Absent, wrapAs(ErrRefused, err)
	}
	return book, v.Version, nil
}

// snapshotIfDue writes a snapshot where the change has made a revision that is
// due for one.
func (l *Log) snapshotIfDue(ctx context.Context, book *rules.Book, won rules.Change) {
	if won.Revision%snapshotInterval != 0 || book.Rev()+1 != won.Revision {
		return
	}
	if next, err := book.Apply(won); err == nil {
		l.writeSnapshot(ctx, next)
	}
}

// writeSnapshot replaces the snapshot by a newer one. Failing is harmless,
// since the log holds everything. It never replaces a snapshot by one of a
// lower revision: the host that starts from it would for a moment serve by
// rules that were replaced long ago. The version that was read along with the
// old revision guards against a newer one written in between.
func (l *Log) writeSnapshot(ctx context.Context, book *rules.Book) {
	old, ver, err := l.snapshot(ctx)
	if err != nil || old.Rev() >= book.Rev() {
		return
	}
	body, err := json.Marshal(book)
	if err != nil {
		return
	}
	_, _ = l.cl.Put(ctx, snapshotKey, body, ver)
}

// SnapshotRevision returns the revision of the newest snapshot.
func (l *Log) SnapshotRevision(ctx context.Context) (ident.Revision, error) {
	book, _, err := l.snapshot(ctx)
	return book.Rev(), err
}
