package demo

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/dev/replay"
)

// Guards against a demonstration that lacks an expected result, against decisions
// that depend on a clock, a random number or map order, since a recording of them
// cannot be replayed, and against a replay that accepts an altered recording.
func TestDemoShowsAndReplays(t *testing.T) {
	dir := t.TempDir()
	var out bytes.Buffer
	if err := Run(context.Background(), Config{Out: &out, RecordDir: dir}); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"[DONE]", "VB1005", "try 2: ulaanbaatar-publish-1 has run it 1 time(s)"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output does not contain %q:\n%s", want, out.String())
		}
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(len(centres)*entriesPerCentre, len(files)); diff != "" {
		t.Fatalf("number of recordings (-want +got):\n%s", diff)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if sum, err := replay.Replay(bytes.NewReader(text)); err != nil || sum.Events == 0 {
			t.Errorf("%s: %d events, %v", name, sum.Events, err)
		}
		altered := bytes.Replace(text, []byte(`"type":"wake","body":{"at":`), []byte(`"type":"wake","body":{"at":1`), 1)
		if _, err := replay.Replay(bytes.NewReader(altered)); !errors.Is(err, replay.ErrDiffers) {
			t.Errorf("%s: altered recording was accepted: %v", name, err)
		}
	}
}
