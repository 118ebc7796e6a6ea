package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
)

// fixture is a stand-in and a client of it, both on a clock that the test
// moves.
type fixture struct {
	srv *plat.Server
	cl  *store.Client
	reg metrics.Registry
	now time.Duration
}

func newFixture(t *testing.T, cfg store.Config) *fixture {
	t.Helper()
	f := &fixture{srv: plat.New(), reg: metrics.NewRegistry()}
	start := time.Unix(1_700_000_000, 0)
	f.srv.Now = func() time.Time { return start.Add(f.now) }
	hs := httptest.NewServer(f.srv)
	cfg.URL = hs.URL
	cfg.Metrics = f.reg
	cfg.Now = func() ident.Time { return ident.Time(f.now) }
	f.cl = store.New(cfg)
	t.Cleanup(hs.Close)
	t.Cleanup(f.cl.Close)
	return f
}

func (f *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("platform."+name, f.reg).Count()
}

func wantErr(t *testing.T, what string, want, got error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: want %v, got %v", what, want, got)
	}
}

func wantSame(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// A write whose reply is lost is reported as failed or done.
func TestPutLostReply(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	f.srv.SetFaults(plat.Faults{LoseNext: 1})
	_, err := f.cl.Put(ctx, "k", []byte("a"), store.Absent)
	wantErr(t, "lost reply", store.ErrUnknown, err)
	v, err := f.cl.Get(ctx, "k")
	wantErr(t, "read back", nil, err)
	wantSame(t, "the value stands", "a", string(v.Body))
	_, err = f.cl.Put(ctx, "k", []byte("b"), store.Absent)
	wantErr(t, "second creation", store.ErrConflict, err)
	wantSame(t, "metric of the lost reply", int64(1), f.counter("put.unknown"))
	wantSame(t, "metric of the conflict", int64(1), f.counter("put.conflict"))
}

// A write that was never sent is reported as of unknown outcome.
func TestPutNotSent(t *testing.T) {
	cl := store.New(store.Config{URL: "http://127.0.0.1:1"})
	_, err := cl.Put(context.Background(), "k", nil, store.Absent)
	wantErr(t, "refused connection", store.ErrDown, err)
	if errors.Is(err, store.ErrUnknown) {
		t.Error("a write that was never sent is reported as unknown")
	}
}

// A key that is deleted and made again fits the old version of a slow writer.
func TestVersionsNeverBeginAgain(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	first, err := f.cl.Put(ctx, "k", []byte("a"), store.Absent)
	wantErr(t, "create", nil, err)
	wantErr(t, "delete", nil, f.cl.Delete(ctx, "k", first))
	_, err = f.cl.Put(ctx, "k", []byte("b"), store.Absent)
	wantErr(t, "create again", nil, err)
	_, err = f.cl.Put(ctx, "k", []byte("c"), first)
	wantErr(t, "write by the old version", store.ErrConflict, err)
	wantErr(t, "oversized", store.ErrTooLarge, putOversized(ctx, f.cl))
}

func putOversized(ctx context.Context, cl *store.Client) error {
	_, err := cl.Put(ctx, "big", make([]byte, store.MaxValue+1), store.Absent)
	return err
}

// A claim in doubt runs a request twice, or blocks its key.
func TestClaim(t *testing.T) {
	mine := event.KeyRecord{Entry: "uvs-1", Incarnation: 7, Request: "req-1", Fingerprint: "p"}
	other := event.KeyRecord{Entry: "uvs-2", Incarnation: 3, Request: "req-2", Fingerprint: "p"}
	cases := []struct {
		name   string
		before *event.KeyRecord
		faults plat.Faults
		claim  event.Claim
		owner  event.KeyRecord
	}{
		{name: "free key", claim: event.ClaimWon, owner: mine},
		{name: "taken key", before: &other, claim: event.ClaimTaken, owner: other},
		{name: "repeat of the same request", before: &mine, claim: event.ClaimWon, owner: mine},
		{name: "lost reply", faults: plat.Faults{LoseNext: 1}, claim: event.ClaimWon, owner: mine},
		{name: "lost reply of a taken key", before: &other, faults: plat.Faults{LoseNext: 1}, claim: event.ClaimTaken, owner: other},
		{name: "down", faults: plat.Faults{Down: true}, claim: event.ClaimFailed},
		{name: "down before the read back", faults: plat.Faults{LoseNext: 1, DownAfter: 1}, claim: event.ClaimFailed},
		{name: "cut off", faults: plat.Faults{Refuse: []string{"127.0.0.1"}}, claim: event.ClaimFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			f := newFixture(t, store.Config{})
			if c.before != nil {
				f.cl.Claim(ctx, "d", *c.before)
			}
			f.srv.SetFaults(c.faults)
			claim, owner := f.cl.Claim(ctx, "d", mine)
			wantSame(t, "claim", c.claim, claim)
			wantSame(t, "owner", c.owner, owner)
		})
	}
}

// A claim that lands after its request was refused counts as a run.
func TestClaimLandsLate(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{Timeout: 50 * time.Millisecond})
	f.srv.SetFaults(plat.Faults{DelayMs: 200})
	rec := event.KeyRecord{Entry: "uvs-1", Incarnation: 7, Request: "req-1"}
	claim, _ := f.cl.Claim(ctx, "d", rec)
	wantSame(t, "claim", event.ClaimFailed, claim)
	f.srv.SetFaults(plat.Faults{})
	got := store.Value{}
	for deadline := time.Now().Add(20 * time.Second); got.Body == nil && time.Now().Before(deadline); {
		got, _ = f.cl.Get(ctx, store.KeyPath("d"))
	}
	if got.Body == nil {
		t.Fatal("the late write never landed, so that the test shows nothing")
	}
	claim, _ = f.cl.Claim(ctx, "d", rec)
	wantSame(t, "claim of the same request afterwards", event.ClaimWon, claim)
}

// Many claims use up the budget of calls that the watch needs.
func TestClaimsLeaveTheWatchAlone(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{CallsPerSecond: 4, Timeout: 200 * time.Millisecond})
	failed := 0
	for i := range ident.Incarnation(50) {
		if claim, _ := f.cl.Claim(ctx, "d", event.KeyRecord{Incarnation: i}); claim == event.ClaimFailed {
			failed++
		}
	}
	if failed == 0 || f.counter("claim.budget") == 0 {
		t.Error("50 claims at once did not use up a budget of 2 a second")
	}
	_, err := f.cl.Get(ctx, "k")
	wantErr(t, "a control call", store.ErrAbsent, err)
}

// A holder that wakes after its lease has lapsed goes on as the owner.
func TestLeaseLapsesDuringPause(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	first, err := f.cl.Grant(ctx, time.Minute)
	wantErr(t, "grant", nil, err)
	_, err = f.cl.PutUnder(ctx, first, "duty", []byte("first"), store.Absent)
	wantErr(t, "take the duty", nil, err)
	wantSame(t, "holds at first", true, first.Holds(ident.Time(f.now)))

	f.now = 55 * time.Second
	wantSame(t, "gives up before the service does", false, first.Holds(ident.Time(f.now)))
	_, err = f.cl.Get(ctx, "duty")
	wantErr(t, "the service still counts it as held", nil, err)

	f.now = 61 * time.Second
	second, err := f.cl.Grant(ctx, time.Minute)
	wantErr(t, "second grant", nil, err)
	_, err = f.cl.PutUnder(ctx, second, "duty", []byte("second"), store.Absent)
	wantErr(t, "the next holder takes the duty", nil, err)
	if second.Fence <= first.Fence {
		t.Errorf("fencing number %d of the next holder is not above %d", second.Fence, first.Fence)
	}
	wantErr(t, "the first can't wake it", store.ErrLapsed, f.cl.KeepAlive(ctx, first))
	wantSame(t, "and knows", false, first.Holds(0))
	_, err = f.cl.PutUnder(ctx, first, "other", nil, store.Absent)
	wantErr(t, "nor write under it", store.ErrLapsed, err)
	wantSame(t, "a lease that nobody has", false, (*store.Lease)(nil).Holds(0))
}

// The stand-in's list of hosts does not lag as the platform's does.
func TestHostListLags(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	f.srv.SetHosts(store.Hosts{Hosts: []event.Host{{ID: "a"}}})
	f.now = time.Minute
	f.srv.SetFaults(plat.Faults{HostsLagMs: 5000})
	f.srv.SetHosts(store.Hosts{Hosts: []event.Host{{ID: "b"}}})
	for _, c := range []struct {
		now  time.Duration
		want ident.EntryID
	}{{time.Minute, "a"}, {time.Minute + 4*time.Second, "a"}, {time.Minute + 5*time.Second, "b"}} {
		f.now = c.now
		hs, err := f.cl.Hosts(ctx)
		wantErr(t, "hosts", nil, err)
		wantSame(t, "list at "+c.now.String(), c.want, hs.Hosts[0].ID)
	}
}

// A host that died stays in the directory.
func TestDirectoryEndsWithTheLease(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	l, err := f.cl.Grant(ctx, time.Minute)
	wantErr(t, "grant", nil, err)
	ls := store.Listing{Entry: "uvs-1", CallerURL: "http://127.1.1.1:8080"}
	wantErr(t, "register", nil, f.cl.Register(ctx, l, ls))
	got, err := f.cl.Directory(ctx)
	wantErr(t, "directory", nil, err)
	wantSame(t, "listed", []store.Listing{ls}, got)
	f.now = 2 * time.Minute
	got, err = f.cl.Directory(ctx)
	wantErr(t, "directory", nil, err)
	wantSame(t, "gone", []store.Listing{}, got)
	wantErr(t, "register again", store.ErrLapsed, f.cl.Register(ctx, l, ls))
}

// A watch that waits is one call to the platform's rates, however long.
func TestWatchCountsOnce(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	_, err := f.cl.Watch(ctx, "k", store.Absent, 50*time.Millisecond)
	wantErr(t, "nothing came", store.ErrIdle, err)
	wantSame(t, "calls", plat.Counts{"watch": 1}, f.srv.Counts())
}
