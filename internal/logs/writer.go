package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"gopkg.in/tomb.v2"
)

// Queue limit and drop report of a Writer.
const (
	// maxQueueBytes bounds the queued lines. It is enough for some seconds at a few
	// hundred lines a second.
	maxQueueBytes = 256 << 10
	// droppedLinesFormat is the line that reports dropped lines.
	droppedLinesFormat = "level=0 msg=\"log lines left out\" lines=%d reason=\"the output is slower than the logging\"\n"
)

// Writer writes lines to another writer. Write never blocks the caller.
//
// Standard output is often a pipe. If nobody reads it, a write blocks and with it
// the goroutine that logs: a host would stop serving because of its log. Lines
// that do not fit the queue are dropped and counted, and the count is logged with
// the next lines that are written.
type Writer struct {
	t      tomb.Tomb
	out    io.Writer
	wakeup chan struct{}

	mu      sync.Mutex
	queue   bytes.Buffer
	dropped int
}

// NewWriter returns a running writer. Stop ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wakeup: make(chan struct{}, 1)}
	w.t.Go(w.run)
	return w
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.queue.Len()+len(line) > maxQueueBytes {
		w.dropped++
	} else {
		w.queue.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Stop writes the queued lines and ends the writer. It blocks while the output does.
func (w *Writer) Stop() {
	w.t.Kill(nil)
	_ = w.t.Wait()
}

func (w *Writer) run() error {
	for {
		select {
		case <-w.wakeup:
			w.flush()
		case <-w.t.Dying():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	if w.dropped > 0 {
		fmt.Fprintf(&w.queue, droppedLinesFormat, w.dropped)
		w.dropped = 0
	}
	lines := bytes.Clone(w.queue.Bytes())
	w.queue.Reset()
	w.mu.Unlock()
	if len(lines) > 0 {
		// The error is ignored, since the log is the only place to report it.
		_, _ = w.out.Write(lines)
	}
}
