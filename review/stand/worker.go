package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// The stream of a worker.
const (
	streamEvents = 15
	// lineBytes is the length of a line of an event without its end.
	lineBytes = 1024
	// eventLines is the number of data lines of an event, and lineInterval the time between two lines.
	eventLines   = 3
	lineInterval = 60 * time.Millisecond
	workerSlots  = 16
)

// dataLine returns one line of an event. It depends on the request, the event and the line only, so that
// each worker sends the same stream.
func dataLine(request string, event, line int) string {
	text := fmt.Sprintf("data: %s/%d/%d ", request, event, line)
	return text + strings.Repeat("x", lineBytes-len(text))
}

// worker is a model worker whose events arrive line by line.
type worker struct {
	id      string
	running atomic.Int64
}

// runWorker serves until the process is killed.
func runWorker(listen, id string) error {
	srv := &http.Server{Addr: listen, Handler: &worker{id: id}, ReadHeaderTimeout: time.Minute}
	return srv.ListenAndServe()
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Verbenadale-Server-Load", fmt.Sprintf("%d,0,%d", k.running.Load(), workerSlots))
	switch r.URL.Path {
	case "/healthz":
		h.Set("Verbenadale-Instance-Id", k.id)
		return
	case "/-/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"Stage":"both","Queued":0,"Running":0,"KvUsed":0,"KvTotal":400000}`)
		return
	}
	request := r.Header.Get("Verbenadale-Request-Id")
	h.Set("Verbenadale-Request-Id", request)
	if want := r.Header.Get("Verbenadale-Expect-Instance"); want != "" && want != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request == "" {
		h.Set("Verbenadale-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	received, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Fprintf(os.Stdout, "%s runs %s after event %d\n", k.id, request, received)
	k.running.Add(1)
	defer k.running.Add(-1)
	h.Set("Verbenadale-Response-Seal", "seal-"+k.id)
	h.Set("Content-Type", "text/event-stream")
	k.stream(w, r, request, received)
}

// stream sends the events after the given one.
func (k *worker) stream(w http.ResponseWriter, r *http.Request, request string, received int) {
	rc := http.NewResponseController(w)
	for event := received + 1; event <= streamEvents; event++ {
		fmt.Fprintf(w, "id: %d\n", event)
		for line := range eventLines {
			fmt.Fprintf(w, "%s\n", dataLine(request, event, line))
			if line == eventLines-1 {
				fmt.Fprint(w, "\n")
			}
			if rc.Flush() != nil || r.Context().Err() != nil {
				return
			}
			time.Sleep(lineInterval)
		}
	}
	fmt.Fprintf(os.Stdout, "%s has ended %s\n", k.id, request)
}
