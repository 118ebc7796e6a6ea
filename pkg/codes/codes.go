// Package codes declares every code that verbenadale shows to callers and
// operators: refusals, routing filters, settings checks, profile checks,
// promises and mechanisms.
//
// # Usage
//
// Each code is declared once, as a variable that the table of its family
// lists. The running system, the command line and the generated documentation
// all use this declaration:
//
//	c, ok := codes.Find("VB1004")
//	fmt.Println(c.Title, c.Text)
//
// The first digit is the family: VB1 refusals, VB2 routing filters, VB3
// settings checks, VB4 profile checks, VB5 promises, VB6 mechanisms.
package codes

import (
	"slices"
	"strings"
	"sync"
)

// ID is the stable identifier of a code, such as VB1004. An id is never reused
// for another meaning.
type ID string

// Severity is the severity of a code for its reader.
type Severity string

// The severities, in ascending order.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Code is the declaration of one code.
type Code struct {
	ID ID
	// Title is one sentence in lower case without a full stop.
	Title string
	// Text says what happened, how to notice it and what to do.
	Text string
	// Since is the version that introduced the code.
	Since    string
	Severity Severity
	// Status is the HTTP status of a refusal. It is zero in the other families.
	Status int
	// RetryLater is set if the same request may succeed later. The answer then
	// has a Retry-After header.
	RetryLater bool
}

// All returns every declared code, sorted by id.
func All() []Code {
	all := slices.Concat(Refusals, Filters, Settings, Profiles, Promises, Mechanisms)
	slices.SortFunc(all, func(a, b Code) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// index maps ids to codes. It is built only once because each refusal looks up
// its code, and in an overload refusals are frequent.
var index = sync.OnceValue(func() map[ID]Code {
	m := make(map[ID]Code)
	for _, c := range All() {
		m[c.ID] = c
	}
	return m
})

// Find returns the code with the given id, and whether there is one.
func Find(id ID) (Code, bool) {
	c, ok := index()[id]
	return c, ok
}
