// Package rank orders hosts and targets by rendezvous hashing, so that many
// hosts agree on who does what without asking each other.
//
// # Usage
//
// Each candidate gets a score for a key, and the highest score wins:
//
//	h := rank.Hash("watch", string(host.ID))
//
// When a candidate goes, only the keys that it held move. Scores with weights
// give each candidate a share of the keys by its weight:
//
//	s := rank.Score(rank.Hash(key, id), slots)
//
// The hash is the same in every process and on every run. It is no defence
// against someone who picks the keys.
package rank

import "math"

// The constants of FNV-1a with 64 bits.
const (
	offset64 = 14695981039346656037
	prime64  = 1099511628211
)

// mantissaBits is the number of bits of a float64 between 0 and 1 that a hash can
// fill.
const mantissaBits = 53

// Hash returns a hash of the parts. The boundaries between parts count.
func Hash(parts ...string) uint64 {
	h := uint64(offset64)
	for _, p := range parts {
		for i := range len(p) {
			h = (h ^ uint64(p[i])) * prime64
		}
		h = (h ^ 0xff) * prime64
	}
	return Mix(h)
}

// Combine returns a hash of a hash and a number.
func Combine(h, n uint64) uint64 { return Mix(h ^ Mix(n+offset64)) }

// Mix spreads each bit of h over all others. FNV alone leaves the high bits of
// keys alike that differ in their last letter.
func Mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Unit returns h as a number above 0 and below 1.
func Unit(h uint64) float64 {
	return (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// Score returns the score of a candidate with a weight: of many keys, each
// candidate wins a share in proportion to its weight.
func Score(h uint64, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(Unit(h))
}
