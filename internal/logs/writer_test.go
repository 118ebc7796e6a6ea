package logs

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until gate is closed.
type blockedOutput struct {
	gate chan struct{}
	mu   sync.Mutex
	got  strings.Builder
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against a goroutine that logs being blocked because nobody reads the output.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{gate: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 2000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging to a blocked output took %s", took)
	}
	close(out.gate)
	w.Stop()
	text := out.got.String()
	if !strings.Contains(text, "log lines left out") {
		t.Error("no line reports the number of dropped lines")
	}
	if n := strings.Count(text, "\n"); n < 100 || n > 2*maxQueueBytes/len(line)+10 {
		t.Errorf("%d lines were written", n)
	}
}

func TestWriterKeepsTheOrder(t *testing.T) {
	out := &blockedOutput{gate: make(chan struct{})}
	close(out.gate)
	w := NewWriter(out)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(l))
	}
	w.Stop()
	if out.got.String() != "a\nb\nc\n" {
		t.Errorf("got %q", out.got.String())
	}
}
