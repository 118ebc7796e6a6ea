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

// An accepted change does not reach a data centre, or is reverted there by faults.
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

// testConcurrentChanges has two operators send different changes of one item, read at one
// revision, through two data centres at once. One wins and the other gets the conflict.
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
			o.t.Fatalf("a race (-want +got):\n%s", diff)
		}
		o.accepted++
		o.waitInForce("race", va.change.Revision, at, o.hosts)
	}
	o.logDelays("races")
}

// testLostReplies loses the reply of the write that makes a change. The operator
// learns that it was accepted all the same, and it is there once.
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

// testSlowPlatform holds up each call to the platform, and races two operators
// meanwhile.
func (o *changeFleet) testSlowPlatform() {
	o.t.Helper()
	o.setPlatformFaults(plat.Faults{DelayMs: 300, HostsLagMs: 5000})
	for _, id := range []ident.EntryID{"uvs-1", "erdenet-2", "khovd-1"} {
		rev, at := o.change(o.host(id))
		o.waitInForce("slow store", rev, at, o.hosts)
	}
	o.testConcurrentChanges()
	o.setPlatformFaults(plat.Faults{})
	o.logDelays("slow store")
}

// testPlatformOutage takes the platform away. A change is not accepted, and not half: once
// the platform is back the same change is sent again and is there once.
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

// testCutFromPlatform cuts one data centre off from the platform but not from the
// others: with broken connections, and with a silence in which nothing breaks.
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

// changeWhileFrozen stops the process of each host of a data centre in turn, changes
// the configuration meanwhile, and lets it wake to what it missed.
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
		o.waitInForce("woken "+string(m.id), o.newestRevision(), at, []*fleetHost{m})
	}
}

// testFrozenHosts stops the process of each host of a data centre in turn, the one
// that watches among them, and lets it wake after changes it knows nothing of.
// At the same time another data centre is cut off from the platform.
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

// testCutAndFrozen freezes each host of a data centre that is cut off from the
// platform, so that the other one learns of changes from other data centres
// alone, and not at once by the host that spoke to them.
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

// changesBeyondHistory is more than a host keeps to be sent one by one.
const changesBeyondHistory = 70

// testLongFrozen freezes a data centre for longer than the others keep changes, and
// cuts it off from the platform, so that when it wakes it needs the whole
// configuration from one of the others.
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
	o.waitInForce("khovd woken", o.newestRevision(), time.Now(), o.hostsIn("khovd"))
	for _, m := range o.hostsIn("khovd") {
		m.platformRelay.setCut(everyone, false)
	}
	o.logDelays("frozen for many changes")
}

// testCutFromAll cuts a data centre off from the platform and all others. It can't
// know of a change before it is reached again, from when the time is taken.
func (o *changeFleet) testCutFromAll() {
	o.t.Helper()
	o.partition("uvs", true, true)
	rev, at := o.change(o.host("erdenet-1"))
	o.waitInForce("uvs cut off", rev, at, o.hostsExcept(o.hostsIn("uvs")...))
	time.Sleep(partitionDuration)
	for _, m := range o.hostsIn("uvs") {
		if o.revision(m) >= rev {
			o.t.Errorf("%s knows of a change that can't have reached it", m.id)
		}
	}
	o.partition("uvs", true, false)
	o.waitInForce("uvs healed", rev, time.Now(), o.hostsIn("uvs"))
	o.logDelays("cut off from all")
}

// partitionDuration is how long a data centre is cut off from all.
const partitionDuration = 4 * time.Second

// testKilledHosts kills each host of a data centre in turn, makes a change while
// it is gone and another when it is back.
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
