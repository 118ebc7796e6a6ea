package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// When a request of a route that finds no room is to come back.
const (
	// minRetryAfter keeps callers from coming back into the same second.
	minRetryAfter = time.Second
	// maxRetryAfterRatio is the part of the time that is left which a caller is sent away for at
	// the most: half of it is for the answer, and callers don't wait for longer than a
	// third.
	maxRetryAfterRatio = 1.0 / 3
	// retryAfterJitter is the part by which the times of callers differ: those that are
	// refused in one second must not come back in one.
	retryAfterJitter = 0.5
	// overloadQuietTime is the time without a refusal after which an overload is over.
	overloadQuietTime = time.Second
)

// overload is a time in which requests were refused for want of room.
type overload struct {
	since, last ident.Time
}

// recordRefusal records a refusal and returns how long they have been going on.
func (o *overload) recordRefusal(now ident.Time) time.Duration {
	if o.last == 0 || now.Sub(o.last) > overloadQuietTime {
		o.since = now
	}
	o.last = now
	return now.Sub(o.since)
}

// retryAfter returns when the caller of a request that is refused for want of room is to come
// back. An overload that has lasted for seconds rarely ends within the next one, so that the
// time grows with its duration, within the time of the caller.
func (rd *Reducer) retryAfter(now ident.Time, r *request) time.Duration {
	lasted := rd.pools.of(r).overload.recordRefusal(now)
	if !mech.On(codes.GrowingReturns) {
		lasted = 0
	}
	left := r.deadline.Sub(now)
	later := max(minRetryAfter, min(lasted, fraction(left, maxRetryAfterRatio)))
	spread := retryAfterJitter * (rank.Unit(rank.Mix(rank.Hash(string(r.ID)))) - 0.5)
	return later + fraction(later, spread)
}
