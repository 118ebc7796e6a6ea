// Package core is the reducer that makes every decision of an entry host.
//
// # Usage
//
//	red := core.New(self)
//	effs := red.Step(now, ev)
//
// Step is deterministic: it reads no clock, no socket and no source of
// randomness, starts no goroutine and lets no map order show, so the same
// events give the same effects, byte for byte. Several reducers fit into one
// process and can be driven in virtual time.
//
// The state is split by decision, one package each: member holds hosts,
// targets and loads; route chooses where a request runs; admit holds requests
// while there is no room; quota limits accounts; retry bounds second tries;
// once keeps non-idempotent requests from running twice; spread holds the
// configuration. This package follows each request through them. A Reducer
// belongs to one goroutine.
package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/once"
	"verbenadale.example/verbenadale/internal/quota"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/internal/slack"
	"verbenadale.example/verbenadale/internal/spread"
	"verbenadale.example/verbenadale/pkg/ident"
)

// drainLeast is the minimum duration of a drain where no bound is given: callers may use a
// directory answer for entriesValid.
const drainLeast = entriesValid + time.Second

// Reducer is the state of one entry host.
type Reducer struct {
	self   event.Host
	table  *member.Table
	router *route.Router
	spread *spread.Distributor
	once   *once.Registry
	quota  *quota.Ledger
	budget retry.Budget
	// bounds and services hold what routes are served by: the bounds of all
	// hosts together, and the budget of second tries of each service.
	bounds   Bounds
	services map[string]*retry.Budget
	// lengths is the smoothed number of events in the streams of each route.
	lengths map[ident.Profile]float64
	// hostsMost is the most entry hosts that were known at one time, startedAt
	// the time of the first step.
	hostsMost int
	startedAt ident.Time
	pools     pools
	slack     *slack.Book
	agenda    agenda

	requests map[ident.RequestID]*request
	attempts map[ident.Attempt]*attempt
	number   uint64

	// reads says that this host is an active reader of the store.
	reads    bool
	draining bool
	drainAt  ident.Time
	// closed says that the drain has ended and that the process is about to.
	closed bool
	wakeAt ident.Time
	// demandAt is when each peer of the data centre last sent a digest.
	demandAt map[ident.EntryID]ident.Time
	// announceAt is when the demand of the accounts is next sent.
	announceAt ident.Time
	out        []event.Effect
}

// New returns the reducer of a host that knows nothing yet.
func New(self event.Host) *Reducer { return NewBounded(self, Bounds{}) }

// NewBounded returns a reducer that keeps to bounds which hold for all hosts
// together.
func NewBounded(self event.Host, bounds Bounds) *Reducer {
	rd := &Reducer{
		bounds:   bounds.filled(),
		services: make(map[string]*retry.Budget),
		lengths:  make(map[ident.Profile]float64),
		self:     self,
		reads:    true,
		table:    member.New(self),
		router:   route.New(),
		spread:   spread.New(self),
		once:     once.New(self.ID, self.Incarnation),
		quota:    quota.New(self.ID, self.Place.Group()),
		pools:    newPools(),
		slack:    slack.New(),
		demandAt: make(map[ident.EntryID]ident.Time),
		requests: make(map[ident.RequestID]*request),
		attempts: make(map[ident.Attempt]*attempt),
	}
	rd.quota.SetRegion(self.Place.Group(), self.Place.Region)
	rd.table.SetColdLimits(member.ColdLimits{PerSecond: rd.coldPerSecond, Duration: rd.coldSpan})
	rd.spread.SetPlatformFirst(bounds.SharedReads)
	if bounds.Pace > 0 {
		rd.table.SetSummaryInterval(bounds.Pace)
	}
	return rd
}

// Router returns the router, for comparisons of policies.
func (rd *Reducer) Router() *route.Router { return rd.router }

// Step takes one event and returns what is to be done. The effects belong to
// the caller.
func (rd *Reducer) Step(now ident.Time, ev event.Event) []event.Effect {
	rd.out = nil
	if rd.startedAt == 0 {
		rd.startedAt = now
	}
	rd.table.Advance(now)
	switch {
	case rd.traffic(now, ev):
	case rd.peers(now, ev):
	case rd.outside(now, ev):
	default:
		rd.questions(now, ev)
	}
	rd.tick(now)
	for _, n := range rd.table.TakeNotes() {
		rd.emit(n)
	}
	return rd.out
}

// traffic takes the events of requests.
func (rd *Reducer) traffic(now ident.Time, ev event.Event) bool {
	switch e := ev.(type) {
	case event.RequestArrived:
		rd.arrive(now, e.Request)
	case event.AttemptSent:
		rd.attemptSent(e)
	case event.FirstToken:
		rd.firstToken(now, e)
	case event.StreamPaced:
		rd.streamPaced(e)
	case event.AttemptSilent:
		rd.attemptSilent(now, e)
	case event.AttemptEnded:
		rd.attemptEnded(now, e)
	case event.CallerLeft:
		rd.callerLeft(now, e.Request)
	case event.KeyClaimed:
		rd.keyClaimed(now, e)
	case event.BarAnswered:
		rd.barAnswered(now, e)
	default:
		return false
	}
	return true
}

// peers takes the events of other entry hosts.
func (rd *Reducer) peers(now ident.Time, ev event.Event) bool {
	switch e := ev.(type) {
	case event.PeerUp:
		rd.table.PeerUp(now, e.Host)
	case event.PeerDown:
		rd.table.PeerDown(now, e.Entry)
	case event.DigestReceived:
		rd.digest(now, e.Digest)
	case event.SummaryReceived:
		rd.table.SummaryReceived(now, e.Summary)
		rd.summary(now, e.Summary, true)
	case event.ChangesReceived:
		rd.emit(rd.spread.ApplyChanges(now, e, rd.table.Peers(now))...)
	case event.SnapshotReceived:
		rd.emit(rd.spread.ApplySnapshot(now, e)...)
	case event.ChangesWanted:
		rd.changesWanted(e)
	case event.BarAsked:
		rd.emit(event.AnswerBar{To: e.From, Attempt: e.Attempt, Answer: rd.once.Bar(now, e.Attempt, e.To)})
	default:
		return false
	}
	return true
}

// outside takes the events of targets, the platform and the process.
func (rd *Reducer) outside(now ident.Time, ev event.Event) bool {
	switch e := ev.(type) {
	case event.LoadReported:
		rd.table.LoadReported(now, e.Load)
	case event.LoadSeen:
		rd.table.LoadSeen(now, e)
	case event.ProbeAnswered:
		rd.table.ProbeAnswered(now, e)
	case event.MemoryReported:
		rd.table.MemoryReported(e)
	case event.LoadFailed:
		rd.table.LoadFailed(now, e.Target, e.Incarnation)
	case event.CacheChanged:
		rd.router.CacheChanged(now, e, rd.table)
	case event.HostsRead:
		rd.table.HostsRead(now, e)
	case event.PlatformFailed:
		rd.spread.PlatformFailed(now, e.Op)
		if e.Op == event.OpReadHosts {
			rd.table.ListFailed(now)
		}
	case event.WatchIdle:
		rd.spread.WatchIdle(now)
	case event.ReadProgress:
		rd.spread.PlatformProgress(now)
	case event.DrainAsked:
		rd.drain(now)
	case event.DrainExpired:
		rd.drainExpired(now)
	case event.Tick:
	default:
		return false
	}
	return true
}

func (rd *Reducer) emit(effs ...event.Effect) { rd.out = append(rd.out, effs...) }

func (rd *Reducer) digest(now ident.Time, d event.Digest) {
	rd.table.DigestReceived(now, d)
	rd.demandAt[d.Host.ID] = now
	if d.AccountsIncluded {
		rd.quota.PeerDemand(now, d.Host.ID, d.Accounts)
	}
	rd.emit(rd.spread.RevisionSeen(now, d.Host, d.Revision)...)
	for _, s := range d.Summaries {
		rd.summary(now, s, false)
	}
	for _, h := range d.Holders {
		if t, ok := rd.table.TargetByKey(h.Target); ok {
			rd.router.PrefixSent(now, t.ID, []uint64{h.Part})
		}
	}
}

// summary handles what a summary contains beyond members and offers. Of the hosts that receive
// it from a peer only the representative asks for changes. The host that the summary was sent
// to asks too, since the representative may be frozen.
func (rd *Reducer) summary(now ident.Time, s event.Summary, direct bool) {
	rd.quota.SetRegion(s.Place.Group(), s.Place.Region)
	rd.quota.CentreSeen(now, s.Place.Group())
	if !s.AccountsKept {
		rd.quota.CentreReport(now, s.Place.Group(), s.Accounts)
	}
	if !direct && !rd.table.IsRepresentative(now) {
		return
	}
	if h, ok := rd.table.Host(s.From); ok {
		rd.emit(rd.spread.RevisionSeen(now, h, s.Highest)...)
	}
}

func (rd *Reducer) changesWanted(e event.ChangesWanted) {
	if h, ok := rd.table.Host(e.From); ok {
		rd.emit(rd.spread.AnswerPeer(h, e.After)...)
	}
}

// tick does what is due by time, after each event.
func (rd *Reducer) tick(now ident.Time) {
	rd.table.SetPlatformUnreachable(rd.spread.PlatformFailing())
	if now >= rd.table.Next(now) {
		rd.emit(rd.table.Tick(now, rd.own(now))...)
	}
	rd.emit(rd.spread.Tick(now, rd.table.IsWatcher(now))...)
	rd.paceReads(now)
	rd.targetsRestarted()
	rd.agendaDue(now)
	rd.poolsDue(now)
	for _, id := range rd.once.Expire(now) {
		rd.emit(event.ForgetOutcome{Request: id})
	}
	if rd.draining && !rd.closed && len(rd.requests) == 0 && now.Sub(rd.drainAt) >= rd.bounds.DrainLeast {
		rd.closed = true
		rd.emit(event.Drained{})
	}
	rd.wake(now)
}

// paceReads emits how to read the platform's store when that changes. A host begins as an
// active reader.
func (rd *Reducer) paceReads(now ident.Time) {
	if !rd.bounds.SharedReads || rd.table.IsActiveReader(now) == rd.reads {
		return
	}
	rd.reads = !rd.reads
	rd.emit(event.PaceReads{Active: rd.reads})
}

// accountsPerSecond bounds how many accounts a host announces to its peers each second, on
// average. With more of them the whole list goes out less often.
const accountsPerSecond = 4

// goneAfter is the silence of a peer after which its demand counts no more. It
// is the time after which members count a host as dead.
const goneAfter = 10 * time.Second

// dropGone forgets the demand of peers that have gone. A host that is replaced
// by one of another name never reports again: its last demand would keep its
// share of every limit, and callers of the others would be refused below their
// limits until these restart too. The order of the peers does not show.
func (rd *Reducer) dropGone(now ident.Time) {
	for id, at := range rd.demandAt {
		if now.Sub(at) > goneAfter {
			delete(rd.demandAt, id)
			rd.quota.DropPeer(id)
		}
	}
}

func (rd *Reducer) own(now ident.Time) member.LocalState {
	rd.dropGone(now)
	own := member.LocalState{
		Revision:       rd.spread.Revision(),
		CentreAccounts: func() []event.AccountUse { return rd.quota.CentreDemand(now) },
		LastCacheEvent: rd.router.CacheSeq,
	}
	if now >= rd.announceAt {
		own.Accounts = rd.quota.Demand(now)
		own.AccountsIncluded = true
		rd.announceAt = now.Add(member.HeartbeatInterval * time.Duration((len(own.Accounts)+accountsPerSecond-1)/accountsPerSecond))
	}
	return own
}

// wakeLate is the longest time without a tick.
const wakeLate = time.Second

// wake asks for the next tick.
func (rd *Reducer) wake(now ident.Time) {
	at := now.Add(wakeLate)
	for _, t := range []ident.Time{
		rd.table.Next(now), rd.spread.NextTick(now), rd.agenda.next(), rd.pools.next(now, rd.startBy), rd.once.Next(),
	} {
		if t > now && t < at {
			at = t
		}
	}
	if rd.wakeAt > now && rd.wakeAt <= at {
		return
	}
	rd.wakeAt = at
	rd.emit(event.Wake{At: at})
}
