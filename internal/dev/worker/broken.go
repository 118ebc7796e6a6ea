package worker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Faults of answers that are malformed, or are reset while the request is still being written.
const (
	// ResetUpload answers before the request has been read, without a length or chunks, and resets the connection after a part of the body.
	ResetUpload Fault = "reset in an upload"
	// InvalidStatus answers with the status 000 and with another answer as its body. BlankName sends the framing of its body in a
	// field whose name holds a blank.
	InvalidStatus Fault = "invalid status"
	BlankName     Fault = "blank in a field name"
)

// resetDelay is the time after which a connection is reset. The part of the answer is read before.
const resetDelay = 5 * time.Millisecond

// answerBroken sends an answer with one of these faults, and reports whether f is one of them.
func (k *Worker) answerBroken(w http.ResponseWriter, r *http.Request, f Fault, id string) bool {
	if f != ResetUpload && f != InvalidStatus && f != BlankName {
		return false
	}
	k.recordRun(id, r.Header)
	if k.cfg.OnRun != nil {
		k.cfg.OnRun(Run{ID: id, From: k.cfg.eventsBefore(r), Fault: f})
	}
	defer k.endRequest(r, true)
	w.Header().Set("Verbenadale-Response-Seal", "seal-of-"+id)
	text := "a part"
	if k.cfg.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		text = k.cfg.EventOf(r.URL.Query().Get("of"), k.cfg.eventsBefore(r)+1)
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer c.Close()
	head := headOf(w)
	switch f {
	case ResetUpload:
		_, _ = io.WriteString(c, head+text)
		time.Sleep(resetDelay)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case InvalidStatus:
		inner := strings.Replace(head, "\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n", len(text)), 1) + text
		_, _ = fmt.Fprintf(c, "HTTP/1.1 000\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)
	case BlankName:
		_, _ = fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", strings.Replace(head, "\r\n", "\r\nTransfer-Encoding : chunked\r\n", 1), len(text), text)
	}
	return true
}
