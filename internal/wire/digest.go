package wire

import (
	"math"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// FromDigest converts a digest. Of the host, only its draining flag is sent.
func FromDigest(d event.Digest) *Digest {
	named, keyed := splitUse(d.Use)
	var listAge *uint64
	if d.ListConfirmed {
		listAge = new(millis(d.ListAge))
	}
	return &Digest{
		ListAgeMs: listAge, Rates: convert(d.Rates, fromRates),
		Draining: d.Host.Draining, Seq: d.Seq, Revision: uint64(d.Revision),
		Use: convert(named, fromUse), Keyed: keyed, Loads: convert(d.Loads, fromLoad),
		Accounts: fromAccounts(d.Accounts), DrainNotices: convert(d.Draining, fromDrainNotice),
		Summaries: convert(d.Summaries, FromSummary), Targets: convert(d.Targets, fromTarget),
		Away: convert(d.Forwarded, fromForwarded), Blind: d.PlatformUnreachable, Wants: convert(d.Wants, fromWant), AccountsIncluded: d.AccountsIncluded,
		Lacks: convert(d.StaleCentres, fromCentre), ListVersion: d.ListVersion, Flows: convert(d.Demand, fromDemand),
		Holders: fromHolders(d.Holders), Complete: d.Complete, Removed: convert(d.Removed, fromRemoved),
		RateLimits: convert(d.RateLimits, fromRateLimit),
	}
}

// ToEvent converts a digest back. The host is the one from the hello message.
func (p *Digest) ToEvent(host event.Host) event.Digest {
	host.Draining = p.GetDraining()
	return event.Digest{
		Rates:         convert(p.GetRates(), toRates),
		ListConfirmed: p != nil && p.ListAgeMs != nil, ListAge: duration(p.GetListAgeMs()),
		Host: host, Seq: p.GetSeq(), Revision: ident.Revision(p.GetRevision()),
		Use: append(convert(p.GetUse(), toUse), p.GetKeyed().toUses()...), Loads: convert(p.GetLoads(), toLoad),
		Accounts: p.GetAccounts().toAccounts(), Draining: convert(p.GetDrainNotices(), toDrainNotice),
		Summaries: convert(p.GetSummaries(), (*Summary).ToEvent), Targets: toTargets(p.GetTargets()),
		Forwarded: convert(p.GetAway(), toForwarded), PlatformUnreachable: p.GetBlind(), Wants: convert(p.GetWants(), toWant), AccountsIncluded: p.GetAccountsIncluded(),
		StaleCentres: convert(p.GetLacks(), toCentre), ListVersion: p.GetListVersion(), Demand: convert(p.GetFlows(), toDemand),
		Holders: p.GetHolders().toHolders(), Complete: p.GetComplete(), Removed: convert(p.GetRemoved(), toRemoved),
		RateLimits: convert(p.GetRateLimits(), toRateLimit),
	}
}

// FromSummary converts a summary.
func FromSummary(s event.Summary) *Summary {
	return &Summary{
		From: string(s.From), Place: fromPlace(s.Place), Incarnation: uint64(s.Incarnation), Seq: s.Seq,
		AgeMs: millis(s.Age), InForce: uint64(s.InForce), Highest: uint64(s.Highest),
		Hosts: convert(s.Hosts, fromSummaryHost(s.Place)), Pools: convert(s.Pools, fromPool),
		Accounts: fromAccounts(s.Accounts), Kept: omittedParts(s),
		HostsHash: s.HostsHash, PoolsAgeMs: millis(s.PoolsAge),
	}
}

// ToEvent converts a summary back.
func (p *Summary) ToEvent() event.Summary {
	return event.Summary{
		From: ident.EntryID(p.GetFrom()), Place: toPlace(p.GetPlace()),
		Incarnation: ident.Incarnation(p.GetIncarnation()), Seq: p.GetSeq(), Age: duration(p.GetAgeMs()),
		InForce: ident.Revision(p.GetInForce()), Highest: ident.Revision(p.GetHighest()),
		Hosts: convert(p.GetHosts(), toSummaryHost(toPlace(p.GetPlace()))), Pools: convert(p.GetPools(), toPool),
		Accounts:     p.GetAccounts().toAccounts(),
		HostsOmitted: p.GetKept()&omittedHosts != 0, PoolsOmitted: p.GetKept()&omittedPools != 0,
		AccountsOmitted: p.GetKept()&omittedAccounts != 0,
		HostsHash:       p.GetHostsHash(), PoolsAge: duration(p.GetPoolsAgeMs()),
	}
}

// The bits of the optional parts that a summary leaves out.
const (
	omittedHosts = 1 << iota
	omittedPools
	omittedAccounts
)

func omittedParts(s event.Summary) uint32 {
	omitted := uint32(0)
	if s.HostsOmitted {
		omitted |= omittedHosts
	}
	if s.PoolsOmitted {
		omitted |= omittedPools
	}
	if s.AccountsOmitted {
		omitted |= omittedAccounts
	}
	return omitted
}

// fromSummaryHost converts the hosts of a summary and leaves out a place equal to that
// of the summary. Nearly all hosts have that place, and the places took a quarter of the
// bytes of the hosts.
func fromSummaryHost(place event.Place) func(event.Host) *Host {
	return func(h event.Host) *Host {
		p := FromHost(h)
		if h.Place == place {
			p.Place = nil
		}
		return p
	}
}

func toSummaryHost(place event.Place) func(*Host) event.Host {
	return func(p *Host) event.Host {
		h := p.ToEvent()
		if p.GetPlace() == nil {
			h.Place = place
		}
		return h
	}
}

func fromCentre(dc ident.DataCentre) string { return string(dc) }

func toCentre(dc string) ident.DataCentre { return ident.DataCentre(dc) }

func fromDemand(f event.PrefillDemand) *Flow {
	return &Flow{Service: f.Service, Alone: float32(f.UnsharedPrefill), Shared: float32(f.SharedPrefill)}
}

func toDemand(p *Flow) event.PrefillDemand {
	return event.PrefillDemand{Service: p.GetService(), UnsharedPrefill: rate(p.GetAlone()), SharedPrefill: rate(p.GetShared())}
}

func fromRates(r event.ServiceRates) *ServiceRates {
	return &ServiceRates{
		Service: r.Service, PrefillRate: float32(r.PrefillRate), RequestTimeUs: micros(r.RequestTime),
		EventGapUs: micros(r.EventGap), MinEventGapUs: micros(r.MinEventGap),
	}
}

func toRates(p *ServiceRates) event.ServiceRates {
	return event.ServiceRates{
		Service: p.GetService(), PrefillRate: rate(p.GetPrefillRate()), RequestTime: shortDuration(p.GetRequestTimeUs(), maxRequestTime),
		EventGap: shortDuration(p.GetEventGapUs(), maxEventGap), MinEventGap: shortDuration(p.GetMinEventGapUs(), maxEventGap),
	}
}

func fromRemoved(r event.RemovedTarget) *RemovedTarget {
	return &RemovedTarget{Target: string(r.Target), Version: r.Version}
}

func toRemoved(p *RemovedTarget) event.RemovedTarget {
	return event.RemovedTarget{Target: ident.TargetID(p.GetTarget()), Version: p.GetVersion()}
}

func fromHolders(hs []event.PrefixHolder) *PrefixHolders {
	if len(hs) == 0 {
		return nil
	}
	p := &PrefixHolders{}
	for _, h := range hs {
		p.Targets = append(p.Targets, uint32(h.Target))
		p.Parts = append(p.Parts, h.LastBlock)
	}
	return p
}

func (p *PrefixHolders) toHolders() []event.PrefixHolder {
	var hs []event.PrefixHolder
	for i := range min(len(p.GetTargets()), len(p.GetParts())) {
		hs = append(hs, event.PrefixHolder{Target: event.TargetKey(p.GetTargets()[i]), LastBlock: p.GetParts()[i]})
	}
	return hs
}

func fromUse(u event.TargetUse) *TargetUse {
	return &TargetUse{Target: string(u.Target), Running: int64(u.Running), Tokens: int64(u.Tokens), Key: uint32(u.Key), Unread: int64(u.PendingPrefill)}
}

// splitUse separates the uses sent by ID from those sent by key. The latter are sent as
// columns, since one message for each use would take twice the bytes.
func splitUse(uses []event.TargetUse) (named []event.TargetUse, keyed *KeyedUse) {
	hasPending := slices.ContainsFunc(uses, func(u event.TargetUse) bool { return u.PendingPrefill > 0 })
	for _, u := range uses {
		if u.Target != "" {
			named = append(named, u)
			continue
		}
		if keyed == nil {
			keyed = &KeyedUse{}
		}
		keyed.Keys = append(keyed.Keys, uint32(u.Key))
		keyed.Running = append(keyed.Running, uint64(max(u.Running, 0)))
		keyed.Tokens = append(keyed.Tokens, uint64(max(u.Tokens, 0)))
		if hasPending {
			keyed.Unread = append(keyed.Unread, uint64(max(u.PendingPrefill, 0)))
		}
	}
	return named, keyed
}

// toUses converts the columns back. No host of this version sends columns of different
// lengths; surplus entries are dropped.
func (p *KeyedUse) toUses() []event.TargetUse {
	n := min(len(p.GetKeys()), len(p.GetRunning()), len(p.GetTokens()))
	var uses []event.TargetUse
	for i := range n {
		uses = append(uses, event.TargetUse{
			Key:     event.TargetKey(p.GetKeys()[i]),
			Running: count(p.GetRunning()[i]), Tokens: tokens(p.GetTokens()[i]),
			PendingPrefill: tokens(columnValue(p.GetUnread(), i)),
		})
	}
	return uses
}

func toUse(p *TargetUse) event.TargetUse {
	return event.TargetUse{
		Target: ident.TargetID(p.GetTarget()), Running: count(p.GetRunning()), Tokens: tokens(p.GetTokens()),
		Key: event.TargetKey(p.GetKey()), PendingPrefill: tokens(p.GetUnread()),
	}
}

// columnValue returns entry i of a column, or zero if the column was left out because it
// has no values.
func columnValue(column []uint64, i int) uint64 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}

func fromForwarded(u event.ForwardedUse) *AwayUse {
	return &AwayUse{
		DataCentre: string(u.DataCentre), Serve: fromServe(u.Serve), Service: u.Service, Running: int64(u.Running),
	}
}

func toForwarded(p *AwayUse) event.ForwardedUse {
	return event.ForwardedUse{
		DataCentre: ident.DataCentre(p.GetDataCentre()), Serve: toServe(p.GetServe()),
		Service: p.GetService(), Running: count(p.GetRunning()),
	}
}

func fromWant(w event.Want) *Want { return &Want{Serve: fromServe(w.Serve), Service: w.Service} }

func toWant(p *Want) event.Want {
	return event.Want{Serve: toServe(p.GetServe()), Service: p.GetService()}
}

// fromAccounts converts the demand of accounts to columns. One message with floats for
// each account took 24 bytes, ten of them for the name.
func fromAccounts(as []event.AccountUse) *AccountUses {
	if len(as) == 0 {
		return nil
	}
	p := &AccountUses{}
	for _, a := range as {
		p.Accounts = append(p.Accounts, string(a.Account))
		p.Requests = append(p.Requests, fromRate(a.Requests))
		p.Tokens = append(p.Tokens, fromRate(a.Tokens))
	}
	return p
}

// toAccounts converts the columns back, up to the shortest length.
func (p *AccountUses) toAccounts() []event.AccountUse {
	n := min(len(p.GetAccounts()), len(p.GetRequests()), len(p.GetTokens()))
	var as []event.AccountUse
	for i := range n {
		as = append(as, event.AccountUse{
			Account:  ident.Account(p.GetAccounts()[i]),
			Requests: toRate(p.GetRequests()[i]), Tokens: toRate(p.GetTokens()[i]),
		})
	}
	return as
}

// FromAdmissions converts an announcement to columns.
func FromAdmissions(as []event.Admission) *Admissions {
	p := &Admissions{}
	for _, a := range as {
		p.Accounts = append(p.Accounts, string(a.Account))
		p.Requests = append(p.Requests, a.Requests)
		p.Tokens = append(p.Tokens, int64(a.Tokens))
	}
	return p
}

// ToEvent converts the columns back, up to the shortest length.
func (p *Admissions) ToEvent(from ident.EntryID) event.AdmissionsReceived {
	e := event.AdmissionsReceived{From: from}
	n := min(len(p.GetAccounts()), len(p.GetRequests()), len(p.GetTokens()))
	for i := range n {
		e.Admissions = append(e.Admissions, event.Admission{
			Account: ident.Account(p.GetAccounts()[i]), Requests: signed(p.GetRequests()[i], maxCount), Tokens: ident.Tokens(signed(p.GetTokens()[i], maxTokens)),
		})
	}
	return e
}

const (
	// rateScale is the number of steps per unit in which rates are sent.
	rateScale = 16
	maxRate   = 1 << 52
)

// fromRate rounds up: if a small demand became zero, its account would lose its share
// while the demand lasts.
func fromRate(r ident.PerMinute) uint64 {
	if r > 0 && r <= maxRate/rateScale {
		return uint64(math.Ceil(float64(r) * rateScale))
	}
	return 0
}

func toRate(n uint64) ident.PerMinute { return ident.PerMinute(min(n, maxRate)) / rateScale }

func fromDrainNotice(t event.DrainNotice) *DrainNotice {
	return &DrainNotice{Target: string(t.Target), Incarnation: uint64(t.Incarnation)}
}

func toDrainNotice(p *DrainNotice) event.DrainNotice {
	return event.DrainNotice{
		Target: ident.TargetID(p.GetTarget()), Incarnation: ident.Incarnation(p.GetIncarnation()),
	}
}

func fromLoad(l event.Load) *Load {
	return &Load{
		Target: string(l.Target), Incarnation: uint64(l.Incarnation), Seq: l.Seq, AgeMs: millis(l.Age),
		Slots: int64(l.Slots), Running: int64(l.Running), Queued: int64(l.Queued),
		QueuedTokens: int64(l.QueuedTokens), PrefillRate: float32(l.PrefillRate),
		DecodeRate: float32(l.DecodeRate), Serves: convert(l.Serves, fromServe), Draining: l.Draining,
		Key: uint32(l.Key), Kept: l.StaticOmitted,
	}
}

func toLoad(p *Load) event.Load {
	return event.Load{
		Target: ident.TargetID(p.GetTarget()), Incarnation: ident.Incarnation(p.GetIncarnation()),
		Seq: p.GetSeq(), Age: duration(p.GetAgeMs()), Slots: slots(p.GetSlots()), Running: count(p.GetRunning()),
		Queued: count(p.GetQueued()), QueuedTokens: tokens(p.GetQueuedTokens()),
		PrefillRate: rate(p.GetPrefillRate()), DecodeRate: rate(p.GetDecodeRate()),
		Serves: convert(p.GetServes(), toServe), Draining: p.GetDraining(),
		Key: event.TargetKey(p.GetKey()), StaticOmitted: p.GetKept(),
	}
}

func fromPool(l event.Pool) *Pool {
	return &Pool{
		Serve: fromServe(l.Serve), Service: l.Service, Slots: int64(l.Slots), Free: int64(l.Free),
		Offer: int64(l.Offer), WaitMs: millis(l.Wait), PrefillRate: float32(l.PrefillRate),
		DecodeRate: float32(l.DecodeRate), Price: float32(l.Price),
		Targets: int64(l.Targets), Alone: float32(l.UnsharedPrefill), Shared: float32(l.SharedPrefill),
		Builds: convert(l.Builds, fromBuild),
	}
}

func toPool(p *Pool) event.Pool {
	return event.Pool{
		Serve: toServe(p.GetServe()), Service: p.GetService(), Slots: count(p.GetSlots()), Free: count(p.GetFree()),
		Offer: count(p.GetOffer()), Wait: duration(p.GetWaitMs()), PrefillRate: rate(p.GetPrefillRate()),
		DecodeRate: rate(p.GetDecodeRate()), Price: rate(p.GetPrice()),
		Targets: count(p.GetTargets()), UnsharedPrefill: rate(p.GetAlone()), SharedPrefill: rate(p.GetShared()),
		Builds: convert(p.GetBuilds(), toBuild),
	}
}

func fromRateLimit(l event.RateLimit) *RateLimit {
	p := &RateLimit{Target: string(l.Target), Key: uint32(l.Key), Incarnation: uint64(l.Incarnation), AgeMs: millis(l.Age)}
	if limit, ok := l.PerSecond.Get(); ok {
		p.PerSecond = &limit
	}
	return p
}

func toRateLimit(p *RateLimit) event.RateLimit {
	l := event.RateLimit{
		Target: ident.TargetID(p.GetTarget()), Key: event.TargetKey(p.GetKey()), Incarnation: ident.Incarnation(p.GetIncarnation()), Age: duration(p.GetAgeMs()),
	}
	if p.PerSecond != nil && p.GetPerSecond() >= 0 {
		l.PerSecond = value.Some(min(p.GetPerSecond(), event.MaxRateLimit))
	}
	return l
}
