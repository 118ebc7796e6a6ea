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
	o := openOffice(t)
	o.quiet()
	o.races()
	o.lostReplies()
	o.slowStore()
	o.outage()
	o.cutFromPlatform()
	o.frozenHosts()
	o.cutAndFrozen()
	o.longFrozen()
	o.cutFromAll()
	o.killedHosts()
	o.check()
}

// quiet makes changes while nothing fails.
func (o *office) quiet() {
	o.t.Helper()
	for n := range 30 {
		rev, at := o.change(o.hosts[n%len(o.hosts)])
		o.spread("quiet", rev, at, o.hosts)
	}
	o.report("quiet")
	var ds []time.Duration
	for n := range 5 {
		m := o.hosts[n%len(o.hosts)]
		rev, at := o.change(m)
		ds = append(ds, o.reported(m, rev, at))
		o.spread("quiet", rev, at, o.hosts)
	}
	slices.Sort(ds)
	o.t.Logf("reported as in force everywhere over %d changes: p50 %v, max %v", len(ds), ds[len(ds)/2], ds[len(ds)-1])
	clear(o.took)
}

// races has two operators send different changes of one item, read at one
// revision, through two data centres at once. One wins and the other gets the conflict.
func (o *office) races() {
	o.t.Helper()
	for range 6 {
		base := o.newest()
		a, b := o.draft(base), o.draft(base)
		var va, vb verdict
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
		o.spread("race", va.change.Revision, at, o.hosts)
	}
	o.report("races")
}

// lostReplies loses the reply of the write that makes a change. The operator
// learns that it was accepted all the same, and it is there once.
func (o *office) lostReplies() {
	o.t.Helper()
	for _, id := range []ident.EntryID{"uvs-1", "erdenet-2", "khovd-1"} {
		before := o.newest()
		o.faults(plat.Faults{LoseNext: 1})
		rev, at := o.change(o.host(id))
		if diff := cmp.Diff(before+1, rev); diff != "" {
			o.t.Errorf("revision after a lost reply (-want +got):\n%s", diff)
		}
		o.spread("lost reply", rev, at, o.hosts)
	}
	o.faults(plat.Faults{})
	o.report("lost replies")
}

// slowStore holds up each call to the platform, and races two operators
// meanwhile.
func (o *office) slowStore() {
	o.t.Helper()
	o.faults(plat.Faults{DelayMs: 300, HostsLagMs: 5000})
	for _, id := range []ident.EntryID{"uvs-1", "erdenet-2", "khovd-1"} {
		rev, at := o.change(o.host(id))
		o.spread("slow store", rev, at, o.hosts)
	}
	o.races()
	o.faults(plat.Faults{})
	o.report("slow store")
}

// outage takes the platform away. A change is not accepted, and not half: once
// the platform is back the same change is sent again and is there once.
func (o *office) outage() {
	o.t.Helper()
	before := o.newest()
	o.faults(plat.Faults{Down: true})
	c := o.draft(before)
	v := o.send(o.host("uvs-1"), operatorToken, c)
	if v.status == http.StatusOK {
		o.t.Fatalf("a change was accepted without the platform: %+v", v.change)
	}
	time.Sleep(2 * time.Second)
	o.faults(plat.Faults{})
	eventually(o.t, "the change is accepted after the outage", func() bool {
		v = o.send(o.host("uvs-1"), operatorToken, c)
		return v.status == http.StatusOK
	})
	at := time.Now()
	o.accepted++
	if diff := cmp.Diff(before+1, v.change.Revision); diff != "" {
		o.t.Errorf("revision after the outage (-want +got):\n%s", diff)
	}
	o.spread("after an outage", v.change.Revision, at, o.hosts)
	o.report("outage")
}

// cutFromPlatform cuts one data centre off from the platform but not from the
// others: with broken connections, and with a silence in which nothing breaks.
func (o *office) cutFromPlatform() {
	o.t.Helper()
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, true)
	}
	for range 2 {
		rev, at := o.change(o.host("uvs-2"))
		o.spread("cut from the platform", rev, at, o.hosts)
	}
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, false)
	}
	for _, m := range o.at("erdenet") {
		m.toPlatform.setSilent(everyone, true)
	}
	for range 2 {
		rev, at := o.change(o.host("uvs-2"))
		o.spread("platform silent", rev, at, o.hosts)
	}
	for _, m := range o.at("erdenet") {
		m.toPlatform.setSilent(everyone, false)
	}
	o.report("cut from the platform")
}

// freezeInTurn stops the process of each host of a data centre in turn, changes
// the configuration meanwhile, and lets it wake to what it missed.
func (o *office) freezeInTurn(dc ident.DataCentre, what string) {
	o.t.Helper()
	for _, m := range o.at(dc) {
		m.signal(o.t, syscall.SIGSTOP)
		for range 2 {
			rev, at := o.change(o.host("uvs-1"))
			o.spread(what+string(m.id), rev, at, o.but(m))
		}
		m.signal(o.t, syscall.SIGCONT)
		at := time.Now()
		o.spread("woken "+string(m.id), o.newest(), at, []*member{m})
	}
}

// frozenHosts stops the process of each host of a data centre in turn, the one
// that watches among them, and lets it wake after changes it knows nothing of.
// At the same time another data centre is cut off from the platform.
func (o *office) frozenHosts() {
	o.t.Helper()
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, true)
	}
	o.freezeInTurn("erdenet", "frozen ")
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, false)
	}
	o.report("frozen hosts")
}

// cutAndFrozen freezes each host of a data centre that is cut off from the
// platform, so that the other one learns of changes from other data centres
// alone, and not at once by the host that spoke to them.
func (o *office) cutAndFrozen() {
	o.t.Helper()
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, true)
	}
	o.freezeInTurn("khovd", "cut off, and frozen ")
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, false)
	}
	o.report("cut off and frozen")
}

// manyChanges is more than a host keeps to be sent one by one.
const manyChanges = 70

// longFrozen freezes a data centre for longer than the others keep changes, and
// cuts it off from the platform, so that when it wakes it needs the whole
// configuration from one of the others.
func (o *office) longFrozen() {
	o.t.Helper()
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, true)
		m.signal(o.t, syscall.SIGSTOP)
	}
	live := o.but(o.at("khovd")...)
	for n := range manyChanges {
		rev, at := o.change(live[n%len(live)])
		o.spread("khovd frozen", rev, at, live)
	}
	for _, m := range o.at("khovd") {
		m.signal(o.t, syscall.SIGCONT)
	}
	o.spread("khovd woken", o.newest(), time.Now(), o.at("khovd"))
	for _, m := range o.at("khovd") {
		m.toPlatform.setCut(everyone, false)
	}
	o.report("frozen for many changes")
}

// cutFromAll cuts a data centre off from the platform and all others. It can't
// know of a change before it is reached again, from when the time is taken.
func (o *office) cutFromAll() {
	o.t.Helper()
	o.cutOff("uvs", true, true)
	rev, at := o.change(o.host("erdenet-1"))
	o.spread("uvs cut off", rev, at, o.but(o.at("uvs")...))
	time.Sleep(cutFor)
	for _, m := range o.at("uvs") {
		if o.revision(m) >= rev {
			o.t.Errorf("%s knows of a change that can't have reached it", m.id)
		}
	}
	o.cutOff("uvs", true, false)
	o.spread("uvs healed", rev, time.Now(), o.at("uvs"))
	o.report("cut off from all")
}

// cutFor is how long a data centre is cut off from all.
const cutFor = 4 * time.Second

// killedHosts kills each host of a data centre in turn, makes a change while
// it is gone and another when it is back.
func (o *office) killedHosts() {
	o.t.Helper()
	for _, m := range o.at("uvs") {
		m.signal(o.t, syscall.SIGKILL)
		<-m.done
		rev, at := o.change(o.host("khovd-1"))
		o.spread("killed "+string(m.id), rev, at, o.but(m))
		o.readers[m.id].restarted()
		at = time.Now()
		o.boot(m)
		o.spread("restarted "+string(m.id), rev, at, []*member{m})
		rev, at = o.change(o.host("erdenet-1"))
		o.spread("after the restart", rev, at, o.hosts)
	}
	o.report("killed hosts")
}
