package core

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/poison"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// recordTargetEnd records what the end of an attempt shows about its content: the target ended while
// it ran the request, or answered it.
func (rd *Reducer) recordTargetEnd(now ident.Time, a *attempt, e event.AttemptEnded) {
	r := a.req
	switch {
	case e.Result == event.ResultDone && e.Status < http.StatusMultipleChoices:
		rd.poison.Answered(now, subjectOf(r), now.Sub(a.start))
	case e.Result == event.ResultDone || e.Result == event.ResultFailed:
		// A target may fail a request before it begins to write what would end it.
		rd.poison.Answered(now, poison.Subject{Content: r.Content}, now.Sub(a.start))
	case a.target == "":
		rd.poison.MergeRuns(now, r.Content, e.EndedRuns, now.Sub(a.start))
	case e.Result == event.ResultBroken && (e.TargetEnded || a.targetRestarted):
		rd.poison.Ended(now, rd.endOf(now, a))
	case e.Result == event.ResultBroken && e.Disconnected:
		d := disconnect{target: a.target, incarnation: a.incarnation, url: a.dec.Target.URL, end: rd.endOf(now, a)}
		d.end.EndedAt = now
		rd.disconnects = append(rd.disconnects, d)
		rd.disconnects = rd.disconnects[max(len(rd.disconnects)-maxDisconnects, 0):]
	}
}

func (rd *Reducer) endOf(now ident.Time, a *attempt) poison.End {
	return poison.End{
		Subject: subjectOf(a.req), Run: poison.RunOf(a.target, a.incarnation), SentAt: a.start, AnswerBeganAt: a.answerBeganAt,
		Regions: rd.confinedTo(now, a.req),
	}
}

func subjectOf(r *request) poison.Subject { return poison.Subject{Content: r.Content, Parts: r.Parts} }

// disconnect is an attempt of which the target has closed the connection, while something accepted
// connections at its address. If it has ended, the platform's list shows a later start soon.
type disconnect struct {
	target      ident.TargetID
	incarnation ident.Incarnation
	url         string
	end         poison.End
}

const (
	// maxDisconnects bounds the disconnects that are remembered, and disconnectTTL how long.
	maxDisconnects = 1024
	disconnectTTL  = 10 * time.Second
)

// recordLaterStart records that a target has ended under the requests of which it closed the connections, since
// it has started again.
func (rd *Reducer) recordLaterStart(now ident.Time, id ident.TargetID) {
	rd.recordEnds(now, func(d disconnect) bool { return d.target == id && !rd.table.IsCurrent(d.target, d.incarnation) })
}

// recordSuccessor records that a target has ended under the requests of which it closed the connections, since
// another one answers at its address.
func (rd *Reducer) recordSuccessor(now ident.Time, id ident.TargetID, url string) {
	rd.recordEnds(now, func(d disconnect) bool { return d.url == url && d.target != id })
}

// recordEnds records the ends that the remembered disconnects show, and forgets these.
func (rd *Reducer) recordEnds(now ident.Time, hasEnded func(d disconnect) bool) {
	rd.disconnects = slices.DeleteFunc(rd.disconnects, func(d disconnect) bool {
		expired := now.Sub(d.end.EndedAt) > disconnectTTL
		ended := hasEnded(d)
		if ended && !expired {
			rd.poison.Ended(now, d.end)
		}
		return ended || expired
	})
}

// confinedTo returns the regions to which residency rules confine a request, nil if it may go to any.
func (rd *Reducer) confinedTo(now ident.Time, r *request) []ident.Region {
	if !r.profile.Confined(r.client) {
		return nil
	}
	regions := []ident.Region{rd.self.Place.Region}
	for _, c := range rd.table.Centres(now) {
		if r.profile.Allows(r.client, c.Place.Region) {
			regions = append(regions, c.Place.Region)
		}
	}
	return regions
}

// isPoison reports whether as many targets as may have ended while they ran the request, a repeat of it, or
// others that share a part of its prompt.
func (rd *Reducer) isPoison(now ident.Time, r *request) bool {
	_, ok := rd.poison.Blamed(now, subjectOf(r))
	return ok
}

// endPoison gives a request that ends its targets its final answer. Its outcome is unknown even
// if it has not run itself, since a repeat of it may have.
func (rd *Reducer) endPoison(now ident.Time, r *request) {
	content, ok := rd.poison.Blamed(now, subjectOf(r))
	if !ok {
		// Another host has refused it.
		content = r.Content
	}
	r.lastDenial = event.Denial{
		Reason: event.DeniedPoison, Attempts: len(rd.poison.Runs(now, content)), MaxAttempts: poison.MaxEnds,
	}
	rd.endRefused(now, r, refusal{code: codes.PoisonRequest.ID, outcome: event.Unknown})
}

// endCondemned ends the requests that have just been condemned, by their content or a part of their prompts:
// those that wait, and those at a target or peer that may be repeated and have no answer yet. Any other keeps
// running, since its outcome would be lost.
func (rd *Reducer) endCondemned(now ident.Time) {
	for _, content := range rd.poison.TakeCondemned() {
		runs := rd.poison.Runs(now, content)
		text, key := "request is condemned, its targets ended", "content"
		if rd.poison.IsPart(content) {
			text, key = "part of prompts is condemned, targets ended", "part"
		}
		rd.emit(event.Note{Text: text, Fields: []event.NotePair{
			{Key: key, Value: content.String()},
			{Key: "targets", Value: strconv.Itoa(len(runs))},
		}})
		for _, r := range rd.requestsWith(content) {
			if !rd.isPoison(now, r) {
				continue
			}
			if r.live == nil && r.pendingBar == nil && !r.claimPending {
				rd.endPoison(now, r)
			} else if r.live != nil && !r.atMostOnce && !r.hasBegun() && r.live.answerBeganAt == 0 {
				rd.emit(event.BreakOff{Request: r.ID, Attempt: r.live.id, Poison: true})
			}
		}
	}
}

// requestsWith returns the requests of a content or with that part in their prompts, sorted by ID.
func (rd *Reducer) requestsWith(content ident.Content) []*request {
	var rs []*request
	for _, r := range rd.requests {
		if subjectOf(r).Has(content) {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return rs
}

// announceTargetEnds announces what this host has found to its peers, and to hosts of the other data
// centres that relay it to theirs. The representative also repeats what is known, for hosts that have
// started or were unreachable.
func (rd *Reducer) announceTargetEnds(now ident.Time) {
	if at := rd.poison.NextAnnouncement(); at > 0 && now >= at {
		rd.sendTargetEnds(now, rd.poison.Announce(now))
	}
	if now < rd.nextEndsRefresh {
		return
	}
	rd.nextEndsRefresh = now.Add(poison.RefreshInterval)
	if rd.poison.Len() > 0 && rd.table.IsRepresentative(now) {
		rd.sendTargetEnds(now, rd.poison.Known(now))
	}
}

// refreshTargetEnds lets the representative repeat what is known at once, for a host that has just
// connected.
func (rd *Reducer) refreshTargetEnds(now ident.Time) {
	rd.nextEndsRefresh = min(rd.nextEndsRefresh, now.Add(poison.RefreshDelay))
}

// relayCount is the number of hosts of another data centre that an announcement is sent to. A second
// one relays it if the first has just failed.
const relayCount = 2

func (rd *Reducer) sendTargetEnds(now ident.Time, ends []event.TargetEnd) {
	if len(ends) == 0 {
		return
	}
	if to := rd.table.Peers(now); len(to) > 0 {
		rd.emit(event.SendTargetEnds{To: to, Ends: ends})
	}
	for _, c := range rd.table.Centres(now) {
		if allowed := rd.endsFor(c, ends); len(allowed) > 0 {
			rd.emit(event.SendTargetEnds{To: rd.relayHosts(now, c, uint64(ends[0].Content)), Ends: allowed, Relay: true})
		}
	}
}

// endsFor returns the ends that the hosts of another data centre may know.
func (rd *Reducer) endsFor(c *member.Centre, ends []event.TargetEnd) []event.TargetEnd {
	var allowed []event.TargetEnd
	for _, e := range ends {
		if rd.poison.Allows(e, c.Place.Region) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// relayHosts returns the hosts of another data centre that relay an announcement.
func (rd *Reducer) relayHosts(now ident.Time, c *member.Centre, key uint64) []event.Host {
	var to []event.Host
	for n := range uint64(relayCount) {
		h, ok := rd.table.ForwardHost(now, c, rank.Combine(key, n))
		if ok && (len(to) == 0 || to[0].ID != h.ID) {
			to = append(to, h)
		}
	}
	return to
}

// mergeTargetEnds merges an announcement, and relays it to the peers if they have not received it.
func (rd *Reducer) mergeTargetEnds(now ident.Time, e event.TargetEndsReceived) {
	rd.poison.Merge(now, e.Ends)
	if to := rd.table.Peers(now); e.Relay && len(to) > 0 && len(e.Ends) > 0 {
		rd.emit(event.SendTargetEnds{To: to, Ends: e.Ends})
	}
}
