package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// partnerCount is the number of hosts of another data centre to which a host forwards. It
	// bounds the links of a host however many hosts the other data centre has. Each host has its
	// own partners, so that together they use all hosts of the other data centre evenly.
	partnerCount = 4
	// unreachableTTL is how long a host that could not be reached is left out.
	unreachableTTL = 3 * time.Second
	// maxUnreachable bounds the hosts of a data centre that are remembered as unreachable.
	maxUnreachable = 64
)

// unreachableHost is a host that this host could not reach.
type unreachableHost struct {
	id          ident.EntryID
	incarnation ident.Incarnation
	until       ident.Time
}

// ForwardHost returns the host of another data centre to which a request is forwarded: one of this
// host's partners there, selected by a hash of the request. Draining and unreachable hosts are
// replaced by the next in line, unless all hosts are unreachable.
func (tb *Table) ForwardHost(now ident.Time, c *Centre, key uint64) (event.Host, bool) {
	var partners [partnerCount]event.Host
	var scores [partnerCount]uint64
	n := 0
	self := rank.Hash("partner", string(tb.self.ID))
	for _, h := range c.Summary.Hosts {
		if h.Draining || c.isUnreachable(now, h) {
			continue
		}
		score := rank.Combine(self, rank.Hash(string(h.ID)))
		i := n
		for i > 0 && score > scores[i-1] {
			i--
		}
		if i == partnerCount {
			continue
		}
		n = min(n+1, partnerCount)
		copy(partners[i+1:n], partners[i:n-1])
		copy(scores[i+1:n], scores[i:n-1])
		partners[i], scores[i] = h, score
	}
	if n == 0 {
		return c.HostFor(key)
	}
	return partners[rank.Mix(key)%uint64(n)], true
}

// HostUnreachable records that this host could not reach a host of another data centre.
func (tb *Table) HostUnreachable(now ident.Time, dc ident.DataCentre, h event.Host) {
	i, ok := tb.findCentre(dc)
	if !ok {
		return
	}
	c := tb.centres[i]
	c.unreachable = slices.DeleteFunc(c.unreachable, func(u unreachableHost) bool { return u.id == h.ID || now >= u.until })
	if len(c.unreachable) == maxUnreachable {
		c.unreachable = slices.Delete(c.unreachable, 0, 1)
	}
	c.unreachable = append(c.unreachable, unreachableHost{h.ID, h.Incarnation, now.Add(unreachableTTL)})
}

// hostReachable forgets that a host could not be reached.
func (c *Centre) hostReachable(id ident.EntryID) {
	c.unreachable = slices.DeleteFunc(c.unreachable, func(u unreachableHost) bool { return u.id == id })
}

// isUnreachable reports whether this incarnation of a host could not be reached recently.
func (c *Centre) isUnreachable(now ident.Time, h event.Host) bool {
	return slices.ContainsFunc(c.unreachable, func(u unreachableHost) bool {
		return u.id == h.ID && u.incarnation == h.Incarnation && now < u.until
	})
}
