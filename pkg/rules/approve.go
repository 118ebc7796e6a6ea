package rules

import "verbenadale.example/verbenadale/pkg/ident"

// NeedsApproval reports whether a change may come into force only with the
// approval of a second operator. Either side of the change can ask for it: the
// profile in force, so that one operator can't take the demand away alone, and
// the new document, so that a profile is under it from its first revision.
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
