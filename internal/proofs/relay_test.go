package proofs

import "verbenadale.example/verbenadale/pkg/ident"

// setOnBytes has all bytes that pass, either way, given to a function.
func (r *relay) setOnBytes(tape func(sender string, b []byte)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onBytes = tape
}

func (r *relay) reportBytes(sender string, b []byte) {
	r.mu.Lock()
	tape := r.onBytes
	r.mu.Unlock()
	if tape != nil {
		tape(sender, b)
	}
}

// connectionCount returns how many connections have come.
func (r *relay) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections
}

// silence is cutOff with a silence in which no connection breaks.
func (f *fleet) silence(dc ident.DataCentre, silent bool) {
	for _, m := range f.hostsIn(dc) {
		m.platformRelay.setSilent(everyone, silent)
	}
	f.eachLink(dc, func(from, to *fleetHost) { to.peerRelay.setSilent(from.ip, silent) })
}

// eachLink calls do for each way eachLink a data centre and the others.
func (f *fleet) eachLink(dc ident.DataCentre, do func(from, to *fleetHost)) {
	for _, m := range f.hosts {
		for _, o := range f.hosts {
			if (m.place.DataCentre == dc) != (o.place.DataCentre == dc) {
				do(m, o)
			}
		}
	}
}
