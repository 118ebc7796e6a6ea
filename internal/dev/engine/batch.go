package engine

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// sequence is one request in the batch or its queue.
type sequence struct {
	priority int
	order    int
	// pendingPrefill is the number of prompt tokens that are not yet computed.
	pendingPrefill ident.Tokens
	// nextToken is the index of the next token; generation stops before endToken.
	nextToken, endToken int
	// out receives the token indexes. Its capacity fits all tokens, so that a slow
	// reader does not block the batch.
	out chan int
	// cancelled is set once the reader has disconnected.
	cancelled bool
}

// batch is the state of continuous batching.
type batch struct {
	running   []*sequence
	waiting   []*sequence
	lastOrder int
	nextStep  ident.Time
}

// maxPrefillChunk is the maximum number of prompt tokens per step, so that long
// prompts don't block running streams.
const maxPrefillChunk = 512

func (b *batch) add(s *sequence) {
	b.lastOrder++
	s.order = b.lastOrder
	b.waiting = append(b.waiting, s)
	slices.SortFunc(b.waiting, func(x, y *sequence) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.order, y.order))
	})
}

// admit removes cancelled requests and moves queued ones to the free slots.
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

// prefill computes up to maxPrefillChunk prompt tokens and returns their number.
func (b *batch) prefill() ident.Tokens {
	budget := ident.Tokens(maxPrefillChunk)
	for _, s := range b.running {
		n := min(s.pendingPrefill, budget)
		s.pendingPrefill -= n
		budget -= n
	}
	return maxPrefillChunk - budget
}

// decode generates one token for each sequence whose prompt is computed.
func (b *batch) decode() {
	unfinished := b.running[:0]
	for _, s := range b.running {
		if s.pendingPrefill > 0 {
			unfinished = append(unfinished, s)
			continue
		}
		s.out <- s.nextToken
		s.nextToken++
		if s.nextToken < s.endToken {
			unfinished = append(unfinished, s)
			continue
		}
		close(s.out)
	}
	clear(b.running[len(unfinished):])
	b.running = unfinished
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
