package peer

import (
	"slices"

	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// item is one control message that waits to be sent.
type item struct {
	frame []byte
	// book stands for the frame of a snapshot. Its encoding takes long and
	// much memory, so that it is left to the sender and its turn.
	book *rules.Book
	// expires marks a message that is of no use when it is late: the next one
	// replaces it, and the expires in it would be wrong.
	expires  bool
	queuedAt ident.Time
}

// queue is a bounded queue of control messages. A peer that reads slowly, or
// not at all, must neither hold up the reducer nor fill the memory, so what
// is too much is dropped: the oldest digest first, which the next one
// replaces anyway.
type queue struct {
	maxItems int
	items    []item
}

// push adds an item and returns the one that is lost for it.
func (q *queue) push(it item) (item, bool) {
	if len(q.items) < q.maxItems {
		q.items = append(q.items, it)
		return item{}, false
	}
	n := slices.IndexFunc(q.items, func(x item) bool { return x.expires })
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

// itemFrame returns the bytes of an item.
func (m *Mesh) itemFrame(it item) ([]byte, bool) {
	if it.book == nil {
		return it.frame, true
	}
	snap, err := wire.FromBook(it.book)
	if err != nil {
		m.cfg.Log.Error(err, "snapshot not sent", "revision", it.book.Revision)
		m.counters.messagesDropped.Inc(1)
		return nil, false
	}
	return m.encode(&wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: snap}})
}

// countDropped counts a message that was not sent.
func (m *Mesh) countDropped(it item) {
	if it.expires {
		m.counters.digestsDropped.Inc(1)
		return
	}
	m.counters.messagesDropped.Inc(1)
}
