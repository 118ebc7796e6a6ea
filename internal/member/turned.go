package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// turnedSpan is how long a data centre that has turned a request away gets no other of that
// service which has a place elsewhere. Its next word of its load takes as long. Without it
// 277 long prompts of a day were passed on to two regions one after the other, refused in
// both, and then refused here.
const turnedSpan = 300 * time.Millisecond

// TurnAway takes note that a data centre had no room for a request of a service.
func (tb *Table) TurnAway(now ident.Time, dc ident.DataCentre, service string) {
	i, ok := tb.findCentre(dc)
	if !ok {
		return
	}
	c := tb.centres[i]
	if c.away == nil {
		c.away = make(map[string]ident.Time)
	}
	c.away[service] = now
}

// TurnedAway reports whether a data centre has turned a request of a service away just now.
func (tb *Table) TurnedAway(now ident.Time, c *Centre, service string) bool {
	at, ok := c.away[service]
	return ok && mech.On(codes.LeftAlone) && now.Sub(at) < turnedSpan
}
