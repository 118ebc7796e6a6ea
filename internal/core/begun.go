package core

import (
	"cmp"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

const (
	// keeperCount is the number of peers that keep which build began a stream. In keeperRegions
	// regions at most, a relay keeps it too, and sends it to relayedKeeperCount of its peers.
	keeperCount        = 2
	keeperRegions      = 3
	relayedKeeperCount = 1
	// announceInterval is the shortest time between two announcements of begun streams.
	announceInterval = 10 * time.Millisecond
	// buildsInterval is the time between two looks at the builds that serve.
	buildsInterval = 500 * time.Millisecond
	// lateTakeUp is added to the time for which a stream may be running.
	lateTakeUp = time.Second
)

// streamBegan records the build from which the caller gets the first event of an attempt.
func (rd *Reducer) streamBegan(now ident.Time, a *attempt, e event.FirstToken) {
	r := a.req
	if !r.isRoutedStream() {
		return
	}
	build := e.Build
	if a.target != "" {
		build = a.build
	}
	if build == "" {
		return
	}
	sb := event.ServiceBuild{Service: r.profile.Service, Build: build}
	rd.begun.BuildSeen(now, sb)
	r.build = cmp.Or(r.build, build)
	if !r.forwarded && r.profile.Route.Resumable {
		s := event.BegunStream{Stream: r.Origin, ServiceBuild: sb, TTL: streamTTL(r)}
		rd.begun.Begin(now, s)
		rd.announceService(now, r, s)
	}
}

// noteBuilds records the builds that serve, here and in other regions.
func (rd *Reducer) noteBuilds(now ident.Time) {
	rd.nextBuilds = now.Add(buildsInterval)
	if rd.isRegionCutOff(now) {
		rd.builds.Hold(now)
	}
	for _, t := range rd.table.Targets() {
		if !t.Removed && t.Build != "" {
			rd.begun.BuildSeen(now, event.ServiceBuild{Service: t.Service, Build: t.Build})
		}
	}
	for _, c := range rd.table.Centres(now) {
		if c.CutOff(now) {
			continue
		}
		for _, p := range c.Summary.Pools {
			for _, build := range p.Builds {
				rd.begun.BuildSeen(now, event.ServiceBuild{Service: p.Service, Build: build})
			}
		}
	}
}

// possibleBuilds returns the builds that may have begun a stream that is still running, as far as this host knows, sorted.
func (rd *Reducer) possibleBuilds(now ident.Time, r *request) []ident.Build {
	rd.noteBuilds(now)
	return uniqueBuilds(append(rd.begun.Builds(now, r.profile.Service, streamTTL(r)), rd.builds.Recorded(r.profile.Service)...))
}

// uniqueBuilds sorts builds and removes duplicates and the one without a name, which is that of services whose targets name none.
func uniqueBuilds(builds []ident.Build) []ident.Build {
	builds = slices.DeleteFunc(builds, func(b ident.Build) bool { return b == "" })
	slices.Sort(builds)
	return slices.Compact(builds)
}

// streamTTL returns how long after its first event a stream of the route of r may still be running. A
// caller that takes it up again may wait for the whole timeout of the route once more.
func streamTTL(r *request) time.Duration { return routeTTL(r.profile.Route) }

func routeTTL(rt *rules.Route) time.Duration {
	return 2*time.Duration(rt.TimeoutMs)*time.Millisecond + lateTakeUp
}

// isYoung reports whether this host may have missed builds and streams that other hosts have seen.
func (rd *Reducer) isYoung(now ident.Time, r *request) bool {
	return now.Sub(rd.startedAt) < streamTTL(r)
}

// findBuild finds out which build may serve a request. It reports whether that is settled; otherwise
// endLookup places the request or refuses it.
func (rd *Reducer) findBuild(now ident.Time, r *request) (settled bool) {
	if r.forwarded || !r.TakenUp || !r.isRoutedStream() {
		r.build = r.Build
		return true
	}
	if s, known := rd.begun.Find(now, r.Origin); known {
		return rd.bindToStream(now, r, s)
	}
	several := len(rd.possibleBuilds(now, r)) > 1 || rd.hasSeveralServices(&r.profile)
	key := lookupKey{stream: r.Origin}
	if r.Origin == 0 {
		key.unnamed = r.ID
	}
	// With several builds only somebody who remembers the stream can name the one that began it.
	q := rd.lookUp(now, key, lookupScope{
		keepers: true, regions: several || rd.isYoung(now, r) || rd.isOutOfStep(now), records: !several && rd.bounds.SharedReads,
	})
	q.requests = append(q.requests, r)
	rd.settleLookup(now, q)
	return false
}

// bindToStream binds a request to the build that began its stream, or refuses it if no target of that build may
// serve it. It reports whether the request may be placed.
func (rd *Reducer) bindToStream(now ident.Time, r *request, s event.BegunStream) bool {
	switch {
	case s.Ambiguous:
		rd.endNotContinued(now, r, event.DeniedBuildUnknown)
		return false
	case !slices.ContainsFunc(r.profile.Route.Shares, func(sh rules.Share) bool { return sh.Service == s.Service && sh.Weight > 0 }):
		rd.endNotContinued(now, r, event.DeniedService)
		return false
	}
	r.Service, r.profile.Service, r.build = s.Service, s.Service, s.Build
	r.buildFrom = event.BuildRemembered
	return true
}

// bindToRecords binds a request whose stream no host remembers to the only build that may have begun it, or refuses
// it if that is unknown. It reports whether the request may be placed.
func (rd *Reducer) bindToRecords(now ident.Time, r *request, q *lookup) bool {
	builds := rd.possibleIn(now, r, q)
	switch {
	case len(builds) > 1 || rd.hasSeveralServices(&r.profile):
		rd.endNotContinued(now, r, event.DeniedBuildUnknown)
		return false
	case !rd.isConfirmed(q) || !rd.covers(r.profile.Service, q):
		rd.endNotContinued(now, r, event.DeniedUnconfirmed)
		return false
	case len(builds) == 1:
		r.build = builds[0]
	}
	r.buildFrom = event.BuildOnlyOne
	return true
}

func (rd *Reducer) endNotContinued(now ident.Time, r *request, reason event.DenialReason) {
	r.lastDenial = event.Denial{Reason: reason, Attempts: r.attemptCount}
	rd.endRefused(now, r, refuseAs(codes.StreamNotContinued))
}

// keepers returns the peers that rank first for a stream, at most n.
func (rd *Reducer) keepers(now ident.Time, stream ident.Stream, n int) []event.Host {
	peers := slices.Clone(rd.table.Peers(now))
	score := func(h event.Host) uint64 { return rank.Combine(uint64(stream), rank.Hash(string(h.ID))) }
	slices.SortFunc(peers, func(a, b event.Host) int { return cmp.Compare(score(b), score(a)) })
	return peers[:min(len(peers), n)]
}

// relays returns a host of each other region that keeps a stream. The regions rank by the stream, this one
// among them, so that all hosts find the same ones.
func (rd *Reducer) relays(now ident.Time, stream ident.Stream) []event.Host {
	score := func(group ident.DataCentre) uint64 {
		return rank.Combine(uint64(stream), rank.Hash("region", string(group)))
	}
	centres := slices.Clone(rd.table.Centres(now))
	slices.SortFunc(centres, func(a, b *member.Centre) int {
		return cmp.Compare(score(b.Place.Group()), score(a.Place.Group()))
	})
	var hosts []event.Host
	own := score(rd.self.Place.Group())
	for i, c := range centres {
		above := i
		if own > score(c.Place.Group()) {
			above++
		}
		if above >= keeperRegions || c.CutOff(now) {
			continue
		}
		if h, ok := rd.table.ForwardHost(now, c, uint64(stream)); ok {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// announceBegun announces to the keepers which builds have begun streams.
func (rd *Reducer) announceBegun(now ident.Time) {
	if !rd.begun.HasAnnounced() || now < rd.nextBegun {
		return
	}
	rd.nextBegun = now.Add(announceInterval)
	streams := rd.begun.TakeAnnounced()
	rd.noteUnsaved(now, streams)
	rd.sendBegun(streams, false, func(stream ident.Stream) []event.Host { return rd.keepers(now, stream, keeperCount) })
	rd.sendBegun(streams, true, func(stream ident.Stream) []event.Host { return rd.relays(now, stream) })
}

// sendBegun sends each stream to its recipients, in one message to each host.
func (rd *Reducer) sendBegun(streams []event.BegunStream, relay bool, recipients func(ident.Stream) []event.Host) {
	var msgs []event.SendBegun
	for _, s := range streams {
		for _, h := range recipients(s.Stream) {
			i := slices.IndexFunc(msgs, func(m event.SendBegun) bool { return m.To.ID == h.ID })
			if i < 0 {
				i = len(msgs)
				msgs = append(msgs, event.SendBegun{To: h, Relay: relay})
			}
			msgs[i].Streams = append(msgs[i].Streams, s)
		}
	}
	for _, m := range msgs {
		rd.emit(m)
	}
}

func (rd *Reducer) begunReceived(now ident.Time, e event.BegunReceived) {
	rd.begun.Merge(now, e.Streams)
	if e.Relay {
		rd.sendBegun(e.Streams, false, func(stream ident.Stream) []event.Host { return rd.keepers(now, stream, relayedKeeperCount) })
	}
}

// isBuildGone reports whether no target of the required build serves any more, although others do.
func (rd *Reducer) isBuildGone(now ident.Time, r *request) bool {
	build := r.build
	if r.profile.Route == nil || build == "" || len(rd.possibleBuilds(now, r)) < 2 {
		return false
	}
	for _, t := range rd.table.Targets() {
		if t.Service == r.profile.Service && t.Build == build && !t.KnownDraining && !t.Removed && !t.Evacuated {
			return false
		}
	}
	for _, c := range rd.table.Centres(now) {
		if p := c.Pool(member.PoolID{Service: r.profile.Service}); p != nil && !c.CutOff(now) && slices.Contains(p.Builds, build) {
			return false
		}
	}
	return true
}
