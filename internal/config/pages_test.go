package config

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A generated page describes checks that have changed since.
func TestPagesFresh(t *testing.T) {
	for file, want := range map[string]string{"../../docs/settings.md": Page(), "../../docs/codes.md": CodesPage()} {
		have, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, string(have)); diff != "" {
			t.Errorf("%s is stale, run \"go run ./cmd/verbenadale docs\" (-want +got):\n%s", file, diff)
		}
	}
}
