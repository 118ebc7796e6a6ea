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

// checker compares what callers and targets saw with what is promised.
type checker struct {
	site  *site
	crowd *crowd
	found []string
	// runs and by are how often each request ran, and at which targets.
	runs map[string]int
	by   map[string][]*target
}

func (c *checker) broken(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

// check checks every promise that outsiders can see.
func (c *checker) check() {
	c.runs, c.by = make(map[string]int), make(map[string][]*target)
	for _, w := range c.site.workers {
		for id, n := range w.RunsByRequest() {
			c.runs[id] += n
			c.by[id] = append(c.by[id], w)
		}
	}
	known := make(map[string]bool)
	for _, a := range c.crowd.asked {
		known[a.id] = true
		c.one(a)
	}
	for id, ws := range c.by {
		if !known[id] {
			c.broken("unasked: target %s ran %s, which no caller sent", ws[0].id, id)
		}
	}
	for _, e := range c.site.ended {
		c.broken("ended by itself: %s", e)
	}
	c.reverted()
}

// one checks one request.
func (c *checker) one(a asked) {
	at := fmt.Sprintf("%s at host %d, %.2fs to %.2fs", a.id, a.host, a.began.Sub(c.site.began).Seconds(), a.end.Sub(c.site.began).Seconds())
	runs := c.runs[a.id]
	if a.kind == kindPublish && runs > 1 {
		c.broken("once: %s ran %d times", at, runs)
	}
	refused := slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, a.status)
	if refused && runs > 0 {
		c.broken("not run: %s was refused with %d and ran %d times", at, a.status, runs)
	}
	if refused && a.header.Get("Retry-After") == "" {
		c.broken("not run: %s was refused with %d and no Retry-After", at, a.status)
	}
	if a.status == http.StatusOK && a.err == nil {
		c.success(a, at)
	}
	for _, w := range c.by[a.id] {
		if a.kind == kindHome && w.region != regions[0] {
			c.broken("residency: %s ran at %s", at, w.id)
		}
		if want := map[bool]string{true: "writers", false: "board"}[a.kind == kindDraft]; w.service != want {
			c.broken("route: %s ran at %s of %s", at, w.id, w.service)
		}
		if left := w.leftAt; !left.IsZero() && a.calm && a.began.Sub(left) > inForce {
			c.broken("draining: %s was sent to %s %.2fs after it was listed as draining", at, w.id, a.began.Sub(left).Seconds())
		}
		c.evacuated(a, w, at)
	}
	if c.site.cfg.Planned {
		c.uncut(a, at)
	} else {
		c.stopped(a, at)
	}
	c.late(a, at)
}

// evacuated checks that an evacuated region gets nothing.
func (c *checker) evacuated(a asked, w *target, at string) {
	for _, e := range c.site.evacuated {
		over := !e.to.IsZero() && a.end.After(e.to)
		if a.calm && e.region == w.region && !over && a.began.Sub(e.from) > inForce {
			c.broken("evacuated: %s was sent to %s %.2fs after its data centre was evacuated", at, w.id, a.began.Sub(e.from).Seconds())
		}
	}
}

// success checks that an answer is the whole one to its own request.
func (c *checker) success(a asked, at string) {
	if got := a.header.Get("Verbenadale-Response-Seal"); got != "seal-of-"+a.id {
		c.broken("whole: %s has the signature %q", at, got)
	}
	if want := a.whole(); a.body != want && (a.kind == kindDraft || !strings.HasPrefix(a.body, want)) {
		c.broken("whole: %s was answered %q, want %q", at, a.body, want)
	}
	if c.runs[a.id] == 0 {
		c.broken("whole: %s has an answer and never ran", at)
	}
}

// unread reports whether a request never was read: its connection was refused, reset or closed,
// and it has not run.
func (c *checker) unread(a asked) bool {
	closed := errors.Is(a.err, syscall.ECONNREFUSED) || errors.Is(a.err, syscall.ECONNRESET) || errors.Is(a.err, io.EOF)
	return closed && c.runs[a.id] == 0
}

// uncut checks that planned work cuts no request, at whichever host.
func (c *checker) uncut(a asked, at string) {
	if a.err == nil || c.unread(a) {
		return
	}
	c.broken("planned work: %s was cut (%v) and ran %d times", at, a.err, c.runs[a.id])
}

// stopped checks that a host that gets SIGTERM cuts no request that it has
// read. One that it never read shows as a refused or reset connection, and has not
// run.
func (c *checker) stopped(a asked, at string) {
	if !a.calm || a.err == nil || a.termAt.IsZero() || a.end.Before(a.termAt) || c.unread(a) {
		return
	}
	c.broken("graceful stop: %s was cut (%v) and ran %d times", at, a.err, c.runs[a.id])
}

// late checks that a configuration is in force everywhere in time.
func (c *checker) late(a asked, at string) {
	if a.status != http.StatusNotFound || !a.calm {
		return
	}
	for _, w := range c.site.words {
		if fmt.Sprint("v", w.version) == a.route && a.began.Sub(w.at) > inForce {
			c.broken("in force: %s was answered 404, %.2fs after its configuration", at, a.began.Sub(w.at).Seconds())
		}
	}
	if !strings.HasPrefix(a.route, "v") {
		c.broken("in force: %s was answered 404 though its route always was there", at)
	}
}

// revertSlack is the time between a request's being judged and its answer's
// arrival, in which others may overtake it.
const revertSlack = 250 * time.Millisecond

// reverted checks that no process goes back to an older configuration.
func (c *checker) reverted() {
	type seen struct {
		host, run int
		route     string
	}
	served := make(map[seen]time.Time)
	for _, a := range c.crowd.asked {
		key := seen{a.host, a.run, a.route}
		if at, ok := served[key]; a.status == http.StatusOK && (!ok || a.end.Before(at)) {
			served[key] = a.end
		}
	}
	for _, a := range c.crowd.asked {
		at, ok := served[seen{a.host, a.run, a.route}]
		if ok && a.status == http.StatusNotFound && a.began.After(at.Add(revertSlack)) {
			c.broken("never reverts: %s at host %d was answered 404 %.2fs after the same process had served its route", a.id, a.host, a.began.Sub(at).Seconds())
		}
	}
}
