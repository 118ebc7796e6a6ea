package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// bytesPerToken is the rough length of a token, good enough to predict the
// time of a prefill.
const bytesPerToken = 4

// maxAskTokens bounds the length of an answer that a caller may ask for. More
// is a slip of the caller, and would be predicted to take for ever.
const maxAskTokens = 1 << 20

// ask is what the front reads of a completion request; the target gets the
// body as it came.
type ask struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           ident.Tokens    `json:"max_tokens"`
	MaxCompletionTokens ident.Tokens    `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

func (a ask) tokens() ident.Tokens { return max(a.MaxTokens, a.MaxCompletionTokens) }

// shape is what one of the two APIs demands.
type shape struct {
	field string
	text  func(a ask) json.RawMessage
	// first are the bytes that the value may start with.
	first string
}

var (
	chatShape       = shape{"messages", func(a ask) json.RawMessage { return a.Messages }, "["}
	completionShape = shape{"prompt", func(a ask) json.RawMessage { return a.Prompt }, `["`}
)

func (x *exchange) chat() *event.Refuse { return x.complete(chatShape) }

func (x *exchange) completion() *event.Refuse { return x.complete(completionShape) }

func (x *exchange) complete(sh shape) *event.Refuse {
	named := ident.Profile(x.r.Header.Get(HeaderProfile))
	req, ref := x.head(named)
	if ref != nil {
		return ref
	}
	if ref := x.checkJSON(); ref != nil {
		return ref
	}
	if ref := x.read(); ref != nil {
		return ref
	}
	a, err := parse(x.body, sh)
	if err != nil {
		return x.not(codes.BadRequest, err.Error())
	}
	if named == "" {
		if ref := x.allow(ident.Profile(a.Model)); ref != nil {
			return ref
		}
	}
	if x.profile.Service != "" {
		return x.not(codes.BadRequest, "the profile is of a plain service; use "+servicePrefix)
	}
	x.run(req, a, sh)
	return nil
}

func (x *exchange) run(req event.Request, a ask, sh shape) {
	prompt := sh.text(a)
	req.Profile = x.profile.Name
	req.Prompt = ident.Tokens(len(prompt) / bytesPerToken)
	req.MaxTokens = a.tokens()
	req.Prefix = prefixes(prompt)
	req.Stream = a.Stream
	x.mark(&req)
	call := serve.Call{
		Method: http.MethodPost, Path: x.r.URL.Path, Body: x.body, Stream: a.Stream, Engine: true,
		Header: http.Header{"Content-Type": {"application/json"}, "Via": {x.via()}},
		Ending: x.ending,
	}
	x.cfg.Runner.Run(x.r.Context(), call, req, x.sink(true))
}

// parse reads a completion request and judges its shape.
func parse(text []byte, sh shape) (ask, error) {
	var a ask
	if err := json.Unmarshal(text, &a); err != nil {
		return ask{}, jsonFault(err)
	}
	if a.MaxTokens < 0 || a.MaxCompletionTokens < 0 || a.tokens() > maxAskTokens {
		return ask{}, fmt.Errorf("max_tokens takes 1 to %d", maxAskTokens)
	}
	if a.N != nil && *a.N != 1 {
		return ask{}, errors.New("n takes 1 only: one request has one answer")
	}
	v := bytes.TrimSpace(sh.text(a))
	const empty = 2
	if len(v) <= empty || !bytes.ContainsAny(v[:1], sh.first) {
		return ask{}, fmt.Errorf("write the field %s", sh.field)
	}
	return a, nil
}

// jsonFault describes a fault of the JSON without any text of the body, which could
// be part of a prompt.
func jsonFault(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return fmt.Errorf("the field %s can't be a JSON %s", clip(typ.Field), clip(typ.Value))
	}
	var syn *json.SyntaxError
	if errors.As(err, &syn) {
		return fmt.Errorf("the JSON is broken at byte %d", syn.Offset)
	}
	return errors.New("the JSON is broken")
}

// Blocks of a prompt whose digests are compared with cache events.
const (
	blockBytes = 256
	maxBlocks  = 32
)

// prefixes returns the chained digests of the whole blocks of a prompt.
func prefixes(prompt []byte) []uint64 {
	n := min(len(prompt)/blockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	ds := make([]uint64, 0, n)
	h := xxhash.New()
	for i := range n {
		_, _ = h.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		ds = append(ds, h.Sum64())
	}
	return ds
}
