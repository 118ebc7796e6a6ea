package rules

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind says what a route's requests may suffer when something fails.
type RouteKind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "nonIdempotent"
	// Streaming requests are answered by a series of numbered events. They run
	// at most once unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Route says which requests a profile takes by their host and path, and how
// they may be tried. A profile with a route needs no ticket or key for what may
// run only once: each request is one try of its caller, and the entry host that
// took it never sends it a second time.
type Route struct {
	Host string `json:"host"`
	// Prefix begins the path of each request. Of several routes of a host the
	// one with the longest prefix takes a request.
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Resumable says that a stream may go on at another target after its last
	// event.
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// TimeoutMs bounds the time from the arrival of a request to its answer.
	TimeoutMs int64 `json:"timeoutMs"`
	// GoalMs is the time to the answer, or to the first event of a stream,
	// within which it is of full use to its caller. GapMs is the same for the
	// pause between two events. Zero is no goal.
	GoalMs int64 `json:"goalMs,omitempty"`
	GapMs  int64 `json:"gapMs,omitempty"`
	// Shares are the services that the requests are divided among.
	Shares []Share `json:"shares"`
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Repeatable reports whether a request may be sent to a second target after it
// may have run at a first.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Goal is the time to the first byte that a request should meet.
func (r *Route) Goal() time.Duration { return time.Duration(r.GoalMs) * time.Millisecond }

// Pick returns the service of the request with the given hash. The same hash
// gives the same service as long as the shares stay.
func (r *Route) Pick(key uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := int(key % uint64(total))
	for _, s := range r.Shares {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is what the operator says of one service.
type Service struct {
	Name string `json:"name"`
	// HealthPath answers a GET with 200 while a target of the service is well.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections bounds the connections of all hosts to one target.
	MaxConnections int `json:"maxConnections,omitempty"`
	// ColdPerSecond bounds the requests a second to a target that has just
	// started, of all hosts together. Zero is no bound.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	// ColdMs is how long a target stays cold after it starts.
	ColdMs int64 `json:"coldMs,omitempty"`
	// MemoryTokens is the memory of one engine for running requests and cached
	// prompts. Zero is a service that is no engine.
	MemoryTokens int64 `json:"memoryTokens,omitempty"`
}

// CallerLimits bound what a caller's connection may take up. Zero is no limit.
type CallerLimits struct {
	MaxHeaderBytes int   `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int   `json:"maxBodyBytes,omitempty"`
	HeaderMs       int64 `json:"headerMs,omitempty"`
	IdleMs         int64 `json:"idleMs,omitempty"`
}

// StaticConfig is a whole configuration as an operator writes it at once, in place of
// a log of changes.
type StaticConfig struct {
	Profiles []Profile
	Clients  []Client
	Services []Service
	Limits   CallerLimits
}

// routeIndex finds the route of a request: the profiles with a route by host,
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
