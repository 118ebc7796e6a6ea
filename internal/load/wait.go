package load

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Wait predicts the time until a new request starts, with the given number of requests ahead of it
// at the target and the given share of the target's slots.
func (s *State) Wait(now ident.Time, ahead int, share float64) time.Duration {
	slots := max(1, int(math.Ceil(share*float64(s.Slots()))))
	return max(s.prefillWait(now, ahead), s.slotWait(ahead, slots))
}

// slotWait returns the time until a slot is free, assuming that slots become free at even
// intervals.
func (s *State) slotWait(ahead, slots int) time.Duration {
	if ahead < slots {
		return 0
	}
	rounds := float64(ahead-slots+1) / float64(slots)
	return time.Duration(rounds * float64(s.expectedRequestTime()))
}

// expectedRequestTime returns how long one request is expected to occupy a slot. A request is
// assumed to generate half of the tokens that its limit allows.
func (s *State) expectedRequestTime() time.Duration {
	if s.requestTime > 0 {
		return s.requestTime
	}
	if s.InFlight == 0 || s.Load.DecodeRate <= 0 {
		return defaultRequestTime
	}
	perRequest := float64(s.InFlightMaxGenerated) / float64(s.InFlight) / 2
	return seconds(perRequest / s.Load.DecodeRate)
}

// prefillWait returns the time that the prefill work ahead of a new request takes.
func (s *State) prefillWait(now ident.Time, ahead int) time.Duration {
	if s.Load.PrefillRate <= 0 {
		return 0
	}
	if s.Capacity > 0 {
		return seconds(float64(s.PendingPrefill+s.PeerPendingPrefill) / s.Load.PrefillRate)
	}
	weight := s.reportWeight(now)
	_, sent := s.sends.Since(now, s.LoadAt)
	drained := now.Sub(s.LoadAt).Seconds() * s.Load.PrefillRate
	reported := max(0, float64(s.Load.QueuedTokens)+float64(sent)-drained)
	known := 0.0
	if queued := ahead - s.Slots(); queued > 0 && ahead > 0 {
		known = float64(s.InFlightTokens+s.PeerInFlightTokens) * float64(queued) / float64(ahead)
	}
	own := s.backlog.remaining(now, s.Load.PrefillRate)
	return seconds(max(own, weight*reported+(1-weight)*known) / s.Load.PrefillRate)
}

// saturationWait is the wait for the first token at which a target counts as full in the
// calculation of spare capacity. An engine with long prompts still has free slots long after its
// time to first token has reached that of an overload.
const saturationWait = 300 * time.Millisecond

// Free returns the number of slots of a target that new work may take, with the given number of
// outstanding requests and the given fraction of its spare capacity that may be used.
func (s *State) Free(now ident.Time, outstanding int, fraction float64) int {
	n := max(0, s.Slots()-outstanding)
	if s.Capacity == 0 {
		return n
	}
	wait := min(s.prefillWait(now, outstanding), saturationWait)
	return int(fraction * float64(n) * (1 - float64(wait)/float64(saturationWait)))
}

// prefillBacklog is the prefill work that this host has sent to a target and that is not done yet.
//
// A report is up to a second old and does not cover what was sent after it, so the backlog is
// updated on each send.
type prefillBacklog struct {
	tokens float64
	at     ident.Time
}

func (b prefillBacklog) remaining(now ident.Time, rate float64) float64 {
	return max(0, b.tokens-now.Sub(b.at).Seconds()*rate)
}

func (b *prefillBacklog) add(now ident.Time, tokens ident.Tokens, rate float64) {
	if rate <= 0 {
		return
	}
	b.tokens = b.remaining(now, rate) + float64(tokens)
	b.at = now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
