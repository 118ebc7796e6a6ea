package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// nextDigest returns the first digest that a table sends at a tick.
func nextDigest(t *testing.T, tb *Table, now ident.Time) event.Digest {
	t.Helper()
	for _, eff := range tb.Tick(now, LocalState{}) {
		if e, ok := eff.(event.SendDigest); ok {
			return e.Digest
		}
	}
	t.Fatal("no digest is sent")
	return event.Digest{}
}

// newPair returns two hosts of one data centre that know each other and have read the same list of
// two targets from the store.
func newPair(at ident.Time) (reader, follower *Table) {
	tables := []*Table{New(newHost("w1", "west-a", "west")), New(newHost("w2", "west-a", "west"))}
	for i, tb := range tables {
		tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
		tb.PeerUp(at, tables[1-i].Self())
	}
	for _, tb := range tables {
		tb.Tick(at, LocalState{})
	}
	return tables[0], tables[1]
}

// Guards against a follower that sends requests to a removed target until it reads the store again.
func TestRemovalObservedByAPeerIsApplied(t *testing.T) {
	at := ident.Time(time.Second)
	reader, follower := newPair(at)
	at = at.Add(4 * time.Second)
	reader.HostsRead(at, listOf(2, newTarget("b")))
	follower.DigestReceived(at, nextDigest(t, reader, at))
	if usable(t, follower, at, "a") {
		t.Error("a target that a peer has observed as removed is usable")
	}
	if !usable(t, follower, at, "b") {
		t.Error("a listed target is not usable")
	}
}

// peerList returns a digest that relays a list of the store.
func peerList(version uint64, ts ...event.Target) event.Digest {
	return event.Digest{Host: newHost("w9", "west-a", "west"), Seq: version, ListVersion: version, Targets: ts}
}

// Guards against losing the removals in a list that this host has read itself but that is older
// than the list of a peer.
func TestStaleOwnReadLosesNoRemoval(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(newHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	at = at.Add(4 * time.Second)
	tb.DigestReceived(at, peerList(3, newTarget("b"), newTarget("c")))
	tb.HostsRead(at, listOf(2, newTarget("b")))
	if usable(t, tb, at, "a") {
		t.Error("a target that is missing from the list read here is usable")
	}
	if !usable(t, tb, at, "c") {
		t.Error("a target that the newer list names is not usable")
	}
}

// Guards against a host that keeps removed targets in use forever because its first read after an
// outage is stale.
func TestStaleOwnReadEndsTheOutage(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(newHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	at = at.Add(4 * time.Second)
	tb.ListFailed(at)
	tb.DigestReceived(at, peerList(3, newTarget("a"), newTarget("b")))
	tb.HostsRead(at, listOf(2, newTarget("a"), newTarget("b")))
	at = at.Add(outageGracePeriod)
	tb.HostsRead(at, listOf(4, newTarget("b")))
	if usable(t, tb, at, "a") {
		t.Error("a removed target is still usable after outageGracePeriod")
	}
}

// Guards against a late removal notice that removes a target which has been listed again since.
func TestLateRemovalNoticeIsIgnored(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(newHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(5, newTarget("a")))
	tb.DigestReceived(at, event.Digest{
		Host: newHost("w9", "west-a", "west"), Seq: 1, Removed: []event.RemovedTarget{{Target: "a", Version: 4}},
	})
	if !usable(t, tb, at, "a") {
		t.Error("a target that a newer list names is not usable")
	}
}

// Guards against a list from before a removal that brings the target back.
func TestOlderListDoesNotRevertRemoval(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(newHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	tb.DigestReceived(at, event.Digest{
		Host: newHost("w9", "west-a", "west"), Seq: 1, Removed: []event.RemovedTarget{{Target: "a", Version: 4}},
	})
	tb.HostsRead(at, listOf(3, newTarget("a"), newTarget("b")))
	if usable(t, tb, at, "a") {
		t.Error("a list from before its removal makes a target usable again")
	}
	tb.HostsRead(at, listOf(6, newTarget("a"), newTarget("b")))
	if !usable(t, tb, at, "a") {
		t.Error("a target that is listed again is not usable")
	}
}

// Guards against a host that starts just after an outage of the store and makes its peers drop
// targets that are alive.
func TestNewHostAnnouncesNoRemoval(t *testing.T) {
	at := ident.Time(time.Second)
	starting, peer := newPair(at)
	at = at.Add(outageGracePeriod / 2)
	starting.HostsRead(at, listOf(2, newTarget("b")))
	peer.DigestReceived(at, nextDigest(t, starting, at))
	if !usable(t, peer, at, "a") {
		t.Error("a target is dropped because of a host that has only just started to read the store")
	}
}

// Guards against a representative that withdraws the demand of its region when it discovers targets
// that its peers don't know.
func TestFirstReaderAnnouncesNewTargets(t *testing.T) {
	at := ident.Time(time.Second)
	a, b := newPair(at)
	if a.IsWatcher(at) {
		a, b = b, a
	}
	at = at.Add(100 * time.Millisecond)
	a.HostsRead(at, listOf(2, newTarget("a"), newTarget("b"), newTarget("c")))
	b.DigestReceived(at, nextDigest(t, a, at))
	if !usable(t, b, at, "c") {
		t.Error("a target that a peer has discovered is not usable")
	}
	a.HostsRead(at, listOf(3, newTarget("a"), newTarget("b"), newTarget("c")))
	if a.Next(at) == at {
		t.Error("a list without new targets is announced at once")
	}
}

// Guards against a host other than the watcher that has no targets for half a minute because its
// first read failed.
func TestFailedReadIsRepeatedSoon(t *testing.T) {
	at := ident.Time(time.Second)
	a, b := newPair(at)
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
	if minReads := int(30 * time.Second / (watcherReadInterval + HeartbeatInterval)); reads < minReads {
		t.Errorf("%d reads in 40 s, want at least %d", reads, minReads)
	}
}

// Guards against peers that don't learn of hosts of another data centre that are back.
func TestReturnedHostsAreRelayed(t *testing.T) {
	at := ident.Time(time.Second)
	tb, peer := newPair(at)
	full := []event.Host{newHost("e1", "east-a", "east"), newHost("e2", "east-a", "east")}
	seq := uint64(0)
	summary := func(hosts []event.Host) event.Summary {
		seq++
		return event.Summary{
			From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: seq,
			Hosts: hosts, HostsHash: hashHosts(hosts),
		}
	}
	relayed := func() int {
		at = at.Add(HeartbeatInterval)
		for _, s := range nextDigest(t, tb, at).Summaries {
			if !s.HostsOmitted {
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
		t.Errorf("%d hosts are relayed after one has come back, want 2", got)
	}
}

// Guards against an incomplete list, which lags and need not name all targets, that removes targets
// at the peers that it is sent to.
func TestIncompleteListRemovesNothingAtPeers(t *testing.T) {
	at := ident.Time(time.Second)
	reader, follower := newPair(at)
	if !reader.IsWatcher(at) {
		reader, follower = follower, reader
	}
	at = at.Add(outageGracePeriod)
	reader.HostsRead(at, event.HostsRead{Version: 2, Targets: []event.Target{newTarget("b")}})
	d := nextDigest(t, reader, at)
	if len(d.Targets) == 0 {
		t.Fatal("the watcher does not send its list")
	}
	follower.DigestReceived(at, d)
	if !usable(t, follower, at, "a") {
		t.Error("a target that is missing from an incomplete list is not usable")
	}
}

// Guards against the list of a peer that was cut off for minutes: after the cut it sends all that it knows, and its list
// would end evacuations and bring removed targets back at hosts that are in step.
func TestListOfAPeerThatWasCutOffRevertsNothing(t *testing.T) {
	at := ident.Time(time.Second)
	cutOff, inStep := New(newHost("w2", "west-a", "west")), New(newHost("w1", "west-a", "west"))
	for _, tb := range []*Table{cutOff, inStep} {
		tb.HostsRead(at, listOf(4, newTarget("a"), newTarget("b"), newTarget("c")))
		tb.ListRead(at, 0)
	}
	evacuated := newTarget("a")
	evacuated.Evacuated = true
	inStep.HostsRead(at.Add(10*time.Second), listOf(5, evacuated, newTarget("c")))
	for range 90 {
		at = at.Add(time.Second)
		inStep.ListRead(at, 0)
		inStep.Tick(at, LocalState{})
		cutOff.ListFailed(at)
		cutOff.Tick(at, LocalState{})
	}
	cutOff.PeerUp(at, inStep.self)
	inStep.PeerUp(at, cutOff.self)
	at = at.Add(HeartbeatInterval)
	exchange(at, cutOff, []*Table{inStep})
	for _, id := range []string{"a", "b"} {
		if usable(t, inStep, at, id) {
			t.Errorf("%s is usable again by the list of a peer that was cut off for 90 s", id)
		}
	}
	if !usable(t, inStep, at, "c") {
		t.Error("a listed target is not usable")
	}
}
