package peer

import (
	"slices"

	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// item is a queued control message.
type item struct {
	frame []byte
	// book is set instead of frame for a snapshot. Encoding it takes much time and memory, so
	// the sender does it when the item is next.
	book *rules.Book
	// expires marks a message that is useless when late: the next one replaces it, and the ages
	// that it states would be wrong.
	expires  bool
	queuedAt ident.Time
}

// queue is a bounded queue of control messages. A peer that reads slowly or not at all must
// neither block the reducer nor exhaust the memory. When the queue is full, the oldest expiring
// message is dropped, since the next one replaces it anyway.
type queue struct {
	maxItems int
	items    []item
}

// push adds an item. If the queue is full, it returns the item that was dropped: the oldest
// expiring one, or else the new item itself.
func (q *queue) push(it item) (item, bool) {
	if len(q.items) < q.maxItems {
		q.items = append(q.items, it)
		return item{}, false
	}
	n := slices.IndexFunc(q.items, func(x item) bool { return x.expires })
	if n < 0 {
		return it, true
	}
	dropped := q.items[n]
	q.items = append(slices.Delete(q.items, n, n+1), it)
	return dropped, true
}

func (q *queue) pop() (item, bool) {
	if len(q.items) == 0 {
		return item{}, false
	}
	it := q.items[0]
	q.items = slices.Delete(q.items, 0, 1)
	return it, true
}

// itemFrame returns the encoded frame of an item.
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
