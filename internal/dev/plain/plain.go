// Package plain is a fake plain service for development and tests, such as one
// that publishes notices or books vans. It keeps a ledger of all executed calls,
// so that a test can compare the runs with the answers that callers received.
//
// # Usage
//
//	svc := plain.New(plain.Config{ID: "uvs-publish-1", Service: "publish"})
//	http.ListenAndServe(addr, svc)
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Call is the body of a call. Job identifies it in the ledger; the caller chooses
// it.
type Call struct {
	Job  string `json:"job"`
	Text string `json:"text"`
}

// Config describes the service.
type Config struct {
	ID          ident.TargetID
	Incarnation ident.Incarnation
	Service     string
	// Slots is reported in the load and not enforced.
	Slots int
	// Work is the duration of a call.
	Work time.Duration
}

// Faults are the simulated failures. The zero value means none.
type Faults struct {
	// DieAfterRun closes the connection of every n-th call after it ran and before its
	// answer; DieBeforeRun does so before it runs.
	DieAfterRun  int `json:"dieAfterRun"`
	DieBeforeRun int `json:"dieBeforeRun"`
	// Refuse rejects every call as not run.
	Refuse bool `json:"refuse"`
	// WorkMs, if positive, replaces the duration of a call.
	WorkMs int64 `json:"workMs"`
	// AnswerMs delays the answer of a call after it ran.
	AnswerMs int64 `json:"answerMs"`
}

// Ledger holds counters of the service's work.
type Ledger struct {
	// Jobs counts the runs by job.
	Jobs map[string]int `json:"jobs"`
	// Calls counts all calls, whether they ran or not. Late counts those that arrived
	// while draining, and LateMs is the time from the start of draining to the last
	// of these calls.
	Calls  int   `json:"calls"`
	Late   int   `json:"late"`
	LateMs int64 `json:"lateMs"`
}

// Service is the fake service.
type Service struct {
	cfg   Config
	mux   *http.ServeMux
	clock *clock.Service

	mu            sync.Mutex
	faults        Faults
	running       int
	loadSeq       uint64
	draining      bool
	drainingSince time.Time
	ledger        Ledger
}

// New returns a service.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, mux: http.NewServeMux(), clock: clock.New(), ledger: Ledger{Jobs: make(map[string]int)}}
	s.mux.HandleFunc("GET /load", s.getLoad)
	s.mux.HandleFunc("PUT /dev/faults", s.putFaults)
	s.mux.HandleFunc("GET /dev/ledger", s.getLedger)
	s.mux.HandleFunc("POST /dev/leave", s.postLeave)
	s.mux.HandleFunc("/", s.call)
	return s
}

// Stop stops the service.
func (s *Service) Stop() { s.clock.Stop() }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Drain makes the service refuse new calls and finish those in progress.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.drainingSince = time.Now()
}

// Idle reports whether no call is in progress.
func (s *Service) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0
}

func (s *Service) postLeave(http.ResponseWriter, *http.Request) { s.Drain() }

// Result is the answer to a call that ran.
type Result struct {
	Job  string `json:"job"`
	Runs int    `json:"runs"`
	Size int    `json:"size"`
	By   string `json:"by"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n, faults := s.beginCall()
	defer s.endCall()
	if reason := s.refusal(faults); reason != "" {
		w.Header().Set(target.HeaderNotRun, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.DieBeforeRun > 0 && n%faults.DieBeforeRun == 0 {
		panic(http.ErrAbortHandler)
	}
	s.work(faults)
	var c Call
	_ = json.Unmarshal(body, &c)
	runs := s.recordRun(c.Job)
	if faults.DieAfterRun > 0 && n%faults.DieAfterRun == 0 {
		panic(http.ErrAbortHandler)
	}
	s.wait(time.Duration(faults.AnswerMs) * time.Millisecond)
	w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Result{Job: c.Job, Runs: runs, Size: len(body), By: string(s.cfg.ID)})
}

func (s *Service) beginCall() (int, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.ledger.Calls++
	return s.ledger.Calls, s.faults
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) refusal(f Faults) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.ledger.Late++
		s.ledger.LateMs = time.Since(s.drainingSince).Milliseconds()
		return "leaving"
	}
	if f.Refuse {
		return "true"
	}
	return ""
}

// work waits for the duration of a call. It is not cancelled when the caller
// disconnects: a booking in progress is completed.
func (s *Service) work(f Faults) {
	d := s.cfg.Work
	if f.WorkMs > 0 {
		d = time.Duration(f.WorkMs) * time.Millisecond
	}
	s.wait(d)
}

func (s *Service) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	sub := s.clock.At(s.clock.Now().Add(d))
	<-sub.C()
}

func (s *Service) recordRun(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Jobs[job]++
	return s.ledger.Jobs[job]
}

func (s *Service) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.loadSeq++
	ld := event.Load{
		Target: s.cfg.ID, Incarnation: s.cfg.Incarnation, Seq: s.loadSeq,
		Slots: s.cfg.Slots, Running: s.running, Draining: s.draining,
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(ld)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.ledger)
}
