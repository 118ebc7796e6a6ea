package engine

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// seq is one request in the engine.
type seq struct {
	priority int
	order    int
	// left is the prompt that is not yet computed.
	left ident.Tokens
	// next is the token that comes next, last the number of tokens in all.
	next, last int
	// out takes the tokens; it has room for all, so that a slow reader does
	// not hold up the batch.
	out chan int
	// gone says that the reader has left.
	gone bool
}

// batch is what the engine works on, step by step.
type batch struct {
	running []*seq
	waiting []*seq
	order   int
	next    ident.Time
}

// chunk is how many prompt tokens one step computes at most, so that long
// prompts don't stop the streams that run.
const chunk = 512

func (b *batch) add(s *seq) {
	b.order++
	s.order = b.order
	b.waiting = append(b.waiting, s)
	slices.SortFunc(b.waiting, func(x, y *seq) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.order, y.order))
	})
}

// admit fills the free slots and drops what was cancelled.
func (b *batch) admit(slots int) {
	b.running = slices.DeleteFunc(b.running, func(s *seq) bool { return s.gone })
	b.waiting = slices.DeleteFunc(b.waiting, func(s *seq) bool { return s.gone })
	n := min(slots-len(b.running), len(b.waiting))
	if n <= 0 {
		return
	}
	b.running = append(b.running, b.waiting[:n]...)
	b.waiting = slices.Clone(b.waiting[n:])
}

// prefill computes prompts and returns how many tokens it did.
func (b *batch) prefill() ident.Tokens {
	room := ident.Tokens(chunk)
	for _, s := range b.running {
		n := min(s.left, room)
		s.left -= n
		room -= n
	}
	return chunk - room
}

// decode gives each stream whose prompt is computed one token.
func (b *batch) decode() {
	left := b.running[:0]
	for _, s := range b.running {
		if s.left > 0 {
			left = append(left, s)
			continue
		}
		s.out <- s.next
		s.next++
		if s.next < s.last {
			left = append(left, s)
			continue
		}
		close(s.out)
	}
	clear(b.running[len(left):])
	b.running = left
}

func (b *batch) waitingTokens() ident.Tokens {
	sum := ident.Tokens(0)
	for _, s := range b.running {
		sum += s.left
	}
	for _, s := range b.waiting {
		sum += s.left
	}
	return sum
}
