package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case of review/3: many callers send long bodies at once.
const (
	// bodyBytes is below the limit of the configuration, 4,194,304.
	bodyBytes = 4_000_000
	chunks    = 40
	chunkTime = 100 * time.Millisecond
	// uploadsAtHost is the usual number of callers of one host that send long bodies, burst the factor
	// of the burst.
	uploadsAtHost = 24
	burst         = 2.5
	burstAfter    = 12 * time.Second
	burstTime     = 10 * time.Second
	afterBurst    = 8 * time.Second
	// smallAtHost is the number of callers of one host that send short calls on kept connections.
	smallAtHost = 12
	smallWork   = 250 * time.Millisecond
	// memoryMB is what a process may take, in units of 2^20 bytes.
	memoryMB = 284
	// maxLost is the number of lost answers that the rule allows.
	maxLost = 3
)

// uploads counts what became of the long requests, and lost the short ones that were passed on and got no
// answer.
type uploads struct {
	*ledger
	rec  *record
	lost []string
	ends atomic.Int64
}

// runBodies runs the case and returns its exit status.
func runBodies(file string, trouble bool) int {
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.Close()
	rec := &record{w: f, began: time.Now()}
	u := &uploads{ledger: &ledger{runs: make(map[string]int), statuses: make(map[string]int)}, rec: rec}
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	s.output, s.hostOutput, s.work = u.ledger, notes{rec}, smallWork
	if err := startAll(s, "board", boardWorkers, smallAtHost); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	var wg sync.WaitGroup
	usual, more := u.startCallers(s, &wg)
	_ = usual
	time.Sleep(burstAfter)
	if trouble {
		rec.printf("burst: %.1f times the long requests for %v", burst, burstTime)
		close(more)
	}
	time.Sleep(burstTime + afterBurst)
	u.end()
	wg.Wait()
	time.Sleep(time.Second)
	return u.judge()
}

// startCallers starts the callers and the watch on the memory of each host. The callers of the burst wait for
// the second channel.
func (u *uploads) startCallers(s *system, wg *sync.WaitGroup) (usual, more chan struct{}) {
	usual, more = make(chan struct{}), make(chan struct{})
	close(usual)
	for n, h := range s.hosts {
		go u.watchMemory(s, n)
		for c := range int(uploadsAtHost * burst) {
			begin := usual
			if c >= uploadsAtHost {
				begin = more
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				u.sendLong(h.addr, fmt.Sprintf("long%d-%03d", n, c), begin, c >= uploadsAtHost, c)
			}()
		}
		for c := range smallAtHost {
			wg.Add(1)
			go func() {
				defer wg.Done()
				u.sendShort(h.addr, fmt.Sprintf("short%d-%03d", n, c))
			}()
		}
	}
	return usual, more
}

// watchMemory ends the process of a host that takes too much memory, as the platform does, and starts another.
func (u *uploads) watchMemory(s *system, n int) {
	most := 0
	for !u.ended() {
		time.Sleep(20 * time.Millisecond)
		now := anonymousMB(s.hosts[n].cmd.Process.Pid)
		if now > most {
			most = now
			u.rec.printf("host %s: %d MB", s.hosts[n].addr, most)
		}
		if now <= memoryMB {
			continue
		}
		u.ends.Add(1)
		u.rec.printf("host %s takes %d MB, %d are allowed: it is killed", s.hosts[n].addr, now, memoryMB)
		_ = s.hosts[n].cmd.Process.Kill()
		_ = s.hosts[n].cmd.Wait()
		time.Sleep(time.Second)
		if err := s.restartHost(n); err != nil {
			u.rec.printf("host not started again: %v", err)
			return
		}
		most = 0
	}
}

// anonymousMB returns the memory of a process without its files.
func anonymousMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if val, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(val)[0])
			return kb >> 10
		}
	}
	return 0
}

// slowBody is a body that arrives in chunks.
type slowBody struct {
	left  int
	chunk int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.chunk == 0 {
		time.Sleep(chunkTime)
		b.chunk = bodyBytes / chunks
	}
	n := min(len(p), b.chunk, b.left)
	b.left -= n
	b.chunk -= n
	return n, nil
}

// sendLong sends requests with long bodies, one after the other, from the time at which begin is closed.
func (u *uploads) sendLong(addr, caller string, begin <-chan struct{}, inBurst bool, c int) {
	for {
		select {
		case <-begin:
		default:
			if u.ended() {
				return
			}
			time.Sleep(chunkTime)
			continue
		}
		break
	}
	began := time.Now()
	if !inBurst {
		time.Sleep(time.Duration(c) * chunks * chunkTime / uploadsAtHost)
	}
	for n := 0; !u.ended() && (!inBurst || time.Since(began) < burstTime); n++ {
		id := fmt.Sprintf("%s-%03d", caller, n)
		status, _, err := u.post(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, addr, "/upload/1", id, &slowBody{left: bodyBytes}, bodyBytes)
		u.rec.printf("request %s of %d bytes is answered with %d, error %v", id, bodyBytes, status, err)
		if status != http.StatusOK {
			time.Sleep(chunkTime)
		}
	}
}

// sendShort sends short calls on a kept connection, and records those that were passed on and whose connection
// ended without an answer.
func (u *uploads) sendShort(addr, caller string) {
	cl := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; !u.ended(); n++ {
		id := fmt.Sprintf("%s-%03d", caller, n)
		status, kept, err := u.post(cl, addr, "/publish/1", id, strings.NewReader("notice"), 6)
		if err == nil {
			u.answered(id, status)
			continue
		}
		u.rec.printf("request %s: no answer, connection kept %v, %v", id, kept, err)
		if kept {
			u.mu.Lock()
			u.lost = append(u.lost, id)
			u.mu.Unlock()
		}
		time.Sleep(chunkTime)
	}
}

func (u *uploads) post(cl *http.Client, addr, path, id string, body io.Reader, length int64) (status int, kept bool, err error) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, body)
	if err != nil {
		return 0, false, err
	}
	req.Host, req.ContentLength = hostName, length
	req.Header.Set("Verbenadale-Request-Id", id)
	req.Header.Set("Verbenadale-Request-Deadline", "10000")
	res, err := cl.Do(req)
	if err != nil {
		return 0, kept, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, kept, err
}

// judge counts the answers lost on kept connections of requests that a worker has run.
func (u *uploads) judge() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	lost, served := 0, 0
	for _, id := range u.lost {
		if u.runs[id] > 0 {
			lost++
			u.rec.printf("LOST: request %s ran, and its kept connection ended without an answer", id)
		}
	}
	for _, status := range u.statuses {
		if status == http.StatusOK {
			served++
		}
	}
	text := fmt.Sprintf("%d short requests served, %d LOST (%d allowed); processes over the limit of memory: %d", served, lost, maxLost, u.ends.Load())
	u.rec.printf("result: %s", text)
	fmt.Fprintln(os.Stdout, text)
	switch {
	case lost > maxLost:
		return exitBroken
	case served == 0:
		return exitFailed
	}
	return exitHeld
}
