// Package rules holds the configuration that operators change while the
// system runs: profiles, client accounts, and the changes made to them.
//
// # Usage
//
// A Book is the whole configuration at one revision. It is never changed in
// place; applying a change gives a new one:
//
//	next, err := book.Apply(change)
//
// The configuration is a log: the change with revision n+1 follows the one
// with revision n, and the store's create-if-absent on the key of n+1 lets
// exactly one of several racing operators have it. A book therefore only
// moves forward, and two books of the same revision are equal.
package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Serve names what a target must have loaded to serve a profile. An empty
// version or adapter stands for any version and for no adapter.
type Serve struct {
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version,omitempty"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
}

// Weights say what a profile would give for less of each measure. They
// multiply costs in seconds of predicted time.
type Weights struct {
	// Tail multiplies the predicted time to the first token.
	Tail float64 `json:"tail"`
	// Cost multiplies the price of the target in seconds per cost unit.
	Cost float64 `json:"cost"`
	// Crossing is the number of seconds that a request must gain before it is
	// worth a crossing to another region.
	Crossing float64 `json:"crossing"`
}

// Profile says which models may serve, where data may go, and how far a
// request may travel.
type Profile struct {
	Name ident.Profile `json:"name"`
	// Models lists what may serve, for a profile of a model.
	Models []Serve `json:"models,omitempty"`
	// Service names the plain service, for a profile of a service.
	Service string `json:"service,omitempty"`
	// Regions lists where the data may go. Empty is everywhere.
	Regions []ident.Region `json:"regions,omitempty"`
	// HomeOnly confines the data to the home of the account.
	HomeOnly bool `json:"homeOnly,omitempty"`
	// MaxCrossings bounds how often a request passes between regions.
	MaxCrossings ident.Hops `json:"maxCrossings"`
	// AtMostOnce says that calls may not be repeated.
	AtMostOnce bool `json:"once,omitempty"`
	// Weights are the profile's weights of the measures.
	Weights Weights `json:"weights"`
	// DeadlineMs is the deadline of requests that name none.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// Priority goes to engines; a higher number is served first.
	Priority int `json:"priority,omitempty"`
	// TwoOperators says that a change needs the approval of a second one.
	TwoOperators bool `json:"twoOperators,omitempty"`
	// Route, where set, has the profile chosen by the host and path of a
	// request instead of by name.
	Route *Route `json:"route,omitempty"`
}

// Client is a client account.
type Client struct {
	Name ident.Account `json:"name"`
	// KeyDigest is the SHA-256 digest of the API key in hexadecimal.
	KeyDigest string `json:"keyDigest"`
	// Home is the region of the account's data, for profiles that are
	// confined to it. It also says where the account's limits count first.
	Home ident.Region `json:"home,omitempty"`
	// Profiles lists the profiles the account may use. Empty is all.
	Profiles []ident.Profile `json:"profiles,omitempty"`
	// RequestsPerMinute and TokensPerMinute limit the account over all entry
	// hosts. Zero is no limit.
	RequestsPerMinute ident.PerMinute `json:"requestsPerMinute,omitempty"`
	TokensPerMinute   ident.PerMinute `json:"tokensPerMinute,omitempty"`
}

// Kind distinguishes profiles and accounts.
type Kind string

// The kinds of items.
const (
	KindProfile Kind = "profile"
	KindAccount Kind = "account"
)

// Item is the new content of one profile or account. A null document deletes
// it.
type Item struct {
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Doc  json.RawMessage `json:"doc"`
}

// Change is one accepted change: what stands in the store under its
// revision.
type Change struct {
	Revision ident.Revision `json:"revision"`
	// ID was picked by the writer, who knows its own change by it.
	ID ident.ChangeID `json:"id"`
	// Base is the revision that the operator had read. The change is refused
	// if one of its items has changed since.
	Base     ident.Revision `json:"base"`
	Operator ident.Operator `json:"operator"`
	// Approver is the second operator, where a profile asks for one.
	Approver ident.Operator `json:"approver,omitempty"`
	Note     string         `json:"note,omitempty"`
	// At is the wall clock of the entry host that wrote the change. It is for
	// people to read; nothing is decided by it.
	At    time.Time `json:"at,omitzero"`
	Items []Item    `json:"items"`
}

// MayUse reports whether the account may use the profile.
func (c Client) MayUse(p ident.Profile) bool {
	return len(c.Profiles) == 0 || slices.Contains(c.Profiles, p)
}

// Allows reports whether the residency rule lets data of the account be in a
// region. It is the one place where the rule is written down: the host that
// sends and the host that receives both ask it.
func (p Profile) Allows(c Client, r ident.Region) bool {
	if p.HomeOnly && r != c.Home {
		return false
	}
	return len(p.Regions) == 0 || slices.Contains(p.Regions, r)
}

// Confined reports whether the residency rule leaves any region out.
func (p Profile) Confined() bool { return p.HomeOnly || len(p.Regions) > 0 }

// Digest returns the digest under which an account holds an API key.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
