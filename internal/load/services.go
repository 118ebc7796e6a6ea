package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Smoothing of the typical values of a service.
const (
	// requestTimeDivisor is the inverse of the weight of one request in the typical request time.
	requestTimeDivisor = 8
	// minSampledPrompt is the length of the shortest prompt whose prefill time is sampled, in
	// tokens.
	minSampledPrompt = 1000
	// rateStep is the fraction by which a rate moves towards a sample. Steps of constant size
	// approach the median, because single samples deviate widely in both directions.
	rateStep = 1.0 / 16
	// maxRateRatio bounds the ratio between the rate of a target and the rate of its service.
	maxRateRatio = 2
	// paceWeight is the weight of one sample. A host takes a few samples a second for each service,
	// so that a change shows within about three seconds.
	paceWeight = 1.0 / 16
	// targetPaceWeight is the same for the pace of one target, of which a host has few streams.
	// targetPaceTTL is the age up to which that pace is used.
	targetPaceWeight = 1.0 / 4
	targetPaceTTL    = 1500 * time.Millisecond
	// paceHalfLife is the time in which the excess over the shortest gap halves without new
	// samples.
	paceHalfLife = 2 * time.Second
	// maxServices bounds the services whose rates are taken over from other hosts.
	maxServices = 256
	// minGapRise is the fraction by which the shortest gap moves up towards each sample, so that a
	// wrong one is corrected within minutes.
	minGapRise = 1.0 / 1024
)

// Services holds the typical values of each service whose targets report their load in answers. The
// zero value is empty.
type Services struct {
	byName map[string]*serviceStats
}

// serviceStats holds the prefill rate of the targets of a service in tokens a second, the duration
// of a request, and the pace of streams; each is zero if unknown.
type serviceStats struct {
	prefillRate float64
	requestTime time.Duration
	pace        Pace
}

// stats returns the values of a service, and adds an empty entry if there is none.
func (sv *Services) stats(name string) *serviceStats {
	st, ok := sv.byName[name]
	if !ok {
		if sv.byName == nil {
			sv.byName = make(map[string]*serviceStats)
		}
		st = &serviceStats{}
		sv.byName[name] = st
	}
	return st
}

// Rates returns what is known of each service, sorted by name.
func (sv *Services) Rates(now ident.Time) []event.ServiceRates {
	var rates []event.ServiceRates
	for _, name := range slices.Sorted(maps.Keys(sv.byName)) {
		st := sv.byName[name]
		rates = append(rates, event.ServiceRates{
			Service: name, PrefillRate: st.prefillRate, RequestTime: st.requestTime, EventGap: st.pace.GapAt(now), MinEventGap: st.pace.MinGap,
		})
	}
	return rates
}

// AdoptRates takes over what another host has measured, where nothing was measured here yet.
func (sv *Services) AdoptRates(now ident.Time, rates []event.ServiceRates) {
	for _, r := range rates {
		if _, ok := sv.byName[r.Service]; !ok && len(sv.byName) >= maxServices {
			return
		}
		st := sv.stats(r.Service)
		st.prefillRate = cmp.Or(st.prefillRate, r.PrefillRate)
		st.requestTime = cmp.Or(st.requestTime, r.RequestTime)
		if st.pace.MinGap == 0 && r.MinEventGap > 0 {
			st.pace = Pace{gap: max(r.EventGap, r.MinEventGap), MinGap: r.MinEventGap, at: now}
		}
	}
}

// RequestTime returns the typical duration of a request, zero if unknown.
func (sv *Services) RequestTime(name string) time.Duration {
	if st, ok := sv.byName[name]; ok {
		return st.requestTime
	}
	return 0
}

// PrefillRate returns the typical prefill rate of a target in tokens a second, zero if unknown.
func (sv *Services) PrefillRate(name string) float64 {
	if st, ok := sv.byName[name]; ok {
		return st.prefillRate
	}
	return 0
}

// Pace returns the pace of the streams of a service, and whether it is known.
func (sv *Services) Pace(name string) (Pace, bool) {
	if st, ok := sv.byName[name]; ok && st.pace.MinGap > 0 {
		return st.pace, true
	}
	return Pace{}, false
}

// ObserveRequest records how long a target took for a whole answer.
func (sv *Services) ObserveRequest(s *State, took time.Duration) {
	if s.Capacity == 0 {
		return
	}
	st := sv.stats(s.Service)
	if st.requestTime == 0 {
		st.requestTime = took
	}
	st.requestTime += (took - st.requestTime) / requestTimeDivisor
	s.requestTime = st.requestTime
}

// ObserveFirstToken records the time from sending a request to the first token of its answer. The
// target probably prefilled the given tokens of its prompt in that time, and before them the tokens
// that were already waiting.
func (sv *Services) ObserveFirstToken(s *State, prefill, before ident.Tokens, took time.Duration) {
	if s.Capacity == 0 || prefill < minSampledPrompt || took <= 0 {
		return
	}
	st := sv.stats(s.Service)
	rate := float64(prefill+before) / took.Seconds()
	st.prefillRate = stepTowards(st.prefillRate, rate)
	s.Load.PrefillRate = min(max(stepTowards(s.Load.PrefillRate, rate), st.prefillRate/maxRateRatio), st.prefillRate*maxRateRatio)
	s.hasPrefillRate = true
}

// stepTowards moves a rate by one rateStep towards a sample. The first sample becomes the rate.
func stepTowards(old, sample float64) float64 {
	switch {
	case old == 0:
		return sample
	case sample > old:
		return old * (1 + rateStep)
	}
	return old * (1 - rateStep)
}

// ObserveGap records the time between two consecutive events of a stream from a target.
func (sv *Services) ObserveGap(now ident.Time, s *State, gap time.Duration) {
	if s.Capacity == 0 || gap <= 0 {
		return
	}
	st := sv.stats(s.Service)
	st.pace.sample(now, gap, paceWeight)
	s.pace.sample(now, gap, targetPaceWeight)
}

// EventGap returns the time between two events of a stream at the target: that of this host's
// streams there if they are recent, otherwise the typical one of its service. It is zero if neither
// is known.
func (s *State) EventGap(now ident.Time) time.Duration {
	typical := time.Duration(0)
	if s.Load.DecodeRate > 0 {
		typical = time.Duration(float64(time.Second) / s.Load.DecodeRate)
	}
	if s.pace.MinGap == 0 || now.Sub(s.pace.at) > targetPaceTTL {
		return typical
	}
	return (s.pace.gap + typical) / 2
}

// ApplyTypical sets the typical values of its service in a target, and the prefill rate if this
// host has not measured one. With many hosts and many targets most pairs of a host and a target
// exchange no request within a minute, and a target with an unknown rate would look as if it
// prefilled any prompt in no time.
func (sv *Services) ApplyTypical(now ident.Time, s *State) {
	if s.Capacity == 0 {
		return
	}
	st, ok := sv.byName[s.Service]
	if !ok {
		st = &serviceStats{}
	}
	s.requestTime = st.requestTime
	s.Load.DecodeRate = st.pace.EventRate(now)
	if !s.hasPrefillRate {
		s.Load.PrefillRate = st.prefillRate
	}
}

// Pace is the time between two events of a stream, averaged over the streams of a service at the
// targets of this data centre. The zero value is unknown.
//
// An engine prefills prompts between the tokens of its streams, so that free slots say little about
// its spare capacity. The pace shows the load within seconds.
type Pace struct {
	gap time.Duration
	// MinGap is the shortest recent time between two events, zero if unknown.
	MinGap time.Duration
	at     ident.Time
}

// GapAt returns the estimated time between two events at the given time.
func (p Pace) GapAt(now ident.Time) time.Duration {
	excess := float64(p.gap - p.MinGap)
	return p.MinGap + time.Duration(excess*math.Exp2(-now.Sub(p.at).Seconds()/paceHalfLife.Seconds()))
}

// EventRate returns the events a second of one stream, zero if unknown.
func (p Pace) EventRate(now ident.Time) float64 {
	if gap := p.GapAt(now); gap > 0 {
		return 1 / gap.Seconds()
	}
	return 0
}

// sample merges a measured gap with the given weight. The first sample becomes the pace.
func (p *Pace) sample(now ident.Time, gap time.Duration, weight float64) {
	if p.MinGap == 0 {
		*p = Pace{gap: gap, MinGap: gap, at: now}
		return
	}
	p.gap = p.GapAt(now)
	p.gap += time.Duration(weight * float64(gap-p.gap))
	p.MinGap = min(p.MinGap+time.Duration(minGapRise*float64(gap-p.MinGap)), p.gap)
	p.at = now
}
