// Package ident defines the types for identities and units that the other
// packages of verbenadale share.
//
// # Usage
//
// Each kind of identity is a distinct string or number type, so that the
// compiler rejects, for example, a target in place of an entry host:
//
//	var to ident.TargetID = "uvs-engine-3"
//
// A Time is a reading of the monotonic clock of one process and has no meaning
// in another. Processes send each other ages or remaining times, never a Time,
// so a clock jump on one host shifts no deadline on another.
package ident

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Region names a region, the unit of residency rules.
type Region string

// DataCentre names a data centre. Each one is in exactly one region.
type DataCentre string

// EntryID names an entry host. It is the same for all incarnations.
type EntryID string

// TargetID names a target: an instance of a model engine or of a plain
// service.
type TargetID string

// Account names a client account.
type Account string

// Operator names a person who may change profiles.
type Operator string

// Profile names a profile.
type Profile string

// Model names a model, as engines report it.
type Model string

// Version names a version of a model.
type Version string

// Build names the version of the software that a target runs, empty if unknown. It
// is not the version of a model.
type Build string

// Adapter names an adapter that an engine loads on top of a model.
type Adapter string

// RequestID names one request of a caller. It is unique across all entry hosts.
type RequestID string

// Content identifies what a request asks for. Repeats of a request by its caller
// have ids of their own and the same Content; zero means that it is unknown. A part
// of a prompt that other requests share has a Content as well. It is a hash, so that
// no text of a request leaves the host that received it.
type Content uint64

// String returns c as 16 hexadecimal digits, the form in logs.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// Stream identifies a stream over all requests by which its caller receives it:
// one that begins it, and others that take it up again. Zero means that it is
// unknown. It is a hash of the account and the id of the first request.
type Stream uint64

// String returns s as 16 hexadecimal digits, the form in logs.
func (s Stream) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// ChangeID names one proposed change of the configuration. The writer chooses
// it and recognises its own write by it after a lost reply.
type ChangeID string

// Incarnation distinguishes the runs of one entry host or target. It is the
// wall-clock time of the start in nanoseconds, so a later run has a higher
// number.
type Incarnation uint64

// Revision numbers the accepted changes of the configuration, starting at 1.
// Zero is the empty configuration.
type Revision uint64

// Fence is a fencing token that is sent with an attempt to a target. A target
// that checks it refuses an attempt with a lower number than the highest it has
// seen.
type Fence uint64

// Tokens counts tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Hops counts how often a request was forwarded from one region to another.
type Hops int

// PerMinute is a rate of requests or tokens per minute.
type PerMinute float64

// Time is a reading of the monotonic clock of this process in nanoseconds.
type Time int64

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is before u.
func (t Time) Before(u Time) bool { return t < u }

// Attempt identifies one attempt to run a request. The entry host that starts
// the attempt numbers it; the incarnation keeps the id unique if a restarted
// host uses a number again.
type Attempt struct {
	Entry       EntryID     `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	Number      uint64      `json:"number"`
}

// IsZero reports whether a names no attempt.
func (a Attempt) IsZero() bool { return a == Attempt{} }

// String returns a as entry/incarnation/number, the form in headers and logs.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%d/%d", a.Entry, a.Incarnation, a.Number)
}

// attemptParts is the number of parts in the text form of an attempt.
const attemptParts = 3

// ParseAttempt parses the form that String returns.
func ParseAttempt(s string) (Attempt, error) {
	parts := strings.Split(s, "/")
	if len(parts) != attemptParts || parts[0] == "" {
		return Attempt{}, fmt.Errorf("attempt %q is not of the form entry/incarnation/number", s)
	}
	inc, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Attempt{}, fmt.Errorf("attempt %q has an incarnation that is not an unsigned integer", s)
	}
	n, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Attempt{}, fmt.Errorf("attempt %q has a number that is not an unsigned integer", s)
	}
	return Attempt{Entry: EntryID(parts[0]), Incarnation: Incarnation(inc), Number: n}, nil
}
