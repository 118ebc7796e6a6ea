// Package order computes the priority level by which engines order requests.
//
// # Usage
//
//	level := order.Level(profile.Priority, prefill)
//
// Engines admit the request of the highest level first and prefill its prompt before all others.
// The level depends first on the tokens left to prefill and then, among prompts of similar
// length, on the urgency of the profile. By urgency alone every long prompt would wait behind
// every short one of a more urgent profile; docs/under-load.md has the figures.
package order

import "verbenadale.example/verbenadale/pkg/ident"

// MaxLevel is the highest level, and also the highest urgency of a profile.
const MaxLevel = 9

// Bounds between short, medium and long prompts, in tokens left to prefill. An engine that
// prefills 70 tokens per millisecond needs 30 ms for maxShort and 120 ms for maxMedium: a longer
// prompt would delay several prompts of the shorter class by a noticeable part of a goal of one
// second.
const (
	maxShort  ident.Tokens = 2048
	maxMedium ident.Tokens = 8192
)

// levelsPerLength is the number of levels for each length, by urgency.
const levelsPerLength = 3

// Level returns the level of a prompt, from 0 to MaxLevel, by the tokens left to prefill and the
// urgency of its profile.
func Level(urgency int, prefill ident.Tokens) int {
	length := 0
	switch {
	case prefill > maxMedium:
		length = 2
	case prefill > maxShort:
		length = 1
	}
	return MaxLevel - levelsPerLength*length - min(max(MaxLevel-urgency, 0), levelsPerLength-1)
}
