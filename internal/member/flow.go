package member

import (
	"math"
	"slices"
	"strings"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Measurement of the demand of callers, and its distribution over the data centres.
const (
	// sampleInterval is the time that one sample of the demand covers. Digests go out at the same
	// interval.
	sampleInterval = HeartbeatInterval
	// sampleWeight is the weight of the newest sample.
	sampleWeight = 0.6
	// prefillShareWeight is the weight of one prompt in the moving average of the fraction of
	// prompt tokens that engines have to prefill.
	prefillShareWeight = 1.0 / 64
	// eventTokens is the work of one event of a stream, expressed in prompt tokens: an event has
	// eight or nine tokens, each of which takes a tenth of a millisecond of the time of an engine
	// that prefills 57 tokens per millisecond.
	eventTokens = 50
	// spillThreshold is the fraction of their time that targets may be busy before any of their
	// work is sent to another data centre.
	spillThreshold = 0.25
	// minLongPrefix is the number of tokens from which on a shared prefix counts as long: its
	// prompts are worth sending to the engines that cache it, in whatever region.
	minLongPrefix = 2048
)

// serviceDemand measures the demand of this host's callers for a service: in prompt tokens if its
// targets are engines, otherwise in seconds of slot time.
type serviceDemand struct {
	service string
	// unshared and shared are the work since sampleStart, without and with a long shared prefix.
	// rate is the smoothed work a second.
	unshared, shared float64
	sampleStart      ident.Time
	rate             event.PrefillDemand
}

// closeSample adds the current sample to the rate once sampleInterval is over.
func (f *serviceDemand) closeSample(now ident.Time) {
	span := now.Sub(f.sampleStart)
	if span < sampleInterval {
		return
	}
	f.rate.UnsharedPrefill += sampleWeight * (f.unshared/span.Seconds() - f.rate.UnsharedPrefill)
	f.rate.SharedPrefill += sampleWeight * (f.shared/span.Seconds() - f.rate.SharedPrefill)
	f.unshared, f.shared, f.sampleStart = 0, 0, now
}

// RecordDemand records a request that a caller sent to this host, wherever it is then served. The
// argument events is the expected number of events in its answer.
func (tb *Table) RecordDemand(now ident.Time, r *event.Request, events float64) {
	if r.Prompt == 0 {
		f := tb.serviceDemandOf(now, r.Service)
		f.closeSample(now)
		f.unshared += tb.serviceStats.RequestTime(r.Service).Seconds()
		return
	}
	share, ok := tb.prefillShares[r.Service]
	if !ok {
		share = 1
	}
	work := share*float64(r.Prompt) + eventTokens*events
	f := tb.serviceDemandOf(now, r.Service)
	f.closeSample(now)
	if HasLongSharedPrefix(r) {
		f.shared += work
		return
	}
	f.unshared += work
}

// HasLongSharedPrefix reports whether a prompt has a long prefix in common with other prompts.
func HasLongSharedPrefix(r *event.Request) bool {
	n := len(r.Prefix)
	return n > 0 && r.SharedBlocks <= n && float64(r.Prompt)*float64(r.SharedBlocks)/float64(n) >= minLongPrefix
}

// RecordPrefillShare records how many tokens of a prompt its engine probably had to prefill.
func (tb *Table) RecordPrefillShare(service string, prompt, prefilled ident.Tokens) {
	if prompt <= 0 || service == "" {
		return
	}
	sample := min(1, float64(prefilled)/float64(prompt))
	share, ok := tb.prefillShares[service]
	if !ok {
		share = 1
	}
	tb.prefillShares[service] = share + prefillShareWeight*(sample-share)
}

func (tb *Table) serviceDemandOf(now ident.Time, service string) *serviceDemand {
	i, ok := slices.BinarySearchFunc(tb.demands, service, func(f *serviceDemand, s string) int { return strings.Compare(f.service, s) })
	if !ok {
		tb.demands = slices.Insert(tb.demands, i, &serviceDemand{service: service, sampleStart: now, rate: event.PrefillDemand{Service: service}})
	}
	return tb.demands[i]
}

// ownDemand returns the demand at this host, for its peers.
func (tb *Table) ownDemand(now ident.Time) []event.PrefillDemand {
	var fs []event.PrefillDemand
	for _, f := range tb.demands {
		f.closeSample(now)
		if f.rate.UnsharedPrefill+f.rate.SharedPrefill > 0 {
			fs = append(fs, f.rate)
		}
	}
	return fs
}

// demand returns the work a second that the callers of all live hosts of this data centre send for
// a service.
func (tb *Table) demand(now ident.Time, service string) (unshared, shared float64) {
	for _, f := range tb.demands {
		if f.service == service {
			f.closeSample(now)
			unshared += f.rate.UnsharedPrefill
			shared += f.rate.SharedPrefill
		}
	}
	for _, p := range tb.peers {
		if !p.live(now) {
			continue
		}
		for _, f := range p.demands {
			if f.Service == service {
				unshared += f.UnsharedPrefill
				shared += f.SharedPrefill
			}
		}
	}
	return unshared, shared
}

// CentreAllocation is the work that a data centre may take. The unit of work is a prompt token if
// the targets of the service are engines, otherwise a second of slot time.
type CentreAllocation struct {
	// Centre is nil for this data centre.
	Centre *Centre
	// Work is the work a second that the data centre may take.
	Work float64

	// capacity is the number of its engines or slots, unshared the demand of its callers without a
	// long shared prefix.
	capacity, unshared float64
}

// Spill returns the fraction of the work without a long shared prefix of local callers that is sent
// to other data centres, and how much work with a long shared prefix each data centre may take,
// this one first. If onEngines is set, the targets of the service are engines, and capacity is
// counted in engines instead of slots. Spill reuses the memory of allocs.
//
// Free slots and the pace of streams lag behind the load, so the demand of callers is balanced
// instead. All data centres know the demand of each other and compute the same balanced load.
// Forwarding does not change the demand, so the balance does not oscillate.
//
// While the balanced load is below spillThreshold, work stays local unless the work without a long
// shared prefix exceeds the threshold here. Between the threshold and twice its value the share of
// the shared prefixes that may go to other data centres grows from zero to all, so that a small
// change in demand moves only few of them.
func (tb *Table) Spill(now ident.Time, service string, onEngines bool, allocs []CentreAllocation) (float64, []CentreAllocation) {
	allocs = allocs[:0]
	id := PoolID{Service: service}
	size, threshold := slotsOf, spillThreshold
	if onEngines {
		size, threshold = enginesOf, spillThreshold*tb.serviceStats.PrefillRate(service)
	}
	unshared, shared := tb.demand(now, service)
	own := CentreAllocation{unshared: unshared}
	if p, ok := tb.pool(id); ok {
		own.capacity = size(&p.Pool)
	}
	allocs = append(allocs, own)
	for _, c := range tb.centres {
		if p := c.Pool(id); p != nil && !c.CutOff(now) {
			allocs = append(allocs, CentreAllocation{Centre: c, capacity: size(p), unshared: p.UnsharedPrefill})
			shared += p.SharedPrefill
		}
	}
	level := evenLevel(allocs, shared)
	spillShare := 1.0
	if threshold > 0 {
		spillShare = min(1, max(0, level/threshold-1))
	}
	level = max(level, threshold)
	for i := range allocs {
		allocs[i].Work = max(0, level*allocs[i].capacity-allocs[i].unshared)
		if i > 0 && own.unshared <= level*own.capacity {
			allocs[i].Work *= spillShare
		}
	}
	if unshared <= 0 {
		return 0, allocs
	}
	return max(0, 1-level*own.capacity/unshared), allocs
}

func enginesOf(p *event.Pool) float64 { return float64(p.Targets) }

func slotsOf(p *event.Pool) float64 { return float64(p.Slots) }

// evenLevel returns the work a second for each engine or slot if all work is distributed evenly.
func evenLevel(allocs []CentreAllocation, shared float64) float64 {
	work, capacity := shared, 0.0
	for _, a := range allocs {
		work += a.unshared
		capacity += a.capacity
	}
	if capacity == 0 {
		return 0
	}
	return work / capacity
}

// demandSteps is the number of steps in each doubling of the demand. When the demand enters a new
// step, the other data centres are notified at once.
const demandSteps = 8

// demandStep returns the step of the current demand of a pool.
func demandStep(p *event.Pool) uint64 {
	if p.UnsharedPrefill+p.SharedPrefill < 1 {
		return 0
	}
	return uint64(demandSteps * math.Log2(p.UnsharedPrefill+p.SharedPrefill))
}
