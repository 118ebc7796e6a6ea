package member

import (
	"math"
	"slices"
	"strings"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Following of the work that callers bring, and sharing it out.
const (
	// flowSpan is the time that one sample of the work covers. Digests go out as
	// often.
	flowSpan = HeartbeatInterval
	// flowWeight is the weight of the newest sample.
	flowWeight = 0.6
	// missWeight is the weight of one prompt in the part of prompts that engines
	// have to read.
	missWeight = 1.0 / 64
	// eventWork is the work of one event of a stream, in tokens to read: an event of
	// eight or nine tokens takes a tenth of a millisecond each of the time of an engine
	// that reads 57 tokens in one.
	eventWork = 50
	// easyUse is the part of their time that targets may work before any of it goes elsewhere.
	easyUse = 0.25
	// longShared is the number of tokens from which on a prefix is worth going to the
	// engines that cache it, in whichever region.
	longShared = 2048
)

// flow follows the work that the callers of this host bring for a service: in tokens
// to read where its targets are engines, and in seconds of a slot where they are not.
type flow struct {
	service string
	// alone and shared are what came since from, by kind; rate is what came a second
	// before.
	alone, shared float64
	from          ident.Time
	rate          event.Flow
}

// turn closes the sample when its time is over.
func (f *flow) turn(now ident.Time) {
	span := now.Sub(f.from)
	if span < flowSpan {
		return
	}
	f.rate.Alone += flowWeight * (f.alone/span.Seconds() - f.rate.Alone)
	f.rate.Shared += flowWeight * (f.shared/span.Seconds() - f.rate.Shared)
	f.alone, f.shared, f.from = 0, 0, now
}

// Brought records a request that a caller brought for a service here, wherever
// it then runs, and of how many events its answer probably has.
func (tb *Table) Brought(now ident.Time, r *event.Request, events float64) {
	if r.Prompt == 0 {
		f := tb.flow(now, r.Service)
		f.turn(now)
		f.alone += tb.serviceStats.Run(r.Service).Seconds()
		return
	}
	miss, ok := tb.missRatios[r.Service]
	if !ok {
		miss = 1
	}
	work := miss*float64(r.Prompt) + eventWork*events
	f := tb.flow(now, r.Service)
	f.turn(now)
	if SharesMuch(r) {
		f.shared += work
		return
	}
	f.alone += work
}

// SharesMuch reports whether a prompt has a long prefix that other prompts share.
func SharesMuch(r *event.Request) bool {
	n := len(r.Prefix)
	return n > 0 && r.Shared <= n && float64(r.Prompt)*float64(r.Shared)/float64(n) >= longShared
}

// Read records how much of a prompt its engine probably has to prefill.
func (tb *Table) Read(service string, prompt, read ident.Tokens) {
	if prompt <= 0 || service == "" {
		return
	}
	sample := min(1, float64(read)/float64(prompt))
	miss, ok := tb.missRatios[service]
	if !ok {
		miss = 1
	}
	tb.missRatios[service] = miss + missWeight*(sample-miss)
}

func (tb *Table) flow(now ident.Time, service string) *flow {
	i, ok := slices.BinarySearchFunc(tb.flows, service, func(f *flow, s string) int { return strings.Compare(f.service, s) })
	if !ok {
		tb.flows = slices.Insert(tb.flows, i, &flow{service: service, from: now, rate: event.Flow{Service: service}})
	}
	return tb.flows[i]
}

// ownFlows returns the work of this host for its peers.
func (tb *Table) ownFlows(now ident.Time) []event.Flow {
	var fs []event.Flow
	for _, f := range tb.flows {
		f.turn(now)
		if f.rate.Alone+f.rate.Shared > 0 {
			fs = append(fs, f.rate)
		}
	}
	return fs
}

// demand returns the work a second that the callers of all live hosts of the own data
// centre bring for a service.
func (tb *Table) demand(now ident.Time, service string) (alone, shared float64) {
	for _, f := range tb.flows {
		if f.service == service {
			f.turn(now)
			alone += f.rate.Alone
			shared += f.rate.Shared
		}
	}
	for _, p := range tb.peers {
		if !p.live(now) {
			continue
		}
		for _, f := range p.flows {
			if f.Service == service {
				alone += f.Alone
				shared += f.Shared
			}
		}
	}
	return alone, shared
}

// Room is the work a second that a data centre may get.
type Room struct {
	// Centre is nil for the own data centre.
	Centre *Centre
	Room   float64

	// capacity is what its targets can do, in engines or slots.
	capacity, alone float64
}

// Spill returns the room of each data centre for prompts that share a long prefix, and the part
// of the others that callers here bring which goes elsewhere.
//
// Free slots and the pace of streams lag behind the load, so that the demand of callers is
// balanced instead. All data centres know it of each other and compute the same even level of
// use. Forwarding does not change the demand, so that the balance does not oscillate.
//
// Below easyUse all stays here. From there on to twice as much, other data centres get a growing
// part of the prefixes, so that a small change moves few of them.
func (tb *Table) Spill(now ident.Time, service string, prompts bool, rooms []Room) (float64, []Room) {
	rooms = rooms[:0]
	id := PoolID{Service: service}
	size, easy := slotsOf, easyUse
	if prompts {
		size, easy = enginesOf, easyUse*tb.serviceStats.Rate(service)
	}
	alone, shared := tb.demand(now, service)
	own := Room{alone: alone}
	if p, ok := tb.pool(id); ok {
		own.capacity = size(&p.Pool)
	}
	rooms = append(rooms, own)
	for _, c := range tb.centres {
		if p := c.Pool(id); p != nil && !c.CutOff(now) {
			rooms = append(rooms, Room{Centre: c, capacity: size(p), alone: p.Alone})
			shared += p.Shared
		}
	}
	level := levelOf(rooms, shared)
	far := 1.0
	if easy > 0 {
		far = min(1, max(0, level/easy-1))
	}
	level = max(level, easy)
	for i := range rooms {
		rooms[i].Room = max(0, level*rooms[i].capacity-rooms[i].alone)
		if i > 0 && own.alone <= level*own.capacity {
			rooms[i].Room *= far
		}
	}
	if alone <= 0 {
		return 0, rooms
	}
	return max(0, 1-level*own.capacity/alone), rooms
}

func enginesOf(p *event.Pool) float64 { return float64(p.Targets) }

func slotsOf(p *event.Pool) float64 { return float64(p.Slots) }

// levelOf returns the work of one engine or slot where all of it is spread evenly.
func levelOf(rooms []Room, shared float64) float64 {
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

// demandSteps is the number of steps by which the demand doubles. A new step is sent to the
// other data centres at once.
const demandSteps = 8

// demandStep returns the step that the demand of a pool is in.
func demandStep(p *event.Pool) uint64 {
	if p.Alone+p.Shared < 1 {
		return 0
	}
	return uint64(demandSteps * math.Log2(p.Alone+p.Shared))
}
