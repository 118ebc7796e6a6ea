// Package loop is the control thread of an entry host: the one goroutine that
// steps the reducer and executes its effects.
//
// # Usage
//
//	lp := loop.New(loop.Config{Step: red.Step, Clock: svc, Log: log, Execute: execute})
//	defer lp.Stop()
//
//	mailbox, _ := lp.OpenMailbox(id)
//	defer lp.CloseMailbox(id)
//	lp.Post(event.RequestArrived{...})
//	eff := <-mailbox // Dispatch, Forward, Refuse, ...
//
//	answer, err := lp.Ask(ctx, func(n event.Ask) event.Event {
//		return event.StatusAsked{Ask: n}
//	})
//
// Effects that name a request go to its mailbox, answers go to the caller of Ask,
// and all others to the Execute function. None of them may block the loop: a slow
// peer or caller must not delay the decisions for all others.
package loop

import (
	"context"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ErrStopped is returned by Ask when the loop has ended.
var ErrStopped = errors.New("loop: stopped")

// Sizes of the queues. A request never has more than a few pending effects, so its
// mailbox fills up only if its goroutine has ended.
const (
	eventQueueSize = 4096
	mailboxSize    = 16
)

// Config configures a loop.
type Config struct {
	// Step is the reducer.
	Step  func(now ident.Time, ev event.Event) []event.Effect
	Clock *clock.Service
	Log   logr.Logger
	// Execute receives the effects that neither name a request nor answer an Ask. It
	// must not block.
	Execute func(eff event.Effect)
	// Record, if set, receives each event and its effects for replay.
	Record func(now ident.Time, ev event.Event, effs []event.Effect)
}

// Loop is the control thread.
type Loop struct {
	t      tomb.Tomb
	cfg    Config
	events chan event.Event
	wake   *clock.Subscription

	mu          sync.Mutex
	mailboxes   map[ident.RequestID]chan event.Effect
	pendingAsks map[event.Ask]chan event.Effect
	lastAsk     event.Ask
}

// New starts a loop.
func New(cfg Config) *Loop {
	l := &Loop{
		cfg:         cfg,
		events:      make(chan event.Event, eventQueueSize),
		wake:        cfg.Clock.At(cfg.Clock.Now()),
		mailboxes:   make(map[ident.RequestID]chan event.Effect),
		pendingAsks: make(map[event.Ask]chan event.Effect),
	}
	l.t.Go(l.run)
	return l
}

// Stop ends the loop and waits for it.
func (l *Loop) Stop() {
	l.t.Kill(nil)
	_ = l.t.Wait()
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.t.Dead() }

// Post queues an event. It blocks while the queue is full, which slows the senders down
// instead of losing events. Events may be lost once the loop is stopping.
func (l *Loop) Post(ev event.Event) {
	select {
	case l.events <- ev:
	case <-l.t.Dying():
	}
}

// OpenMailbox creates the mailbox of a request. It returns false if the request already
// has one.
func (l *Loop) OpenMailbox(id ident.RequestID) (<-chan event.Effect, bool) {
	mailbox := make(chan event.Effect, mailboxSize)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.mailboxes[id]; ok {
		return nil, false
	}
	l.mailboxes[id] = mailbox
	return mailbox, true
}

// CloseMailbox removes the mailbox of a request.
func (l *Loop) CloseMailbox(id ident.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mailboxes, id)
}

// Ask posts a query event and waits for the answer.
func (l *Loop) Ask(ctx context.Context, newEvent func(n event.Ask) event.Event) (event.Effect, error) {
	c := make(chan event.Effect, 1)
	l.mu.Lock()
	l.lastAsk++
	n := l.lastAsk
	l.pendingAsks[n] = c
	l.mu.Unlock()
	defer l.dropAsk(n)
	l.Post(newEvent(n))
	select {
	case eff := <-c:
		return eff, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "loop: ask")
	case <-l.t.Dying():
		return nil, ErrStopped
	}
}

func (l *Loop) dropAsk(n event.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingAsks, n)
}

func (l *Loop) run() error {
	defer l.wake.Close()
	for {
		select {
		case ev := <-l.events:
			l.step(ev)
		case <-l.wake.C():
			l.step(event.Tick{})
		case <-l.t.Dying():
			return nil
		}
	}
}

func (l *Loop) step(ev event.Event) {
	now := l.cfg.Clock.Now()
	effs := l.cfg.Step(now, ev)
	if l.cfg.Record != nil {
		l.cfg.Record(now, ev, effs)
	}
	for _, eff := range effs {
		l.execute(eff)
	}
}

func (l *Loop) execute(eff event.Effect) {
	switch e := eff.(type) {
	case event.Wake:
		l.wake.Reset(e.At)
	case event.Dispatch:
		l.deliver(e.Request, e)
	case event.Forward:
		l.deliver(e.Request, e)
	case event.Refuse:
		l.deliver(e.Request, e)
	case event.Finish:
		l.deliver(e.Request, e)
	case event.BreakOff:
		l.deliver(e.Request, e)
	case event.KeepAttempt:
		// Nothing to execute: the effect exists only for Config.Record.
	case event.Replay:
		l.deliver(e.Request, e)
	case event.TicketIssued:
		l.answer(e.Ask, e)
	case event.EntriesAnswered:
		l.answer(e.Ask, e)
	case event.RouteAnswered:
		l.answer(e.Ask, e)
	case event.StatusAnswered:
		l.answer(e.Ask, e)
	default:
		l.cfg.Execute(eff)
	}
}

func (l *Loop) deliver(id ident.RequestID, eff event.Effect) {
	l.mu.Lock()
	mailbox, ok := l.mailboxes[id]
	l.mu.Unlock()
	if !ok {
		return
	}
	select {
	case mailbox <- eff:
	default:
		// A full mailbox means that the request's goroutine no longer reads. Blocking
		// here would stop all decisions of the host; the request ends at its deadline
		// instead.
		l.cfg.Log.Info("mailbox is full, effect dropped", "request", id, "effect", event.TypeName(eff))
	}
}

func (l *Loop) answer(n event.Ask, eff event.Effect) {
	l.mu.Lock()
	c, ok := l.pendingAsks[n]
	delete(l.pendingAsks, n)
	l.mu.Unlock()
	if ok {
		c <- eff
	}
}
