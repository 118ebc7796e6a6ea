package member

import (
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// maxHolders bounds the prefix holders in one digest, at 12 bytes each.
const maxHolders = 32

// PrefixSent records that a target was sent a prompt with a long shared prefix, which is identified
// by its last block. The next digest announces it.
func (tb *Table) PrefixSent(id ident.TargetID, lastBlock uint64) {
	t, ok := tb.byID[id]
	if !ok || len(tb.heartbeat.holders) >= maxHolders {
		return
	}
	key := targetKey(id)
	if tb.byKey[key] != t {
		return // The key is ambiguous.
	}
	h := event.PrefixHolder{Target: key, LastBlock: lastBlock}
	if !slices.Contains(tb.heartbeat.holders, h) {
		tb.heartbeat.holders = append(tb.heartbeat.holders, h)
	}
}

// takeHolders returns the holders for the next digest and clears them.
func (tb *Table) takeHolders() []event.PrefixHolder {
	hs := tb.heartbeat.holders
	tb.heartbeat.holders = nil
	return hs
}

// TargetByKey returns the target with the given key. It returns none if several targets have the
// key.
func (tb *Table) TargetByKey(key event.TargetKey) (*Target, bool) {
	t := tb.byKey[key]
	return t, t != nil
}
