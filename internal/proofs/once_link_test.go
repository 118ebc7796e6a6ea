package proofs

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/plain"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// A host that has passed jobs on to another region dies while they run there.
// The region's host is left with jobs whose sender is gone, and the caller with
// a sender that has forgotten.
func (o *onceFleet) testForwarderDies(t *testing.T) {
	o.dieAt(t, o.away, plain.Faults{WorkMs: 1000}, []*member{o.away})
	o.dieAt(t, o.away, plain.Faults{AnswerMs: 1000}, []*member{o.away})
}

// The hosts that jobs were passed on to die while the jobs run. Their sender
// asks the restarted hosts, which know nothing and must not say "not run".
func (o *onceFleet) testReceiverDies(t *testing.T) {
	o.services(plain.Faults{WorkMs: 1000})
	all, dc := o.passOn(t)
	o.restart(o.at(dc)...)
	o.services(plain.Faults{})
	o.again(all, o.away, o.here)
	o.check(t)
}

// passOn sends jobs to the host that runs none itself and returns them with the
// data centre that runs most of them.
func (o *onceFleet) passOn(t *testing.T) ([]*job, ident.DataCentre) {
	t.Helper()
	near, far := o.calls("uvs"), o.calls("khovd")
	var dc ident.DataCentre
	all := o.sendUntil(t, o.away, func() bool {
		n, k := o.calls("uvs")-near, o.calls("khovd")-far
		dc = "uvs"
		if k > n {
			dc = "khovd"
		}
		return max(n, k) >= 2
	})
	return all, dc
}

// Links break while jobs that were passed on run, each way alone and both, and
// some go silent and then deliver late what they had taken, as does a host that
// is frozen for a moment. The sender can't
// distinguish a job that runs from one that never arrived. It asks until the link is
// back, and the other side answers, or bars what has not come.
func (o *onceFleet) testLinks(t *testing.T) {
	briefly := func() { time.Sleep(1500 * time.Millisecond) }
	cuts := []struct {
		name string
		cut  func(m *member, on bool)
		wait func()
	}{
		{"both ways", func(m *member, on bool) { o.cutLink(o.away, m, on); o.cutLink(m, o.away, on) }, briefly},
		{"one way", func(m *member, on bool) { o.cutLink(o.away, m, on) }, briefly},
		{"the other way", func(m *member, on bool) { o.cutLink(m, o.away, on) }, briefly},
		{"silent", func(m *member, on bool) {
			m.before.setSilent(o.away.ip, on)
			o.away.before.setSilent(m.ip, on)
		}, o.untilSilent},
		{"frozen", func(m *member, on bool) {
			if on {
				m.signal(t, syscall.SIGSTOP)
				return
			}
			m.signal(t, syscall.SIGCONT)
		}, briefly},
	}
	for _, c := range cuts {
		t.Run(c.name, func(t *testing.T) {
			o.services(plain.Faults{WorkMs: 400})
			all, dc := o.passOn(t)
			for _, m := range o.at(dc) {
				c.cut(m, true)
			}
			late := o.mixed(t, o.away, 4)
			o.sendAll(o.away, late)
			c.wait()
			for _, m := range o.at(dc) {
				c.cut(m, false)
			}
			o.wg.Wait()
			o.services(plain.Faults{})
			o.linked()
			if n := count(all, event.NotRun); n == len(all) {
				t.Error("no job met the cut")
			}
			o.again(append(all, late...), o.away, o.here)
			o.check(t)
		})
	}
}

// linked waits until the host that passes jobs on has its peers back.
func (o *onceFleet) linked() {
	o.t.Helper()
	eventually(o.t, "the links are back", func() bool {
		return len(askEntries(o.away.callers(), "publish")) == len(o.hosts)
	})
	o.recovered(o.away, event.Done)
}

// untilSilent waits until the host that passes jobs on gives a silent link up.
func (o *onceFleet) untilSilent() {
	o.t.Helper()
	given := func() int { return strings.Count(o.away.out.String(), "reason=silent") }
	before := given()
	eventually(o.t, "the silence is noticed", func() bool { return given() > before })
}
