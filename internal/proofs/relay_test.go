package proofs

import "verbenadale.example/verbenadale/pkg/ident"

// record has all bytes that pass, either way, given to a function.
func (r *relay) record(tape func(sender string, b []byte)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tape = tape
}

func (r *relay) passed(sender string, b []byte) {
	r.mu.Lock()
	tape := r.tape
	r.mu.Unlock()
	if tape != nil {
		tape(sender, b)
	}
}

// knocked returns how many connections have come.
func (r *relay) knocked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knocks
}

// fallSilent is cutOff with a silence in which no connection breaks.
func (f *fleet) fallSilent(dc ident.DataCentre, silent bool) {
	for _, m := range f.at(dc) {
		m.toPlatform.setSilent(everyone, silent)
	}
	f.between(dc, func(from, to *member) { to.before.setSilent(from.ip, silent) })
}

// between calls do for each way between a data centre and the others.
func (f *fleet) between(dc ident.DataCentre, do func(from, to *member)) {
	for _, m := range f.hosts {
		for _, o := range f.hosts {
			if (m.place.DataCentre == dc) != (o.place.DataCentre == dc) {
				do(m, o)
			}
		}
	}
}
