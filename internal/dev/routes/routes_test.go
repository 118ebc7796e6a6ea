package routes

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"verbenadale.example/verbenadale/internal/dev/ports"
)

// Guards against a demo, the second command of the README, that does not work.
func TestShow(t *testing.T) {
	f, err := Start(Config{Log: logr.Discard(), Addr: ports.Next})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	var out strings.Builder
	if err := f.Show(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"data: piece 6", "POST /publish/notice notice by board-east", "by board-west", "404 Not Found"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
}
