package serve

import (
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// errAnswerTooLarge ends an attempt whose answer can't be held whole.
var errAnswerTooLarge = errors.New("serve: the answer is too large to hold")

// BufferedAnswer is an answer that waits: until it is whole, or for a repeat.
type BufferedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (h *BufferedAnswer) append(b []byte, most ident.Bytes) error {
	if ident.Bytes(len(h.Body)+len(b)) > most {
		return errAnswerTooLarge
	}
	h.Body = append(h.Body, b...)
	return nil
}

// size is the memory that a kept answer is counted with. The fixed part
// stands for the maps and the id, so that empty answers can't pile up.
func (h *BufferedAnswer) size() int {
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

// maxKeptAnswer bounds one kept answer, and maxKeptTotal all of them.
const (
	maxKeptAnswer = 64 << 10
	maxKeptTotal  = 32 << 20
)

// AnswerCache keeps answers for repeats, in bounded memory. The reducer says when
// one is to be forgotten. The zero AnswerCache is empty and ready.
type AnswerCache struct {
	mu      sync.Mutex
	answers map[ident.RequestID]BufferedAnswer
	size    int
}

// Put stores an answer and reports whether there was room for it.
func (o *AnswerCache) Put(id ident.RequestID, h BufferedAnswer) bool {
	n := h.size()
	if n > maxKeptAnswer {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deleteLocked(id)
	if o.size+n > maxKeptTotal {
		return false
	}
	if o.answers == nil {
		o.answers = make(map[ident.RequestID]BufferedAnswer)
	}
	o.answers[id] = h
	o.size += n
	return true
}

// Get returns a kept answer.
func (o *AnswerCache) Get(id ident.RequestID) (BufferedAnswer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.answers[id]
	return h, ok
}

// Delete drops a kept answer.
func (o *AnswerCache) Delete(id ident.RequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deleteLocked(id)
}

func (o *AnswerCache) deleteLocked(id ident.RequestID) {
	h, ok := o.answers[id]
	if !ok {
		return
	}
	delete(o.answers, id)
	o.size -= h.size()
}
