package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Bounds of the Retry-After time of requests of routes that are refused for lack of capacity.
const (
	// minRetryAfter keeps callers from coming back within the same second.
	minRetryAfter = time.Second
	// maxRetryAfterRatio bounds the Retry-After time as a fraction of the time to the deadline:
	// half of that time is needed for the answer, and callers wait for no longer than a third.
	maxRetryAfterRatio = 1.0 / 3
	// retryAfterJitter is the range of the jitter as a fraction of the Retry-After time: callers
	// that are refused within one second must not all come back within one second.
	retryAfterJitter = 0.5
	// overloadQuietTime is the time without a refusal after which an overload has ended.
	overloadQuietTime = time.Second
)

// overload is a period in which requests were refused for lack of capacity.
type overload struct {
	since, last ident.Time
}

// recordRefusal records a refusal and returns how long the overload has lasted.
func (o *overload) recordRefusal(now ident.Time) time.Duration {
	if o.last == 0 || now.Sub(o.last) > overloadQuietTime {
		o.since = now
	}
	o.last = now
	return now.Sub(o.since)
}

// retryAfter returns when the caller of a request that is refused for lack of capacity should
// come back. An overload that has lasted for seconds rarely ends within the next second, so the
// time grows with the duration of the overload, up to maxRetryAfterRatio of the time to the
// deadline.
func (rd *Reducer) retryAfter(now ident.Time, r *request) time.Duration {
	lasted := rd.pools.of(r).overload.recordRefusal(now)
	if !mech.On(codes.GrowingRetryAfter) {
		lasted = 0
	}
	remaining := r.deadline.Sub(now)
	delay := max(minRetryAfter, min(lasted, fraction(remaining, maxRetryAfterRatio)))
	jitter := retryAfterJitter * (rank.Unit(rank.Mix(rank.Hash(string(r.ID)))) - 0.5)
	return delay + fraction(delay, jitter)
}
