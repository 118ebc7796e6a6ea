package serve

import (
	"sync/atomic"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Budget bounds the total memory of the bodies and buffered answers of one host. A limit on each
// body is not enough: a flood of bodies that are each within the limit would exhaust the memory of
// the process and end it with every request in flight. The zero Budget has no limit.
type Budget struct {
	limit ident.Bytes
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes; zero means no limit.
func NewBudget(limit ident.Bytes) *Budget { return &Budget{limit: limit} }

const (
	// bodyRatio is the part of a budget that bodies may use up. The rest is left to answers: a request that has run
	// must not lose its answer to bodies that are arriving.
	bodyRatio = 0.8
	// maxSmallAnswer is the size up to which an answer may use the whole budget, largeAnswerRatio the part of it
	// that is open to longer ones. Targets that send without end thus leave room for the bodies of other
	// requests, and for most answers.
	maxSmallAnswer   = 64 << 10
	largeAnswerRatio = 0.4
)

// Reserve reserves n bytes for an answer and reports whether they were available.
func (b *Budget) Reserve(n int) bool { return b.reserve(n, 1) }

// ReserveLarge reserves n bytes for an answer that is longer than maxSmallAnswer and reports whether they were
// available.
func (b *Budget) ReserveLarge(n int) bool { return b.reserve(n, largeAnswerRatio) }

// ReserveBody reserves n bytes for the body of a request and reports whether they were available.
func (b *Budget) ReserveBody(n int) bool { return b.reserve(n, bodyRatio) }

// reserve reserves n bytes of a part of the budget.
func (b *Budget) reserve(n int, ratio float64) bool {
	if b == nil {
		return true
	}
	used := b.used.Add(int64(n))
	if b.limit > 0 && float64(used) > ratio*float64(b.limit) {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int) {
	if b != nil {
		b.used.Add(int64(-n))
	}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() ident.Bytes {
	if b == nil {
		return 0
	}
	return ident.Bytes(b.used.Load())
}
