// Package member holds what one entry host knows of the others, of the targets
// of its data centre and of the other data centres: which are alive, which drain, how
// loaded each is, and what spare capacity was offered.
//
// # Usage
//
// The reducer passes events to the table and queries it:
//
//	tb := member.New(self)
//	tb.Advance(now)
//	tb.HostsRead(now, ev)
//	tb.DigestReceived(now, digest)
//	effs := tb.Tick(now, member.Own{Revision: rev})
//	wake := tb.Next(now)
//
// Entry hosts of one data centre send each other a digest each second. Three
// missed digests make a host suspect: its duties pass on. Duties that one host
// does for its data centre go to the live host that ranks first by rendezvous
// hashing, so they need no election, and two hosts that hold a duty for a
// moment do no harm. Data centres send each other summaries, which carry the
// spare capacity that each offers; see OfferLeft.
//
// No absolute time travels: what is relayed carries its age, and each host
// adds the time that it held it. Everything held has a bound in age or number.
//
// The table belongs to the reducer. It is not safe for several goroutines,
// reads no clock and no source of randomness, and iterates over sorted slices
// only, so that the same calls give the same effects.
package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/load"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Times of the membership.
const (
	// HeartbeatInterval is the time between two digests and between two load reports of
	// a target.
	HeartbeatInterval = time.Second
	// suspectTimeout is three missed digests and half a period for the link.
	suspectTimeout = 3*HeartbeatInterval + HeartbeatInterval/2
	// linkDownTimeout replaces it while the link to the host is down.
	linkDownTimeout = HeartbeatInterval + HeartbeatInterval/2
	// deadTimeout is the silence after which a lower incarnation is believed.
	deadTimeout = 10 * time.Second
	// dropTimeout is the silence after which what the platform does not list is
	// dropped.
	dropTimeout = time.Minute
	// probeInterval is the time between digests to a host that is silent.
	probeInterval = 5 * time.Second
	// minPause is the gap between two steps from which on this host counts as
	// paused: Tick is due each period.
	minPause = HeartbeatInterval + HeartbeatInterval/2
	// pauseCatchUpTime is how long after a pause messages may have waited through it.
	pauseCatchUpTime = HeartbeatInterval
)

// LocalState is the state of this host that the reducer passes at each Tick.
type LocalState struct {
	// Revision is the revision in force at this host.
	Revision ident.Revision
	// Accounts is the demand at this host, for peers; CentreAccounts that of
	// the whole data centre, for other data centres.
	Accounts []event.AccountUse
	// AccountsIncluded says that Accounts goes into the next digest; it is left out
	// otherwise.
	AccountsIncluded bool
	// CentreAccounts returns the demand of the data centre for a summary. It
	// is called once for each round of summaries, since what it returns counts
	// as sent. Nil stands for none.
	CentreAccounts func() []event.AccountUse
	// LastCacheEvent returns the last sequence number seen of the cache events of a
	// target; nil is none.
	LastCacheEvent func(ident.TargetID) uint64
}

func (o LocalState) lastCacheEvent(id ident.TargetID) uint64 {
	if o.LastCacheEvent == nil {
		return 0
	}
	return o.LastCacheEvent(id)
}

// PoolID names a pool: the targets of one data centre that serve one model,
// or one plain service.
type PoolID struct {
	Serve   rules.Serve
	Service string
}

// Table is the state.
type Table struct {
	self        event.Host
	initialised bool
	// started is the first time that the table was given, last the newest.
	started     ident.Time
	lastAdvance ident.Time
	local       LocalState
	// resumedAt is when this host last resumedAt from a pause, paused how long it was.
	resumedAt     ident.Time
	pauseDuration time.Duration

	peers    []*peer
	targets  []*Target
	byID     map[ident.TargetID]*Target
	byKey    map[event.TargetKey]*Target
	draining map[ident.TargetID]drainNotice
	// restarted holds the targets that have started anew since they were last asked for.
	restarted []ident.TargetID
	// coldProbeQueue holds the targets that are to be asked whether they are cold.
	coldProbeQueue []ident.TargetID
	centres        []*Centre
	pools          []*pool
	forwarded      []event.AwayUse
	// requestsQueuedAt is when requests last began to wait here.
	requestsQueuedAt    ident.Time
	platformUnreachable bool

	list         listState
	heartbeat    heartbeatState
	loadsToRelay []event.Load
	cold         Cold
	// serviceStats is what is serviceStats for the targets of each service.
	serviceStats load.Services
	// flows is the work that the callers of this host bring, by service; misses the
	// part of the prompts of a service that its engines have to read.
	flows      []*flow
	missRatios map[string]float64
	// notes are the changes of belief since Notes was last asked.
	notes []event.Note
	// baseSummaryInterval is the fixed part of the time between summaries to a data centre
	// that wants nothing.
	baseSummaryInterval time.Duration
}

// listState follows the platform's list of hosts.
type listState struct {
	// version is that of the list that this host goes by, readAt when it was read
	// here or came from a peer; read says that this host has read one itself.
	version   uint64
	readHere  bool
	updatedAt ident.Time
	// source is the host that read the list in use from the store; complete says that it
	// was this host and that the list names all targets.
	source   ident.EntryID
	complete bool
	// nextRead is when this host reads the list again.
	nextRead ident.Time
	// unannounced says that the newest list has not been sent to peers.
	unannounced bool
	// readFailed says that the last read failed, backAt when one came after that, steadyAt
	// since when no own read has failed.
	readFailed  bool
	recoveredAt ident.Time
	steadySince ident.Time
	// urgent says that the newest own read has news for the peers.
	urgent bool
}

// heartbeatState follows the digests and summaries that this host sends.
type heartbeatState struct {
	nextDigest ident.Time
	// nextUse is when the use of targets is next sent to peers.
	nextUse    ident.Time
	seq        uint64
	summarySeq uint64
	// urgent says that a digest is due at once, peers that a new peer waits for
	// a full digest, asks that another data centre has changed its demand.
	urgent        bool
	fullDigestDue bool
	summaryDue    bool
	// holders are the prefix holders of the next digest.
	holders []event.PrefixHolder
}

// New returns an empty table.
func New(self event.Host) *Table {
	return &Table{
		self:                self,
		byID:                make(map[ident.TargetID]*Target),
		byKey:               make(map[event.TargetKey]*Target),
		draining:            make(map[ident.TargetID]drainNotice),
		baseSummaryInterval: defaultSummaryInterval,
		missRatios:          make(map[string]float64),
	}
}

// SetSummaryInterval changes the fixed part of the time between summaries to a data centre
// that wants nothing. A data centre counts as cut off after three of them, and
// callers are sent to its hosts for that long after it has gone.
func (tb *Table) SetSummaryInterval(slow time.Duration) { tb.baseSummaryInterval = slow }

// Self returns this host.
func (tb *Table) Self() event.Host { return tb.self }

// SetDraining marks this host as draining, and has the next Tick, which is due at once,
// announce it.
func (tb *Table) SetDraining() {
	if tb.self.Draining {
		return
	}
	tb.self.Draining = true
	tb.heartbeat.urgent = true
	tb.heartbeat.summaryDue = true
}

// SetPlatformUnreachable says whether this host gets no answer from the platform. A blind host passes the
// duty to watch on, as long as another host is not blind; otherwise a host that is cut off from
// the platform only would keep it, and the whole data centre would miss changes.
func (tb *Table) SetPlatformUnreachable(blind bool) {
	if tb.platformUnreachable != blind {
		tb.platformUnreachable = blind
		tb.heartbeat.urgent = true
	}
}

// Advance takes the time. The reducer calls it first at each step.
//
// The time of a pause of this host does not count as silence of others. It counts for
// all that expires: loads, offers and summaries.
func (tb *Table) Advance(now ident.Time) {
	if !tb.initialised {
		tb.initialised = true
		tb.started, tb.lastAdvance = now, now
		tb.list.nextRead = now.Add(firstReadDelay(tb.self))
		return
	}
	gap := now.Sub(tb.lastAdvance)
	if gap <= 0 {
		return
	}
	tb.lastAdvance = now
	if gap <= minPause {
		return
	}
	tb.resumedAt, tb.pauseDuration = now, gap
	for _, p := range tb.peers {
		p.lastSeen = p.lastSeen.Add(gap)
	}
	for _, t := range tb.targets {
		t.lastSeen = t.lastSeen.Add(gap)
	}
}

// extraAge returns how much older a message may be than its age says: just after a pause
// of this host it may have waited in a socket.
func (tb *Table) extraAge(now ident.Time) time.Duration {
	if tb.pauseDuration > 0 && now.Sub(tb.resumedAt) <= pauseCatchUpTime {
		return tb.pauseDuration
	}
	return 0
}

// Target returns one target of the own data centre.
func (tb *Table) Target(id ident.TargetID) (*Target, bool) {
	t, ok := tb.byID[id]
	return t, ok
}

// Targets returns the targets of the own data centre by id.
func (tb *Table) Targets() []*Target { return tb.targets }

// Host returns an entry host by id, of whichever data centre.
func (tb *Table) Host(id ident.EntryID) (event.Host, bool) {
	if id == tb.self.ID {
		return tb.self, true
	}
	if p, ok := tb.peer(id); ok {
		return p.host, true
	}
	for _, c := range tb.centres {
		for _, h := range c.Hosts {
			if h.ID == id {
				return h, true
			}
		}
	}
	return event.Host{}, false
}

// Revisions returns the lowest and the highest revision of the live hosts of
// the own data centre.
func (tb *Table) Revisions(now ident.Time) (low, high ident.Revision) {
	low, high = tb.local.Revision, tb.local.Revision
	for _, p := range tb.peers {
		if p.live(now) && p.seq > 0 {
			low = min(low, p.revision)
			high = max(high, p.revision)
		}
	}
	return low, high
}
