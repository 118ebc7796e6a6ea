// Package retry bounds how often requests are tried again, so that the failure
// of a region does not multiply the load on the others.
//
// # Usage
//
//	var b retry.Budget
//	b.Arrived(now) // for each request of a caller
//	if tries < retry.MaxTries && b.Spend(now) {
//		// try again after retry.Backoff(tries, id)
//	}
//
// Without a budget, each request that fails at a region that is gone is sent
// MaxTries times, and the other regions see up to three times their load just
// when capacity is short. With it, the sends of a window are at most its
// arrivals times 1+Share, plus Floor. A retry that is refused is the final
// answer at once. A stream that goes on elsewhere after it had given tokens is
// bound by MaxTries alone, since it asks only for those that are left.
//
// # Bounds
//
// A Budget is one fixed array of counts, with no memory for each request.
package retry

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// MaxTries bounds the tries of one request, the first included.
const MaxTries = 3

const (
	// defaultRatio is high enough for the failure of single targets, and low
	// enough that a region that is gone adds a tenth to the load.
	defaultRatio = 0.1
	// defaultMinRetries lets a host that sees few requests retry at all.
	defaultMinRetries = 3

	slotDuration = time.Second
	slotCount    = 10

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Window is the time that a Budget looks back on.
const Window = slotCount * slotDuration

// Budget counts arrivals and retries of the last Window. The zero Budget has
// the default share and floor.
type Budget struct {
	// Ratio is the most retries for each arrival. Zero stands for the
	// default, a negative share for none.
	Ratio float64
	// MinRetries is the number of retries in a Window that need no arrivals. Zero
	// stands for the default, a negative floor for none.
	MinRetries int

	slot     int64
	arrivals [slotCount]int
	retries  [slotCount]int
}

// RecordArrival records a request of a caller; retries don't count.
func (b *Budget) RecordArrival(now ident.Time) {
	b.advance(now)
	b.arrivals[b.slot%slotCount]++
}

// Spend reports whether a request may be tried again, and records the try.
func (b *Budget) Spend(now ident.Time) bool {
	b.advance(now)
	if float64(sum(b.retries)+1) > b.allowed() {
		return false
	}
	b.retries[b.slot%slotCount]++
	return true
}

// Usage returns the retries of the window and the most that are allowed.
func (b *Budget) Usage(now ident.Time) (spent int, allowed float64) {
	b.advance(now)
	return sum(b.retries), b.allowed()
}

func (b *Budget) allowed() float64 {
	share, floor := b.Ratio, b.MinRetries
	if share == 0 {
		share = defaultRatio
	}
	if floor == 0 {
		floor = defaultMinRetries
	}
	return max(share, 0)*float64(sum(b.arrivals)) + float64(max(floor, 0))
}

// advance empties the slots that time has passed over.
func (b *Budget) advance(now ident.Time) {
	to := int64(now) / int64(slotDuration)
	for n := 0; b.slot < to && n < slotCount; n++ {
		b.slot++
		b.arrivals[b.slot%slotCount] = 0
		b.retries[b.slot%slotCount] = 0
	}
	if b.slot >= to {
		return
	}
	// More than a window has passed, and every slot is empty.
	b.slot = to
}

func sum(counts [slotCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Backoff returns the pause after the n-th try of a request, counted from 1.
// It doubles up to a second. A digest of the request's id spreads it over its
// upper half, so that requests that failed together don't return together; it
// needs no random number and is the same on every run.
func Backoff(n int, id ident.RequestID) time.Duration {
	pause := initialBackoff
	for i := 1; i < n && pause < maxBackoff; i++ {
		pause *= 2
	}
	pause = min(pause, maxBackoff)
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
	half := pause / 2
	return half + time.Duration(h.Sum64()%uint64(half))
}
