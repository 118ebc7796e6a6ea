package serve

import (
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// errAnswerTooLarge ends an attempt whose answer is too large for its buffer.
var errAnswerTooLarge = errors.New("serve: answer is too large to buffer")

// BufferedAnswer is an answer in memory, kept until it is complete or for a repeat of its request.
type BufferedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (a *BufferedAnswer) appendBody(b []byte, limit ident.Bytes) error {
	if ident.Bytes(len(a.Body)+len(b)) > limit {
		return errAnswerTooLarge
	}
	a.Body = append(a.Body, b...)
	return nil
}

// size returns the size of the answer as counted by AnswerCache. The fixed part accounts for the
// maps and the id, so that the number of empty answers is bounded too.
func (a *BufferedAnswer) size() int {
	const overhead = 1 << 10
	n := overhead + len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// maxStoredAnswer bounds the size of one stored answer, and maxStoredTotal the size of all of them.
const (
	maxStoredAnswer = 64 << 10
	maxStoredTotal  = 32 << 20
)

// AnswerCache stores answers for repeats of their requests, in bounded memory. The reducer decides
// when an answer is deleted. The zero AnswerCache is empty and ready to use.
type AnswerCache struct {
	mu      sync.Mutex
	answers map[ident.RequestID]BufferedAnswer
	size    int
}

// Put stores an answer and reports whether there was room for it.
func (c *AnswerCache) Put(id ident.RequestID, a BufferedAnswer) bool {
	n := a.size()
	if n > maxStoredAnswer {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleteLocked(id)
	if c.size+n > maxStoredTotal {
		return false
	}
	if c.answers == nil {
		c.answers = make(map[ident.RequestID]BufferedAnswer)
	}
	c.answers[id] = a
	c.size += n
	return true
}

// Get returns a stored answer.
func (c *AnswerCache) Get(id ident.RequestID) (BufferedAnswer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.answers[id]
	return a, ok
}

// Delete removes a stored answer.
func (c *AnswerCache) Delete(id ident.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleteLocked(id)
}

func (c *AnswerCache) deleteLocked(id ident.RequestID) {
	a, ok := c.answers[id]
	if !ok {
		return
	}
	delete(c.answers, id)
	c.size -= a.size()
}
