// Package once makes non-idempotent requests run at most once.
package once

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Do says what is to be done with a request.
type Do string

// The ways to go on with a request.
const (
	Run    Do = "run"
	Claim  Do = "claim"
	Replay Do = "replay"
	Owner  Do = "owner"
	Refuse Do = "refuse"
)

// Verdict is the decision on one request.
type Verdict struct {
	Do          Do
	Record      event.KeyRecord
	Of          ident.RequestID
	Entry       ident.EntryID
	Incarnation ident.Incarnation
	Code        codes.ID
	Outcome     event.Outcome
	RetryAfter  time.Duration
}

// Registry is the state.
type Registry struct{}

// New returns an empty registry.
func New(_ ident.EntryID, _ ident.Incarnation) *Registry { return &Registry{} }

func (rg *Registry) IssueTicket(now ident.Time, account ident.Account, profile ident.Profile, secret string) (string, time.Duration, codes.ID) {
	return "", 0, codes.Overloaded.ID
}

func OwnerOf(ticket string) (ident.EntryID, ident.Incarnation, bool) { return "", 0, false }

func (rg *Registry) Redeem(now ident.Time, ticket string, account ident.Account, profile ident.Profile, req ident.RequestID, print string) Verdict {
	return Verdict{Do: Refuse}
}

func (rg *Registry) Key(now ident.Time, key, print string, req ident.RequestID) Verdict {
	return Verdict{Do: Refuse}
}

func (rg *Registry) Claimed(now ident.Time, req ident.RequestID, claim event.Claim, record event.KeyRecord) Verdict {
	return Verdict{Do: Refuse}
}

func (rg *Registry) Ended(now ident.Time, req ident.RequestID, outcome event.Outcome, kept bool) {}

func (rg *Registry) Expire(now ident.Time) []ident.RequestID { return nil }

func (rg *Registry) Next() ident.Time { return 0 }

func (rg *Registry) Arrive(now ident.Time, env event.Envelope) Verdict { return Verdict{Do: Refuse} }

func (rg *Registry) PeerEnded(now ident.Time, a ident.Attempt, answer event.Answer) {}

func (rg *Registry) Bar(now ident.Time, a ident.Attempt, to ident.Incarnation) event.Answer {
	return event.Forgotten
}
