package member

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Wait predicts the time until a new request starts, with the given number of
// requests before it at the target and the given share of its slots.
func (t *Target) Wait(now ident.Time, before int, share float64) time.Duration {
	slots := max(1, int(math.Ceil(share*float64(t.Slots()))))
	return max(t.prefillWait(now, before), t.slotWait(before, slots))
}

// slotWait is the time until a slot is free, with slots that free evenly.
func (t *Target) slotWait(before, slots int) time.Duration {
	if before < slots {
		return 0
	}
	turns := float64(before-slots+1) / float64(slots)
	return time.Duration(turns * float64(t.serviceTime()))
}

// serviceTime is the time that one request holds a slot. A request is estimated to generate half
// of the most that it may.
func (t *Target) serviceTime() time.Duration {
	if t.run > 0 {
		return t.run
	}
	if t.Sent == 0 || t.Load.DecodeRate <= 0 {
		return defaultDecode
	}
	each := float64(t.SentGenerated) / float64(t.Sent) / 2
	return seconds(each / t.Load.DecodeRate)
}

// prefillWait is the time that the prefill work before a new request takes.
func (t *Target) prefillWait(now ident.Time, before int) time.Duration {
	if t.Load.PrefillRate <= 0 {
		return 0
	}
	if t.Capacity > 0 {
		return seconds(float64(t.Unread+t.PeerUnread) / t.Load.PrefillRate)
	}
	trust := t.trust(now)
	_, sent := t.recent.since(now, t.LoadAt)
	drained := now.Sub(t.LoadAt).Seconds() * t.Load.PrefillRate
	reported := max(0, float64(t.Load.QueuedTokens)+float64(sent)-drained)
	known := 0.0
	if queued := before - t.Slots(); queued > 0 && before > 0 {
		known = float64(t.SentTokens+t.PeerTokens) * float64(queued) / float64(before)
	}
	own := t.ahead.left(now, t.Load.PrefillRate)
	return seconds(max(own, trust*reported+(1-trust)*known) / t.Load.PrefillRate)
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
