package once

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// UseKey decides on a request with an idempotency key of the caller. The argument key is
// a digest of the key and the account, fingerprint a digest of the request.
func (rg *Registry) UseKey(now ident.Time, key, fingerprint string, req ident.RequestID) Verdict {
	rg.advance(now)
	if _, ok := rg.byRequest[req]; ok {
		return refuse(codes.InProgress, event.Unknown)
	}
	rec, ok := rg.keys[key]
	if !ok {
		if !rg.makeRoom() {
			return refuse(codes.Overloaded, event.NotRun)
		}
		rec = &record{key: key, print: fingerprint, claimID: req, noEarlierRun: !rg.usedKeyDropped}
		rg.keys[key] = rec
		rg.add(rec, Never)
		return rg.claim(rec, req)
	}
	switch {
	case rec.state == available && !rec.stored:
		// The store's record is not yet known, so the content may still change.
		rec.print = fingerprint
		return rg.claim(rec, req)
	case rec.state == available && fingerprint == rec.print:
		return rg.start(rec, req)
	}
	return verdictForRepeat(rec, fingerprint)
}

func (rg *Registry) claim(rec *record, req ident.RequestID) Verdict {
	rec.state = claiming
	rec.req = req
	rg.byRequest[req] = rec
	rg.setDue(rec, Never)
	return Verdict{Action: Claim, Record: event.KeyRecord{
		Entry: rg.self, Incarnation: rg.inc, Request: rec.claimID, Fingerprint: rec.print,
	}}
}

// ClaimAnswered processes the store's answer to a claim. If the key was taken, rec is
// the record in the store. An answer without a pending claim, because it is a duplicate
// or the claim was abandoned, neither runs nor claims anything.
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
	// The write may still take effect. The store's record then names this incarnation
	// and claimID, and the next claim of this record recognises it. "Not run" refers to
	// this request only: an earlier one with the same key may have run at a host that
	// only the store could name.
	delete(rg.byRequest, req)
	rg.release(r)
	return refuse(codes.StoreDown, event.NotRun)
}

// applyTakenClaim decides on a claim whose key is already on record.
func (rg *Registry) applyTakenClaim(r *record, req ident.RequestID, rec event.KeyRecord) Verdict {
	own := rec.Entry == rg.self && rec.Incarnation == rg.inc && (rec.Request == r.claimID || r.noEarlierRun)
	if own && rec.Fingerprint == r.print {
		r.stored = true
		return rg.start(r, req)
	}
	delete(rg.byRequest, req)
	if own {
		r.stored = true
		r.print = rec.Fingerprint
		rg.release(r)
		return refuse(codes.KeyReused, event.NotRun)
	}
	r.req = ""
	rg.setDue(r, rg.now.Add(recordTTL))
	if rec.Fingerprint != r.print {
		// Later repeats are compared with the fingerprint on record.
		r.print = rec.Fingerprint
		rg.applyForeignRecord(r, rec)
		return refuse(codes.KeyReused, event.NotRun)
	}
	return rg.applyForeignRecord(r, rec)
}

// applyForeignRecord applies a store record that was written by another host or
// incarnation, or by this one for a record that it has dropped since.
func (rg *Registry) applyForeignRecord(r *record, rec event.KeyRecord) Verdict {
	if rec.Entry == rg.self && rec.Incarnation <= rg.inc {
		r.state = ended
		r.outcome = event.Unknown
		r.endedAt = rg.now
	} else {
		r.state = foreign
		r.owner = rec
	}
	return verdictForRepeat(r, r.print)
}
