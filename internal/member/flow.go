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
	// flowWeight is the weight of the newest sample.
	flowWeight = 0.6
	// missWeight is the weight of one prompt in the average fraction of prompts that engines
	// prefill.
	missWeight = 1.0 / 64
	// eventTokens is the work of one event of a stream, expressed in prompt tokens: an event has
	// eight or nine tokens, each of which takes a tenth of a millisecond of the time of an engine
	// that prefills 57 tokens per millisecond.
	eventTokens = 50
	// spillThreshold is the fraction of their time that targets may be busy before any of their
	// work is sent to another data centre.
	spillThreshold = 0.25
	// minLongPrefix is the number of tokens from which on a prefix is worth sending to the engines
	// that cache it, whatever their region.
	minLongPrefix = 2048
)

// serviceFlow measures the demand of this host's callers for a service: in prompt tokens if its
// targets are engines, otherwise in seconds of slot time.
type serviceFlow struct {
	service string
	// alone and shared are the work since sampleStart, without and with a long shared prefix. rate
	// is the smoothed work a second.
	alone, shared float64
	sampleStart   ident.Time
	rate          event.PrefillDemand
}

// closeSample adds the current sample to the rate once sampleInterval is over.
func (f *serviceFlow) closeSample(now ident.Time) {
	span := now.Sub(f.sampleStart)
	if span < sampleInterval {
		return
	}
	f.rate.UnsharedPrefill += flowWeight * (f.alone/span.Seconds() - f.rate.UnsharedPrefill)
	f.rate.SharedPrefill += flowWeight * (f.shared/span.Seconds() - f.rate.SharedPrefill)
	f.alone, f.shared, f.sampleStart = 0, 0, now
}

// RecordDemand records a request that a caller sent to this host, wherever it is then served. The
// argument events is the expected number of events in its answer.
func (tb *Table) RecordDemand(now ident.Time, r *event.Request, events float64) {
	if r.Prompt == 0 {
		f := tb.flowOf(now, r.Service)
		f.closeSample(now)
		f.alone += tb.serviceStats.RequestTime(r.Service).Seconds()
		return
	}
	miss, ok := tb.missRatios[r.Service]
	if !ok {
		miss = 1
	}
	work := miss*float64(r.Prompt) + eventTokens*events
	f := tb.flowOf(now, r.Service)
	f.closeSample(now)
	if HasLongSharedPrefix(r) {
		f.shared += work
		return
	}
	f.alone += work
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
	miss, ok := tb.missRatios[service]
	if !ok {
		miss = 1
	}
	tb.missRatios[service] = miss + missWeight*(sample-miss)
}

func (tb *Table) flowOf(now ident.Time, service string) *serviceFlow {
	i, ok := slices.BinarySearchFunc(tb.flows, service, func(f *serviceFlow, s string) int { return strings.Compare(f.service, s) })
	if !ok {
		tb.flows = slices.Insert(tb.flows, i, &serviceFlow{service: service, sampleStart: now, rate: event.PrefillDemand{Service: service}})
	}
	return tb.flows[i]
}

// ownFlows returns the demand at this host, for its peers.
func (tb *Table) ownFlows(now ident.Time) []event.PrefillDemand {
	var fs []event.PrefillDemand
	for _, f := range tb.flows {
		f.closeSample(now)
		if f.rate.UnsharedPrefill+f.rate.SharedPrefill > 0 {
			fs = append(fs, f.rate)
		}
	}
	return fs
}

// demand returns the work a second that the callers of all live hosts of this data centre send for
// a service.
func (tb *Table) demand(now ident.Time, service string) (alone, shared float64) {
	for _, f := range tb.flows {
		if f.service == service {
			f.closeSample(now)
			alone += f.rate.UnsharedPrefill
			shared += f.rate.SharedPrefill
		}
	}
	for _, p := range tb.peers {
		if !p.live(now) {
			continue
		}
		for _, f := range p.flows {
			if f.Service == service {
				alone += f.UnsharedPrefill
				shared += f.SharedPrefill
			}
		}
	}
	return alone, shared
}

// CentreRoom is the work that a data centre may take.
type CentreRoom struct {
	// Centre is nil for this data centre.
	Centre *Centre
	// Work is the work a second that the data centre may take.
	Work float64

	// capacity is the number of its engines or slots, alone the demand of its callers without a
	// long shared prefix.
	capacity, alone float64
}

// Spill returns how much work with a long shared prefix each data centre may take, and the fraction
// of the other work of local callers that is sent to other data centres. The argument prompts says
// that the targets of the service are engines, whose capacity is counted in engines and not in slots.
//
// Free slots and the pace of streams lag behind the load, so the demand of callers is balanced
// instead. All data centres know the demand of each other and compute the same balanced load.
// Forwarding does not change the demand, so the balance does not oscillate.
//
// Below spillThreshold all work stays local. Between the threshold and twice its value the share of
// the shared prefixes that may go to other data centres grows from zero to all, so that a small
// change in demand moves only few of them.
func (tb *Table) Spill(now ident.Time, service string, prompts bool, rooms []CentreRoom) (float64, []CentreRoom) {
	rooms = rooms[:0]
	id := PoolID{Service: service}
	size, threshold := slotsOf, spillThreshold
	if prompts {
		size, threshold = enginesOf, spillThreshold*tb.serviceStats.PrefillRate(service)
	}
	alone, shared := tb.demand(now, service)
	own := CentreRoom{alone: alone}
	if p, ok := tb.pool(id); ok {
		own.capacity = size(&p.Pool)
	}
	rooms = append(rooms, own)
	for _, c := range tb.centres {
		if p := c.Pool(id); p != nil && !c.CutOff(now) {
			rooms = append(rooms, CentreRoom{Centre: c, capacity: size(p), alone: p.UnsharedPrefill})
			shared += p.SharedPrefill
		}
	}
	level := evenLevel(rooms, shared)
	remoteShare := 1.0
	if threshold > 0 {
		remoteShare = min(1, max(0, level/threshold-1))
	}
	level = max(level, threshold)
	for i := range rooms {
		rooms[i].Work = max(0, level*rooms[i].capacity-rooms[i].alone)
		if i > 0 && own.alone <= level*own.capacity {
			rooms[i].Work *= remoteShare
		}
	}
	if alone <= 0 {
		return 0, rooms
	}
	return max(0, 1-level*own.capacity/alone), rooms
}

func enginesOf(p *event.Pool) float64 { return float64(p.Targets) }

func slotsOf(p *event.Pool) float64 { return float64(p.Slots) }

// evenLevel returns the work for each engine or slot if all work is distributed evenly.
func evenLevel(rooms []CentreRoom, shared float64) float64 {
	work, capacity := shared, 0.0
	for _, r := range rooms {
		work += r.alone
		capacity += r.capacity
	}
	if capacity == 0 {
		return 0
	}
	return work / capacity
}

// demandSteps is the number of steps in which the demand doubles. When the demand enters a new
// step, the other data centres are notified at once.
const demandSteps = 8

// demandStep returns the step of the current demand of a pool.
func demandStep(p *event.Pool) uint64 {
	if p.UnsharedPrefill+p.SharedPrefill < 1 {
		return 0
	}
	return uint64(demandSteps * math.Log2(p.UnsharedPrefill+p.SharedPrefill))
}
