//go:build ablate

package mech

import (
	"testing"

	"verbenadale.example/verbenadale/pkg/codes"
)

func TestListedMechanismsAreDisabled(t *testing.T) {
	saved := disabled
	defer func() { disabled = saved }()
	disabled = parse("VB6001, VB6003")
	for _, c := range codes.Mechanisms {
		want := c.ID != "VB6001" && c.ID != "VB6003"
		if got := On(c); got != want {
			t.Errorf("%s is on: %v, want %v", c.ID, got, want)
		}
	}
}

// A misspelt mechanism counts as switched off and looks worthless.
func TestUndeclaredMechanismPanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("an id that is not declared is taken")
		}
	}()
	parse("VB6999")
}
