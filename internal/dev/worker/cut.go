package worker

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
)

// Faults of answers that stop early. The connection is closed in order.
const (
	// PartOfHead stops inside the head.
	PartOfHead Fault = "part of a head"
	// HeadAlone stops after the head of an unframed answer.
	HeadAlone Fault = "head alone"
	// BetweenEvents stops a stream after its second event, and a call in the middle of its body.
	BetweenEvents Fault = "between events"
)

// ResetAfterEvent is BetweenEvents for a worker that resets the connection.
const ResetAfterEvent Fault = "reset after an event"

const killedPrefix = "killed, "

// Killed returns the fault of a worker whose process is killed where an answer with the fault f stops.
func Killed(f Fault) Fault { return killedPrefix + f }

// cutKilled returns the fault at whose place the process is killed, and whether it is.
func (f Fault) cutKilled() (Fault, bool) {
	at, killed := strings.CutPrefix(string(f), killedPrefix)
	return Fault(at), killed
}

// answerWriter writes the body of an answer.
type answerWriter struct {
	io.Writer
	flush func() error
	// conn is the connection of an unframed answer, nil for any other one.
	conn net.Conn
}

// close ends the answer.
func (a *answerWriter) close() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// IsUnframed reports whether the answer to a request has neither a length nor chunks.
func (cfg Config) IsUnframed(id string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return int(h.Sum32()%100) < cfg.UnframedPercent
}

// openAnswer begins the answer to a request.
func (k *Worker) openAnswer(w http.ResponseWriter, id string) *answerWriter {
	rc := http.NewResponseController(w)
	if !k.cfg.IsUnframed(id) {
		return &answerWriter{Writer: w, flush: rc.Flush}
	}
	c, _, err := rc.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c, headOf(w))
	return &answerWriter{Writer: c, flush: func() error { return nil }, conn: c}
}

// headOf returns the head of an unframed answer.
func headOf(w http.ResponseWriter) string {
	var head strings.Builder
	_ = w.Header().Write(&head)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n", head.String())
}

// isBetweenEvents reports whether the fault stops an answer between two events.
func (f Fault) isBetweenEvents() bool { return f == BetweenEvents || f == ResetAfterEvent }

// stop ends an answer early, by the end of the process if killed is set.
func (k *Worker) stop(c net.Conn, f Fault, killed bool) {
	if killed && k.cfg.OnKill != nil {
		k.cfg.OnKill()
	}
	if tcp, ok := c.(*net.TCPConn); ok && f == ResetAfterEvent {
		_ = tcp.SetLinger(0)
	}
	if c != nil {
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}

// EndedInOrder returns what a worker with this configuration has sent of a text in answer to a run if it closed an unframed
// answer in order before its end: text itself if it did not.
func (cfg Config) EndedInOrder(r Run, stream, text string) string {
	switch {
	case !cfg.IsUnframed(r.ID):
	case cfg.Events > 0 && r.Fault == BetweenEvents && r.From+2 < cfg.Events:
		return strings.TrimSuffix(text, cfg.TextOf(stream, r.From+3))
	case cfg.Events == 0 && cfg.Pause > 0 && (r.Fault == BetweenEvents || r.Fault == Crash):
		return text[:len(text)/2]
	}
	return text
}

// stopInHead sends a head, or part of it, and stops.
func (k *Worker) stopInHead(w http.ResponseWriter, f Fault, killed bool) {
	head := headOf(w)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f == PartOfHead {
		head = head[:len(head)/2]
	}
	_, _ = io.WriteString(c, head)
	k.stop(c, f, killed)
}

// writeCall sends the answer to a call, in two parts if the worker pauses between them.
func (k *Worker) writeCall(w http.ResponseWriter, r *http.Request, id, text string, f Fault, killed bool) {
	out := k.openAnswer(w, id)
	half := len(text)
	if k.cfg.Pause > 0 {
		half /= 2
	}
	fmt.Fprint(out, text[:half])
	if half < len(text) {
		stops := f.isBetweenEvents() || f == Crash
		if out.flush() != nil || !sleep(r, k.cfg.Pause) || stops {
			k.stop(out.conn, f, killed && stops)
		}
		fmt.Fprint(out, text[half:])
	}
	out.close()
}
