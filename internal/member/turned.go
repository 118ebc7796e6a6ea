package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// turnedSpan is how long a data centre that has turned a request away gets no other one of that
// service which can go elsewhere. Its next summary takes as long.
const turnedSpan = 300 * time.Millisecond

// TurnAway records that a data centre had no room for a request of a service.
func (tb *Table) TurnAway(now ident.Time, dc ident.DataCentre, service string) {
	i, ok := tb.findCentre(dc)
	if !ok {
		return
	}
	c := tb.centres[i]
	if c.rejectedAt == nil {
		c.rejectedAt = make(map[string]ident.Time)
	}
	c.rejectedAt[service] = now
}

// TurnedAway reports whether a data centre has turned a request of a service away just now.
func (tb *Table) TurnedAway(now ident.Time, c *Centre, service string) bool {
	at, ok := c.rejectedAt[service]
	return ok && mech.On(codes.LeftAlone) && now.Sub(at) < turnedSpan
}
