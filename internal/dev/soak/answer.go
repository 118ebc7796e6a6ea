package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

// Events of streams with several long lines, which fill the buffers of hosts.
const (
	longLines     = 2
	longLineBytes = 1024
)

const (
	// meanAnswerInterval is the mean time between two targets in trouble.
	meanAnswerInterval = 1500 * time.Millisecond
	// lateAnswers and brokenAnswers are the numbers of answers that a target in trouble sends again late, and then
	// breaks off, so that hosts check its health.
	lateAnswers   = 20
	brokenAnswers = 10
	// cutStreams is the number of streams that a target breaks off. The retry budget lets them go on.
	cutStreams       = 8
	answerRetryRatio = 0.2
	answerRetryFloor = 200
	answerRunTime    = 40 * time.Millisecond
	// maxHealthDelay bounds the time for which a target in trouble lets a health check wait.
	maxHealthDelay = 60 * time.Millisecond
)

// drawAnswers draws targets in trouble. Plain services send answers again, where the next ones are expected, while their
// health checks fail; writers stop inside an event.
func drawAnswers(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	ws := s.targets()
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * meanAnswerInterval))) {
		w := ws[rnd.IntN(len(ws))]
		length := minFaultTime + time.Duration(rnd.Int64N(int64(maxFaultTime-minFaultTime)))
		f := fault{at: at, duration: length, target: true}
		if w.service == "writers" {
			f.name = fmt.Sprintf("target %s: next %d %s", w.id, cutStreams, worker.CrashInLines)
			f.begin = func(context.Context) { w.InjectFault(worker.CrashInLines, cutStreams) }
			plan = append(plan, f)
			continue
		}
		h := worker.Health{Failing: rnd.IntN(3) > 0, Delay: time.Duration(rnd.Int64N(int64(maxHealthDelay)))}
		f.name = fmt.Sprintf("target %s answers twice, late; health fails %v after %v", w.id, h.Failing, h.Delay)
		f.begin = func(context.Context) {
			w.SetHealth(h)
			w.InjectFault(worker.LateAnswer, lateAnswers)
			w.InjectFault(worker.Reset, brokenAnswers)
		}
		f.end = func(context.Context) { w.SetHealth(worker.Health{}) }
		plan = append(plan, f)
	}
	return plan
}
