package httpcl

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against accepting malformed heads, and against rejecting sound ones.
func TestCheckHead(t *testing.T) {
	for _, c := range []struct {
		status  int
		name    string
		want    error
		interim bool
	}{
		{status: 0, want: ErrMalformed},
		{status: 20, want: ErrMalformed},
		{status: 99, want: ErrMalformed},
		{status: 100, want: ErrMalformed, interim: true},
		{status: 101, want: ErrMalformed},
		{status: 103, want: ErrMalformed, interim: true},
		{status: 199, want: ErrMalformed, interim: true},
		{status: 200},
		{status: 204, name: "X-A"},
		{status: 304},
		{status: 599},
		{status: 999},
		{status: 200, name: "!#$%&'*+-.^_`|~09aZ"},
		{status: 200, name: "X-A ", want: ErrMalformed},
		{status: 200, name: " X-A", want: ErrMalformed},
		{status: 503, name: "X A", want: ErrMalformed},
		{status: 200, name: "X\tA", want: ErrMalformed},
		{status: 200, name: "X\x00A", want: ErrMalformed},
		{status: 200, name: "X\x7fA", want: ErrMalformed},
		{status: 200, name: "Xä", want: ErrMalformed},
		{status: 200, name: "X:", want: ErrMalformed},
	} {
		h := http.Header{}
		if c.name != "" {
			h[c.name] = []string{"v"}
		}
		if diff := cmp.Diff(c.want, CheckHead(c.status, h), cmpopts.EquateErrors()); diff != "" {
			t.Errorf("status %d, name %q (-want +got):\n%s", c.status, c.name, diff)
		}
		if got := IsInterim(c.status); got != c.interim {
			t.Errorf("status %d is interim: %v", c.status, got)
		}
	}
}
