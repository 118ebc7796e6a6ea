package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Own is what the reducer tells the table of its host at each Tick.
type Own struct {
	// Revision is the revision in force at this host.
	Revision ident.Revision
	// Accounts is the demand at this host, for peers; CentreAccounts that of
	// the whole data centre, for other data centres.
	Accounts       []event.AccountUse
	CentreAccounts []event.AccountUse
}

// PoolID names a pool: the targets of one data centre that serve one model,
// or one plain service.
type PoolID struct {
	Serve   rules.Serve
	Service string
}

// Centre is another data centre as this host knows it.
type Centre struct {
	Place      event.Place
	Hosts      []event.Host
	Summary    event.Summary
	HasSummary bool
}

// Age is how old the newest word of the data centre is.
func (c *Centre) Age(ident.Time) time.Duration { return 0 }

// CutOff reports whether the data centre has been silent for long.
func (c *Centre) CutOff(ident.Time) bool { return false }

func (tb *Table) SetLeaving()                                                           {}
func (tb *Table) SetBlind(bool)                                                         {}
func (tb *Table) PeerUp(ident.Time, event.Host)                                         {}
func (tb *Table) PeerDown(ident.Time, ident.EntryID)                                    {}
func (tb *Table) DigestReceived(ident.Time, event.Digest)                               {}
func (tb *Table) SummaryReceived(ident.Time, event.Summary)                             {}
func (tb *Table) Watches(ident.Time) bool                                               { return true }
func (tb *Table) Speaks(ident.Time) bool                                                { return true }
func (tb *Table) Peers(ident.Time) []event.Host                                         { return nil }
func (tb *Table) Centres(ident.Time) []*Centre                                          { return nil }
func (tb *Table) Host(ident.EntryID) (event.Host, bool)                                 { return event.Host{}, false }
func (tb *Table) Entries(_ ident.Time, _ func(event.Place) bool, _ uint64) []event.Host { return nil }
func (tb *Table) Status(ident.Time) ([]event.CentreStatus, []event.TargetStatus)        { return nil, nil }
func (tb *Table) Revisions(ident.Time) (low, high ident.Revision)                       { return 0, 0 }
func (tb *Table) Want(ident.Time, PoolID)                                               {}
func (tb *Table) OfferLeft(ident.Time, ident.DataCentre, PoolID) int                    { return 0 }
func (tb *Table) OfferTake(ident.DataCentre, PoolID)                                    {}
func (tb *Table) OfferGive(ident.DataCentre, PoolID)                                    {}
