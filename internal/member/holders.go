package member

import (
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// maxHolders bounds the prefix holders of one digest, of 12 bytes each.
const maxHolders = 32

// Holds records that a target was sent a prompt with a long shared prefix, which is named by
// its last block. The next digest announces it.
func (tb *Table) Holds(id ident.TargetID, part uint64) {
	t, ok := tb.byID[id]
	if !ok || len(tb.heartbeat.holders) >= maxHolders {
		return
	}
	key := keyOf(id)
	if tb.byKey[key] != t {
		return // Another target goes by the same key.
	}
	h := event.PrefixHolder{Target: key, Part: part}
	if !slices.Contains(tb.heartbeat.holders, h) {
		tb.heartbeat.holders = append(tb.heartbeat.holders, h)
	}
}

// nextHolders returns the holders for the next digest, once.
func (tb *Table) nextHolders() []event.PrefixHolder {
	hs := tb.heartbeat.holders
	tb.heartbeat.holders = nil
	return hs
}

// Named returns the target that goes by a key.
func (tb *Table) Named(key event.TargetKey) (*Target, bool) {
	t := tb.byKey[key]
	return t, t != nil
}
