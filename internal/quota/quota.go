// Package quota limits client accounts over all entry hosts without a central
// counter: each host admits its share of an account's limit, and the shares
// follow the demand.
//
// # Usage
//
//	l := quota.New(self, dataCentre)
//	l.Place(dataCentre, region)
//	ok, retryAfter := l.Take(now, client, tokens)
//	l.Settle(now, account, tokens, used) // when the answer has ended
//
// Digests and summaries carry the demand:
//
//	digest.Accounts = l.Demand(now)
//	summary.Accounts = l.CentreDemand(now) // once a round, the same to all
//	l.PeerDemand(now, from, digest.Accounts)
//	l.CentreReport(now, summary.Place.DataCentre, summary.Accounts)
//
// # Shares
//
// A data centre's share of a limit is its demand by the known demand of all
// data centres, and a host's share is its demand by that of its data centre.
// Demand counts what callers asked for, refused or not, up to the limit.
// Each active place counts floorShare of the limit on top of its demand, so
// that one whose demand has just begun gets a place; a data centre in the home
// of the account counts homeFloor, so that the limit is first found where the
// data is. When all know the same demand the shares add up to one.
//
// # Error bound
//
// With L the limit, over a window of W seconds all hosts together admit at
// most L*(W+burst)/60 and one request for each active host, once the demand
// has been exchanged. A data centre that becomes active with demand d beside a
// known demand K adds (d+floor)/(d+K+2*floor) of L, at most 0.52 when K is the
// whole limit, until the others have received it. In a partition the last
// known demand stands, so the others keep their shares and each newly active
// part adds that much for as long as the partition lasts: k of them beside a
// busy one admit at most 1+0.52*k times the limit. A data centre that is silent
// and had no demand counts its floor, so that parts where nothing was known of
// an account admit at most 1.05/(1.05+0.05*s) of the limit each, s being the
// number of silent data centres. A data centre that was silent for
// silentForgotten counts as gone: its callers have moved.
//
// Under the limit: while an old demand stands for demand that has gone, the
// others admit that much less, for one exchange and the decay of the demand
// (half in 7 s), or after a loss of a whole data centre for silentForgotten at
// most. A caller that moves with all its demand finds about half of its limit
// at the new place at first. A host that has just started and has received nothing yet admits up to
// the whole limit, until the first digest and the first summaries.
//
// # Bounds
//
// At most maxAccounts accounts are held. An account takes about 400 bytes, and
// 40 to 80 for each place at which it is active: 1 KB with seven peers and four
// data centres, 4 KB with 44. At most maxReport accounts go into
// a summary: half for those whose demand changed most, half for all in turn.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

const (
	// floorShare and homeFloor are what an active place counts on top of its
	// demand, as shares of the limit.
	floorShare     = 0.05
	homeFloorShare = 0.25

	// burstWindow is how much of its rate an unused share saves up.
	burstWindow = 10 * time.Second

	// unreachableTimeout is when a data centre counts as cut off, silentForgotten
	// when it counts as gone.
	unreachableTimeout = 30 * time.Second
	centreTTL          = 15 * time.Minute

	maxAccounts   = 1 << 12
	maxCentres    = 1 << 8
	maxRetryAfter = time.Minute
)

// Ledger holds the demand and the shares as one host knows them.
type Ledger struct {
	self ident.EntryID
	dc   ident.DataCentre
	now  ident.Time

	accounts map[ident.Account]*account
	// peers lists the accounts that each peer reported last.
	peers   map[ident.EntryID][]ident.Account
	centres map[ident.DataCentre]*centre
	regions map[ident.DataCentre]ident.Region
	round   uint64
	// unreachable lists the data centres that were cut off when last listened to.
	unreachable    []ident.DataCentre
	reachabilityAt ident.Time
}

// account is one client account.
type account struct {
	name        ident.Account
	limits      rates
	home        ident.Region
	requests    bucket
	tokens      bucket
	localDemand demand
	lastActive  ident.Time

	// peers and centres hold the known demand elsewhere, sorted by name.
	peers   []remoteDemand[ident.EntryID]
	centres []remoteDemand[ident.DataCentre]

	// lastSent is what the last summary that held the account said.
	lastSent      rates
	lastSentRound uint64
	// pendingZeros counts the summaries that are still to say that the account has
	// become inactive; more than one, since a summary may be lost.
	pendingZeros int
}

// centre is another data centre that has reported.
type centre struct {
	lastSeen ident.Time
	// reportCount counts its reportCount, for the age of what each said.
	reportCount uint64
}

// New returns the ledger of a host that knows of no demand.
func New(self ident.EntryID, dc ident.DataCentre) *Ledger {
	return &Ledger{
		self: self, dc: dc,
		accounts: make(map[ident.Account]*account),
		peers:    make(map[ident.EntryID][]ident.Account),
		centres:  make(map[ident.DataCentre]*centre),
		regions:  make(map[ident.DataCentre]ident.Region),
	}
}

// SetRegion sets the region of a data centre, the own one included. One without a region counts
// as away from every home.
func (l *Ledger) SetRegion(dc ident.DataCentre, r ident.Region) {
	if _, ok := l.regions[dc]; ok || len(l.regions) < maxCentres {
		l.regions[dc] = r
	}
}

// Take admits a request of an account that asks for a number of tokens, if the
// own share of its limits allows it. Otherwise retryAfter is when it will.
func (l *Ledger) Take(now ident.Time, c rules.Client, tokens ident.Tokens) (ok bool, retryAfter time.Duration) {
	l.advance(now)
	if c.RequestsPerMinute <= 0 && c.TokensPerMinute <= 0 {
		return true, 0
	}
	a := l.ensureAccount(c.Name)
	a.limits = rates{requests: c.RequestsPerMinute, tokens: c.TokensPerMinute}
	a.home = c.Home
	a.lastActive = l.now
	a.localDemand.add(l.now, tokens)
	l.refill(a)
	wait := max(a.requests.wait(1), a.tokens.wait(float64(tokens)))
	if wait > 0 {
		return false, min(wait, maxRetryAfter)
	}
	a.requests.take(1)
	a.tokens.take(float64(tokens))
	return true, 0
}

// Settle corrects a reservation by what the answer really took.
func (l *Ledger) Settle(now ident.Time, name ident.Account, reserved, used ident.Tokens) {
	l.advance(now)
	a, ok := l.accounts[name]
	if !ok {
		return
	}
	l.refill(a)
	a.tokens.take(float64(used - reserved))
}

// refill brings the buckets of an account up to now, at its present share.
func (l *Ledger) refill(a *account) {
	share := l.shares(a)
	a.requests.refill(l.now, a.limits.requests*share.requests, 1)
	a.tokens.refill(l.now, a.limits.tokens*share.tokens, 0)
}

// ensureAccount returns the state of an ensureAccount. Where there is no room the one that
// was silent longest goes; its bucket starts full when it comes back.
func (l *Ledger) ensureAccount(name ident.Account) *account {
	a, ok := l.accounts[name]
	if ok {
		return a
	}
	if len(l.accounts) >= maxAccounts {
		l.evictIdlest()
	}
	a = &account{name: name, lastActive: l.now}
	l.accounts[name] = a
	return a
}

func (l *Ledger) evictIdlest() {
	var idlest *account
	for _, a := range l.accounts {
		if idlest == nil || a.lastActive < idlest.lastActive || (a.lastActive == idlest.lastActive && a.name < idlest.name) {
			idlest = a
		}
	}
	delete(l.accounts, idlest.name)
}

// advance keeps time from going back, which would take tokens out of buckets.
func (l *Ledger) advance(now ident.Time) {
	l.now = max(l.now, now)
	if l.now.Sub(l.reachabilityAt) >= time.Second {
		l.updateUnreachable()
	}
}

// sweep drops the accounts of which nothing is known that a new record would
// not have, and the data centres that are gone.
func (l *Ledger) sweep() {
	for dc, c := range l.centres {
		if l.now.Sub(c.lastSeen) >= centreTTL {
			delete(l.centres, dc)
			l.removeCentre(dc)
		}
	}
	l.updateUnreachable()
	for name, a := range l.accounts {
		if a.idle(l.now) {
			delete(l.accounts, name)
		}
	}
}

func (l *Ledger) removeCentre(dc ident.DataCentre) {
	for _, a := range l.accounts {
		a.centres = remove(a.centres, dc)
	}
}

func (a *account) idle(now ident.Time) bool {
	return !a.localDemand.rateAt(now).active() && len(a.peers) == 0 && len(a.centres) == 0 &&
		a.requests.full(now) && a.tokens.full(now) && a.pendingZeros == 0 && !a.lastSent.active()
}

// accountNames returns the accounts in order, so that no map order shows.
func (l *Ledger) accountNames() []ident.Account { return slices.Sorted(maps.Keys(l.accounts)) }

// Demand returns the own demand for a digest, sorted by account.
func (l *Ledger) Demand(now ident.Time) []event.AccountUse {
	l.advance(now)
	l.sweep()
	var uses []event.AccountUse
	for _, name := range l.accountNames() {
		if own := l.accounts[name].localDemand.rateAt(l.now); own.active() {
			uses = append(uses, own.accountUse(name))
		}
	}
	return uses
}

// bucket is a token bucket of which a request may take more than it holds at
// once: the rest is a debt that is paid before the next. A large request would
// otherwise never fit a small share.
type bucket struct {
	level float64
	// rate is in units a second, zero for no limit.
	rate       float64
	capacity   float64
	refilledAt ident.Time
}

func (b *bucket) refill(now ident.Time, limit ident.PerMinute, least float64) {
	// A bucket with no limit before starts full: what was taken from it is a
	// debt that nothing has paid, and would shut the account out for hours on
	// the day it is given a limit.
	made := b.rate > 0
	b.rate = float64(limit) / time.Minute.Seconds()
	b.capacity = max(b.rate*burstWindow.Seconds(), least)
	if !made {
		b.refilledAt, b.level = now, b.capacity
		return
	}
	b.level = min(b.level+b.rate*now.Sub(b.refilledAt).Seconds(), b.capacity)
	b.refilledAt = now
}

// wait returns when n units can be taken. A bucket that is full lets any
// number go.
func (b *bucket) wait(n float64) time.Duration {
	lack := min(n, b.capacity) - b.level
	if b.rate == 0 || lack <= 0 {
		return 0
	}
	seconds := math.Min(lack/b.rate, maxRetryAfter.Seconds())
	return max(time.Duration(math.Ceil(seconds*1e9)), 1)
}

func (b *bucket) take(n float64) {
	b.level = min(b.level-n, b.capacity)
}

func (b *bucket) full(now ident.Time) bool {
	return b.rate == 0 || b.level+b.rate*now.Sub(b.refilledAt).Seconds() >= b.capacity
}
