//go:build ablate

package mech

import (
	"cmp"
	"os"
	"slices"
	"strings"

	"verbenadale.example/verbenadale/pkg/codes"
)

// off names the mechanisms that are left out, by their ids behind commas. The environment
// goes before what the build says.
var off string

var disabled = parse(cmp.Or(os.Getenv("VERBENADALE_OFF"), off))

// parse reads the ids. One that is not declared ends the process: the run would measure
// nothing, and look as if the mechanism were worth nothing.
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

// On reports whether a mechanism is on.
func On(c codes.Code) bool { return !disabled[c.ID] }
