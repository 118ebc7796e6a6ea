package rules

import "verbenadale.example/verbenadale/pkg/ident"

// NeedsApproval reports whether a change of the given items requires the
// approval of a second operator. It does if a profile in force sets
// TwoOperators, so that one operator can't remove the requirement alone, or if
// a new document sets it, so that it applies from the first revision of the
// profile.
func (b *Book) NeedsApproval(items []Item) bool {
	for _, it := range items {
		if it.Kind != KindProfile {
			continue
		}
		if old, ok := b.Profile(ident.Profile(it.Name)); ok && old.TwoOperators {
			return true
		}
		if it.Deletes() {
			continue
		}
		if p, err := it.Profile(); err == nil && p.TwoOperators {
			return true
		}
	}
	return false
}
