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
	Busy   Failure = "busy"
	Silent Failure = "silent"
	Reset  Failure = "reset"
	Many   Failure = "many"
	// Lost does what is asked and does not answer writes.
	Lost Failure = "lost"
)

// Bounds of the stand-in.
const (
	pageItems = 500
	maxWait   = 30 * time.Second
	firstRev  = 7
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
	ttl   time.Duration
	until time.Time
}

// Server is the store. Use New.
type Server struct {
	mu      sync.Mutex
	rev     uint64
	lease   uint64
	items   map[string]item
	history []change
	// floor is the revision up to which the history has been dropped.
	floor  uint64
	leases map[uint64]*lease
	// news is closed at the next change.
	news   chan struct{}
	fail   Failure
	hosts  map[string]Failure
	slow   time.Duration
	calls  map[string]int
	muted  int
	closed chan struct{}
	done   sync.Once
}

// New returns an empty store.
func New() *Server {
	return &Server{
		rev: firstRev, items: make(map[string]item), leases: make(map[uint64]*lease), news: make(chan struct{}),
		hosts: make(map[string]Failure), calls: make(map[string]int), closed: make(chan struct{}),
	}
}

// Stop ends the calls that wait.
func (s *Server) Stop() { s.done.Do(func() { close(s.closed) }) }

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

// Fail has all calls fail from now on. FailHost has those of one IP number.
func (s *Server) Fail(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = f
}

// FailHost has the calls of one IP number fail from now on.
func (s *Server) FailHost(ip string, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[ip] = f
}

// Slow delays each answer.
func (s *Server) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Compact drops the history, and cuts the watches.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.floor = s.rev
	s.wake()
}

// Mute has the watches that wait now never be answered, while new calls are.
func (s *Server) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted++
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
	s.rev++
	it := item{Key: key, Value: val, Revision: s.rev, Created: s.rev, Lease: id}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{Key: key, Value: val, Revision: s.rev, Created: it.Created, Lease: id})
	s.wake()
	return s.rev
}

func (s *Server) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, change{Key: key, Revision: s.rev, Removed: true})
	s.wake()
}

func (s *Server) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

// expire ends the leases that are over.
func (s *Server) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.end(id)
		}
	}
}

// end ends a lease. One that is not there has no keys: those without a lease stay.
func (s *Server) end(id uint64) {
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
	fail, slow := s.fail, s.slow
	if f, ok := s.hosts[host]; ok && f != None {
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
	case Many:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		panic(http.ErrAbortHandler)
	}
	s.route(w, r)
	if fail == Lost && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.key(w, r)
	case path == "/-/kv-range":
		s.page(w, r)
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.mu.Lock()
		s.end(number(strings.TrimPrefix(path, "/-/kv-lease-end/")))
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		At uint64
	}{it, s.rev})
}

func (s *Server) page(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items   []item `json:"items"`
		HasMore bool
		At      uint64
	}{Items: []item{}, At: s.rev}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > pageItems {
		keys, out.HasMore = keys[:pageItems], true
	}
	for _, key := range keys {
		out.Items = append(out.Items, s.items[key])
	}
	answer(w, out)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := number(q.Get("after"))
	wait := min(time.Duration(number(q.Get("WaitMs")))*time.Millisecond, maxWait)
	until, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	s.mu.Lock()
	muted := s.muted
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if muted != s.muted {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if after < s.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.since(q.Get("Prefix"), after)
		at, news := s.rev, s.news
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, watched{events, at})
			return
		}
		select {
		case <-news:
		case <-until.Done():
			answer(w, watched{[]change{}, at})
			return
		case <-s.closed:
			return
		}
	}
}

type watched struct {
	Events []change `json:"events"`
	At     uint64
}

func (s *Server) since(prefix string, after uint64) []change {
	var out []change
	for _, c := range s.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out
}

type txn struct {
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
	var ask txn
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
	answer(w, map[string]uint64{"Revision": s.rev})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var ask struct{ TtlMs int64 } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	ttl := time.Duration(ask.TtlMs) * time.Millisecond
	s.leases[s.lease] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, map[string]int64{"Lease": int64(s.lease), "TtlMs": ask.TtlMs})
}

func (s *Server) keep(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[number(id)]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
}

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
