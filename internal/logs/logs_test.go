package logs

import (
	"bytes"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	lvl := NewLevel(0)
	log := New(&out, lvl)
	log.Info("peer is up", "entry", "uvs-1")
	log.V(1).Info("request", "outcome", "done")
	lvl.Set(1)
	log.V(1).Info("request", "outcome", "done")
	log.Error(errors.New("no route"), "start failed")
	got := regexp.MustCompile(`time=\S+ `).ReplaceAllString(out.String(), "")
	want := `level=0 msg="peer is up" entry=uvs-1
level=1 msg=request outcome=done
level=error msg="start failed" err="no route"
`
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
