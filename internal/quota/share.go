package quota

import (
	"cmp"
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
	parts  int
}

func (s *demandSum) addLocal(r rates, floor ident.PerMinute) {
	s.local = r.capped(s.limits).plus(s.limits.times(floor))
	s.total = s.total.plus(s.local)
	s.parts++
}

func (s *demandSum) addRemote(r rates, floor ident.PerMinute) {
	s.total = s.total.plus(r.capped(s.limits)).plus(s.limits.times(floor))
	s.parts++
}

// spreadSurplus divides what the demand leaves of the limits equally among the parts, so that a
// part whose demand rises for a moment has more than its usual share.
func (s *demandSum) spreadSurplus() {
	if s.parts == 0 {
		return
	}
	left := s.limits.plus(s.total.times(-1))
	each := rates{requests: max(left.requests, 0), tokens: max(left.tokens, 0)}.times(1 / ident.PerMinute(s.parts))
	s.local = s.local.plus(each)
	s.total = s.total.plus(each.times(ident.PerMinute(s.parts)))
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
