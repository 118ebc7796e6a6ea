package load

import "verbenadale.example/verbenadale/pkg/ident"

// Prefill records the prefill that a request adds to the target: its prompt less the
// prefix that the target probably caches.
func (s *State) Prefill(now ident.Time, tokens ident.Tokens) {
	s.ahead.add(now, tokens, s.Load.PrefillRate)
	s.Unread += tokens
}

// ReadDone subtracts what Prefill recorded of a request, after its first token or its end.
func (s *State) ReadDone(tokens ident.Tokens) { s.Unread = max(0, s.Unread-tokens) }

// Send records a request sent to the target.
func (s *State) Send(now ident.Time, prefill, generated ident.Tokens) {
	s.Sent++
	s.SentTokens += prefill
	s.SentGenerated += generated
	s.recent.Add(now, 1, prefill)
}

// End records the end of a request at the target.
func (s *State) End(now ident.Time, prefill, generated ident.Tokens) {
	if s.Sent == 0 {
		return
	}
	s.Sent--
	s.SentTokens = max(0, s.SentTokens-prefill)
	s.SentGenerated = max(0, s.SentGenerated-generated)
	s.recent.Add(now, -1, 0)
}
