// Package rank orders hosts and targets by rendezvous hashing, so that hosts
// agree on an assignment without communication.
//
// # Usage
//
// Each candidate gets a score for a key, and the highest score wins:
//
//	h := rank.Hash("watch", string(host.ID))
//
// When a candidate is removed, only its own keys move. Weighted scores give each
// candidate a share of the keys in proportion to its weight:
//
//	s := rank.Score(rank.Hash(key, id), slots)
//
// The hash is the same in every process and on every run. It does not resist an
// attacker who chooses the keys.
package rank

import "math"

// Constants of 64-bit FNV-1a.
const (
	offset64 = 14695981039346656037
	prime64  = 1099511628211
)

// mantissaBits is the number of hash bits that Unit keeps in a float64.
const mantissaBits = 53

// Hash returns a hash of the parts. Boundaries between parts are significant.
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

// Mix spreads each bit of h over all others. Plain FNV gives keys that differ only in
// their last character almost equal high bits.
func Mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Unit maps h to a number strictly between 0 and 1.
func Unit(h uint64) float64 {
	return (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// Score returns the score of a candidate with the given weight. Over many keys, each
// candidate wins a share in proportion to its weight.
func Score(h uint64, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(Unit(h))
}
