// Package member tracks the state that one entry host knows of the other entry hosts, of the
// targets of its data centre and of the other data centres: which of them are alive, which are
// draining, their load, and the spare capacity that other data centres offer.
//
// # Usage
//
// The reducer passes events to the table and queries it:
//
//	tb := member.New(self)
//	tb.Advance(now)
//	tb.HostsRead(now, ev)
//	tb.DigestReceived(now, digest)
//	effs := tb.Tick(now, member.LocalState{Revision: rev})
//	wake := tb.Next(now)
//
// The entry hosts of one data centre send each other a digest every second. A host from which
// three digests are missing is suspect, and its duties pass to another host. A duty that one
// host does for the whole data centre belongs to the live host that ranks first by rendezvous
// hashing. This needs no election, and it does no harm if two hosts hold a duty for a moment.
// Data centres send each other summaries, which include the spare capacity that each of them
// offers.
//
// Messages contain no absolute times. A relayed message carries its age, and each host adds
// the time for which it held the message. All state is bounded in age or number.
//
// A Table belongs to the reducer and is not safe for concurrent use. It reads no clock and no
// source of randomness, and iterates over sorted slices only, so that the same calls return
// the same effects.
package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/load"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Intervals and timeouts of the membership protocol.
const (
	// HeartbeatInterval is the time between two regular digests, and between two polls of a target
	// for its load.
	HeartbeatInterval = time.Second
	// suspectTimeout allows for three missed digests and half an interval of network delay.
	suspectTimeout = 3*HeartbeatInterval + HeartbeatInterval/2
	// linkDownTimeout replaces suspectTimeout while the link to the host is down.
	linkDownTimeout = HeartbeatInterval + HeartbeatInterval/2
	// deadTimeout is the silence of a host or target after which a lower incarnation of it is
	// accepted.
	deadTimeout = 10 * time.Second
	// dropTimeout is the silence after which a host or target that the platform does not list
	// is dropped.
	dropTimeout = time.Minute
	// probeInterval is the time between two digests to a silent host.
	probeInterval = 5 * time.Second
	// minPause is the gap between two steps above which this host counts as paused. Tick is
	// due every HeartbeatInterval.
	minPause = HeartbeatInterval + HeartbeatInterval/2
	// pauseCatchUpTime is the time after a pause in which received messages may be delayed by
	// it.
	pauseCatchUpTime = HeartbeatInterval
)

// LocalState is the state of this host that the reducer passes to each Tick.
type LocalState struct {
	// Revision is the revision in force at this host.
	Revision ident.Revision
	// Accounts is the demand at this host, which is sent to peers.
	Accounts []event.AccountUse
	// AccountsIncluded reports whether the next digest includes Accounts.
	AccountsIncluded bool
	// CentreAccounts returns the demand of the whole data centre, which is sent to other data
	// centres. It is called at most once for each round of summaries, because the returned
	// demand counts as sent. Nil means no demand.
	CentreAccounts func() ([]event.AccountUse, bool)
	// LastCacheEvent returns the sequence number of the last cache event received from a
	// target. It may be nil.
	LastCacheEvent func(ident.TargetID) uint64
}

func (s LocalState) lastCacheEvent(id ident.TargetID) uint64 {
	if s.LastCacheEvent == nil {
		return 0
	}
	return s.LastCacheEvent(id)
}

// PoolID names a pool: the targets of one data centre that serve one model or one plain
// service.
type PoolID struct {
	Serve   rules.Serve
	Service string
}

// Table holds the membership state of one entry host.
type Table struct {
	self        event.Host
	initialised bool
	// started is the time of the first Advance, lastAdvance that of the last one.
	started     ident.Time
	lastAdvance ident.Time
	local       LocalState
	// resumedAt is when the last pause of this host ended, pauseDuration its length.
	resumedAt     ident.Time
	pauseDuration time.Duration

	peers    []*peer
	targets  []*Target
	byID     map[ident.TargetID]*Target
	byKey    map[event.TargetKey]*Target
	draining map[ident.TargetID]drainNotice
	// restarted holds the targets that have restarted since the reducer last took them, added those that
	// became known.
	restarted, added []ident.TargetID
	// coldProbeQueue holds the targets that are assumed to be cold and are to be probed.
	coldProbeQueue []ident.TargetID
	centres        []*Centre
	pools          []*pool
	forwarded      []event.ForwardedUse
	// requestsQueuedAt is when RequestsQueued last recomputed the pools.
	requestsQueuedAt    ident.Time
	platformUnreachable bool

	list         listState
	heartbeat    heartbeatState
	loadsToRelay []event.Load
	cold         ColdLimits
	// serviceStats holds the typical times and rates of the targets of each service.
	serviceStats load.Services
	// demands is the demand of the callers of this host by service, prefillShares the fraction of
	// the prompt tokens of a service that its engines have to prefill.
	demands       []*serviceDemand
	prefillShares map[string]float64
	// notes holds the changes since the last call of TakeNotes.
	notes []event.Note
	// baseSummaryInterval is the fixed part of the interval between summaries to a data centre
	// that requests nothing.
	baseSummaryInterval time.Duration
}

// listState tracks the platform's list of hosts and targets.
type listState struct {
	// version is the version of the list in use. updatedAt is when that list was read or was
	// received from a peer, and readHere reports whether this host has ever read the list
	// itself, last in version readVersion.
	version     uint64
	readHere    bool
	readVersion uint64
	updatedAt   ident.Time
	// source is the host that sent the list in use or, if that is this host, read it from the
	// store. complete reports whether this host read it and it names all targets.
	source   ident.EntryID
	complete bool
	// nextRead is when this host reads the list again.
	nextRead ident.Time
	// unannounced reports whether the newest list has not been sent to peers yet.
	unannounced bool
	// readFailed reports whether the last read failed. recoveredAt is when a read last succeeded
	// after a failure, stableSince when the first one succeeded since the last failure.
	readFailed  bool
	recoveredAt ident.Time
	stableSince ident.Time
	// urgent reports whether the newest read of this host has changes that peers need at once.
	urgent bool
	fresh  freshness
}

// heartbeatState tracks the digests and summaries that this host sends.
type heartbeatState struct {
	nextDigest ident.Time
	// nextUse is when the use of targets is next sent to peers.
	nextUse    ident.Time
	seq        uint64
	summarySeq uint64
	// urgent reports whether a digest is due at once, fullDigestDue whether a new peer waits
	// for a full digest, and summaryDue whether summaries are due, for example because another
	// data centre has changed its demand.
	urgent        bool
	fullDigestDue bool
	// useDue reports whether the use of targets is due to be announced between two heartbeats.
	useDue     bool
	summaryDue bool
	// holders are the prefix holders for the next digest.
	holders []event.PrefixHolder
}

// New returns an empty table for the given host.
func New(self event.Host) *Table {
	return &Table{
		self:                self,
		byID:                make(map[ident.TargetID]*Target),
		byKey:               make(map[event.TargetKey]*Target),
		draining:            make(map[ident.TargetID]drainNotice),
		baseSummaryInterval: defaultSummaryInterval,
		prefillShares:       make(map[string]float64),
	}
}

// SetSummaryInterval sets the fixed part of the interval between summaries to a data centre
// that requests nothing. A data centre counts as cut off after three intervals without a
// summary, and callers are sent to its hosts for that long after it has failed.
func (tb *Table) SetSummaryInterval(interval time.Duration) { tb.baseSummaryInterval = interval }

// Self returns this host.
func (tb *Table) Self() event.Host { return tb.self }

// SetDraining marks this host as draining. The next Tick, which is due at once, announces it.
func (tb *Table) SetDraining() {
	if tb.self.Draining {
		return
	}
	tb.self.Draining = true
	tb.heartbeat.urgent = true
	tb.heartbeat.summaryDue = true
}

// SetPlatformUnreachable sets whether this host gets no answer from the platform. Such a host
// passes the watcher's duty to a host that reaches the platform, if there is one. Otherwise a
// host that is cut off only from the platform would remain the watcher, and the whole data
// centre would miss changes.
func (tb *Table) SetPlatformUnreachable(unreachable bool) {
	if tb.platformUnreachable != unreachable {
		tb.platformUnreachable = unreachable
		tb.heartbeat.urgent = true
	}
}

// Advance sets the current time. The reducer calls it first in each step.
//
// A pause of this host does not count as silence of others. It does count towards the expiry
// of loads, offers and summaries.
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

// extraAge returns the time to add to the age of a received message. Just after a pause of
// this host the message may have waited in a socket.
func (tb *Table) extraAge(now ident.Time) time.Duration {
	if tb.pauseDuration > 0 && now.Sub(tb.resumedAt) <= pauseCatchUpTime {
		return tb.pauseDuration
	}
	return 0
}

// MaxDelay returns for how long a message that arrives now may have waited at this host.
func (tb *Table) MaxDelay(now ident.Time) time.Duration { return tb.extraAge(now) }

// Target returns a target of this data centre.
func (tb *Table) Target(id ident.TargetID) (*Target, bool) {
	t, ok := tb.byID[id]
	return t, ok
}

// Targets returns the targets of this data centre in order of their IDs.
func (tb *Table) Targets() []*Target { return tb.targets }

// Host returns the entry host with the given ID, in any data centre.
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

// Revisions returns the lowest and the highest revision of the live hosts of this data centre.
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
