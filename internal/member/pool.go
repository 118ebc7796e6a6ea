package member

import (
	"cmp"
	"slices"
	"strings"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// pool is one pool of the own data centre.
type pool struct {
	event.Pool
	id PoolID
	// offering is the state of the hysteresis.
	offering    bool
	requestedAt ident.Time
	requested   bool
	// requestedHereAt is when a request at this host last asked for it; a demand of a peer is
	// not relayed.
	requestedHereAt ident.Time
	requestedHere   bool
	priceSum        float64
}

// update moves the hysteresis after a change of load or of own work sent away.
func (p *pool) update(away int) {
	switch {
	case away > 0 || p.Slots == 0 || p.Free*percent < p.Slots*withdrawMark:
		p.offering = false
	case p.Free*percent >= p.Slots*offerMark && p.Slots > 0:
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

// PoolRequested says that a request asked for a pool that has no target here, so that
// the data centre asks the others for it.
func (tb *Table) PoolRequested(now ident.Time, id PoolID) {
	p, fresh := tb.recordPoolRequest(now, id)
	if p == nil {
		return
	}
	if fresh || !p.requestedHere || now.Sub(p.requestedHereAt) > wantLife {
		// Another host may be the representative and has to know at once.
		tb.heartbeat.urgent = true
	}
	p.requestedHere, p.requestedHereAt = true, now
}

// RequestsQueued says that requests are queued here for room, so that the data centre asks for help
// now and not at the next heartbeat.
func (tb *Table) RequestsQueued(now ident.Time) {
	if tb.requestsQueuedAt > 0 && now.Sub(tb.requestsQueuedAt) < minSummaryGap {
		return
	}
	tb.requestsQueuedAt = now
	tb.countPools(now)
	if slices.ContainsFunc(tb.pools, func(p *pool) bool { return p.Slots > 0 && short(p.Free, p.Slots) }) {
		tb.heartbeat.summaryDue, tb.heartbeat.urgent = true, true
	}
}

// recordPoolRequest records a demand of this host or of a peer. It returns nil where
// there are too many.
func (tb *Table) recordPoolRequest(now ident.Time, id PoolID) (p *pool, fresh bool) {
	p, ok := tb.pool(id)
	if !ok {
		if len(tb.pools) >= maxWants {
			return nil, false
		}
		p = tb.ensurePool(id)
		tb.heartbeat.summaryDue = true
	}
	p.requested, p.requestedAt = true, now
	return p, !ok
}

// ownPoolRequests returns what requests at this host asked for lately in vain.
func (tb *Table) ownPoolRequests(now ident.Time) []event.Want {
	var ws []event.Want
	for _, p := range tb.pools {
		if p.Targets == 0 && p.requestedHere && now.Sub(p.requestedHereAt) <= wantLife {
			ws = append(ws, event.Want{Serve: p.Serve, Service: p.Service})
		}
	}
	return ws
}

// countPools works the pools out anew from the targets.
func (tb *Table) countPools(now ident.Time) {
	for _, p := range tb.pools {
		*p = pool{
			Pool: event.Pool{Serve: p.Serve, Service: p.Service},
			id:   p.id, offering: p.offering, requestedAt: p.requestedAt, requested: p.requested, requestedHereAt: p.requestedHereAt, requestedHere: p.requestedHere,
		}
	}
	for _, t := range tb.targets {
		if !t.Usable(now) || t.Cold(now) {
			continue
		}
		tb.countTarget(now, t)
	}
	tb.pools = slices.DeleteFunc(tb.pools, func(p *pool) bool {
		return p.Targets == 0 && (!p.requested || now.Sub(p.requestedAt) > wantLife)
	})
	for _, p := range tb.pools {
		if p.Targets > 0 {
			n := float64(p.Targets)
			p.PrefillRate /= n
			p.DecodeRate /= n
			p.Price = p.priceSum / n
		}
		p.Alone, p.Shared = tb.demand(now, p.Service)
		away := 0
		if !tb.hasPace(p.id) {
			away = tb.countForwarded(now, p.id)
		}
		p.update(away)
	}
}

func (tb *Table) countTarget(now ident.Time, t *Target) {
	if t.Kind == event.Service {
		tb.ensurePool(PoolID{Service: t.Service}).count(now, t, tb.remoteShare(now, t.Service))
		return
	}
	for _, sv := range t.Load.Serves {
		tb.ensurePool(PoolID{Serve: sv}).count(now, t, 1)
	}
}

func (p *pool) count(now ident.Time, t *Target, room float64) {
	out := t.Outstanding(now)
	wait := t.Wait(now, out, 1)
	if p.Targets == 0 || wait < p.Wait {
		p.Wait = wait
	}
	p.Targets++
	p.Slots += t.Slots()
	p.Free += t.Free(now, out, room)
	p.PrefillRate += t.Load.PrefillRate
	p.DecodeRate += t.Load.DecodeRate
	p.priceSum += t.Price
}

// countForwarded counts the requests of a pool that the hosts of the own data centre
// have passed on to others. Such a pool offers nothing, so that no two data centres swap
// work.
func (tb *Table) countForwarded(now ident.Time, id PoolID) int {
	n := sumForwarded(tb.forwarded, id)
	for _, p := range tb.peers {
		if !p.dead(now) {
			n += sumForwarded(p.forwarded, id)
		}
	}
	return n
}

func sumForwarded(uses []event.AwayUse, id PoolID) int {
	n := 0
	for _, u := range uses {
		if u.Serve == id.Serve && u.Service == id.Service {
			n += u.Running
		}
	}
	return n
}
