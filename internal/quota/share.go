package quota

import (
	"cmp"
	"math"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// decayPerSecond is the factor by which a demand decays each second.
const decayPerSecond = 0.9

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

func (d *demand) add(now ident.Time, tokens ident.Tokens) {
	// perMinute is -ln(decayPerSecond)*60, which makes a steady demand converge to its
	// true rate.
	const perMinute = 6.321630939
	d.rate = d.rateAt(now)
	d.updatedAt = now
	d.rate.requests += perMinute
	d.rate.tokens += perMinute * ident.PerMinute(max(tokens, 0))
}

func (d *demand) rateAt(now ident.Time) rates {
	f := ident.PerMinute(math.Pow(decayPerSecond, now.Sub(d.updatedAt).Seconds()))
	return d.rate.times(f)
}

// remoteDemand is the demand of an account at another host or data centre.
type remoteDemand[T cmp.Ordered] struct {
	id   T
	rate rates
	// reportNumber is the number of the report that contained the demand.
	reportNumber uint64
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

// shares returns the local share of each limit of an account.
func (l *Ledger) shares(a *account) rates {
	sum := a.localDemand.rateAt(l.now)
	hosts := demandSum{limits: a.limits}
	hosts.addLocal(sum, floorShare)
	for i := range a.peers {
		hosts.addRemote(a.peers[i].rate, floorShare)
		sum = sum.plus(a.peers[i].rate)
	}
	centres := demandSum{limits: a.limits}
	centres.addLocal(sum, l.floorFor(a, l.dc))
	for i := range a.centres {
		if p := &a.centres[i]; l.isCurrent(p) {
			centres.addRemote(p.rate, l.floorFor(a, p.id))
		}
	}
	for _, dc := range l.unreachable {
		if _, ok := find(a.centres, dc); !ok {
			centres.addRemote(rates{}, floorShare)
		}
	}
	return rates{
		requests: ratio(hosts.local.requests, hosts.total.requests) * ratio(centres.local.requests, centres.total.requests),
		tokens:   ratio(hosts.local.tokens, hosts.total.tokens) * ratio(centres.local.tokens, centres.total.tokens),
	}
}

func ratio(part, whole ident.PerMinute) ident.PerMinute {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// floorFor returns the share of the limit that is added to the demand of a data centre.
func (l *Ledger) floorFor(a *account, dc ident.DataCentre) ident.PerMinute {
	if a.home != "" && l.regions[dc] == a.home {
		return homeFloorShare
	}
	return floorShare
}

// updateUnreachable finds the unreachable data centres. They may have become active
// since their last report, so shares counts the floor of each for every account.
func (l *Ledger) updateUnreachable() {
	l.reachabilityCheckedAt = l.now
	l.unreachable = l.unreachable[:0]
	for dc, c := range l.centres {
		if l.now.Sub(c.lastSeen) >= unreachableTimeout {
			l.unreachable = append(l.unreachable, dc)
		}
	}
	slices.Sort(l.unreachable)
}
