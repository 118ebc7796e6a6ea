// Package base implements the baseline routing policies that the cost policy is
// compared with. The production programs don't link it.
//
// # Usage
//
// Each policy fits the Policy field of a router:
//
//	rt := route.New()
//	rt.Policy = base.LeastOutstanding
//
// RoundRobin returns a policy with a counter of its own.
package base

import (
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Random chooses a target by a hash of the request's id.
func Random(_ ident.Time, q route.Query, candidates []*member.Target) *member.Target {
	return candidates[rank.Hash(string(q.Request.ID))%uint64(len(candidates))]
}

// RoundRobin returns a policy that chooses the targets in turn.
func RoundRobin() func(ident.Time, route.Query, []*member.Target) *member.Target {
	next := 0
	return func(_ ident.Time, _ route.Query, candidates []*member.Target) *member.Target {
		t := candidates[next%len(candidates)]
		next++
		return t
	}
}

// LeastOutstanding chooses the target with the fewest requests in flight from this
// host, as a proxy does that only knows its own requests. On a tie it chooses the
// first one.
func LeastOutstanding(_ ident.Time, _ route.Query, candidates []*member.Target) *member.Target {
	best := candidates[0]
	for _, t := range candidates[1:] {
		if t.InFlight < best.InFlight {
			best = t
		}
	}
	return best
}

// Names lists the policies, the cost policy first.
var Names = []string{Cost, "random", "roundRobin", "leastOutstanding"}

// Cost is the name of the router's default policy.
const Cost = "cost"

// Policy returns the policy with the given name: random, roundRobin or
// leastOutstanding. For any other name it returns nil, which selects the cost
// policy.
func Policy(name string) func(ident.Time, route.Query, []*member.Target) *member.Target {
	switch name {
	case "random":
		return Random
	case "roundRobin":
		return RoundRobin()
	case "leastOutstanding":
		return LeastOutstanding
	}
	return nil
}
