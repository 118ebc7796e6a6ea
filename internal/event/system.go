package event

import (
	"time"

	"verbenadale.example/verbenadale/internal/fence"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Tick reports that the time requested by Wake has come.
type Tick struct{}

// DrainAsked starts a graceful stop.
type DrainAsked struct{}

// DrainExpired reports that the drain timeout has expired: requests still running get
// their final answer, and no new ones are accepted.
type DrainExpired struct{}

// PeerUp reports that a connection to another entry host is established and that the
// host has proved its identity.
type PeerUp struct {
	Host Host `json:"host"`
}

// PeerDown reports that the connection to a peer broke. It is a hint, not proof of a
// failure.
type PeerDown struct {
	Entry ident.EntryID `json:"entry"`
}

// DigestReceived carries a heartbeat of a host of the same data centre.
type DigestReceived struct {
	Digest Digest `json:"digest"`
}

// AdmissionsReceived carries what a host of the same data centre has admitted since its last
// announcement.
type AdmissionsReceived struct {
	From       ident.EntryID `json:"from"`
	Admissions []Admission   `json:"admissions"`
}

// TargetEndsReceived carries targets that ended while they ran a request. With Relay, the other hosts
// of this data centre do not know of them yet.
type TargetEndsReceived struct {
	From  ident.EntryID `json:"from"`
	Ends  []TargetEnd   `json:"ends"`
	Relay bool          `json:"relay,omitempty"`
}

// BegunReceived carries streams and the builds that began them. With Relay, the keepers of this data
// centre do not know of them yet.
type BegunReceived struct {
	From    ident.EntryID `json:"from"`
	Streams []BegunStream `json:"streams"`
	Relay   bool          `json:"relay,omitempty"`
}

// BegunAsked is the question of another host which build began a stream. With Relay, the host is in
// another data centre and does not reach the keepers of this one.
type BegunAsked struct {
	From   ident.EntryID `json:"from"`
	Stream ident.Stream  `json:"stream"`
	Relay  bool          `json:"relay,omitempty"`
	// Confirm means that a host which does not know the stream reads the records of builds before it answers.
	Confirm bool `json:"confirm,omitempty"`
}

// BegunAnswered answers AskBegun. Begun has the stream if the sender knows it, Seen the builds that the
// sender has seen recently.
type BegunAnswered struct {
	From   ident.EntryID `json:"from"`
	Stream ident.Stream  `json:"stream"`
	Begun  []BegunStream `json:"begun,omitempty"`
	Seen   []SeenBuild   `json:"seen,omitempty"`
	// Confirmed means that Records are those that the store had after the sender was asked.
	Confirmed bool          `json:"confirmed,omitempty"`
	Records   []BuildRecord `json:"records,omitempty"`
}

// SummaryReceived carries the state of another data centre.
type SummaryReceived struct {
	Summary Summary `json:"summary"`
}

// ChangesReceived carries changes of the configuration from a peer or from the platform.
// Changes that do not follow the revision in force are dropped.
type ChangesReceived struct {
	// From is the peer, or empty for the platform.
	From    ident.EntryID  `json:"from,omitempty"`
	Changes []rules.Change `json:"changes"`
}

// SnapshotReceived carries a complete book from a peer or from the platform.
type SnapshotReceived struct {
	From ident.EntryID `json:"from,omitempty"`
	Book *rules.Book   `json:"book"`
}

// ChangesWanted reports that a peer asks for all changes after a revision.
type ChangesWanted struct {
	From  ident.EntryID  `json:"from"`
	After ident.Revision `json:"after"`
}

// BarAsked reports that a peer asks "run or bar" about one of its own attempts.
type BarAsked struct {
	From          ident.EntryID     `json:"from"`
	Attempt       ident.Attempt     `json:"attempt"`
	ToIncarnation ident.Incarnation `json:"to"`
}

// BarAnswered carries the answer to AskBar.
type BarAnswered struct {
	Attempt ident.Attempt `json:"attempt"`
	Answer  Answer        `json:"answer"`
}

// LoadReported carries a load report that this host read from the target or from one of
// its answers.
type LoadReported struct {
	Load Load `json:"load"`
}

// LoadSeen carries what an answer of a target says about the target. The load is not
// relayed, because each host receives answers itself.
type LoadSeen struct {
	Target ident.TargetID `json:"target"`
	// Incarnation is the incarnation of the target that was probed.
	Incarnation ident.Incarnation `json:"incarnation"`

	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// LoadOmitted means that the answer contained no load.
	LoadOmitted bool `json:"loadOmitted,omitempty"`
	// Draining means that the target said it drains.
	Draining bool `json:"draining,omitempty"`
	// Rest is how long the target wants no requests from this host, as it answered a probe; zero
	// if it did not say so. AttemptEnded carries the answers to requests.
	Rest time.Duration `json:"rest,omitempty"`
	// RateLimit is how many requests a second the target takes from all hosts together, if
	// the answer named such a limit.
	RateLimit value.Option[float64] `json:"rateLimit"`
	// RateLimitOmitted means that the answer does not show whether the target names a limit.
	RateLimitOmitted bool `json:"rateLimitOmitted,omitempty"`
	// RateLimitInvalid means that the answer named a limit that is not a number of requests.
	RateLimitInvalid bool `json:"rateLimitInvalid,omitempty"`
}

// ProbeAnswered reports that a target which had stopped answering requests has answered
// a probe.
type ProbeAnswered struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// ColdFor is how much longer the target expects to stay cold, zero if it is warm.
	ColdFor time.Duration `json:"coldFor,omitempty"`
}

// MemoryReported carries the memory size of an engine, in tokens.
type MemoryReported struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Tokens      ident.Tokens      `json:"tokens"`
}

// LoadFailed reports that the load report of a target could not be read.
type LoadFailed struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// CacheChanged carries cache events of an engine: prefix digests that were stored or
// dropped. A gap in Seq means that events were lost.
type CacheChanged struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Seq         uint64            `json:"seq"`
	Stored      []uint64          `json:"stored,omitempty"`
	Dropped     []uint64          `json:"dropped,omitempty"`
}

// HostsRead carries the platform's list of hosts. The list may be outdated.
type HostsRead struct {
	Version uint64   `json:"version"`
	Hosts   []Host   `json:"hosts"`
	Targets []Target `json:"targets"`
	// Complete means that the list is nearly current and contains every host and target
	// that the platform considers present, so that missing ones have been removed.
	Complete bool `json:"complete,omitempty"`
	// Builds are all records of builds.
	Builds []BuildRecord `json:"builds,omitempty"`
}

// BuildsRecorded reports that this host has written a record of builds.
type BuildsRecorded struct {
	Record BuildRecord `json:"record"`
}

// BuildsRead answers ReadBuilds. Records are all records of builds if the read has succeeded.
type BuildsRead struct {
	Read      fence.Read    `json:"read"`
	Succeeded bool          `json:"succeeded,omitempty"`
	Records   []BuildRecord `json:"records,omitempty"`
}

// BegunRead reports which builds had begun the streams that hosts have saved to the platform's store, as it was
// when this host read all of it.
type BegunRead struct {
	Streams []BegunStream `json:"streams"`
}

// BegunSaved reports whether a batch of SaveBegun was saved. Otherwise it may have been.
type BegunSaved struct {
	Batch uint64 `json:"batch"`
	Saved bool   `json:"saved,omitempty"`
}

// ListRead reports that a read of the platform's list has succeeded. Its changes, if there were
// any, were reported before it.
type ListRead struct {
	// Age is the time since the platform answered.
	Age time.Duration `json:"age"`
}

// ReadProgress reports that a long answer of the platform is still arriving.
type ReadProgress struct{}

// PlatformOp names a call to the platform.
type PlatformOp string

// The calls that the reducer asks for.
const (
	OpWatchChange  PlatformOp = "watchChange"
	OpReadSnapshot PlatformOp = "readSnapshot"
	OpReadHosts    PlatformOp = "readHosts"
)

// PlatformFailed reports that a call to the platform got no answer. A watch that ends
// without a change is not a failure; WatchIdle reports it.
type PlatformFailed struct {
	Op PlatformOp `json:"op"`
}

// WatchIdle reports that a watch ended without a change: the platform answers and has
// nothing newer.
type WatchIdle struct {
	After ident.Revision `json:"after"`
}

func (Tick) isEvent()               {}
func (DrainAsked) isEvent()         {}
func (DrainExpired) isEvent()       {}
func (PeerUp) isEvent()             {}
func (PeerDown) isEvent()           {}
func (DigestReceived) isEvent()     {}
func (SummaryReceived) isEvent()    {}
func (AdmissionsReceived) isEvent() {}
func (TargetEndsReceived) isEvent() {}
func (BegunReceived) isEvent()      {}
func (BegunAsked) isEvent()         {}
func (BegunAnswered) isEvent()      {}
func (BuildsRecorded) isEvent()     {}
func (BuildsRead) isEvent()         {}
func (BegunRead) isEvent()          {}
func (BegunSaved) isEvent()         {}
func (ChangesReceived) isEvent()    {}
func (SnapshotReceived) isEvent()   {}
func (ChangesWanted) isEvent()      {}
func (BarAsked) isEvent()           {}
func (BarAnswered) isEvent()        {}
func (LoadReported) isEvent()       {}
func (LoadSeen) isEvent()           {}
func (ProbeAnswered) isEvent()      {}
func (MemoryReported) isEvent()     {}
func (LoadFailed) isEvent()         {}
func (CacheChanged) isEvent()       {}
func (HostsRead) isEvent()          {}
func (PlatformFailed) isEvent()     {}
func (WatchIdle) isEvent()          {}
func (ReadProgress) isEvent()       {}
func (ListRead) isEvent()           {}
