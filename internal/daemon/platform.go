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

// watchTimeout is how long one watch call waits for a change, and snapshotTimeout how
// long the host may take to read the whole configuration.
const (
	watchTimeout    = 20 * time.Second
	snapshotTimeout = 15 * time.Second
)

// Sizes of the worker pool that calls the platform. It is separate from the one
// that polls targets: while the platform is slow, each call to it takes the whole
// timeout, and load reports must not wait behind such calls.
const (
	platformQueueSize = 1024
	platformWorkers   = 8
)

// platform executes the effects that call the platform's service.
type platform struct {
	d     *Daemon
	work  chan event.Effect
	watch *watcher
	reg   *registrar
}

func newPlatform(d *Daemon) *platform {
	p := &platform{d: d, work: make(chan event.Effect, platformQueueSize)}
	p.watch = &watcher{d: d, wakeup: make(chan struct{}, 1)}
	p.reg = &registrar{d: d, withdrawn: make(chan struct{})}
	return p
}

// start starts the goroutines. The loop must exist, since they post events to it.
func (p *platform) start() {
	for range platformWorkers {
		p.d.t.Go(p.run)
	}
	p.d.t.Go(p.watch.run)
	p.d.t.Go(p.reg.run)
}

// execute executes or queues an effect that calls the platform, and reports whether
// eff is one. It runs on the control thread and does not block.
func (p *platform) execute(eff event.Effect) bool {
	switch e := eff.(type) {
	case event.WatchChange:
		p.watch.replace(e)
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
		// The reducer repeats the effect later, and a claim fails at its
		// deadline; blocking here would stop the host's decisions.
		p.d.cfg.Log.Info("effect dropped: all platform workers are busy", "effect", event.TypeName(eff))
	}
}

func (p *platform) run() error {
	ctx := p.d.t.Context(context.Background())
	for {
		select {
		case eff := <-p.work:
			p.process(ctx, eff)
		case <-p.d.t.Dying():
			return nil
		}
	}
}

func (p *platform) process(ctx context.Context, eff event.Effect) {
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
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	book, err := p.d.revs.Load(ctx)
	if err != nil {
		p.d.loop.Post(event.PlatformFailed{Op: event.OpReadSnapshot})
		return
	}
	p.d.loop.Post(event.SnapshotReceived{Book: book})
}

// claimKey claims an idempotency key in the store, before the first attempt is sent.
func (p *platform) claimKey(ctx context.Context, e event.ClaimKey) {
	ctx, cancel := context.WithTimeout(ctx, e.Deadline.Sub(p.d.clock.Now()))
	defer cancel()
	claim, owner := p.d.store.Claim(ctx, e.Key, e.Record)
	p.d.loop.Post(event.KeyClaimed{Request: e.Request, Claim: claim, Owner: owner})
}

// watcher runs the only watch of the host. A new watch replaces the running
// one, so that a host never has two watches that count as calls.
type watcher struct {
	d      *Daemon
	wakeup chan struct{}

	mu      sync.Mutex
	pending bool
	next    event.WatchChange
	cancel  context.CancelFunc
}

func (w *watcher) replace(e event.WatchChange) {
	w.mu.Lock()
	w.pending = true
	w.next = e
	w.abort()
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = false
	w.abort()
}

// abort cancels the running watch. The caller holds the lock.
func (w *watcher) abort() {
	if w.cancel != nil {
		w.cancel()
	}
}

// release cancels the context of a watch that has ended, to free its resources.
func (w *watcher) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abort()
	w.cancel = nil
}

// takePending returns the pending watch and its context, and false if there is none.
func (w *watcher) takePending(ctx context.Context) (context.Context, event.WatchChange, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.pending {
		return ctx, event.WatchChange{}, false
	}
	w.pending = false
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.next, true
}

func (w *watcher) run() error {
	ctx := w.d.t.Context(context.Background())
	for {
		select {
		case <-w.wakeup:
			if watchCtx, e, ok := w.takePending(ctx); ok {
				w.watch(watchCtx, e)
				w.release()
			}
		case <-w.d.t.Dying():
			return nil
		}
	}
}

func (w *watcher) watch(ctx context.Context, e event.WatchChange) {
	c, err := w.d.revs.Next(ctx, e.After, watchTimeout)
	if ctx.Err() != nil {
		// Another watch has replaced this one, or the host stops watching.
		return
	}
	switch {
	case err == nil:
		w.d.loop.Post(event.ChangesReceived{Changes: []rules.Change{c}})
	case errors.Is(err, revlog.ErrNoLaterChange):
		w.d.loop.Post(event.WatchIdle(e))
	default:
		w.d.loop.Post(event.PlatformFailed{Op: event.OpWatchChange})
	}
}

// Timing of the registration in the directory for clients. The lease is long
// because each host renews its own, so that the calls grow with the fleet: about
// four a second at 370 hosts. A host that crashed stays listed until its lease
// expires, and callers try the next host.
const (
	registerTTL        = 5 * time.Minute
	registerInterval   = registerTTL / 3
	registerRetryDelay = 10 * time.Second
)

// registrar keeps the host in the directory for clients until it drains.
type registrar struct {
	d         *Daemon
	lease     *store.Lease
	once      sync.Once
	withdrawn chan struct{}
}

// withdraw makes run remove the host from the directory and return.
func (g *registrar) withdraw() { g.once.Do(func() { close(g.withdrawn) }) }

func (g *registrar) run() error {
	ctx := g.d.t.Context(context.Background())
	at := g.d.clock.At(g.d.clock.Now())
	defer at.Close()
	for {
		select {
		case now := <-at.C():
			at.Reset(now.Add(g.renew(ctx)))
		case <-g.withdrawn:
			g.deregister()
			return nil
		case <-g.d.t.Dying():
			return nil
		}
	}
}

// renew keeps the lease alive, or takes a new one and registers the host under
// it. It returns the delay until the next call.
func (g *registrar) renew(ctx context.Context) time.Duration {
	if g.lease.Valid(g.d.clock.Now()) {
		err := g.d.store.KeepAlive(ctx, g.lease)
		if err == nil {
			return registerInterval
		}
		if !errors.Is(err, store.ErrLeaseExpired) {
			return registerRetryDelay
		}
	}
	l, err := g.d.store.Grant(ctx, registerTTL)
	if err != nil {
		return registerRetryDelay
	}
	listing := store.Listing{Entry: g.d.self.ID, Place: g.d.self.Place, CallerURL: g.d.self.CallerURL}
	if err := g.d.store.Register(ctx, l, listing); err != nil {
		g.d.cfg.Log.Info("registration in the directory failed", "error", err.Error())
		return registerRetryDelay
	}
	g.lease = l
	return registerInterval
}

// deregisterTimeout bounds the call that revokes the lease of a draining host.
const deregisterTimeout = 2 * time.Second

func (g *registrar) deregister() {
	if g.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	_ = g.d.store.Revoke(ctx, g.lease)
}
