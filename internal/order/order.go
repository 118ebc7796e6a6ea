// Package order computes the order in which engines begin the requests that they are sent.
//
// # Usage
//
//	level := order.Level(profile.Priority, unread)
//
// Engines admit the request of the highest level first, and prefill its prompt before those of
// the others. Levels go by the tokens that are left to prefill, and by the urgency of the
// profile among prompts of about one length. By urgency alone every long prompt would wait
// behind every short one of a more urgent profile; docs/under-load.md has the figures.
package order

import "verbenadale.example/verbenadale/pkg/ident"

// MaxLevel is the highest level and the highest urgency of a profile.
const MaxLevel = 9

// The lengths that prompts go by, in tokens that are left to read. An engine that reads 70
// tokens in a millisecond needs 30 ms up to maxShort and 120 ms up to maxMedium: a prompt of the
// next length would hold up several of these for a noticeable part of a goal of a second.
const (
	maxShort  ident.Tokens = 2048
	maxMedium ident.Tokens = 8192
)

// levelsPerLength is how many levels there are for each length, by urgency.
const levelsPerLength = 3

// Level returns the level of a prompt by what is left to read of it and by the urgency of
// its profile, from 0 to Top.
func Level(urgency int, unread ident.Tokens) int {
	length := 0
	switch {
	case unread > maxMedium:
		length = 2
	case unread > maxShort:
		length = 1
	}
	return MaxLevel - levelsPerLength*length - min(max(MaxLevel-urgency, 0), levelsPerLength-1)
}
