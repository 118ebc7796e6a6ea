package serve

import (
	"bytes"
	"encoding/json"

	"verbenadale.example/verbenadale/pkg/ident"
)

// withModel returns a completion body whose field model names what the target
// has loaded. Callers name a profile there, which no engine knows; an engine
// refuses a model that it has not loaded. All other bytes stay as they came.
func withModel(body []byte, model ident.Model) []byte {
	from, to, ok := findModel(body)
	if !ok || model == "" {
		return body
	}
	name, err := json.Marshal(model)
	if err != nil {
		return body
	}
	out := make([]byte, 0, len(body)+len(name))
	out = append(out, body[:from]...)
	out = append(out, name...)
	return append(out, body[to:]...)
}

// findModel finds the value of the last top-level field model, which is the one
// that decoders take when a field stands twice.
func findModel(body []byte) (from, to int, ok bool) {
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return 0, 0, false
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return 0, 0, false
		}
		var v json.RawMessage
		if err := dec.Decode(&v); err != nil {
			return 0, 0, false
		}
		if key == "model" {
			to = int(dec.InputOffset())
			from = to - len(v)
			ok = true
		}
	}
	return from, to, ok
}
