package proofs

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/pkg/ident"
)

// An accepted change must be in force in each data centre within maxInForceDelay and must never revert.
// The test makes changes during slow and lost platform calls, partitions, frozen processes and restarts.
func TestChangeInForceAndNeverReverts(t *testing.T) {
	o := startChangeFleet(t)
	o.testWithoutFaults()
	o.testConcurrentChanges()
	o.testLostReplies()
	o.testSlowPlatform()
	o.testPlatformOutage()
	o.testCutFromPlatform()
	o.testFrozenHosts()
	o.testCutAndFrozen()
	o.testLongFrozen()
	o.testCutFromAll()
	o.testKilledHosts()
	o.checkReadings()
}

// testWithoutFaults makes changes while nothing fails.
func (o *changeFleet) testWithoutFaults() {
	o.t.Helper()
	for n := range 30 {
		rev, at := o.change(o.hosts[n%len(o.hosts)])
		o.waitInForce("quiet", rev, at, o.hosts)
	}
	o.logDelays("quiet")
	var ds []time.Duration
	for n := range 5 {
		m := o.hosts[n%len(o.hosts)]
		rev, at := o.change(m)
		ds = append(ds, o.waitReported(m, rev, at))
		o.waitInForce("quiet", rev, at, o.hosts)
	}
	slices.Sort(ds)
	o.t.Logf("reported as in force everywhere over %d changes: p50 %v, max %v", len(ds), ds[len(ds)/2], ds[len(ds)-1])
	clear(o.delays)
}

// testConcurrentChanges has two operators change the same item, based on the same revision,
// through two data centres at once. One change is accepted and the other gets a conflict.
func (o *changeFleet) testConcurrentChanges() {
	o.t.Helper()
	for range 6 {
		base := o.newestRevision()
		a, b := o.draft(base), o.draft(base)
		var va, vb changeResult
		var wg sync.WaitGroup
		wg.Go(func() { va = o.send(o.host("uvs-1"), operatorToken, a) })
		wg.Go(func() { vb = o.send(o.host("khovd-2"), secondToken, b) })
		wg.Wait()
		at := time.Now()
		if vb.status == http.StatusOK {
			va, vb = vb, va
		}
		got := []any{va.status, vb.status, vb.fault.Kind}
		if diff := cmp.Diff([]any{http.StatusOK, http.StatusConflict, admin.KindConflict}, got); diff != "" {
			o.t.Fatalf("concurrent changes (-want +got):\n%s", diff)
		}
		o.accepted++
		o.waitInForce("concurrent change", va.change.Revision, at, o.hosts)
	}
	o.logDelays("concurrent changes")
}

// testLostReplies loses the platform's reply to the write of a change. The operator must
// still get the change reported as accepted, and it must be applied once.
func (o *changeFleet) testLostReplies() {
	o.t.Helper()
	for _, id := range []ident.EntryID{"uvs-1", "erdenet-2", "khovd-1"} {
		before := o.newestRevision()
		o.setPlatformFaults(plat.Faults{LoseNext: 1})
		rev, at := o.change(o.host(id))
		if diff := cmp.Diff(before+1, rev); diff != "" {
			o.t.Errorf("revision after a lost reply (-want +got):\n%s", diff)
		}
		o.waitInForce("lost reply", rev, at, o.hosts)
	}
	o.setPlatformFaults(plat.Faults{})
	o.logDelays("lost replies")
}

// testSlowPlatform delays each call to the platform and makes concurrent changes meanwhile.
func (o *changeFleet) testSlowPlatform() {
	o.t.Helper()
	o.setPlatformFaults(plat.Faults{DelayMs: 300, HostsLagMs: 5000})
	for _, id := range []ident.EntryID{"uvs-1", "erdenet-2", "khovd-1"} {
		rev, at := o.change(o.host(id))
		o.waitInForce("slow platform", rev, at, o.hosts)
	}
	o.testConcurrentChanges()
	o.setPlatformFaults(plat.Faults{})
	o.logDelays("slow platform")
}

// testPlatformOutage takes the platform down. A change must be refused and not applied in part:
// when the platform is back, the same change is sent again and must be applied once.
func (o *changeFleet) testPlatformOutage() {
	o.t.Helper()
	before := o.newestRevision()
	o.setPlatformFaults(plat.Faults{Down: true})
	c := o.draft(before)
	v := o.send(o.host("uvs-1"), operatorToken, c)
	if v.status == http.StatusOK {
		o.t.Fatalf("a change was accepted without the platform: %+v", v.change)
	}
	time.Sleep(2 * time.Second)
	o.setPlatformFaults(plat.Faults{})
	eventually(o.t, "the change is accepted after the outage", func() bool {
		v = o.send(o.host("uvs-1"), operatorToken, c)
		return v.status == http.StatusOK
	})
	at := time.Now()
	o.accepted++
	if diff := cmp.Diff(before+1, v.change.Revision); diff != "" {
		o.t.Errorf("revision after the outage (-want +got):\n%s", diff)
	}
	o.waitInForce("after an outage", v.change.Revision, at, o.hosts)
	o.logDelays("outage")
}

// testCutFromPlatform cuts one data centre off from the platform but not from the other data
// centres, first with broken connections, then with connections that stay open without data.
func (o *changeFleet) testCutFromPlatform() {
	o.t.Helper()
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, true)
	}
	for range 2 {
		rev, at := o.change(o.host("uvs-2"))
		o.waitInForce("cut from the platform", rev, at, o.hosts)
	}
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, false)
	}
	for _, m := range o.hostsIn("erdenet") {
		m.platformRelay.setSilent(everyone, true)
	}
	for range 2 {
		rev, at := o.change(o.host("uvs-2"))
		o.waitInForce("platform silent", rev, at, o.hosts)
	}
	for _, m := range o.hostsIn("erdenet") {
		m.platformRelay.setSilent(everyone, false)
	}
	o.logDelays("cut from the platform")
}

// changeWhileFrozen stops each host of a data centre in turn with SIGSTOP, changes the
// configuration meanwhile, and checks that the resumed host catches up.
func (o *changeFleet) changeWhileFrozen(dc ident.DataCentre, what string) {
	o.t.Helper()
	for _, m := range o.hostsIn(dc) {
		m.signal(o.t, syscall.SIGSTOP)
		for range 2 {
			rev, at := o.change(o.host("uvs-1"))
			o.waitInForce(what+string(m.id), rev, at, o.hostsExcept(m))
		}
		m.signal(o.t, syscall.SIGCONT)
		at := time.Now()
		o.waitInForce("resumed "+string(m.id), o.newestRevision(), at, []*fleetHost{m})
	}
}

// testFrozenHosts freezes each host of a data centre in turn, including the one that watches the
// platform, and makes changes meanwhile. Another data centre is cut off from the platform at the
// same time.
func (o *changeFleet) testFrozenHosts() {
	o.t.Helper()
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, true)
	}
	o.changeWhileFrozen("erdenet", "frozen ")
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, false)
	}
	o.logDelays("frozen hosts")
}

// testCutAndFrozen freezes each host of a data centre that is cut off from the platform. The
// other host can learn of changes only from other data centres, and must take over when the
// host that was linked to them is frozen.
func (o *changeFleet) testCutAndFrozen() {
	o.t.Helper()
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, true)
	}
	o.changeWhileFrozen("khovd", "cut off, and frozen ")
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, false)
	}
	o.logDelays("cut off and frozen")
}

// changesBeyondHistory exceeds the number of changes that a host keeps to send them one by one.
const changesBeyondHistory = 70

// testLongFrozen freezes a data centre until the others no longer keep the changes that it
// missed, and cuts it off from the platform. The resumed hosts need the whole configuration from
// another data centre.
func (o *changeFleet) testLongFrozen() {
	o.t.Helper()
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, true)
		m.signal(o.t, syscall.SIGSTOP)
	}
	live := o.hostsExcept(o.hostsIn("khovd")...)
	for n := range changesBeyondHistory {
		rev, at := o.change(live[n%len(live)])
		o.waitInForce("khovd frozen", rev, at, live)
	}
	for _, m := range o.hostsIn("khovd") {
		m.signal(o.t, syscall.SIGCONT)
	}
	o.waitInForce("khovd resumed", o.newestRevision(), time.Now(), o.hostsIn("khovd"))
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, false)
	}
	o.logDelays("frozen for many changes")
}

// testCutFromAll cuts a data centre off from the platform and all other data centres. It can't
// learn of a change while partitioned, so the delay counts from the end of the partition.
func (o *changeFleet) testCutFromAll() {
	o.t.Helper()
	o.partition("uvs", true, true)
	rev, at := o.change(o.host("erdenet-1"))
	o.waitInForce("uvs cut off", rev, at, o.hostsExcept(o.hostsIn("uvs")...))
	time.Sleep(partitionDuration)
	for _, m := range o.hostsIn("uvs") {
		if o.revision(m) >= rev {
			o.t.Errorf("%s has a change in force that it can't have received", m.id)
		}
	}
	o.partition("uvs", true, false)
	o.waitInForce("uvs healed", rev, time.Now(), o.hostsIn("uvs"))
	o.logDelays("cut off from all")
}

// partitionDuration is how long testCutFromAll cuts a data centre off.
const partitionDuration = 4 * time.Second

// testKilledHosts kills each host of a data centre in turn, and makes one change while it is
// down and another after its restart.
func (o *changeFleet) testKilledHosts() {
	o.t.Helper()
	for _, m := range o.hostsIn("uvs") {
		m.signal(o.t, syscall.SIGKILL)
		<-m.done
		rev, at := o.change(o.host("khovd-1"))
		o.waitInForce("killed "+string(m.id), rev, at, o.hostsExcept(m))
		o.readers[m.id].nextIncarnation()
		at = time.Now()
		o.startHost(m)
		o.waitInForce("restarted "+string(m.id), rev, at, []*fleetHost{m})
		rev, at = o.change(o.host("erdenet-1"))
		o.waitInForce("after the restart", rev, at, o.hosts)
	}
	o.logDelays("killed hosts")
}
