// Package memory keeps the memory of the process within the limit of its machine.
//
// # Usage
//
//	memory.Apply(ident.Bytes(512 << 20)) // once, at the start
//
// A process that exceeds the memory of its machine is killed with all its requests, so that
// the Go runtime gets a soft limit below it. Near the limit the runtime collects garbage more
// often, for at most half of the processor time; if the live data alone exceeds the limit,
// the process slows down and grows on.
package memory

import (
	"math"
	"runtime/debug"

	"verbenadale.example/verbenadale/pkg/ident"
)

// limitRatio is the part of the machine's memory that the runtime may use. The rest is for the
// program itself and for data in the kernel.
const limitRatio = 0.7

// Apply configures the runtime for a machine with the given memory, zero if that is unknown. It
// returns the soft limit in bytes, or math.MaxInt64 for none.
func Apply(machine ident.Bytes) int64 {
	limit := int64(math.MaxInt64)
	if machine > 0 {
		limit = int64(limitRatio * float64(machine))
	}
	debug.SetMemoryLimit(limit)
	return limit
}
