// Package clock is the timer service of a process. It is the one place that
// reads the monotonic clock for control and that owns timers.
//
// # Usage
//
// Parts subscribe to a moment or to a period and receive on a channel:
//
//	svc := clock.New()
//	defer svc.Stop()
//
//	sub := svc.Every(time.Second)
//	defer sub.Close()
//	for now := range sub.C() { ... }
//
// A period that the receiver is too slow for is skipped and not made up for,
// so that a paused process does not wake to a burst of old ticks.
package clock

import (
	"container/heap"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Service hands out wake-ups. Its times count from its start.
type Service struct {
	t     tomb.Tomb
	start time.Time

	mu      sync.Mutex
	queue   subHeap
	lastSeq uint64
	wakeup  chan struct{}
}

// Subscription is one subscription.
type Subscription struct {
	svc    *Service
	c      chan ident.Time
	due    ident.Time
	period time.Duration
	seq    uint64
	index  int
}

// New starts a timer service.
func New() *Service {
	s := &Service{start: time.Now(), wakeup: make(chan struct{}, 1)}
	s.t.Go(s.run)
	return s
}

// Stop ends the service. Subscriptions receive nothing more.
func (s *Service) Stop() {
	s.t.Kill(nil)
	_ = s.t.Wait()
}

// Now returns the time since the start of the service, by the monotonic
// clock. It goes on while the process is frozen, so that a lease is seen to
// have lapsed on waking.
func (s *Service) Now() ident.Time { return ident.Time(time.Since(s.start)) }

// At subscribes to one moment. A moment in the past comes at once.
func (s *Service) At(at ident.Time) *Subscription { return s.add(at, 0) }

// Every subscribes to a period, the first time after one period.
func (s *Service) Every(d time.Duration) *Subscription { return s.add(s.Now().Add(d), d) }

func (s *Service) add(at ident.Time, every time.Duration) *Subscription {
	sub := &Subscription{svc: s, c: make(chan ident.Time, 1), due: at, period: every}
	s.mu.Lock()
	s.lastSeq++
	sub.seq = s.lastSeq
	heap.Push(&s.queue, sub)
	first := s.queue[0] == sub
	s.mu.Unlock()
	if first {
		s.wake()
	}
	return sub
}

// C is where the moments arrive.
func (b *Subscription) C() <-chan ident.Time { return b.c }

// Reset moves the subscription to another moment and drops one that waits to
// be received.
func (b *Subscription) Reset(at ident.Time) {
	s := b.svc
	s.mu.Lock()
	if b.index >= 0 {
		heap.Remove(&s.queue, b.index)
	}
	select {
	case <-b.c:
	default:
	}
	b.due = at
	heap.Push(&s.queue, b)
	s.mu.Unlock()
	s.wake()
}

// Close ends the subscription.
func (b *Subscription) Close() {
	s := b.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.index >= 0 {
		heap.Remove(&s.queue, b.index)
	}
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// maxSleep is how long the loop sleeps with no subscription; a new one pokes
// it.
const maxSleep = time.Hour

func (s *Service) run() error {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	for {
		timer.Reset(s.fire())
		select {
		case <-timer.C:
		case <-s.wakeup:
		case <-s.t.Dying():
			return nil
		}
	}
}

// fire delivers all that is due and returns the wait until the next.
func (s *Service) fire() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for len(s.queue) > 0 && s.queue[0].due <= now {
		sub := s.queue[0]
		select {
		case sub.c <- now:
		default:
		}
		if sub.period == 0 {
			heap.Pop(&s.queue)
			continue
		}
		sub.due = nextAfter(sub.due, sub.period, now)
		heap.Fix(&s.queue, 0)
	}
	if len(s.queue) == 0 {
		return maxSleep
	}
	return s.queue[0].due.Sub(now)
}

// nextAfter returns the first moment of the period after now.
func nextAfter(at ident.Time, every time.Duration, now ident.Time) ident.Time {
	missed := now.Sub(at) / every
	return at.Add(every * (missed + 1))
}

// subHeap is a heap of subscriptions by time, then by order of subscription.
type subHeap []*Subscription

func (q subHeap) Len() int { return len(q) }

func (q subHeap) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].seq < q[j].seq
}

func (q subHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *subHeap) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

func (q *subHeap) Pop() any {
	old := *q
	n := len(old) - 1
	sub := old[n]
	old[n] = nil
	*q = old[:n]
	sub.index = -1
	return sub
}
