package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The case of review/2: a worker is killed while its events arrive line by line.
const (
	workerCount   = 6
	streamsAtOnce = 24
	killAfter     = 1500 * time.Millisecond
	deadlineMs    = "12000"
)

// runLines runs the case and returns its exit status.
func runLines(file string, trouble bool) int {
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.Close()
	rec := &record{w: f, began: time.Now()}
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	if err := startAll(s, "worker", workerCount, workerSlots); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, served := sendStreams(s, trouble)
	rec.printf("result: %d of %d streams complete, %d break ORDER", served, streamsAtOnce, broken)
	fmt.Fprintf(os.Stdout, "%d of %d streams complete, %d break ORDER\n", served, streamsAtOnce, broken)
	switch {
	case broken > 0:
		return exitBroken
	case served < streamsAtOnce/2:
		return exitFailed
	}
	return exitHeld
}

// sendStreams sends the streams, with trouble kills a worker meanwhile, and returns how many broke the
// rule and how many were complete.
func sendStreams(s *system, trouble bool) (broken, served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range streamsAtOnce {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("9c41d07be2a0%04x", n)
			fault, complete := sendStream(s.hosts[n%len(s.hosts)].addr, id)
			s.rec.printf("request %s: complete %v, fault %q", id, complete, fault)
			mu.Lock()
			defer mu.Unlock()
			if fault != "" {
				broken++
			}
			if complete {
				served++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		time.Sleep(killAfter)
		s.kill(s.workers[0])
	}
	wg.Wait()
	return broken, served
}

// sendStream sends a request and reads its stream. It returns what breaks the rule ORDER, and whether the
// answer ended as complete.
func sendStream(addr, id string) (fault string, complete bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/draft/1", strings.NewReader("draft"))
	if err != nil {
		return "", false
	}
	req.Host = hostName
	req.Header.Set("Verbenadale-Request-Id", id)
	req.Header.Set("Verbenadale-Request-Deadline", deadlineMs)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK || res.Header.Get("Verbenadale-Response-Seal") == "" {
		return "", false
	}
	br := bufio.NewReader(res.Body)
	for n := 1; ; n++ {
		event, err := readEvent(br)
		switch {
		case err != nil && event == "" && err.Error() == "EOF":
			if fault == "" && n <= streamEvents {
				fault = fmt.Sprintf("the stream ends as complete before event %d", n)
			}
			return fault, true
		case err != nil:
			// The answer was cut off, which does not look complete.
			return fault, false
		case fault == "" && event != wantedEvent(id, n):
			fault = fmt.Sprintf("event %d is not the worker's: %s", n, summaryOf(event))
		}
	}
}

// readEvent reads the lines of one event, up to its empty line.
func readEvent(br *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		line, err := br.ReadString('\n')
		b.WriteString(line)
		if err != nil || line == "\n" {
			return b.String(), err
		}
	}
}

func wantedEvent(request string, event int) string {
	text := fmt.Sprintf("id: %d\n", event)
	for line := range eventLines {
		text += dataLine(request, event, line) + "\n"
	}
	return text + "\n"
}

// summaryOf returns the lines of an event without their padding.
func summaryOf(event string) string {
	var parts []string
	for line := range strings.Lines(event) {
		parts = append(parts, strings.TrimRight(strings.TrimSpace(line), "x "))
	}
	return strings.Join(parts, " | ")
}
