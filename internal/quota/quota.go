// Package quota enforces the limits of client accounts across all entry hosts
// without a central counter: each host admits its share of an account's limit,
// and the shares follow the demand.
//
// # Usage
//
//	l := quota.New(self, dataCentre)
//	l.SetRegion(dataCentre, region)
//	ok, retryAfter := l.Take(now, client, tokens)
//	l.Settle(now, account, tokens, used) // when the answer has ended
//
// Digests and summaries carry the demand:
//
//	digest.Accounts = l.DigestDemand(now)
//	summary.Accounts = l.SummaryDemand(now) // once a round, the same to all
//	l.SetPeerDemand(now, from, digest.Accounts)
//	l.MergeCentreReport(now, summary.Place.Group(), summary.Accounts)
//
// # Shares
//
// A data centre's share of a limit is its demand divided by the known demand of
// all data centres. A host's share is its demand divided by that of its data
// centre. Demand counts all requests, admitted or refused, up to the limit.
// Each active host or data centre adds floorShare of the limit to its demand, so
// that one that has just become active gets a share. A data centre in the home
// region of the account adds homeFloorShare, so that the limit is available first
// where the data is. When all hosts know the same demand, the shares add up to one.
//
// # Error bound
//
// With L the limit per minute, over a window of W seconds all hosts together admit at
// most L*(W+burst)/60 plus one request per active host, once the demand has been
// exchanged; burst is burstWindow in seconds. A data centre that becomes active with
// demand d next to a known demand K adds (d+floor)/(d+K+2*floor) of L, at most 0.52
// when K is the whole limit, until the others have received its demand. During a
// partition the last known demand remains in force, so the others keep their shares and
// each newly active part adds that much for as long as the partition lasts: k such
// parts next to a busy one admit at most 1+0.52*k times the limit. A data centre that
// is unreachable and had no demand counts with its floor. Parts that knew of no demand
// for an account therefore admit at most 1.05/(1.05+0.05*s) of the limit each, where s
// is the number of unreachable data centres. A data centre that has been silent for
// centreTTL counts as gone: its callers are assumed to have moved.
//
// Fewer requests than the limit are admitted while demand that no longer exists is
// still counted: for one exchange plus the decay of the demand (half in 7 s), or for
// at most centreTTL after the loss of a whole data centre. A caller that moves with
// all its demand gets about half of its limit at the new place at first. A host
// that has just started admits up to the whole limit until it receives the first
// digest and the first summaries.
//
// # Bounds
//
// The ledger holds at most maxAccounts accounts. An account takes about 400 bytes,
// plus 40 to 80 for each place where it is active: 1 KB with seven peers and four
// data centres, 4 KB with 44. A summary contains at most maxSummaryAccounts accounts:
// half of them those whose demand changed most, half those that were sent longest ago.
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
	// floorShare and homeFloorShare are added to the demand of an active host or data
	// centre, as shares of the limit.
	floorShare     = 0.05
	homeFloorShare = 0.25

	// burstWindow is how long an unused share accumulates.
	burstWindow = 10 * time.Second

	// A data centre counts as unreachable after a silence of unreachableTimeout and as
	// gone after centreTTL.
	unreachableTimeout = 30 * time.Second
	centreTTL          = 15 * time.Minute

	maxAccounts   = 1 << 12
	maxCentres    = 1 << 8
	maxRetryAfter = time.Minute
)

// Ledger holds the demand and the shares as known to one host.
type Ledger struct {
	self ident.EntryID
	dc   ident.DataCentre
	now  ident.Time

	accounts map[ident.Account]*account
	// peers lists the accounts in the last report of each peer.
	peers   map[ident.EntryID][]ident.Account
	centres map[ident.DataCentre]*centre
	regions map[ident.DataCentre]ident.Region
	round   uint64
	// unreachable lists the data centres that were unreachable at reachabilityCheckedAt.
	unreachable           []ident.DataCentre
	reachabilityCheckedAt ident.Time
}

// account is the state of one client account.
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

	// lastSent is the demand in the last summary that contained the account.
	lastSent      rates
	lastSentRound uint64
	// pendingZeros is the number of summaries that have yet to report the account as
	// inactive. It starts above one because a summary may be lost.
	pendingZeros int
}

// centre is another data centre that has reported.
type centre struct {
	lastSeen ident.Time
	// reportCount numbers the reports, so that the age of an entry can be computed.
	reportCount uint64
	// entries is the number of accounts with demand from this data centre at the last sweep.
	entries int
}

// New returns a ledger without any known demand.
func New(self ident.EntryID, dc ident.DataCentre) *Ledger {
	return &Ledger{
		self: self, dc: dc,
		accounts: make(map[ident.Account]*account),
		peers:    make(map[ident.EntryID][]ident.Account),
		centres:  make(map[ident.DataCentre]*centre),
		regions:  make(map[ident.DataCentre]ident.Region),
	}
}

// SetRegion sets the region of a data centre, including the local one. A data centre
// without a region is in no account's home region.
func (l *Ledger) SetRegion(dc ident.DataCentre, r ident.Region) {
	if _, ok := l.regions[dc]; ok || len(l.regions) < maxCentres {
		l.regions[dc] = r
	}
}

// Take admits a request of an account that needs the given number of tokens if the
// local share of its limits allows it. Otherwise retryAfter is the time until it will.
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

// Settle replaces a reservation by the number of tokens that the answer used.
func (l *Ledger) Settle(now ident.Time, name ident.Account, reserved, used ident.Tokens) {
	l.advance(now)
	a, ok := l.accounts[name]
	if !ok {
		return
	}
	l.refill(a)
	a.tokens.take(float64(used - reserved))
}

// refill brings the buckets of an account up to now at its current share.
func (l *Ledger) refill(a *account) {
	share := l.shares(a)
	a.requests.refill(l.now, a.limits.requests*share.requests, 1)
	a.tokens.refill(l.now, a.limits.tokens*share.tokens, 0)
}

// ensureAccount returns the state of an account and creates it if needed. When the
// ledger is full it evicts the account that has been idle longest; if that account
// becomes active again, it starts with full buckets.
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

// advance moves the clock forward, never back: going back would take tokens out of the
// buckets.
func (l *Ledger) advance(now ident.Time) {
	l.now = max(l.now, now)
	if l.now.Sub(l.reachabilityCheckedAt) >= time.Second {
		l.updateUnreachable()
	}
}

// sweep drops the accounts whose state equals that of a new one, and the data centres
// that are gone.
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
	l.countEntries()
}

// countEntries counts the accounts with demand from each data centre.
func (l *Ledger) countEntries() {
	for _, c := range l.centres {
		c.entries = 0
	}
	for _, a := range l.accounts {
		for _, p := range a.centres {
			if c, ok := l.centres[p.id]; ok {
				c.entries++
			}
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

// accountNames returns the accounts in sorted order, which keeps the output independent
// of map order.
func (l *Ledger) accountNames() []ident.Account { return slices.Sorted(maps.Keys(l.accounts)) }

// DigestDemand returns this host's demand for a digest, sorted by account.
func (l *Ledger) DigestDemand(now ident.Time) []event.AccountUse {
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

// bucket is a token bucket. A request for more than its capacity is admitted once the
// bucket is full and leaves a debt that is paid before the next request; otherwise a
// large request would never fit a small share.
type bucket struct {
	level float64
	// rate is in units per second, zero for no limit.
	rate       float64
	capacity   float64
	refilledAt ident.Time
}

func (b *bucket) refill(now ident.Time, limit ident.PerMinute, minCapacity float64) {
	// A bucket that had no limit before starts full. Without a rate nothing refilled it,
	// so the debt from earlier use could block the account for hours once it has a limit.
	hadRate := b.rate > 0
	b.rate = float64(limit) / time.Minute.Seconds()
	b.capacity = max(b.rate*burstWindow.Seconds(), minCapacity)
	if !hadRate {
		b.refilledAt, b.level = now, b.capacity
		return
	}
	b.level = min(b.level+b.rate*now.Sub(b.refilledAt).Seconds(), b.capacity)
	b.refilledAt = now
}

// wait returns the time until n units can be taken. A full bucket admits any number.
func (b *bucket) wait(n float64) time.Duration {
	missing := min(n, b.capacity) - b.level
	if b.rate == 0 || missing <= 0 {
		return 0
	}
	seconds := math.Min(missing/b.rate, maxRetryAfter.Seconds())
	return max(time.Duration(math.Ceil(seconds*1e9)), 1)
}

func (b *bucket) take(n float64) {
	b.level = min(b.level-n, b.capacity)
}

func (b *bucket) full(now ident.Time) bool {
	return b.rate == 0 || b.level+b.rate*now.Sub(b.refilledAt).Seconds() >= b.capacity
}
