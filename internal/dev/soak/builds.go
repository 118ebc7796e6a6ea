package soak

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

const (
	// maxTakeUps is how often a caller asks for the rest of a stream, and takeUpDelay the time before it
	// does.
	maxTakeUps  = 3
	takeUpDelay = 50 * time.Millisecond
	// minTakenUp is the number of streams from which the share that goes on is checked.
	minTakenUp = 12
	// leaveDivisor is the inverse of the part of the streams whose callers leave in the middle.
	leaveDivisor = 4
)

// errCallerLeft ends an answer whose caller has left in the middle.
var errCallerLeft = errors.New("soak: caller has left")

// nextBuild returns the build of the next target that starts: each in turn, or with releases the first one.
func (s *deployment) nextBuild() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Releases {
		return versionName(1)
	}
	s.builds++
	return builds[s.builds%2]
}

// builds names the builds of targets.
var builds = []string{"v1", "v2"}

// splitBuilds separates the lines that name builds from the rest of an answer.
func (a *observation) splitBuilds() {
	var rest strings.Builder
	for line := range strings.Lines(a.answer) {
		build, ok := strings.CutPrefix(line, worker.BuildField)
		if !ok {
			rest.WriteString(line)
			continue
		}
		if build = strings.TrimSpace(build); !slices.Contains(a.builds, build) && strings.HasSuffix(line, "\n") {
			a.builds = append(a.builds, build)
		}
	}
	a.body = rest.String()
}

// events returns how many whole events the answer contains.
func (a *observation) events() int { return strings.Count(a.body, "\n\n") }

// notContinued reports whether the answer says that no target can continue the stream.
func (a *observation) notContinued() bool { return strings.Contains(a.body, "VB1034") }

// drawLeave draws whether the caller leaves a stream in the middle. With releases most do.
func (k *caller) drawLeave() bool {
	return (k.rnd.IntN(leaveDivisor) == 0) != k.pool.deployment.cfg.Releases
}

// readPart reads an answer. The caller may leave the rest of a stream.
func (k *caller) readPart(res *http.Response, a *observation) ([]byte, error) {
	if res.StatusCode != http.StatusOK || a.kind != kindDraft || !k.pool.deployment.cfg.Builds || !k.drawLeave() {
		return io.ReadAll(res.Body)
	}
	limit := 1 + k.rnd.IntN(k.pool.deployment.cfg.streamBytes())
	part, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)))
	if err == nil && len(part) == limit {
		err = errCallerLeft
	}
	return part, err
}

// takeUp asks other hosts for the rest of a stream that broke or that the caller left.
func (k *caller) takeUp(a observation) {
	s := k.pool.deployment
	first, began, received, delay := a.id, a.began, 0, takeUpDelay
	if s.cfg.Rejoins {
		delay = rejoinDelay
	}
	for n := 0; s.mayTakeUp(a, began) && n < maxTakeUps; n++ {
		received += a.events()
		received, delay = k.drawTakeUp(received, delay)
		host := k.rnd.IntN(len(s.hosts))
		if s.cfg.Releases {
			host, delay = k.drawReleaseTakeUp()
		}
		if received == 0 || received >= streamEvents || !sleep(context.Background(), delay) {
			return
		}
		rest := observation{
			id: k.pool.newID(kindDraft), kind: kindDraft, route: kindDraft, host: host, first: first, received: received,
			began: time.Now(), settled: s.settled(), text: "body of " + first, path: "/" + kindDraft + "/x?of=" + first,
		}
		rest.process, _ = s.hosts[host].state()
		k.send(context.Background(), s.hosts[host], &rest)
		rest.end = time.Now()
		rest.settled, rest.inStep = rest.settled && s.settled(), s.inStep(host, rest.began)
		process, _ := s.hosts[host].state()
		rest.restarted = process != rest.process
		k.pool.record(rest)
		a = rest
	}
}

// checkBuilds checks that the events of a stream come from targets of one build, and that of the streams
// that callers take up without a fault nearby at least half as many go on as new ones begin.
func (c *checker) checkBuilds() {
	seen := make(map[string][]string)
	var asked, began, taken, kept int
	for _, a := range c.pool.observations {
		if a.kind != kindDraft || a.route != kindDraft {
			continue
		}
		first := a.first
		if first == "" {
			first = a.id
		}
		for _, build := range a.builds {
			if !slices.Contains(seen[first], build) {
				seen[first] = append(seen[first], build)
			}
		}
		switch got := a.events() > 0; {
		case !a.settled:
		case a.first == "":
			asked++
			began += count(got)
		default:
			taken++
			kept += count(got)
		}
	}
	for first, bs := range seen {
		if len(bs) > 1 {
			c.report("builds: stream %s has events of %v", first, bs)
		}
	}
	if taken >= minTakenUp && 2*kept*asked < began*taken {
		c.report("builds: %d of %d streams that were taken up went on, %d of %d new ones began", kept, taken, began, asked)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
