// Package halt shuts an entry host down in one ordered sequence that drops no request which can
// complete within the grace period.
//
// # Usage
//
//	h := &halt.Sequence{Clock: svc, Log: log, GracePeriod: grace, Running: runner.Running, Post: lp.Post, Conns: tracker}
//	t.Go(h.Run)      // once the drain has begun
//	...
//	h.MarkDrained()  // when the reducer reports the end of the drain
//	...
//	<-h.Done()       // requests have had their final answers, or FinalTimeout has passed
//	h.Close(servers) // connections end
//
// # Order
//
// A draining host accepts the requests that it can complete, until the reducer reports the end of
// the drain or the grace period expires. After that the reducer refuses new requests. A request that
// still runs when the grace period expires gets its final answer: it is refused, or cut if its answer
// has begun. Then the listeners close, idle connections end, and the others end with their answers.
// Connections that are still open after FinalTimeout are closed.
package halt

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/conns"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/httpsv"
	"verbenadale.example/verbenadale/pkg/ident"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// Sequence is the shutdown of one host.
type Sequence struct {
	Clock *clock.Service
	Log   logr.Logger
	// GracePeriod is the time from Run after which running requests are cut; zero means no limit.
	GracePeriod time.Duration
	// FinalTimeout bounds three waits, each separately: for the last answers after the drain, for the
	// connections to end, and for the HTTP/2 shutdown of each listener.
	FinalTimeout time.Duration
	// Running returns the number of requests without a final answer.
	Running func() int
	// Post hands an event to the reducer.
	Post  func(event.Event)
	Conns *conns.Tracker

	initOnce    sync.Once
	drained     chan struct{}
	done        chan struct{}
	drainedOnce sync.Once
	started     atomic.Bool
	cutRequests atomic.Int64
}

func (s *Sequence) initChannels() {
	s.initOnce.Do(func() { s.drained, s.done = make(chan struct{}), make(chan struct{}) })
}

// MarkDrained records that the reducer has reported the end of the drain.
func (s *Sequence) MarkDrained() {
	s.initChannels()
	s.drainedOnce.Do(func() { close(s.drained) })
}

// Done returns a channel that is closed when Run returns: every request has had its final answer,
// FinalTimeout has passed, or the context of Run has ended.
func (s *Sequence) Done() <-chan struct{} {
	s.initChannels()
	return s.done
}

// CutRequests returns the number of requests that were running when the grace period expired.
func (s *Sequence) CutRequests() int { return int(s.cutRequests.Load()) }

// Run waits for the end of the drain and cuts the requests that outlast the grace period. Only its
// first call has an effect.
func (s *Sequence) Run(ctx context.Context) {
	if s.started.Swap(true) {
		return
	}
	s.initChannels()
	defer close(s.done)
	var graceOver <-chan ident.Time
	if s.GracePeriod > 0 {
		sub := s.Clock.At(s.Clock.Now().Add(s.GracePeriod))
		defer sub.Close()
		graceOver = sub.C()
	}
	select {
	case <-s.drained:
	case <-graceOver:
		s.expireGrace()
	case <-ctx.Done():
		return
	}
	s.waitUntil(func() bool { return s.Running() == 0 })
}

func (s *Sequence) expireGrace() {
	n := s.Running()
	s.cutRequests.Store(int64(n))
	s.Log.Info("grace is over", "requests", n)
	s.Post(event.DrainExpired{})
}

// waitUntil waits for a condition, for FinalTimeout at most.
func (s *Sequence) waitUntil(ok func() bool) {
	tick := s.Clock.Every(pollInterval)
	defer tick.Close()
	deadline := s.Clock.Now().Add(s.FinalTimeout)
	for !ok() && s.Clock.Now() < deadline {
		<-tick.C()
	}
}

// Close closes the listeners and ends their connections.
func (s *Sequence) Close(ls ...*httpsv.Listener) {
	for _, l := range ls {
		if err := l.Close(); err != nil {
			s.Log.Info("cannot close listener", "error", err.Error())
		}
	}
	s.Conns.Drain()
	s.waitUntil(func() bool { return s.Conns.Len() == 0 })
	for _, l := range ls {
		s.shutdownHTTP2(l)
	}
	if n := s.Conns.CloseAll(event.ReasonStopped); n > 0 {
		s.Log.Info("connections closed with a request", "connections", n)
	}
	for _, l := range ls {
		_ = l.Server.Close()
	}
}

// shutdownHTTP2 ends HTTP/2 connections, which the server has to announce to the clients.
func (s *Sequence) shutdownHTTP2(l *httpsv.Listener) {
	if l.Server.TLSConfig == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.FinalTimeout)
	defer cancel()
	if err := l.Server.Shutdown(ctx); err != nil {
		s.Log.Info("server did not shut down in time", "error", err.Error())
	}
}
