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
	most  ident.Bytes
	taken atomic.Int64
}

// NewBudget returns a budget of the given size.
func NewBudget(most ident.Bytes) *Budget { return &Budget{most: most} }

// Take takes n bytes and reports whether there was room.
func (b *Budget) Take(n int) bool {
	if b == nil {
		return true
	}
	now := b.taken.Add(int64(n))
	if b.most > 0 && now > int64(b.most) {
		b.taken.Add(int64(-n))
		return false
	}
	return true
}

// Give returns n bytes.
func (b *Budget) Give(n int) {
	if b != nil {
		b.taken.Add(int64(-n))
	}
}

// Taken returns the bytes in use.
func (b *Budget) Taken() ident.Bytes {
	if b == nil {
		return 0
	}
	return ident.Bytes(b.taken.Load())
}
