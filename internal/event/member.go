package event

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Place is the location of a host or target.
type Place struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Region     ident.Region     `json:"region"`
	// Reach names the group of data centres whose hosts send to the same targets, if
	// that group is larger than the data centre. It is the region if targets accept
	// connections from their whole region.
	Reach ident.DataCentre `json:"reach,omitempty"`
}

// Group returns the name shared by hosts and targets that belong together: the reach if
// set, otherwise the data centre.
func (p Place) Group() ident.DataCentre {
	if p.Reach != "" {
		return p.Reach
	}
	return p.DataCentre
}

// Host describes one entry host to its peers.
type Host struct {
	ID          ident.EntryID     `json:"id"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Place       Place             `json:"place"`
	// CallerURL is the base URL for callers, such as http://127.1.1.1:8080.
	CallerURL string `json:"callerURL"`
	// PeerAddr is the address for other entry hosts, as host:port.
	PeerAddr string `json:"peerAddr"`
	Draining bool   `json:"leaving,omitempty"`
}

// MaxSlots limits the slots of one target, in requests at once. Hosts add up the slots of a data centre and
// multiply them by percentages.
const MaxSlots = 1 << 16

// MaxRateLimit is the highest limit that a target may name, in requests a second. A higher one limits nothing.
const MaxRateLimit = 1 << 30

// TargetKind distinguishes model engines and plain services.
type TargetKind string

// The kinds of targets.
const (
	Engine  TargetKind = "engine"
	Service TargetKind = "service"
)

// Target describes one target as listed by the platform.
type Target struct {
	ID          ident.TargetID    `json:"id"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Kind        TargetKind        `json:"kind"`
	Place       Place             `json:"place"`
	// URL is the base URL of the target.
	URL string `json:"url"`
	// Service names the plain service, for targets of that kind.
	Service  string `json:"service,omitempty"`
	Draining bool   `json:"leaving,omitempty"`
	// Price is the cost of one second of one slot, in cost units.
	Price float64 `json:"price,omitempty"`
	// Capacity is how many requests the target runs at once, at most MaxSlots, zero if only
	// its load report states it.
	Capacity int `json:"capacity,omitempty"`
	// Evacuated is set while the data centre of the target is evacuated: no more
	// requests are sent there until that ends.
	Evacuated bool `json:"closed,omitempty"`
	// ColdFor is how much longer the target stays cold. A cold target accepts only a few
	// requests per second.
	ColdFor time.Duration `json:"coldFor,omitempty"`
	// Loaded lists the models that the target serves, if the platform's list rather than
	// a load report states them.
	Loaded []rules.Serve `json:"loaded,omitempty"`
	// Build is the version of the software that the target runs.
	Build ident.Build `json:"build,omitempty"`
}

// Load is the report of a target about its own load. It lags by Age, as far as the
// target knows.
type Load struct {
	// Target is empty if Key identifies the target.
	Target      ident.TargetID    `json:"target,omitempty"`
	Key         TargetKey         `json:"key,omitempty"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Seq increases with each report of one incarnation.
	Seq   uint64        `json:"seq"`
	Age   time.Duration `json:"age"`
	Slots int           `json:"slots"`
	// Running and Queued count requests of all senders.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedTokens is the prefill work in the queue.
	QueuedTokens ident.Tokens `json:"queuedTokens"`
	// PrefillRate is in tokens per second, DecodeRate in tokens per second of one
	// stream.
	PrefillRate float64       `json:"prefillRate"`
	DecodeRate  float64       `json:"decodeRate"`
	Serves      []rules.Serve `json:"serves,omitempty"`
	Draining    bool          `json:"leaving,omitempty"`
	// StaticOmitted means that Slots, the rates and Serves are left out: the recipient
	// keeps the values that it has for this incarnation.
	StaticOmitted bool `json:"kept,omitempty"`
}

// TargetKey is a hash of a target ID that replaces the ID between hosts that know the
// target. Targets whose hashes collide are sent by ID.
type TargetKey uint32

// RateLimit is how many requests a second a target takes from all hosts together, as it says itself.
type RateLimit struct {
	// Target is empty if Key identifies the target.
	Target      ident.TargetID    `json:"target,omitempty"`
	Key         TargetKey         `json:"key,omitempty"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// PerSecond is absent if the target names no limit any more.
	PerSecond value.Option[float64] `json:"perSecond"`
	// Age is the time since the answer.
	Age time.Duration `json:"age"`
}

// TargetRun identifies one run of a target, from one start to its end. It is a hash of the target's
// ID and incarnation.
type TargetRun uint64

// TargetEnd reports that a target ended while it ran a request, or that a request of the same
// content was answered. The content is that of the request or of a part of its prompt.
type TargetEnd struct {
	Content ident.Content `json:"content"`
	Run     TargetRun     `json:"run,omitempty"`
	// Part means that Content is a part of prompts. Under distinguishes the requests that have it:
	// it is a short hash of the content of the one that ran, zero if unknown.
	Part  bool   `json:"part,omitempty"`
	Under uint16 `json:"under,omitempty"`
	// Age is the time since the target ended or answered, Running how long the request had been
	// at the target by then.
	Age     time.Duration `json:"age,omitempty"`
	Running time.Duration `json:"running,omitempty"`
	// AnsweredIn is how long a recent answer to the same content took, zero if the sender knew of
	// none when the target ended.
	AnsweredIn time.Duration `json:"answeredIn,omitempty"`
	// Cleared means that a target has answered the content since: it ends no targets.
	Cleared bool `json:"cleared,omitempty"`
	// Condemned means that the sender sends nothing with the content to targets any more.
	Condemned bool `json:"condemned,omitempty"`
	// Confined means that residency rules confine the request, so that hosts of other regions
	// learn of it only from the host that received it.
	Confined bool `json:"confined,omitempty"`
}

// ServiceBuild names a build of a service.
type ServiceBuild struct {
	Service string      `json:"service"`
	Build   ident.Build `json:"build"`
}

// BegunStream reports which build of a service brought the first event of a stream.
type BegunStream struct {
	Stream ident.Stream `json:"stream"`
	ServiceBuild
	// TTL is how much longer the caller of the stream may take it up again.
	TTL time.Duration `json:"ttl"`
	// Ambiguous means that several streams have the same name, so that its build is unknown.
	Ambiguous bool `json:"ambiguous,omitempty"`
}

// BuildRecord is the platform's record of the builds of a service that serve, or did until recently. Revision
// is that of the record, zero if there is none.
type BuildRecord struct {
	Service  string        `json:"service"`
	Builds   []ident.Build `json:"builds"`
	Revision uint64        `json:"revision,omitempty"`
}

// SeenBuild is a build of a service of which targets served Age ago.
type SeenBuild struct {
	ServiceBuild
	Age time.Duration `json:"age,omitempty"`
}

// TargetUse is the work that one entry host has in flight at one target.
type TargetUse struct {
	// Target is empty if Key identifies the target.
	Target ident.TargetID `json:"target,omitempty"`
	Key    TargetKey      `json:"key,omitempty"`
	// Running counts requests, Tokens their prefill work.
	Running int          `json:"running"`
	Tokens  ident.Tokens `json:"tokens"`
	// PendingPrefill is the part of Tokens that belongs to requests without a first
	// token.
	PendingPrefill ident.Tokens `json:"unread,omitempty"`
}

// AccountUse is the demand of one account at one place, as a smoothed rate.
type AccountUse struct {
	Account  ident.Account   `json:"account"`
	Requests ident.PerMinute `json:"requests"`
	Tokens   ident.PerMinute `json:"tokens"`
}

// Admission is what a host has admitted of the requests of one account since its last
// announcement. It is negative if more was returned than taken.
type Admission struct {
	Account  ident.Account `json:"account"`
	Requests int64         `json:"requests,omitempty"`
	Tokens   ident.Tokens  `json:"tokens,omitempty"`
}

// DrainNotice announces that an incarnation of a target is draining.
type DrainNotice struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// RemovedTarget announces that the platform's list has not contained a target since
// the given version of the list.
type RemovedTarget struct {
	Target  ident.TargetID `json:"target"`
	Version uint64         `json:"version"`
}

// Digest is the heartbeat between the entry hosts of one data centre.
type Digest struct {
	Host Host `json:"host"`
	// Seq increases with each digest of one incarnation.
	Seq      uint64         `json:"seq"`
	Revision ident.Revision `json:"revision"`
	Use      []TargetUse    `json:"use,omitempty"`
	Loads    []Load         `json:"loads,omitempty"`
	// Accounts is the demand at the sender. It replaces the previous one and is left out
	// of most digests if there are many accounts; AccountsIncluded distinguishes an
	// empty list from an omitted one.
	Accounts         []AccountUse  `json:"accounts,omitempty"`
	AccountsIncluded bool          `json:"accountsIncluded,omitempty"`
	Draining         []DrainNotice `json:"draining,omitempty"`
	// Summaries are the summaries of other data centres that the sender has received
	// since its last digest, so that one representative receives them for its whole data
	// centre.
	Summaries []Summary `json:"summaries,omitempty"`
	// Targets is the list that the sender last read from the platform. The host that
	// watches the platform sends it when the list changes or a peer is new.
	Targets []Target `json:"targets,omitempty"`
	// ListVersion is the version of the platform's list from which Targets was read, and
	// of the sender's list if ListConfirmed.
	ListVersion uint64 `json:"listVersion,omitempty"`
	// ListConfirmed means that the sender has read the platform ListAge ago and that its
	// list contains all changes up to then.
	ListConfirmed bool          `json:"listConfirmed,omitempty"`
	ListAge       time.Duration `json:"listAge,omitempty"`
	// Complete means that Targets contains every listed target of the data centre, so
	// that a missing target has been removed.
	Complete bool `json:"complete,omitempty"`
	// Removed lists the targets that were recently removed from the platform's list.
	Removed []RemovedTarget `json:"removed,omitempty"`
	// Forwarded is the work in flight that the sender has forwarded to other data
	// centres.
	Forwarded []ForwardedUse `json:"away,omitempty"`
	// Demand is the work that the sender's callers request, wherever it is served.
	Demand []PrefillDemand `json:"flows,omitempty"`
	// Holders lists the targets to which the sender has sent prompts with long shared
	// prefixes since its last digest.
	Holders []PrefixHolder `json:"holders,omitempty"`
	// Wants lists what the sender's callers request and no target of the data centre
	// serves, so that its representative asks other data centres for it.
	Wants []Want `json:"wants,omitempty"`
	// StaleCentres lists the data centres whose current hosts the sender does not know,
	// so that the host which received their list sends it again.
	StaleCentres []ident.DataCentre `json:"lacks,omitempty"`
	// Rates are the typical rates of services at the sender, for a peer that has just
	// started and has measured none.
	Rates []ServiceRates `json:"rates,omitempty"`
	// RateLimits are the limits that targets name, as far as the sender has had answers about them
	// since its last digest.
	RateLimits []RateLimit `json:"rateLimits,omitempty"`
	// PlatformUnreachable means that the platform does not answer the sender, so that
	// another host should watch it.
	PlatformUnreachable bool `json:"blind,omitempty"`
}

// ServiceRates holds what a host has measured at the targets of a service. Each value is
// zero if it is unknown.
type ServiceRates struct {
	Service string `json:"service"`
	// PrefillRate is in prompt tokens a second of one target.
	PrefillRate float64 `json:"prefillRate,omitempty"`
	// RequestTime is the typical duration of a request.
	RequestTime time.Duration `json:"requestTime,omitempty"`
	// EventGap is the time between two events of a stream, MinEventGap the shortest one.
	EventGap    time.Duration `json:"eventGap,omitempty"`
	MinEventGap time.Duration `json:"minEventGap,omitempty"`
}

// PrefixHolder is a target that was sent a prompt with a long shared prefix and now
// probably caches that prefix.
type PrefixHolder struct {
	Target TargetKey `json:"target"`
	// LastBlock is the digest of the last block of the prefix.
	LastBlock uint64 `json:"part"`
}

// ForwardedUse counts the requests in flight for one model or service that one entry
// host has forwarded to another data centre.
type ForwardedUse struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Serve      rules.Serve      `json:"serve"`
	Service    string           `json:"service,omitempty"`
	Running    int              `json:"running"`
}

// PrefillDemand is the work per second that callers request from a service: in prompt
// tokens if its targets are engines, otherwise in seconds of slot time.
type PrefillDemand struct {
	Service string `json:"service"`
	// SharedPrefill is the work of prompts with a long prefix that other prompts share,
	// UnsharedPrefill the work of all other requests.
	UnsharedPrefill float64 `json:"alone"`
	SharedPrefill   float64 `json:"shared"`
}

// Want names a model or a plain service that callers request.
type Want struct {
	Serve   rules.Serve `json:"serve"`
	Service string      `json:"service,omitempty"`
}

// Pool is the state of one model or service in one data centre.
type Pool struct {
	// Serve names the model, empty for a plain service.
	Serve rules.Serve `json:"serve"`
	// Service names the plain service.
	Service string `json:"service,omitempty"`
	// Slots counts the slots of all targets that are not draining.
	Slots int `json:"slots"`
	// Free counts the slots expected to be free.
	Free int `json:"free"`
	// Offer is the number of requests that the recipient of the summary may have in
	// flight until the summary expires.
	Offer int `json:"offer"`
	// Wait is the predicted time until a new request starts.
	Wait        time.Duration `json:"wait"`
	PrefillRate float64       `json:"prefillRate"`
	DecodeRate  float64       `json:"decodeRate"`
	Price       float64       `json:"price"`
	// Targets counts the targets. UnsharedPrefill and SharedPrefill are the work that
	// callers of the data centre request from them; see PrefillDemand.
	Targets         int     `json:"targets,omitempty"`
	UnsharedPrefill float64 `json:"alone,omitempty"`
	SharedPrefill   float64 `json:"shared,omitempty"`
	// Builds lists the builds of the targets, sorted.
	Builds []ident.Build `json:"builds,omitempty"`
}

// Summary is the state of a data centre, sent by its representative to another data
// centre. Two representatives at once do no harm, since a summary replaces the previous
// one.
type Summary struct {
	From  ident.EntryID `json:"from"`
	Place Place         `json:"place"`
	// Incarnation and Seq order the summaries of one sender.
	Incarnation ident.Incarnation `json:"incarnation"`
	Seq         uint64            `json:"seq"`
	// Age is the time since the sender made the summary; a host that relays it adds the
	// time that it kept it.
	Age time.Duration `json:"age"`
	// InForce is the lowest revision of the live hosts of the data centre, Highest the
	// highest.
	InForce  ident.Revision `json:"inForce"`
	Highest  ident.Revision `json:"highest"`
	Hosts    []Host         `json:"hosts"`
	Pools    []Pool         `json:"pools"`
	Accounts []AccountUse   `json:"accounts,omitempty"`
	// HostsOmitted, PoolsOmitted and AccountsOmitted mean that a part is left out. The
	// recipient keeps its last copy of that part, or treats it as unknown, rather than
	// empty, if it has no copy.
	HostsOmitted    bool `json:"hostsKept,omitempty"`
	PoolsOmitted    bool `json:"poolsKept,omitempty"`
	AccountsOmitted bool `json:"accountsKept,omitempty"`
	// HostsHash is a hash of the current hosts of the data centre, by which a recipient
	// detects that its copy is outdated. Zero means no hash.
	HostsHash uint64 `json:"hostsHash,omitempty"`
	// PoolsAge is how much older the pools are than the summary, if a host relays the
	// pools of an earlier summary.
	PoolsAge time.Duration `json:"poolsAge,omitempty"`
}
