package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// digestTo returns the newest digest that a table sends at a tick.
func digestTo(t *testing.T, tb *Table, now ident.Time) event.Digest {
	t.Helper()
	for _, eff := range tb.Tick(now, LocalState{}) {
		if e, ok := eff.(event.SendDigest); ok {
			return e.Digest
		}
	}
	t.Fatal("no digest is sent")
	return event.Digest{}
}

// pairOf returns two hosts of one data centre that know each other and have read a list
// of the store with two targets.
func pairOf(at ident.Time) (reader, follower *Table) {
	tables := []*Table{New(reachHost("w1", "west-a", "west")), New(reachHost("w2", "west-a", "west"))}
	for i, tb := range tables {
		tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
		tb.PeerUp(at, tables[1-i].Self())
	}
	for _, tb := range tables {
		tb.Tick(at, LocalState{})
	}
	return tables[0], tables[1]
}

// A follower sends requests to a removed target until its next own read of the store.
func TestRemovalObservedByAPeerIsApplied(t *testing.T) {
	at := ident.Time(time.Second)
	reader, follower := pairOf(at)
	at = at.Add(4 * time.Second)
	reader.HostsRead(at, listOf(2, reachTarget("b")))
	follower.DigestReceived(at, digestTo(t, reader, at))
	if usable(t, follower, at, "a") {
		t.Error("a target that a peer has read as removed is used")
	}
	if !usable(t, follower, at, "b") {
		t.Error("a target that is listed is not used")
	}
}

// peerList is a digest that passes on a list of the store.
func peerList(version uint64, ts ...event.Target) event.Digest {
	return event.Digest{Host: reachHost("w9", "west-a", "west"), Seq: version, ListVersion: version, Targets: ts}
}

// An own read that is older than a peer's list is dropped with the removals in it.
func TestStaleOwnReadLosesNoRemoval(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	at = at.Add(4 * time.Second)
	tb.DigestReceived(at, peerList(3, reachTarget("b"), reachTarget("c")))
	tb.HostsRead(at, listOf(2, reachTarget("b")))
	if usable(t, tb, at, "a") {
		t.Error("a target that the own read lacks is used")
	}
	if !usable(t, tb, at, "c") {
		t.Error("a target that the newer list names is not used")
	}
}

// A host whose first read after an outage is stale waits forever for removed targets to come back.
func TestStaleOwnReadEndsTheOutage(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	at = at.Add(4 * time.Second)
	tb.ListFailed(at)
	tb.DigestReceived(at, peerList(3, reachTarget("a"), reachTarget("b")))
	tb.HostsRead(at, listOf(2, reachTarget("a"), reachTarget("b")))
	at = at.Add(returnGrace)
	tb.HostsRead(at, listOf(4, reachTarget("b")))
	if usable(t, tb, at, "a") {
		t.Error("a removed target is used although the store has been back for long")
	}
}

// A late notice takes out a target that has been listed again since.
func TestLateRemovalNoticeIsIgnored(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(5, reachTarget("a")))
	tb.DigestReceived(at, event.Digest{
		Host: reachHost("w9", "west-a", "west"), Seq: 1, Removed: []event.RemovedTarget{{Target: "a", Version: 4}},
	})
	if !usable(t, tb, at, "a") {
		t.Error("a target that a newer list names is not used")
	}
}

// A list that was read before a removal brings the target back.
func TestOlderListRevertsNoRemoval(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	tb.DigestReceived(at, event.Digest{
		Host: reachHost("w9", "west-a", "west"), Seq: 1, Removed: []event.RemovedTarget{{Target: "a", Version: 4}},
	})
	tb.HostsRead(at, listOf(3, reachTarget("a"), reachTarget("b")))
	if usable(t, tb, at, "a") {
		t.Error("a target is used again by a list from before its removal")
	}
	tb.HostsRead(at, listOf(6, reachTarget("a"), reachTarget("b")))
	if !usable(t, tb, at, "a") {
		t.Error("a target that is listed again is not used")
	}
}

// A host that starts just after an outage of the store has its peers drop targets that live.
func TestFreshHostVouchesForNoRemoval(t *testing.T) {
	at := ident.Time(time.Second)
	fresh, peer := pairOf(at)
	at = at.Add(returnGrace / 2)
	fresh.HostsRead(at, listOf(2, reachTarget("b")))
	peer.DigestReceived(at, digestTo(t, fresh, at))
	if !usable(t, peer, at, "a") {
		t.Error("a target is dropped because of a host that has just begun to read the store")
	}
}

// A representative withdraws its region's demand when it reads of targets that its peers don't know.
func TestFirstReaderAnnouncesNewTargets(t *testing.T) {
	at := ident.Time(time.Second)
	a, b := pairOf(at)
	if a.IsWatcher(at) {
		a, b = b, a
	}
	at = at.Add(100 * time.Millisecond)
	a.HostsRead(at, listOf(2, reachTarget("a"), reachTarget("b"), reachTarget("c")))
	b.DigestReceived(at, digestTo(t, a, at))
	if !usable(t, b, at, "c") {
		t.Error("a target that a peer has read of is not known")
	}
	a.HostsRead(at, listOf(3, reachTarget("a"), reachTarget("b"), reachTarget("c")))
	if a.Next(at) == at {
		t.Error("a list without new targets is announced at once")
	}
}

// A host that does not watch has no targets for half a minute if its first read fails.
func TestFailedReadIsRepeatedSoon(t *testing.T) {
	at := ident.Time(time.Second)
	a, b := pairOf(at)
	if a.IsWatcher(at) {
		a, b = b, a
	}
	reads := 0
	for end := at.Add(40 * time.Second); at < end; at = at.Add(100 * time.Millisecond) {
		b.Tick(at, LocalState{})
		a.DigestReceived(at, event.Digest{Host: b.Self(), Seq: uint64(at)})
		for _, eff := range a.Tick(at, LocalState{}) {
			if _, ok := eff.(event.ReadHosts); ok {
				reads++
				a.ListFailed(at)
			}
		}
	}
	if a.IsWatcher(at) {
		t.Fatal("the host is the watcher")
	}
	if least := int(30 * time.Second / (watcherReadInterval + HeartbeatInterval)); reads < least {
		t.Errorf("%d reads in 40 s, want %d at least", reads, least)
	}
}

// Peers do not learn that hosts of another data centre are back.
func TestReturnedHostsAreRelayed(t *testing.T) {
	at := ident.Time(time.Second)
	tb, peer := pairOf(at)
	full := []event.Host{reachHost("e1", "east-a", "east"), reachHost("e2", "east-a", "east")}
	seq := uint64(0)
	summary := func(hosts []event.Host) event.Summary {
		seq++
		return event.Summary{
			From: "e1", Place: reachPlace("east-a", "east"), Incarnation: 1, Seq: seq,
			Hosts: hosts, HostsHash: hashHosts(hosts),
		}
	}
	relayed := func() int {
		at = at.Add(HeartbeatInterval)
		for _, s := range digestTo(t, tb, at).Summaries {
			if !s.HostsKept {
				return len(s.Hosts)
			}
		}
		return 0
	}
	tb.SummaryReceived(at, summary(full))
	if got := relayed(); got != 2 {
		t.Fatalf("%d hosts are relayed, want 2", got)
	}
	tb.DigestReceived(at, event.Digest{Host: peer.Self(), Seq: 50, Summaries: []event.Summary{summary(full[:1])}})
	tb.SummaryReceived(at, summary(full))
	if got := relayed(); got != 2 {
		t.Errorf("%d hosts are relayed after one is back, want 2", got)
	}
}

// A list that lags and need not name all targets removes those of the peers that it is sent to.
func TestIncompleteListRemovesNothingAtPeers(t *testing.T) {
	at := ident.Time(time.Second)
	reader, follower := pairOf(at)
	if !reader.IsWatcher(at) {
		reader, follower = follower, reader
	}
	at = at.Add(returnGrace)
	reader.HostsRead(at, event.HostsRead{Version: 2, Targets: []event.Target{reachTarget("b")}})
	d := digestTo(t, reader, at)
	if len(d.Targets) == 0 {
		t.Fatal("the watcher does not send its list")
	}
	follower.DigestReceived(at, d)
	if !usable(t, follower, at, "a") {
		t.Error("a target that an incomplete list lacks is not used")
	}
}
