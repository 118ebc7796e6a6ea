package quota

import (
	"cmp"
	"math"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// decay is what remains of a demand after one second.
const decay = 0.9

// Least rates at which an account counts as active.
const (
	leastRequests ident.PerMinute = 0.05
	leastTokens   ident.PerMinute = 1
)

// rates is a demand or limit in requests and tokens a minute.
type rates struct {
	requests ident.PerMinute
	tokens   ident.PerMinute
}

func (r rates) active() bool { return r.requests >= leastRequests || r.tokens >= leastTokens }

func (r rates) plus(o rates) rates {
	return rates{requests: r.requests + o.requests, tokens: r.tokens + o.tokens}
}

func (r rates) times(f ident.PerMinute) rates {
	return rates{requests: r.requests * f, tokens: r.tokens * f}
}

func (r rates) capped(most rates) rates {
	return rates{requests: min(r.requests, most.requests), tokens: min(r.tokens, most.tokens)}
}

func (r rates) use(name ident.Account) event.AccountUse {
	return event.AccountUse{Account: name, Requests: r.requests, Tokens: r.tokens}
}

// ratesOf reads a report. What is no sensible rate counts as none: a NaN would
// spread to every share that it is added to.
func ratesOf(u event.AccountUse) rates {
	return rates{requests: sane(u.Requests), tokens: sane(u.Tokens)}
}

func sane(r ident.PerMinute) ident.PerMinute {
	if r > 0 && !math.IsInf(float64(r), 0) {
		return r
	}
	return 0
}

// demand is a smoothed rate: each second a tenth of the weight of what came
// before is lost. It decays all the time and not in steps: with a step each
// second a report made after the step lies below the demand that its reader
// compares it with, and the shares add up to more than the limit.
type demand struct {
	rate rates
	at   ident.Time
}

func (d *demand) add(now ident.Time, tokens ident.Tokens) {
	// perMinute is -ln(decay)*60, so that a steady demand reads as itself.
	const perMinute = 6.321630939
	d.rate = d.read(now)
	d.at = now
	d.rate.requests += perMinute
	d.rate.tokens += perMinute * ident.PerMinute(max(tokens, 0))
}

func (d *demand) read(now ident.Time) rates {
	f := ident.PerMinute(math.Pow(decay, now.Sub(d.at).Seconds()))
	return d.rate.times(f)
}

// place is the demand of an account at another host or data centre.
type place[T cmp.Ordered] struct {
	id   T
	rate rates
	// report is the number of the report that contained it.
	report uint64
}

func find[T cmp.Ordered](ps []place[T], id T) (int, bool) {
	return slices.BinarySearchFunc(ps, id, func(p place[T], id T) int { return cmp.Compare(p.id, id) })
}

func with[T cmp.Ordered](ps []place[T], p place[T]) []place[T] {
	i, ok := find(ps, p.id)
	if ok {
		ps[i] = p
		return ps
	}
	return slices.Insert(ps, i, p)
}

func without[T cmp.Ordered](ps []place[T], id T) []place[T] {
	if i, ok := find(ps, id); ok {
		return slices.Delete(ps, i, i+1)
	}
	return ps
}

// sharing gathers demand, capped at the limits: a caller that asks for more
// than its limit at one place must not starve the others.
type sharing struct {
	limits rates
	own    rates
	sum    rates
}

func (s *sharing) mine(r rates, floor ident.PerMinute) {
	s.own = r.capped(s.limits).plus(s.limits.times(floor))
	s.sum = s.sum.plus(s.own)
}

func (s *sharing) others(r rates, floor ident.PerMinute) {
	s.sum = s.sum.plus(r.capped(s.limits)).plus(s.limits.times(floor))
}

// shares returns the own share of each limit of an account.
func (l *Ledger) shares(a *account) rates {
	sum := a.own.read(l.now)
	hosts := sharing{limits: a.limits}
	hosts.mine(sum, floorShare)
	for i := range a.peers {
		hosts.others(a.peers[i].rate, floorShare)
		sum = sum.plus(a.peers[i].rate)
	}
	centres := sharing{limits: a.limits}
	centres.mine(sum, l.floor(a, l.dc))
	for i := range a.centres {
		if p := &a.centres[i]; l.holds(p) {
			centres.others(p.rate, l.floor(a, p.id))
		}
	}
	for _, dc := range l.quiet {
		if _, ok := find(a.centres, dc); !ok {
			centres.others(rates{}, floorShare)
		}
	}
	return rates{
		requests: ratio(hosts.own.requests, hosts.sum.requests) * ratio(centres.own.requests, centres.sum.requests),
		tokens:   ratio(hosts.own.tokens, hosts.sum.tokens) * ratio(centres.own.tokens, centres.sum.tokens),
	}
}

func ratio(part, whole ident.PerMinute) ident.PerMinute {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// floor is what a data centre counts on top of its demand.
func (l *Ledger) floor(a *account, dc ident.DataCentre) ident.PerMinute {
	if a.home != "" && l.regions[dc] == a.home {
		return homeFloor
	}
	return floorShare
}

// listen finds the data centres that are cut off. They may have demand that
// has begun since, so each counts its floor for every account.
func (l *Ledger) listen() {
	l.listened = l.now
	l.quiet = l.quiet[:0]
	for dc, c := range l.centres {
		if l.now.Sub(c.lastSeen) >= silentAfter {
			l.quiet = append(l.quiet, dc)
		}
	}
	slices.Sort(l.quiet)
}
