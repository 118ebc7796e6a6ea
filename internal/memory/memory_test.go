package memory

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a limit that is not in force, and against one of zero bytes where the memory of the
// machine is unknown.
func TestApply(t *testing.T) {
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	for machine, want := range map[ident.Bytes]int64{0: math.MaxInt64, 100 << 20: 70 << 20} {
		got := Apply(machine)
		if diff := cmp.Diff([]int64{want, want}, []int64{got, debug.SetMemoryLimit(-1)}); diff != "" {
			t.Errorf("machine of %d bytes (-want +got):\n%s", machine, diff)
		}
	}
}

// sink keeps allocations on the heap.
var sink []byte

// Guards against a host that is killed for its garbage: one that holds much and decodes one large
// list after the other must stay below its limit.
func TestGarbageStaysBelowTheLimit(t *testing.T) {
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	const machine, live, piece = 256 << 20, 110 << 20, 4 << 20
	held := make([]byte, live)
	limit := Apply(machine)
	var peak uint64
	var m runtime.MemStats
	for i := range 400 {
		sink = make([]byte, piece)
		if i%20 == 0 {
			runtime.ReadMemStats(&m)
			peak = max(peak, m.Sys-m.HeapReleased)
		}
	}
	runtime.KeepAlive(held)
	if peak > uint64(limit) {
		t.Errorf("%d MB in use, the limit is %d MB", peak>>20, limit>>20)
	}
}
