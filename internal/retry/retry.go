// Package retry limits the number of retries, so that the failure of a region
// does not multiply the load on the others.
//
// # Usage
//
//	var b retry.Budget
//	b.RecordArrival(now) // for each request of a caller
//	if attempts < retry.MaxAttempts && b.Spend(now) {
//		// retry after retry.Backoff(attempts, id)
//	}
//
// Without a budget, each request that fails at a lost region is sent MaxAttempts
// times, and the other regions receive up to three times their load just when
// capacity is short. With it, the sends of a window are at most its arrivals
// times 1+Ratio, plus MinRetries. When a retry is refused, the request fails at
// once. A stream that continues at another target after it has returned tokens
// is limited by MaxAttempts alone, since it requests only the remaining tokens.
//
// # Bounds
//
// A Budget is one fixed array of counts and keeps no state per request.
package retry

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// MaxAttempts is the maximum number of attempts of one request, including the first.
const MaxAttempts = 3

const (
	// defaultRatio is high enough for the failure of single targets, and low enough
	// that a lost region adds only a tenth to the load.
	defaultRatio = 0.1
	// defaultMinRetries allows retries on a host that receives few requests.
	defaultMinRetries = 3

	slotDuration = time.Second
	slotCount    = 10

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Window is the period over which a Budget counts.
const Window = slotCount * slotDuration

// Budget counts the arrivals and retries of the last Window. The zero Budget uses the
// default ratio and minimum.
type Budget struct {
	// Ratio is the maximum number of retries per arrival. Zero selects the default, a
	// negative value allows none.
	Ratio float64
	// MinRetries is the number of retries per Window that are allowed regardless of
	// arrivals. Zero selects the default, a negative value allows none.
	MinRetries int

	slot     int64
	arrivals [slotCount]int
	retries  [slotCount]int
}

// RecordArrival records a caller's request. Retries are not arrivals.
func (b *Budget) RecordArrival(now ident.Time) {
	b.advance(now)
	b.arrivals[b.slot%slotCount]++
}

// Spend reports whether a request may be retried, and if so records the retry.
func (b *Budget) Spend(now ident.Time) bool {
	b.advance(now)
	if float64(sum(b.retries)+1) > b.allowed() {
		return false
	}
	b.retries[b.slot%slotCount]++
	return true
}

// Usage returns the retries in the window and the number allowed.
func (b *Budget) Usage(now ident.Time) (retries int, allowed float64) {
	b.advance(now)
	return sum(b.retries), b.allowed()
}

func (b *Budget) allowed() float64 {
	ratio, minRetries := b.Ratio, b.MinRetries
	if ratio == 0 {
		ratio = defaultRatio
	}
	if minRetries == 0 {
		minRetries = defaultMinRetries
	}
	return max(ratio, 0)*float64(sum(b.arrivals)) + float64(max(minRetries, 0))
}

// advance clears the slots between the last call and now.
func (b *Budget) advance(now ident.Time) {
	current := int64(now) / int64(slotDuration)
	for n := 0; b.slot < current && n < slotCount; n++ {
		b.slot++
		b.arrivals[b.slot%slotCount] = 0
		b.retries[b.slot%slotCount] = 0
	}
	if b.slot >= current {
		return
	}
	// More than a window has passed: all slots are already clear.
	b.slot = current
}

func sum(counts [slotCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Backoff returns the delay after the n-th attempt of a request, counted from 1. It doubles
// with each attempt up to maxBackoff. A hash of the request id adds jitter over the upper
// half of the delay, so that requests that failed together are not retried together.
// The hash needs no random number and makes runs reproducible.
func Backoff(n int, id ident.RequestID) time.Duration {
	delay := initialBackoff
	for i := 1; i < n && delay < maxBackoff; i++ {
		delay *= 2
	}
	delay = min(delay, maxBackoff)
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
	half := delay / 2
	return half + time.Duration(h.Sum64()%uint64(half))
}
