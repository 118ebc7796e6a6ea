package soak

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// checker compares what callers and targets saw with the guarantees of the system.
type checker struct {
	deployment *deployment
	pool       *callerPool
	violations []string
	// notes are figures of the run that broke nothing.
	notes []string
	// runs counts how often each request ran, ranAt lists the targets at which it ran.
	runs  map[string]int
	ranAt map[string][]*target
}

func (c *checker) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// check checks every guarantee that is visible from outside.
func (c *checker) check() {
	c.runs, c.ranAt = make(map[string]int), make(map[string][]*target)
	for _, w := range c.deployment.workers {
		for id, n := range w.RunsByRequest() {
			c.runs[id] += n
			c.ranAt[id] = append(c.ranAt[id], w)
		}
	}
	known := make(map[string]bool)
	for _, a := range c.pool.observations {
		known[a.id] = true
		c.checkRequest(a)
	}
	for id, ws := range c.ranAt {
		if !known[id] {
			c.report("unasked: target %s ran %s, which no caller sent", ws[0].id, id)
		}
	}
	for _, e := range c.deployment.selfExits {
		c.report("ended by itself: %s", e)
	}
	c.checkNoRevert()
	c.checkPoison()
	c.checkParts()
	c.checkLimits()
	c.checkRests()
	c.checkBuilds()
	c.checkTakeUps()
	if c.deployment.cfg.Ends {
		c.checkUnframed()
	}
	if c.deployment.cfg.Releases {
		c.checkReleases()
	}
	if c.deployment.cfg.Retries {
		c.checkRetries()
	}
}

func (c *checker) checkRequest(a observation) {
	desc := fmt.Sprintf("%s at host %d, %.2fs to %.2fs", a.id, a.host, a.began.Sub(c.deployment.began).Seconds(), a.end.Sub(c.deployment.began).Seconds())
	runs := c.runs[a.id]
	if a.kind == kindPublish && runs > 1 {
		c.report("once: %s ran %d times", desc, runs)
	}
	refused := slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, a.status)
	if refused && runs > 0 {
		c.report("not run: %s was refused with %d and ran %d times", desc, a.status, runs)
	}
	// Waiting does not help a stream that no target can continue.
	if hasTime, wanted := a.header.Get("Retry-After") != "", !a.notContinued(); refused && hasTime != wanted {
		c.report("not run: %s was refused with %d, Retry-After %q", desc, a.status, a.header.Get("Retry-After"))
	}
	if a.status == http.StatusOK {
		c.checkText(a, desc)
	}
	if a.status == http.StatusOK && a.err == nil {
		c.checkSuccess(a, desc)
	}
	for _, w := range c.ranAt[a.id] {
		if a.kind == kindHome && w.region != regions[0] {
			c.report("residency: %s ran at %s", desc, w.id)
		}
		if want := map[bool]string{true: "writers", false: "board"}[a.kind == kindDraft]; w.service != want {
			c.report("route: %s ran at %s of %s", desc, w.id, w.service)
		}
		if since := w.drainingSince; !since.IsZero() && a.settled && a.began.Sub(since) > maxPropagation {
			c.report("draining: %s was sent to %s %.2fs after it was listed as draining", desc, w.id, a.began.Sub(since).Seconds())
		}
		c.checkEvacuated(a, w, desc)
	}
	if c.deployment.cfg.Planned {
		c.checkPlannedWork(a, desc)
	} else {
		c.checkGracefulStop(a, desc)
	}
	c.checkInForce(a, desc)
}

// checkEvacuated checks that no request is sent to an evacuated region.
func (c *checker) checkEvacuated(a observation, w *target, desc string) {
	for _, e := range c.deployment.evacuations {
		ended := !e.to.IsZero() && a.end.After(e.to)
		if a.settled && e.region == w.region && !ended && a.began.Sub(e.from) > maxPropagation {
			c.report("evacuated: %s was sent to %s %.2fs after its data centre was evacuated", desc, w.id, a.began.Sub(e.from).Seconds())
		}
	}
}

// checkSuccess checks that an answer belongs to its request.
func (c *checker) checkSuccess(a observation, desc string) {
	if got := a.header.Get("Verbenadale-Response-Seal"); got != "seal-of-"+a.id {
		c.report("whole: %s has the signature %q", desc, got)
	}
	if c.runs[a.id] == 0 {
		c.report("whole: %s was answered 200 but never ran", desc)
	}
}

// neverRead reports whether the host never read the request: its connection was refused, reset
// or closed, and the request has not run.
func (c *checker) neverRead(a observation) bool {
	closed := errors.Is(a.err, syscall.ECONNREFUSED) || errors.Is(a.err, syscall.ECONNRESET) || errors.Is(a.err, io.EOF)
	return closed && c.runs[a.id] == 0
}

// checkPlannedWork checks that planned work aborts no request, at any host.
func (c *checker) checkPlannedWork(a observation, desc string) {
	if a.err == nil || errors.Is(a.err, errCallerLeft) || c.neverRead(a) {
		return
	}
	c.report("planned work: %s was aborted (%v) and ran %d times", desc, a.err, c.runs[a.id])
}

// checkGracefulStop checks that a host that stops after SIGTERM aborts no request that it has
// read. A request that it never read shows as a refused or reset connection and has not run.
func (c *checker) checkGracefulStop(a observation, desc string) {
	if !a.settled || a.err == nil || errors.Is(a.err, errCallerLeft) || a.termAt.IsZero() || a.end.Before(a.termAt) || c.neverRead(a) {
		return
	}
	c.report("graceful stop: %s was aborted (%v) and ran %d times", desc, a.err, c.runs[a.id])
}

// checkInForce checks that a configuration is in force at every host within maxPropagation.
func (c *checker) checkInForce(a observation, desc string) {
	if a.status != http.StatusNotFound || !a.settled {
		return
	}
	for _, w := range c.deployment.configs {
		if fmt.Sprint("v", w.version) == a.route && a.began.Sub(w.at) > maxPropagation {
			c.report("in force: %s was answered 404, %.2fs after its configuration", desc, a.began.Sub(w.at).Seconds())
		}
	}
	if !strings.HasPrefix(a.route, "v") {
		c.report("in force: %s was answered 404 although every configuration has its route", desc)
	}
}

// revertSlack bounds the time between the decision on a request and the arrival of its answer,
// in which other answers may overtake it.
const revertSlack = 250 * time.Millisecond

// checkNoRevert checks that no process reverts to an older configuration.
func (c *checker) checkNoRevert() {
	type seen struct {
		host, process int
		route         string
	}
	served := make(map[seen]time.Time)
	for _, a := range c.pool.observations {
		key := seen{a.host, a.process, a.route}
		if at, ok := served[key]; a.status == http.StatusOK && (!ok || a.end.Before(at)) {
			served[key] = a.end
		}
	}
	for _, a := range c.pool.observations {
		at, ok := served[seen{a.host, a.process, a.route}]
		if ok && a.status == http.StatusNotFound && a.began.After(at.Add(revertSlack)) {
			c.report("never reverts: %s at host %d was answered 404 %.2fs after the same process had served its route", a.id, a.host, a.began.Sub(at).Seconds())
		}
	}
}
