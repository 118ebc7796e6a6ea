package config

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The pages are made from the declarations. One that was not written again
// after a change tells operators of checks that are no longer so.
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
