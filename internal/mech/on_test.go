//go:build !ablate

package mech

import (
	"testing"

	"verbenadale.example/verbenadale/pkg/codes"
)

func TestAllEnabledInProductionBuild(t *testing.T) {
	t.Setenv("VERBENADALE_OFF", "VB6001")
	for _, c := range codes.Mechanisms {
		if !On(c) {
			t.Errorf("%s is disabled in a production build", c.ID)
		}
	}
}
