// Package base holds the routing policies that the cost policy is compared
// with. The production programs link none of it.
//
// # Usage
//
// Each policy fits the Pick field of a router:
//
//	rt := route.New()
//	rt.Pick = base.LeastOutstanding
//
// Round robin needs a count, which each call of RoundRobin begins anew.
package base

import (
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Random picks by a hash of the request's id.
func Random(_ ident.Time, q route.Query, left []*member.Target) *member.Target {
	return left[rank.Hash(string(q.Request.ID))%uint64(len(left))]
}

// RoundRobin returns a policy that takes one target after the other.
func RoundRobin() func(ident.Time, route.Query, []*member.Target) *member.Target {
	next := 0
	return func(_ ident.Time, _ route.Query, left []*member.Target) *member.Target {
		t := left[next%len(left)]
		next++
		return t
	}
}

// LeastOutstanding picks the target to which this host has sent the fewest
// requests that have not ended, as a proxy does that knows its own work only.
// The first of equal ones is taken.
func LeastOutstanding(_ ident.Time, _ route.Query, left []*member.Target) *member.Target {
	best := left[0]
	for _, t := range left[1:] {
		if t.InFlight < best.InFlight {
			best = t
		}
	}
	return best
}

// Names are the names of the policies, the cost policy first.
var Names = []string{Cost, "random", "roundRobin", "leastOutstanding"}

// Cost is the name of the policy of the router itself.
const Cost = "cost"

// Policy returns the policy of a name: random, roundRobin or
// leastOutstanding. It is nil, which is the cost policy, for any other.
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
