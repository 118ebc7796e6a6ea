package worker

import (
	"net/http"
	"slices"
	"time"
)

// Rest is how a worker turns requests away and asks for rest.
type Rest struct {
	// RetryAfter holds the values of the header of that name. Without any the worker takes requests.
	RetryAfter []string
	// MayHaveRun leaves out the statement that the request has not run.
	MayHaveRun bool
}

// SetRest makes the worker turn all requests away, probes excepted.
func (k *Worker) SetRest(r Rest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rest = r
}

// RestsAsked returns the times at which the worker has asked for rest.
func (k *Worker) RestsAsked() []time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.restsAsked)
}

// SetLeaving makes the worker say in all its answers that it leaves.
func (k *Worker) SetLeaving(header string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leavingHeader = header
}

// asksForRest turns a request away if SetRest says so, and reports whether it did.
func (k *Worker) asksForRest(w http.ResponseWriter) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.rest.RetryAfter) == 0 {
		return false
	}
	k.restsAsked = append(k.restsAsked, time.Now())
	w.Header()["Retry-After"] = k.rest.RetryAfter
	if !k.rest.MayHaveRun {
		w.Header().Set("Verbenadale-Not-Executed", "1")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// announceLeaving adds to an answer that the worker leaves.
func (k *Worker) announceLeaving(w http.ResponseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leavingHeader != "" {
		w.Header().Set(k.leavingHeader, "1")
	}
}
