package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"verbenadale.example/verbenadale/internal/dev/relay"
)

const (
	// minIsolation and maxIsolation bound the time for which hosts are isolated; in half of the cases it is less than
	// settleTime.
	minIsolation = 500 * time.Millisecond
	maxIsolation = 12 * time.Second
	// healSlack is the time before and after the end of an isolation at which callers come to its hosts.
	healSlack = 200 * time.Millisecond
)

// isolation is a time in which a group of hosts does not learn what others know.
type isolation struct {
	hosts []int
	way   isolationWay
	// from and to are zero until it begins and ends. due is when it is to end.
	from, to, due time.Time
}

// isolationWay is how hosts are isolated: by faults of their links to the store and to other hosts, as senders, by a pause, or
// by their end.
type isolationWay struct {
	name          string
	store, peers  relay.Fault
	paused, ended bool
}

var (
	silent  = relay.Fault{Stall: relay.Outbound | relay.Inbound}
	outward = relay.Fault{Stall: relay.Outbound}
	inward  = relay.Fault{Stall: relay.Inbound}
	refused = relay.Fault{Refuse: true}
)

// isolationWays are the ways of a release.
var isolationWays = []isolationWay{
	{name: "silent", store: silent, peers: silent},
	{name: "refused", store: refused, peers: refused},
	{name: "refused by the store, silent to peers", store: refused, peers: silent},
	{name: "silent outwards", store: outward, peers: outward},
	{name: "silent inwards", store: inward, peers: inward},
	{name: "silent inwards from the store, silent to peers", store: inward, peers: silent},
	{name: "without the store", store: silent},
	{name: "without peers", peers: silent},
	{name: "paused", paused: true},
}

// reversed returns a fault as the other end of the link has it.
func reversed(f relay.Fault) relay.Fault {
	dir := map[relay.Direction]relay.Direction{relay.Outbound: relay.Inbound, relay.Inbound: relay.Outbound}
	if to, ok := dir[f.Stall]; ok {
		f.Stall = to
	}
	return f
}

// peerIP returns the address from which the host dials its peers.
func (h *host) peerIP() string {
	ip, _, _ := net.SplitHostPort(h.settings.Peers.Listen)
	return ip
}

// fault returns the fault of the link by which a host dials another one.
func (p *isolation) fault(from, to int) relay.Fault {
	switch in := slices.Contains(p.hosts, from); {
	case in == slices.Contains(p.hosts, to):
		return relay.Fault{}
	case in:
		return p.way.peers
	}
	return reversed(p.way.peers)
}

func union(x, y relay.Fault) relay.Fault {
	return relay.Fault{Stall: x.Stall | y.Stall, Refuse: x.Refuse || y.Refuse}
}

// applyIsolations sets the faults of all links, and pauses and continues hosts, as the isolations that last have it.
func (s *deployment) applyIsolations() {
	now := s.lasting()
	for n, h := range s.hosts {
		store, sig := relay.Fault{}, syscall.SIGCONT
		for _, p := range now {
			if slices.Contains(p.hosts, n) {
				store = union(store, p.way.store)
				if p.way.paused {
					sig = syscall.SIGSTOP
				}
			}
		}
		h.signal(sig)
		h.storeRelay.SetFault(store)
		for m, o := range s.hosts {
			peers := relay.Fault{}
			for _, p := range now {
				peers = union(peers, p.fault(n, m))
			}
			o.peerRelay.SetSenderFault(h.peerIP(), peers)
		}
	}
}

// lasting returns the isolations that have begun and not ended.
func (s *deployment) lasting() []*isolation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.isolations), func(p *isolation) bool { return !p.to.IsZero() })
}

// drawGroup draws hosts that are isolated: one, or some or all of a region. One host of the deployment is not.
func drawGroup(rnd *rand.Rand, s *deployment) []int {
	first, _ := randomHost(rnd, s)
	group := []int{first}
	for n, h := range s.hosts {
		if n != first && h.region == s.hosts[first].region && len(group) < len(s.hosts)-1 {
			group = append(group, n)
		}
	}
	return group[:[]int{1, 1 + rnd.IntN(len(group)), len(group)}[rnd.IntN(3)]]
}

// drawIsolation draws how and for how long hosts are isolated.
func drawIsolation(rnd *rand.Rand, s *deployment, hosts []int) fault {
	p := &isolation{hosts: hosts, way: isolationWays[rnd.IntN(len(isolationWays))]}
	span := []time.Duration{settleTime, maxIsolation}[rnd.IntN(2)] - minIsolation
	f := fault{
		name: fmt.Sprint("hosts ", p.hosts, " ", p.way.name), duration: minIsolation + time.Duration(rnd.Int64N(int64(span))),
		end: func(context.Context) { s.endIsolation(p) },
	}
	f.begin = func(context.Context) { s.beginIsolation(p, f.duration) }
	return f
}

func (s *deployment) beginIsolation(p *isolation, length time.Duration) {
	s.isolating.Lock()
	defer s.isolating.Unlock()
	s.mu.Lock()
	p.from = time.Now()
	p.due = p.from.Add(length)
	s.isolations = append(s.isolations, p)
	s.mu.Unlock()
	s.applyIsolations()
}

func (s *deployment) endIsolation(p *isolation) {
	s.isolating.Lock()
	defer s.isolating.Unlock()
	s.mu.Lock()
	p.to = time.Now()
	s.mu.Unlock()
	s.applyIsolations()
}

// inStep reports whether a host was not isolated from settleTime before a time on.
func (s *deployment) inStep(n int, from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.isolations, func(p *isolation) bool {
		return slices.Contains(p.hosts, n) && (p.to.IsZero() || from.Before(p.to.Add(settleTime)))
	})
}

// drawIsolated draws an isolation that lasts or ended a moment ago, nil if there is none.
func (s *deployment) drawIsolated(rnd *rand.Rand) *isolation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var now []*isolation
	for _, p := range s.isolations {
		if !p.way.ended && time.Until(p.due) > -settleTime/2 {
			now = append(now, p)
		}
	}
	if len(now) == 0 {
		return nil
	}
	return now[rnd.IntN(len(now))]
}
