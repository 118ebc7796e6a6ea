package quota

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// pool is a token bucket that the hosts of a data centre share: each host takes from its own
// copy and subtracts what the others announce. A request for more than the capacity is admitted
// once the pool is full and leaves a debt that is paid before the next request; otherwise a
// large request would never fit a small share.
type pool struct {
	level float64
	// rate is in units per second, zero for no limit.
	rate       float64
	capacity   float64
	refilledAt ident.Time
	// part is this host's share of the pool by demand, at most an equal one. unannounced is what it
	// has taken since its last announcement.
	part        float64
	unannounced float64
}

// refill brings the level up to now. A pool that had no limit before held credit at emptySince:
// without a rate nothing refilled it, so the debt from earlier use could block the account for
// hours once it has a limit.
func (p *pool) refill(now, emptySince ident.Time, credit, perMinute, capacity float64) {
	hadRate := p.rate > 0
	p.rate = perMinute / time.Minute.Seconds()
	p.capacity = capacity
	if !hadRate {
		p.refilledAt, p.level = emptySince, credit
	}
	p.level = min(p.level+p.rate*secondsBetween(p.refilledAt, now), p.capacity)
	p.refilledAt = now
}

// secondsBetween does not overflow, as a Duration would.
func secondsBetween(from, to ident.Time) float64 {
	return (float64(to) - float64(from)) / float64(time.Second)
}

// wait returns the time until n units can be taken. A full pool admits any number.
func (p *pool) wait(n float64) time.Duration {
	missing := min(n, p.capacity) - p.level
	if p.rate == 0 || missing <= 0 {
		return 0
	}
	seconds := math.Min(missing/p.rate, maxRetryAfter.Seconds())
	return max(time.Duration(math.Ceil(seconds*1e9)), 1)
}

// fitsPart reports whether n units fit the given part of the pool, with what this host has taken
// and not announced yet.
func (p *pool) fitsPart(n, part float64) bool {
	return p.rate == 0 || p.unannounced+n <= part*(p.level+p.unannounced)
}

func (p *pool) take(n float64) {
	p.level = min(p.level-n, p.capacity)
	p.unannounced += n
}

// takenElsewhere subtracts what another host has announced.
func (p *pool) takenElsewhere(n float64) {
	p.level = min(p.level-n, p.capacity)
}

func (p *pool) full(now ident.Time) bool {
	return p.rate == 0 || p.level+p.rate*secondsBetween(p.refilledAt, now) >= p.capacity
}

// urgent reports whether the other hosts have to know soon what this one has taken: it is more
// than half of this host's part of the pool.
func (p *pool) urgent() bool {
	const urgentRatio = 0.5
	return p.rate > 0 && p.unannounced > urgentRatio*p.part*(max(p.level, 0)+p.unannounced)
}
