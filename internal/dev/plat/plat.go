// Package plat is a fake of the platform's service for development and tests: an
// in-memory key-value store with compare-and-swap, watches and leases, the list of
// hosts, and the directory for clients. It can simulate failures. docs/platform.md
// describes the protocol.
//
// # Usage
//
//	srv := plat.New()
//	http.ListenAndServe(addr, srv)
//
// A test in the same process sets faults directly, others with PUT /dev/faults:
//
//	srv.SetFaults(plat.Faults{LoseNext: 1})
package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Server is the fake service.
type Server struct {
	// Now returns the time that leases and the lag of the host list are based on.
	Now func() time.Time
	mux *http.ServeMux

	mu       sync.Mutex
	seq      store.Version
	values   map[string]value
	leases   map[store.LeaseID]lease
	fence    ident.Fence
	listings map[string]listing
	hosts    []hostList
	changed  chan struct{}
	faults   Faults
	losses   losses
	// remainingCalls counts down the calls that succeed before DownAfter takes effect.
	remainingCalls int
	counts         Counts
}

// value is a stored value and its lease, if any.
type value struct {
	store.Value
	lease store.LeaseID
}

// New returns an empty service.
func New() *Server {
	s := &Server{
		Now:      time.Now,
		mux:      http.NewServeMux(),
		values:   make(map[string]value),
		leases:   make(map[store.LeaseID]lease),
		listings: make(map[string]listing),
		changed:  make(chan struct{}),
		counts:   Counts{},
	}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.get)
	s.handleWrite("PUT /v1/kv/{key}", "put", s.put)
	s.handleWrite("DELETE /v1/kv/{key}", "delete", s.remove)
	s.handleWrite("POST /v1/leases", "grant", s.grant)
	s.handleWrite("PUT /v1/leases/{id}", "keepAlive", s.keepAlive)
	s.handleWrite("DELETE /v1/leases/{id}", "revoke", s.revoke)
	s.handleWrite("PUT /v1/directory/{entry}", "register", s.register)
	s.mux.HandleFunc("GET /v1/directory", s.directory)
	s.mux.HandleFunc("GET /v1/hosts", s.getHosts)
	s.mux.HandleFunc("PUT /dev/hosts", s.putHosts)
	s.mux.HandleFunc("PUT /dev/faults", s.putFaults)
	s.mux.HandleFunc("POST /dev/lapse", s.postLapse)
	s.mux.HandleFunc("GET /dev/counts", s.getCounts)
	s.mux.HandleFunc("GET /dev/values", s.getValues)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// result is the reply to a write.
type result struct {
	status int
	body   any
}

// handleWrite registers a write. A call reads the body, applies the faults,
// executes the write under the lock, and drops the reply if a fault requires it.
func (s *Server) handleWrite(pattern, op string, write func(r *http.Request, body []byte) result) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		s.admit(r, op)
		s.mu.Lock()
		s.expire()
		res := write(r, body)
		s.notify()
		lose := s.losses.lose(s.faults)
		s.mu.Unlock()
		if lose {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, res.status, res.body)
	})
}

// notify wakes up the watches. The caller holds the lock.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	wait := time.Duration(queryNumber(r, "waitMs")) * time.Millisecond
	op := "get"
	if wait > 0 {
		op = "watch"
	}
	s.admit(r, op)
	after := store.Version(queryNumber(r, "after"))
	deadline := time.Now().Add(wait)
	for {
		v, ok, changed := s.lookup(r.PathValue("key"))
		if ok && v.Version > after {
			writeJSON(w, http.StatusOK, v)
			return
		}
		if wait == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !waitFor(r.Context(), changed, time.Until(deadline)) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		s.abortIfRefused(r)
	}
}

// lookup returns the value of a key and a channel that is closed at the next
// change.
func (s *Server) lookup(key string) (store.Value, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	v, ok := s.values[key]
	return v.Value, ok, s.changed
}

func (s *Server) put(r *http.Request, body []byte) result {
	key := r.PathValue("key")
	id := store.LeaseID(r.URL.Query().Get("lease"))
	if id != "" && !s.leaseExists(id) {
		return result{status: http.StatusGone}
	}
	if s.values[key].Version != store.Version(queryNumber(r, "expect")) {
		return result{status: http.StatusConflict}
	}
	s.seq++
	v := store.Value{Version: s.seq, Body: body}
	s.values[key] = value{Value: v, lease: id}
	return result{status: http.StatusOK, body: store.Value{Version: v.Version}}
}

func (s *Server) remove(r *http.Request, _ []byte) result {
	key := r.PathValue("key")
	if s.values[key].Version != store.Version(queryNumber(r, "expect")) {
		return result{status: http.StatusConflict}
	}
	delete(s.values, key)
	return result{status: http.StatusOK, body: store.Value{}}
}

func queryNumber(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Peek returns a value without counting a call, applying faults or expiring
// leases, for tests.
func (s *Server) Peek(key string) (store.Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v.Value, ok
}
