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

// bytesPerToken is the approximate length of a token, precise enough to predict the time of a
// prefill.
const bytesPerToken = 4

// maxAnswerTokens bounds the length of an answer that a caller may request. A larger number is a
// mistake of the caller, and the predicted time would be unbounded.
const maxAnswerTokens = 1 << 20

// completionRequest is the part of a completion request that the front reads; the target receives
// the body with only the model replaced.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           ident.Tokens    `json:"max_tokens"`
	MaxCompletionTokens ident.Tokens    `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

func (a completionRequest) answerTokens() ident.Tokens {
	return max(a.MaxTokens, a.MaxCompletionTokens)
}

// shape describes the required field of one of the two APIs.
type shape struct {
	field string
	value func(a completionRequest) json.RawMessage
	// firstBytes are the bytes that the value may start with.
	firstBytes string
}

var (
	chatShape       = shape{"messages", func(a completionRequest) json.RawMessage { return a.Messages }, "["}
	completionShape = shape{"prompt", func(a completionRequest) json.RawMessage { return a.Prompt }, `["`}
)

func (x *exchange) chat() *event.Refuse { return x.serveCompletion(chatShape) }

func (x *exchange) completion() *event.Refuse { return x.serveCompletion(completionShape) }

func (x *exchange) serveCompletion(sh shape) *event.Refuse {
	headerProfile := ident.Profile(x.r.Header.Get(HeaderProfile))
	req, ref := x.newRequest(headerProfile)
	if ref != nil {
		return ref
	}
	if ref := x.checkContentType(); ref != nil {
		return ref
	}
	if ref := x.readBody(); ref != nil {
		return ref
	}
	a, err := parseCompletion(x.body.Bytes(), sh)
	if err != nil {
		return x.notRun(codes.BadRequest, err.Error())
	}
	if headerProfile == "" {
		if ref := x.checkProfile(ident.Profile(a.Model)); ref != nil {
			return ref
		}
	}
	if x.profile.Service != "" {
		return x.notRun(codes.BadRequest, "the profile is of a plain service; use "+servicePrefix)
	}
	x.runCompletion(req, a, sh)
	return nil
}

func (x *exchange) runCompletion(req event.Request, a completionRequest, sh shape) {
	prompt := sh.value(a)
	req.Profile = x.profile.Name
	req.Prompt = ident.Tokens(len(prompt) / bytesPerToken)
	req.MaxTokens = a.answerTokens()
	req.Prefix = prefixDigests(prompt)
	req.Stream = a.Stream
	x.setDigests(&req)
	call := serve.Call{
		Method: http.MethodPost, Path: x.r.URL.Path, Body: x.body.Bytes(), Stream: a.Stream, Engine: true,
		Header: http.Header{"Content-Type": {"application/json"}, "Via": {x.via()}},
		Ending: x.ending,
	}
	x.run(call, req, true)
}

// parseCompletion parses a completion request and checks its shape.
func parseCompletion(text []byte, sh shape) (completionRequest, error) {
	var a completionRequest
	if err := json.Unmarshal(text, &a); err != nil {
		return completionRequest{}, jsonFault(err)
	}
	if a.MaxTokens < 0 || a.MaxCompletionTokens < 0 || a.answerTokens() > maxAnswerTokens {
		return completionRequest{}, fmt.Errorf("max_tokens takes 1 to %d", maxAnswerTokens)
	}
	if a.N != nil && *a.N != 1 {
		return completionRequest{}, errors.New("n takes 1 only: one request has one answer")
	}
	v := bytes.TrimSpace(sh.value(a))
	const empty = 2
	if len(v) <= empty || !bytes.ContainsAny(v[:1], sh.firstBytes) {
		return completionRequest{}, fmt.Errorf("write the field %s", sh.field)
	}
	return a, nil
}

// jsonFault describes a fault in the JSON without quoting the body, which may contain a part of a
// prompt.
func jsonFault(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("the field %s can't be a JSON %s", truncate(typeErr.Field), truncate(typeErr.Value))
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return fmt.Errorf("the JSON is broken at byte %d", syntaxErr.Offset)
	}
	return errors.New("the JSON is broken")
}

// Size and number of the prompt blocks whose digests are compared with cache events.
const (
	blockBytes = 256
	maxBlocks  = 32
)

// prefixDigests returns the chained digests of the complete blocks of a prompt.
func prefixDigests(prompt []byte) []uint64 {
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
