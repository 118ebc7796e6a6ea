package quota

import (
	"cmp"
	"maps"
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// centreShare returns the local data centre's share of each limit: its share of the demand of
// all that can be reached, in what the others leave.
func (l *Ledger) centreShare(a *account) rates {
	sum := l.demandOf(a)
	for i := range a.peers {
		sum = sum.plus(a.peers[i].rate)
	}
	centres := demandSum{limits: a.limits}
	centres.addLocal(l.exchangedDemand(a, sum), l.floorFor(a, l.dc))
	for i := range a.centres {
		if p := &a.centres[i]; l.isCurrent(p) && !l.isUnreachable(p.id) {
			centres.addRemote(p.rate, l.floorFor(a, p.id))
		}
	}
	if l.bounds.Window > 0 {
		l.addInactive(a, &centres)
		centres.spreadSurplus()
	}
	reserved := l.reserve(a, centres)
	share := centres.share()
	return rates{requests: share.requests * (1 - reserved.requests), tokens: share.tokens * (1 - reserved.tokens)}
}

// reserve returns the share of all unreachable data centres. That of each is fixed when it becomes
// unreachable, since it does not know what the others do later. reachable is the demand of the
// others at that time.
func (l *Ledger) reserve(a *account, reachable demandSum) rates {
	if a.reservedAt != l.reachabilityChanges {
		a.reservedAt = l.reachabilityChanges
		a.reservations = slices.DeleteFunc(a.reservations, func(r remoteDemand[ident.DataCentre]) bool { return !l.isUnreachable(r.id) })
		for _, dc := range l.unreachable {
			if _, ok := find(a.reservations, dc); !ok {
				a.reservations = upsert(a.reservations, remoteDemand[ident.DataCentre]{id: dc, rate: l.reservation(a, dc, reachable)})
			}
		}
	}
	return reservedTotal(a)
}

func reservedTotal(a *account) rates {
	sum := rates{}
	for _, r := range a.reservations {
		sum = sum.plus(r.rate)
	}
	return sum
}

// reservation returns the share of a data centre that has become unreachable, by its last known
// demand, in what the others leave. One that has never reported gets an equal share.
func (l *Ledger) reservation(a *account, dc ident.DataCentre, reachable demandSum) rates {
	if l.centres[dc].silent {
		equal := 1 / ident.PerMinute(1+len(l.centres))
		return rates{requests: equal, tokens: equal}
	}
	all := l.demandAt(a, dc, reachable)
	left, share := reservedTotal(a).times(-1).plus(rates{requests: 1, tokens: 1}), all.share()
	return rates{requests: share.requests * left.requests, tokens: share.tokens * left.tokens}
}

// demandAt returns the demand of all data centres without a reservation, with dc as the local one.
// With a bound it is that of the time of the last summary from dc: it does not know what the others
// have reported since.
func (l *Ledger) demandAt(a *account, dc ident.DataCentre, reachable demandSum) demandSum {
	if l.bounds.Window <= 0 {
		all := demandSum{limits: a.limits, total: reachable.total}
		l.addUnreserved(a, dc, &all, l.unreachable, l.lastKnown)
		return all
	}
	at := l.centres[dc].lastSeen
	all := demandSum{limits: a.limits}
	all.addRemote(a.centreDemand.at(at, l.decay()), l.floorFor(a, l.dc))
	l.addUnreserved(a, dc, &all, slices.Sorted(maps.Keys(l.centres)), func(a *account, dc ident.DataCentre) rates {
		if i, ok := find(a.centres, dc); ok {
			// A report is valid until the next one.
			return a.centres[i].log.at(at, 1)
		}
		return rates{}
	})
	all.spreadSurplus()
	return all
}

// addUnreserved adds the demand of the given data centres that have no reservation.
func (l *Ledger) addUnreserved(a *account, dc ident.DataCentre, all *demandSum, centres []ident.DataCentre, demand func(*account, ident.DataCentre) rates) {
	for _, other := range centres {
		if _, ok := find(a.reservations, other); ok || l.centres[other].silent {
			continue
		}
		if other == dc {
			all.addLocal(demand(a, other), l.floorFor(a, other))
		} else {
			all.addRemote(demand(a, other), l.floorFor(a, other))
		}
	}
}

// lastKnown returns the last reported demand of an account at a data centre.
func (l *Ledger) lastKnown(a *account, dc ident.DataCentre) rates {
	if i, ok := find(a.centres, dc); ok && l.isCurrent(&a.centres[i]) {
		return a.centres[i].rate
	}
	return rates{}
}

// addInactive adds the floors of the data centres without demand for an account. With a bound they
// count: several that become active at the same time would each admit the whole limit.
func (l *Ledger) addInactive(a *account, centres *demandSum) {
	for _, dc := range slices.Sorted(maps.Keys(l.centres)) {
		if i, ok := find(a.centres, dc); l.isUnreachable(dc) || ok && l.isCurrent(&a.centres[i]) {
			continue
		}
		centres.addRemote(rates{}, l.floorFor(a, dc))
	}
}

// exchangedDemand returns the demand in the local data centre that counts for its share. With a
// bound it is the demand at the time of the last summary from the reachable data centre that has
// been silent for longest, which is about what the others know: if the share followed later
// demand, the shares of a partitioned deployment would add up to more than one.
func (l *Ledger) exchangedDemand(a *account, now rates) rates {
	if l.bounds.Window <= 0 {
		return now
	}
	a.centreDemand.add(l.now, now)
	at := l.now
	for dc, c := range l.centres {
		if !l.isUnreachable(dc) {
			at = min(at, c.lastSeen)
		}
	}
	return a.centreDemand.at(at, l.decay())
}

func (l *Ledger) isUnreachable(dc ident.DataCentre) bool {
	_, ok := slices.BinarySearch(l.unreachable, dc)
	return ok
}

// floorFor returns the share of the limit that is added to the demand of a data centre.
func (l *Ledger) floorFor(a *account, dc ident.DataCentre) ident.PerMinute {
	switch {
	case a.home != "" && l.regions[dc] == a.home:
		return homeFloorShare
	case l.bounds.Window > 0:
		return boundFloorShare
	}
	return floorShare
}

// updateUnreachable finds the unreachable data centres. Until they report again, their share
// stays reserved for them: they may still admit requests, and may have become active since
// their last report.
func (l *Ledger) updateUnreachable() {
	l.reachabilityCheckedAt = l.now
	var now []ident.DataCentre
	for dc, c := range l.centres {
		if c.silent || l.now.Sub(c.lastSeen) >= cmp.Or(l.bounds.Timeout, unreachableTimeout) {
			now = append(now, dc)
		}
	}
	slices.Sort(now)
	if !slices.Equal(now, l.unreachable) {
		l.unreachable = now
		l.reachabilityChanges++
	}
}
