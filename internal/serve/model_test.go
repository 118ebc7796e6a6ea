package serve

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestWithModel(t *testing.T) {
	for _, tc := range []struct{ in, want string }{
		{`{"model":"obituary","prompt":"a"}`, `{"model":"draft","prompt":"a"}`},
		{`{ "prompt" : {"model":"x"}, "model" :  "obituary" }`, `{ "prompt" : {"model":"x"}, "model" :  "draft" }`},
		{`{"model":"one","model":"two"}`, `{"model":"one","model":"draft"}`},
		{`{"prompt":"a"}`, `{"prompt":"a"}`},
		{`[1]`, `[1]`},
		{`{"model":`, `{"model":`},
	} {
		if diff := cmp.Diff(tc.want, string(withModel([]byte(tc.in), "draft"))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.in, diff)
		}
	}
}
