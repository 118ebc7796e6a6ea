package config

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A generated page is out of date, because a declaration changed and the page was
// not generated again.
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
