package event

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Tick says that a moment asked for by Wake has come.
type Tick struct{}

// DrainAsked starts a graceful stop.
type DrainAsked struct{}

// DrainExpired says that the time to drain is over: what still runs gets its final answer, and
// nothing new is taken.
type DrainExpired struct{}

// PeerUp says that a link to another entry host stands and that the host has
// proved who it is.
type PeerUp struct {
	Host Host `json:"host"`
}

// PeerDown says that the link broke. It is a hint and no proof of a failure.
type PeerDown struct {
	Entry ident.EntryID `json:"entry"`
}

// DigestReceived brings a heartbeat of a host of the same data centre.
type DigestReceived struct {
	Digest Digest `json:"digest"`
}

// SummaryReceived brings the state of another data centre.
type SummaryReceived struct {
	Summary Summary `json:"summary"`
}

// ChangesReceived brings changes of the configuration from a peer or from
// the platform. Those that do not follow the revision in force are dropped.
type ChangesReceived struct {
	// From is the peer, or empty for the platform.
	From    ident.EntryID  `json:"from,omitempty"`
	Changes []rules.Change `json:"changes"`
}

// SnapshotReceived brings a whole book from a peer or from the platform.
type SnapshotReceived struct {
	From ident.EntryID `json:"from,omitempty"`
	Book *rules.Book   `json:"book"`
}

// ChangesWanted says that a peer asks for all after a revision.
type ChangesWanted struct {
	From  ident.EntryID  `json:"from"`
	After ident.Revision `json:"after"`
}

// BarAsked says that a peer asks "run or bar" about an attempt of its own.
type BarAsked struct {
	From          ident.EntryID     `json:"from"`
	Attempt       ident.Attempt     `json:"attempt"`
	ToIncarnation ident.Incarnation `json:"to"`
}

// BarAnswered brings the answer to AskBar.
type BarAnswered struct {
	Attempt ident.Attempt `json:"attempt"`
	Answer  Answer        `json:"answer"`
}

// LoadReported brings a load report, read by this host from the target or
// carried by an answer of it.
type LoadReported struct {
	Load Load `json:"load"`
}

// LoadSeen is the load that an answer of a target carried. It is not relayed: each host
// has answers of its own.
type LoadSeen struct {
	Target ident.TargetID `json:"target"`
	// Incarnation is that of the target which was probed.
	Incarnation ident.Incarnation `json:"incarnation"`

	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

// ProbeAnswered says that a target which had not answered requests has answered
// a probe.
type ProbeAnswered struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// ColdFor is how long it says that it stays cold, zero for a warm one.
	ColdFor time.Duration `json:"coldFor,omitempty"`
}

// MemoryReported brings the memory of an engine, in tokens.
type MemoryReported struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Tokens      ident.Tokens      `json:"tokens"`
}

// LoadFailed says that a target did not give its load report.
type LoadFailed struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// CacheChanged brings cache events of an engine: prefix digests that were
// stored or dropped. A gap in Seq means that events were lost.
type CacheChanged struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Seq         uint64            `json:"seq"`
	Stored      []uint64          `json:"stored,omitempty"`
	Dropped     []uint64          `json:"dropped,omitempty"`
}

// HostsRead brings the platform's list of hosts. It lags.
type HostsRead struct {
	Version uint64   `json:"version"`
	Hosts   []Host   `json:"hosts"`
	Targets []Target `json:"targets"`
	// Complete says that the list is no older than a moment and names every
	// host and target that the platform counts as there, so that what it lacks
	// has gone.
	Complete bool `json:"complete,omitempty"`
}

// ReadProgress says that a long answer of the platform is still arriving.
type ReadProgress struct{}

// PlatformOp names a call to the platform.
type PlatformOp string

// The calls that the reducer asks for.
const (
	OpWatchChange  PlatformOp = "watchChange"
	OpReadSnapshot PlatformOp = "readSnapshot"
	OpReadHosts    PlatformOp = "readHosts"
)

// PlatformFailed says that a call to the platform brought no answer. A watch
// that ends without a change is no failure but a WatchIdle.
type PlatformFailed struct {
	Op PlatformOp `json:"op"`
}

// WatchIdle says that a watch ended with no change: the platform answers and
// has nothing newer.
type WatchIdle struct {
	After ident.Revision `json:"after"`
}

func (Tick) isEvent()             {}
func (DrainAsked) isEvent()       {}
func (DrainExpired) isEvent()     {}
func (PeerUp) isEvent()           {}
func (PeerDown) isEvent()         {}
func (DigestReceived) isEvent()   {}
func (SummaryReceived) isEvent()  {}
func (ChangesReceived) isEvent()  {}
func (SnapshotReceived) isEvent() {}
func (ChangesWanted) isEvent()    {}
func (BarAsked) isEvent()         {}
func (BarAnswered) isEvent()      {}
func (LoadReported) isEvent()     {}
func (LoadSeen) isEvent()         {}
func (ProbeAnswered) isEvent()    {}
func (MemoryReported) isEvent()   {}
func (LoadFailed) isEvent()       {}
func (CacheChanged) isEvent()     {}
func (HostsRead) isEvent()        {}
func (PlatformFailed) isEvent()   {}
func (WatchIdle) isEvent()        {}
func (ReadProgress) isEvent()     {}
