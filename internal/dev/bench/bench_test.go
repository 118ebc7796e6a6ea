package bench_test

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/dev/bench"
)

// Guards against a report that attributes figures to the wrong policy, when policies take turns
// in one fleet.
func TestPoliciesTakeTurns(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := filepath.Join(t.TempDir(), "verbdev")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/verbdev").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	rep, err := bench.Run(context.Background(), bench.Config{
		Program: program, Deployment: "clydeside", Scenario: "over1", Policies: []string{"cost", "random"},
		Duration: 2 * time.Second, Rounds: 1, Warmup: time.Second, Scale: 2, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	var policies []string
	for _, r := range rep.Rows {
		policies = append(policies, r.Policy)
		if r.Load.Done == 0 || r.Cost <= 0 || r.Attempts <= 0 || r.Load.Wrong > 0 {
			t.Errorf("%+v", r)
		}
	}
	if d := cmp.Diff([]string{"cost", "random"}, policies); d != "" {
		t.Error(d)
	}
	var table bytes.Buffer
	rep.Table(&table)
	if n := strings.Count(table.String(), "| "+policies[1]); n != 1 {
		t.Errorf("%d rows of a policy in\n%s", n, table.String())
	}
}

func TestUnknownNamesAreRefused(t *testing.T) {
	for _, cfg := range []bench.Config{{Deployment: "nowhere", Scenario: "steady"}, {Deployment: "foundation", Scenario: "none"}} {
		if _, err := bench.Run(context.Background(), cfg); err == nil {
			t.Errorf("%+v runs", cfg)
		}
	}
}
