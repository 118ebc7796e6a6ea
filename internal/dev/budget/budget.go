// Package budget checks that the repeats that reach the targets of a service stay within the retry budget of the
// platform.
//
// # Usage
//
//	rule := budget.Rule{Ratio: 0.2, Floor: 52, Window: 10 * time.Second}
//	if w := rule.Worst(requests, arrivals); w.Broken() {
//		fmt.Println(w)
//	}
//
// Every arrival of a request beyond its first is a repeat, also one that its target refuses. In any window the
// repeats may be at most Ratio times the requests plus Floor. The requests are those that callers sent in that
// window, in the one before it, or in the one half a window before it, whichever has most.
//
// Times are offsets from any common moment. Windows are tried at each repeat and at steps of a fixed length, so that an
// excess that lasts less than a step may be missed by the requests of that step.
package budget

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// step is the distance of the windows that are tried besides those that begin or end at a repeat.
const step = 100 * time.Millisecond

// Rule bounds the repeats at a service.
type Rule struct {
	Ratio  float64
	Floor  int
	Window time.Duration
}

// Arrival is a request that reached a target.
type Arrival struct {
	At      time.Duration
	Request ident.RequestID
}

// Window is a span of time with the repeats in it and the number that is allowed.
type Window struct {
	From    time.Duration
	Repeats int
	Allowed float64
}

// Broken reports whether the repeats exceed what is allowed.
func (w Window) Broken() bool { return float64(w.Repeats) > w.Allowed }

func (w Window) String() string {
	return fmt.Sprintf("%d repeats in the window from %.2fs, %.1f are allowed", w.Repeats, w.From.Seconds(), w.Allowed)
}

// Worst returns the window in which the repeats exceed what is allowed by most, or come closest to it.
func (r Rule) Worst(requests []time.Duration, arrivals []Arrival) Window {
	repeats := repeatsOf(arrivals)
	requests = slices.Sorted(slices.Values(requests))
	if len(repeats) == 0 {
		return Window{Allowed: float64(r.Floor)}
	}
	var worst Window
	first := true
	try := func(from time.Duration) {
		w := Window{From: from, Repeats: countWithin(repeats, from, from+r.Window)}
		w.Allowed = r.Ratio*float64(r.requestsFor(requests, from)) + float64(r.Floor)
		if first || float64(w.Repeats)-w.Allowed > float64(worst.Repeats)-worst.Allowed {
			worst, first = w, false
		}
	}
	for _, at := range repeats {
		try(at)
		try(at - r.Window + 1)
	}
	for from := repeats[0] - r.Window; from < repeats[len(repeats)-1]; from += step {
		try(from)
	}
	return worst
}

// requestsFor returns the requests that count for the window that begins at from.
func (r Rule) requestsFor(requests []time.Duration, from time.Duration) int {
	most := 0
	for _, earlier := range []time.Duration{0, r.Window / 2, r.Window} {
		most = max(most, countWithin(requests, from-earlier, from-earlier+r.Window))
	}
	return most
}

// repeatsOf returns the times of the arrivals beyond the first of each request, in order.
func repeatsOf(arrivals []Arrival) []time.Duration {
	arrivals = slices.Clone(arrivals)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	seen := make(map[ident.RequestID]bool)
	var repeats []time.Duration
	for _, a := range arrivals {
		if seen[a.Request] {
			repeats = append(repeats, a.At)
		}
		seen[a.Request] = true
	}
	return repeats
}

// countWithin counts the sorted times from from until before to.
func countWithin(times []time.Duration, from, to time.Duration) int {
	at := func(t time.Duration) int { return sort.Search(len(times), func(i int) bool { return times[i] >= t }) }
	return at(to) - at(from)
}
