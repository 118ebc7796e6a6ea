package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

const (
	// meanEndInterval is the mean time between two targets that end, pause or stop in the middle of answers.
	meanEndInterval = 600 * time.Millisecond
	// unframedPercent is the share of unframed answers, callPause the time between two parts of an answer to a call.
	unframedPercent = 60
	callPause       = 25 * time.Millisecond
	// maxListDelay bounds the time for which the list names a target after another one has its address.
	maxListDelay = 1500 * time.Millisecond
	// swapDivisor is the inverse of the part of the addresses that the other service uses next.
	swapDivisor = 4
	// maxTargets bounds the processes of targets of one run.
	maxTargets = 16
	// maxReadTime bounds the time after which a caller leaves a stream, in one of readTimeDivisor cases, and maxUnread the
	// events that it has got and asks for again.
	maxReadTime     = 1500 * time.Millisecond
	readTimeDivisor = 3
	maxUnread       = 3
)

// restartDelays are the times between the end of a target and the start of another one at its address.
var restartDelays = []time.Duration{0, 0, restartDelay, 2500 * time.Millisecond}

// answerEnds are the ways in which answers stop early.
var answerEnds = []worker.Fault{worker.PartOfHead, worker.HeadAlone, worker.BetweenEvents, worker.BetweenEvents, worker.Crash}

// setEnds makes many answers unframed, and sends those to calls in two parts.
func (s *deployment) setEnds(cfg *worker.Config) {
	cfg.UnframedPercent, cfg.Pause = unframedPercent, callPause
}

// idStep returns the difference between the ids of two events.
func (cfg Config) idStep() int {
	if cfg.Ends && cfg.Seed%2 == 1 {
		return 3
	}
	return 1
}

// drawEnds draws targets that end, pause or stop in the middle of answers, alone and in series, and a moment at which all hosts
// and targets are killed.
func drawEnds(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	ws := s.targets()
	generators := []func(*rand.Rand, *deployment, *target) fault{stopAnswers, stopAnswers, killInAnswer, killInAnswer, killTarget, termTarget, pauseTarget, pauseAndKillHost}
	var plan []fault
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * meanEndInterval))) {
		f := generators[rnd.IntN(len(generators))](rnd, s, ws[rnd.IntN(len(ws))])
		f.at = at
		f.duration = minFaultTime + time.Duration(rnd.Int64N(int64(maxFaultTime/2)))
		count := 1
		if rnd.IntN(seriesRatio) == 0 {
			count = seriesLength
		}
		for n := range count {
			repeat := f
			repeat.at += time.Duration(n) * (f.duration/2 + minFaultTime)
			plan = append(plan, repeat)
		}
	}
	all := fault{name: "kill all hosts and targets", at: time.Duration(rnd.Int64N(int64(span))), begin: func(ctx context.Context) {
		for _, w := range ws {
			s.current(w).remote.signal(syscall.SIGKILL)
		}
		s.killAll(ctx)
	}}
	return append(plan, all)
}

func stopAnswers(rnd *rand.Rand, s *deployment, w *target) fault {
	f, n, resets := answerEnds[rnd.IntN(len(answerEnds))], 1+rnd.IntN(4), rnd.IntN(2) == 0
	return fault{name: fmt.Sprintf("target %s: next %d stop, %s", w.id, n, f), target: true, begin: func(context.Context) {
		now, f := s.current(w), f
		// A relay closes in order where a target resets a connection.
		if f == worker.BetweenEvents && resets && now.addr != now.relay.Addr() {
			f = worker.ResetAfterEvent
		}
		now.InjectFault(f, n)
	}}
}

func killInAnswer(rnd *rand.Rand, s *deployment, w *target) fault {
	f := answerEnds[rnd.IntN(len(answerEnds))]
	return fault{name: fmt.Sprintf("target %s is killed in its next answer, %s", w.id, f), target: true, begin: func(context.Context) {
		s.current(w).InjectFault(worker.Killed(f), 1)
	}}
}

func killTarget(_ *rand.Rand, s *deployment, w *target) fault {
	return fault{name: "kill target " + w.id, target: true, begin: func(context.Context) { s.current(w).remote.signal(syscall.SIGKILL) }}
}

func termTarget(_ *rand.Rand, s *deployment, w *target) fault {
	return fault{name: "stop target " + w.id, target: true, begin: func(context.Context) { s.current(w).remote.signal(syscall.SIGTERM) }}
}

func pauseTarget(rnd *rand.Rand, s *deployment, w *target) fault {
	var paused *target
	kill := rnd.IntN(2) == 0
	return fault{name: fmt.Sprintf("pause target %s, kill %v", w.id, kill), target: true, begin: func(context.Context) {
		paused = s.current(w)
		paused.remote.signal(syscall.SIGSTOP)
	}, end: func(context.Context) {
		if kill {
			paused.remote.signal(syscall.SIGKILL)
		}
		paused.remote.signal(syscall.SIGCONT)
	}}
}

// pauseAndKillHost pauses a host in whatever it writes, and kills it before it goes on.
func pauseAndKillHost(rnd *rand.Rand, s *deployment, _ *target) fault {
	n, h := randomHost(rnd, s)
	return fault{name: fmt.Sprint("pause and kill host ", n), begin: func(context.Context) { h.signal(syscall.SIGSTOP) }, end: func(ctx context.Context) {
		done := h.signal(syscall.SIGKILL)
		h.signal(syscall.SIGCONT)
		h.restartAfterExit(ctx, done)
	}}
}

// drawReadTime draws how long the caller reads a stream before it leaves, zero for as long as it takes.
func (k *caller) drawReadTime(a *observation) time.Duration {
	if !k.pool.deployment.cfg.Ends || a.kind != kindDraft || k.rnd.IntN(readTimeDivisor) > 0 {
		return 0
	}
	return time.Duration(k.rnd.Int64N(int64(maxReadTime)))
}

// drawTakeUp draws how many events a caller counts of those that it has got, and when it asks for the rest.
func (k *caller) drawTakeUp(received int, delay time.Duration) (int, time.Duration) {
	if !k.pool.deployment.cfg.Ends {
		return received, delay
	}
	if k.rnd.IntN(leaveDivisor) == 0 {
		received = max(received-k.rnd.IntN(maxUnread+1), 0)
	}
	return received, []time.Duration{0, takeUpDelay, rejoinDelay}[k.rnd.IntN(3)]
}

// minFramings is the number of requests with each framing from which the share that is answered whole is checked.
const minFramings = 30

// checkUnframed checks that of the requests whose answers are unframed at least half as many are answered whole as of others.
func (c *checker) checkUnframed() {
	var cfg worker.Config
	c.deployment.setEnds(&cfg)
	var asked, whole [2]int
	for _, a := range c.pool.observations {
		if c.runs[a.id] > 0 && !errors.Is(a.err, errCallerLeft) {
			n := count(cfg.IsUnframed(a.id))
			asked[n]++
			whole[n] += count(a.status == http.StatusOK && a.err == nil)
		}
	}
	if min(asked[0], asked[1]) >= minFramings && 2*whole[1]*asked[0] < whole[0]*asked[1] {
		c.report("unframed: %d of %d unframed answers came whole, %d of %d others", whole[1], asked[1], whole[0], asked[0])
	}
}
