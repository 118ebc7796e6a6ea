package rules

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind determines how the requests of a route may be retried after a
// failure.
type RouteKind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "nonIdempotent"
	// Streaming requests are answered by a stream of numbered events. They run
	// at most once unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Route selects the requests of a profile by host and path, and says how they
// may be attempted. Requests of a profile with a route need no ticket or
// idempotency key, even if they may run only once: the entry host treats each
// request from a caller as a new one. A request that is not Repeatable is not
// sent to a second target once it may have run.
type Route struct {
	Host string `json:"host"`
	// Prefix is a prefix of the path of each request. If several routes of a
	// host match, the one with the longest prefix is used.
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Resumable is set if another target may continue a stream after the last
	// event that was delivered.
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts bounds the number of targets that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// TimeoutMs bounds the time from the arrival of a request to its answer.
	TimeoutMs int64 `json:"timeoutMs"`
	// GoalMs is the time within which an answer, or the first event of a
	// stream, is of full use to the caller. GapMs is the same for the time
	// between two events. Zero means no goal.
	GoalMs int64 `json:"goalMs,omitempty"`
	GapMs  int64 `json:"gapMs,omitempty"`
	// Shares lists the services that the requests are divided among.
	Shares []Share `json:"shares"`
}

// Share assigns a part of a route's requests to one service, in proportion to
// its weight among all shares.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Repeatable reports whether a request may be sent to another target although
// it may already have run at a first one.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Goal returns GoalMs as a duration: the goal for the time to the first byte.
func (r *Route) Goal() time.Duration { return time.Duration(r.GoalMs) * time.Millisecond }

// Pick returns the service for the request with the given hash, or "" if no
// share has a positive weight. The same hash gives the same service as long as
// the shares don't change.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := int(hash % uint64(total))
	for _, s := range r.Shares {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is the configuration of one service.
type Service struct {
	Name string `json:"name"`
	// HealthPath answers a GET with status 200 while a target of the service
	// is healthy.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections bounds the connections to one target from all hosts
	// together.
	MaxConnections int `json:"maxConnections,omitempty"`
	// ColdPerSecond bounds the requests per second from all hosts together to
	// a target that has just started. Zero means no limit.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	// ColdMs is how long a target counts as cold after its start.
	ColdMs int64 `json:"coldMs,omitempty"`
	// MemoryTokens is the memory of one engine, in tokens, for running requests
	// and cached prompts. Zero means that the service is not an engine.
	MemoryTokens int64 `json:"memoryTokens,omitempty"`
}

// CallerLimits bounds the resources of a caller's connection. Zero means no
// limit.
type CallerLimits struct {
	MaxHeaderBytes int   `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int   `json:"maxBodyBytes,omitempty"`
	HeaderMs       int64 `json:"headerMs,omitempty"`
	IdleMs         int64 `json:"idleMs,omitempty"`
}

// StaticConfig is a whole configuration that an operator writes as one
// document instead of as a log of changes.
type StaticConfig struct {
	Profiles []Profile
	Clients  []Client
	Services []Service
	Limits   CallerLimits
	// Open is set if no request needs an API key.
	Open bool
}

// routeIndex maps each host to the profiles with a route for it, those with
// the longest prefix first.
type routeIndex map[string][]Profile

func indexRoutes(ps []Profile) routeIndex {
	ix := make(routeIndex)
	for _, p := range ps {
		if p.Route != nil {
			ix[p.Route.Host] = append(ix[p.Route.Host], p)
		}
	}
	for _, list := range ix {
		slices.SortStableFunc(list, func(a, b Profile) int {
			return cmp.Compare(len(b.Route.Prefix), len(a.Route.Prefix))
		})
	}
	return ix
}

func (ix routeIndex) find(host, path string) (Profile, bool) {
	for _, p := range ix[host] {
		if strings.HasPrefix(path, p.Route.Prefix) {
			return p, true
		}
	}
	return Profile{}, false
}
