package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

const (
	// keeperCount is the number of peers that keep which build began a stream. In keeperRegions
	// regions at most, a relay keeps it too, and sends it to relayedKeeperCount of its peers.
	keeperCount        = 2
	keeperRegions      = 3
	relayedKeeperCount = 1
	// announceInterval is the shortest time between two announcements of begun streams.
	announceInterval = 10 * time.Millisecond
	// localLookupTimeout and remoteLookupTimeout bound the time for which keepers are asked, without
	// and with those of other regions.
	localLookupTimeout  = 250 * time.Millisecond
	remoteLookupTimeout = 600 * time.Millisecond
	// buildsInterval is the time between two looks at the builds that serve.
	buildsInterval = 500 * time.Millisecond
	// lateTakeUp is added to the time for which a stream may be running.
	lateTakeUp = time.Second
)

// lookup is a question to the keepers of a stream that has not been answered.
type lookup struct {
	stream ident.Stream
	until  ident.Time
	// asked are the hosts that were asked, unanswered those of them that have not answered. With remote,
	// hosts of other regions are asked too.
	asked, unanswered value.Set[ident.EntryID]
	remote            bool
	// requests wait for the answer here, askers at other hosts.
	requests []*request
	askers   []ident.EntryID
}

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
		rd.begun.Begin(now, event.BegunStream{Stream: r.Origin, ServiceBuild: sb, TTL: streamTTL(r)})
	}
}

// noteBuilds records the builds that serve, here and in other regions.
func (rd *Reducer) noteBuilds(now ident.Time) {
	rd.nextBuilds = now.Add(buildsInterval)
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

// possibleBuilds returns the builds that may have begun a stream that is still running.
func (rd *Reducer) possibleBuilds(now ident.Time, r *request) []ident.Build {
	rd.noteBuilds(now)
	return rd.begun.Builds(now, r.profile.Service, streamTTL(r))
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
// the request waits for an answer of the keepers.
func (rd *Reducer) findBuild(now ident.Time, r *request) (settled bool) {
	if r.forwarded || !r.TakenUp || !r.isRoutedStream() {
		r.build = r.Build
		return true
	}
	s, known := rd.begun.Find(now, r.Origin)
	if known {
		return rd.bindBuild(now, r, s, true)
	}
	q := rd.lookUp(now, r.Origin, rd.isYoung(now, r) || len(rd.possibleBuilds(now, r)) > 1 || !rd.knowsBuilds(now, r))
	if q == nil {
		return rd.bindBuild(now, r, s, false)
	}
	q.requests = append(q.requests, r)
	return false
}

// bindBuild binds a request to the build that began its stream, or refuses it if that is unknown. It
// reports whether the request may be placed.
func (rd *Reducer) bindBuild(now ident.Time, r *request, s event.BegunStream, known bool) bool {
	if !known {
		builds := rd.possibleBuilds(now, r)
		if len(builds) > 1 || !rd.knowsBuilds(now, r) {
			rd.endNotContinued(now, r, event.DeniedBuildUnknown)
			return false
		}
		if len(builds) == 1 {
			r.build = builds[0]
		}
		r.buildFrom = event.BuildOnlyOne
		return true
	}
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

func (rd *Reducer) endNotContinued(now ident.Time, r *request, reason event.DenialReason) {
	r.lastDenial = event.Denial{Reason: reason, Attempts: r.attemptCount}
	rd.endRefused(now, r, refuseAs(codes.StreamNotContinued))
}

// lookUp asks the keepers of a stream, with remote also those of other regions. It returns nil if there
// is nobody to ask.
func (rd *Reducer) lookUp(now ident.Time, stream ident.Stream, remote bool) *lookup {
	q, ok := rd.lookups[stream]
	if !ok {
		q = &lookup{stream: stream, until: now.Add(localLookupTimeout), asked: value.SetOf[ident.EntryID](), unanswered: value.SetOf[ident.EntryID]()}
	}
	if remote && !q.remote {
		q.remote, q.until = true, now.Add(remoteLookupTimeout)
	}
	rd.askKeepers(now, q)
	if rd.isAnswered(now, q) {
		return nil
	}
	rd.lookups[stream] = q
	return q
}

// askKeepers asks the keepers that have not been asked yet.
func (rd *Reducer) askKeepers(now ident.Time, q *lookup) {
	rd.askBegun(q, rd.keepers(now, q.stream, keeperCount), false)
	if q.remote {
		rd.askBegun(q, rd.relays(now, q.stream), true)
	}
}

func (rd *Reducer) askBegun(q *lookup, hosts []event.Host, relay bool) {
	hosts = slices.DeleteFunc(hosts, func(h event.Host) bool { return q.asked.Has(h.ID) })
	for _, h := range hosts {
		q.asked.Add(h.ID)
		q.unanswered.Add(h.ID)
	}
	if len(hosts) > 0 {
		rd.emit(event.AskBegun{To: hosts, Stream: q.stream, Relay: relay})
	}
}

// isAnswered reports whether no answer to a lookup can come any more. Shortly after its start a host may
// still discover keepers, or read the records of builds.
func (rd *Reducer) isAnswered(now ident.Time, q *lookup) bool {
	hasRecords := rd.buildsHeard || rd.builds.IsRead()
	return len(q.unanswered) == 0 && (!q.remote || hasRecords && now.Sub(rd.startedAt) >= discoveryWindow)
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

func (rd *Reducer) begunAsked(now ident.Time, e event.BegunAsked) {
	if _, known := rd.begun.Find(now, e.Stream); !known && e.Relay {
		if q := rd.lookUp(now, e.Stream, false); q != nil {
			q.askers = append(q.askers, e.From)
			return
		}
	}
	rd.answerBegun(now, e.From, e.Stream)
}

func (rd *Reducer) answerBegun(now ident.Time, to ident.EntryID, stream ident.Stream) {
	ans := event.AnswerBegun{To: to, Stream: stream, Seen: rd.begun.Seen(now, rd.buildRetention()), AllSeen: rd.knowsAllBuilds(now)}
	if s, known := rd.begun.Find(now, stream); known {
		ans.Begun = []event.BegunStream{s}
	}
	rd.emit(ans)
}

func (rd *Reducer) begunAnswered(now ident.Time, e event.BegunAnswered) {
	for _, sb := range e.Seen {
		rd.begun.BuildSeen(now.Add(-sb.Age), sb.ServiceBuild)
	}
	rd.begun.Merge(now, e.Begun)
	rd.buildsHeard = rd.buildsHeard || e.AllSeen
	q, ok := rd.lookups[e.Stream]
	if !ok {
		return
	}
	delete(q.unanswered, e.From)
	if _, known := rd.begun.Find(now, e.Stream); known || rd.isAnswered(now, q) {
		rd.endLookup(now, q)
	}
}

// keeperDown counts a host to which there is no link any more as one that does not know any stream.
func (rd *Reducer) keeperDown(now ident.Time, id ident.EntryID) {
	for _, q := range rd.sortedLookups() {
		if !q.unanswered.Has(id) {
			continue
		}
		delete(q.unanswered, id)
		if rd.isAnswered(now, q) {
			rd.endLookup(now, q)
		}
	}
}

// sortedLookups returns the lookups in order of their streams.
func (rd *Reducer) sortedLookups() []*lookup {
	return slices.SortedFunc(maps.Values(rd.lookups), func(a, b *lookup) int { return cmp.Compare(a.stream, b.stream) })
}

// endLookup settles the requests that wait for an answer, and answers other hosts.
func (rd *Reducer) endLookup(now ident.Time, q *lookup) {
	delete(rd.lookups, q.stream)
	s, known := rd.begun.Find(now, q.stream)
	for _, to := range q.askers {
		rd.answerBegun(now, to, q.stream)
	}
	for _, r := range q.requests {
		if rd.requests[r.ID] == r && rd.bindBuild(now, r, s, known) {
			rd.checkOnce(now, r)
		}
	}
}

// continueLookups ends the lookups whose time is over, and asks keepers that were discovered since.
func (rd *Reducer) continueLookups(now ident.Time) {
	for _, q := range rd.sortedLookups() {
		if now >= q.until {
			rd.endLookup(now, q)
		} else if now.Sub(rd.startedAt) < discoveryWindow {
			rd.askKeepers(now, q)
		}
	}
}

// nextBegunTick returns when announceBegun or continueLookups is next due, zero for never.
func (rd *Reducer) nextBegunTick() ident.Time {
	at := ident.Time(0)
	if rd.begun.HasAnnounced() {
		at = max(rd.nextBegun, 1)
	}
	for _, q := range rd.lookups {
		if at == 0 || q.until < at {
			at = q.until
		}
	}
	return at
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
