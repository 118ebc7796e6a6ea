// Package load estimates how busy targets are and how long new work would wait there.
//
// # Usage
//
//	var usual load.Services
//	st := load.State{Target: target}
//	st.Send(now, prompt, generated)
//	st.Prefill(now, unread)
//	usual.Began(&st, unread, 0, took)
//	wait := st.Wait(now, st.Outstanding(now), 1)
//
// A State joins three views of one target: its own reports, which lag; the work of this host,
// which is known exactly; and that of the other hosts, from their digests. Services holds what
// is usual for the targets of a service, for those of which too little is known.
//
// Nothing here knows hosts, lists or other data centres, reads a clock or is safe for use by
// several goroutines.
package load

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Defaults and ages of reports.
const (
	// trustFull is the age up to which a load report counts in full, trustEnd
	// that at which it counts no more. Past it only the work that the hosts
	// know to have sent is left to go by.
	trustFull = 2 * time.Second
	trustEnd  = 10 * time.Second
	// defaultSlots stands for targets that report no load.
	defaultSlots = 4
	// defaultDecode is the time of a request where nothing is known.
	defaultDecode = 2 * time.Second
)

// State is a target with its load as this host knows it. With a Capacity the target reports its
// load in its answers, else when it is polled.
type State struct {
	event.Target
	// Load is the newest report, LoadAt when the target made it as far as its
	// age says; HasLoad says whether there is one.
	Load    event.Load
	LoadAt  ident.Time
	HasLoad bool
	// Sent counts the requests that this host has sent and that have not
	// ended, SentTokens their prefill work, SentGenerated the most that they
	// may generate.
	Sent          int
	SentTokens    ident.Tokens
	SentGenerated ident.Tokens
	// PeerSent and PeerTokens are the same of the other hosts of the data
	// centre, from their digests.
	PeerSent   int
	PeerTokens ident.Tokens
	// Unread is the part of the prompts sent from here that the target has to read
	// and whose first token has not come, PeerUnread the same of the other hosts.
	Unread     ident.Tokens
	PeerUnread ident.Tokens

	// rated says that the rate at which it reads prompts was seen.
	rated bool
	// run is the usual time that a request of its service takes.
	run time.Duration
	// others is the smoothed number of requests of other hosts, as in answers,
	// and othersSeen the newest.
	others     float64
	othersSeen int

	recent Recent
	ahead  ahead
}

// Restarted returns the state of a new start of the target: without work, and with what is usual
// for its service.
func (s *State) Restarted(d event.Target) State { return State{Target: d, run: s.run} }

// Slots returns how many requests the target runs at once.
func (s *State) Slots() int {
	if s.HasLoad && s.Load.Slots > 0 {
		return s.Load.Slots
	}
	if s.Capacity > 0 {
		return s.Capacity
	}
	return defaultSlots
}

// Outstanding estimates the requests of all senders at the target now.
//
// A report lags, and this host's own work is known exactly. So the report is
// used for the work of others only: what it counted less what this host had
// there at the time. The digests of the peers bound it from below.
func (s *State) Outstanding(now ident.Time) int {
	others := s.PeerSent
	if s.Capacity > 0 && s.HasLoad && now.Sub(s.LoadAt) <= s.seenFor() {
		return s.Sent + s.seenOthers(now)
	}
	if s.HasLoad {
		net, _ := s.recent.Since(now, s.LoadAt)
		reported := s.Load.Running + s.Load.Queued - (s.Sent - net)
		if more := reported - others; more > 0 {
			others += int(math.Ceil(s.trust(now) * float64(more)))
		}
	}
	return s.Sent + others
}

// trust returns how far the newest report counts, from 1 to 0.
func (s *State) trust(now ident.Time) float64 {
	age := now.Sub(s.LoadAt)
	if age <= trustFull {
		return 1
	}
	if age >= trustEnd {
		return 0
	}
	return float64(trustEnd-age) / float64(trustEnd-trustFull)
}

// Report replaces the report in use by one that was made at a time.
func (s *State) Report(ld event.Load, at ident.Time) {
	s.Load, s.LoadAt, s.HasLoad = ld, at, true
}

// Seen merges the load that an answer of the target carried.
func (s *State) Seen(now ident.Time, running, queued, slots int) {
	s.Load.Target, s.Load.Incarnation = s.ID, s.Incarnation
	s.Load.Running, s.Load.Queued = running, queued
	if slots > 0 {
		s.Load.Slots = slots
	}
	s.LoadAt, s.HasLoad = now, true
	s.othersSeen = max(0, running+queued-s.Sent)
	s.others += othersWeight * (float64(s.othersSeen) - s.others)
}

// Use of the load that comes with an answer.
const (
	// othersWeight is the weight of one answer in the smoothed number of
	// requests of other hosts.
	othersWeight = 0.25
	// seenLong is the age up to which the load of an answer counts more than
	// the digests of peers where requests take long, seenShort where the
	// smoothed number does because they are over within brief.
	seenLong  = 500 * time.Millisecond
	seenShort = 3 * time.Second
	brief     = 200 * time.Millisecond
)

// seenFor is how long the load that came with an answer is of use.
func (s *State) seenFor() time.Duration {
	if s.run > 0 && s.run < brief {
		return seenShort
	}
	return seenLong
}

// seenOthers estimates the requests of other hosts at a target by the loads in its answers. The
// newest one decays towards the usual number at the pace of the service, since short calls
// end long before the next answer.
func (s *State) seenOthers(now ident.Time) int {
	if s.run <= 0 {
		return s.othersSeen
	}
	left := math.Exp(-float64(now.Sub(s.LoadAt)) / float64(s.run))
	return int(math.Round(s.others + left*(float64(s.othersSeen)-s.others)))
}

// Run returns the usual time of a request of the target's service, zero where that is
// not known.
func (s *State) Run() time.Duration { return s.run }

// Held returns the prompts of the requests at the target that have not ended, of all
// hosts, in tokens.
func (s *State) Held() ident.Tokens { return s.SentTokens + s.PeerTokens }
