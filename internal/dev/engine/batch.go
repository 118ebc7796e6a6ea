package engine

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// sequence is one request in the engine.
type sequence struct {
	priority int
	order    int
	// pendingPrefill is the prompt that is not yet computed.
	pendingPrefill ident.Tokens
	// nextToken is the token that comes nextToken, endToken the number of tokens in all.
	nextToken, endToken int
	// out takes the tokens; it has room for all, so that a slow reader does
	// not hold up the batch.
	out chan int
	// cancelled says that the reader has left.
	cancelled bool
}

// batch is what the engine works on, step by step.
type batch struct {
	running   []*sequence
	waiting   []*sequence
	lastOrder int
	nextStep  ident.Time
}

// maxPrefillChunk is how many prompt tokens one step computes at most, so that long
// prompts don't stop the streams that run.
const maxPrefillChunk = 512

func (b *batch) add(s *sequence) {
	b.lastOrder++
	s.order = b.lastOrder
	b.waiting = append(b.waiting, s)
	slices.SortFunc(b.waiting, func(x, y *sequence) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.order, y.order))
	})
}

// admit fills the free slots and drops what was cancelled.
func (b *batch) admit(slots int) {
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.cancelled })
	b.waiting = slices.DeleteFunc(b.waiting, func(s *sequence) bool { return s.cancelled })
	n := min(slots-len(b.running), len(b.waiting))
	if n <= 0 {
		return
	}
	b.running = append(b.running, b.waiting[:n]...)
	b.waiting = slices.Clone(b.waiting[n:])
}

// prefill computes prompts and returns how many tokens it did.
func (b *batch) prefill() ident.Tokens {
	room := ident.Tokens(maxPrefillChunk)
	for _, s := range b.running {
		n := min(s.pendingPrefill, room)
		s.pendingPrefill -= n
		room -= n
	}
	return maxPrefillChunk - room
}

// decode gives each stream whose prompt is computed one token.
func (b *batch) decode() {
	left := b.running[:0]
	for _, s := range b.running {
		if s.pendingPrefill > 0 {
			left = append(left, s)
			continue
		}
		s.out <- s.nextToken
		s.nextToken++
		if s.nextToken < s.endToken {
			left = append(left, s)
			continue
		}
		close(s.out)
	}
	clear(b.running[len(left):])
	b.running = left
}

func (b *batch) pendingPrefill() ident.Tokens {
	sum := ident.Tokens(0)
	for _, s := range b.running {
		sum += s.pendingPrefill
	}
	for _, s := range b.waiting {
		sum += s.pendingPrefill
	}
	return sum
}
