package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case of review/1: a faulty worker sends extra answers late while its health check fails.
const (
	boardWorkers = 2
	probePhases  = 13
	faultyTime   = 5 * time.Second
	soundTime    = 3 * time.Second
)

// callersAtHost is the number of callers of each host.
var callersAtHost = [...]int{10, 14}

// ledger holds what callers were told and what workers ran.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	statuses map[string]int
	done     bool
}

// Write reads the lines that workers print.
func (l *ledger) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(string(b)) {
		if _, id, ok := strings.Cut(strings.TrimSpace(line), " runs "); ok {
			l.runs[id]++
		}
	}
	return len(b), nil
}

// notes records the lines of a host about its targets. The others are too many.
type notes struct{ rec *record }

// Write implements io.Writer.
func (n notes) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, `msg="target`) {
			n.rec.printf("%s", strings.TrimSpace(line))
		}
	}
	return len(b), nil
}

func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

func (l *ledger) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

func (l *ledger) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
}

// runProbe runs the case and returns its exit status.
func runProbe(file string, trouble bool) int {
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.Close()
	rec := &record{w: f, began: time.Now()}
	led := &ledger{runs: make(map[string]int), statuses: make(map[string]int)}
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	s.output, s.hostOutput = led, notes{rec}
	if err := startAll(s, "board", boardWorkers, boardSlots); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	var wg sync.WaitGroup
	for n, h := range s.hosts {
		for c := range callersAtHost[n] {
			wg.Add(1)
			go func() {
				defer wg.Done()
				call(led, rec, h.addr, fmt.Sprintf("%c%03d", 'a'+n, c))
			}()
		}
	}
	for range probePhases {
		time.Sleep(soundTime)
		if trouble {
			_ = s.workers[0].cmd.Process.Signal(syscall.SIGUSR1)
		}
		time.Sleep(faultyTime)
		_ = s.workers[0].cmd.Process.Signal(syscall.SIGUSR2)
	}
	led.end()
	wg.Wait()
	time.Sleep(time.Second)
	return led.judge(rec)
}

// call sends requests that may run once at most, one after the other.
func call(led *ledger, rec *record, addr, caller string) {
	cl := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	for n := 0; !led.ended(); n++ {
		id := fmt.Sprintf("%s-%05d", caller, n)
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/publish/1", strings.NewReader("notice"))
		if err != nil {
			return
		}
		req.Host = hostName
		req.Header.Set("Verbenadale-Request-Id", id)
		req.Header.Set("Verbenadale-Request-Deadline", "4000")
		status := 0
		if res, err := cl.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			status = res.StatusCode
			if status == http.StatusServiceUnavailable {
				rec.printf("headers of the answer to %s: %v", id, res.Header)
				time.Sleep(50 * time.Millisecond)
			}
		}
		rec.printf("request %s of %s is answered with %d", id, addr, status)
		led.answered(id, status)
	}
}

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// judge counts the requests that break REFUSED or TWICE.
func (l *ledger) judge(rec *record) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused, twice, counts := 0, 0, make(map[int]int)
	for id, status := range l.statuses {
		counts[status]++
		if promises[status] && l.runs[id] > 0 {
			refused++
			rec.printf("REFUSED: request %s was answered %d and has run", id, status)
		}
		if l.runs[id] > 1 {
			twice++
			rec.printf("TWICE: request %s ran %d times", id, l.runs[id])
		}
	}
	text := fmt.Sprintf("%d requests, by status %v; %d break REFUSED, %d break TWICE", len(l.statuses), counts, refused, twice)
	rec.printf("result: %s", text)
	fmt.Fprintln(os.Stdout, text)
	switch {
	case refused+twice > 0:
		return exitBroken
	case counts[http.StatusOK] == 0:
		return exitFailed
	}
	return exitHeld
}
