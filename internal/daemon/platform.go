package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/rules"
)

// watchWait is how long one watch waits, and snapshotWait how long a host may
// take to read the whole configuration.
const (
	watchWait    = 20 * time.Second
	snapshotWait = 15 * time.Second
)

// Sizes of the pool that waits for the platform. It is apart from the one that
// polls targets: while the platform is slow, each of its calls takes the whole
// timeout, and load reports must not wait behind them.
const (
	platformQueue   = 1024
	platformWorkers = 8
)

// platform carries out the effects that call the platform's service.
type platform struct {
	d     *Daemon
	work  chan event.Effect
	watch *watcher
	reg   *registrar
}

func newPlatform(d *Daemon) *platform {
	p := &platform{d: d, work: make(chan event.Effect, platformQueue)}
	p.watch = &watcher{d: d, poke: make(chan struct{}, 1)}
	p.reg = &registrar{d: d, left: make(chan struct{})}
	return p
}

// start starts the goroutines, which need the loop.
func (p *platform) start() {
	for range platformWorkers {
		p.d.t.Go(p.run)
	}
	p.d.t.Go(p.watch.run)
	p.d.t.Go(p.reg.run)
}

// carry takes an effect from the control thread, or reports false for one that
// is none of the platform's. It does not block.
func (p *platform) carry(eff event.Effect) bool {
	switch e := eff.(type) {
	case event.WatchChange:
		p.watch.set(e)
	case event.StopWatch:
		p.watch.stop()
	case event.ReadSnapshot, event.ReadHosts, event.ClaimKey:
		p.enqueue(eff)
	default:
		return false
	}
	return true
}

func (p *platform) enqueue(eff event.Effect) {
	select {
	case p.work <- eff:
	default:
		// The reducer asks again, and a claim ends with its deadline as one
		// that failed; blocking here would stop the host's decisions.
		p.d.cfg.Log.Info("effect dropped, the platform is slow", "effect", event.TypeName(eff))
	}
}

func (p *platform) run() error {
	ctx := p.d.t.Context(context.Background())
	for {
		select {
		case eff := <-p.work:
			p.do(ctx, eff)
		case <-p.d.t.Dying():
			return nil
		}
	}
}

func (p *platform) do(ctx context.Context, eff event.Effect) {
	switch e := eff.(type) {
	case event.ReadHosts:
		p.readHosts(ctx)
	case event.ReadSnapshot:
		p.readSnapshot(ctx)
	case event.ClaimKey:
		p.claimKey(ctx, e)
	}
}

func (p *platform) readHosts(ctx context.Context) {
	hs, err := p.d.store.Hosts(ctx)
	if err != nil {
		p.d.loop.Post(event.PlatformFailed{Op: event.OpReadHosts})
		return
	}
	p.d.loop.Post(event.HostsRead{Version: hs.Version, Hosts: hs.Hosts, Targets: hs.Targets})
}

func (p *platform) readSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotWait)
	defer cancel()
	book, err := p.d.revs.Load(ctx)
	if err != nil {
		p.d.loop.Post(event.PlatformFailed{Op: event.OpReadSnapshot})
		return
	}
	p.d.loop.Post(event.SnapshotReceived{Book: book})
}

// claimKey records an idempotency key before the first send.
func (p *platform) claimKey(ctx context.Context, e event.ClaimKey) {
	ctx, cancel := context.WithTimeout(ctx, e.Deadline.Sub(p.d.clock.Now()))
	defer cancel()
	claim, owner := p.d.store.Claim(ctx, e.Key, e.Record)
	p.d.loop.Post(event.KeyClaimed{Request: e.Request, Claim: claim, Owner: owner})
}

// watcher holds the one watch of the host. A new one takes the place of the
// one that waits, so that a host never has two watches that count as calls.
type watcher struct {
	d    *Daemon
	poke chan struct{}

	mu     sync.Mutex
	want   bool
	after  event.WatchChange
	cancel context.CancelFunc
}

func (w *watcher) set(e event.WatchChange) {
	w.mu.Lock()
	w.want = true
	w.after = e
	w.abort()
	w.mu.Unlock()
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.want = false
	w.abort()
}

// abort ends the watch that waits. The caller holds the lock.
func (w *watcher) abort() {
	if w.cancel != nil {
		w.cancel()
	}
}

// release frees the context of a watch that has ended.
func (w *watcher) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abort()
	w.cancel = nil
}

// take returns the watch that is wanted next.
func (w *watcher) take(ctx context.Context) (context.Context, event.WatchChange, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.want {
		return ctx, event.WatchChange{}, false
	}
	w.want = false
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.after, true
}

func (w *watcher) run() error {
	ctx := w.d.t.Context(context.Background())
	for {
		select {
		case <-w.poke:
			if one, e, ok := w.take(ctx); ok {
				w.wait(one, e)
				w.release()
			}
		case <-w.d.t.Dying():
			return nil
		}
	}
}

func (w *watcher) wait(ctx context.Context, e event.WatchChange) {
	c, err := w.d.revs.Next(ctx, e.After, watchWait)
	if ctx.Err() != nil {
		// Another watch has taken its place, or the host stops watching.
		return
	}
	switch {
	case err == nil:
		w.d.loop.Post(event.ChangesReceived{Changes: []rules.Change{c}})
	case errors.Is(err, revlog.ErrIdle):
		w.d.loop.Post(event.WatchIdle(e))
	default:
		w.d.loop.Post(event.PlatformFailed{Op: event.OpWatchChange})
	}
}

// Times of the registration in the directory for clients. The lease is long:
// each host keeps its own alive, so that the calls grow with the fleet, at 370
// hosts to about four a second. A host that died without a word stays listed
// for as long, and callers try the next.
const (
	registerTTL   = 5 * time.Minute
	registerEvery = registerTTL / 3
	registerRetry = 10 * time.Second
)

// registrar keeps the host in the directory for clients until it drains.
type registrar struct {
	d     *Daemon
	lease *store.Lease
	once  sync.Once
	left  chan struct{}
}

// drain takes the host out of the directory.
func (g *registrar) drain() { g.once.Do(func() { close(g.left) }) }

func (g *registrar) run() error {
	ctx := g.d.t.Context(context.Background())
	at := g.d.clock.At(g.d.clock.Now())
	defer at.Close()
	for {
		select {
		case now := <-at.C():
			at.Reset(now.Add(g.step(ctx)))
		case <-g.left:
			g.leave()
			return nil
		case <-g.d.t.Dying():
			return nil
		}
	}
}

// step keeps the lease alive, or takes a new one and registers under it. It
// returns the wait until the next step.
func (g *registrar) step(ctx context.Context) time.Duration {
	if g.lease.Valid(g.d.clock.Now()) {
		err := g.d.store.KeepAlive(ctx, g.lease)
		if err == nil {
			return registerEvery
		}
		if !errors.Is(err, store.ErrLeaseExpired) {
			return registerRetry
		}
	}
	l, err := g.d.store.Grant(ctx, registerTTL)
	if err != nil {
		return registerRetry
	}
	listing := store.Listing{Entry: g.d.self.ID, Place: g.d.self.Place, CallerURL: g.d.self.CallerURL}
	if err := g.d.store.Register(ctx, l, listing); err != nil {
		g.d.cfg.Log.Info("not registered in the directory", "error", err.Error())
		return registerRetry
	}
	g.lease = l
	return registerEvery
}

// leaveWait bounds the last call of a host that drains.
const leaveWait = 2 * time.Second

func (g *registrar) leave() {
	if g.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
	defer cancel()
	_ = g.d.store.Revoke(ctx, g.lease)
}
