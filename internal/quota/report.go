package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// maxSummaryAccounts bounds the accounts in a summary, of 17 bytes each.
	maxSummaryAccounts = 16
	// An entry of a data centre's report expires after minReportsSince later reports
	// that don't repeat it, or more if the data centre has more accounts than it can
	// repeat in these. Reports are counted rather than time so that entries persist
	// while the data centre is unreachable.
	minReportsSince = 256
	// minRepeatsPerReport is the number of accounts in each summary that were sent longest
	// ago.
	minRepeatsPerReport = maxSummaryAccounts / 2
	// inactiveRepeats is the number of summaries that report an account as inactive.
	inactiveRepeats = 3
	// tokensPerRequest is the weight of a change in tokens relative to one in requests.
	tokensPerRequest = 500
	// minChange is the relative change up to which a demand counts as unchanged.
	minChange = 0.1
	// reportDelay is the time after the start of a host until it reports for its data centre.
	reportDelay = 2 * time.Second
)

// SetPeerDemand stores the demand reported by a host of the local data centre, replacing
// its previous report.
func (l *Ledger) SetPeerDemand(now ident.Time, from ident.EntryID, uses []event.AccountUse) {
	l.advance(now)
	if from == l.self {
		return
	}
	l.DropPeer(from)
	names := make([]ident.Account, 0, min(len(uses), maxAccounts))
	for _, u := range uses[:min(len(uses), maxAccounts)] {
		r := ratesOf(u)
		if !r.active() {
			continue
		}
		a := l.ensureAccount(u.Account)
		a.lastActive = l.now
		a.peers = upsert(a.peers, remoteDemand[ident.EntryID]{id: from, rate: r})
		names = append(names, u.Account)
	}
	l.peers[from] = names
}

// DropPeer removes the demand of a host of the local data centre that has gone.
func (l *Ledger) DropPeer(entry ident.EntryID) {
	for _, name := range l.peers[entry] {
		if a, ok := l.accounts[name]; ok {
			a.peers = remove(a.peers, entry)
		}
	}
	delete(l.peers, entry)
}

// RecordCentreSeen records that another data centre has sent a message at the given time, with or
// without its demand.
func (l *Ledger) RecordCentreSeen(now, sentAt ident.Time, dc ident.DataCentre) {
	l.advance(now)
	c, ok := l.centres[dc]
	if dc == l.dc || (!ok && len(l.centres) >= maxCentres) {
		return
	}
	if !ok {
		c = &centre{}
		l.centres[dc] = c
	}
	c.lastSeen = max(c.lastSeen, min(sentAt, l.now))
	l.updateUnreachable()
}

// MergeCentreReport stores the demand that another data centre sent at the given time.
// Accounts missing from the report keep their previous values.
func (l *Ledger) MergeCentreReport(now, sentAt ident.Time, dc ident.DataCentre, uses []event.AccountUse) {
	l.RecordCentreSeen(now, sentAt, dc)
	c, ok := l.centres[dc]
	if !ok {
		return
	}
	c.silent = false
	c.reportCount++
	for _, u := range uses[:min(len(uses), maxAccounts)] {
		l.applyCentreUse(dc, c, u)
	}
}

func (l *Ledger) applyCentreUse(dc ident.DataCentre, c *centre, u event.AccountUse) {
	r := ratesOf(u)
	if !r.active() {
		if a, ok := l.accounts[u.Account]; ok {
			a.centres = remove(a.centres, dc)
		}
		return
	}
	a := l.ensureAccount(u.Account)
	a.lastActive = l.now
	p := remoteDemand[ident.DataCentre]{id: dc, rate: r, reportNumber: c.reportCount}
	if i, ok := find(a.centres, dc); ok {
		p.log = a.centres[i].log
	}
	if l.bounds.Window > 0 {
		p.log.add(c.lastSeen, r)
	}
	a.centres = upsert(a.centres, p)
}

// isCurrent reports whether an entry from a data centre's report still counts.
func (l *Ledger) isCurrent(p *remoteDemand[ident.DataCentre]) bool {
	c, ok := l.centres[p.id]
	return ok && c.reportCount-p.reportNumber <= c.maxReportsSince()
}

// maxReportsSince returns after how many reports an entry expires that they don't repeat: twice
// the number in which each entry of the data centre is repeated, so that the loss of one of them
// expires nothing.
func (c *centre) maxReportsSince() uint64 {
	const repeats = 2
	return max(minReportsSince, repeats*uint64(c.entries)/minRepeatsPerReport)
}

// summaryCandidate is an account that may be included in a summary.
type summaryCandidate struct {
	*account
	rate rates
	// change is the difference between the demand and the value last sent, zero if it
	// is at most minChange of that value.
	change float64
}

// SummaryDemand returns the demand of the local data centre for a summary. It returns
// false shortly after the start of a host with a bound, which does not know the demand at its
// peers yet. It records what it returns, so call it once a round and send the same summary to
// all. A lost summary is repaired when its accounts are next sent.
func (l *Ledger) SummaryDemand(now ident.Time) (uses []event.AccountUse, ok bool) {
	l.advance(now)
	if l.bounds.Window > 0 && l.now.Sub(l.startedAt) < reportDelay {
		return nil, false
	}
	l.sweep()
	l.round++
	var all []summaryCandidate
	for _, name := range l.accountNames() {
		d := l.summaryCandidate(l.accounts[name])
		if d.rate.active() || d.pendingZeros > 0 {
			all = append(all, d)
		}
	}
	for _, d := range selectForSummary(all) {
		uses = append(uses, d.rate.accountUse(d.name))
		d.lastSent = d.rate
		d.lastSentRound = l.round
		d.pendingZeros = max(d.pendingZeros-1, 0)
	}
	slices.SortFunc(uses, func(a, b event.AccountUse) int { return cmp.Compare(a.Account, b.Account) })
	return uses, true
}

// selectForSummary picks the accounts of a summary: half are those that changed most,
// the rest those that were sent longest ago. Selection by change alone would let a few
// large accounts that change all the time exclude the others for ever, and their lost
// reports would never be repeated.
func selectForSummary(all []summaryCandidate) []summaryCandidate {
	slices.SortStableFunc(all, func(a, b summaryCandidate) int {
		return cmp.Or(cmp.Compare(b.change, a.change), cmp.Compare(a.lastSentRound, b.lastSentRound))
	})
	rest := all[min(len(all), maxSummaryAccounts/2):]
	slices.SortStableFunc(rest, func(a, b summaryCandidate) int { return cmp.Compare(a.lastSentRound, b.lastSentRound) })
	return all[:min(len(all), maxSummaryAccounts)]
}

func (l *Ledger) summaryCandidate(a *account) summaryCandidate {
	a.centres = slices.DeleteFunc(a.centres, func(p remoteDemand[ident.DataCentre]) bool { return !l.isCurrent(&p) })
	rate := l.demandOf(a)
	for _, p := range a.peers {
		rate = rate.plus(p.rate)
	}
	switch {
	case rate.active():
		a.pendingZeros = 0
	case a.lastSent.active():
		rate, a.pendingZeros = rates{}, inactiveRepeats
	default:
		rate = rates{}
	}
	d := summaryCandidate{account: a, rate: rate, change: distance(rate, a.lastSent)}
	if d.change <= minChange*distance(a.lastSent, rates{}) {
		d.change = 0
	}
	return d
}

func distance(a, b rates) float64 {
	return math.Abs(float64(a.requests-b.requests)) + math.Abs(float64(a.tokens-b.tokens))/tokensPerRequest
}
