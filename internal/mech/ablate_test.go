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
			t.Errorf("%s is enabled: %v, want %v", c.ID, got, want)
		}
	}
}

// Guards against a misspelt id that disables nothing, so that the run shows the mechanism as
// useless.
func TestUndeclaredMechanismPanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("an id that is not declared is accepted")
		}
	}()
	parse("VB6999")
}
