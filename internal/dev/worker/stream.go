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
func (k *Worker) stream(w http.ResponseWriter, r *http.Request, f Fault) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := from + 1; n <= k.cfg.Events; n++ {
		if f == Crash && n == from+2 {
			fmt.Fprintf(w, "id: %d\ndata: pie", n)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		if k.cfg.NamesBuild {
			fmt.Fprintf(w, "%s%s\n", BuildField, cmp.Or(k.cfg.Build, DefaultBuild))
		}
		if k.cfg.Lines > 0 {
			if !k.writeLines(w, n, f == CrashInLines && n == from+2) {
				panic(http.ErrAbortHandler)
			}
		} else {
			fmt.Fprint(w, EventText(n))
		}
		pause := k.cfg.EventInterval
		if f == Paused && n == from+2 {
			pause = PauseDuration
		}
		if rc.Flush() != nil || !sleep(r, pause) {
			return
		}
	}
}

// EventText returns the n-th event of every stream.
func EventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// StreamText returns a complete stream of n events.
func StreamText(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(EventText(i))
	}
	return b.String()
}

// cutDelay is the time between a part of an event and the end of its connection.
const cutDelay = 20 * time.Millisecond

// DataLine returns one data line of the n-th event of streams with long lines, without its end.
func DataLine(n, line, length int) string {
	text := fmt.Sprintf("data: %d/%d ", n, line)
	return text + strings.Repeat("x", max(length-len(text), 0))
}

// writeLines sends the n-th event line by line. If cut is set it stops after the first data line and returns false.
func (k *Worker) writeLines(w http.ResponseWriter, n int, cut bool) bool {
	rc := http.NewResponseController(w)
	fmt.Fprintf(w, "id: %d\n", n)
	for line := range k.cfg.Lines {
		fmt.Fprintf(w, "%s\n", DataLine(n, line, k.cfg.LineBytes))
		if rc.Flush() != nil {
			return false
		}
		if cut {
			// What has been sent arrives before the connection closes.
			time.Sleep(cutDelay)
			return false
		}
	}
	fmt.Fprint(w, "\n")
	return true
}

// LinesText returns a complete stream of events with long lines.
func LinesText(events, lines, length int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\n", n)
		for line := range lines {
			b.WriteString(DataLine(n, line, length) + "\n")
		}
		b.WriteString("\n")
	}
	return b.String()
}
