// Package worker is a fake of the targets of the users' platform: model engines
// that stream events, and plain services. It simulates the failures that the
// platform documents.
//
// # Usage
//
//	wk := worker.New(worker.Config{ID: "i-1", Service: "writers", DataCentre: "a", Slots: 8, Events: 5})
//	srv := httptest.NewServer(wk)
//	store.Put(wk.StoreKey(), wk.StoreEntry(addr, "ready", 0))
//	wk.InjectFault(worker.Crash, 1)
//
// It counts the runs of each request, so that a test can detect duplicate runs.
package worker

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a failure of a request.
type Fault string

// Faults.
const (
	// Crash aborts a stream in the middle of its second event. Reset closes the
	// connection after the request ran and before the first byte of the answer.
	Crash Fault = "crash"
	Reset Fault = "reset"
	// CrashInLines aborts a stream after the first data line of its second event.
	CrashInLines Fault = "crash in lines"
	// NoAnswer runs the request and never answers.
	NoAnswer Fault = "lost"
	// ServerError answers 500; Shed answers 503 without running the request.
	ServerError Fault = "errors"
	Shed        Fault = "shed"
	// Unsigned omits the signature of the answer; WrongID sends the id of another
	// request.
	Unsigned Fault = "unsigned"
	WrongID  Fault = "crossed"
	// NoLength answers without a length and closes the connection at the end;
	// ExtraAnswer sends a second answer on the same connection.
	NoLength    Fault = "unframed"
	ExtraAnswer Fault = "extra"
	// LateAnswer sends the answer to a call once more, before that to the next request on its connection.
	LateAnswer Fault = "extra late"
	// Unframed sends a whole answer that has neither a length nor chunks and ends with its connection.
	Unframed Fault = "no framing"
	// Paused sends no data for PauseDuration after the second event of a stream.
	Paused Fault = "paused"
	// Endless sends a head without end, up to maxEndlessBytes, until the connection closes.
	Endless Fault = "endless"
)

// FailWith returns the fault of a worker that runs a request and answers with a status. The answer does not state that the
// request has not run.
func FailWith(status int) Fault { return Fault(strconv.Itoa(status)) }

// maxEndlessBytes bounds the bytes of one answer without end.
const maxEndlessBytes = 64 << 20

// PauseDuration is the time for which a stream with the fault Paused sends no
// data.
const PauseDuration = 2500 * time.Millisecond

// DefaultBuild is the version of the software of workers that name none.
const DefaultBuild = "v1"

// BuildField begins the line of an event that names the build of its worker.
const BuildField = "build: "

// Config describes a worker.
type Config struct {
	ID         string
	Service    string
	DataCentre string
	// Build is the version of the worker's software; empty means DefaultBuild.
	Build string
	// NamesBuild adds the build to each event of a stream. NamesStream adds the stream and the build to the data of each event:
	// the stream is named by the query of its path.
	NamesBuild, NamesStream bool
	// Slots is reported and not enforced.
	Slots int
	// Events is the number of events of a stream, or zero for a plain service;
	// EventInterval is the time between two events.
	Events        int
	EventInterval time.Duration
	// IDStep is the mean difference between the ids of two events; zero means 1.
	IDStep int
	// UnframedPercent is the share of the requests whose answers have neither a length nor chunks.
	UnframedPercent int
	// Lines is the number of data lines of an event, each LineBytes long and sent by itself. Zero means one short line.
	Lines, LineBytes int
	// Work is the duration of a call to a plain service. Pause is the time between two parts of its answer; zero means one part.
	Work, Pause time.Duration
	// OnPoison is called when a request with PoisonSegment in its path begins to run, or one with
	// PoisonPart in its prompt is answered. It ends the process of the worker: it closes its listener
	// and its connections. Nil means that such requests are like any other.
	OnPoison func(r *http.Request) `json:"-"`
	// OnRun is called for each request that runs, before its answer begins. OnKill ends the process of the worker. Nil means that
	// nothing is called.
	OnRun  func(Run) `json:"-"`
	OnKill func()    `json:"-"`
	// Ending is what is sent of the answer to a prompt with PoisonPart; empty means AfterHead.
	Ending Ending
	// StartTimeMs is the start time in Unix milliseconds, which the store entry and
	// the reports contain. If it is zero, the store entry omits it.
	StartTimeMs int64
}

// Worker is one incarnation of a target.
type Worker struct {
	cfg Config

	mu sync.Mutex
	// rateLimit is the value of the header that names the limit, empty for none.
	rateLimit string
	// arrivals are the requests that arrived, probes excepted.
	arrivals []Arrival
	// rest is the behaviour that SetRest sets, restsAsked the times at which it was followed.
	rest       Rest
	restsAsked []time.Time
	// leavingHeader is the name of the header by which the worker says that it leaves, empty for none.
	leavingHeader string
	health        Health
	running       int
	runs          map[string]int
	headers       []http.Header
	faults        []Fault
	seq           int
	disconnects   int
	reports       int
}

// New returns a worker.
func New(cfg Config) *Worker { return &Worker{cfg: cfg, runs: make(map[string]int)} }

// StoreKey returns the key of the worker's entry in the store.
func (k *Worker) StoreKey() string { return "servers/" + k.cfg.ID }

// StoreEntry returns the worker's next entry in the store, with the given state
// and remaining cold-start time.
func (k *Worker) StoreEntry(addr, state string, coldStart time.Duration) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seq++
	entry := map[string]any{
		"Service": k.cfg.Service, "Address": addr, "Zone": k.cfg.DataCentre, "Version": cmp.Or(k.cfg.Build, DefaultBuild), "Slots": k.cfg.Slots,
		"State": state, "ColdLeftMs": coldStart.Milliseconds(), "Seq": k.seq,
	}
	if k.cfg.StartTimeMs > 0 {
		entry["born"] = k.cfg.StartTimeMs
	}
	b, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return b
}

// SetEventInterval sets the time between two events of a stream.
func (k *Worker) SetEventInterval(interval time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.EventInterval = interval
}

// SetRateLimit makes the worker name a limit on the requests a second in its answers, none if
// text is empty. It does not enforce the limit.
func (k *Worker) SetRateLimit(text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rateLimit = text
}

// OnPoison replaces the function that Config.OnPoison sets.
func (k *Worker) OnPoison(f func(r *http.Request)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.OnPoison = f
}

// Arrival is a request that arrived.
type Arrival struct {
	At      time.Time
	Request string
}

// Arrivals returns the times at which requests arrived, in order. Probes are left out.
func (k *Worker) Arrivals() []time.Time {
	var times []time.Time
	for _, a := range k.ArrivedRequests() {
		times = append(times, a.At)
	}
	return times
}

// ArrivedRequests returns the requests that arrived, in order. Probes are left out.
func (k *Worker) ArrivedRequests() []Arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.arrivals)
}

// recordArrival records the arrival of a request and adds the limit to the answer.
func (k *Worker) recordArrival(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.arrivals = append(k.arrivals, Arrival{At: time.Now(), Request: r.Header.Get("Verbenadale-Request-Id")})
	if k.rateLimit != "" {
		w.Header().Set("Server-Limit", k.rateLimit)
	}
}

// Restart simulates a restart under the same id: it sets the start time and resets
// the sequence number, the number of running requests and the injected faults. It
// neither closes connections nor ends running requests, so that callers don't notice
// the restart, as when the network is broken.
func (k *Worker) Restart(startTimeMs int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.StartTimeMs = startTimeMs
	k.seq, k.running = 0, 0
	k.faults = nil
}

// InjectFault makes the next n requests fail in the given way.
func (k *Worker) InjectFault(f Fault, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for range n {
		k.faults = append(k.faults, f)
	}
}

// ClearFaults removes the injected faults.
func (k *Worker) ClearFaults() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = nil
}

// Runs returns how often a request ran.
func (k *Worker) Runs(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[id]
}

// RunsByRequest returns how often each request ran.
func (k *Worker) RunsByRequest() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.runs)
}

// TotalRuns returns the number of runs of all requests.
func (k *Worker) TotalRuns() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, r := range k.runs {
		n += r
	}
	return n
}

// Headers returns the headers of the requests that ran, in order.
func (k *Worker) Headers() []http.Header {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.headers
}

// Reports returns how often the report was requested.
func (k *Worker) Reports() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reports
}

// Disconnects returns how many callers disconnected before their request ended.
func (k *Worker) Disconnects() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.disconnects
}

// kvCapacity is the reported size of the KV cache in tokens.
const kvCapacity = 400_000

// ServeHTTP implements http.Handler.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Verbenadale-Server-Load", k.load())
	k.announceLeaving(w)
	if r.URL.Path == "/healthz" {
		k.answerHealth(w, r)
		return
	}
	if r.URL.Path == "/-/report" {
		k.mu.Lock()
		k.reports++
		k.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"born":%d,"KvTotal":%d}`, k.startTimeMs(), kvCapacity)
		return
	}
	k.recordArrival(w, r)
	id := r.Header.Get("Verbenadale-Request-Id")
	if id != "" {
		w.Header().Set("Verbenadale-Request-Id", id)
	}
	if want := r.Header.Get("Verbenadale-Expect-Instance"); want != "" && want != k.cfg.ID {
		w.Header().Set("Verbenadale-Instance-Id", k.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if k.asksForRest(w) {
		return
	}
	f := k.beginRequest()
	if f == Shed || id == "" {
		w.Header().Set("Verbenadale-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		k.endRequest(r, false)
		return
	}
	if k.answerBroken(w, r, f, id) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		k.endRequest(r, false)
		return
	}
	k.recordRun(id, r.Header)
	if k.cfg.OnRun != nil {
		k.cfg.OnRun(Run{ID: id, From: k.cfg.eventsBefore(r), Fault: f})
	}
	defer k.endRequest(r, true)
	if end := k.endsUnder(r); end != nil {
		end(r)
		panic(http.ErrAbortHandler)
	}
	k.answer(w, r, f, id, body)
}

func (k *Worker) startTimeMs() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg.StartTimeMs
}

func (k *Worker) load() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", k.running, k.cfg.Slots)
}

func (k *Worker) beginRequest() Fault {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running++
	if len(k.faults) == 0 {
		return ""
	}
	f := k.faults[0]
	k.faults = k.faults[1:]
	return f
}

// RecordRun records a run at another worker with the same id.
func (k *Worker) RecordRun(id string) { k.recordRun(id, nil) }

func (k *Worker) recordRun(id string, h http.Header) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs[id]++
	k.headers = append(k.headers, h.Clone())
}

func (k *Worker) endRequest(r *http.Request, ran bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running = max(0, k.running-1)
	if ran && r.Context().Err() != nil {
		k.disconnects++
	}
}

func (k *Worker) answer(w http.ResponseWriter, r *http.Request, f Fault, id string, body []byte) {
	f, killed := f.cutKilled()
	asked := id
	switch f {
	case Reset:
		panic(http.ErrAbortHandler)
	case NoAnswer:
		<-r.Context().Done()
		return
	case WrongID:
		id = "of-somebody-else"
	case NoLength:
		w.Header().Set("Connection", "close")
	case Endless:
		writeEndlessHead(w)
		return
	}
	w.Header().Set("Verbenadale-Request-Id", id)
	if f != Unsigned {
		w.Header().Set("Verbenadale-Response-Seal", "seal-of-"+id)
	}
	status, _ := strconv.Atoi(string(f))
	if f == ServerError {
		status = http.StatusInternalServerError
	}
	if status > 0 {
		w.WriteHeader(status)
		fmt.Fprint(w, "failed")
		return
	}
	k.answerRun(w, r, f, killed, asked, body)
}

// answerRun sends an answer with success.
func (k *Worker) answerRun(w http.ResponseWriter, r *http.Request, f Fault, killed bool, id string, body []byte) {
	if end := k.endsUnderPart(r); end != nil {
		closeConn := k.beginAnswer(w)
		end(r)
		closeConn()
		panic(http.ErrAbortHandler)
	}
	if k.cfg.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	switch f {
	case PartOfHead, HeadAlone:
		k.stopInHead(w, f, killed)
	case Unframed:
		writeUnframed(w, StreamText(k.cfg.Events))()
		return
	}
	if k.cfg.Events > 0 {
		k.stream(k.openAnswer(w, id), r, f, killed)
		return
	}
	if !sleep(r, k.cfg.Work) {
		return
	}
	text := fmt.Sprintf("%s %s %s by %s", r.Method, r.RequestURI, body, k.cfg.ID)
	if f == LateAnswer {
		k.answerLate(w, text)
		return
	}
	if f == ExtraAnswer && !k.cfg.IsUnframed(id) {
		fmt.Fprint(w, text)
		k.writeExtraAnswer(w)
		return
	}
	k.writeCall(w, r, id, text, f, killed)
}

// writeExtraAnswer sends a complete answer and an unexpected second one.
func (k *Worker) writeExtraAnswer(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	format := "HTTP/1.1 200 OK\r\nVerbenadale-Request-Id: %s\r\nVerbenadale-Response-Seal: s\r\nContent-Length: 5\r\n\r\n%s"
	_, _ = fmt.Fprintf(c, format, w.Header().Get("Verbenadale-Request-Id"), "first")
	_, _ = fmt.Fprintf(c, format, "of-before", "extra")
	time.Sleep(k.cfg.EventInterval)
}

// writeEndlessHead sends header lines until the caller closes the connection.
func writeEndlessHead(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	line := []byte("X: " + strings.Repeat("x", 1<<10) + "\r\n")
	_, err = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for sent := 0; err == nil && sent < maxEndlessBytes; sent += len(line) {
		_, err = c.Write(line)
	}
}

// sleep waits for d. It returns false if the caller has disconnected.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	defer cancel()
	<-ctx.Done()
	return r.Context().Err() == nil
}
