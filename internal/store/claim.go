package store

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
)

// maxClaimAttempts bounds the writes of one claim.
const maxClaimAttempts = 3

// KeyPath is the key of the store that holds the record of an idempotency key,
// given by its digest.
func KeyPath(digest string) string { return "verbenadale/keys/" + digest }

// Claim makes the record of an idempotency key, unless there is one. It
// answers ClaimWon only where the store holds this very record, ClaimTaken
// with the record of another, and ClaimFailed where nothing is known.
//
// A lost reply leaves open whether the record stands. Running the request
// without knowing could run it twice, as a second publication of one notice
// would show; refusing it although the record stands could block the key for
// good. So the record is read back. A write that lands after ClaimFailed makes
// a record for a request that was not run: the owner's registry of runs, which
// a repeat is sent to by the record, says so and lets the repeat run.
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

// readClaim reads the record back. It asks to try again where there is none
// yet: the write was lost or has not landed, and writing the same record again
// does no harm.
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
