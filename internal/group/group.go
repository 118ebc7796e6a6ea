// Package group manages the goroutines of one owner. Go can be called at any time,
// even while the owner is stopping.
//
// # Usage
//
//	type Server struct{ group group.Group }
//
//	s.group.Go(s.run)      // false once the group is ending
//	ctx := s.group.Context(context.Background())
//	s.group.Kill(nil)
//	err := s.group.Wait()
//
// A tomb.Tomb dies when the last of its goroutines has returned, and starting another
// one on a dead tomb panics. This happens to an owner that starts several goroutines in
// turn if the first returns before the second is started: a listener that fails at once,
// or a request that arrives while the host stops. The panic then ends a process with
// hundreds of running requests. A group therefore runs one goroutine of its own, which
// keeps the tomb alive until the group accepts no more goroutines.
//
// The zero value is ready to use.
package group

import (
	"context"
	"sync"

	"gopkg.in/tomb.v2"
)

// Group manages goroutines. Its methods may be called concurrently.
type Group struct {
	t tomb.Tomb

	mu sync.Mutex
	// started is set once the group's own goroutine runs, closed once no more
	// goroutines are accepted.
	started, closed bool
	joining         chan struct{}
}

// Go starts a goroutine. It returns false if the group accepts no more goroutines.
func (g *Group) Go(run func() error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.ensureStarted()
	g.t.Go(run)
	return true
}

func (g *Group) ensureStarted() {
	if g.started {
		return
	}
	g.started = true
	g.joining = make(chan struct{})
	g.t.Go(g.keepAlive)
}

// keepAlive prevents the tomb from dying while the group still accepts goroutines.
func (g *Group) keepAlive() error {
	select {
	case <-g.t.Dying():
	case <-g.joining:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return nil
}

// Kill asks all goroutines to end. The group soon accepts no more of them.
func (g *Group) Kill(reason error) {
	g.mu.Lock()
	if !g.started {
		g.closed = true
	}
	g.mu.Unlock()
	g.t.Kill(reason)
}

// Wait waits until all goroutines have returned, and returns the first error. It
// returns at once if none was started.
func (g *Group) Wait() error {
	g.mu.Lock()
	started := g.started
	g.mu.Unlock()
	if !started {
		return nil
	}
	return g.t.Wait()
}

// Join accepts no more goroutines and waits for the running ones to end by themselves.
func (g *Group) Join() error {
	g.mu.Lock()
	if g.started && !g.closed {
		g.closed = true
		close(g.joining)
	}
	g.mu.Unlock()
	return g.Wait()
}

// Dying returns a channel that is closed when the goroutines are asked to end.
func (g *Group) Dying() <-chan struct{} { return g.t.Dying() }

// Context returns a context that is cancelled when the goroutines are asked to end.
func (g *Group) Context(parent context.Context) context.Context { return g.t.Context(parent) }
