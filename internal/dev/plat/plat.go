// Package plat is a stand-in for the platform's service, for development and
// tests: a small key-value store with compare-and-swap, watches and leases,
// the list of hosts and the directory for clients, all in memory. It can be
// told to fail.
//
// # Usage
//
//	srv := plat.New()
//	http.ListenAndServe(addr, srv)
package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenadale.example/verbenadale/internal/store"
)

// maxValue is the largest value that the service holds.
const maxValue = 1 << 20

// Server is the stand-in.
type Server struct {
	mux *http.ServeMux

	mu      sync.Mutex
	values  map[string]store.Value
	changed chan struct{}
	hosts   store.Hosts
}

// New returns an empty service.
func New() *Server {
	s := &Server{
		mux:     http.NewServeMux(),
		values:  make(map[string]store.Value),
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.get)
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.put)
	s.mux.HandleFunc("GET /v1/hosts", s.getHosts)
	s.mux.HandleFunc("PUT /dev/hosts", s.putHosts)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after := queryNumber(r, "after")
	wait := time.Duration(queryNumber(r, "waitMs")) * time.Millisecond
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		v, ok := s.values[key]
		changed := s.changed
		s.mu.Unlock()
		if ok && uint64(v.Version) > after {
			writeJSON(w, v)
			return
		}
		if wait == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !s.await(r, changed, time.Until(deadline)) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func (s *Server) await(r *http.Request, changed <-chan struct{}, left time.Duration) bool {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	expect := store.Version(queryNumber(r, "expect"))
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.values[key]
	if old.Version != expect {
		w.WriteHeader(http.StatusConflict)
		return
	}
	v := store.Value{Version: old.Version + 1, Body: body}
	s.values[key] = v
	close(s.changed)
	s.changed = make(chan struct{})
	writeJSON(w, store.Value{Version: v.Version})
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.hosts)
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var hs store.Hosts
	if err := json.NewDecoder(r.Body).Decode(&hs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hs.Version = s.hosts.Version + 1
	s.hosts = hs
}

func queryNumber(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
