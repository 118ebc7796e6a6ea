package loop

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

const testTimeout = 20 * time.Second

func start(t *testing.T, step func(now ident.Time, ev event.Event) []event.Effect) *Loop {
	t.Helper()
	svc := clock.New()
	l := New(Config{Step: step, Clock: svc, Log: logr.Discard(), Execute: func(event.Effect) {}})
	t.Cleanup(func() {
		l.Stop()
		svc.Stop()
	})
	return l
}

// Guards against the loop blocking on a mailbox that is no longer read, which would
// stop all other requests.
func TestFullMailboxDoesNotBlockLoop(t *testing.T) {
	l := start(t, func(_ ident.Time, ev event.Event) []event.Effect {
		if e, ok := ev.(event.RequestArrived); ok {
			return []event.Effect{event.Finish{Request: e.Request.ID}}
		}
		return nil
	})
	if _, ok := l.OpenMailbox("stuck"); !ok {
		t.Fatal("mailbox not opened")
	}
	for range 10 * mailboxSize {
		l.Post(event.RequestArrived{Request: event.Request{ID: "stuck"}})
	}
	mailbox, _ := l.OpenMailbox("other")
	l.Post(event.RequestArrived{Request: event.Request{ID: "other"}})
	select {
	case eff := <-mailbox:
		if diff := cmp.Diff(event.Effect(event.Finish{Request: "other"}), eff); diff != "" {
			t.Errorf("effect (-want +got):\n%s", diff)
		}
	case <-time.After(testTimeout):
		t.Fatal("loop is blocked by a mailbox that nobody reads")
	}
}

// Guards against reordered events: if the end of a request overtook its sending, a
// request that ran would be reported as not run.
func TestEventsOfOneSenderKeepTheirOrder(t *testing.T) {
	var seen []uint64
	done := make(chan struct{})
	l := start(t, func(_ ident.Time, ev event.Event) []event.Effect {
		if e, ok := ev.(event.AttemptSent); ok {
			seen = append(seen, e.Attempt.Number)
			if len(seen) == 500 {
				close(done)
			}
		}
		return nil
	})
	var want []uint64
	for n := range uint64(500) {
		want = append(want, n)
		l.Post(event.AttemptSent{Attempt: ident.Attempt{Number: n}})
	}
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("events were lost")
	}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestAskGetsItsOwnAnswer(t *testing.T) {
	l := start(t, func(_ ident.Time, ev event.Event) []event.Effect {
		if e, ok := ev.(event.StatusAsked); ok {
			return []event.Effect{event.StatusAnswered{Ask: e.Ask, Requests: int(e.Ask)}}
		}
		return nil
	})
	for range 5 {
		asked := event.Ask(0)
		eff, err := l.Ask(context.Background(), func(n event.Ask) event.Event {
			asked = n
			return event.StatusAsked{Ask: n}
		})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(int(asked), eff.(event.StatusAnswered).Requests); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if eff, err := l.Ask(ctx, func(event.Ask) event.Event { return event.Tick{} }); err == nil {
		t.Errorf("cancelled Ask returned %s, want an error", fmt.Sprint(eff))
	}
}
