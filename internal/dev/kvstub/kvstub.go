// Package kvstub is a stand-in for the key-value store of the users' platform,
// with the faults that its page names.
//
// # Usage
//
//	st := kvstub.New()
//	defer st.Stop()
//	srv := httptest.NewServer(st)
//	st.Put("op/config", doc)
//	st.Fail(kvstub.Busy)
//
// Keys have revisions from one counter, leases take their keys with them, and a
// watch waits for what comes after a revision. All is in memory.
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

// Failure is a way in which the store fails its callers.
type Failure string

// The failures.
const (
	None Failure = ""
	// Busy answers 503 and does nothing, Silent says nothing, Reset closes the
	// connection, Many answers 429.
	Busy        Failure = "busy"
	Silent      Failure = "silent"
	Reset       Failure = "reset"
	RateLimited Failure = "many"
	// ReplyLost does what is asked and does not answer writes.
	ReplyLost Failure = "lost"
)

// Bounds of the stand-in.
const (
	maxPageItems    = 500
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

// Server is the store. Use New.
type Server struct {
	mu        sync.Mutex
	revision  uint64
	lastLease uint64
	items     map[string]item
	history   []change
	// compactedRevision is the revision up to which the history has been dropped.
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

// Stop ends the calls that wait.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

// Put writes a key as the operator or a worker does.
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

// SetFailure has all calls fail from now on. FailHost has those of one IP number.
func (s *Server) SetFailure(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = f
}

// SetHostFailure has the calls of one IP number fail from now on.
func (s *Server) SetHostFailure(ip string, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostFailures[ip] = f
}

// SetDelay delays each answer.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Compact drops the history, and cuts the watches.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
	s.notify()
}

// MuteWatches has the watches that wait now never be answered, while new calls are.
func (s *Server) MuteWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muteCount++
}

// Calls returns how often a path was called.
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

// expire ends the leases that are over.
func (s *Server) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease. One that is not there has no keys: those without a lease stay.
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

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	fail, slow := s.failure, s.delay
	if f, ok := s.hostFailures[host]; ok && f != None {
		fail = f
	}
	s.calls[r.URL.Path]++
	s.expire()
	s.mu.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	switch fail {
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
	if fail == ReplyLost && r.Method != http.MethodGet {
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
	for _, key := range keys {
		out.Items = append(out.Items, s.items[key])
	}
	writeJSON(w, out)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := parseNumber(q.Get("after"))
	wait := min(time.Duration(parseNumber(q.Get("WaitMs")))*time.Millisecond, maxWatchWait)
	until, cancel := context.WithTimeout(r.Context(), wait)
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
		at, news := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, watchResponse{events, at})
			return
		}
		select {
		case <-news:
		case <-until.Done():
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
	var ask txnRequest
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range ask.ExpectRevision {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, wr := range ask.Writes {
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[wr.Lease]; wr.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, wr := range ask.Writes {
		s.put(wr.Key, wr.Value, wr.Lease)
	}
	for _, key := range ask.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]uint64{"Revision": s.revision})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var ask struct{ TtlMs int64 } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(ask.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	writeJSON(w, map[string]int64{"Lease": int64(s.lastLease), "TtlMs": ask.TtlMs})
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
