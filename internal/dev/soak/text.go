package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

// writer returns the configuration of a writer of a build, empty for any.
func (cfg Config) writer(build string) worker.Config {
	w := worker.Config{
		Service: "writers", Slots: 16, Work: callRunTime, Build: build, NamesBuild: build != "", NamesStream: true,
		Events: streamEvents, EventInterval: cfg.timing().eventInterval, IDStep: cfg.idStep(),
	}
	if cfg.Answers {
		w.Lines, w.LineBytes = longLines, longLineBytes
	}
	return w
}

// writerBuilds returns the builds that writers may have.
func (s *deployment) writerBuilds() []string {
	if s.cfg.Releases {
		var versions []string
		for n := range s.versions {
			versions = append(versions, versionName(n+1))
		}
		return versions
	}
	if s.cfg.Builds || s.cfg.Ends {
		return builds
	}
	return []string{""}
}

// streamBytes returns the length of a complete stream without the names of its stream and build.
func (cfg Config) streamBytes() int {
	w := cfg.writer("")
	w.NamesStream = false
	return len(w.TextOf("", 1))
}

// stream returns the stream of the request as its targets name it.
func (a observation) stream() string {
	_, name, _ := strings.Cut(a.target(), "?of=")
	return name
}

// wants returns what a target may send in answer to the request.
func (c *checker) wants(a observation) []string {
	var texts []string
	if a.kind == kindDraft && a.route == kindDraft {
		for _, build := range c.deployment.writerBuilds() {
			texts = append(texts, c.deployment.cfg.writer(build).TextOf(a.stream(), a.received+1))
		}
		return texts
	}
	for _, w := range c.ranAt[a.id] {
		texts = append(texts, a.wantCall()+w.id)
	}
	return texts
}

// fits reports whether an answer may be all that its caller has read of a text.
func (a observation) fits(text string) bool {
	if a.err != nil {
		return strings.HasPrefix(text, a.answer)
	}
	return a.answer == text
}

// checkText checks that what its caller read of an answer is from the place where it was to begin, of one build and, if it ended
// as complete, whole.
func (c *checker) checkText(a observation, desc string) {
	texts := c.wants(a)
	if slices.ContainsFunc(texts, a.fits) || slices.ContainsFunc(texts, func(text string) bool { return c.endedInOrder(a, text) }) || len(texts) == 0 && a.answer == "" && a.err != nil {
		return
	}
	kind, best := "order", ""
	if a.err == nil {
		kind = "whole"
	}
	for _, text := range texts {
		if common(text, a.answer) >= common(best, a.answer) {
			best = text
		}
	}
	n := common(best, a.answer)
	c.report("%s: %s (framed: %v, end: %v) has after %d bytes %q, want %q; ran at%s", kind, desc, a.framed, a.err, n, excerpt(a.answer, n), excerpt(best, n), c.ends(a))
}

// endedInOrder reports whether the answer is all that a target has sent of a text. What a target that lives on closes in order,
// without a length or chunks, is its whole answer.
func (c *checker) endedInOrder(a observation, text string) bool {
	s := c.deployment
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range c.ranAt[a.id] {
		for _, r := range w.requests[a.id] {
			if sent := w.config.EndedInOrder(r, a.stream(), text); sent != text && sent == a.answer {
				return true
			}
		}
	}
	return false
}

// endSlack is the time in which the end of a process is seen.
const endSlack = 100 * time.Millisecond

// ends names the targets at which a request ran, and whether their processes had ended by the end of the answer.
func (c *checker) ends(a observation) string {
	s := c.deployment
	s.mu.Lock()
	defer s.mu.Unlock()
	var text string
	for _, w := range c.ranAt[a.id] {
		text += fmt.Sprintf(" %s %v", w.id, w.requests[a.id])
		if at := w.endedAt; !at.IsZero() && at.Before(a.end.Add(endSlack)) {
			text += fmt.Sprintf(", which ended at %.2fs", at.Sub(s.began).Seconds())
		} else {
			text += ", which lived on"
		}
	}
	return text
}

// checkTakeUps checks that one build may have sent all whole events that a caller has got of a stream.
func (c *checker) checkTakeUps() {
	possible := make(map[string][]string)
	for _, a := range c.pool.observations {
		if a.kind != kindDraft || a.route != kindDraft || a.events() == 0 || a.stream() == "" {
			continue
		}
		whole := a.answer[:strings.LastIndex(a.answer, "\n\n")]
		left, known := possible[a.stream()]
		if !known {
			left = slices.Clone(c.deployment.writerBuilds())
		}
		left = slices.DeleteFunc(left, func(build string) bool {
			return !strings.HasPrefix(c.deployment.cfg.writer(build).TextOf(a.stream(), a.received+1), whole)
		})
		possible[a.stream()] = left
	}
	for stream, left := range possible {
		if len(left) == 0 {
			c.report("order: no build can have sent all that the caller of %s got", stream)
		}
	}
}

// common returns the length of the common prefix of two texts.
func common(x, y string) int {
	n := 0
	for n < min(len(x), len(y)) && x[n] == y[n] {
		n++
	}
	return n
}

// excerptBytes bounds the parts of texts that reports quote.
const excerptBytes = 100

// excerpt returns the part of a text from the start of the line that contains a place.
func excerpt(text string, at int) string {
	from := strings.LastIndex(text[:min(at, len(text))], "\n") + 1
	return fmt.Sprintf("%.*s", excerptBytes, text[from:])
}
