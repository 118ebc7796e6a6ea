package drive

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
)

// Intervals and timeouts of the feed, those of package platform.
const (
	feedTimeout      = 1200 * time.Millisecond
	activeInterval   = 400 * time.Millisecond
	followerInterval = 15 * time.Second
	minRetryDelay    = 150 * time.Millisecond
	maxRetryDelay    = 800 * time.Millisecond
)

// feed is how a host reads the platform's list after StartFeeds.
type feed struct {
	// An active reader waits for changes in each call, a follower makes calls now and then.
	follower bool
	// version is the one that was last read, zero for none.
	version  uint64
	failures int
	// call numbers the calls and the delays between them, so that what has ended has no effect.
	call uint64
	// reading is set while a call is running, and waiting while the platform holds it back until the list changes.
	// With polled, the next call follows at once.
	reading, waiting, polled bool
}

// StartFeeds makes the hosts read the platform's list continuously, or when they ask to, as package platform does.
func (d *Driver) StartFeeds() {
	d.feeds = true
	for _, h := range d.Hosts {
		d.readAfter(h, 0)
	}
}

// pace switches between active reader and follower.
func (d *Driver) pace(h *Host, active bool) {
	was := h.feed.follower
	h.feed.follower = !active
	if active && was {
		d.pollList(h)
	}
}

// pollList reads the list at once, or after the call that is running.
func (d *Driver) pollList(h *Host) {
	switch {
	case !d.feeds:
	case h.feed.reading:
		h.feed.polled = true
	default:
		d.readAfter(h, 0)
	}
}

// afterCall calls run after a delay, unless the call of the feed has ended by then.
func (d *Driver) afterCall(h *Host, after time.Duration, run func()) {
	call, incarnation := h.feed.call, h.Incarnation
	d.schedule(after, func() {
		if h.feed.call == call && h.Incarnation == incarnation && !h.dead {
			run()
		}
	})
}

// readAfter starts the next call after a delay.
func (d *Driver) readAfter(h *Host, after time.Duration) {
	h.feed.call++
	h.feed.reading, h.feed.waiting = false, false
	d.afterCall(h, after, func() { d.readFeed(h) })
}

// readFeed calls the platform. A frozen host does so later.
func (d *Driver) readFeed(h *Host) {
	f := &h.feed
	if h.frozenUntil > d.Now {
		d.readAfter(h, h.frozenUntil.Sub(d.Now))
		return
	}
	f.call++
	f.reading, f.polled = true, false
	switch {
	case !d.platformReachable(h, "list"):
		d.afterCall(h, failureDelay, func() { d.feedFailed(h) })
	case !f.follower && f.version == d.platform.hostsVersion && f.failures == 0:
		f.waiting = true
		d.afterCall(h, feedTimeout, func() { d.answerFeed(h) })
	default:
		d.answerFeed(h)
	}
}

// feedFailed reports a failed call.
func (d *Driver) feedFailed(h *Host) {
	h.feed.failures++
	d.Post(h.ID, 0, event.PlatformFailed{Op: event.OpReadHosts})
	d.readAfter(h, min(minRetryDelay<<min(h.feed.failures-1, 4), maxRetryDelay))
}

// answerFeed ends a call with what the list holds now. The answer is lost if the platform can't be reached any more.
func (d *Driver) answerFeed(h *Host) {
	f := &h.feed
	f.call++
	f.waiting = false
	if d.PlatformDown(h.Host) {
		d.afterCall(h, failureDelay, func() { d.feedFailed(h) })
		return
	}
	if f.version != d.platform.hostsVersion || f.failures > 0 {
		d.readBegun(h)
		d.Post(h.ID, callDelay, d.list())
	}
	d.Post(h.ID, callDelay, event.ListRead{})
	f.version, f.failures = d.platform.hostsVersion, 0
	d.afterCall(h, callDelay, func() { d.scheduleRead(h) })
}

// scheduleRead starts the call that follows a successful one.
func (d *Driver) scheduleRead(h *Host) {
	switch f := &h.feed; {
	case f.polled:
		d.readAfter(h, 0)
	case f.follower:
		d.readAfter(h, followerInterval)
	default:
		d.readAfter(h, activeInterval)
	}
}

// listChanged records a change of the platform's list and answers the calls that wait for one.
func (d *Driver) listChanged() {
	d.platform.hostsVersion++
	for _, h := range d.Hosts {
		if h.feed.waiting && !h.dead {
			d.answerFeed(h)
		}
	}
}

// list returns the platform's list.
func (d *Driver) list() event.HostsRead {
	ev := event.HostsRead{Version: d.platform.hostsVersion, Hosts: slices.Clone(d.platform.hosts), Complete: true}
	for _, t := range d.Targets {
		ev.Targets = append(ev.Targets, t.Target)
	}
	ev.Builds = d.platform.records()
	return ev
}
