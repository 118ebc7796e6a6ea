package front

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// bytesPerToken is the rough length of a token, good enough to predict the
// time of a prefill.
const bytesPerToken = 4

// body is what the front reads of a completion request; the target gets the
// body as it came.
type body struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           ident.Tokens    `json:"max_tokens"`
	MaxCompletionTokens ident.Tokens    `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

func (f *Front) complete(w http.ResponseWriter, r bunrouter.Request) error {
	id := newRequestID()
	w.Header().Set(HeaderRequest, string(id))
	c, code, ok := f.client(r.Request)
	if !ok {
		refuse(w, event.Refuse{Request: id, Code: code.ID, Outcome: event.NotRun})
		return nil
	}
	deadline, code, ok := f.deadline(r.Request)
	if !ok {
		refuse(w, event.Refuse{Request: id, Code: code.ID, Outcome: event.NotRun})
		return nil
	}
	raw, b, code, ok := f.read(w, r.Request)
	if !ok {
		refuse(w, event.Refuse{Request: id, Code: code.ID, Outcome: event.NotRun})
		return nil
	}
	profile := ident.Profile(r.Header.Get(HeaderProfile))
	if profile == "" {
		profile = ident.Profile(b.Model)
	}
	prompt := append([]byte(b.Messages), b.Prompt...)
	req := event.Request{
		ID: id, Account: c.Name, Profile: profile,
		Prompt: ident.Tokens(len(prompt) / bytesPerToken), MaxTokens: max(b.MaxTokens, b.MaxCompletionTokens),
		Prefix: prefixes(prompt), Deadline: deadline, Stream: b.Stream,
		Ticket: r.Header.Get(HeaderTicket),
	}
	call := serve.Call{
		Method: http.MethodPost, Path: r.URL.Path, Body: raw, Stream: b.Stream, Engine: true,
		Header: http.Header{"Content-Type": {"application/json"}},
	}
	f.cfg.Runner.Run(r.Context(), call, req, f.sink(w, b.Stream))
	return nil
}

// read reads the body and judges its shape.
func (f *Front) read(w http.ResponseWriter, r *http.Request) ([]byte, body, codes.Code, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(f.cfg.MaxBody)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, body{}, codes.TooLarge, false
	}
	if err != nil {
		return nil, body{}, codes.BadRequest, false
	}
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, body{}, codes.BadRequest, false
	}
	if len(b.Messages) == 0 && len(b.Prompt) == 0 {
		return nil, body{}, codes.BadRequest, false
	}
	return raw, b, codes.Code{}, true
}

// Blocks of a prompt whose digests are compared with cache events.
const (
	blockBytes = 256
	maxBlocks  = 32
)

// prefixes returns the chained digests of the whole blocks of a prompt.
func prefixes(prompt []byte) []uint64 {
	var ds []uint64
	h := xxhash.New()
	for len(prompt) >= blockBytes && len(ds) < maxBlocks {
		_, _ = h.Write(prompt[:blockBytes])
		ds = append(ds, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return ds
}
