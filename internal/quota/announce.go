package quota

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Intervals between the announcements of a host.
const (
	// urgentInterval is the shortest interval. It applies while the pool of an account is low.
	urgentInterval = 50 * time.Millisecond
	// announceInterval applies while no pool is low.
	announceInterval = time.Second
)

// announcements is the schedule of the announcements of this host.
type announcements struct {
	last ident.Time
	// due is when the next one is due, zero if there is nothing to announce.
	due ident.Time
}

// scheduleAnnouncement schedules the announcement of what this host has admitted of an account.
func (l *Ledger) scheduleAnnouncement(a *account) {
	interval := announceInterval
	if a.requests.urgent() || a.tokens.urgent() {
		interval = urgentInterval
	}
	if at := max(l.announced.last.Add(interval), l.now); l.announced.due == 0 || at < l.announced.due {
		l.announced.due = at
	}
}

// NextAnnouncement returns when Announce is due, zero if there is nothing to announce.
func (l *Ledger) NextAnnouncement() ident.Time { return l.announced.due }

// Announce returns what this host has taken since its last announcement, sorted by account. It
// records what it returns, so send it to all hosts of the local data centre.
func (l *Ledger) Announce(now ident.Time) []event.Admission {
	l.advance(now)
	l.announced = announcements{last: l.now}
	var as []event.Admission
	for _, name := range l.accountNames() {
		a := l.accounts[name]
		ad := event.Admission{Account: name, Requests: int64(a.requests.unannounced), Tokens: ident.Tokens(a.tokens.unannounced)}
		if ad.Requests == 0 && ad.Tokens == 0 {
			continue
		}
		// What is less than a unit remains for the next announcement.
		a.requests.unannounced -= float64(ad.Requests)
		a.tokens.unannounced -= float64(ad.Tokens)
		as = append(as, ad)
	}
	return as
}

// MergeAnnouncement subtracts what a host of the local data centre has taken. client returns the
// accounts in force.
func (l *Ledger) MergeAnnouncement(now ident.Time, from ident.EntryID, as []event.Admission, client func(ident.Account) (rules.Client, bool)) {
	l.advance(now)
	if from == l.self {
		return
	}
	for _, ad := range as[:min(len(as), maxAccounts)] {
		c, ok := client(ad.Account)
		if !ok || !c.Limited() {
			continue
		}
		a := l.limitedAccount(c)
		l.refill(a)
		a.requests.takenElsewhere(float64(ad.Requests))
		a.tokens.takenElsewhere(float64(ad.Tokens))
	}
}

// reachability is which part of the hosts of the local data centre this host can reach. Each
// part of a partitioned data centre uses that part of the limits.
type reachability struct {
	reachable, known int
	// reducedAt is since when fewer hosts have been known than are counted.
	reducedAt ident.Time
}

// minorityTTL is how long the hosts that a minority no longer reaches are counted. They may still
// admit requests.
const minorityTTL = time.Minute

// reachableRatio returns the part of the hosts of the local data centre that can be reached, 1
// without a bound, and shortly after the start of this host, when fitsOwnPart limits it.
func (l *Ledger) reachableRatio() float64 {
	r := l.reachable
	if l.bounds.Window <= 0 || r.reachable >= r.known || l.IsStarting(l.now) {
		return 1
	}
	return float64(r.reachable) / float64(r.known)
}

// SetHosts sets how many hosts of the local data centre are known and how many of them can be
// reached, both including this one. Hosts that are no longer known are counted until minorityTTL
// has passed, unless this host reaches the majority.
func (l *Ledger) SetHosts(now ident.Time, reachable, known int) {
	l.advance(now)
	r := &l.reachable
	r.reachable = reachable
	if known >= r.known || 2*reachable > r.known || r.reducedAt > 0 && l.now.Sub(r.reducedAt) >= minorityTTL {
		r.known, r.reducedAt = known, 0
		return
	}
	if r.reducedAt == 0 {
		r.reducedAt = l.now
	}
}
