// Package kvstub is a fake of the key-value store of the users' platform. It
// simulates the failures that the platform documents.
//
// # Usage
//
//	st := kvstub.New()
//	defer st.Stop()
//	srv := httptest.NewServer(st)
//	st.Put("op/config", doc)
//	st.SetFailure(kvstub.Busy)
//
// The revisions of all keys come from one counter. When a lease ends, its keys are
// removed. A watch waits for changes after a revision. All data is kept in memory.
package kvstub

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Failure is a way in which calls fail.
type Failure string

// Failures.
const (
	None Failure = ""
	// These have no effect on the data: Busy answers 503, Silent does not answer,
	// Reset closes the connection, and RateLimited answers 429.
	Busy        Failure = "busy"
	Silent      Failure = "silent"
	Reset       Failure = "reset"
	RateLimited Failure = "many"
	// ReplyLost executes writes without answering them.
	ReplyLost Failure = "lost"
)

// Limits of the fake, and the revision of an empty store.
const (
	maxPageItems    = 500
	maxPageBytes    = 1 << 20
	maxWatchWait    = 30 * time.Second
	initialRevision = 7
)

type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
}

type change struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Removed  bool   `json:",omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Server is the fake store. Create it with New.
type Server struct {
	mu        sync.Mutex
	revision  uint64
	lastLease uint64
	items     map[string]item
	history   []change
	// compactedRevision is the revision up to which the history was dropped.
	compactedRevision uint64
	leases            map[uint64]*lease
	// changed is closed at the next change.
	changed      chan struct{}
	failure      Failure
	hostFailures map[string]Failure
	delay        time.Duration
	calls        map[string]int
	muteCount    int
	stopped      chan struct{}
	stopOnce     sync.Once
}

// New returns an empty store.
func New() *Server {
	return &Server{
		revision: initialRevision, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{}),
		hostFailures: make(map[string]Failure), calls: make(map[string]int), stopped: make(chan struct{}),
	}
}

// Stop ends the waiting calls, except watches muted by MuteWatches, which wait until
// their caller disconnects.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

// Put writes a key, as the operator or a worker would, and returns its revision.
func (s *Server) Put(key string, val []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, val, 0)
}

// Remove removes a key.
func (s *Server) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// SetFailure makes all further calls fail in the given way; None ends it.
func (s *Server) SetFailure(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = f
}

// SetHostFailure makes further calls from one IP address fail in the given way.
func (s *Server) SetHostFailure(ip string, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostFailures[ip] = f
}

// SetDelay sets a delay that precedes each call.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Compact drops the history and ends the watches of older revisions.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
	s.notify()
}

// MuteWatches leaves the watches that are waiting now unanswered, while new calls
// are answered.
func (s *Server) MuteWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muteCount++
}

// Calls returns the number of calls to a path.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Get returns the value of a key.
func (s *Server) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	return it.Value, ok
}

func (s *Server) put(key string, val []byte, id uint64) uint64 {
	s.revision++
	it := item{Key: key, Value: val, Revision: s.revision, Created: s.revision, Lease: id}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{Key: key, Value: val, Revision: s.revision, Created: it.Created, Lease: id})
	s.notify()
	return s.revision
}

func (s *Server) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, change{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose TTL has passed. The caller holds the lock.
func (s *Server) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. An unknown id has no effect; in
// particular, id 0 does not remove the keys without a lease.
func (s *Server) endLease(id uint64) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	failure, delay := s.failure, s.delay
	if f, ok := s.hostFailures[host]; ok && f != None {
		failure = f
	}
	s.calls[r.URL.Path]++
	s.expire()
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	switch failure {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		select {
		case <-r.Context().Done():
		case <-s.stopped:
		}
		panic(http.ErrAbortHandler)
	}
	s.route(w, r)
	if failure == ReplyLost && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.getKey(w, r)
	case path == "/-/kv-range":
		s.getRange(w, r)
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.keepAlive(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(parseNumber(strings.TrimPrefix(path, "/-/kv-lease-end/")))
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		At uint64
	}{it, s.revision})
}

func (s *Server) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items   []item `json:"items"`
		HasMore bool
		At      uint64
	}{Items: []item{}, At: s.revision}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > maxPageItems {
		keys, out.HasMore = keys[:maxPageItems], true
	}
	size := 0
	for _, key := range keys {
		it := s.items[key]
		if size += len(it.Value); size > maxPageBytes && len(out.Items) > 0 {
			out.HasMore = true
			break
		}
		out.Items = append(out.Items, it)
	}
	writeJSON(w, out)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := parseNumber(q.Get("after"))
	wait := min(time.Duration(parseNumber(q.Get("WaitMs")))*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	s.mu.Lock()
	muted := s.muteCount
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if muted != s.muteCount {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if after < s.compactedRevision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.changesAfter(q.Get("Prefix"), after)
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, watchResponse{events, at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			writeJSON(w, watchResponse{[]change{}, at})
			return
		case <-s.stopped:
			return
		}
	}
}

type watchResponse struct {
	Events []change `json:"events"`
	At     uint64
}

func (s *Server) changesAfter(prefix string, after uint64) []change {
	var out []change
	for _, c := range s.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out
}

type txnRequest struct {
	ExpectRevision []struct {
		Key      string
		Revision uint64
	}
	Writes []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	Remove []string
}

func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range req.ExpectRevision {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, wr := range req.Writes {
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[wr.Lease]; wr.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, wr := range req.Writes {
		s.put(wr.Key, wr.Value, wr.Lease)
	}
	for _, key := range req.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]uint64{"Revision": s.revision})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var req struct{ TtlMs int64 } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(req.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	writeJSON(w, map[string]int64{"Lease": int64(s.lastLease), "TtlMs": req.TtlMs})
}

func (s *Server) keepAlive(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[parseNumber(id)]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
}

func parseNumber(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
