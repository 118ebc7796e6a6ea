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

// The load of one entry host at the size that the design is made for: 1.9
// million tokens a second over 370 hosts.
const (
	tokenStreams = 64
	tokenGap     = 12500 * time.Microsecond
)

// BenchmarkTokenRelay measures the processor time of relaying one event of a
// token, by what callers and a target cost with the front between them and
// without it. Each event is written and flushed by itself, as engines do.
func BenchmarkTokenRelay(b *testing.B) {
	each := b.N/tokenStreams + 1
	answer := func(w http.ResponseWriter, r *http.Request) {
		text := fmt.Sprintf("data: {\"id\":\"%s\",\"t\":\"%0110d\"}\n\n", r.Header.Get(target.HeaderRequest), 1)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range each {
			time.Sleep(tokenGap)
			_, _ = fmt.Fprintf(w, "id: %d\n%s", n+1, text)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	bn := newFixture(b, answer)
	b.ResetTimer()
	direct := tokenCost(b, bn.url, each)
	relayed := tokenCost(b, bn.srv.URL, each)
	b.ReportMetric((relayed-direct).Seconds()*1e6/float64(each*tokenStreams), "cpu-µs/token")
	b.ReportMetric(direct.Seconds()*1e6/float64(each*tokenStreams), "bench-µs/token")
}

// tokenCost returns the processor time of the process while streams are read.
func tokenCost(b *testing.B, url string, each int) time.Duration {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: tokenStreams}}
	defer client.CloseIdleConnections()
	before := processorTime(b)
	var all sync.WaitGroup
	for range tokenStreams {
		all.Go(func() {
			if n, err := readTokens(client, url); err != nil || n != each {
				b.Errorf("%d of %d tokens: %v", n, each, err)
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
