package plat

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/store"
)

// Faults are the simulated failures. The zero value means none.
type Faults struct {
	// Down closes the connection of every call before it takes effect, and those of
	// waiting watches.
	Down bool `json:"down,omitempty"`
	// DownAfter sets Down after that many more calls.
	DownAfter int `json:"downAfter,omitempty"`
	// DelayMs delays every call before it takes effect. A write takes effect even if
	// its caller has disconnected by then.
	DelayMs int64 `json:"delayMs,omitempty"`
	// LoseNext closes the connections of that many writes after they have taken
	// effect.
	LoseNext int `json:"loseNext,omitempty"`
	// LoseShare is the probability that a write loses its reply in the same way; Seed
	// seeds the random numbers.
	LoseShare float64 `json:"loseShare,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
	// HostsLagMs is the minimum age of the list of hosts that is served.
	HostsLagMs int64 `json:"hostsLagMs,omitempty"`
	// Refuse lists the IP addresses of callers whose connections are closed.
	Refuse []string `json:"refuse,omitempty"`
}

// Counts holds the number of calls by operation. A watch counts once.
type Counts map[string]int

// losses decides which replies are lost.
type losses struct {
	remaining int
	rng       *rand.Rand
}

func (l *losses) lose(f Faults) bool {
	if l.remaining > 0 {
		l.remaining--
		return true
	}
	return l.rng != nil && l.rng.Float64() < f.LoseShare
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.remainingCalls = f.DownAfter
	s.losses = losses{remaining: f.LoseNext, rng: rand.New(rand.NewPCG(f.Seed, f.Seed))}
	s.notify()
}

// Counts returns the number of calls since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// ExpireLeases ends all leases immediately.
func (s *Server) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// admit counts a call and applies the faults that precede its effect.
func (s *Server) admit(r *http.Request, op string) {
	s.mu.Lock()
	s.counts[op]++
	s.countDown()
	delay := time.Duration(s.faults.DelayMs) * time.Millisecond
	s.mu.Unlock()
	s.abortIfRefused(r)
	if delay > 0 {
		// The request's context is not used: a slow service does not notice
		// that its caller has disconnected, and the write takes effect late.
		waitFor(context.Background(), nil, delay)
		s.abortIfRefused(r)
	}
}

// countDown sets Down once the calls allowed by DownAfter are used up. The caller
// holds the lock.
func (s *Server) countDown() {
	if s.faults.DownAfter == 0 {
		return
	}
	if s.remainingCalls == 0 {
		s.faults.Down = true
		return
	}
	s.remainingCalls--
}

// abortIfRefused closes the connection if the service is down or the caller is
// refused.
func (s *Server) abortIfRefused(r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	refused := s.faults.Down || slices.Contains(s.faults.Refuse, host)
	s.mu.Unlock()
	if refused {
		panic(http.ErrAbortHandler)
	}
}

// waitFor waits for the channel. It returns false if the timeout expires or the
// context is cancelled first.
func waitFor(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) postLapse(http.ResponseWriter, *http.Request) { s.ExpireLeases() }

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

// getValues returns all keys and values, for tests that search the stored data.
func (s *Server) getValues(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]store.Value, len(s.values))
	for key, v := range s.values {
		all[key] = v.Value
	}
	writeJSON(w, http.StatusOK, all)
}

// hostList is a list of hosts and the time at which it was set.
type hostList struct {
	store.Hosts
	setAt time.Time
}

// SetHosts replaces the list of hosts. A service with a lag serves the previous
// lists until the lag has passed.
func (s *Server) SetHosts(hs store.Hosts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hs.Version = uint64(len(s.hosts)) + 1
	s.hosts = append(s.hosts, hostList{Hosts: hs, setAt: s.Now()})
}

// visibleHosts returns the newest list that is at least as old as the lag.
func (s *Server) visibleHosts() store.Hosts {
	cutoff := s.Now().Add(-time.Duration(s.faults.HostsLagMs) * time.Millisecond)
	for _, l := range slices.Backward(s.hosts) {
		if !l.setAt.After(cutoff) {
			return l.Hosts
		}
	}
	return store.Hosts{}
}

func (s *Server) getHosts(w http.ResponseWriter, r *http.Request) {
	s.admit(r, "hosts")
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.visibleHosts())
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var hs store.Hosts
	if err := json.NewDecoder(r.Body).Decode(&hs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(hs)
}
