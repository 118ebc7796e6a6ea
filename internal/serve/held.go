package serve

import (
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// errAnswerTooLarge ends an attempt whose answer can't be held whole.
var errAnswerTooLarge = errors.New("serve: the answer is too large to hold")

// Held is an answer that waits: until it is whole, or for a repeat.
type Held struct {
	Status int
	Header http.Header
	Body   []byte
}

func (h *Held) add(b []byte, most ident.Bytes) error {
	if ident.Bytes(len(h.Body)+len(b)) > most {
		return errAnswerTooLarge
	}
	h.Body = append(h.Body, b...)
	return nil
}

// size is the memory that a kept answer is counted with. The fixed part
// stands for the maps and the id, so that empty answers can't pile up.
func (h *Held) size() int {
	const fixed = 1 << 10
	n := fixed + len(h.Body)
	for k, vs := range h.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// maxKept bounds one kept answer, and keptBytes all of them.
const (
	maxKept   = 64 << 10
	keptBytes = 32 << 20
)

// Outcomes keeps answers for repeats, in bounded memory. The reducer says when
// one is to be forgotten. The zero Outcomes is empty and ready.
type Outcomes struct {
	mu   sync.Mutex
	kept map[ident.RequestID]Held
	size int
}

// Keep stores an answer and reports whether there was room for it.
func (o *Outcomes) Keep(id ident.RequestID, h Held) bool {
	n := h.size()
	if n > maxKept {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(id)
	if o.size+n > keptBytes {
		return false
	}
	if o.kept == nil {
		o.kept = make(map[ident.RequestID]Held)
	}
	o.kept[id] = h
	o.size += n
	return true
}

// Get returns a kept answer.
func (o *Outcomes) Get(id ident.RequestID) (Held, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.kept[id]
	return h, ok
}

// Forget drops a kept answer.
func (o *Outcomes) Forget(id ident.RequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(id)
}

func (o *Outcomes) forget(id ident.RequestID) {
	h, ok := o.kept[id]
	if !ok {
		return
	}
	delete(o.kept, id)
	o.size -= h.size()
}
