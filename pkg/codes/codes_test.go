package codes

import (
	"regexp"
	"strings"
	"testing"
)

var shape = regexp.MustCompile(`^VB[1-6][0-9]{3}$`)

// Guards against malformed or repeated ids, missing fields, and codes in the table
// of another family.
func TestCodesAreComplete(t *testing.T) {
	seen := make(map[ID]bool)
	for _, c := range All() {
		if !shape.MatchString(string(c.ID)) {
			t.Errorf("%s: an id is VB, the digit of its family and three digits", c.ID)
		}
		if seen[c.ID] {
			t.Errorf("%s: declared twice", c.ID)
		}
		seen[c.ID] = true
		if c.Title == "" || c.Text == "" || c.Since == "" || c.Severity == "" {
			t.Errorf("%s: a code needs title, text, version and severity", c.ID)
		}
		if strings.HasSuffix(c.Title, ".") {
			t.Errorf("%s: the title ends in a full stop", c.ID)
		}
	}
	for family, table := range [][]Code{Refusals, Filters, Settings, Profiles, Promises, Mechanisms} {
		for _, c := range table {
			if want := byte('1' + family); c.ID[2] != want {
				t.Errorf("%s: ids of its table begin with VB%c", c.ID, want)
			}
		}
	}
	for _, c := range Refusals {
		if c.Status < 400 {
			t.Errorf("%s: a refusal needs an HTTP status of 400 or more", c.ID)
		}
	}
}
