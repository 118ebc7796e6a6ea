package revlog

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// snapshotKey is the key of the newest snapshot.
const snapshotKey = "verbenadale/snapshot"

// snapshotInterval is the number of changes between two snapshots. A starting
// host reads one snapshot and at most about this many changes.
const snapshotInterval = 32

// maxReplay bounds the changes that are read in one pass, such as those after
// the snapshot in Load. The watch delivers the rest.
const maxReplay = 4 * snapshotInterval

// Load reads the newest snapshot and up to maxReplay changes that follow it. If
// a change can't be read, it returns the book up to there without an error,
// because the watch delivers the rest. Load fails if the snapshot can't be read,
// or if there is none and the first change can't be read.
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
		// The last snapshot that was due is missing, for example because the
		// host that appended the change stopped before it wrote one. Without
		// this write, each start would read a longer log than the one before.
		l.writeSnapshot(ctx, book)
	}
	return book, nil
}

// snapshot returns the newest snapshot and its version in the store, or an
// empty book if there is none.
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

// snapshotIfDue writes a snapshot if the revision of the change is a multiple
// of snapshotInterval.
func (l *Log) snapshotIfDue(ctx context.Context, book *rules.Book, written rules.Change) {
	if written.Revision%snapshotInterval != 0 || book.Rev()+1 != written.Revision {
		return
	}
	if next, err := book.Apply(written); err == nil {
		l.writeSnapshot(ctx, next)
	}
}

// writeSnapshot replaces the stored snapshot by a newer one. Failures are
// ignored because the log holds every change. A snapshot is never replaced by
// one of a lower revision: a host that starts from it would briefly use an
// outdated configuration. The write is conditional on the version
// that was read, so that it can't overwrite a newer snapshot that was written
// in between.
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
