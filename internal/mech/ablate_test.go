//go:build ablate

package mech

import (
	"testing"

	"verbenadale.example/verbenadale/pkg/codes"
)

func TestOnlyWhatIsNamedIsOff(t *testing.T) {
	was := left
	defer func() { left = was }()
	left = parse("VB6001, VB6003")
	for _, c := range codes.Mechanisms {
		want := c.ID != "VB6001" && c.ID != "VB6003"
		if got := On(c); got != want {
			t.Errorf("%s is on: %v, want %v", c.ID, got, want)
		}
	}
}

// A misspelt mechanism counts as switched off and looks worthless.
func TestUnknownMechanismIsNoted(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("an id that is not declared is taken")
		}
	}()
	parse("VB6999")
}
