// Package clock is the timer service of a process. It is the only place that
// reads the monotonic clock for control decisions and that owns timers.
//
// # Usage
//
// Callers subscribe to a due time or to a period and receive on a channel:
//
//	svc := clock.New()
//	defer svc.Stop()
//
//	sub := svc.Every(time.Second)
//	defer sub.Close()
//	for now := range sub.C() { ... }
//
// Periods that a slow receiver misses are skipped, so that a process that
// resumes after a pause does not receive a burst of old ticks.
package clock

import (
	"container/heap"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Service delivers timer ticks. All times are measured from its start.
type Service struct {
	t     tomb.Tomb
	start time.Time

	mu      sync.Mutex
	queue   subHeap
	lastSeq uint64
	wakeup  chan struct{}
}

// Subscription is a subscription to one due time or to a period.
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

// Stop ends the service. No tick is sent after it returns.
func (s *Service) Stop() {
	s.t.Kill(nil)
	_ = s.t.Wait()
}

// Now returns the time since the start of the service by the monotonic clock. The clock
// continues while the process is paused, so that an expired lease is detected on
// resumption.
func (s *Service) Now() ident.Time { return ident.Time(time.Since(s.start)) }

// At subscribes to one due time. A time in the past is delivered at once.
func (s *Service) At(at ident.Time) *Subscription { return s.add(at, 0) }

// Every subscribes to a period. The first tick is due after one period.
func (s *Service) Every(d time.Duration) *Subscription { return s.add(s.Now().Add(d), d) }

func (s *Service) add(due ident.Time, period time.Duration) *Subscription {
	sub := &Subscription{svc: s, c: make(chan ident.Time, 1), due: due, period: period}
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

// C returns the channel on which ticks are delivered.
func (sub *Subscription) C() <-chan ident.Time { return sub.c }

// Reset changes the due time and discards a tick that has not been received yet.
func (sub *Subscription) Reset(at ident.Time) {
	s := sub.svc
	s.mu.Lock()
	if sub.index >= 0 {
		heap.Remove(&s.queue, sub.index)
	}
	select {
	case <-sub.c:
	default:
	}
	sub.due = at
	heap.Push(&s.queue, sub)
	s.mu.Unlock()
	s.wake()
}

// Close ends the subscription.
func (sub *Subscription) Close() {
	s := sub.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index >= 0 {
		heap.Remove(&s.queue, sub.index)
	}
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// maxSleep is how long the loop sleeps without subscriptions; a new one wakes it.
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

// fire delivers all due ticks and returns the time until the next.
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

// nextAfter returns the first tick of the period after now.
func nextAfter(due ident.Time, period time.Duration, now ident.Time) ident.Time {
	missed := now.Sub(due) / period
	return due.Add(period * (missed + 1))
}

// subHeap is a heap of subscriptions by due time, then by order of subscription.
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
