// Package rules holds the configuration that operators change while the
// system runs: profiles, client accounts, and the changes made to them.
//
// # Usage
//
// A Book is the whole configuration at one revision. It is immutable; applying
// a change returns a new book:
//
//	next, err := book.Apply(change)
//
// The configuration is a log: the change with revision n+1 follows the one
// with revision n. The store creates the key of n+1 only if it is absent, so
// only one of several racing operators gets that revision. The revision of a
// book therefore only increases, and two books of the same revision are equal.
package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// Serve is a model that a target must have loaded to serve a profile. An empty
// version means any version, an empty adapter means no adapter.
type Serve struct {
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version,omitempty"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
}

// Weights are the factors in the cost of a choice. The cost is in seconds of
// predicted time.
type Weights struct {
	// Tail multiplies the predicted time to the first token.
	Tail float64 `json:"tail"`
	// Cost multiplies the price of the target in seconds per cost unit.
	Cost float64 `json:"cost"`
	// Crossing is the number of seconds that a request must save to justify
	// crossing to another region.
	Crossing float64 `json:"crossing"`
}

// Profile is the policy for a class of requests: which models or service may
// serve them, in which regions, and how often they may cross between regions.
type Profile struct {
	Name ident.Profile `json:"name"`
	// Models lists the models that may serve. It is empty for a profile of a
	// plain service.
	Models []Serve `json:"models,omitempty"`
	// Service names the plain service. It is empty for a profile of models.
	Service string `json:"service,omitempty"`
	// Regions lists the regions that the data may enter. Empty means any
	// region.
	Regions []ident.Region `json:"regions,omitempty"`
	// HomeOnly confines the data to the home region of the account.
	HomeOnly bool `json:"homeOnly,omitempty"`
	// MaxCrossings bounds how often a request may cross between regions.
	MaxCrossings ident.Hops `json:"maxCrossings"`
	// AtMostOnce is set if requests may run at most once.
	AtMostOnce bool    `json:"once,omitempty"`
	Weights    Weights `json:"weights"`
	// DeadlineMs is the deadline of requests that don't set one.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// Priority is sent to engines; a higher number is served first.
	Priority int `json:"priority,omitempty"`
	// TwoOperators is set if a change of the profile needs the approval of a
	// second operator.
	TwoOperators bool `json:"twoOperators,omitempty"`
	// Route, if set, selects the profile by the host and path of a request
	// instead of by name.
	Route *Route `json:"route,omitempty"`
	// Public is set if requests need no API key. Those without a known key
	// belong to the account Anonymous.
	Public bool `json:"public,omitempty"`
}

// Anonymous is the account of the requests without an API key at public
// profiles. It has no limits.
const Anonymous ident.Account = ""

// Client is a client account.
type Client struct {
	Name ident.Account `json:"name"`
	// KeyDigest is the SHA-256 digest of the API key in hexadecimal.
	KeyDigest string `json:"keyDigest"`
	// MoreKeyDigests are the digests of further keys of the account. A key is
	// replaced without a gap by adding the new one before the old one is removed.
	MoreKeyDigests []string `json:"moreKeyDigests,omitempty"`
	// Home is the region that HomeOnly profiles confine the account's data to.
	// Data centres in it also get a larger share of the account's limits.
	Home ident.Region `json:"home,omitempty"`
	// Regions lists the regions that the account's data may enter, in addition
	// to the restrictions of the profile. Empty means any region.
	Regions []ident.Region `json:"regions,omitempty"`
	// Priority replaces the priority of the profile.
	Priority value.Option[int] `json:"priority,omitzero"`
	// Profiles lists the profiles that the account may use. Empty means all.
	Profiles []ident.Profile `json:"profiles,omitempty"`
	// RequestsPerMinute and TokensPerMinute limit the account over all entry
	// hosts together. Zero means no limit.
	RequestsPerMinute ident.PerMinute `json:"requestsPerMinute,omitempty"`
	TokensPerMinute   ident.PerMinute `json:"tokensPerMinute,omitempty"`
	// RequestBurst and TokenBurst are what may be used at once after a pause, in
	// addition to the rate. Absent means DefaultBurst of the rate.
	RequestBurst value.Option[int64]        `json:"requestBurst,omitzero"`
	TokenBurst   value.Option[ident.Tokens] `json:"tokenBurst,omitzero"`
	// UnstatedTokens is what a request that doesn't state its tokens counts
	// against the limit. Zero means an estimate.
	UnstatedTokens ident.Tokens `json:"unstatedTokens,omitempty"`
}

// DefaultBurst is the time in which the rate of a limit yields the default burst.
const DefaultBurst = 10 * time.Second

// KeyDigests returns the digests of all keys of the account.
func (c Client) KeyDigests() []string {
	if c.KeyDigest == "" {
		return c.MoreKeyDigests
	}
	return append([]string{c.KeyDigest}, c.MoreKeyDigests...)
}

// Limited reports whether the account has a limit.
func (c Client) Limited() bool { return c.RequestsPerMinute > 0 || c.TokensPerMinute > 0 }

// Kind is the kind of an item.
type Kind string

// The kinds of items.
const (
	KindProfile Kind = "profile"
	KindAccount Kind = "account"
)

// Item is the new document of one profile or account. A null or empty document
// deletes it.
type Item struct {
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Doc  json.RawMessage `json:"doc"`
}

// Change is a change of the configuration. An accepted one is stored under its
// revision.
type Change struct {
	Revision ident.Revision `json:"revision"`
	// ID is chosen by the writer, who recognises its own change by it.
	ID ident.ChangeID `json:"id"`
	// Base is the revision that the operator had read. The change is refused
	// if one of its items has changed since then.
	Base     ident.Revision `json:"base"`
	Operator ident.Operator `json:"operator"`
	// Approver is the second operator, if a profile requires one.
	Approver ident.Operator `json:"approver,omitempty"`
	Note     string         `json:"note,omitempty"`
	// At is the wall-clock time of the entry host that wrote the change. It is
	// for display only; no decision depends on it.
	At    time.Time `json:"at,omitzero"`
	Items []Item    `json:"items"`
}

// inRegions reports whether the account's own regions allow its data in a region.
func (c Client) inRegions(r ident.Region) bool {
	return len(c.Regions) == 0 || slices.Contains(c.Regions, r)
}

// MayUse reports whether the account may use the profile.
func (c Client) MayUse(p ident.Profile) bool {
	return len(c.Profiles) == 0 || slices.Contains(c.Profiles, p)
}

// Allows reports whether the residency rule of the profile allows data of the
// account in a region. It is the only implementation of the rule; both the
// sending and the receiving host call it.
func (p Profile) Allows(c Client, r ident.Region) bool {
	if p.HomeOnly && r != c.Home || !c.inRegions(r) {
		return false
	}
	return len(p.Regions) == 0 || slices.Contains(p.Regions, r)
}

// Confined reports whether the residency rule limits the regions that data of
// the account may enter.
func (p Profile) Confined(c Client) bool {
	return p.HomeOnly || len(p.Regions) > 0 || len(c.Regions) > 0
}

// Digest returns the SHA-256 digest of an API key or an operator's token in
// hexadecimal, as in Client.KeyDigest.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
