package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// readers returns tables of hosts of one data centre that know each other and have read version 1 of
// the list, ordered by the duty to watch the platform.
func readers(now ident.Time, n int) []*Table {
	tables := make([]*Table, n)
	for i := range tables {
		tables[i] = New(newHost(fmt.Sprint("f", i), "west-a", "west"))
	}
	for _, tb := range tables {
		for _, o := range tables {
			tb.PeerUp(now, o.self)
		}
		tb.HostsRead(now, event.HostsRead{Version: 1, Complete: true})
		tb.ListRead(now, 0)
	}
	ordered := make([]*Table, 0, n)
	for _, tb := range tables {
		if tb.IsWatcher(now) {
			ordered = append(ordered, tb)
		}
	}
	for _, tb := range tables {
		if !tb.IsWatcher(now) {
			ordered = append(ordered, tb)
		}
	}
	return ordered
}

// exchange sends the due digests of a host to all others.
func exchange(now ident.Time, from *Table, tables []*Table) {
	for _, eff := range from.Tick(now, LocalState{}) {
		e, ok := eff.(event.SendDigest)
		if !ok {
			continue
		}
		for _, to := range e.To {
			for _, tb := range tables {
				if tb.self.ID == to.ID {
					tb.DigestReceived(now, e.Digest)
				}
			}
		}
	}
}

// Guards against reads of the store by each host of a fleet, whose number grows with the hosts, while
// the watcher reads it for all of them.
func TestConfirmedListNeedsNoRead(t *testing.T) {
	now := ident.Time(time.Second)
	tables := readers(now, 12)
	watcher := tables[0]
	reads := 0
	for range 30 {
		now = now.Add(HeartbeatInterval)
		watcher.ListRead(now, 100*time.Millisecond)
		for _, tb := range tables {
			exchange(now, tb, tables)
		}
		for _, tb := range tables[1:] {
			if now >= tb.NextListRead() {
				reads++
				tb.ListReadAsked(now)
			}
		}
	}
	if reads > 0 {
		t.Errorf("hosts that the watcher keeps up to date ask for %d reads", reads)
	}
}

// Guards against a host that goes on using an outdated list after the hosts that read the store for
// it are frozen or cut off from the store.
func TestUnconfirmedListIsRead(t *testing.T) {
	for name, cut := range map[string]bool{"frozen": false, "cut off from the store": true} {
		now := ident.Time(time.Second)
		tables := readers(now, 6)
		follower := tables[5]
		confirmed := now
		for now < confirmed.Add(maxListAge+HeartbeatInterval) {
			now = now.Add(100 * time.Millisecond)
			for _, tb := range tables {
				if cut || tb == follower {
					exchange(now, tb, tables)
				}
			}
			if now >= follower.NextListRead() {
				break
			}
		}
		if age := now.Sub(confirmed); age != maxListAge {
			t.Errorf("%s: the list is read %v after its last confirmation, want %v", name, age, maxListAge)
		}
		follower.ListReadAsked(now)
		if next := follower.NextListRead(); next != now.Add(maxListAge) {
			t.Errorf("%s: the next read is asked for %v after this one, want %v", name, next.Sub(now), maxListAge)
		}
	}
}

// Guards against a host that lost the digest with a newer list and takes the next one, which only
// confirms it, for a confirmation of its own list.
func TestNewerListIsNotTakenForConfirmation(t *testing.T) {
	now := ident.Time(time.Second)
	tables := readers(now, 6)
	watcher, follower := tables[0], tables[1]
	now = now.Add(3 * time.Second)
	follower.ListReadAsked(now)
	d := event.Digest{Host: watcher.self, Seq: 1 << 20, ListConfirmed: true, ListVersion: 2}
	follower.DigestReceived(now, d)
	if next := follower.NextListRead(); next > now.Add(minReadGap) {
		t.Errorf("a host whose list is outdated reads after %v, want %v", next.Sub(now), minReadGap)
	}
	follower.HostsRead(now, event.HostsRead{Version: 2, Complete: true})
	follower.ListRead(now, 0)
	if next := follower.NextListRead(); next < now.Add(maxListAge) {
		t.Errorf("a host that has just read reads again after %v", next.Sub(now))
	}
}

// Guards against hosts of another region that stopped long ago and are named to callers because this
// host rarely reads the list itself.
func TestOldListNamesNoHosts(t *testing.T) {
	now := ident.Time(time.Second)
	tb := New(newHost("f", "west-a", "west"))
	far := newHost("e", "east-a", "east")
	tb.HostsRead(now, event.HostsRead{Version: 1, Complete: true, Hosts: []event.Host{far}})
	if got := tb.Nearby(now, far.Place, nil); len(got) != 1 || got[0].ID != far.ID {
		t.Fatalf("a list that was just read names %v, want %s", got, far.ID)
	}
	now = now.Add(maxNearbyAge + time.Second)
	for _, h := range tb.Nearby(now, far.Place, nil) {
		if h.ID == far.ID {
			t.Errorf("a list of %v ago names %s", maxNearbyAge+time.Second, far.ID)
		}
	}
}

// Guards against a digest that goes out between a read of a newer list and its announcement, and
// that makes all peers read the list although it is about to arrive.
func TestUnannouncedListIsNotConfirmed(t *testing.T) {
	now := ident.Time(time.Second)
	tables := readers(now, 4)
	watcher, follower := tables[0], tables[1]
	for range 5 {
		now = now.Add(HeartbeatInterval)
		watcher.ListRead(now, 0)
		for _, tb := range tables {
			exchange(now, tb, tables)
		}
	}
	now = now.Add(100 * time.Millisecond)
	watcher.HostsRead(now, event.HostsRead{Version: 2, Complete: true})
	watcher.ListRead(now, 0)
	watcher.MarkDraining(now, "some-target", 1)
	exchange(now, watcher, tables)
	if next := follower.NextListRead(); next <= now.Add(HeartbeatInterval) {
		t.Errorf("a host reads the list %v after it has been read for it", next.Sub(now))
	}
	now = now.Add(HeartbeatInterval)
	exchange(now, watcher, tables)
	if got := follower.list.version; got != 2 {
		t.Errorf("version %d of the list is in use after its announcement, want 2", got)
	}
}
