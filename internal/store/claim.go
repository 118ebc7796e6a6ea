package store

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
)

// maxClaimAttempts limits the writes of one claim.
const maxClaimAttempts = 3

// KeyPath returns the store key of the record of an idempotency key, which is given by its
// digest.
func KeyPath(digest string) string { return "verbenadale/keys/" + digest }

// Claim creates the record of an idempotency key unless one exists. It returns ClaimWon only if
// the store has exactly this record, ClaimTaken with the record of another request, and
// ClaimFailed if the state is unknown.
//
// After a lost reply the record may or may not exist. Running the request anyway could run it
// twice, for example publish one notice twice; refusing it although the record exists could block
// the key forever. The record is therefore read back. A write that takes effect after ClaimFailed
// leaves a record of a request that was not run. The record directs a retry of the request to its
// owner, whose registry of runs shows that the request was not run, so that the retry may run.
func (c *Client) Claim(ctx context.Context, digest string, rec event.KeyRecord) (event.Claim, event.KeyRecord) {
	body, err := json.Marshal(rec)
	if err != nil {
		return event.ClaimFailed, event.KeyRecord{}
	}
	for range maxClaimAttempts {
		_, err = c.put(ctx, request{
			op: opClaim, method: http.MethodPut, path: expectPath(KeyPath(digest), Absent), body: body, failFast: true,
		})
		if err == nil {
			return event.ClaimWon, rec
		}
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnknown) {
			return event.ClaimFailed, event.KeyRecord{}
		}
		claim, owner, again := c.readClaim(ctx, digest, rec)
		if !again {
			return claim, owner
		}
	}
	return event.ClaimFailed, event.KeyRecord{}
}

// readClaim reads the record back. Its last result is set if the caller should write again
// because there is no record: the write was lost or has not taken effect yet, and repeating it is
// harmless.
func (c *Client) readClaim(ctx context.Context, digest string, rec event.KeyRecord) (event.Claim, event.KeyRecord, bool) {
	v, err := c.read(ctx, request{op: opClaim, method: http.MethodGet, path: kvPath(KeyPath(digest)), failFast: true})
	if errors.Is(err, ErrAbsent) {
		return event.ClaimFailed, event.KeyRecord{}, true
	}
	if err != nil {
		return event.ClaimFailed, event.KeyRecord{}, false
	}
	var owner event.KeyRecord
	if err := json.Unmarshal(v.Body, &owner); err != nil {
		return event.ClaimFailed, event.KeyRecord{}, false
	}
	if owner == rec {
		return event.ClaimWon, owner, false
	}
	return event.ClaimTaken, owner, false
}
