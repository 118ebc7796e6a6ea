// Package plain is a stand-in for a plain service, such as one that publishes
// notices or books vans, for development and tests. It keeps a ledger of every
// call that it ran, so that a test can count runs against what callers
// got.
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

// Call is the body of a call. Job names it in the ledger; it is the caller's
// name and not the system's.
type Call struct {
	Job  string `json:"job"`
	Text string `json:"text"`
}

// Config describes the service.
type Config struct {
	ID          ident.TargetID
	Incarnation ident.Incarnation
	Service     string
	Slots       int
	// Work is how long a call takes.
	Work time.Duration
}

// Faults is the failures that the service simulates.
type Faults struct {
	// DieAfterRun breaks the connection of every n-th call after it has run,
	// before the answer; DieBeforeRun before it runs.
	DieAfterRun  int `json:"dieAfterRun"`
	DieBeforeRun int `json:"dieBeforeRun"`
	// Refuse answers every call as not run.
	Refuse bool `json:"refuse"`
	// WorkMs replaces the time that a call takes.
	WorkMs int64 `json:"workMs"`
	// AnswerMs holds the answer of a call back after it has run.
	AnswerMs int64 `json:"answerMs"`
}

// Ledger is what the service has run.
type Ledger struct {
	// Jobs counts the runs by job.
	Jobs map[string]int `json:"jobs"`
	// Calls counts all calls, run or not.
	Calls  int   `json:"calls"`
	Late   int   `json:"late"`
	LateMs int64 `json:"lateMs"`
}

// Service is the stand-in.
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

// Stop ends the service.
func (s *Service) Stop() { s.clock.Stop() }

// ServeHTTP serves one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Drain makes the service refuse new calls and finish those that run.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.drainingSince = time.Now()
}

// Idle reports whether no call runs.
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
	if why := s.refusal(faults); why != "" {
		w.Header().Set(target.HeaderNotRun, why)
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

// work takes the time that a call takes. The caller's leaving does not end
// it: a booking that has begun is made.
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
