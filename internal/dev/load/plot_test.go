package load

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a panic while plotting: the range of the logarithmic axis reaches zero if all
// requests failed or took the same time.
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
