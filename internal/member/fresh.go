package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Bounds on the age of the platform's list at a host that doesn't read it continuously.
const (
	// maxListAge is how long ago the list in use must have been confirmed as current. Beyond it
	// the host reads the list itself, so that its knowledge is never older than that and one read.
	maxListAge = 3 * time.Second
	// minReadGap is the time between two reads of a host that lacks a newer list.
	minReadGap = 500 * time.Millisecond
)

// freshness tracks up to which time the list in use contains all changes.
type freshness struct {
	// readAt is the state of the platform that this host's last read has shown, confirmedAt the
	// newest one that an own read or a peer has shown to be that of the list in use.
	readAt, confirmedAt ident.Time
	// behind reports whether the watcher has a newer list than this host. askedAt is when this
	// host last asked for a read.
	behind  bool
	askedAt ident.Time
	// hostsReadAt is when this host last read the list, whether or not it had changed.
	hostsReadAt ident.Time
}

// ListRead records that a read by this host has succeeded, and that all changes up to age ago have
// been merged.
func (tb *Table) ListRead(now ident.Time, age time.Duration) {
	tb.Advance(now)
	f := &tb.list.fresh
	f.hostsReadAt = now
	f.readAt = max(f.readAt, now.Add(-age))
	f.confirmedAt = max(f.confirmedAt, f.readAt)
	f.behind = false
}

// addConfirmation adds to a digest how old the last read of this host is. Just after an outage no
// read confirms anything, since expired entries look like removed ones, and neither does a read of
// a list that is still to be announced.
func (tb *Table) addConfirmation(now ident.Time, d *event.Digest) {
	f := &tb.list.fresh
	age := now.Sub(f.readAt)
	if f.readAt == 0 || age > maxListAge || tb.list.unannounced || !tb.readsAreStable(now) {
		return
	}
	d.ListConfirmed, d.ListAge, d.ListVersion = true, age, tb.list.version
}

// mergeConfirmation merges the confirmation in a peer's digest. What the peer has read up to its
// version is contained in the list in use if that has the same version or a newer one.
func (tb *Table) mergeConfirmation(now ident.Time, d event.Digest) {
	f := &tb.list.fresh
	switch {
	case !d.ListConfirmed || tb.isImplausible(d.ListVersion):
	case d.ListVersion <= tb.list.version:
		f.confirmedAt = max(f.confirmedAt, now.Add(-d.ListAge-tb.extraAge(now)))
		f.behind = false
	case d.Host.ID == tb.watcher(now):
		// The digest with the newer list was lost.
		f.behind = true
	}
}

// NextListRead returns when this host has to read the list itself. Active readers read it
// continuously.
func (tb *Table) NextListRead() ident.Time {
	f := &tb.list.fresh
	if f.behind {
		return f.askedAt.Add(minReadGap)
	}
	return max(f.confirmedAt, f.askedAt).Add(maxListAge)
}

// ListConfirmedAt returns up to which time the list in use contains all changes.
func (tb *Table) ListConfirmedAt() ident.Time { return tb.list.fresh.confirmedAt }

// ListReadAsked records that a read of the list was asked for.
func (tb *Table) ListReadAsked(now ident.Time) { tb.list.fresh.askedAt = now }
