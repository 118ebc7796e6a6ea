package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/target"
)

// Load of one entry host at the design size: 1.9 million tokens a second over 370 hosts.
const (
	tokenStreams = 64
	tokenGap     = 12500 * time.Microsecond
)

// BenchmarkTokenRelay measures the processor time for relaying one token event: the cost of callers
// and a target with the front between them, minus the cost without it. Each event is written and
// flushed separately, as engines do.
func BenchmarkTokenRelay(b *testing.B) {
	tokensPerStream := b.N/tokenStreams + 1
	answer := func(w http.ResponseWriter, r *http.Request) {
		text := fmt.Sprintf("data: {\"id\":\"%s\",\"t\":\"%0110d\"}\n\n", r.Header.Get(target.HeaderRequest), 1)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range tokensPerStream {
			time.Sleep(tokenGap)
			_, _ = fmt.Fprintf(w, "id: %d\n%s", n+1, text)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	f := newFixture(b, answer)
	b.ResetTimer()
	direct := tokenCost(b, f.url, tokensPerStream)
	relayed := tokenCost(b, f.srv.URL, tokensPerStream)
	b.ReportMetric((relayed-direct).Seconds()*1e6/float64(tokensPerStream*tokenStreams), "cpu-µs/token")
	b.ReportMetric(direct.Seconds()*1e6/float64(tokensPerStream*tokenStreams), "bench-µs/token")
}

// tokenCost returns the processor time that the process uses to read the streams.
func tokenCost(b *testing.B, url string, tokensPerStream int) time.Duration {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: tokenStreams}}
	defer client.CloseIdleConnections()
	before := processorTime(b)
	var all sync.WaitGroup
	for range tokenStreams {
		all.Go(func() {
			if n, err := readTokens(client, url); err != nil || n != tokensPerStream {
				b.Errorf("%d of %d tokens: %v", n, tokensPerStream, err)
			}
		})
	}
	all.Wait()
	return processorTime(b) - before
}

func readTokens(client *http.Client, url string) (int, error) {
	body := strings.NewReader(`{"model":"draft","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer key")
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return strings.Count(string(text), "data: {"), err
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		b.Fatal(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
