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

// fixture is a stub of the service and a client, both on a clock that the test sets.
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

func wantEqual(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against reporting failure or success of a write whose reply is lost.
func TestPutLostReply(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	f.srv.SetFaults(plat.Faults{LoseNext: 1})
	_, err := f.cl.Put(ctx, "k", []byte("a"), store.Absent)
	wantErr(t, "lost reply", store.ErrUnknown, err)
	v, err := f.cl.Get(ctx, "k")
	wantErr(t, "read back", nil, err)
	wantEqual(t, "the value is stored", "a", string(v.Body))
	_, err = f.cl.Put(ctx, "k", []byte("b"), store.Absent)
	wantErr(t, "second creation", store.ErrConflict, err)
	wantEqual(t, "metric of the lost reply", int64(1), f.counter("put.unknown"))
	wantEqual(t, "metric of the conflict", int64(1), f.counter("put.conflict"))
}

// Guards against reporting an unknown outcome for a write that was never sent.
func TestPutNotSent(t *testing.T) {
	cl := store.New(store.Config{URL: "http://127.0.0.1:1"})
	_, err := cl.Put(context.Background(), "k", nil, store.Absent)
	wantErr(t, "refused connection", store.ErrUnavailable, err)
	if errors.Is(err, store.ErrUnknown) {
		t.Error("a write that was never sent is reported as unknown")
	}
}

// Guards against reused version numbers: when a key is deleted and created again, a slow writer
// with a version of the deleted key could overwrite the new value.
func TestVersionsAreNotReused(t *testing.T) {
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

// Guards against a claim of unknown outcome that runs a request twice or blocks its key.
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
		{name: "unreachable", faults: plat.Faults{Refuse: []string{"127.0.0.1"}}, claim: event.ClaimFailed},
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
			wantEqual(t, "claim", c.claim, claim)
			wantEqual(t, "owner", c.owner, owner)
		})
	}
}

// Guards against treating a claim as a run of its request if the claim takes effect only after the
// request was refused.
func TestClaimTakesEffectLate(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{Timeout: 50 * time.Millisecond})
	f.srv.SetFaults(plat.Faults{DelayMs: 200})
	rec := event.KeyRecord{Entry: "uvs-1", Incarnation: 7, Request: "req-1"}
	claim, _ := f.cl.Claim(ctx, "d", rec)
	wantEqual(t, "claim", event.ClaimFailed, claim)
	f.srv.SetFaults(plat.Faults{})
	got := store.Value{}
	for deadline := time.Now().Add(20 * time.Second); got.Body == nil && time.Now().Before(deadline); {
		got, _ = f.cl.Get(ctx, store.KeyPath("d"))
	}
	if got.Body == nil {
		t.Fatal("the late write never took effect, so the test proves nothing")
	}
	claim, _ = f.cl.Claim(ctx, "d", rec)
	wantEqual(t, "claim of the same request afterwards", event.ClaimWon, claim)
}

// Guards against claims that exhaust the call budget of control calls such as the watch.
func TestClaimsDoNotBlockControlCalls(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{CallsPerSecond: 4, Timeout: 200 * time.Millisecond})
	failed := 0
	for i := range ident.Incarnation(50) {
		if claim, _ := f.cl.Claim(ctx, "d", event.KeyRecord{Incarnation: i}); claim == event.ClaimFailed {
			failed++
		}
	}
	if failed == 0 || f.counter("claim.budget") == 0 {
		t.Error("50 simultaneous claims did not exhaust a budget of 2 per second")
	}
	_, err := f.cl.Get(ctx, "k")
	wantErr(t, "a control call", store.ErrAbsent, err)
}

// Guards against a holder that resumes after its lease has expired and continues as owner.
func TestLeaseExpiresDuringPause(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	first, err := f.cl.Grant(ctx, time.Minute)
	wantErr(t, "grant", nil, err)
	_, err = f.cl.PutWithLease(ctx, first, "duty", []byte("first"), store.Absent)
	wantErr(t, "acquire the duty", nil, err)
	wantEqual(t, "valid at first", true, first.Valid(ident.Time(f.now)))

	f.now = 55 * time.Second
	wantEqual(t, "expires at the holder before it does at the service", false, first.Valid(ident.Time(f.now)))
	_, err = f.cl.Get(ctx, "duty")
	wantErr(t, "the service still counts it as held", nil, err)

	f.now = 61 * time.Second
	second, err := f.cl.Grant(ctx, time.Minute)
	wantErr(t, "second grant", nil, err)
	_, err = f.cl.PutWithLease(ctx, second, "duty", []byte("second"), store.Absent)
	wantErr(t, "the next holder acquires the duty", nil, err)
	if second.Fence <= first.Fence {
		t.Errorf("fencing token %d of the next holder is not above %d", second.Fence, first.Fence)
	}
	wantErr(t, "the first holder can't renew it", store.ErrLeaseExpired, f.cl.KeepAlive(ctx, first))
	wantEqual(t, "the first lease is invalid", false, first.Valid(0))
	_, err = f.cl.PutWithLease(ctx, first, "other", nil, store.Absent)
	wantErr(t, "the first holder can't write under it", store.ErrLeaseExpired, err)
	wantEqual(t, "a nil lease", false, (*store.Lease)(nil).Valid(0))
}

// Guards against a stub whose list of hosts does not lag as the platform's does.
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
		wantEqual(t, "list at "+c.now.String(), c.want, hs.Hosts[0].ID)
	}
}

// Guards against a crashed host that stays in the directory.
func TestDirectoryEndsWithTheLease(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	l, err := f.cl.Grant(ctx, time.Minute)
	wantErr(t, "grant", nil, err)
	ls := store.Listing{Entry: "uvs-1", CallerURL: "http://127.1.1.1:8080"}
	wantErr(t, "register", nil, f.cl.Register(ctx, l, ls))
	got, err := f.cl.Directory(ctx)
	wantErr(t, "directory", nil, err)
	wantEqual(t, "listed", []store.Listing{ls}, got)
	f.now = 2 * time.Minute
	got, err = f.cl.Directory(ctx)
	wantErr(t, "directory", nil, err)
	wantEqual(t, "gone", []store.Listing{}, got)
	wantErr(t, "register again", store.ErrLeaseExpired, f.cl.Register(ctx, l, ls))
}

// Guards against counting a waiting watch as more than one call against the rate limits of the
// platform.
func TestWatchCountsOnce(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t, store.Config{})
	_, err := f.cl.Watch(ctx, "k", store.Absent, 50*time.Millisecond)
	wantErr(t, "no change", store.ErrNoChange, err)
	wantEqual(t, "calls", plat.Counts{"watch": 1}, f.srv.Counts())
}
