package event

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Place is where a host or target stands.
type Place struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Region     ident.Region     `json:"region"`
	// Reach names the group of data centres whose hosts send to the same
	// targets, where that is more than the data centre: the region, where
	// targets take connections from their whole region.
	Reach ident.DataCentre `json:"reach,omitempty"`
}

// Group names the hosts and targets that belong together: those of one data
// centre, or of one reach.
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

// TargetKind distinguishes model engines and plain services.
type TargetKind string

// The kinds of targets.
const (
	Engine  TargetKind = "engine"
	Service TargetKind = "service"
)

// Target describes one target, as the platform's host list gives it.
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
	// Capacity is how many requests it runs at once, zero where only its load
	// report says so.
	Capacity int `json:"capacity,omitempty"`
	// Evacuated says that its data centre is evacuated: nothing more is sent there
	// until that ends.
	Evacuated bool `json:"closed,omitempty"`
	// ColdFor is how long it stays cold from now on, during which it takes
	// only a few requests a second.
	ColdFor time.Duration `json:"coldFor,omitempty"`
	// Loaded lists what it serves, where the list and not a load report says so.
	Loaded []rules.Serve `json:"loaded,omitempty"`
}

// Load is what a target reports of itself. It lags: AgeMs says by how much
// the target itself knows.
type Load struct {
	// Target is empty where Key names the target.
	Target      ident.TargetID    `json:"target,omitempty"`
	Key         TargetKey         `json:"key,omitempty"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Seq grows with each report of one incarnation.
	Seq   uint64        `json:"seq"`
	Age   time.Duration `json:"age"`
	Slots int           `json:"slots"`
	// Running and Queued count requests of all senders.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedTokens is the prefill work that waits.
	QueuedTokens ident.Tokens `json:"queuedTokens"`
	// PrefillRate is tokens a second; DecodeRate is tokens a second of one
	// stream.
	PrefillRate float64       `json:"prefillRate"`
	DecodeRate  float64       `json:"decodeRate"`
	Serves      []rules.Serve `json:"serves,omitempty"`
	Draining    bool          `json:"leaving,omitempty"`
	// StaticOmitted says that Slots, the rates and Serves are left out: the receiver
	// keeps those that it holds of this incarnation.
	StaticOmitted bool `json:"kept,omitempty"`
}

// TargetKey is a hash of the id of a target, which stands for it between hosts
// that know the target. Where two targets have one hash they go by their ids.
type TargetKey uint32

// TargetUse is the work that one entry host has sent to one target and that
// has not ended.
type TargetUse struct {
	// Target is empty where Key names the target.
	Target ident.TargetID `json:"target,omitempty"`
	Key    TargetKey      `json:"key,omitempty"`
	// Running counts requests, Tokens the prefill work among them.
	Running int          `json:"running"`
	Tokens  ident.Tokens `json:"tokens"`
	// PendingPrefill is the part of Tokens whose requests have had no first token.
	PendingPrefill ident.Tokens `json:"unread,omitempty"`
}

// AccountUse is the demand of one account at one place, as a smoothed rate.
type AccountUse struct {
	Account  ident.Account   `json:"account"`
	Requests ident.PerMinute `json:"requests"`
	Tokens   ident.PerMinute `json:"tokens"`
}

// DrainNotice says that an incarnation of a target drains.
type DrainNotice struct {
	Target      ident.TargetID    `json:"target"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// RemovedTarget says that the platform's list names a target no longer, from a version
// of the list on.
type RemovedTarget struct {
	Target  ident.TargetID `json:"target"`
	Version uint64         `json:"version"`
}

// Digest is the heartbeat between the entry hosts of one data centre.
type Digest struct {
	Host Host `json:"host"`
	// Seq grows with each digest of one incarnation.
	Seq      uint64         `json:"seq"`
	Revision ident.Revision `json:"revision"`
	Use      []TargetUse    `json:"use,omitempty"`
	Loads    []Load         `json:"loads,omitempty"`
	// Accounts is the demand at the sender. It replaces the last one, and is left out of
	// most digests where there are many accounts; AccountsIncluded distinguishes an empty
	// list from one that is left out.
	Accounts         []AccountUse  `json:"accounts,omitempty"`
	AccountsIncluded bool          `json:"accountsIncluded,omitempty"`
	Draining         []DrainNotice `json:"draining,omitempty"`
	// Summaries are those of other data centres that the sender has received
	// since its last digest, so that one representative serves its data centre.
	Summaries []Summary `json:"summaries,omitempty"`
	// Targets and Hosts are what the sender last read from the platform, sent
	// by the host that watches it when they change or a peer is new.
	Targets []Target `json:"targets,omitempty"`
	// ListVersion is the version of the platform's list that Targets come from.
	ListVersion uint64 `json:"listVersion,omitempty"`
	// Complete says that Targets names every target of the data centre that the list
	// names, so that what it lacks has been removed.
	Complete bool `json:"complete,omitempty"`
	// Removed holds the targets that were removed from the list lately.
	Removed []RemovedTarget `json:"removed,omitempty"`
	// Forwarded is the work that the sender has passed on to other data centres and
	// that has not ended.
	Forwarded []ForwardedUse `json:"away,omitempty"`
	// Demand is the work that the sender's callers bring for engines.
	Demand []PrefillDemand `json:"flows,omitempty"`
	// Held is what the sender has brought to targets since its last digest.
	Holders []PrefixHolder `json:"holders,omitempty"`
	// Wants names what the sender's callers ask for and no target of the data
	// centre serves, so that its representative asks the others.
	Wants []Want `json:"wants,omitempty"`
	// StaleCentres names the data centres whose hosts the sender does not hold as
	// they are now, so that the host that got them sends them again.
	StaleCentres []ident.DataCentre `json:"lacks,omitempty"`
	// PlatformUnreachable says that the platform does not answer the sender, so that another
	// host had better watch it.
	PlatformUnreachable bool `json:"blind,omitempty"`
}

// PrefixHolder says that a target was sent a prompt with a long shared prefix, and now probably
// caches it.
type PrefixHolder struct {
	Target TargetKey `json:"target"`
	// LastBlock names the last block of the prefix.
	LastBlock uint64 `json:"part"`
}

// ForwardedUse counts the requests of one model or service that one entry host has
// passed on to another data centre and that have not ended.
type ForwardedUse struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Serve      rules.Serve      `json:"serve"`
	Service    string           `json:"service,omitempty"`
	Running    int              `json:"running"`
}

// PrefillDemand is the work that callers bring for the engines of a service.
type PrefillDemand struct {
	Service string `json:"service"`
	// UnsharedPrefill is the work of prompts that share little with others, Shared that of those
	// with a long shared prefix, both in tokens to prefill a second.
	UnsharedPrefill float64 `json:"alone"`
	SharedPrefill   float64 `json:"shared"`
}

// Want names a model or a plain service that is asked for.
type Want struct {
	Serve   rules.Serve `json:"serve"`
	Service string      `json:"service,omitempty"`
}

// Pool is the state of one model or service in one data centre.
type Pool struct {
	// Serve names the model, or is empty for a plain service.
	Serve rules.Serve `json:"serve"`
	// Service names the plain service.
	Service string `json:"service,omitempty"`
	// Slots counts the slots of all targets that do not drain.
	Slots int `json:"slots"`
	// Free counts the slots expected to be free.
	Free int `json:"free"`
	// Offer is how many requests the receiver of the summary may have sent
	// and not ended, until the summary expires.
	Offer int `json:"offer"`
	// Wait is the predicted time until a new request starts.
	Wait        time.Duration `json:"wait"`
	PrefillRate float64       `json:"prefillRate"`
	DecodeRate  float64       `json:"decodeRate"`
	Price       float64       `json:"price"`
	// Targets counts the targets, Alone and Shared are the work that callers of the
	// data centre bring for them; see Flow.
	Targets         int     `json:"targets,omitempty"`
	UnsharedPrefill float64 `json:"alone,omitempty"`
	SharedPrefill   float64 `json:"shared,omitempty"`
}

// Summary is the state of a data centre for another one. The representative sends it. Two
// representatives at once do no harm, since a summary replaces the one before it.
type Summary struct {
	From  ident.EntryID `json:"from"`
	Place Place         `json:"place"`
	// Incarnation and Seq order the summaries of one sender.
	Incarnation ident.Incarnation `json:"incarnation"`
	Seq         uint64            `json:"seq"`
	// Age is how long ago the sender made it; a host that relays adds the
	// time that it held it.
	Age time.Duration `json:"age"`
	// InForce is the lowest revision of the live hosts of the data centre,
	// Highest the highest.
	InForce  ident.Revision `json:"inForce"`
	Highest  ident.Revision `json:"highest"`
	Hosts    []Host         `json:"hosts"`
	Pools    []Pool         `json:"pools"`
	Accounts []AccountUse   `json:"accounts,omitempty"`
	// HostsOmitted, PoolsKept and AccountsKept say that a part is left out: the
	// receiver keeps what it holds of it, and takes it for unknown, not for
	// none, where it holds nothing.
	HostsOmitted    bool `json:"hostsKept,omitempty"`
	PoolsOmitted    bool `json:"poolsKept,omitempty"`
	AccountsOmitted bool `json:"accountsKept,omitempty"`
	// HostsHash is a hash of the hosts that the data centre has now, by which
	// a receiver notices that those it keeps are not the same. Zero is no hash.
	HostsHash uint64 `json:"hostsHash,omitempty"`
	// PoolsAge is how much older the pools are than the summary, where a host
	// relays pools of an earlier one.
	PoolsAge time.Duration `json:"poolsAge,omitempty"`
}
