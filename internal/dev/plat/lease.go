package plat

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
)

// lease is one lease and its expiry time.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// listing is the directory record of an entry host and the lease it depends on.
type listing struct {
	store.Listing
	lease store.LeaseID
}

// grantResponse is the reply to a grant.
type grantResponse struct {
	ID    store.LeaseID `json:"id"`
	Fence ident.Fence   `json:"fence"`
	TTLMs int64         `json:"ttlMs"`
}

func (s *Server) grant(r *http.Request, _ []byte) result {
	ttl := time.Duration(queryNumber(r, "ttlMs")) * time.Millisecond
	s.fence++
	id := store.LeaseID(fmt.Sprintf("lease-%d", s.fence))
	s.leases[id] = lease{ttl: ttl, expiresAt: s.Now().Add(ttl)}
	return result{status: http.StatusOK, body: grantResponse{ID: id, Fence: s.fence, TTLMs: ttl.Milliseconds()}}
}

func (s *Server) keepAlive(r *http.Request, _ []byte) result {
	id := store.LeaseID(r.PathValue("id"))
	if !s.leaseExists(id) {
		return result{status: http.StatusGone}
	}
	l := s.leases[id]
	l.expiresAt = s.Now().Add(l.ttl)
	s.leases[id] = l
	return result{status: http.StatusOK}
}

func (s *Server) revoke(r *http.Request, _ []byte) result {
	s.endLease(store.LeaseID(r.PathValue("id")))
	return result{status: http.StatusOK}
}

func (s *Server) leaseExists(id store.LeaseID) bool {
	_, ok := s.leases[id]
	return ok
}

// expire ends the leases whose expiry time has passed. The caller holds the lock.
func (s *Server) expire() {
	now := s.Now()
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with its values and listings. The caller holds the lock.
func (s *Server) endLease(id store.LeaseID) {
	delete(s.leases, id)
	maps.DeleteFunc(s.values, func(_ string, v value) bool { return v.lease == id })
	maps.DeleteFunc(s.listings, func(_ string, l listing) bool { return l.lease == id })
}

func (s *Server) register(r *http.Request, body []byte) result {
	id := store.LeaseID(r.URL.Query().Get("lease"))
	if !s.leaseExists(id) {
		return result{status: http.StatusGone}
	}
	var ls store.Listing
	if err := json.Unmarshal(body, &ls); err != nil {
		return result{status: http.StatusBadRequest}
	}
	s.listings[r.PathValue("entry")] = listing{Listing: ls, lease: id}
	return result{status: http.StatusOK}
}

func (s *Server) directory(w http.ResponseWriter, r *http.Request) {
	s.admit(r, "directory")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	list := []store.Listing{}
	for _, name := range slices.Sorted(maps.Keys(s.listings)) {
		list = append(list, s.listings[name].Listing)
	}
	writeJSON(w, http.StatusOK, list)
}
