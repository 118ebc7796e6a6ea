package serve

import (
	"sync/atomic"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Budget bounds the memory of all bodies and held answers of one host.
// Bounds on each body alone don't do it: a flood of bodies that are each
// allowed would end the process for want of memory, and with it every request
// in flight. The zero Budget has no bound.
type Budget struct {
	limit ident.Bytes
	used  atomic.Int64
}

// NewBudget returns a budget of the given size.
func NewBudget(most ident.Bytes) *Budget { return &Budget{limit: most} }

// Reserve takes n bytes and reports whether there was room.
func (b *Budget) Reserve(n int) bool {
	if b == nil {
		return true
	}
	now := b.used.Add(int64(n))
	if b.limit > 0 && now > int64(b.limit) {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release returns n bytes.
func (b *Budget) Release(n int) {
	if b != nil {
		b.used.Add(int64(-n))
	}
}

// Used returns the bytes in use.
func (b *Budget) Used() ident.Bytes {
	if b == nil {
		return 0
	}
	return ident.Bytes(b.used.Load())
}
