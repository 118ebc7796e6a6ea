// Package group holds the goroutines of one owner, and lets more of them start at any
// time, also while the owner stops.
//
// # Usage
//
//	type Server struct{ group group.Group }
//
//	s.group.Go(s.run)      // false once the group ends
//	ctx := s.group.Context(context.Background())
//	s.group.Kill(nil)
//	err := s.group.Wait()
//
// A tomb dies when the last of its goroutines has returned, and starting one more on a
// dead tomb panics. Whoever starts several from outside, one after the other, meets that
// where the first returns before the second begins: a listener that fails at once, a
// request that comes while the host stops. A process with hundreds of requests then ends
// in the middle of all of them. A group keeps one goroutine of its own, which is the
// last to return, so that the question whether another may start has one answer at any
// moment.
//
// The zero value is ready.
package group

import (
	"context"
	"sync"

	"gopkg.in/tomb.v2"
)

// Group holds goroutines. Its methods may be called by any goroutine.
type Group struct {
	t tomb.Tomb

	mu sync.Mutex
	// started says that the group's own goroutine was started, closed that it takes no more.
	started, closed bool
	joining         chan struct{}
}

// Go starts a goroutine, and reports false for a group that has ended.
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

// keepAlive keeps the tomb from dying before the group has ended.
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

// Kill asks all goroutines to end.
func (g *Group) Kill(reason error) {
	g.mu.Lock()
	if !g.started {
		g.closed = true
	}
	g.mu.Unlock()
	g.t.Kill(reason)
}

// Wait returns when all goroutines have returned, with the first error. A group in
// which none was started is not waited for.
func (g *Group) Wait() error {
	g.mu.Lock()
	begun := g.started
	g.mu.Unlock()
	if !begun {
		return nil
	}
	return g.t.Wait()
}

// Join takes no more goroutines and waits for those that there are, which end by
// themselves.
func (g *Group) Join() error {
	g.mu.Lock()
	if g.started && !g.closed {
		g.closed = true
		close(g.joining)
	}
	g.mu.Unlock()
	return g.Wait()
}

// Dying is closed when the goroutines are asked to end.
func (g *Group) Dying() <-chan struct{} { return g.t.Dying() }

// Context returns a context that ends with the group.
func (g *Group) Context(parent context.Context) context.Context { return g.t.Context(parent) }
