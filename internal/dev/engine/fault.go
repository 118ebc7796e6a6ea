package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"verbenadale.example/verbenadale/internal/target"
)

// The faults of single answers.
const (
	// FaultCut breaks the connection in the middle of the answer.
	FaultCut = "cut"
	// FaultShort ends the answer early as if it were whole.
	FaultShort = "short"
	// FaultCrossed sends the answer that belongs to the request before.
	FaultCrossed = "crossed"
	// FaultMixed goes on with the answer of the request before in the middle.
	FaultMixed = "mixed"
	// FaultTwice sends one event twice.
	FaultTwice = "twice"
	// FaultError answers with status 500.
	FaultError = "error"
)

// Faults is the failures that the engine simulates. The zero value is healthy.
type Faults struct {
	// Every n-th answer has the next of the Kinds.
	Every int      `json:"every"`
	Kinds []string `json:"kinds"`
	// Refuse answers every request as not run.
	Refuse bool `json:"refuse"`
	// Frozen stops the batch.
	Frozen bool `json:"frozen"`
	// IgnoreResume starts every stream from its first token.
	IgnoreResume bool `json:"ignoreResume"`
}

// kindFor returns the fault kindFor the n-th answer.
func (f Faults) kindFor(n int) string {
	if f.Every <= 0 || len(f.Kinds) == 0 || n%f.Every != 0 {
		return ""
	}
	return f.Kinds[(n/f.Every-1)%len(f.Kinds)]
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.wake()
}

// Ledger counts what the engine has done.
type Ledger struct {
	Ran       int `json:"ran"`
	Cancelled int `json:"cancelled"`
	// Blocks and Hits count prompt blocks and those found in the cache.
	Blocks int `json:"blocks"`
	Hits   int `json:"hits"`
	Orders int `json:"orders"`
	// BusyMs is the time for which slots were taken, summed over the slots.
	BusyMs float64 `json:"busyMs"`
	// DrainingSince is when the engine began to leave; LateMs is how long after
	// it the last new request came, and Late how many came.
	DrainingSince time.Time `json:"leavingSince"`
	Late          int       `json:"late"`
	LateMs        int64     `json:"lateMs"`
	// Attempts counts the requests by attempt, Requests the attempts by request,
	// and Faults the answers by fault.
	Attempts map[string]int `json:"attempts"`
	Requests map[string]int `json:"requests"`
	Faults   map[string]int `json:"faults"`
}

// maxAttempts bounds the attempts that are counted by name.
const maxAttempts = 200_000

func (l *Ledger) recordRequest(r *http.Request, leaving bool) {
	if leaving {
		l.Late++
		l.LateMs = time.Since(l.DrainingSince).Milliseconds()
	}
	if l.Attempts == nil {
		l.Attempts = make(map[string]int)
		l.Requests = make(map[string]int)
	}
	if len(l.Attempts) < maxAttempts {
		l.Attempts[r.Header.Get(target.HeaderAttempt)]++
		l.Requests[r.Header.Get(target.HeaderRequest)]++
	}
}

func (l *Ledger) recordFault(kind string) {
	if kind == "" {
		return
	}
	if l.Faults == nil {
		l.Faults = make(map[string]int)
	}
	l.Faults[kind]++
}

func (e *Engine) getLedger(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.ledger)
}
