package drive

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// link is the state of the link between two hosts after WatchLinks.
type link struct {
	// silentSince is when the last message could pass in both directions, goodSince since when all can.
	silentSince, goodSince ident.Time
	down                   bool
}

// Intervals of the links: between two looks at them, and until a link that has failed is there again.
const (
	linkInterval = 250 * time.Millisecond
	redialDelay  = time.Second
)

// hostPair names two hosts, the lesser id first.
type hostPair struct{ a, b ident.EntryID }

func pairOf(a, b ident.EntryID) hostPair { return hostPair{min(a, b), max(a, b)} }

// WatchLinks makes links fail once no message has passed for timeout in one direction, and come back after the cut. From then on the
// links of a host that is killed fail at once.
func (d *Driver) WatchLinks(timeout time.Duration) {
	d.links = make(map[hostPair]*link)
	d.checkLinks(timeout)
}

func (d *Driver) checkLinks(timeout time.Duration) {
	for i, a := range d.Hosts {
		for _, b := range d.Hosts[i+1:] {
			d.checkLink(a, b, timeout)
		}
	}
	d.schedule(linkInterval, func() { d.checkLinks(timeout) })
}

func (d *Driver) checkLink(a, b *Host, timeout time.Duration) {
	pair := pairOf(a.ID, b.ID)
	l := d.links[pair]
	if l == nil {
		l = &link{silentSince: d.Now, goodSince: d.Now}
		d.links[pair] = l
	}
	_, lost := d.Delay(a.Host, b.Host)
	_, lostBack := d.Delay(b.Host, a.Host)
	if lost || lostBack || a.isStopped(d.Now) || b.isStopped(d.Now) {
		l.goodSince = d.Now
		if !l.down && d.Now.Sub(l.silentSince) >= timeout {
			d.breakLink(a, b)
		}
		return
	}
	l.silentSince = d.Now
	if l.down && d.Now.Sub(l.goodSince) >= redialDelay {
		l.down = false
		d.message(a.Host, b.Host, nil, event.PeerUp{Host: a.Host})
		d.message(b.Host, a.Host, nil, event.PeerUp{Host: b.Host})
	}
}

// isStopped reports whether a host handles no events at the moment.
func (h *Host) isStopped(now ident.Time) bool { return h.dead || h.frozenUntil > now }

func (d *Driver) breakLink(a, b *Host) {
	d.links[pairOf(a.ID, b.ID)].down = true
	d.Post(a.ID, 0, event.PeerDown{Entry: b.ID})
	d.Post(b.ID, 0, event.PeerDown{Entry: a.ID})
}

// breakLinks ends the links of a host whose process ends. The others see that unless a cut hides it.
func (d *Driver) breakLinks(h *Host) {
	if d.links == nil {
		return
	}
	for _, o := range d.Hosts {
		if o == h || o.dead || d.isLinkDown(h.ID, o.ID) {
			continue
		}
		if after, lost := d.Delay(h.Host, o.Host); !lost {
			d.Post(o.ID, after, event.PeerDown{Entry: h.ID})
			d.links[pairOf(h.ID, o.ID)] = &link{down: true}
		}
	}
}

// forgetLinks forgets the state of the links of a host that starts.
func (d *Driver) forgetLinks(h *Host) {
	for _, o := range d.Hosts {
		delete(d.links, pairOf(h.ID, o.ID))
	}
}

// isLinkDown reports whether a link has failed.
func (d *Driver) isLinkDown(a, b ident.EntryID) bool {
	l := d.links[pairOf(a, b)]
	return l != nil && l.down
}
