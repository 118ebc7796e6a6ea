// Package codes declares every code that verbenadale shows to callers and
// operators: refusals, routing filters, settings checks, promises and mechanisms.
//
// # Usage
//
// A code is declared once, as a value, in the table of its family. The same
// value serves the running system, the command line and the generated pages:
//
//	c, ok := codes.Find("VB1004")
//	fmt.Println(c.Title, c.Text)
//
// The first digit is the family: VB1 refusals, VB2 routing
// filters, VB3 settings checks, VB4 profile checks, VB5 promises, VB6 mechanisms.
package codes

import (
	"slices"
	"strings"
	"sync"
)

// ID is the stable name of a code, such as VB1004. It is never given to
// another meaning.
type ID string

// Severity says how much a code matters to who reads it.
type Severity string

// The severities, from the mildest.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Code is one declared code.
type Code struct {
	// ID is the stable name.
	ID ID
	// Title is one plain sentence, in lower case and without a full stop.
	Title string
	// Text says what happened, how to notice it and what to do.
	Text string
	// Since is the first version that knows the code.
	Since string
	// Severity says how much it matters.
	Severity Severity
	// Status is the HTTP status of a refusal, zero for the other families.
	Status int
	// RetryLater says that the same request may succeed later, so that the answer
	// carries a Retry-After.
	RetryLater bool
}

// All returns every declared code in the order of the ids.
func All() []Code {
	all := slices.Concat(Refusals, Filters, Settings, Profiles, Promises, Mechanisms)
	slices.SortFunc(all, func(a, b Code) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// index holds every code by its id. It is made once: refusals look codes up at
// the rate of a flood.
var index = sync.OnceValue(func() map[ID]Code {
	m := make(map[ID]Code)
	for _, c := range All() {
		m[c.ID] = c
	}
	return m
})

// Find returns the code with the given id.
func Find(id ID) (Code, bool) {
	c, ok := index()[id]
	return c, ok
}
