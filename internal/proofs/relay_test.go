package proofs

import "verbenadale.example/verbenadale/pkg/ident"

// setOnBytes sets a function that receives all forwarded bytes of both directions.
func (r *relay) setOnBytes(onBytes func(sender string, b []byte)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onBytes = onBytes
}

func (r *relay) reportBytes(sender string, b []byte) {
	r.mu.Lock()
	onBytes := r.onBytes
	r.mu.Unlock()
	if onBytes != nil {
		onBytes(sender, b)
	}
}

// connectionCount returns the number of connections so far, including refused ones.
func (r *relay) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections
}

// silence is like partition with platform set, but keeps the connections open without data.
func (f *fleet) silence(dc ident.DataCentre, silent bool) {
	for _, m := range f.hostsIn(dc) {
		m.platformRelay.setSilent(everyone, silent)
	}
	f.eachLink(dc, func(from, to *fleetHost) { to.peerRelay.setSilent(from.ip, silent) })
}

// eachLink calls do for each direction between a host of a data centre and one of another.
func (f *fleet) eachLink(dc ident.DataCentre, do func(from, to *fleetHost)) {
	for _, m := range f.hosts {
		for _, o := range f.hosts {
			if (m.place.DataCentre == dc) != (o.place.DataCentre == dc) {
				do(m, o)
			}
		}
	}
}
