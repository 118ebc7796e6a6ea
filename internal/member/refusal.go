package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// refusalBackoff is how long a data centre that has refused a request gets no further requests of
// the same service that can be served elsewhere. Its next summary takes about as long to arrive.
const refusalBackoff = 300 * time.Millisecond

// RecordRefusal records that a data centre had no capacity for a request of a service.
func (tb *Table) RecordRefusal(now ident.Time, dc ident.DataCentre, service string) {
	i, ok := tb.findCentre(dc)
	if !ok {
		return
	}
	c := tb.centres[i]
	if c.refusedAt == nil {
		c.refusedAt = make(map[string]ident.Time)
	}
	c.refusedAt[service] = now
}

// RecentlyRefused reports whether a data centre has refused a request of a service within
// refusalBackoff.
func (tb *Table) RecentlyRefused(now ident.Time, c *Centre, service string) bool {
	at, ok := c.refusedAt[service]
	return ok && mech.On(codes.RefusalBackoff) && now.Sub(at) < refusalBackoff
}
