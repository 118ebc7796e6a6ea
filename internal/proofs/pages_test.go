package proofs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The commands of the operators' page must work as written.
func TestOperatorsPageRunsAsWritten(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	script := shellBlocks(string(page))
	if !strings.Contains(script, "verbctl profiles rollback") || !strings.Contains(script, "verbctl drain") {
		t.Fatalf("the page lacks commands that this test checks:\n%s", script)
	}
	dir := t.TempDir()
	if err := os.Symlink(binDir, filepath.Join(dir, "bin")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "bash", "-m", "-e", "-c", "trap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n"+script)
	cmd.Dir = dir
	cmd.WaitDelay = time.Second
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Errorf("a command of the page fails: %v\n%s", err, out)
	}
}

// shellBlocks returns the shell commands of a page except for the build.
func shellBlocks(page string) string {
	var lines []string
	in := false
	for _, line := range strings.Split(page, "\n") {
		switch {
		case strings.HasPrefix(line, "```"):
			in = line == "```sh"
		case in && !strings.HasPrefix(line, "go build"):
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}
