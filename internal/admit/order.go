package admit

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Pop removes and returns the request to serve next. It skips requests that can no
// longer meet their deadlines; Shed removes those.
func (q *Queue) Pop(now ident.Time) (Item, bool) {
	if i := q.firstBegun(now); i >= 0 {
		e := &q.entries[i]
		e.account.served += e.Work
		it := e.Item
		q.remove(i)
		return it, true
	}
	home, other := q.countServable(now)
	if home == 0 && other == 0 {
		return Item{}, false
	}
	if home == 0 || other == 0 {
		q.homeServed, q.otherServed = 0, 0
	}
	wantHome := other == 0 || (home > 0 && q.homeFirst())
	best := q.bestIndex(now, wantHome)
	e := q.entries[best]
	e.account.served += e.Work
	if home > 0 && other > 0 {
		q.charge(e.Item)
	}
	q.remove(best)
	return e.Item, true
}

// firstBegun returns the index of the request with the earliest deadline among those
// whose answer has begun, -1 if there is none.
func (q *Queue) firstBegun(now ident.Time) int {
	best := -1
	for i := range q.entries {
		e := &q.entries[i]
		if e.Begun && now <= e.latestStart && (best < 0 || e.Deadline < q.entries[best].Deadline) {
			best = i
		}
	}
	return best
}

// countServable counts the home-bound and the other requests that can still meet
// their deadlines.
func (q *Queue) countServable(now ident.Time) (home, other int) {
	for i := range q.entries {
		switch e := &q.entries[i]; {
		case now > e.latestStart:
		case e.HomeBound:
			home++
		default:
			other++
		}
	}
	return home, other
}

// homeFirst reports whether home-bound requests have received at most HomeShare of
// the work that was served while both kinds waited.
func (q *Queue) homeFirst() bool {
	return float64(q.homeServed)*(1-q.cfg.HomeShare) <= float64(q.otherServed)*q.cfg.HomeShare
}

// charge adds an item to the work served to its kind.
func (q *Queue) charge(it Item) {
	if it.HomeBound {
		q.homeServed += it.Work
		return
	}
	q.otherServed += it.Work
}

// bestIndex returns the index of the request to serve next among those of one kind.
func (q *Queue) bestIndex(now ident.Time, home bool) int {
	eligible := func(e *entry) bool { return e.HomeBound == home && now <= e.latestStart }
	allPast := q.allPastGoal(eligible)
	servable := eligible
	if !allPast {
		eligible = func(e *entry) bool { return servable(e) && !e.PastGoal }
	}
	priority, least := q.topPriority(eligible)
	q.servedFloor = max(q.servedFloor, least)
	best := -1
	for i := range q.entries {
		e := &q.entries[i]
		if !eligible(e) || e.Priority != priority || e.account.served > least+q.cfg.MaxLead {
			continue
		}
		if best < 0 || e.Deadline < q.entries[best].Deadline {
			best = i
		}
	}
	return best
}

// allPastGoal reports whether all eligible requests are past their goal.
func (q *Queue) allPastGoal(eligible func(e *entry) bool) bool {
	for i := range q.entries {
		if e := &q.entries[i]; eligible(e) && !e.PastGoal {
			return false
		}
	}
	return true
}

// topPriority returns the highest priority among the eligible requests, and the
// least work served to an account that waits with that priority.
func (q *Queue) topPriority(eligible func(e *entry) bool) (priority int, least time.Duration) {
	found := false
	for i := range q.entries {
		e := &q.entries[i]
		if !eligible(e) {
			continue
		}
		if !found || e.Priority > priority {
			found, priority, least = true, e.Priority, e.account.served
			continue
		}
		if e.Priority == priority {
			least = min(least, e.account.served)
		}
	}
	return priority, least
}

func (q *Queue) add(it Item) {
	a, ok := q.accounts[it.Account]
	if !ok {
		a = &account{name: it.Account}
		q.accounts[it.Account] = a
	}
	if a.waiting == 0 {
		a.served = max(a.served, q.servedFloor)
	}
	a.waiting++
	q.work += it.Work
	q.entries = append(q.entries, entry{Item: it, account: a, latestStart: q.latestStart(it)})
}

func (q *Queue) remove(i int) {
	e := q.entries[i]
	e.account.waiting--
	q.work -= e.Work
	q.entries = slices.Delete(q.entries, i, i+1)
	if len(q.entries) == 0 {
		// Without waiting accounts, there is nothing to balance.
		clear(q.accounts)
		q.servedFloor, q.homeServed, q.otherServed = 0, 0, 0
		return
	}
	if len(q.accounts) > 2*q.cfg.MaxWaiting {
		q.forgetIdle()
	}
}

// forgetIdle drops the counts of accounts without queued requests.
func (q *Queue) forgetIdle() {
	for name, a := range q.accounts {
		if a.waiting == 0 {
			delete(q.accounts, name)
		}
	}
}

func (q *Queue) index(id ident.RequestID) int {
	for i := range q.entries {
		if q.entries[i].ID == id {
			return i
		}
	}
	return -1
}

// victim returns the index of the request to remove from a full queue for a new
// request of an account: the one with the lowest priority and latest deadline of
// the account with the most requests. It returns false if the account of the new
// request already has its even share, or if no other account has at least two
// requests more.
func (q *Queue) victim(newcomer ident.Account) (int, bool) {
	waiting, accounts, most := 0, 1, (*account)(nil)
	for _, a := range q.accounts {
		if a.name == newcomer {
			waiting = a.waiting
			continue
		}
		if a.waiting == 0 {
			continue
		}
		accounts++
		if most == nil || a.waiting > most.waiting || (a.waiting == most.waiting && a.name < most.name) {
			most = a
		}
	}
	if waiting*accounts >= q.cfg.MaxWaiting || most == nil || most.waiting <= waiting+1 {
		return 0, false
	}
	return q.leastUrgent(most), true
}

func (q *Queue) leastUrgent(a *account) int {
	last := -1
	for i := range q.entries {
		e := &q.entries[i]
		if e.account != a {
			continue
		}
		if last < 0 || e.Priority < q.entries[last].Priority ||
			(e.Priority == q.entries[last].Priority && e.Deadline >= q.entries[last].Deadline) {
			last = i
		}
	}
	return last
}
