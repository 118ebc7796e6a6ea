package once

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// UseKey judges a request that came with the caller's own key, given as a digest
// that includes the account. fprint is a digest of the request.
func (rg *Registry) UseKey(now ident.Time, key, fprint string, req ident.RequestID) Verdict {
	rg.advance(now)
	if _, ok := rg.byRequest[req]; ok {
		return refuse(codes.InProgress, event.Unknown)
	}
	rec, ok := rg.keys[key]
	if !ok {
		if !rg.makeRoom() {
			return refuse(codes.Overloaded, event.NotRun)
		}
		rec = &record{key: key, fingerprint: fprint, claimID: req, noEarlierRun: !rg.usedKeyDropped}
		rg.keys[key] = rec
		rg.add(rec, Never)
		return rg.claim(rec, req)
	}
	switch {
	case rec.state == available && !rec.stored:
		// What the store holds is not known, so the content may change yet.
		rec.fingerprint = fprint
		return rg.claim(rec, req)
	case rec.state == available && fprint == rec.fingerprint:
		return rg.start(rec, req)
	}
	return verdictForRepeat(rec, fprint)
}

func (rg *Registry) claim(rec *record, req ident.RequestID) Verdict {
	rec.state = claiming
	rec.req = req
	rg.byRequest[req] = rec
	rg.setDue(rec, Never)
	return Verdict{Action: Claim, Record: event.KeyRecord{
		Entry: rg.self, Incarnation: rg.inc, Request: rec.claimID, Print: rec.fingerprint,
	}}
}

// ClaimAnswered judges the store's answer to a claim. record is what the store holds
// where the key was taken. An answer that nothing waits for, because it came
// twice or after the claim was given up, runs nothing and claims nothing.
func (rg *Registry) ClaimAnswered(now ident.Time, req ident.RequestID, claim event.Claim, rec event.KeyRecord) Verdict {
	rg.advance(now)
	r, ok := rg.byRequest[req]
	if !ok || r.state != claiming {
		return refuse(codes.OutcomeUnknown, event.Unknown)
	}
	switch claim {
	case event.ClaimWon:
		r.stored = true
		return rg.start(r, req)
	case event.ClaimTaken:
		return rg.applyTakenClaim(r, req, rec)
	}
	// The write may still land. It then names this incarnation and claimID,
	// and the next claim of this record recognises it. "Not run" is said of
	// this request: an earlier one with the key may have run at a host that
	// only the store could name.
	delete(rg.byRequest, req)
	rg.release(r)
	return refuse(codes.StoreDown, event.NotRun)
}

// applyTakenClaim judges a claim that met a record.
func (rg *Registry) applyTakenClaim(r *record, req ident.RequestID, rec event.KeyRecord) Verdict {
	own := rec.Entry == rg.self && rec.Incarnation == rg.inc && (rec.Request == r.claimID || r.noEarlierRun)
	if own && rec.Print == r.fingerprint {
		r.stored = true
		return rg.start(r, req)
	}
	delete(rg.byRequest, req)
	if own {
		r.stored = true
		r.fingerprint = rec.Print
		rg.release(r)
		return refuse(codes.KeyReused, event.NotRun)
	}
	r.req = ""
	rg.setDue(r, rg.now.Add(recordTTL))
	if rec.Print != r.fingerprint {
		// Later repeats are measured by the print on record.
		r.fingerprint = rec.Print
		rg.applyForeignRecord(r, rec)
		return refuse(codes.KeyReused, event.NotRun)
	}
	return rg.applyForeignRecord(r, rec)
}

// applyForeignRecord applies the record of the store: another host owns the key, or
// an incarnation whose memory is gone.
func (rg *Registry) applyForeignRecord(r *record, rec event.KeyRecord) Verdict {
	if rec.Entry == rg.self && rec.Incarnation <= rg.inc {
		r.state = ended
		r.outcome = event.Unknown
		r.endedAt = rg.now
	} else {
		r.state = foreign
		r.owner = rec
	}
	return verdictForRepeat(r, r.fingerprint)
}
