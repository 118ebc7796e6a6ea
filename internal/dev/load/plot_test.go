package load

import (
	"os"
	"path/filepath"
	"testing"
)

// A load whose requests all failed, or took the same time, ends the program while it plots.
func TestPlotOfAnyResult(t *testing.T) {
	for name, q := range map[string]Quantiles{
		"nothing": {}, "equal": {5, 5, 5, 5, 5}, "usual": {1, 20, 300, 4000, 5000},
	} {
		file := filepath.Join(t.TempDir(), name+".png")
		if err := Plot(file, map[string]Result{name: {FirstToken: q}}); err != nil {
			t.Fatal(err)
		}
		if st, err := os.Stat(file); err != nil || st.Size() == 0 {
			t.Errorf("%s: no plot: %v", name, err)
		}
	}
}
