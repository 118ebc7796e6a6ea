package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

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
// before is lost.
type demand struct {
	rate rates
	// second is the whole second that rate stands for.
	second int64
}

func (d *demand) add(now ident.Time, tokens ident.Tokens) {
	const perMinute = (1 - decay) * 60
	d.rate = d.at(now)
	d.second = int64(now / ident.Time(time.Second))
	d.rate.requests += perMinute
	d.rate.tokens += perMinute * ident.PerMinute(max(tokens, 0))
}

func (d *demand) at(now ident.Time) rates {
	past := int64(now/ident.Time(time.Second)) - d.second
	if past <= 0 {
		return d.rate
	}
	f := ident.PerMinute(math.Pow(decay, float64(past)))
	return rates{requests: d.rate.requests * f, tokens: d.rate.tokens * f}
}

// place is the demand of an account at another host or data centre.
type place[T cmp.Ordered] struct {
	id   T
	rate rates
	// report is the number of the report that told it.
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

// sharing gathers the demand of one measure, capped at the limit: a caller
// that asks for more than its limit at one place must not starve the others.
type sharing struct {
	limit ident.PerMinute
	own   ident.PerMinute
	sum   ident.PerMinute
}

func (s *sharing) mine(r, floor ident.PerMinute) {
	s.own = min(r, s.limit) + floor
	s.sum += s.own
}

func (s *sharing) others(r, floor ident.PerMinute) { s.sum += min(r, s.limit) + floor }

func (s *sharing) share() ident.PerMinute {
	if s.limit <= 0 {
		return 1
	}
	return s.own / s.sum
}

// shares returns the own share of each limit of an account.
func (l *Ledger) shares(a *account) rates {
	own := a.own.at(l.now)
	return rates{
		requests: l.share(a, own, a.limits.requests, func(r rates) ident.PerMinute { return r.requests }),
		tokens:   l.share(a, own, a.limits.tokens, func(r rates) ident.PerMinute { return r.tokens }),
	}
}

func (l *Ledger) share(a *account, own rates, limit ident.PerMinute, of func(rates) ident.PerMinute) ident.PerMinute {
	hosts := sharing{limit: limit}
	hosts.mine(of(own), floorShare*limit)
	sum := own
	for _, p := range a.peers {
		hosts.others(of(p.rate), floorShare*limit)
		sum = sum.plus(p.rate)
	}
	centres := sharing{limit: limit}
	centres.mine(of(sum), l.floor(a, l.dc)*limit)
	for _, p := range a.centres {
		if l.holds(p) {
			centres.others(of(p.rate), l.floor(a, p.id)*limit)
		}
	}
	centres.sum += limit * floorShare * ident.PerMinute(l.silent(a))
	return hosts.share() * centres.share()
}

// floor is what a data centre counts on top of its demand.
func (l *Ledger) floor(a *account, dc ident.DataCentre) ident.PerMinute {
	if a.home != "" && l.regions[dc] == a.home {
		return homeFloor
	}
	return floorShare
}

// silent counts the data centres that are cut off and were not known to have
// demand of an account. Some of it may have begun there since.
func (l *Ledger) silent(a *account) int {
	n := 0
	for dc, c := range l.centres {
		if l.now.Sub(c.heard) < silentAfter {
			continue
		}
		if _, ok := find(a.centres, dc); !ok {
			n++
		}
	}
	return n
}
