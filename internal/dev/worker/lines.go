package worker

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

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
