// Package idle closes callers' connections that have waited too long for a
// request.
//
// # Usage
//
//	k := idle.New(svc, func() time.Duration { return book().Limits().Idle() })
//	srv := &http.Server{ConnState: k.State}
//	defer k.Stop()
//
// net/http has a limit of its own, but one that is fixed when the server
// starts. Here it is asked for anew each time, since operators change it while
// connections stand.
package idle

import (
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sweepEvery is the time between two looks, and so how late a connection may be
// closed.
const sweepEvery = time.Second

// Keeper knows the idle connections of one server.
type Keeper struct {
	t     tomb.Tomb
	clock *clock.Service
	limit func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]ident.Time
}

// New returns a running keeper. A limit of zero or less is none.
func New(svc *clock.Service, limit func() time.Duration) *Keeper {
	k := &Keeper{clock: svc, limit: limit, since: make(map[net.Conn]ident.Time)}
	k.t.Go(k.run)
	return k
}

// Stop ends the keeper and leaves the connections open.
func (k *Keeper) Stop() {
	k.t.Kill(nil)
	_ = k.t.Wait()
}

// State takes note of a connection's state. It fits http.Server.ConnState.
func (k *Keeper) State(c net.Conn, st http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if st == http.StateIdle {
		k.since[c] = k.clock.Now()
		return
	}
	delete(k.since, c)
}

func (k *Keeper) run() error {
	tick := k.clock.Every(sweepEvery)
	defer tick.Close()
	for {
		select {
		case now := <-tick.C():
			k.sweep(now)
		case <-k.t.Dying():
			return nil
		}
	}
}

func (k *Keeper) sweep(now ident.Time) {
	limit := k.limit()
	if limit <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, since := range k.since {
		if now.Sub(since) >= limit {
			delete(k.since, c)
			_ = c.Close()
		}
	}
}
