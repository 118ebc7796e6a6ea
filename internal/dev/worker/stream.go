package worker

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream sends the events after the last one that the caller received.
func (k *Worker) stream(out *answerWriter, r *http.Request, f Fault, killed bool) {
	from, name := k.cfg.eventsBefore(r), r.URL.Query().Get("of")
	for n := from + 1; n <= k.cfg.Events; n++ {
		text := k.cfg.EventOf(name, n)
		if n == from+2 && k.stopsInEvent(out, text, f) {
			k.stop(out.conn, f, killed)
		}
		pause := k.cfg.EventInterval
		if f == Paused && n == from+2 {
			pause = PauseDuration
		}
		if k.writeEvent(out, text) != nil || !sleep(r, pause) {
			break
		}
		if f.isBetweenEvents() && n == from+2 {
			k.stop(out.conn, f, killed)
		}
	}
	out.close()
}

// eventsBefore returns the number of events up to the last one that the caller received.
func (cfg Config) eventsBefore(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return last / max(cfg.IDStep, 1)
}

// stopsInEvent sends part of an event if the fault says so, and reports whether it did.
func (k *Worker) stopsInEvent(out *answerWriter, text string, f Fault) bool {
	switch {
	case f == Crash:
		fmt.Fprint(out, text[:strings.Index(text, "data:")+len("data: pie")])
		_ = out.flush()
	case f == CrashInLines && k.cfg.Lines > 0:
		lines := strings.SplitAfter(text, "\n")
		for _, line := range lines[:len(lines)-k.cfg.Lines-1] {
			fmt.Fprint(out, line)
			_ = out.flush()
		}
		// What has been sent arrives before the connection closes.
		time.Sleep(cutDelay)
	default:
		return false
	}
	return true
}

// writeEvent sends an event, line by line if it has long lines.
func (k *Worker) writeEvent(out *answerWriter, text string) error {
	if k.cfg.Lines == 0 {
		fmt.Fprint(out, text)
		return out.flush()
	}
	for line := range strings.Lines(text) {
		if _, err := out.Write([]byte(line)); err != nil {
			return err
		}
		if err := out.flush(); err != nil {
			return err
		}
	}
	return nil
}

func (cfg Config) buildLine() string {
	if !cfg.NamesBuild {
		return ""
	}
	return BuildField + cmp.Or(cfg.Build, DefaultBuild) + "\n"
}

// IDOf returns the id of the n-th event. The difference between two ids varies around IDStep.
func (cfg Config) IDOf(n int) int {
	step := max(cfg.IDStep, 1)
	return n*step + n%step
}

// EventOf returns the n-th event of a stream.
func (cfg Config) EventOf(stream string, n int) string {
	var of string
	if cfg.NamesStream {
		of = fmt.Sprintf(" of %s by %s", stream, cmp.Or(cfg.Build, DefaultBuild))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%sid: %d\n", cfg.buildLine(), cfg.IDOf(n))
	if cfg.Lines == 0 {
		fmt.Fprintf(&b, "data: piece %d%s\n", n, of)
	}
	for line := range cfg.Lines {
		text := fmt.Sprintf("data: %d/%d%s ", n, line, of)
		b.WriteString(text + strings.Repeat("x", max(cfg.LineBytes-len(text), 0)) + "\n")
	}
	b.WriteString("\n")
	return b.String()
}

// TextOf returns the events of a stream from the n-th on.
func (cfg Config) TextOf(stream string, n int) string {
	var b strings.Builder
	for ; n <= cfg.Events; n++ {
		b.WriteString(cfg.EventOf(stream, n))
	}
	return b.String()
}

// EventText returns the n-th event of a stream of the plainest form.
func EventText(n int) string { return Config{}.EventOf("", n) }

// StreamText returns a complete stream of n events of the plainest form.
func StreamText(n int) string { return Config{Events: n}.TextOf("", 1) }

// cutDelay is the time between a part of an event and the end of its connection.
const cutDelay = 20 * time.Millisecond

// LinesText returns a complete stream of events with long lines.
func LinesText(events, lines, length int) string {
	return Config{Events: events, Lines: lines, LineBytes: length}.TextOf("", 1)
}
