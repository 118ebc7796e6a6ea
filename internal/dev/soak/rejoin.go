package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// meanRejoinInterval is the mean time between two moments at which all hosts are killed.
	meanRejoinInterval = 5 * time.Second
	// rejoinDelay is the time before a caller asks for the rest of a stream: hosts that were killed have started again.
	rejoinDelay = 500 * time.Millisecond
	// maxLeaveTime is how long before or after that moment the last targets of a build leave.
	maxLeaveTime = 1500 * time.Millisecond
)

// drawRejoins draws moments at which all hosts are killed at once. Around half of them the targets of one build are replaced by
// targets of the other one, and leave.
func drawRejoins(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	for at := settleTime / 2; at < span; at += time.Duration(rnd.Int64N(int64(2 * meanRejoinInterval))) {
		plan = append(plan, fault{name: "kill all hosts", at: at, begin: s.killAll})
		if rnd.IntN(2) == 0 {
			continue
		}
		from, to := "v1", "v2"
		if rnd.IntN(2) == 0 {
			from, to = to, from
		}
		leave := max(at-maxLeaveTime+time.Duration(rnd.Int64N(int64(2*maxLeaveTime))), 0)
		plan = append(plan, fault{
			name: fmt.Sprintf("targets of build %s are replaced by those of %s", from, to), at: leave,
			begin: func(context.Context) { s.replaceBuild(from, to) },
		})
	}
	return plan
}

// killAll kills all hosts at once and starts them again once they have ended.
func (s *deployment) killAll(ctx context.Context) {
	done := make([]<-chan struct{}, len(s.hosts))
	for i, h := range s.hosts {
		done[i] = h.signal(syscall.SIGKILL)
	}
	for i, h := range s.hosts {
		h.restartAfterExit(ctx, done[i])
	}
}

// replaceBuild adds a target of another build for each one of a build, and then removes these from the list.
func (s *deployment) replaceBuild(from, to string) {
	for _, w := range s.targets() {
		if w.build == from && s.addWorkerOfBuild(w.id+"."+to, w.service, w.region, to) == nil {
			s.store.Remove(w.StoreKey())
		}
	}
}
