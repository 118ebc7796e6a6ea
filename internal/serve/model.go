package serve

import (
	"bytes"
	"encoding/json"

	"verbenadale.example/verbenadale/pkg/ident"
)

// withModel returns a completion body in which the value of the field model is replaced by the
// model that the target has loaded. Callers write the name of a profile there, which no engine
// knows, and an engine refuses a model that it has not loaded. All other bytes are unchanged.
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

// findModel returns the position of the value of the last top-level field model: if a field occurs
// twice, decoders use the last one.
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
