// Package load estimates how busy targets are and how long new work would wait there.
//
// # Usage
//
//	var services load.Services
//	st := load.State{Target: target}
//	st.AddRequest(now, prompt, generated)
//	st.AddPrefill(now, uncached)
//	services.ObserveFirstToken(&st, uncached, 0, took)
//	wait := st.Wait(now, st.Outstanding(now), 1)
//
// A State combines three sources for one target: the target's own reports, which lag; the requests
// of this host, which are known exactly; and the requests of the other hosts, taken from their
// digests. Services holds typical values for each service, which are used for targets that this
// host has not measured.
//
// The package knows nothing of hosts, lists or other data centres and reads no clock. Its types
// are not safe for concurrent use.
package load

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Defaults, and the ages that bound the use of load reports.
const (
	// fullTrustAge is the age up to which a load report has full weight, maxReportAge the age from
	// which on it has none. Beyond it the estimate rests on the requests that the hosts are known
	// to have sent.
	fullTrustAge = 2 * time.Second
	maxReportAge = 10 * time.Second
	// defaultSlots is the number of slots assumed for targets that report no load.
	defaultSlots = 4
	// defaultRequestTime is the request time assumed for a target without measurements.
	defaultRequestTime = 2 * time.Second
)

// State is a target with its load as this host estimates it. A target with a Capacity reports its
// load in its answers; any other is polled.
type State struct {
	event.Target
	// Load is the newest report. LoadAt is the time at which the target made it, computed from the
	// age that the report gives. HasLoad is false until the first report.
	Load    event.Load
	LoadAt  ident.Time
	HasLoad bool
	// InFlight counts the requests that this host has sent and that have not ended. InFlightTokens
	// is their prefill work, InFlightMaxGenerated the sum of their limits on generated tokens.
	InFlight             int
	InFlightTokens       ident.Tokens
	InFlightMaxGenerated ident.Tokens
	// PeerInFlight and PeerInFlightTokens are the same for the other hosts of the data centre,
	// taken from their digests.
	PeerInFlight       int
	PeerInFlightTokens ident.Tokens
	// PendingPrefill is the number of prompt tokens that the target has to prefill for requests of
	// this host whose first token has not arrived. PeerPendingPrefill is the same for the other
	// hosts.
	PendingPrefill     ident.Tokens
	PeerPendingPrefill ident.Tokens

	// hasPrefillRate is true once this host has measured the prefill rate of the target.
	hasPrefillRate bool
	// requestTime is the typical duration of a request of the target's service, zero if unknown.
	requestTime time.Duration
	// smoothedOthers is the moving average of the number of requests of other hosts, derived from
	// the load in answers; lastOthers is the newest sample.
	smoothedOthers float64
	lastOthers     int

	// pace is the pace of the streams that this host has at the target.
	pace Pace

	sends   SendWindow
	backlog prefillBacklog
}

// AfterRestart returns the state for a new incarnation of the target: no requests, and the typical
// request time of its service.
func (s *State) AfterRestart(d event.Target) State {
	return State{Target: d, requestTime: s.requestTime}
}

// Slots returns how many requests the target runs concurrently.
func (s *State) Slots() int {
	if s.HasLoad && s.Load.Slots > 0 {
		return s.Load.Slots
	}
	if s.Capacity > 0 {
		return s.Capacity
	}
	return defaultSlots
}

// Outstanding estimates the requests of all senders that are at the target now.
//
// A report lags, while the requests of this host are known exactly. So the report serves only to
// estimate the requests of other hosts: its total less the requests that this host had at the
// target when the report was made. The counts in the digests of the peers are a lower bound, except
// while the load in a recent answer takes precedence over them.
func (s *State) Outstanding(now ident.Time) int {
	others := s.PeerInFlight
	if s.Capacity > 0 && s.HasLoad && now.Sub(s.LoadAt) <= s.answerLoadTTL() {
		return s.InFlight + s.othersInFlight(now)
	}
	if s.HasLoad {
		net, _ := s.sends.Since(now, s.LoadAt)
		reported := s.Load.Running + s.Load.Queued - (s.InFlight - net)
		if excess := reported - others; excess > 0 {
			others += int(math.Ceil(s.reportWeight(now) * float64(excess)))
		}
	}
	return s.InFlight + others
}

// reportWeight returns the weight of the newest report by its age, from 1 down to 0.
func (s *State) reportWeight(now ident.Time) float64 {
	age := now.Sub(s.LoadAt)
	if age <= fullTrustAge {
		return 1
	}
	if age >= maxReportAge {
		return 0
	}
	return float64(maxReportAge-age) / float64(maxReportAge-fullTrustAge)
}

// SetReport replaces the current report by one that was made at the given time.
func (s *State) SetReport(ld event.Load, at ident.Time) {
	s.Load, s.LoadAt, s.HasLoad = ld, at, true
}

// ObserveAnswer merges the load that the target sent with an answer.
func (s *State) ObserveAnswer(now ident.Time, running, queued, slots int) {
	s.Load.Target, s.Load.Incarnation = s.ID, s.Incarnation
	s.Load.Running, s.Load.Queued = running, queued
	if slots > 0 {
		s.Load.Slots = slots
	}
	s.LoadAt, s.HasLoad = now, true
	s.lastOthers = max(0, running+queued-s.InFlight)
	s.smoothedOthers += othersWeight * (float64(s.lastOthers) - s.smoothedOthers)
}

// Evaluation of the load that targets send with their answers.
const (
	// othersWeight is the weight of one answer in the moving average of the requests of other
	// hosts.
	othersWeight = 0.25
	// longRequestLoadTTL is the age up to which the load of an answer takes precedence over the
	// digests of the peers if requests take long. Requests that are shorter than shortRequestTime
	// use shortRequestLoadTTL: the moving average remains a good estimate for that long.
	longRequestLoadTTL  = 500 * time.Millisecond
	shortRequestLoadTTL = 3 * time.Second
	shortRequestTime    = 200 * time.Millisecond
)

// answerLoadTTL returns the age up to which the load of an answer is used.
func (s *State) answerLoadTTL() time.Duration {
	if s.requestTime > 0 && s.requestTime < shortRequestTime {
		return shortRequestLoadTTL
	}
	return longRequestLoadTTL
}

// othersInFlight estimates the requests of other hosts at the target from the loads in its answers.
// The newest sample decays towards the moving average within about one request time, because short
// calls end long before the next answer.
func (s *State) othersInFlight(now ident.Time) int {
	if s.requestTime <= 0 {
		return s.lastOthers
	}
	decay := math.Exp(-float64(now.Sub(s.LoadAt)) / float64(s.requestTime))
	return int(math.Round(s.smoothedOthers + decay*(float64(s.lastOthers)-s.smoothedOthers)))
}

// RequestTime returns the typical duration of a request of the target's service, zero if unknown.
func (s *State) RequestTime() time.Duration { return s.requestTime }

// OutstandingTokens returns the prompt tokens of the requests of all hosts that are at the target.
func (s *State) OutstandingTokens() ident.Tokens { return s.InFlightTokens + s.PeerInFlightTokens }
