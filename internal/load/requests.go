package load

import "verbenadale.example/verbenadale/pkg/ident"

// AddPrefill records the prefill work that a request of this host adds to the target: its prompt
// less the prefix that the target probably caches.
func (s *State) AddPrefill(now ident.Time, tokens ident.Tokens) {
	s.backlog.add(now, tokens, s.Load.PrefillRate)
	s.PendingPrefill += tokens
}

// PrefillDone subtracts what AddPrefill recorded for a request, after its first token or its end.
func (s *State) PrefillDone(tokens ident.Tokens) { s.PendingPrefill = max(0, s.PendingPrefill-tokens) }

// AddRequest records a request that this host sent to the target.
func (s *State) AddRequest(now ident.Time, prefill, generated ident.Tokens) {
	s.InFlight++
	s.InFlightTokens += prefill
	s.InFlightMaxGenerated += generated
	s.sends.Add(now, 1, prefill)
}

// EndRequest records the end of a request at the target.
func (s *State) EndRequest(now ident.Time, prefill, generated ident.Tokens) {
	if s.InFlight == 0 {
		return
	}
	s.InFlight--
	s.InFlightTokens = max(0, s.InFlightTokens-prefill)
	s.InFlightMaxGenerated = max(0, s.InFlightMaxGenerated-generated)
	s.sends.Add(now, -1, 0)
}
