package proofs

import (
	"os/exec"
	"strings"
	"testing"
)

// Production programs must not link the stand-ins, which inject faults.
func TestProductionLinksNoStandIn(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "../../cmd/verbenadale", "../../cmd/verbctl").Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), "/internal/core\n") {
		t.Fatalf("the list lacks the reducer: %s", out)
	}
	for _, pkg := range strings.Fields(string(out)) {
		if strings.Contains(pkg, "/internal/dev/") {
			t.Errorf("a production program links %s", pkg)
		}
	}
}
