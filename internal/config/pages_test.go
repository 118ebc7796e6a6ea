package config

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an out-of-date page after a declaration has changed without the page
// being generated again.
func TestPagesAreCurrent(t *testing.T) {
	for file, want := range map[string]string{"../../docs/settings.md": Page(), "../../docs/codes.md": CodesPage()} {
		have, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, string(have)); diff != "" {
			t.Errorf("%s is out of date, run \"go run ./cmd/verbenadale docs\" (-want +got):\n%s", file, diff)
		}
	}
}
