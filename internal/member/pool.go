package member

import (
	"cmp"
	"slices"
	"strings"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// pool is one pool of this data centre.
type pool struct {
	event.Pool
	id PoolID
	// offering is the state of the hysteresis for offers.
	offering    bool
	requestedAt ident.Time
	requested   bool
	// requestedHereAt is when a request at this host last asked for the pool. Requests of
	// peers are not relayed.
	requestedHereAt ident.Time
	requestedHere   bool
	priceSum        float64
}

// update sets the hysteresis state after a change in load or in the number of requests
// forwarded to other data centres.
func (p *pool) update(forwarded int) {
	switch {
	case forwarded > 0 || p.Slots == 0 || p.Free*percent < p.Slots*withdrawPercent:
		p.offering = false
	case p.Free*percent >= p.Slots*offerPercent && p.Slots > 0:
		p.offering = true
	}
}

func comparePools(a, b PoolID) int {
	return cmp.Or(
		strings.Compare(string(a.Serve.Model), string(b.Serve.Model)),
		strings.Compare(string(a.Serve.Version), string(b.Serve.Version)),
		strings.Compare(string(a.Serve.Adapter), string(b.Serve.Adapter)),
		strings.Compare(a.Service, b.Service),
	)
}

func (tb *Table) pool(id PoolID) (*pool, bool) {
	i, ok := tb.poolIndex(id)
	if !ok {
		return nil, false
	}
	return tb.pools[i], true
}

func (tb *Table) poolIndex(id PoolID) (int, bool) {
	return slices.BinarySearchFunc(tb.pools, id, func(p *pool, id PoolID) int { return comparePools(p.id, id) })
}

func (tb *Table) ensurePool(id PoolID) *pool {
	i, ok := tb.poolIndex(id)
	if !ok {
		p := &pool{id: id}
		p.Serve, p.Service = id.Serve, id.Service
		tb.pools = slices.Insert(tb.pools, i, p)
	}
	return tb.pools[i]
}

// PoolRequested records that a request asked for a pool that has no target here. This data
// centre then requests it from the others.
func (tb *Table) PoolRequested(now ident.Time, id PoolID) {
	p, added := tb.recordPoolRequest(now, id)
	if p == nil {
		return
	}
	if added || !p.requestedHere || now.Sub(p.requestedHereAt) > poolRequestTTL {
		// Another host may be the representative, and must be notified at once.
		tb.heartbeat.urgent = true
	}
	p.requestedHere, p.requestedHereAt = true, now
}

// RequestsQueued records that requests are queued here for lack of capacity. The data centre then
// requests capacity at once instead of at the next heartbeat.
func (tb *Table) RequestsQueued(now ident.Time) {
	if tb.requestsQueuedAt > 0 && now.Sub(tb.requestsQueuedAt) < minSummaryGap {
		return
	}
	tb.requestsQueuedAt = now
	tb.countPools(now)
	if slices.ContainsFunc(tb.pools, func(p *pool) bool { return p.Slots > 0 && needsCapacity(p.Free, p.Slots) }) {
		tb.heartbeat.summaryDue, tb.heartbeat.urgent = true, true
	}
}

// recordPoolRequest records a request for a pool by this host or a peer. It returns nil if
// there are too many pools.
func (tb *Table) recordPoolRequest(now ident.Time, id PoolID) (p *pool, added bool) {
	p, ok := tb.pool(id)
	if !ok {
		if len(tb.pools) >= maxPools {
			return nil, false
		}
		p = tb.ensurePool(id)
		tb.heartbeat.summaryDue = true
	}
	p.requested, p.requestedAt = true, now
	return p, !ok
}

// ownPoolRequests returns the pools without targets that requests at this host recently asked
// for.
func (tb *Table) ownPoolRequests(now ident.Time) []event.Want {
	var ws []event.Want
	for _, p := range tb.pools {
		if p.Targets == 0 && p.requestedHere && now.Sub(p.requestedHereAt) <= poolRequestTTL {
			ws = append(ws, event.Want{Serve: p.Serve, Service: p.Service})
		}
	}
	return ws
}

// countPools recomputes the pools from the targets.
func (tb *Table) countPools(now ident.Time) {
	for _, p := range tb.pools {
		*p = pool{
			Pool: event.Pool{Serve: p.Serve, Service: p.Service},
			id:   p.id, offering: p.offering, requestedAt: p.requestedAt, requested: p.requested, requestedHereAt: p.requestedHereAt, requestedHere: p.requestedHere,
		}
	}
	for _, t := range tb.targets {
		if !t.Usable(now) || t.Cold(now) || t.usableSlots(now) < t.Slots()/minUsableSlotsDivisor {
			continue
		}
		tb.addToPools(now, t)
	}
	tb.pools = slices.DeleteFunc(tb.pools, func(p *pool) bool {
		return p.Targets == 0 && (!p.requested || now.Sub(p.requestedAt) > poolRequestTTL)
	})
	for _, p := range tb.pools {
		if p.Targets > 0 {
			n := float64(p.Targets)
			p.PrefillRate /= n
			p.DecodeRate /= n
			p.Price = p.priceSum / n
		}
		p.UnsharedPrefill, p.SharedPrefill = tb.demand(now, p.Service)
		forwarded := 0
		if !tb.hasPace(p.id) {
			forwarded = tb.countForwarded(now, p.id)
		}
		p.update(forwarded)
	}
}

func (tb *Table) addToPools(now ident.Time, t *Target) {
	if t.Kind == event.Service {
		tb.ensurePool(PoolID{Service: t.Service}).addTarget(now, t, tb.remoteShare(now, t.Service))
		return
	}
	for _, sv := range t.Load.Serves {
		tb.ensurePool(PoolID{Serve: sv}).addTarget(now, t, 1)
	}
}

func (p *pool) addTarget(now ident.Time, t *Target, remoteShare float64) {
	outstanding := t.Outstanding(now)
	wait := t.Wait(now, outstanding, 1)
	if p.Targets == 0 || wait < p.Wait {
		p.Wait = wait
	}
	p.Targets++
	p.Slots += t.usableSlots(now)
	p.Free += min(t.Free(now, outstanding, remoteShare), max(t.usableSlots(now)-outstanding, 0))
	p.PrefillRate += t.Load.PrefillRate
	p.DecodeRate += t.Load.DecodeRate
	p.priceSum += t.Price
	if i, ok := slices.BinarySearch(p.Builds, t.Build); !ok && t.Build != "" {
		p.Builds = slices.Insert(p.Builds, i, t.Build)
	}
}

// countForwarded returns how many requests of a pool the hosts of this data centre have forwarded
// to others. A pool with such requests offers nothing unless the pace of streams is known, so that
// no two data centres exchange work.
func (tb *Table) countForwarded(now ident.Time, id PoolID) int {
	n := sumForwarded(tb.forwarded, id)
	for _, p := range tb.peers {
		if !p.dead(now) {
			n += sumForwarded(p.forwarded, id)
		}
	}
	return n
}

func sumForwarded(uses []event.ForwardedUse, id PoolID) int {
	n := 0
	for _, u := range uses {
		if u.Serve == id.Serve && u.Service == id.Service {
			n += u.Running
		}
	}
	return n
}
