package halt

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
)

const testTimeout = 10 * time.Second

// testHost is the shutdown sequence of a host with a settable number of running requests.
type testHost struct {
	*Sequence
	running atomic.Int64
	posted  chan event.Event
}

func newTestHost(t *testing.T, grace time.Duration, running int) *testHost {
	t.Helper()
	svc := clock.New()
	t.Cleanup(svc.Stop)
	h := &testHost{posted: make(chan event.Event, 4)}
	h.running.Store(int64(running))
	h.Sequence = &Sequence{
		Clock: svc, Log: logr.Discard(), GracePeriod: grace, FinalTimeout: testTimeout,
		Running: func() int { return int(h.running.Load()) },
		Post:    func(ev event.Event) { h.posted <- ev },
	}
	return h
}

func (h *testHost) waitDone(wait time.Duration) bool {
	select {
	case <-h.Done():
		return true
	case <-time.After(wait):
		return false
	}
}

// Guards against a host that ends before its last answers have been sent, or that does not count
// the requests it cut.
func TestGracePeriodExpires(t *testing.T) {
	h := newTestHost(t, 50*time.Millisecond, 3)
	go h.Run(t.Context())
	if diff := cmp.Diff(event.Event(event.DrainExpired{}), <-h.posted); diff != "" {
		t.Errorf("event (-want +got):\n%s", diff)
	}
	if h.waitDone(50 * time.Millisecond) {
		t.Error("done while requests are running")
	}
	h.running.Store(0)
	if !h.waitDone(testTimeout) {
		t.Error("the sequence was not done in time")
	}
	if diff := cmp.Diff(3, h.CutRequests()); diff != "" {
		t.Errorf("cut (-want +got):\n%s", diff)
	}
}

// Guards against counting requests as cut, or waiting for the whole grace period, when the drain
// ends by itself.
func TestDrainEndsByItself(t *testing.T) {
	h := newTestHost(t, time.Hour, 0)
	go h.Run(t.Context())
	h.MarkDrained()
	h.MarkDrained()
	if !h.waitDone(testTimeout) {
		t.Error("the sequence was not done in time")
	}
	if diff := cmp.Diff([]int{0, 0}, []int{h.CutRequests(), len(h.posted)}); diff != "" {
		t.Errorf("cut and posted (-want +got):\n%s", diff)
	}
}

// Guards against a process that waits for a drain although its context has ended.
func TestRunEndsWithContext(t *testing.T) {
	h := newTestHost(t, 0, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h.Run(ctx)
	h.Run(ctx)
	if !h.waitDone(testTimeout) {
		t.Error("the sequence was not done in time")
	}
}
