package ablate

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/codes"
)

var mechanisms = []codes.Code{{ID: "VB6001", Title: "one"}, {ID: "VB6002", Title: "two"}}

// script is a command whose figure is 10 times the seed plus 0.5, and 1 less without VB6001.
const script = `
echo "worth 999"
n=$(({seed} * 10))
if [ "$VERBENADALE_OFF" = VB6001 ]; then n=$((n - 1)); fi
echo "{case} {off} worth $n.5"
`

func config(command string) Config {
	return Config{
		Command: []string{"sh", "-c", command}, Figure: regexp.MustCompile(`worth ([0-9.]+)`),
		Cases: []string{"a", "b"}, Seeds: []int{1, 2}, Mechanisms: mechanisms, Out: &bytes.Buffer{},
	}
}

// Guards against differences between cases and seeds that hide the contribution of a mechanism:
// figures are compared run by run.
func TestWorthIsComparedRunByRun(t *testing.T) {
	table, err := Run(t.Context(), config(script))
	if err != nil {
		t.Fatal(err)
	}
	want := Table{
		{Title: "all mechanisms", Figures: []float64{10.5, 20.5, 10.5, 20.5}},
		{Disabled: "VB6001", Title: "one", Figures: []float64{9.5, 19.5, 9.5, 19.5}},
		{Disabled: "VB6002", Title: "two", Figures: []float64{10.5, 20.5, 10.5, 20.5}},
	}
	if diff := cmp.Diff(want, table); diff != "" {
		t.Fatalf("table (-want +got):\n%s", diff)
	}
	var b strings.Builder
	if err := table.Write(&b); err != nil {
		t.Fatal(err)
	}
	text := `| without | mean | worth | of the mechanism |
|---|---|---|---|
| nothing | 15.5000 | | 4 plays |
| VB6001 | 14.5000 | +1.0000 ± 0.0000 | one |
| VB6002 | 15.5000 | +0.0000 ± 0.0000 | two |
`
	if diff := cmp.Diff(text, b.String()); diff != "" {
		t.Errorf("table (-want +got):\n%s", diff)
	}
}

// Guards against means over different cases: a run that fails, or prints no figure, ends the
// whole measurement.
func TestFailedRunEndsTheMeasurement(t *testing.T) {
	for name, command := range map[string]string{
		"exit":      `echo "worth 1"; exit 3`,
		"no figure": `echo nothing`,
	} {
		if table, err := Run(t.Context(), config(command)); err == nil {
			t.Errorf("%s: %v", name, table)
		}
	}
}
