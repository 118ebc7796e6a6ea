package member

import (
	"math"
	"strconv"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// Use of targets that name a limit on the requests a second of all hosts together.
const (
	// minTrialRate is the number of requests a second that are sent to a target which names a lower
	// limit, down to none. Only its answers show that the limit has ended.
	minTrialRate = 0.2
	// ownerTTL is how long a target keeps its owners while none of them gets an answer. Others follow
	// then: the owners may have no callers, or may not reach the target.
	ownerTTL = 10 * time.Second
	// rateLimitTTL is how long a limit is in force without an answer that names it. No host has callers
	// for the target then, or none reaches it.
	rateLimitTTL = time.Minute
	// maxBurstTime is the time for which an owner may save up requests that it has not sent.
	maxBurstTime = time.Second
	// minUsableSlotsDivisor divides the slots of a target. One that may use fewer than that is no
	// part of what its data centre has to offer.
	minUsableSlotsDivisor = 4
	// notOwnerWait is the predicted wait for a target whose limit other hosts use up.
	notOwnerWait = 5 * time.Second
)

// rateLimit is what a target says about how many requests it takes from all hosts together, and what this
// host may send.
type rateLimit struct {
	// perSecond is the limit, none if the target names none. seenAt is when it last said so to any
	// host.
	perSecond value.Option[float64]
	seenAt    ident.Time
	// confirmed is set if this host has had an answer since its last digest.
	confirmed bool
	// share is how many requests a second this host may send, as of shareAt, zero if it has to be
	// computed.
	share   float64
	shareAt ident.Time
	// saved is the number of requests that this host may send at savedAt.
	saved   float64
	savedAt ident.Time
	// invalidNoted is set once it was noted that the target names something that is no limit.
	invalidNoted bool
}

// RateLimit returns the limit that the target names on the requests a second of all hosts together, and
// how long ago it said so.
func (t *Target) RateLimit(now ident.Time) (value.Option[float64], time.Duration) {
	age := now.Sub(t.rateLimit.seenAt)
	if age >= rateLimitTTL {
		return value.Option[float64]{}, 0
	}
	return t.rateLimit.perSecond, age
}

// limited reports whether the target names a limit.
func (t *Target) limited(now ident.Time) bool {
	limit, _ := t.RateLimit(now)
	_, ok := limit.Get()
	return ok
}

// RateLimitReached reports whether this host may not send a request to a target now because of the limit
// that the target names.
//
// As many hosts own the target as it takes requests a second, at least one and at most all; each has an
// equal part of the limit. With more owners, a part would be less than a request a second, and what a host
// without callers leaves would be lost. A host that has just started may not know the others yet and sends
// nothing. Hosts that a partition separates use the limit in proportion to their number.
func (tb *Table) RateLimitReached(now ident.Time, t *Target) bool {
	if !t.limited(now) {
		return false
	}
	share := tb.rateShare(now, t)
	if share == 0 {
		return true
	}
	t.rateLimit.save(now, share)
	return t.rateLimit.saved < 1
}

// shareTTL is how long the share of a host in a limit is used. To compute it, all peers are ranked, which a
// decision must not do for each target that it considers.
const shareTTL = 100 * time.Millisecond

// rateShare returns how many requests a second this host may send to a target that names a limit.
func (tb *Table) rateShare(now ident.Time, t *Target) float64 {
	l := &t.rateLimit
	if l.shareAt == 0 || now.Sub(l.shareAt) >= shareTTL {
		l.share, l.shareAt = tb.computeRateShare(now, t), now
	}
	return l.share
}

func (tb *Table) computeRateShare(now ident.Time, t *Target) float64 {
	if now.Sub(tb.started) < ownersKnownDelay {
		return 0
	}
	limit := max(t.rateLimit.perSecond.Or(0), minTrialRate)
	live, all := tb.reachableHosts(now)
	owners := live
	if limit < float64(live) {
		owners = max(int(limit), 1)
	}
	term := max(now.Sub(t.rateLimit.seenAt), 0) / ownerTTL
	if tb.ownerRank(now, "limit "+strconv.Itoa(int(term)), t.ID) >= owners {
		return 0
	}
	return limit * float64(live) / float64(all) / float64(owners)
}

// save adds the requests that may be sent since the last call.
func (l *rateLimit) save(now ident.Time, perSecond float64) {
	most := max(1, perSecond*maxBurstTime.Seconds())
	l.saved = min(most, l.saved+perSecond*now.Sub(l.savedAt).Seconds())
	l.savedAt = now
}

// countSend subtracts a request that this host sends. It may go below zero for one that has to be sent.
func (tb *Table) countSend(now ident.Time, t *Target) {
	if !t.limited(now) {
		return
	}
	t.rateLimit.save(now, tb.rateShare(now, t))
	t.rateLimit.saved--
}

// RateWait predicts how long a request waits until this host may send it to a target that names a limit.
func (tb *Table) RateWait(now ident.Time, t *Target) time.Duration {
	if !tb.RateLimitReached(now, t) {
		return 0
	}
	share := tb.rateShare(now, t)
	if share == 0 {
		return notOwnerWait
	}
	return time.Duration((1 - t.rateLimit.saved) / share * float64(time.Second))
}

// usableSlots returns the slots of a target that the limit which it names allows to be in use, given the
// typical duration of its requests.
func (t *Target) usableSlots(now ident.Time) int {
	named, _ := t.RateLimit(now)
	limit, ok := named.Get()
	if !ok {
		return t.Slots()
	}
	return int(math.Ceil(min(float64(t.Slots()), limit*t.RequestTime().Seconds())))
}

// rateLimitSeen records the limit that an answer of a target named, or that it named none.
func (tb *Table) rateLimitSeen(now ident.Time, t *Target, perSecond value.Option[float64]) {
	if _, named := perSecond.Get(); !named && !t.limited(now) {
		return
	}
	t.rateLimit.confirmed = true
	if tb.adoptRateLimit(now, t, perSecond, now, tb.self.ID) {
		tb.heartbeat.urgent = true
	}
}

// adoptRateLimit replaces the limit of a target by one that the target has named since, and reports whether
// it differs.
func (tb *Table) adoptRateLimit(now ident.Time, t *Target, perSecond value.Option[float64], seenAt ident.Time, source ident.EntryID) bool {
	l := &t.rateLimit
	if seenAt < l.seenAt {
		return false
	}
	old := l.perSecond
	l.perSecond, l.seenAt = perSecond, seenAt
	if old.Equal(perSecond) {
		return false
	}
	l.shareAt = 0
	if _, named := old.Get(); !named {
		l.saved, l.savedAt = 0, now
	}
	text := "target names a limit"
	limit, named := perSecond.Get()
	if !named {
		text = "target names no limit any more"
	}
	tb.addNote(t, text, event.NotePair{Key: "perSecond", Value: strconv.FormatFloat(limit, 'g', -1, 64)}, event.NotePair{Key: "source", Value: string(source)})
	return true
}

// rateLimitInvalid records that an answer named something that is no limit. The one that is known stays in
// force.
func (tb *Table) rateLimitInvalid(t *Target) {
	if t.rateLimit.invalidNoted {
		return
	}
	t.rateLimit.invalidNoted = true
	tb.addNote(t, "target names a limit that is no number")
}

// rateLimits returns the limits for a digest: those that this host has had answers about since its last
// one, or all that it knows.
func (tb *Table) rateLimits(now ident.Time, all bool) []event.RateLimit {
	var ls []event.RateLimit
	for _, t := range tb.targets {
		l := &t.rateLimit
		if !l.confirmed && (!all || !t.limited(now)) {
			continue
		}
		l.confirmed = l.confirmed && all
		id, key := tb.digestName(t)
		ls = append(ls, event.RateLimit{Target: id, Key: key, Incarnation: t.Incarnation, PerSecond: l.perSecond, Age: now.Sub(l.seenAt)})
	}
	return ls
}

// mergeRateLimits merges the limits in a peer's digest.
func (tb *Table) mergeRateLimits(now ident.Time, from ident.EntryID, ls []event.RateLimit) {
	for _, l := range ls {
		t := tb.byID[l.Target]
		if l.Target == "" {
			t = tb.byKey[l.Key]
		}
		if t == nil || t.Incarnation != l.Incarnation {
			continue
		}
		tb.adoptRateLimit(now, t, l.PerSecond, now.Add(-l.Age-tb.extraAge(now)), from)
	}
}
