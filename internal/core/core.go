// Package core is the reducer that makes every decision of an entry host.
//
// # Usage
//
//	red := core.New(self)
//	effs := red.Step(now, ev)
//
// Step is deterministic: it reads no clock, no socket and no source of
// randomness, starts no goroutine and does not depend on map order, so the same
// events give the same effects, byte for byte. Several reducers fit into one
// process and can be driven in virtual time.
//
// The state is split by decision, one package each: member holds hosts,
// targets and loads; route chooses where a request runs; admit queues requests
// while no target has capacity; quota limits accounts; retry bounds retries;
// poison finds requests that end their targets; begun remembers which build
// began each stream, builds which builds there have been; once keeps non-idempotent
// requests from running twice; spread holds and distributes the configuration.
// This package takes each request through them. A Reducer belongs to one
// goroutine.
package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/begun"
	"verbenadale.example/verbenadale/internal/builds"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/fence"
	"verbenadale.example/verbenadale/internal/length"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/once"
	"verbenadale.example/verbenadale/internal/poison"
	"verbenadale.example/verbenadale/internal/quota"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/internal/slack"
	"verbenadale.example/verbenadale/internal/spread"
	"verbenadale.example/verbenadale/pkg/ident"
)

// defaultMinDrain is the minimum duration of a drain if Bounds gives none. It exceeds entriesTTL,
// for which callers may use a directory answer.
const defaultMinDrain = entriesTTL + time.Second

// Reducer is the state of one entry host.
type Reducer struct {
	self   event.Host
	table  *member.Table
	router *route.Router
	spread *spread.Distributor
	once   *once.Registry
	quota  *quota.Ledger
	poison *poison.Book
	begun  *begun.Book
	ledger *begun.Ledger
	builds *builds.Book
	// list is the last read of the platform's list of which targets are held back, and listAt when it was
	// read. They are admitted at admitAt at the latest, zero if there are none.
	list            event.HostsRead
	listAt, admitAt ident.Time
	// retention is the result of buildRetention at a revision of the configuration, until it is worked out again.
	retention      time.Duration
	retentionOf    ident.Revision
	retentionUntil ident.Time
	// services are those of the routes as of servicesOf, until nextServices.
	services     routeServices
	servicesOf   ident.Revision
	nextServices ident.Time
	// lookups are the questions about streams that have not been settled, fence the reads that they wait for.
	lookups map[lookupKey]*lookup
	fence   fence.Fence
	// budget is the retry budget of requests without a route, retryBudgets that of each service.
	budget retry.Budget
	// bounds holds the limits that all hosts share.
	bounds       Bounds
	retryBudgets map[string]*retry.Budget
	// lengths estimates the number of events in the streams of each route.
	lengths *length.Book
	// maxHosts is the highest number of entry hosts known at one time, and startedAt the time of
	// the first step.
	maxHosts  int
	startedAt ident.Time
	pools     pools
	slack     *slack.Book
	timers    timerQueue

	requests    map[ident.RequestID]*request
	attempts    map[ident.Attempt]*attempt
	lastAttempt uint64

	// activeReader is set while this host reads the store continuously.
	activeReader bool
	// recorded has what findRecorded has returned since the targets or the records last changed, until
	// recordedUntil.
	recorded      map[string][]ident.Build
	recordedUntil ident.Time
	// nextRecords is the earliest time at which a host that is no active reader reads the records again.
	nextRecords    ident.Time
	draining       bool
	drainStartedAt ident.Time
	// drainEnded is set once the drain has ended and the process is about to exit.
	drainEnded bool
	wakeAt     ident.Time
	// lastDigestAt is when each peer of the data centre last sent a digest.
	lastDigestAt map[ident.EntryID]ident.Time
	// confirmedAt is the latest time at which the configuration in force was known to be current.
	confirmedAt ident.Time
	// nextDemandAt is when the demand of the accounts is next announced.
	nextDemandAt ident.Time
	// nextEndsRefresh is when the representative next repeats which targets ended under requests.
	nextEndsRefresh ident.Time
	// disconnects are the attempts of which targets have recently closed the connections, oldest first.
	disconnects []disconnect
	// nextBegun is when begun streams may next be announced, nextBuilds when the builds that serve are
	// next recorded.
	nextBegun, nextBuilds ident.Time
	out                   []event.Effect
}

// New returns the reducer of a host that has received no events yet, with default bounds.
func New(self event.Host) *Reducer { return NewBounded(self, Bounds{}) }

// NewBounded returns a reducer with limits that apply to all hosts together.
func NewBounded(self event.Host, bounds Bounds) *Reducer {
	rd := &Reducer{
		bounds:       bounds.withDefaults(),
		retryBudgets: make(map[string]*retry.Budget),
		lengths:      length.New(),
		self:         self,
		activeReader: true, recorded: make(map[string][]ident.Build),
		table:        member.New(self),
		router:       route.New(),
		spread:       spread.New(self),
		once:         once.New(self.ID, self.Incarnation),
		quota:        quota.New(self.ID, self.Place.Group()),
		poison:       poison.New(),
		begun:        begun.New(),
		ledger:       begun.NewLedger(self.ID),
		builds:       builds.New(self.ID),
		services:     make(routeServices),
		lookups:      make(map[lookupKey]*lookup),
		pools:        newPools(),
		slack:        slack.New(),
		lastDigestAt: make(map[ident.EntryID]ident.Time),
		requests:     make(map[ident.RequestID]*request),
		attempts:     make(map[ident.Attempt]*attempt),
	}
	rd.poison.Stagger(self.ID)
	rd.quota.SetBounds(bounds.Accounts)
	rd.quota.SetRegion(self.Place.Group(), self.Place.Region)
	rd.table.SetColdLimits(member.ColdLimits{PerSecond: rd.coldPerSecond, Duration: rd.coldDuration})
	rd.spread.SetPlatformFirst(bounds.SharedReads)
	if bounds.SummaryInterval > 0 {
		rd.table.SetSummaryInterval(bounds.SummaryInterval)
	}
	return rd
}

// Router returns the router, so that routing policies can be compared.
func (rd *Reducer) Router() *route.Router { return rd.router }

// Step handles one event and returns the effects to execute. The returned slice belongs to the
// caller.
func (rd *Reducer) Step(now ident.Time, ev event.Event) []event.Effect {
	rd.out = nil
	if rd.startedAt == 0 {
		rd.startedAt = now
	}
	rd.table.Advance(now)
	switch {
	case rd.requestEvent(now, ev):
	case rd.peerEvent(now, ev):
	case rd.environmentEvent(now, ev):
	default:
		rd.queryEvent(now, ev)
	}
	rd.tick(now)
	for _, n := range rd.table.TakeNotes() {
		rd.emit(n)
	}
	return rd.out
}

// requestEvent handles the events of requests. It reports whether ev is one of them.
func (rd *Reducer) requestEvent(now ident.Time, ev event.Event) bool {
	switch e := ev.(type) {
	case event.RequestArrived:
		rd.arrive(now, e.Request)
	case event.AttemptSent:
		rd.attemptSent(e)
	case event.FirstToken:
		rd.firstToken(now, e)
	case event.StreamPaced:
		rd.streamPaced(now, e)
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

// peerEvent handles the events of other entry hosts. It reports whether ev is one of them.
func (rd *Reducer) peerEvent(now ident.Time, ev event.Event) bool {
	switch e := ev.(type) {
	case event.PeerUp:
		rd.table.PeerUp(now, e.Host)
		rd.refreshTargetEnds(now)
	case event.PeerDown:
		rd.table.PeerDown(now, e.Entry)
		rd.keeperDown(now, e.Entry)
	case event.DigestReceived:
		rd.handleDigest(now, e.Digest)
	case event.AdmissionsReceived:
		rd.quota.MergeAnnouncement(now, e.From, e.Admissions, rd.spread.Book().Client)
	case event.TargetEndsReceived:
		rd.mergeTargetEnds(now, e)
	case event.BegunReceived:
		rd.begunReceived(now, e)
	case event.BegunAsked:
		rd.begunAsked(now, e)
	case event.BegunAnswered:
		rd.begunAnswered(now, e)
	case event.SummaryReceived:
		rd.table.SummaryReceived(now, e.Summary)
		rd.handleSummary(now, e.Summary, true)
	case event.ChangesReceived:
		rd.emit(rd.spread.ApplyChanges(now, e, rd.table.Peers(now))...)
	case event.SnapshotReceived:
		rd.emit(rd.spread.ApplySnapshot(now, e)...)
	case event.ChangesWanted:
		rd.changesWanted(e)
	case event.BarAsked:
		rd.emit(event.AnswerBar{To: e.From, Attempt: e.Attempt, Answer: rd.once.Bar(now, e.Attempt, e.ToIncarnation)})
	default:
		return false
	}
	return true
}

// environmentEvent handles the events of targets, the platform and the process. It reports
// whether ev is one of them.
func (rd *Reducer) environmentEvent(now ident.Time, ev event.Event) bool {
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
		rd.hostsRead(now, e)
	case event.BuildsRecorded:
		rd.buildsRecorded(now, e)
	case event.BuildsRead:
		rd.buildsRead(now, e)
	case event.BegunRead:
		rd.begunRead(now, e)
	case event.BegunSaved:
		rd.ledger.Saved(now, e, rd.table.HostCount())
	case event.PlatformFailed:
		rd.spread.PlatformFailed(now, e.Op)
		if e.Op == event.OpReadHosts {
			rd.table.ListFailed(now)
		}
		rd.settleLookups(now)
	case event.WatchIdle:
		rd.spread.WatchIdle(now)
	case event.ListRead:
		rd.table.ListRead(now, e.Age)
		rd.builds.Confirmed(now)
		rd.confirmedAt = max(rd.confirmedAt, now.Add(-e.Age-rd.table.MaxDelay(now)))
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

func (rd *Reducer) handleDigest(now ident.Time, d event.Digest) {
	rd.table.DigestReceived(now, d)
	clear(rd.recorded)
	rd.lastDigestAt[d.Host.ID] = now
	if d.AccountsIncluded {
		rd.quota.SetPeerDemand(now, d.Host.ID, d.Accounts)
	}
	if d.ListConfirmed && d.Revision <= rd.spread.Revision() {
		// The sender has read the platform and knows no newer revision.
		rd.confirmedAt = max(rd.confirmedAt, now.Add(-d.ListAge-rd.table.MaxDelay(now)))
	}
	rd.emit(rd.spread.RevisionSeen(now, d.Host, d.Revision)...)
	for _, s := range d.Summaries {
		rd.handleSummary(now, s, false)
	}
	for _, h := range d.Holders {
		if t, ok := rd.table.TargetByKey(h.Target); ok {
			rd.router.PrefixSent(now, t.ID, []uint64{h.LastBlock})
		}
	}
}

// handleSummary handles the parts of a summary other than members and offers. Of the hosts that
// get the summary in the digest of a peer, only the representative requests missing changes. The
// host that received the summary itself (direct) requests them too, since the representative may
// be frozen.
func (rd *Reducer) handleSummary(now ident.Time, s event.Summary, direct bool) {
	rd.quota.SetRegion(s.Place.Group(), s.Place.Region)
	sentAt := now.Add(-s.Age)
	rd.quota.RecordCentreSeen(now, sentAt, s.Place.Group())
	if !s.AccountsOmitted {
		rd.quota.MergeCentreReport(now, sentAt, s.Place.Group(), s.Accounts)
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

// tick runs everything that is due. Step calls it after each event.
func (rd *Reducer) tick(now ident.Time) {
	rd.table.SetPlatformUnreachable(rd.spread.PlatformFailing())
	if now >= rd.table.Next(now) {
		rd.emit(rd.table.Tick(now, rd.ownState(now))...)
	}
	rd.announceAdmissions(now)
	rd.endCondemned(now)
	rd.announceTargetEnds(now)
	if now >= rd.nextBuilds {
		rd.noteBuilds(now)
		rd.recordBuilds(now)
	}
	if rd.admitAt > 0 && now >= rd.admitAt {
		rd.admitTargets(now)
	}
	rd.noteServices(now)
	rd.begun.AnnounceAll(now, rd.isOutOfStep(now) || rd.builds.HasSeveral())
	rd.announceBegun(now)
	rd.saveBegun(now)
	rd.continueLookups(now)
	rd.readBuilds(now)
	rd.emit(rd.spread.Tick(now, rd.table.IsWatcher(now))...)
	rd.updateReadPace(now)
	rd.targetsRestarted(now)
	rd.targetsAdded(now)
	rd.runTimers(now)
	rd.shedAndSendWaiting(now)
	for _, id := range rd.once.Expire(now) {
		rd.emit(event.ForgetOutcome{Request: id})
	}
	if rd.draining && !rd.drainEnded && len(rd.requests) == 0 && now.Sub(rd.drainStartedAt) >= rd.bounds.MinDrain {
		rd.drainEnded = true
		rd.emit(event.Drained{})
	}
	rd.scheduleWake(now)
}

// updateReadPace emits PaceReads when this host starts or stops reading the platform's store
// continuously. A host starts as an active reader.
func (rd *Reducer) updateReadPace(now ident.Time) {
	if !rd.bounds.SharedReads {
		return
	}
	if rd.table.IsActiveReader(now) != rd.activeReader {
		rd.activeReader = !rd.activeReader
		rd.emit(event.PaceReads{Active: rd.activeReader})
	}
	if !rd.activeReader && now >= rd.table.NextListRead() {
		rd.table.ListReadAsked(now)
		rd.emit(event.ReadList{})
	}
}

// announcedAccountsPerSecond bounds how many accounts a host announces to its peers per second,
// on average. With more accounts the whole list is sent less often.
const announcedAccountsPerSecond = 16

// peerDemandTTL is how long the demand of a peer counts after its last digest. It equals the time
// after which package member considers a host dead.
const peerDemandTTL = 10 * time.Second

// expirePeerDemand drops the demand of peers that no longer send digests. A host that is replaced
// by one of another name never reports again: its last demand would keep its share of every limit,
// and the remaining hosts would refuse callers below their limits until they restart too. The
// result does not depend on the order of the peers.
func (rd *Reducer) expirePeerDemand(now ident.Time) {
	for id, at := range rd.lastDigestAt {
		if now.Sub(at) > peerDemandTTL {
			delete(rd.lastDigestAt, id)
			rd.quota.DropPeer(id)
		}
	}
}

// announceAdmissions announces what this host has admitted of the requests of limited accounts if
// that is due.
func (rd *Reducer) announceAdmissions(now ident.Time) {
	if at := rd.quota.NextAnnouncement(); at == 0 || now < at {
		return
	}
	as, to := rd.quota.Announce(now), rd.table.Peers(now)
	if len(as) > 0 && len(to) > 0 {
		rd.emit(event.SendAdmissions{To: to, Admissions: as})
	}
}

func (rd *Reducer) ownState(now ident.Time) member.LocalState {
	rd.expirePeerDemand(now)
	rd.quota.SetHosts(now, 1+len(rd.table.Peers(now)), 1+rd.table.PeerCount())
	own := member.LocalState{
		Revision:       rd.spread.Revision(),
		CentreAccounts: func() ([]event.AccountUse, bool) { return rd.quota.SummaryDemand(now) },
		LastCacheEvent: rd.router.CacheSeq,
	}
	if now >= rd.nextDemandAt {
		own.Accounts = rd.quota.DigestDemand(now)
		own.AccountsIncluded = true
		rd.nextDemandAt = now.Add(member.HeartbeatInterval * time.Duration((len(own.Accounts)+announcedAccountsPerSecond-1)/announcedAccountsPerSecond))
	}
	return own
}

// maxTickInterval is the longest time between two ticks.
const maxTickInterval = time.Second

// scheduleWake requests the next tick, unless one is pending at that time or earlier.
func (rd *Reducer) scheduleWake(now ident.Time) {
	at := now.Add(maxTickInterval)
	if rd.bounds.SharedReads && !rd.activeReader {
		at = min(at, rd.table.NextListRead())
	}
	for _, t := range []ident.Time{
		rd.table.Next(now), rd.spread.NextTick(now), rd.timers.next(), rd.pools.next(now, rd.queueDeadline), rd.once.Next(), rd.quota.NextAnnouncement(),
		rd.poison.NextAnnouncement(), rd.nextBegunTick(), rd.ledger.Next(), rd.admitAt,
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
