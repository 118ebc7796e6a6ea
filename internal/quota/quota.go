// Package quota limits client accounts over all entry hosts.
package quota

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Ledger is the state. Region is the own region, set once after New.
type Ledger struct {
	Region ident.Region
}

func New(_ ident.EntryID, _ ident.DataCentre) *Ledger { return &Ledger{} }

func (l *Ledger) Take(now ident.Time, c rules.Client, tokens ident.Tokens) (bool, time.Duration) {
	return true, 0
}
func (l *Ledger) Settle(now ident.Time, account ident.Account, reserved, used ident.Tokens)     {}
func (l *Ledger) Demand(now ident.Time) []event.AccountUse                                      { return nil }
func (l *Ledger) CentreDemand(now ident.Time) []event.AccountUse                                { return nil }
func (l *Ledger) PeerDemand(now ident.Time, from ident.EntryID, uses []event.AccountUse)        {}
func (l *Ledger) CentreReport(now ident.Time, dc ident.DataCentre, uses []event.AccountUse)     {}
func (l *Ledger) Drop(entry ident.EntryID)                                                     {}
