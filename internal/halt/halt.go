// Package halt ends an entry host in one ordered sequence, in which no request is dropped that
// could end.
//
// # Usage
//
//	h := &halt.Sequence{Clock: svc, Log: log, Grace: grace, Running: runner.Running, Post: lp.Post, Conns: keeper}
//	t.Go(h.Run)      // once the drain has begun
//	...
//	h.Drained()      // when the reducer reports the end of the drain
//	...
//	<-h.Done()       // every request has had its final answer
//	h.Close(servers) // connections end
//
// # Order
//
// A host that drains takes what it can end, until the reducer reports the drain as ended or the
// grace is over. From then on the reducer refuses what arrives. What still runs at the end of
// the grace gets its final answer: it is refused, or cut where its answer has begun. Then the
// listeners close, connections without a request end, the others end with their answers, and
// what is left is closed.
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

// pollInterval is the time between two looks at what is left.
const pollInterval = 10 * time.Millisecond

// Sequence is the end of one host.
type Sequence struct {
	Clock *clock.Service
	Log   logr.Logger
	// GracePeriod is the time from Run after which what runs is cut; zero is no bound.
	GracePeriod time.Duration
	// FinalTimeout bounds the time for the last answers after the drain, and again the time for the
	// connections to end.
	FinalTimeout time.Duration
	// Running returns the number of requests without their final answer.
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

// MarkDrained says that the reducer has reported the end of the drain.
func (s *Sequence) MarkDrained() {
	s.initChannels()
	s.drainedOnce.Do(func() { close(s.drained) })
}

// Done is closed when every request has had its final answer.
func (s *Sequence) Done() <-chan struct{} {
	s.initChannels()
	return s.done
}

// CutRequests returns the number of requests that were cut at the end of the grace.
func (s *Sequence) CutRequests() int { return int(s.cutRequests.Load()) }

// Run waits for the end of the drain and cuts what outlasts the grace. Only its first call does.
func (s *Sequence) Run(ctx context.Context) {
	if s.started.Swap(true) {
		return
	}
	s.initChannels()
	defer close(s.done)
	var over <-chan ident.Time
	if s.GracePeriod > 0 {
		sub := s.Clock.At(s.Clock.Now().Add(s.GracePeriod))
		defer sub.Close()
		over = sub.C()
	}
	select {
	case <-s.drained:
	case <-over:
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

// waitUntil waits for a condition, for Last at the most.
func (s *Sequence) waitUntil(ok func() bool) {
	tick := s.Clock.Every(pollInterval)
	defer tick.Close()
	until := s.Clock.Now().Add(s.FinalTimeout)
	for !ok() && s.Clock.Now() < until {
		<-tick.C()
	}
}

// Close ends the listeners and their connections.
func (s *Sequence) Close(ls ...*httpsv.Listener) {
	for _, l := range ls {
		if err := l.Close(); err != nil {
			s.Log.Info("listener does not close", "error", err.Error())
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

// shutdownHTTP2 ends the connections of HTTP/2, which the server has to announce.
func (s *Sequence) shutdownHTTP2(l *httpsv.Listener) {
	if l.Server.TLSConfig == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.FinalTimeout)
	defer cancel()
	if err := l.Server.Shutdown(ctx); err != nil {
		s.Log.Info("server does not shut down in time", "error", err.Error())
	}
}
