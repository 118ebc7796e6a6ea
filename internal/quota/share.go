package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// decayPerSecond is the factor by which a demand decays each second, boundDecayPerSecond the same if
// there is a bound: the shares have to follow within the window that is counted.
const (
	decayPerSecond      = 0.9
	boundDecayPerSecond = 0.7
)

// decay returns the factor by which demands decay each second.
func (l *Ledger) decay() float64 {
	if l.bounds.Window > 0 {
		return boundDecayPerSecond
	}
	return decayPerSecond
}

// Minimum rates at which an account counts as active.
const (
	minActiveRequests ident.PerMinute = 0.05
	minActiveTokens   ident.PerMinute = 1
)

// rates is a demand or limit in requests and tokens per minute.
type rates struct {
	requests ident.PerMinute
	tokens   ident.PerMinute
}

func (r rates) active() bool { return r.requests >= minActiveRequests || r.tokens >= minActiveTokens }

func (r rates) plus(o rates) rates {
	return rates{requests: r.requests + o.requests, tokens: r.tokens + o.tokens}
}

func (r rates) times(f ident.PerMinute) rates {
	return rates{requests: r.requests * f, tokens: r.tokens * f}
}

func (r rates) capped(limit rates) rates {
	return rates{requests: min(r.requests, limit.requests), tokens: min(r.tokens, limit.tokens)}
}

func (r rates) accountUse(name ident.Account) event.AccountUse {
	return event.AccountUse{Account: name, Requests: r.requests, Tokens: r.tokens}
}

// ratesOf reads a report. An invalid rate counts as zero: a NaN would spread to every
// share that it is added to.
func ratesOf(u event.AccountUse) rates {
	return rates{requests: validRate(u.Requests), tokens: validRate(u.Tokens)}
}

func validRate(r ident.PerMinute) ident.PerMinute {
	if r > 0 && !math.IsInf(float64(r), 0) {
		return r
	}
	return 0
}

// demand is an exponentially smoothed rate that loses a tenth of its value each second.
// It decays continuously: with a step each second, a host could compare its own demand
// from before a step with a report made after it, and the shares would add up to more
// than the limit.
type demand struct {
	rate      rates
	updatedAt ident.Time
}

func (d *demand) add(now ident.Time, decay float64, tokens ident.Tokens) {
	// perMinute makes a steady demand converge to its true rate.
	perMinute := ident.PerMinute(-math.Log(decay) * time.Minute.Seconds())
	d.rate = d.rateAt(now, decay)
	d.updatedAt = now
	d.rate.requests += perMinute
	d.rate.tokens += perMinute * ident.PerMinute(max(tokens, 0))
}

func (d *demand) rateAt(now ident.Time, decay float64) rates {
	f := ident.PerMinute(math.Pow(decay, now.Sub(d.updatedAt).Seconds()))
	return d.rate.times(f)
}

// demandLog holds the demand at intervals of demandLogInterval, the oldest first.
type demandLog []demand

const (
	demandLogInterval = 250 * time.Millisecond
	demandLogSize     = 32
)

func (g *demandLog) add(now ident.Time, r rates) {
	if n := len(*g); n > 0 && now.Sub((*g)[n-1].updatedAt) < demandLogInterval {
		return
	}
	if len(*g) == demandLogSize {
		*g = append((*g)[:0], (*g)[1:]...)
	}
	*g = append(*g, demand{rate: r, updatedAt: now})
}

// at returns the demand at a time, none if the time is before the oldest entry. It has decayed since
// the entry before that time.
func (g demandLog) at(t ident.Time, decay float64) rates {
	r := rates{}
	for i := range g {
		if g[i].updatedAt > t {
			break
		}
		r = g[i].rateAt(t, decay)
	}
	return r
}

// remoteDemand is the demand of an account at another host or data centre.
type remoteDemand[T cmp.Ordered] struct {
	id   T
	rate rates
	// reportNumber is the number of the report that contained the demand.
	reportNumber uint64
	// log holds the recent values, if there is a bound.
	log demandLog
}

func find[T cmp.Ordered](ps []remoteDemand[T], id T) (int, bool) {
	return slices.BinarySearchFunc(ps, id, func(p remoteDemand[T], id T) int { return cmp.Compare(p.id, id) })
}

func upsert[T cmp.Ordered](ps []remoteDemand[T], p remoteDemand[T]) []remoteDemand[T] {
	i, ok := find(ps, p.id)
	if ok {
		ps[i] = p
		return ps
	}
	return slices.Insert(ps, i, p)
}

func remove[T cmp.Ordered](ps []remoteDemand[T], id T) []remoteDemand[T] {
	if i, ok := find(ps, id); ok {
		return slices.Delete(ps, i, i+1)
	}
	return ps
}

// demandSum adds up demand, each part capped at the limits: a caller that asks for more
// than its limit at one place must not starve the others.
type demandSum struct {
	limits rates
	local  rates
	total  rates
}

func (s *demandSum) addLocal(r rates, floor ident.PerMinute) {
	s.local = r.capped(s.limits).plus(s.limits.times(floor))
	s.total = s.total.plus(s.local)
}

func (s *demandSum) addRemote(r rates, floor ident.PerMinute) {
	s.total = s.total.plus(r.capped(s.limits)).plus(s.limits.times(floor))
}

// hostShare returns this host's share of the demand in the local data centre.
func (l *Ledger) hostShare(a *account) rates {
	hosts := demandSum{limits: a.limits}
	hosts.addLocal(l.demandOf(a), floorShare)
	for i := range a.peers {
		hosts.addRemote(a.peers[i].rate, floorShare)
	}
	return hosts.share()
}

// minDemandAge bounds the correction of the demand shortly after the start.
const minDemandAge = time.Second

// demandOf returns the demand of an account at this host. With a bound, the smoothed rate is
// corrected for the time before the start of the host, of which it knows nothing.
func (l *Ledger) demandOf(a *account) rates {
	r := a.localDemand.rateAt(l.now, l.decay())
	if l.bounds.Window <= 0 {
		return r
	}
	age := max(l.now.Sub(l.startedAt), minDemandAge).Seconds()
	return r.times(ident.PerMinute(1 / (1 - math.Pow(l.decay(), age))))
}

// centreShare returns the local data centre's share of each limit: its share of the demand of
// all that can be reached, in what the others leave.
func (l *Ledger) centreShare(a *account) rates {
	sum := l.demandOf(a)
	for i := range a.peers {
		sum = sum.plus(a.peers[i].rate)
	}
	centres := demandSum{limits: a.limits}
	centres.addLocal(l.exchangedDemand(a, sum), l.floorFor(a, l.dc))
	for i := range a.centres {
		if p := &a.centres[i]; l.isCurrent(p) && !l.isUnreachable(p.id) {
			centres.addRemote(p.rate, l.floorFor(a, p.id))
		}
	}
	l.addInactive(a, &centres)
	reserved := l.reserve(a, centres)
	share := centres.share()
	return rates{requests: share.requests * (1 - reserved.requests), tokens: share.tokens * (1 - reserved.tokens)}
}

// reserve returns the share of all unreachable data centres. That of each is fixed when it becomes
// unreachable, since it does not know what the others do later. reachable is the demand of the
// others at that time.
func (l *Ledger) reserve(a *account, reachable demandSum) rates {
	if a.reservedAt != l.reachabilityChanges {
		a.reservedAt = l.reachabilityChanges
		a.reservations = slices.DeleteFunc(a.reservations, func(r remoteDemand[ident.DataCentre]) bool { return !l.isUnreachable(r.id) })
		for _, dc := range l.unreachable {
			if _, ok := find(a.reservations, dc); !ok {
				a.reservations = upsert(a.reservations, remoteDemand[ident.DataCentre]{id: dc, rate: l.reservation(a, dc, reachable)})
			}
		}
	}
	return reservedTotal(a)
}

func reservedTotal(a *account) rates {
	sum := rates{}
	for _, r := range a.reservations {
		sum = sum.plus(r.rate)
	}
	return sum
}

// reservation returns the share of a data centre that has become unreachable, by its last known
// demand, in what the others leave. One that has never reported gets an equal share.
func (l *Ledger) reservation(a *account, dc ident.DataCentre, reachable demandSum) rates {
	if l.centres[dc].unheard {
		equal := 1 / ident.PerMinute(1+len(l.centres))
		return rates{requests: equal, tokens: equal}
	}
	all := l.demandAt(a, dc, reachable)
	left, share := reservedTotal(a).times(-1).plus(rates{requests: 1, tokens: 1}), all.share()
	return rates{requests: share.requests * left.requests, tokens: share.tokens * left.tokens}
}

// demandAt returns the demand of all data centres without a reservation, with dc as the local one.
// With a bound it is that of the time at which dc was last heard: it does not know what the others
// have reported since.
func (l *Ledger) demandAt(a *account, dc ident.DataCentre, reachable demandSum) demandSum {
	if l.bounds.Window <= 0 {
		all := demandSum{limits: a.limits, total: reachable.total}
		l.addUnreserved(a, dc, &all, l.unreachable, l.lastKnown)
		return all
	}
	at := l.centres[dc].lastSeen
	all := demandSum{limits: a.limits}
	all.addRemote(a.centreDemand.at(at, l.decay()), l.floorFor(a, l.dc))
	l.addUnreserved(a, dc, &all, slices.Sorted(maps.Keys(l.centres)), func(a *account, dc ident.DataCentre) rates {
		if i, ok := find(a.centres, dc); ok {
			// A report is valid until the next one.
			return a.centres[i].log.at(at, 1)
		}
		return rates{}
	})
	return all
}

// addUnreserved adds the demand of the given data centres that have no reservation.
func (l *Ledger) addUnreserved(a *account, dc ident.DataCentre, all *demandSum, centres []ident.DataCentre, demand func(*account, ident.DataCentre) rates) {
	for _, other := range centres {
		if _, ok := find(a.reservations, other); ok || l.centres[other].unheard {
			continue
		}
		if other == dc {
			all.addLocal(demand(a, other), l.floorFor(a, other))
		} else {
			all.addRemote(demand(a, other), l.floorFor(a, other))
		}
	}
}

// lastKnown returns the last reported demand of an account at a data centre.
func (l *Ledger) lastKnown(a *account, dc ident.DataCentre) rates {
	if i, ok := find(a.centres, dc); ok && l.isCurrent(&a.centres[i]) {
		return a.centres[i].rate
	}
	return rates{}
}

// addInactive adds the floors of the data centres without demand for an account. With a bound they
// count: several that become active at the same time would each admit the whole limit.
func (l *Ledger) addInactive(a *account, centres *demandSum) {
	if l.bounds.Window <= 0 {
		return
	}
	for dc, c := range l.centres {
		if i, ok := find(a.centres, dc); c.unheard || l.isUnreachable(dc) || ok && l.isCurrent(&a.centres[i]) {
			continue
		}
		centres.addRemote(rates{}, l.floorFor(a, dc))
	}
}

// exchangedDemand returns the demand in the local data centre that counts for its share. With a
// bound it is the demand at the time of the last summary from the reachable data centre that has
// been silent for longest, which is about what the others know: if the share followed later demand, the shares
// of a partitioned deployment would add up to more than one.
func (l *Ledger) exchangedDemand(a *account, now rates) rates {
	if l.bounds.Window <= 0 {
		return now
	}
	a.centreDemand.add(l.now, now)
	at := l.now
	for dc, c := range l.centres {
		if !l.isUnreachable(dc) {
			at = min(at, c.lastSeen)
		}
	}
	return a.centreDemand.at(at, l.decay())
}

func (l *Ledger) isUnreachable(dc ident.DataCentre) bool {
	_, ok := slices.BinarySearch(l.unreachable, dc)
	return ok
}

// share returns the local part of the sum, 1 where the sum is zero.
func (s *demandSum) share() rates {
	return rates{requests: ratio(s.local.requests, s.total.requests), tokens: ratio(s.local.tokens, s.total.tokens)}
}

func ratio(part, whole ident.PerMinute) ident.PerMinute {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// floorFor returns the share of the limit that is added to the demand of a data centre.
func (l *Ledger) floorFor(a *account, dc ident.DataCentre) ident.PerMinute {
	switch {
	case a.home != "" && l.regions[dc] == a.home:
		return homeFloorShare
	case l.bounds.Window > 0:
		return boundFloorShare
	}
	return floorShare
}

// updateUnreachable finds the unreachable data centres. Until they report again, their share
// stays reserved for them: they may still admit requests, and may have become active since
// their last report.
func (l *Ledger) updateUnreachable() {
	l.reachabilityCheckedAt = l.now
	var now []ident.DataCentre
	for dc, c := range l.centres {
		if c.unheard || l.now.Sub(c.lastSeen) >= cmp.Or(l.bounds.Timeout, unreachableTimeout) {
			now = append(now, dc)
		}
	}
	slices.Sort(now)
	if !slices.Equal(now, l.unreachable) {
		l.unreachable = now
		l.reachabilityChanges++
	}
}
