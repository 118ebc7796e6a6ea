// Package quota enforces the limits of client accounts across all entry hosts
// without a central counter: each data centre admits its share of an account's limit,
// the shares follow the demand, and the hosts of a data centre share one token bucket.
//
// # Usage
//
//	l := quota.New(self, dataCentre)
//	l.SetBounds(quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1})
//	l.SetRegion(dataCentre, region)
//	ok, retryAfter := l.Take(now, client, tokens)
//	l.Settle(now, account, tokens, used) // when the answer has ended
//
// Hosts of a data centre announce what they have admitted:
//
//	if at := l.NextAnnouncement(); at > 0 && now >= at {
//		admissions = l.Announce(now) // to all hosts of the data centre
//	}
//	l.MergeAnnouncement(now, from, admissions, book.Client)
//
// Digests and summaries carry the demand:
//
//	digest.Accounts = l.DigestDemand(now)
//	summary.Accounts, ok = l.SummaryDemand(now) // once a round, the same to all
//	l.SetPeerDemand(now, from, digest.Accounts)
//	l.MergeCentreReport(now, summary.Place.Group(), summary.Accounts)
//
// # Shares of data centres
//
// A data centre's share of a limit is its demand divided by the known demand of all data
// centres. Demand counts all requests, admitted or refused, up to the limit. Each active
// data centre adds floorShare of the limit to its demand, so that one that has just become
// active gets a share. One in the home region of the account adds homeFloorShare, so that
// the limit is available first where the data is. When all hosts know the same demand, the
// shares add up to one.
//
// With a bound, inactive data centres count too, and what the demand leaves of the limit is
// divided equally among all, so that the share does not swing with single requests.
//
// # The bucket of a data centre
//
// Each host has a copy of the bucket. It takes from its copy, and subtracts what the other
// hosts announce. While an account is far below its limit, a host announces once per second;
// when it has taken more than half of its own part of what is left, at once. The copies differ
// by what has not been announced yet, so that the hosts together can admit that much more; it
// remains as a debt in every copy and is paid before the next request.
//
// # Error bound
//
// With a bound, all hosts together admit in any window at most the rate times the window plus
// the burst, exceeded by Overshoot and Slack. A part of the tolerated excess is added to the
// burst, the rest covers announcements in flight. The bound also holds
//
//   - in a partition between data centres: the share of one that can't be reached is reserved
//     for it, and the local share follows the demand only as far as the others know it. The
//     parts together refuse what a part would need beyond its share at the time of the partition;
//   - in a partition within a data centre: each part uses the limit in proportion to the hosts
//     that it reaches, and the hosts lost by a minority are counted for minorityTTL. A part
//     refuses early if its callers need more than that;
//   - after restarts: a host admits only its equal part before startDelay, its buckets begin with startCredit
//     of what is added to the burst, and it reports no demand for its data centre before
//     reportDelay.
//
// Without a bound, a host that has just started admits up to the whole limit until it
// receives the first digest and the first summaries, and its buckets are full.
//
// Fewer requests than the limit are admitted while demand that no longer exists is
// still counted: for one exchange plus the decay of the demand (half in 7 s, with a bound in
// 2 s). A caller that moves with all its demand to another data centre gets about half of its
// limit there at first. A data centre that has been silent for centreTTL counts as gone: its callers are
// assumed to have moved.
//
// # Bounds
//
// The ledger holds at most maxAccounts accounts. An account takes about 1 KB, 2 KB with a bound,
// plus 40 to 80 bytes for each place where it is active. A summary contains at most
// maxSummaryAccounts accounts: half of them those whose demand changed most, half those that
// were sent longest ago.
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
	// boundFloorShare replaces floorShare for data centres if there is a bound. Inactive ones
	// count too, so it is what an account that is active in one place loses to each other.
	boundFloorShare = 0.02

	// A data centre counts as unreachable after a silence of unreachableTimeout and as
	// gone after centreTTL.
	unreachableTimeout = 30 * time.Second
	centreTTL          = 15 * time.Minute

	maxAccounts   = 1 << 12
	maxCentres    = 1 << 8
	maxRetryAfter = time.Minute

	// startDelay is the time after the start of a host with a bound during which it admits
	// no more than its equal part. It does not know what the other hosts take before.
	startDelay = time.Second
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
	// unreachable lists the data centres that were unreachable at reachabilityCheckedAt, and
	// reachabilityChanges numbers its changes.
	unreachable           []ident.DataCentre
	reachabilityCheckedAt ident.Time
	reachabilityChanges   uint64

	bounds    Bounds
	startedAt ident.Time
	started   bool
	reachable reachability
	announced announcements
}

// account is the state of one client account.
type account struct {
	name        ident.Account
	limits      rates
	bursts      bursts
	home        ident.Region
	requests    pool
	tokens      pool
	localDemand demand
	// centreDemand is the recent demand in the local data centre.
	centreDemand demandLog
	lastActive   ident.Time
	// reservations are the shares of the unreachable data centres, sorted by name, when the set
	// of them had the number reservedAt.
	reservations []remoteDemand[ident.DataCentre]
	reservedAt   uint64

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
	// silent is set for a data centre of the deployment that has not reported since the start.
	silent bool
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

// Bounds tightens the limits for a deployment that bounds what the hosts admit together.
// The zero value bounds nothing.
type Bounds struct {
	// Window is the time over which admissions are counted, zero for no bound. In it, the
	// hosts may admit the rate times the window plus the burst, exceeded by the factor
	// Overshoot and by Slack units.
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// Timeout is the silence after which a data centre counts as unreachable, zero for
	// unreachableTimeout.
	Timeout time.Duration
	// Centres lists the data centres of the deployment. One that has not reported counts as
	// unreachable.
	Centres []ident.DataCentre
}

// SetBounds sets the bounds. It is called before any other method.
func (l *Ledger) SetBounds(b Bounds) {
	l.bounds = b
	for _, dc := range b.Centres {
		if dc != l.dc {
			l.centres[dc] = &centre{silent: true}
		}
	}
	l.updateUnreachable()
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
	if !c.Limited() {
		return true, 0
	}
	l.limitedAccount(c).localDemand.add(l.now, l.decay(), tokens)
	return l.Retake(now, c, tokens)
}

// Retake is Take for a request that was refused before and waits at this host. It does not count
// the request as demand again.
func (l *Ledger) Retake(now ident.Time, c rules.Client, tokens ident.Tokens) (ok bool, retryAfter time.Duration) {
	l.advance(now)
	a := l.limitedAccount(c)
	l.refill(a)
	if l.IsStarting(now) && !l.fitsOwnPart(a, tokens) {
		return false, l.startedAt.Add(startDelay).Sub(l.now)
	}
	wait := max(a.requests.wait(1), a.tokens.wait(float64(tokens)))
	if wait > 0 {
		return false, min(wait, maxRetryAfter)
	}
	l.take(a, 1, float64(tokens))
	return true, 0
}

// fitsOwnPart reports whether a request fits this host's equal part of the pools of an account,
// which it may use without knowing what the others take.
func (l *Ledger) fitsOwnPart(a *account, tokens ident.Tokens) bool {
	if l.reachable.known < 2 {
		return false
	}
	part := 1 / float64(l.reachable.known)
	return a.requests.fitsPart(1, part) && a.tokens.fitsPart(float64(tokens), part)
}

// limitedAccount returns the state of an account with its limits in force.
func (l *Ledger) limitedAccount(c rules.Client) *account {
	a := l.ensureAccount(c.Name)
	a.limits = rates{requests: c.RequestsPerMinute, tokens: c.TokensPerMinute}
	a.bursts = burstsOf(c)
	a.home = c.Home
	a.lastActive = l.now
	return a
}

// take takes from the pools of an account and schedules the announcement.
func (l *Ledger) take(a *account, requests, tokens float64) {
	a.requests.take(requests)
	a.tokens.take(tokens)
	l.scheduleAnnouncement(a)
}

// Settle replaces a reservation by the number of tokens that the answer used.
func (l *Ledger) Settle(now ident.Time, name ident.Account, reserved, used ident.Tokens) {
	l.advance(now)
	a, ok := l.accounts[name]
	if !ok {
		return
	}
	l.refill(a)
	l.take(a, 0, float64(used-reserved))
}

// refill brings the pools of an account up to now.
func (l *Ledger) refill(a *account) {
	centre, host := l.centreShare(a), l.hostShare(a)
	reachable := l.reachableRatio()
	tolerance := l.tolerance(a)
	a.requests.refill(l.now, l.emptySince(), startCredit*tolerance.requests, float64(a.limits.requests*centre.requests)*reachable,
		max((a.bursts.requests+tolerance.requests)*float64(centre.requests)*reachable, 1))
	a.tokens.refill(l.now, l.emptySince(), startCredit*tolerance.tokens, float64(a.limits.tokens*centre.tokens)*reachable,
		(a.bursts.tokens+tolerance.tokens)*float64(centre.tokens)*reachable)
	// Hosts that become active at the same time don't know each other's demand yet.
	equal := 1 / float64(max(l.reachable.known, 1))
	a.requests.part, a.tokens.part = min(float64(host.requests), equal), min(float64(host.tokens), equal)
}

// overshootUsed and slackUsed are the parts of the tolerated excess that are added to the burst.
// The rest covers what hosts admit before they have received each other's announcements.
const (
	overshootUsed = 0.35
	slackUsed     = 0.6
)

// startCredit is the part of the tolerance that the pools of a data centre hold when a host
// starts.
const startCredit = 0.35

// tolerance returns what is added to the bursts of an account.
func (l *Ledger) tolerance(a *account) bursts {
	excess := func(limit ident.PerMinute, burst float64) float64 {
		if l.bounds.Window <= 0 || limit <= 0 {
			return 0
		}
		inWindow := float64(limit)*l.bounds.Window.Minutes() + burst
		return overshootUsed*l.bounds.Overshoot*inWindow + slackUsed*l.bounds.Slack
	}
	return bursts{requests: excess(a.limits.requests, a.bursts.requests), tokens: excess(a.limits.tokens, a.bursts.tokens)}
}

// emptySince returns since when a pool that is used for the first time has filled. Without a
// bound it is full. With one, the pools are empty at the start of this host: it does not know
// what was admitted before a restart.
func (l *Ledger) emptySince() ident.Time {
	if l.bounds.Window <= 0 {
		return ident.Time(math.MinInt64 / 2)
	}
	return l.startedAt
}

// IsStarting reports whether the host has just started and does not know yet which other hosts
// use the limits.
func (l *Ledger) IsStarting(now ident.Time) bool {
	return l.bounds.Window > 0 && now.Sub(l.startedAt) < startDelay
}

// bursts is how much of each limit may be used at once.
type bursts struct{ requests, tokens float64 }

func burstsOf(c rules.Client) bursts {
	return bursts{
		requests: float64(c.RequestBurst.Or(int64(defaultBurst(c.RequestsPerMinute)))),
		tokens:   float64(c.TokenBurst.Or(ident.Tokens(defaultBurst(c.TokensPerMinute)))),
	}
}

func defaultBurst(limit ident.PerMinute) float64 {
	return min(float64(limit)*rules.DefaultBurst.Minutes(), math.MaxInt64/2)
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

// advance moves the clock forward, never back: going back would take tokens out of the pools.
func (l *Ledger) advance(now ident.Time) {
	if !l.started {
		l.started, l.startedAt = true, now
	}
	l.now = max(l.now, now)
	if l.now.Sub(l.reachabilityCheckedAt) >= time.Second {
		l.updateUnreachable()
	}
}

// sweep drops the accounts whose state equals that of a new one, and the data centres
// that are gone.
func (l *Ledger) sweep() {
	for dc, c := range l.centres {
		if !c.silent && l.now.Sub(c.lastSeen) >= centreTTL {
			delete(l.centres, dc)
			l.removeCentre(dc)
		}
	}
	l.updateUnreachable()
	for name, a := range l.accounts {
		if a.idle(l.now, l.decay()) {
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

func (a *account) idle(now ident.Time, decay float64) bool {
	return !a.localDemand.rateAt(now, decay).active() && len(a.peers) == 0 && len(a.centres) == 0 &&
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
		if own := l.demandOf(l.accounts[name]); own.active() {
			uses = append(uses, own.accountUse(name))
		}
	}
	return uses
}
