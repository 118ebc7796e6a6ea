//go:build ablate

package mech

import (
	"cmp"
	"os"
	"slices"
	"strings"

	"verbenadale.example/verbenadale/pkg/codes"
)

// off lists the ids of the disabled mechanisms, separated by commas. The linker sets it; the
// environment variable VERBENADALE_OFF takes precedence.
var off string

var disabled = parse(cmp.Or(os.Getenv("VERBENADALE_OFF"), off))

// parse returns the set of the listed ids. It panics on an id that is not declared: the run would
// measure nothing and make the mechanism look useless.
func parse(ids string) map[codes.ID]bool {
	out := make(map[codes.ID]bool)
	for text := range strings.SplitSeq(ids, ",") {
		id := codes.ID(strings.TrimSpace(text))
		if id == "" {
			continue
		}
		if !slices.ContainsFunc(codes.Mechanisms, func(c codes.Code) bool { return c.ID == id }) {
			panic("mech: " + string(id) + " is not declared, see codes.Mechanisms")
		}
		out[id] = true
	}
	return out
}

// On reports whether a mechanism is enabled.
func On(c codes.Code) bool { return !disabled[c.ID] }
