package revlog

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/group"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// tester is the common part of *testing.T and *rapid.T.
type tester interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

// fixture is a fake store that several logs use, as entry hosts do.
type fixture struct {
	srv *plat.Server
	url string
	// before, if set, is called with each request before the fake store
	// handles it.
	before func(r *http.Request)
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{srv: plat.New()}
	hs := httptest.NewServer(f)
	t.Cleanup(hs.Close)
	f.url = hs.URL
	return f
}

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.before != nil {
		f.before(r)
	}
	f.srv.ServeHTTP(w, r)
}

func (f *fixture) log() *Log { return New(store.New(store.Config{URL: f.url})) }

func profileItem(t tester, p rules.Profile) rules.Item {
	t.Helper()
	doc, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return rules.Item{Kind: rules.KindProfile, Name: string(p.Name), Doc: doc}
}

// change returns a change that sets the priority of one profile.
func change(t tester, id ident.ChangeID, base ident.Revision, name ident.Profile, priority int) rules.Change {
	t.Helper()
	p := rules.Profile{Name: name, Models: []rules.Serve{{Model: "draft"}}, Priority: priority}
	return rules.Change{ID: id, Base: base, Operator: "anu", Items: []rules.Item{profileItem(t, p)}}
}

func load(t tester, l *Log) *rules.Book {
	t.Helper()
	b, err := l.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// ids returns the ids of the changes in the log in order, read through a new Log
// without a cache.
func (f *fixture) ids(t tester) []ident.ChangeID {
	t.Helper()
	l := f.log()
	var ids []ident.ChangeID
	for rev := ident.Revision(1); ; rev++ {
		c, err := l.Read(context.Background(), rev)
		if errors.Is(err, ErrNotFound) {
			return ids
		}
		if err != nil {
			t.Fatal(err)
		}
		ids = append(ids, c.ID)
	}
}

func wantErr(t tester, what string, want, got error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: want %v, got %v", what, want, got)
	}
}

func wantSame(t tester, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against a change that is reported as failed or written twice after the
// reply to its write was lost.
func TestLostReply(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	f.srv.SetFaults(plat.Faults{LoseNext: 1})
	done, err := f.log().Append(ctx, nil, change(t, "c1", 0, "obituary", 1))
	wantErr(t, "append", nil, err)
	wantSame(t, "revision", ident.Revision(1), done.Revision)
	wantSame(t, "log", []ident.ChangeID{"c1"}, f.ids(t))
}

// Guards against a change of unknown outcome that is written twice when it is sent
// again.
func TestResendAfterUnknownOutcome(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	lg := f.log()
	c := change(t, "c1", 0, "obituary", 1)
	f.srv.SetFaults(plat.Faults{LoseNext: 1, DownAfter: 1})
	_, err := lg.Append(ctx, nil, c)
	wantErr(t, "down after the write", ErrUnknown, err)

	f.srv.SetFaults(plat.Faults{})
	other := f.log()
	_, err = other.Append(ctx, load(t, other), change(t, "c2", 1, "publish", 1))
	wantErr(t, "change of another operator", nil, err)
	done, err := other.Append(ctx, load(t, other), c)
	wantErr(t, "the same change by another host", nil, err)
	wantSame(t, "revision", ident.Revision(1), done.Revision)
	_, err = other.Append(ctx, load(t, other), change(t, "c1", 0, "obituary", 2))
	wantErr(t, "another change under the same id", ErrRefused, err)
	wantSame(t, "log", []ident.ChangeID{"c1", "c2"}, f.ids(t))
}

// Guards against a change that is written twice because its first write took
// effect after the writer had given up.
func TestDelayedWrite(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	f.srv.SetFaults(plat.Faults{DelayMs: 150})
	slow := New(store.New(store.Config{URL: f.url, Timeout: 30_000_000}))
	c := change(t, "c1", 0, "obituary", 1)
	_, err := slow.Append(ctx, nil, c)
	wantErr(t, "slow store", ErrUnknown, err)
	f.srv.SetFaults(plat.Faults{})
	done, err := f.log().Append(ctx, nil, c)
	wantErr(t, "again", nil, err)
	wantSame(t, "revision", ident.Revision(1), done.Revision)
	wantSame(t, "log", []ident.ChangeID{"c1"}, f.ids(t))
}

// Guards against a change that is reported as of unknown outcome although an outage
// kept it from being sent.
func TestStoreDown(t *testing.T) {
	f := newFixture(t)
	f.srv.SetFaults(plat.Faults{Refuse: []string{"127.0.0.1"}})
	lg := f.log()
	_, err := lg.Load(context.Background())
	wantErr(t, "load", ErrUnavailable, err)
	_, err = New(store.New(store.Config{URL: "http://127.0.0.1:1"})).Append(context.Background(), nil, change(t, "c1", 0, "obituary", 1))
	wantErr(t, "append without a connection", ErrUnavailable, err)
	if errors.Is(err, ErrUnknown) {
		t.Error("a change that was never sent is reported as unknown")
	}
}

// racer is one of several operators who append at the same time.
type racer struct {
	lg  *Log
	c   rules.Change
	got rules.Change
	err error
}

func (r *racer) run() error {
	r.got, r.err = r.lg.Append(context.Background(), nil, r.c)
	return nil
}

func race(f *fixture, cs ...rules.Change) []*racer {
	var all group.Group
	rs := make([]*racer, len(cs))
	for i, c := range cs {
		rs[i] = &racer{lg: f.log(), c: c}
		all.Go(rs[i].run)
	}
	_ = all.Join()
	return rs
}

// Guards against a change that silently undoes another when operators race for one
// profile.
func TestOperatorsRace(t *testing.T) {
	f := newFixture(t)
	won, lost := 0, 0
	for _, r := range race(f, change(t, "a", 0, "obituary", 1), change(t, "b", 0, "obituary", 2), change(t, "c", 0, "obituary", 3)) {
		var conflict *rules.ConflictError
		switch {
		case r.err == nil:
			won++
		case errors.Is(r.err, ErrConflict) && errors.As(r.err, &conflict):
			lost++
			wantSame(t, "item of the conflict", "obituary", conflict.Name)
		default:
			t.Errorf("change %s: %v", r.c.ID, r.err)
		}
	}
	wantSame(t, "winners and losers of one profile", [2]int{1, 2}, [2]int{won, lost})

	f = newFixture(t)
	revs := map[ident.Revision]ident.ChangeID{}
	for _, r := range race(f, change(t, "a", 0, "p1", 1), change(t, "b", 0, "p2", 2), change(t, "c", 0, "p3", 3)) {
		wantErr(t, "change of its own profile", nil, r.err)
		revs[r.got.Revision] = r.c.ID
	}
	wantSame(t, "revisions", 3, len(revs))
	for rev, id := range revs {
		c, err := f.log().Read(context.Background(), rev)
		wantErr(t, "read", nil, err)
		wantSame(t, "writer of the revision", id, c.ID)
	}
}

// Guards against a slow writer that replaces a snapshot by an older one.
func TestSnapshotNeverGoesBack(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	lg := f.log()
	var older, newer *rules.Book
	book := &rules.Book{}
	for n := range 8 {
		c, err := lg.Append(ctx, book, change(t, ident.ChangeID("c"+strconv.Itoa(n)), book.Rev(), "obituary", n))
		wantErr(t, "append", nil, err)
		if book, err = book.Apply(c); err != nil {
			t.Fatal(err)
		}
		if n == 3 {
			older = book
		}
	}
	newer = book

	// The newer snapshot is written between the read and the write of the
	// older one.
	var interleaved atomic.Bool
	f.before = func(r *http.Request) {
		if r.Method == http.MethodPut && interleaved.CompareAndSwap(false, true) {
			f.log().writeSnapshot(ctx, newer)
		}
	}
	f.log().writeSnapshot(ctx, older)
	wantSame(t, "the newer was written in between", true, interleaved.Load())
	rev, err := lg.SnapshotRevision(ctx)
	wantErr(t, "snapshot", nil, err)
	wantSame(t, "snapshot after the race", newer.Rev(), rev)

	f.log().writeSnapshot(ctx, older)
	rev, err = lg.SnapshotRevision(ctx)
	wantErr(t, "snapshot", nil, err)
	wantSame(t, "snapshot after an older one alone", newer.Rev(), rev)
}

// Guards against a host that starts from a snapshot and gets another book than a
// host that applied every change.
func TestLoadFromSnapshot(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	lg := f.log()
	book := &rules.Book{}
	for n := range snapshotInterval + 5 {
		c, err := lg.Append(ctx, book, change(t, ident.ChangeID("c"+strconv.Itoa(n)), book.Rev(), ident.Profile("p"+strconv.Itoa(n%7)), n))
		wantErr(t, "append", nil, err)
		if book, err = book.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	before := f.srv.Counts()["get"]
	got := load(t, f.log())
	wantSame(t, "store calls of a start", 1+5+1, f.srv.Counts()["get"]-before)
	wantSame(t, "book", encodedBook(t, book), encodedBook(t, got))

	f.srv.SetFaults(plat.Faults{DownAfter: 3})
	got, err := f.log().Load(ctx)
	wantErr(t, "the store goes down while a host reads", nil, err)
	wantSame(t, "revision read before the outage", ident.Revision(snapshotInterval+2), got.Rev())
}

func encodedBook(t tester, b *rules.Book) string {
	t.Helper()
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
