package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"verbenadale.example/verbenadale/internal/target"
)

// Faults of single answers.
const (
	// FaultCut closes the connection in the middle of the answer.
	FaultCut = "cut"
	// FaultShort ends a stream early without an error, or truncates the JSON of a
	// complete answer.
	FaultShort = "short"
	// FaultCrossed sends the answer to the previous request.
	FaultCrossed = "crossed"
	// FaultMixed switches to the answer to the previous request in the middle of a
	// stream.
	FaultMixed = "mixed"
	// FaultTwice sends one event of a stream twice.
	FaultTwice = "twice"
	// FaultError answers with status 500.
	FaultError = "error"
)

// Faults are the simulated failures. The zero value means none.
type Faults struct {
	// Every n-th answer has a fault, with n = Every; zero means none. The faults in
	// Kinds are used in turn.
	Every int      `json:"every"`
	Kinds []string `json:"kinds"`
	// Refuse rejects every request as not run.
	Refuse bool `json:"refuse"`
	// Frozen stops batch processing.
	Frozen bool `json:"frozen"`
	// IgnoreResume starts every stream from its first token.
	IgnoreResume bool `json:"ignoreResume"`
}

// kindFor returns the fault of the n-th answer, or the empty string.
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

// Ledger holds counters of the engine's work.
type Ledger struct {
	Ran       int `json:"ran"`
	Cancelled int `json:"cancelled"`
	// Blocks counts prompt blocks, Hits those found in the prefix cache.
	Blocks int `json:"blocks"`
	Hits   int `json:"hits"`
	Orders int `json:"orders"`
	// BusyMs is the time in milliseconds for which slots were occupied, summed over
	// all slots.
	BusyMs float64 `json:"busyMs"`
	// DrainingSince is the time at which draining started. Late counts the requests
	// that arrived after it; LateMs is the time from the start of draining to the
	// last of these requests.
	DrainingSince time.Time `json:"leavingSince"`
	Late          int       `json:"late"`
	LateMs        int64     `json:"lateMs"`
	// Attempts and Requests count the received requests by attempt id and by request
	// id. Faults counts the faulty answers by fault.
	Attempts map[string]int `json:"attempts"`
	Requests map[string]int `json:"requests"`
	Faults   map[string]int `json:"faults"`
}

// maxAttempts limits the number of distinct attempt ids. Once it is reached, the
// ledger counts no further requests by id.
const maxAttempts = 200_000

func (l *Ledger) recordRequest(r *http.Request, draining bool) {
	if draining {
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
