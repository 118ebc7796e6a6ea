package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

const (
	// firstRelease is when the first release may begin: hosts are linked and callers have streams.
	firstRelease = 2 * time.Second
	// maxJoinDelay bounds the time after which targets of a version join hosts that are isolated, maxStay the time for which
	// the versions before it stay.
	minJoinDelay = 100 * time.Millisecond
	maxJoinDelay = 2 * time.Second
	maxStay      = 5 * time.Second
	// releaseTargets is the number of targets of a new version in each region, brokenStreams that of the streams that
	// each of them breaks off first.
	releaseTargets = 2
	brokenStreams  = 4
	// draftShare is the share of streams among the requests, in parts of draftParts.
	draftShare, draftParts = 5, 6
)

// releaseTiming is shorter than that of other runs: hosts forget versions that have left sooner, so that one run has several
// releases after which they know one version.
var releaseTiming = timing{eventInterval: 30 * time.Millisecond, deadline: 2 * time.Second, timeoutMs: 2500, graceSeconds: 4}

// streamTTL returns how long after its first event a stream may be running. A caller that takes it up again may wait for the whole
// timeout of the route once more.
func (t timing) streamTTL() time.Duration {
	return 2*time.Duration(t.timeoutMs)*time.Millisecond + time.Second
}

func versionName(n int) string { return fmt.Sprint("v", n) }

// releasePlan draws the releases of a run.
type releasePlan struct {
	rnd        *rand.Rand
	deployment *deployment
	faults     []fault
	// serving are the versions that have not left, versions is the number of all of them.
	serving  []int
	versions int
}

// drawReleases draws releases that begin within span. While hosts are isolated, in one way or in two that overlap, targets of a
// version that is new to them join.
func drawReleases(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	p := &releasePlan{rnd: rnd, deployment: s, serving: []int{1}, versions: 1}
	for at := firstRelease; at < span; {
		at = p.release(at + p.upTo(maxJoinDelay/2))
		if rnd.IntN(seriesRatio) > 0 {
			at += s.cfg.timing().streamTTL()
		}
	}
	s.versions = p.versions
	slices.SortStableFunc(p.faults, func(a, b fault) int { return int(a.at - b.at) })
	return p.faults
}

func (p *releasePlan) upTo(d time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(d)))
}

// release adds a release during an isolation that begins at a time, and returns when it is over for targets.
func (p *releasePlan) release(at time.Duration) time.Duration {
	join := at + minJoinDelay + p.upTo(maxJoinDelay-minJoinDelay)
	hosts := drawGroup(p.rnd, p.deployment)
	for range 1 + p.rnd.IntN(2) {
		f := drawIsolation(p.rnd, p.deployment, hosts)
		f.at = at
		p.faults = append(p.faults, f)
		at += p.upTo(maxJoinDelay)
		if p.rnd.IntN(2) == 0 {
			hosts = drawGroup(p.rnd, p.deployment)
		}
	}
	version := p.nextVersion()
	p.faults = append(p.faults, p.join(join, version))
	if p.rnd.IntN(seriesLength) == 0 {
		p.faults = append(p.faults, p.kill(join+p.upTo(maxJoinDelay)))
	}
	stay := join + minFaultTime + p.upTo(maxStay)
	if p.rnd.IntN(seriesRatio) > 0 {
		for _, old := range p.serving {
			p.faults = append(p.faults, p.leave(stay, old))
		}
		p.serving = nil
	}
	p.serving = append(p.serving, version)
	return stay
}

// nextVersion returns a new version, or one that has left before.
func (p *releasePlan) nextVersion() int {
	if old := 1 + p.rnd.IntN(p.versions); p.rnd.IntN(seriesRatio) == 0 && !slices.Contains(p.serving, old) {
		return old
	}
	p.versions++
	return p.versions
}

// join makes targets of a version join in one region or in all. Some break off their first streams.
func (p *releasePlan) join(at time.Duration, version int) fault {
	s, n, breaks := p.deployment, len(p.faults), p.rnd.IntN(2) == 0
	in := s.regions()
	if p.rnd.IntN(seriesLength) == 0 {
		in = in[p.rnd.IntN(len(in)):][:1]
	}
	return fault{name: fmt.Sprintf("targets of %s join in %v, streams break %v", versionName(version), in, breaks), at: at, target: true, begin: func(context.Context) {
		for _, region := range in {
			for i := range releaseTargets {
				id := fmt.Sprintf("writer-%s-%d.%d", region, n, i)
				if s.addWorkerOfBuild(id, "writers", region, versionName(version)) != nil || !breaks {
					continue
				}
				for _, w := range s.targets() {
					if w.id == id {
						w.InjectFault(worker.Crash, brokenStreams)
					}
				}
			}
		}
	}}
}

// leave lists the targets of a version as draining and then removes them from the list.
func (p *releasePlan) leave(at time.Duration, version int) fault {
	s := p.deployment
	var left []*target
	return fault{
		name: fmt.Sprint("targets of ", versionName(version), " leave"), at: at, duration: minFaultTime, target: true,
		begin: func(context.Context) {
			s.recordLeft(versionName(version))
			for _, w := range s.targets() {
				if w.build == versionName(version) && w.drainingSince.IsZero() {
					s.drainWorker(w)
					left = append(left, w)
				}
			}
		}, end: func(context.Context) {
			for _, w := range left {
				s.store.Remove(w.StoreKey())
			}
		},
	}
}

// kill kills a host and starts it again.
func (p *releasePlan) kill(at time.Duration) fault {
	s := p.deployment
	n, h := randomHost(p.rnd, s)
	i := &isolation{hosts: []int{n}, way: isolationWay{ended: true}}
	return fault{name: fmt.Sprint("kill host ", n), at: at, begin: func(ctx context.Context) {
		s.beginIsolation(i, restartDelay)
		h.restartAfterExit(ctx, h.signal(syscall.SIGKILL))
	}, end: func(context.Context) { s.endIsolation(i) }}
}

func (s *deployment) recordLeft(build string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leftAt[build]; !ok {
		s.leftAt[build] = time.Now()
	}
}

// drawReleaseTakeUp draws the host at which a caller asks for the rest of a stream, and when: mostly at a host that is isolated,
// at once, soon, or around the moment at which it no longer is.
func (k *caller) drawReleaseTakeUp() (host int, delay time.Duration) {
	s := k.pool.deployment
	delay = []time.Duration{0, takeUpDelay, rejoinDelay}[k.rnd.IntN(3)]
	p := s.drawIsolated(k.rnd)
	if p == nil || k.rnd.IntN(leaveDivisor) == 0 {
		return k.rnd.IntN(len(s.hosts)), delay
	}
	around := time.Until(p.due) - healSlack + time.Duration(k.rnd.Int64N(int64(2*healSlack)))
	if around > 0 && around < maxJoinDelay && k.rnd.IntN(2) == 0 {
		delay = around
	}
	return p.hosts[k.rnd.IntN(len(p.hosts))], delay
}

// mayTakeUp reports whether the caller asks for the rest of a stream that began at a time, after an answer. A host that is paused
// gets to it while the stream may run.
func (s *deployment) mayTakeUp(a observation, began time.Time) bool {
	if !s.cfg.Builds || a.kind != kindDraft || a.route != kindDraft {
		return false
	}
	if !s.cfg.Releases {
		return a.err != nil
	}
	t := s.cfg.timing()
	return (a.err != nil || a.notContinued()) && time.Since(began) < t.streamTTL()-t.deadline-time.Second
}

// beganBeside reports whether a stream began at a target in the region of its host, which the host reaches also while it is isolated.
func (c *checker) beganBeside(first observation) bool {
	return slices.ContainsFunc(c.ranAt[first.id], func(w *target) bool { return w.region == c.deployment.hosts[first.host].region })
}

// checkReleases checks that a process that began a stream at a target of its region does not refuse the rest, and that of the streams that begin and are taken up at hosts in
// step at least half as many go on as new ones begin. Streams of versions that have left are not counted.
func (c *checker) checkReleases() {
	s := c.deployment
	firsts := make(map[string]observation)
	var asked, began, taken, kept int
	for _, a := range c.pool.observations {
		if a.kind != kindDraft || a.route != kindDraft {
			continue
		}
		if a.first == "" {
			firsts[a.id] = a
			asked += count(a.inStep)
			began += count(a.inStep && a.events() > 0)
			continue
		}
		first := firsts[a.first]
		if len(first.builds) != 1 {
			continue
		}
		if at, ok := s.leftAt[first.builds[0]]; ok && at.Before(a.end) {
			continue
		}
		if a.notContinued() && c.beganBeside(first) && a.host == first.host && a.process == first.process && !a.restarted {
			c.report("remembered: host %d refused at %.2fs the rest of %s, which it began", a.host, a.end.Sub(s.began).Seconds(), a.first)
		}
		if a.inStep && first.inStep {
			taken++
			kept += count(a.events() > 0)
		}
	}
	if taken >= minTakenUp && 2*kept*asked < began*taken {
		c.report("releases: at hosts in step %d of %d streams that were taken up went on, %d of %d new ones began", kept, taken, began, asked)
	}
}
