package peer

import (
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// item is one control message that waits to be sent.
type item struct {
	frame []byte
	// ages marks a message that is of no use when it is late: the next one
	// replaces it, and the ages in it would be wrong.
	ages bool
	at   ident.Time
}

// queue is a bounded queue of control messages. A peer that reads slowly, or
// not at all, must neither hold up the reducer nor fill the memory, so what
// is too much is dropped: the oldest digest first, which the next one
// replaces anyway.
type queue struct {
	most  int
	items []item
}

// push adds an item and returns the one that is lost for it.
func (q *queue) push(it item) (item, bool) {
	if len(q.items) < q.most {
		q.items = append(q.items, it)
		return item{}, false
	}
	n := slices.IndexFunc(q.items, func(x item) bool { return x.ages })
	if n < 0 {
		return it, true
	}
	lost := q.items[n]
	q.items = append(slices.Delete(q.items, n, n+1), it)
	return lost, true
}

func (q *queue) pop() (item, bool) {
	if len(q.items) == 0 {
		return item{}, false
	}
	it := q.items[0]
	q.items = slices.Delete(q.items, 0, 1)
	return it, true
}

// lost counts a message that was not sent.
func (m *Mesh) lost(it item) {
	if it.ages {
		m.cnt.digestsDropped.Inc(1)
		return
	}
	m.cnt.messagesDropped.Inc(1)
}
