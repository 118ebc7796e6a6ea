// Package ident holds the named types for identities and units that every
// other package of verbenadale shares.
//
// # Usage
//
// An identity is a string or number with a type of its own, so that a target
// can't be passed where an entry host is meant:
//
//	var to ident.TargetID = "uvs-engine-3"
//
// Time is read from a monotonic clock of one process. It has no meaning in
// another process: what travels between processes is an age or a remaining
// time, never a Time. A clock that jumps on one host therefore shifts no
// deadline on another.
package ident

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Region names a region: a place that residency rules name.
type Region string

// DataCentre names a data centre. It lies in exactly one region.
type DataCentre string

// EntryID names an entry host, for all its incarnations.
type EntryID string

// TargetID names a target: a model engine or a plain service.
type TargetID string

// Account names a client account.
type Account string

// Operator names a person who may change profiles.
type Operator string

// Profile names a profile.
type Profile string

// Model names a model as engines report it.
type Model string

// Version names a version of a model.
type Version string

// Adapter names an adapter that is loaded on top of a model.
type Adapter string

// RequestID names one request of a caller. It is unique for all entry hosts.
type RequestID string

// ChangeID names one proposed change of the configuration. The writer picks
// it, so that it can recognise its own write after a lost reply.
type ChangeID string

// Incarnation distinguishes two runs of one entry host or target. A later run
// has a higher number: it is the wall clock at the start in nanoseconds.
type Incarnation uint64

// Revision counts the accepted changes of the configuration from 1. Zero is
// the empty configuration.
type Revision uint64

// Fence is a fencing number that goes with an order to a target. A target
// that checks fencing refuses an order with a lower number than it has seen.
type Fence uint64

// Tokens counts tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Hops counts how often a request was passed from one region to another.
type Hops int

// PerMinute is a rate of requests or tokens in one minute.
type PerMinute float64

// Time is a reading of the process's monotonic clock in nanoseconds.
type Time int64

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t lies before u.
func (t Time) Before(u Time) bool { return t < u }

// Attempt names one try to run a request. The entry host that starts the try
// numbers it, and its incarnation keeps a restarted host from using a number
// twice.
type Attempt struct {
	Entry       EntryID     `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	Number      uint64      `json:"number"`
}

// IsZero reports whether a names no attempt.
func (a Attempt) IsZero() bool { return a == Attempt{} }

// String writes a as entry/incarnation/number, the form of headers and logs.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%d/%d", a.Entry, a.Incarnation, a.Number)
}

// attemptParts is the number of parts in the text form of an attempt.
const attemptParts = 3

// ParseAttempt reads the form that String writes.
func ParseAttempt(s string) (Attempt, error) {
	parts := strings.Split(s, "/")
	if len(parts) != attemptParts || parts[0] == "" {
		return Attempt{}, fmt.Errorf("attempt %q is not of the form entry/incarnation/number", s)
	}
	inc, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Attempt{}, fmt.Errorf("attempt %q has an incarnation that is no number", s)
	}
	n, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Attempt{}, fmt.Errorf("attempt %q has a number that is none", s)
	}
	return Attempt{Entry: EntryID(parts[0]), Incarnation: Incarnation(inc), Number: n}, nil
}
