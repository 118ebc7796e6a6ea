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

// ask is what the engine reads of a request.
type ask struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

func (a ask) prompt() []byte { return append([]byte(a.Messages), a.Prompt...) }

// bytesPerToken is the rough length of a token.
const bytesPerToken = 4

// Word returns token n of the answer to a prompt.
func Word(prompt []byte, n int) string {
	return fmt.Sprintf(" w%x", (xxhash.Sum64(prompt)+uint64(n)*7919)&0xffff)
}

// Text returns the whole answer of n tokens to a prompt, for checks.
func Text(prompt []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Word(prompt, i))
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var a ask
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a.MaxTokens <= 0 {
		a.MaxTokens = defaultTokens
	}
	if !e.loaded(a.Model) {
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return
	}
	own := former{
		attempt: r.Header.Get(target.HeaderAttempt), id: ident.RequestID(r.Header.Get(target.HeaderRequest)), prompt: a.prompt(),
	}
	s, fault, ok := e.admit(r, a)
	if !ok {
		refuseNotRun(w, fault)
		return
	}
	ans := &answer{
		w: w, r: r, a: a, seq: s, fault: fault, eng: e, former: own, other: e.swap(own),
		flush: http.NewResponseController(w),
	}
	defer e.gone(s)
	if fault == FaultCrossed {
		ans.former = ans.other
	}
	ans.send()
}

// former is what an answer is made from. A faulty answer is made from that of
// another request.
type former struct {
	attempt string
	id      ident.RequestID
	prompt  []byte
}

// swap keeps a request for the next faulty answer and returns the one before.
func (e *Engine) swap(own former) former {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.former
	e.former = own
	return other
}

func (e *Engine) loaded(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.cfg.Serves, func(sv rules.Serve) bool { return string(sv.Model) == name })
}

// admit takes a request into the batch. It returns the fault that its answer
// is to have, or why it is refused.
func (e *Engine) admit(r *http.Request, a ask) (*seq, string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.note(r, e.leaving)
	if e.leaving && !e.mute {
		return nil, "leaving", false
	}
	if e.faults.Refuse {
		return nil, "true", false
	}
	e.served++
	e.ledger.Ran++
	prompt := a.prompt()
	ds := blocks(prompt)
	hit := e.cache.use(e.clock.Now(), ds)
	e.ledger.Blocks += len(ds)
	e.ledger.Hits += hit
	from, _ := strconv.Atoi(r.Header.Get(target.HeaderResume))
	if e.faults.IgnoreResume {
		from = 0
	}
	prio, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	tokens := max(len(prompt)-hit*blockBytes, 0)/bytesPerToken + 1
	s := &seq{priority: prio, left: ident.Tokens(tokens), next: from, last: max(a.MaxTokens, from+1), out: make(chan int, a.MaxTokens+1)}
	e.batch.add(s)
	e.wake()
	fault := e.faults.of(e.served)
	e.ledger.noteFault(fault)
	return s, fault, true
}

// gone frees the slot of a request whose reader has left.
func (e *Engine) gone(s *seq) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.next < s.last {
		s.gone = true
		e.ledger.Cancelled++
	}
}

// answer writes the answer to one request.
type answer struct {
	w     http.ResponseWriter
	r     *http.Request
	a     ask
	seq   *seq
	fault string
	eng   *Engine
	former
	other former
	flush *http.ResponseController
}

func (s *answer) send() {
	s.w.Header().Set(target.HeaderAttempt, s.attempt)
	switch {
	case s.fault == FaultError:
		s.w.WriteHeader(http.StatusInternalServerError)
	case s.a.Stream:
		s.stream()
	default:
		s.whole()
	}
}

// token waits for the next token.
func (s *answer) token() (int, bool) {
	select {
	case n, ok := <-s.seq.out:
		return n, ok
	case <-s.r.Context().Done():
		return 0, false
	case <-s.eng.t.Dying():
		return 0, false
	}
}

// cutAt is the token after which a faulty answer breaks off.
func (s *answer) cutAt() int { return s.a.MaxTokens / 2 }

func (s *answer) stream() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	_ = s.flush.Flush()
	for {
		n, ok := s.token()
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
			s.former = s.other
		}
		s.event(n)
		if s.fault == FaultTwice && n == s.cutAt() {
			s.event(n)
		}
	}
	if s.r.Context().Err() == nil {
		fmt.Fprint(s.w, "data: [DONE]\n\n")
	}
}

// chunkOf is one event of a stream.
type chunkOf struct {
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

func (s *answer) event(n int) {
	c := chunkOf{ID: s.id, Object: "chat.completion.chunk", Model: s.a.Model}
	c.Choices = []choice{{Delta: &message{Content: Word(s.prompt, n)}}}
	b, _ := json.Marshal(c)
	fmt.Fprintf(s.w, "id: %d\ndata: %s\n\n", n+1, b)
	_ = s.flush.Flush()
}

type wholeOf struct {
	ID      ident.RequestID `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   usage           `json:"usage"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (s *answer) whole() {
	var text strings.Builder
	for {
		n, ok := s.token()
		if !ok {
			break
		}
		text.WriteString(Word(s.prompt, n))
	}
	if s.r.Context().Err() != nil {
		return
	}
	out := wholeOf{ID: s.id, Object: "chat.completion", Model: s.a.Model, Usage: usage{s.a.MaxTokens}}
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
