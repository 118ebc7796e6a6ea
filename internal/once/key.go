package once

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Key judges a request that came with the caller's own key, given as a digest
// that includes the account. fprint is a digest of the request.
func (rg *Registry) Key(now ident.Time, key, fprint string, req ident.RequestID) Verdict {
	rg.advance(now)
	if _, ok := rg.live[req]; ok {
		return refuse(codes.InProgress, event.Unknown)
	}
	rec, ok := rg.keys[key]
	if !ok {
		if !rg.room() {
			return refuse(codes.Overloaded, event.NotRun)
		}
		rec = &record{key: key, print: fprint, claimID: req, clean: !rg.keyForgotten}
		rg.keys[key] = rec
		rg.add(rec, Never)
		return rg.claim(rec, req)
	}
	switch {
	case rec.state == idle && !rec.claimed:
		// What the store holds is not known, so the content may change yet.
		rec.print = fprint
		return rg.claim(rec, req)
	case rec.state == idle && fprint == rec.print:
		return rg.start(rec, req)
	}
	return repeat(rec, fprint)
}

func (rg *Registry) claim(rec *record, req ident.RequestID) Verdict {
	rec.state = claiming
	rec.req = req
	rg.live[req] = rec
	rg.setDue(rec, Never)
	return Verdict{Do: Claim, Record: event.KeyRecord{
		Entry: rg.self, Incarnation: rg.inc, Request: rec.claimID, Print: rec.print,
	}}
}

// Claimed judges the store's answer to a claim. record is what the store holds
// where the key was taken. An answer that nothing waits for, because it came
// twice or after the claim was given up, runs nothing and claims nothing.
func (rg *Registry) Claimed(now ident.Time, req ident.RequestID, claim event.Claim, rec event.KeyRecord) Verdict {
	rg.advance(now)
	r, ok := rg.live[req]
	if !ok || r.state != claiming {
		return refuse(codes.OutcomeUnknown, event.Unknown)
	}
	switch claim {
	case event.ClaimWon:
		r.claimed = true
		return rg.start(r, req)
	case event.ClaimTaken:
		return rg.taken(r, req, rec)
	}
	// The write may still land. It then names this incarnation and claimID,
	// and the next claim of this record recognises it. "Not run" is said of
	// this request: an earlier one with the key may have run at a host that
	// only the store could name.
	delete(rg.live, req)
	rg.release(r)
	return refuse(codes.StoreDown, event.NotRun)
}

// taken judges a claim that met a record.
func (rg *Registry) taken(r *record, req ident.RequestID, rec event.KeyRecord) Verdict {
	own := rec.Entry == rg.self && rec.Incarnation == rg.inc && (rec.Request == r.claimID || r.clean)
	if own && rec.Print == r.print {
		r.claimed = true
		return rg.start(r, req)
	}
	delete(rg.live, req)
	if own {
		r.claimed = true
		r.print = rec.Print
		rg.release(r)
		return refuse(codes.KeyReused, event.NotRun)
	}
	r.req = ""
	rg.setDue(r, rg.now.Add(recordKept))
	if rec.Print != r.print {
		// Later repeats are measured by the print on record.
		r.print = rec.Print
		rg.settle(r, rec)
		return refuse(codes.KeyReused, event.NotRun)
	}
	return rg.settle(r, rec)
}

// settle applies the record of the store: another host owns the key, or
// an incarnation whose memory is gone.
func (rg *Registry) settle(r *record, rec event.KeyRecord) Verdict {
	if rec.Entry == rg.self && rec.Incarnation <= rg.inc {
		r.state = ended
		r.outcome = event.Unknown
		r.endedAt = rg.now
	} else {
		r.state = foreign
		r.owner = rec
	}
	return repeat(r, r.print)
}
