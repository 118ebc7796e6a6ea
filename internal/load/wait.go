package load

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Wait predicts the time until a new request starts, with the given number of
// requests before it at the target and the given share of its slots.
func (s *State) Wait(now ident.Time, before int, share float64) time.Duration {
	slots := max(1, int(math.Ceil(share*float64(s.Slots()))))
	return max(s.prefillWait(now, before), s.slotWait(before, slots))
}

// slotWait is the time until a slot is free, with slots that free evenly.
func (s *State) slotWait(before, slots int) time.Duration {
	if before < slots {
		return 0
	}
	turns := float64(before-slots+1) / float64(slots)
	return time.Duration(turns * float64(s.serviceTime()))
}

// serviceTime is the time that one request holds a slot. A request is estimated to generate half
// of the most that it may.
func (s *State) serviceTime() time.Duration {
	if s.run > 0 {
		return s.run
	}
	if s.Sent == 0 || s.Load.DecodeRate <= 0 {
		return defaultDecode
	}
	each := float64(s.SentGenerated) / float64(s.Sent) / 2
	return seconds(each / s.Load.DecodeRate)
}

// prefillWait is the time that the prefill work before a new request takes.
func (s *State) prefillWait(now ident.Time, before int) time.Duration {
	if s.Load.PrefillRate <= 0 {
		return 0
	}
	if s.Capacity > 0 {
		return seconds(float64(s.Unread+s.PeerUnread) / s.Load.PrefillRate)
	}
	trust := s.trust(now)
	_, sent := s.recent.Since(now, s.LoadAt)
	drained := now.Sub(s.LoadAt).Seconds() * s.Load.PrefillRate
	reported := max(0, float64(s.Load.QueuedTokens)+float64(sent)-drained)
	known := 0.0
	if queued := before - s.Slots(); queued > 0 && before > 0 {
		known = float64(s.SentTokens+s.PeerTokens) * float64(queued) / float64(before)
	}
	own := s.ahead.left(now, s.Load.PrefillRate)
	return seconds(max(own, trust*reported+(1-trust)*known) / s.Load.PrefillRate)
}

// busyWait is the wait for the first token at which a target counts as full
// when spare capacity is counted. An engine with long prompts has free slots
// long after its time to a first token has become that of an overload.
const busyWait = 300 * time.Millisecond

// Free returns the places of a target that new work may take, with the given
// number of requests there and the given part of its room.
func (s *State) Free(now ident.Time, out int, room float64) int {
	n := max(0, s.Slots()-out)
	if s.Capacity == 0 {
		return n
	}
	wait := min(s.prefillWait(now, out), busyWait)
	return int(room * float64(n) * (1 - float64(wait)/float64(busyWait)))
}

// ahead is the prefill work that this host has sent and that is not done yet.
//
// A report is up to a second old and does not show what was sent since, so that this
// follows each send.
type ahead struct {
	tokens float64
	at     ident.Time
}

func (a ahead) left(now ident.Time, rate float64) float64 {
	return max(0, a.tokens-now.Sub(a.at).Seconds()*rate)
}

func (a *ahead) add(now ident.Time, tokens ident.Tokens, rate float64) {
	if rate <= 0 {
		return
	}
	a.tokens = a.left(now, rate) + float64(tokens)
	a.at = now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
