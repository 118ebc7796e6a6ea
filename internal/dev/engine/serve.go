package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// completionRequest holds the fields of a request that the engine uses.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

func (r completionRequest) prompt() []byte { return append([]byte(r.Messages), r.Prompt...) }

// bytesPerToken is the approximate length of a token.
const bytesPerToken = 4

// Token returns token n of the answer to a prompt.
func Token(prompt []byte, n int) string {
	return fmt.Sprintf(" w%x", (xxhash.Sum64(prompt)+uint64(n)*7919)&0xffff)
}

// Text returns the complete answer of n tokens to a prompt.
func Text(prompt []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if !e.hasModel(req.Model) {
		http.Error(w, "model not loaded", http.StatusNotFound)
		return
	}
	own := source{
		attempt: r.Header.Get(target.HeaderAttempt), id: ident.RequestID(r.Header.Get(target.HeaderRequest)), prompt: req.prompt(),
	}
	s, fault, ok := e.admit(r, req)
	if !ok {
		refuseNotRun(w, fault)
		return
	}
	ans := &answer{
		w: w, r: r, req: req, seq: s, fault: fault, eng: e, source: own, previous: e.swapPrevious(own),
		rc: http.NewResponseController(w),
	}
	defer e.release(s)
	if fault == FaultCrossed {
		ans.source = ans.previous
	}
	ans.send()
}

// source determines the content of an answer. A faulty answer uses the source of
// another request.
type source struct {
	attempt string
	id      ident.RequestID
	prompt  []byte
}

// swapPrevious stores the source of a request for the next faulty answer and
// returns the one stored before.
func (e *Engine) swapPrevious(own source) source {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.previous
	e.previous = own
	return other
}

func (e *Engine) hasModel(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.cfg.Serves, func(sv rules.Serve) bool { return string(sv.Model) == name })
}

// admit adds a request to the batch. It returns the fault of its answer, or the
// reason of a refusal.
func (e *Engine) admit(r *http.Request, req completionRequest) (*sequence, string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.recordRequest(r, e.draining)
	if e.draining && !e.acceptWhileDraining {
		return nil, "leaving", false
	}
	if e.faults.Refuse {
		return nil, "true", false
	}
	e.served++
	e.ledger.Ran++
	prompt := req.prompt()
	digests := blocks(prompt)
	hits := e.cache.access(e.clock.Now(), digests)
	e.ledger.Blocks += len(digests)
	e.ledger.Hits += hits
	from, _ := strconv.Atoi(r.Header.Get(target.HeaderResume))
	if e.faults.IgnoreResume {
		from = 0
	}
	priority, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	tokens := max(len(prompt)-hits*blockBytes, 0)/bytesPerToken + 1
	s := &sequence{priority: priority, pendingPrefill: ident.Tokens(tokens), nextToken: from, endToken: max(req.MaxTokens, from+1), out: make(chan int, req.MaxTokens+1)}
	e.batch.add(s)
	e.wake()
	fault := e.faults.kindFor(e.served)
	e.ledger.recordFault(fault)
	return s, fault, true
}

// release cancels a request that has not finished and so frees its slot.
func (e *Engine) release(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.nextToken < s.endToken {
		s.cancelled = true
		e.ledger.Cancelled++
	}
}

// answer writes the answer to one request.
type answer struct {
	w     http.ResponseWriter
	r     *http.Request
	req   completionRequest
	seq   *sequence
	fault string
	eng   *Engine
	source
	previous source
	rc       *http.ResponseController
}

func (s *answer) send() {
	s.w.Header().Set(target.HeaderAttempt, s.attempt)
	switch {
	case s.fault == FaultError:
		s.w.WriteHeader(http.StatusInternalServerError)
	case s.req.Stream:
		s.sendStream()
	default:
		s.sendComplete()
	}
}

// nextToken waits for the next token. It returns false at the end, or if the
// caller disconnects or the engine stops.
func (s *answer) nextToken() (int, bool) {
	select {
	case n, ok := <-s.seq.out:
		return n, ok
	case <-s.r.Context().Done():
		return 0, false
	case <-s.eng.t.Dying():
		return 0, false
	}
}

// cutAt returns the index of the token at which a stream fault takes effect.
func (s *answer) cutAt() int { return s.req.MaxTokens / 2 }

func (s *answer) sendStream() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	_ = s.rc.Flush()
	for {
		n, ok := s.nextToken()
		if !ok {
			break
		}
		if s.fault == FaultCut && n >= s.cutAt() {
			panic(http.ErrAbortHandler)
		}
		if s.fault == FaultShort && n >= s.cutAt() {
			return
		}
		if s.fault == FaultMixed && n == s.cutAt() {
			s.source = s.previous
		}
		s.writeEvent(n)
		if s.fault == FaultTwice && n == s.cutAt() {
			s.writeEvent(n)
		}
	}
	if s.r.Context().Err() == nil {
		fmt.Fprint(s.w, "data: [DONE]\n\n")
	}
}

// streamChunk is one event of a stream.
type streamChunk struct {
	ID      ident.RequestID `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (s *answer) writeEvent(n int) {
	c := streamChunk{ID: s.id, Object: "chat.completion.chunk", Model: s.req.Model}
	c.Choices = []choice{{Delta: &message{Content: Token(s.prompt, n)}}}
	b, _ := json.Marshal(c)
	fmt.Fprintf(s.w, "id: %d\ndata: %s\n\n", n+1, b)
	_ = s.rc.Flush()
}

type completion struct {
	ID      ident.RequestID `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   usage           `json:"usage"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (s *answer) sendComplete() {
	var text strings.Builder
	for {
		n, ok := s.nextToken()
		if !ok {
			break
		}
		text.WriteString(Token(s.prompt, n))
	}
	if s.r.Context().Err() != nil {
		return
	}
	out := completion{ID: s.id, Object: "chat.completion", Model: s.req.Model, Usage: usage{s.req.MaxTokens}}
	out.Choices = []choice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: "stop"}}
	b, _ := json.Marshal(out)
	s.w.Header().Set("Content-Type", "application/json")
	switch s.fault {
	case FaultShort:
		b = b[:len(b)/2]
	case FaultCut:
		s.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		b = b[:len(b)/2]
	}
	_, _ = s.w.Write(b)
}
