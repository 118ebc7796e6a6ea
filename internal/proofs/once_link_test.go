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

// A host that has forwarded jobs to another region dies while they run there. After its
// restart, it has no record of them.
func (o *onceFleet) testForwarderDies(t *testing.T) {
	o.killWhileRunning(t, o.remote, plain.Faults{WorkMs: 1000}, []*fleetHost{o.remote})
	o.killWhileRunning(t, o.remote, plain.Faults{AnswerMs: 1000}, []*fleetHost{o.remote})
}

// The hosts that jobs were forwarded to die while the jobs run. The forwarder asks the restarted
// hosts, which have no record of the jobs and must not answer "not run".
func (o *onceFleet) testReceiverDies(t *testing.T) {
	o.setServiceFaults(plain.Faults{WorkMs: 1000})
	all, dc := o.forwardJobs(t)
	o.restart(o.hostsIn(dc)...)
	o.setServiceFaults(plain.Faults{})
	o.repeat(all, o.remote, o.local)
	o.check(t)
}

// forwardJobs sends jobs to the host without services and returns them with the data centre that
// runs most of them.
func (o *onceFleet) forwardJobs(t *testing.T) ([]*job, ident.DataCentre) {
	t.Helper()
	near, far := o.serviceCalls("uvs"), o.serviceCalls("khovd")
	var dc ident.DataCentre
	all := o.sendUntil(t, o.remote, func() bool {
		n, k := o.serviceCalls("uvs")-near, o.serviceCalls("khovd")-far
		dc = "uvs"
		if k > n {
			dc = "khovd"
		}
		return max(n, k) >= 2
	})
	return all, dc
}

// Links break while forwarded jobs run: in one direction, in both, silently, or because the other
// host is frozen and reads data in transit late. The forwarder can't distinguish a running job from
// one that never arrived. It asks until the link is back. The other side reports the result of a job
// that has arrived, and bars one that has not, so that it can't run later.
func (o *onceFleet) testLinks(t *testing.T) {
	briefly := func() { time.Sleep(1500 * time.Millisecond) }
	cuts := []struct {
		name string
		cut  func(m *fleetHost, on bool)
		wait func()
	}{
		{"both ways", func(m *fleetHost, on bool) { o.cutLink(o.remote, m, on); o.cutLink(m, o.remote, on) }, briefly},
		{"one way", func(m *fleetHost, on bool) { o.cutLink(o.remote, m, on) }, briefly},
		{"the other way", func(m *fleetHost, on bool) { o.cutLink(m, o.remote, on) }, briefly},
		{"silent", func(m *fleetHost, on bool) {
			m.peerRelay.setSilent(o.remote.ip, on)
			o.remote.peerRelay.setSilent(m.ip, on)
		}, o.waitLinkDropped},
		{"frozen", func(m *fleetHost, on bool) {
			if on {
				m.signal(t, syscall.SIGSTOP)
				return
			}
			m.signal(t, syscall.SIGCONT)
		}, briefly},
	}
	for _, c := range cuts {
		t.Run(c.name, func(t *testing.T) {
			o.setServiceFaults(plain.Faults{WorkMs: 400})
			all, dc := o.forwardJobs(t)
			for _, m := range o.hostsIn(dc) {
				c.cut(m, true)
			}
			duringCut := o.mixed(t, o.remote, 4)
			o.sendAll(o.remote, duringCut)
			c.wait()
			for _, m := range o.hostsIn(dc) {
				c.cut(m, false)
			}
			o.wg.Wait()
			o.setServiceFaults(plain.Faults{})
			o.waitLinked()
			if n := countOutcome(all, event.NotRun); n == len(all) {
				t.Error("all jobs were reported as not run: none was in flight during the cut")
			}
			o.repeat(append(all, duringCut...), o.remote, o.local)
			o.check(t)
		})
	}
}

// waitLinked waits until the forwarding host has its peers back.
func (o *onceFleet) waitLinked() {
	o.t.Helper()
	eventually(o.t, "the links are back", func() bool {
		return len(fetchEntries(o.remote.callers(), "publish")) == len(o.hosts)
	})
	o.waitOutcome(o.remote, event.Done)
}

// waitLinkDropped waits until the forwarding host drops a silent link.
func (o *onceFleet) waitLinkDropped() {
	o.t.Helper()
	drops := func() int { return strings.Count(o.remote.output.String(), "reason=silent") }
	before := drops()
	eventually(o.t, "the silent link is dropped", func() bool { return drops() > before })
}
