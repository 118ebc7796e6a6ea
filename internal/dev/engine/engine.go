// Package engine is a stand-in for a model engine, for development and tests:
// it serves the chat-completions API with a made-up text that depends on the
// prompt only, reports load, and can be told to fail. docs/targets.md
// describes what it speaks.
//
// # Usage
//
//	eng := engine.New(engine.Config{ID: "uvs-e1", Model: "draft", Slots: 8})
//	http.ListenAndServe(addr, eng)
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// defaultTokens is the length of an answer whose request names none.
const defaultTokens = 32

// Config describes the engine.
type Config struct {
	ID          ident.TargetID
	Incarnation ident.Incarnation
	Serves      []rules.Serve
	Slots       int
	// TokenTime is the time between two tokens of one stream.
	TokenTime time.Duration
	// PrefillRate is tokens a second.
	PrefillRate float64
}

// Engine is the stand-in.
type Engine struct {
	cfg Config
	mux *http.ServeMux

	mu      sync.Mutex
	running int
	seq     uint64
}

// New returns an engine.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.load)
	return e
}

// ServeHTTP serves one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.seq++
	ld := event.Load{
		Target: e.cfg.ID, Incarnation: e.cfg.Incarnation, Seq: e.seq,
		Slots: e.cfg.Slots, Running: e.running,
		PrefillRate: e.cfg.PrefillRate, DecodeRate: e.decodeRate(), Serves: e.cfg.Serves,
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(ld)
}

func (e *Engine) decodeRate() float64 {
	if e.cfg.TokenTime <= 0 {
		return 0
	}
	return float64(time.Second) / float64(e.cfg.TokenTime)
}

// ask is what the engine reads of a request.
type ask struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
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
	e.enter(1)
	defer e.enter(-1)
	w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	id := r.Header.Get(target.HeaderRequest)
	if a.Stream {
		e.stream(w, r, id, a)
		return
	}
	e.whole(w, r, id, a)
}

func (e *Engine) enter(n int) {
	e.mu.Lock()
	e.running += n
	e.mu.Unlock()
}

// Word returns token n of the answer to a prompt. The answer depends on the
// prompt alone, so that a caller can check that it got its own, and so that
// another engine can go on in the middle.
func Word(prompt []byte, n int) string {
	return fmt.Sprintf(" w%x", (xxhash.Sum64(prompt)+uint64(n)*7919)&0xffff)
}

func (a ask) prompt() []byte { return append([]byte(a.Messages), a.Prompt...) }

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, a ask) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(target.HeaderResume))
	flush := http.NewResponseController(w)
	for n := from; n < a.MaxTokens; n++ {
		if !e.pause(r) {
			return
		}
		chunk := map[string]any{
			"id": id, "object": "chat.completion.chunk", "model": a.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": Word(a.prompt(), n)}}},
		}
		b, _ := json.Marshal(chunk)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, b)
		_ = flush.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) pause(r *http.Request) bool {
	if e.cfg.TokenTime <= 0 {
		return true
	}
	timer := time.NewTimer(e.cfg.TokenTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, id string, a ask) {
	text := ""
	for n := range a.MaxTokens {
		if !e.pause(r) {
			return
		}
		text += Word(a.prompt(), n)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": id, "object": "chat.completion", "model": a.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": text},
		}},
		"usage": map[string]any{"completion_tokens": a.MaxTokens},
	})
}
