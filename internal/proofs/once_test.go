package proofs

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/dev/plain"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// onceFleet is the system for the proofs of running once: a data centre of two
// hosts and two services, one with one of each, and one without a service,
// whose jobs all run elsewhere.
type onceFleet struct {
	*fleet
	*jobs
	local, sibling, remote *fleetHost
}

func startOnceFleet(t *testing.T) *onceFleet {
	t.Helper()
	f := startFleet(t, siteOf("uvs", 2, 0, 2), siteOf("khovd", 1, 0, 1), siteOf("erdenet", 1, 0, 0))
	f.configure()
	o := &onceFleet{
		fleet: f, jobs: &jobs{f: f},
		local: f.host("uvs-1"), sibling: f.host("uvs-2"), remote: f.host("erdenet-1"),
	}
	for _, m := range f.hosts {
		o.waitReady(m)
	}
	o.check(t)
	return o
}

// waitReady waits until a host serves jobs and knows its peers.
func (o *onceFleet) waitReady(m *fleetHost) {
	o.t.Helper()
	eventually(o.t, "a job runs at "+string(m.id), func() bool {
		return o.send(m, o.byKey()).outcome == event.Done
	})
	eventually(o.t, "callers learn of "+string(m.id), func() bool {
		return len(fetchEntries(m.callers(), "publish")) == len(o.hosts)
	})
}

// setServiceFaults sets the faults of all setServiceFaults.
func (o *onceFleet) setServiceFaults(x plain.Faults) {
	o.t.Helper()
	for _, tg := range o.targets {
		putJSON(o.t, tg.URL+"/dev/faults", x)
	}
}

// setPlatformFaults sets the faults of the platform.
func (o *onceFleet) setPlatformFaults(x plat.Faults) {
	o.t.Helper()
	putJSON(o.t, o.platform+"/dev/faults", x)
}

// serviceCalls counts the serviceCalls that reached a service of a data centre, all of them
// for an empty name.
func (o *onceFleet) serviceCalls(dc ident.DataCentre) int {
	n := 0
	for _, tg := range o.targets {
		var l plain.Ledger
		getJSON(o.t, tg.URL+"/dev/ledger", &l)
		if dc == "" || tg.Place.DataCentre == dc {
			n += l.Calls
		}
	}
	return n
}

// platformWrites counts the writes that reached the platform.
func (o *onceFleet) platformWrites() int {
	var c plat.Counts
	getJSON(o.t, o.platform+"/dev/counts", &c)
	return c["put"]
}

// restart kills hosts without a word and starts them again.
func (o *onceFleet) restart(ms ...*fleetHost) {
	o.t.Helper()
	for _, m := range ms {
		m.kill(o.t)
	}
	for _, m := range ms {
		o.startHost(m)
	}
	o.wg.Wait()
	for _, m := range ms {
		o.waitReady(m)
	}
}

func TestRunsOnce(t *testing.T) {
	t.Parallel()
	o := startOnceFleet(t)
	t.Run("host dies before the claim", o.testBeforeClaim)
	t.Run("host dies before it sends", o.testBeforeSend)
	t.Run("host dies while the target runs", o.testWhileRunning)
	t.Run("host dies before it answers", o.testBeforeAnswer)
	t.Run("frozen owner", o.testFrozenOwner)
	t.Run("frozen claim", o.testFrozenClaim)
	t.Run("platform", o.testPlatform)
	t.Run("caller leaves", o.testCallerDisconnects)
	t.Run("target dies", o.testTargetDies)
	t.Run("forwarder dies", o.testForwarderDies)
	t.Run("receiver dies", o.testReceiverDies)
	t.Run("links are cut", o.testLinks)
	t.Run("service is killed", o.testServiceKilled)
}

// The platform is slow, and the host dies while its claims of keys are on
// their way. The writes land after its death, under the name of a run that no
// longer exists. A caller that gets "not run" from anyone and takes a ticket
// is safe only if the key can never run again.
func (o *onceFleet) testBeforeClaim(t *testing.T) {
	before, calls := o.platformWrites(), o.serviceCalls("")
	o.setPlatformFaults(plat.Faults{DelayMs: 900})
	all := []*job{o.byKey(), o.byKey(), o.byKey()}
	o.sendAll(o.local, all)
	eventually(t, "the claims are on their way", func() bool { return o.platformWrites() >= before+len(all) })
	o.local.kill(t)
	o.wg.Wait()
	time.Sleep(2 * time.Second) // The writes land.
	o.setPlatformFaults(plat.Faults{})
	if n := o.serviceCalls("") - calls; n != 0 {
		t.Fatalf("%d calls were sent before their key was on record", n)
	}
	o.repeat(all, o.sibling)
	o.startHost(o.local)
	o.waitReady(o.local)
	o.repeat(all, o.local, o.sibling, o.remote)
	if n := countOutcome(all, event.Unknown); n != len(all) {
		t.Errorf("%d of %d keys of a dead host are unknown", n, len(all))
	}
	o.check(t)
}

// A host dies with jobs that are on record and wait for room at the service.
// Nobody knows any more that they have not run.
func (o *onceFleet) testBeforeSend(t *testing.T) {
	o.setServiceFaults(plain.Faults{WorkMs: 1500})
	calls := o.serviceCalls("uvs")
	all := o.mixed(t, o.local, 40)
	o.sendAll(o.local, all)
	eventually(t, "the service is full", func() bool { return o.serviceCalls("uvs")-calls >= 16 })
	o.local.kill(t)
	o.wg.Wait()
	if n := o.serviceCalls("") - calls; n >= len(all) {
		t.Fatalf("all %d jobs were sent, none waited", n)
	}
	o.setServiceFaults(plain.Faults{})
	o.startHost(o.local)
	o.waitReady(o.local)
	o.repeat(all, o.local, o.sibling)
	o.check(t)
}

// A host dies while a service works on its jobs. The service finishes them,
// and nobody is left who knows. A repeat anywhere must not run them again.
func (o *onceFleet) testWhileRunning(t *testing.T) {
	o.killWhileRunning(t, o.local, plain.Faults{WorkMs: 1000}, []*fleetHost{o.local})
}

// A host dies after its jobs have run and before the answers are passed on.
func (o *onceFleet) testBeforeAnswer(t *testing.T) {
	o.killWhileRunning(t, o.local, plain.Faults{AnswerMs: 1000}, []*fleetHost{o.local})
}

// killWhileRunning sends jobs to a host, kills hosts while the services hold the jobs,
// and repeats them everywhere.
func (o *onceFleet) killWhileRunning(t *testing.T, at *fleetHost, x plain.Faults, victims []*fleetHost) {
	t.Helper()
	o.setServiceFaults(x)
	calls := o.serviceCalls("")
	all := o.sendUntil(t, at, func() bool { return o.serviceCalls("")-calls >= 3 })
	o.restart(victims...)
	o.setServiceFaults(plain.Faults{})
	o.repeat(all, at, o.sibling, o.remote)
	if n := countOutcome(all, event.Unknown); n < 3 {
		t.Errorf("%d jobs are unknown after the death of a host, too few to have met it", n)
	}
	o.check(t)
}

// sendUntil sends jobs to a host until so many run that the proof can go on.
// Those that are refused for want of room elsewhere are no help to it.
func (o *onceFleet) sendUntil(t *testing.T, at *fleetHost, reached func() bool) []*job {
	t.Helper()
	var all []*job
	eventually(t, "jobs run", func() bool {
		if reached() {
			return true
		}
		const most = 60
		if len(all) < most {
			js := o.mixed(t, at, 1)
			o.sendAll(at, js)
			all = append(all, js...)
		}
		time.Sleep(50 * time.Millisecond)
		return reached()
	})
	return all
}

// A host is frozen while its jobs run, as under a hypervisor that moves it. Its
// callers repeat elsewhere, and when it wakes it still believes that it owns
// them. It does, and the others must know.
func (o *onceFleet) testFrozenOwner(t *testing.T) {
	o.setServiceFaults(plain.Faults{WorkMs: 600})
	calls := o.serviceCalls("")
	all := o.mixed(t, o.local, 3)
	o.sendAll(o.local, all)
	eventually(t, "jobs run", func() bool { return o.serviceCalls("")-calls >= len(all) })
	o.local.signal(t, syscall.SIGSTOP)
	o.setServiceFaults(plain.Faults{})
	var elsewhere []result
	for _, j := range all {
		elsewhere = append(elsewhere, o.send(o.sibling, j))
	}
	o.local.signal(t, syscall.SIGCONT)
	o.wg.Wait()
	for _, ans := range elsewhere {
		o.checkForeign(t, ans)
	}
	o.repeat(all, o.local)
	if n := countOutcome(all, event.Done); n != len(all) {
		t.Errorf("%d of %d jobs are answered by their owner once it is awake", n, len(all))
	}
	o.check(t)
}

// checkForeign checks the answer to a repeat at another host than the owner: it
// names the owner and does not say that the job has not run.
func (o *onceFleet) checkForeign(t *testing.T, got result) {
	t.Helper()
	want := result{
		status: http.StatusMisdirectedRequest, outcome: event.Unknown, code: codes.ForeignTicket.ID,
		entries: []string{o.local.callers()},
	}
	got.body = ""
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(result{})); diff != "" {
		t.Errorf("repeat at another host (-want +got):\n%s", diff)
	}
}

// A host is frozen with its claims on their way and wakes long after its peers
// have given it up. Its claims stand, and repeats elsewhere meanwhile must
// leave the jobs to it.
func (o *onceFleet) testFrozenClaim(t *testing.T) {
	before := o.platformWrites()
	o.setPlatformFaults(plat.Faults{DelayMs: 700})
	all := []*job{o.byKey(), o.byKey(), o.byKey()}
	o.sendAll(o.local, all)
	eventually(t, "the claims are on their way", func() bool { return o.platformWrites() >= before+len(all) })
	o.local.signal(t, syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond) // The writes land.
	o.setPlatformFaults(plat.Faults{})
	var during []*job
	for _, j := range all {
		if ans := o.send(o.sibling, j); ans.outcome == event.Unknown {
			during = append(during, j)
		}
	}
	if len(during) != len(all) {
		t.Errorf("%d of %d repeats were reported as unknown", len(during), len(all))
	}
	eventually(t, "the peers give the host up", func() bool {
		return len(fetchEntries(o.sibling.callers(), "publish")) < len(o.hosts)
	})
	o.repeat(all, o.sibling, o.remote)
	o.local.signal(t, syscall.SIGCONT)
	o.wg.Wait()
	o.waitReady(o.local)
	o.repeat(all, o.local, o.sibling)
	o.check(t)
}

// The platform loses replies after the write, is slow, and is down. A lost
// reply read as a failure would refuse a job that is on record; one read as a
// success would run a job that another host owns.
func (o *onceFleet) testPlatform(t *testing.T) {
	keys := func() []*job { return []*job{o.byKey(), o.byKey(), o.byKey(), o.byKey()} }
	lost := keys()
	o.setPlatformFaults(plat.Faults{LoseNext: len(lost)})
	o.repeat(lost, o.local)
	if n := countOutcome(lost, event.Done); n != len(lost) {
		t.Errorf("%d of %d jobs are done though replies are lost", n, len(lost))
	}
	slow := keys()
	o.setPlatformFaults(plat.Faults{DelayMs: 200})
	o.repeat(slow, o.local, o.sibling)
	down, tickets := keys(), []*job{o.byTicket(t, o.local), o.byTicket(t, o.local)}
	o.setPlatformFaults(plat.Faults{Down: true})
	o.repeat(down, o.local)
	for _, j := range down {
		if j.lastResult().code != codes.StoreDown.ID || o.fleet.jobRuns()[j.name] != 0 {
			t.Errorf("%s with the platform down: %+v", j.name, j.lastResult())
		}
	}
	o.repeat(tickets, o.local)
	if n := countOutcome(tickets, event.Done); n != len(tickets) {
		t.Errorf("%d of %d tickets run without the platform", n, len(tickets))
	}
	o.setPlatformFaults(plat.Faults{})
	o.repeat(down, o.local)
	if n := countOutcome(down, event.Done); n != len(down) {
		t.Errorf("%d of %d keys run once the platform is back", n, len(down))
	}
	o.repeat(append(lost, append(slow, down...)...), o.local, o.sibling, o.remote)
	o.check(t)
}

// A caller loses its connection while its job runs and sends the job again. It
// gets the answer of the first run.
func (o *onceFleet) testCallerDisconnects(t *testing.T) {
	o.setServiceFaults(plain.Faults{WorkMs: 500})
	calls := o.serviceCalls("")
	all := o.mixed(t, o.local, 3)
	ctx, leave := context.WithCancel(context.Background())
	for _, j := range all {
		o.wg.Go(func() { o.sendFor(ctx, o.local, j) })
	}
	eventually(t, "jobs run", func() bool { return o.serviceCalls("")-calls >= len(all) })
	leave()
	o.wg.Wait()
	for _, j := range all {
		eventually(t, j.name+" is answered", func() bool { return o.send(o.local, j).outcome == event.Done })
	}
	o.setServiceFaults(plain.Faults{})
	o.check(t)
}

// A service breaks the connection before it runs a job or after it has. Both
// look the same from outside, so that the job may not be tried at another
// service. First one service dies, so that another would run the job well, and
// then all of them, before a host that passes its jobs on.
func (o *onceFleet) testTargetDies(t *testing.T) {
	var all []*job
	for _, x := range []plain.Faults{{DieBeforeRun: 1}, {DieAfterRun: 1}} {
		putJSON(t, o.url("uvs-p1")+"/dev/faults", x)
		all = append(all, o.sendUntilUnknown(t, o.local)...)
		o.setServiceFaults(x)
		o.waitOutcome(o.remote, event.Unknown)
		calls := o.serviceCalls("")
		js := o.mixed(t, o.remote, 2)
		o.repeat(js, o.remote)
		if n := o.serviceCalls("") - calls; n > len(js) {
			t.Errorf("%d calls for %d jobs", n, len(js))
		}
		all = append(all, js...)
		o.setServiceFaults(plain.Faults{})
		o.waitOutcome(o.local, event.Done)
		o.waitOutcome(o.remote, event.Done)
	}
	o.repeat(all, o.local, o.sibling, o.remote)
	o.check(t)
}

// sendUntilUnknown sends jobs to a host until some meet the service that dies.
func (o *onceFleet) sendUntilUnknown(t *testing.T, m *fleetHost) []*job {
	t.Helper()
	var all []*job
	calls := o.serviceCalls("uvs")
	eventually(t, "jobs meet the fault", func() bool {
		js := o.mixed(t, m, 1)
		o.repeat(js, m)
		all = append(all, js...)
		return o.serviceCalls("uvs") > calls && countOutcome(all, event.Unknown) > 0
	})
	return all
}

// waitOutcome waits until a host sends jobs again and they have an outcome.
func (o *onceFleet) waitOutcome(m *fleetHost, outcome event.Outcome) {
	o.t.Helper()
	eventually(o.t, "jobs are "+string(outcome)+" at "+string(m.id), func() bool {
		return o.send(m, o.byKey()).outcome == outcome
	})
}

// The process of a service dies with jobs in it, and its ledger with it. The
// other service of the data centre is idle and would run them again.
func (o *onceFleet) testServiceKilled(t *testing.T) {
	const id = ident.TargetID("uvs-p1")
	o.setServiceFaults(plain.Faults{WorkMs: 1000})
	var ld event.Load
	all := o.sendUntil(t, o.local, func() bool {
		getJSON(t, o.url(id)+"/load", &ld)
		return ld.Running >= 2
	})
	o.procs[id].kill(t)
	o.targets = slices.DeleteFunc(o.targets, func(tg event.Target) bool { return tg.ID == id })
	o.setServiceFaults(plain.Faults{})
	o.wg.Wait()
	if n := countOutcome(all, event.Unknown); n < 2 {
		t.Errorf("%d jobs are unknown after the death of their service", n)
	}
	o.repeat(all, o.local, o.sibling, o.remote)
	runs := o.fleet.jobRuns()
	for _, j := range all {
		if j.results[0].outcome == event.Unknown && runs[j.name] != 0 {
			t.Errorf("%s ran at another service after its own had died", j.name)
		}
	}
	o.check(t)
}
