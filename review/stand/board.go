package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A plain service whose worker becomes faulty.
const (
	boardSlots = 6
	boardQueue = 24
	boardWork  = 30 * time.Millisecond
	// lateExtras is the number of answers in a row that a faulty worker sends once more, later. With
	// brokenAnswers it is under 0.03 of the answers that it gives while it is faulty.
	lateExtras = 20
	// brokenAnswers is the number of answers in a row that a faulty worker breaks off after them.
	brokenAnswers = 8
	// spoiledCallers begins the ids of the callers whose answers are spoiled.
	spoiledCallers = "a"
)

// board is a worker of a plain service. It serves one request at a time on a connection.
type board struct {
	id     string
	slots  chan struct{}
	work   time.Duration
	queued atomic.Int64

	mu sync.Mutex
	// faulty is set while the worker is faulty; it then knows that it is not healthy.
	faulty bool
	// answers counts the answers since the worker became faulty, spoiled those that were spoiled.
	answers, spoiled int
}

// runBoard serves until the process is killed. SIGUSR1 makes the worker faulty, SIGUSR2 sound again.
func runBoard(listen, id string, work time.Duration, slots int) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	b := &board{id: id, slots: make(chan struct{}, slots), work: work}
	go b.watchSignals()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go b.serve(c)
	}
}

// fault is what happens to one answer.
type fault int

const (
	sound fault = iota
	sentAgain
	brokenOff
)

// nextFault decides what happens to the next answer to a request.
func (b *board) nextFault(request string) fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.faulty {
		return sound
	}
	b.answers++
	if !strings.HasPrefix(request, spoiledCallers) || b.spoiled >= lateExtras+brokenAnswers {
		return sound
	}
	b.spoiled++
	if b.spoiled <= lateExtras {
		return sentAgain
	}
	return brokenOff
}

func (b *board) isFaulty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faulty
}

func (b *board) setFaulty(faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faulty && !faulty {
		fmt.Fprintf(os.Stdout, "%s was faulty: %d of %d answers spoiled\n", b.id, b.spoiled, b.answers)
	}
	b.faulty, b.answers, b.spoiled = faulty, 0, 0
}

func (b *board) load() string {
	return fmt.Sprintf("%d,%d,%d", len(b.slots), b.queued.Load(), cap(b.slots))
}

// serve serves the requests of a connection.
func (b *board) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		// A late extra answer arrives where the next answer is expected.
		if _, err := c.Write(extra); err != nil {
			return
		}
		extra = nil
		res, f := b.handle(req, body)
		if f == brokenOff {
			_, _ = c.Write(res[:len(res)/2])
			return
		}
		if _, err := c.Write(res); err != nil {
			return
		}
		if f == sentAgain {
			extra = res
		}
	}
}

// answer returns the bytes of an answer.
func (b *board) answer(status int, body string, headers ...string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nVerbenadale-Server-Load: %s\r\n", status, http.StatusText(status), b.load())
	for _, h := range headers {
		fmt.Fprintf(&out, "%s\r\n", h)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return out.Bytes()
}

// handle runs a request and returns its answer.
func (b *board) handle(req *http.Request, body []byte) ([]byte, fault) {
	id := req.Header.Get("Verbenadale-Request-Id")
	echo := "Verbenadale-Request-Id: " + id
	switch want := req.Header.Get("Verbenadale-Expect-Instance"); {
	case want != "" && want != b.id:
		return b.answer(http.StatusMisdirectedRequest, "", echo), sound
	case id == "" && req.URL.Path != "/healthz":
		return b.answer(http.StatusBadRequest, "", "Verbenadale-Not-Executed: 1"), sound
	case b.queued.Load() >= boardQueue:
		return b.answer(http.StatusServiceUnavailable, "", echo, "Verbenadale-Not-Executed: 1"), sound
	}
	b.queued.Add(1)
	b.slots <- struct{}{}
	b.queued.Add(-1)
	defer func() { <-b.slots }()
	if req.URL.Path == "/healthz" {
		status := http.StatusOK
		if b.isFaulty() {
			status = http.StatusServiceUnavailable
		}
		return b.answer(status, "", "Verbenadale-Instance-Id: "+b.id), sound
	}
	fmt.Fprintf(os.Stdout, "%s runs %s\n", b.id, id)
	time.Sleep(b.work)
	f := b.nextFault(id)
	return b.answer(http.StatusOK, fmt.Sprintf("%s by %s: %s", id, b.id, body), echo, "Verbenadale-Response-Seal: seal-"+b.id), f
}
