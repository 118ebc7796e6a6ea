// Package retry limits the number of retries, so that the failure of a region
// does not multiply the load on the others.
//
// # Usage
//
//	var b retry.Budget
//	b.RecordArrival(now) // for each request of a caller
//	if attempts < retry.MaxAttempts {
//		if g := b.Take(now); g != nil {
//			// retry after retry.Backoff(attempts, id), then g.Settle(answeredAt)
//		}
//	}
//
// Without a budget, each request that fails at a lost region is sent MaxAttempts
// times, and the other regions receive up to three times their load just when
// capacity is short. When a retry is refused, the request fails at once. A stream
// that continues at another target after it has returned tokens is limited by
// MaxAttempts alone, since it requests only the remaining tokens.
//
// # Bounds
//
// In any Window, the retries that reach targets are at most Ratio times the
// arrivals of the Window before it plus MinRetries. That holds for the sum over
// several hosts too, whatever part of the arrivals each of them has: all hosts
// count the same Window of arrivals, that before the retries.
//
// A retry counts from its grant until a Window after the last moment at which it
// can have reached a target. The time that it waits in a queue, at another host or
// on a link thus brings no further retries into the Window in which it arrives.
//
// A Budget has a count for each slot of two Windows, and one time for each retry
// of the last Window.
package retry

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
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

	// Arrivals are counted in slots. Any Window contains fullSlots whole ones.
	slotDuration = 250 * time.Millisecond
	windowSlots  = int64(Window / slotDuration)
	fullSlots    = windowSlots - 1
	slotCount    = 2*windowSlots + 1

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

const (
	// Window is the period over which a Budget counts.
	Window = 10 * time.Second
	// MaxGrantAge is the age beyond which a retry needs a new grant to be sent, since the arrivals may have
	// become fewer.
	MaxGrantAge = maxBackoff
)

// Budget limits retries to a fraction of the arrivals. The zero Budget uses the
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
	// open counts the retries that may still reach a target, settled are the times from which the
	// others can't have, in order.
	open    int
	settled []ident.Time
}

// Grant is the permission for one retry. It counts against its Budget until a Window after it has been
// settled, or until it is returned.
type Grant struct {
	budget *Budget
	at     ident.Time
	ended  bool
}

// RecordArrival records a caller's request. Retries are not arrivals.
func (b *Budget) RecordArrival(now ident.Time) {
	b.advance(now)
	b.arrivals[b.slot%slotCount]++
}

// Take returns the permission for a retry, nil if the budget is used up.
func (b *Budget) Take(now ident.Time) *Grant {
	if used, allowed := b.Usage(now); float64(used+1) > allowed {
		return nil
	}
	b.open++
	return &Grant{budget: b, at: now}
}

// Usage returns the retries that count now and the number allowed.
func (b *Budget) Usage(now ident.Time) (retries int, allowed float64) {
	b.advance(now)
	expired, _ := slices.BinarySearch(b.settled, now.Add(-Window)+1)
	b.settled = slices.Delete(b.settled, 0, expired)
	return b.open + len(b.settled), b.allowed()
}

// Age returns how long ago the retry was allowed.
func (g *Grant) Age(now ident.Time) time.Duration { return now.Sub(g.at) }

// Settle records that the retry does not reach a target after the given time. Only the first call of Settle or Return
// has an effect.
func (g *Grant) Settle(at ident.Time) {
	if g.ended {
		return
	}
	g.ended = true
	g.budget.open--
	i, _ := slices.BinarySearch(g.budget.settled, at+1)
	g.budget.settled = slices.Insert(g.budget.settled, i, at)
}

// Return gives back the grant of a retry that was never sent.
func (g *Grant) Return() {
	if g.ended {
		return
	}
	g.ended = true
	g.budget.open--
}

func (b *Budget) allowed() float64 {
	ratio, minRetries := b.Ratio, b.MinRetries
	if ratio == 0 {
		ratio = defaultRatio
	}
	if minRetries == 0 {
		minRetries = defaultMinRetries
	}
	return max(ratio, 0)*float64(b.fewestArrivals()) + float64(max(minRetries, 0))
}

// fewestArrivals returns the arrivals of the Window that had the fewest, of all that have ended within the last
// one. Which of them the retries of other hosts are counted against is not known here.
func (b *Budget) fewestArrivals() int {
	at := func(back int64) int {
		if back > b.slot {
			return 0
		}
		return b.arrivals[(b.slot-back)%slotCount]
	}
	n := 0
	for back := int64(1); back <= fullSlots; back++ {
		n += at(back)
	}
	fewest := n
	for back := fullSlots + 1; back < slotCount; back++ {
		n += at(back) - at(back-fullSlots)
		fewest = min(fewest, n)
	}
	return fewest
}

// advance clears the slots between the last call and now.
func (b *Budget) advance(now ident.Time) {
	current := int64(now) / int64(slotDuration)
	for n := int64(0); b.slot < current && n < slotCount; n++ {
		b.slot++
		b.arrivals[b.slot%slotCount] = 0
	}
	// After more than all slots, they are clear already.
	b.slot = max(b.slot, current)
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
