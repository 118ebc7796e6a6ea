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

// onceFleet is the fleet for the tests of running at most once: a data centre of two hosts and two
// services, one with one of each, and one without a service, which forwards all its jobs.
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
	eventually(o.t, "the entry list is complete at "+string(m.id), func() bool {
		return len(fetchEntries(m.callers(), "publish")) == len(o.hosts)
	})
}

// setServiceFaults sets the faults of all services.
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

// serviceCalls counts the calls received by the services of a data centre, or by all services if
// dc is empty.
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

// platformWrites counts the writes received by the platform.
func (o *onceFleet) platformWrites() int {
	var c plat.Counts
	getJSON(o.t, o.platform+"/dev/counts", &c)
	return c["put"]
}

// restart kills hosts with SIGKILL, starts them again and waits until they serve.
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

// A job must run at most once, and a job that is reported as not run must not have run, whichever
// process or link fails.
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

// The platform is slow, and the host dies while its claims of keys are in transit. The writes
// take effect after its death, for an incarnation that no longer exists. A caller that gets "not run"
// from any host and then uses a ticket is safe only if the key can never run again.
func (o *onceFleet) testBeforeClaim(t *testing.T) {
	before, calls := o.platformWrites(), o.serviceCalls("")
	o.setPlatformFaults(plat.Faults{DelayMs: 900})
	all := []*job{o.byKey(), o.byKey(), o.byKey()}
	o.sendAll(o.local, all)
	eventually(t, "the claims are in transit", func() bool { return o.platformWrites() >= before+len(all) })
	o.local.kill(t)
	o.wg.Wait()
	time.Sleep(2 * time.Second) // Until the writes have taken effect.
	o.setPlatformFaults(plat.Faults{})
	if n := o.serviceCalls("") - calls; n != 0 {
		t.Fatalf("%d calls were sent before their key was recorded", n)
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

// A host dies with recorded jobs that wait for capacity at the service. No other host can know
// that they have not run.
func (o *onceFleet) testBeforeSend(t *testing.T) {
	o.setServiceFaults(plain.Faults{WorkMs: 1500})
	calls := o.serviceCalls("uvs")
	all := o.mixed(t, o.local, 40)
	o.sendAll(o.local, all)
	eventually(t, "the service is full", func() bool { return o.serviceCalls("uvs")-calls >= 16 })
	o.local.kill(t)
	o.wg.Wait()
	if n := o.serviceCalls("") - calls; n >= len(all) {
		t.Fatalf("all %d jobs were sent, none is queued", n)
	}
	o.setServiceFaults(plain.Faults{})
	o.startHost(o.local)
	o.waitReady(o.local)
	o.repeat(all, o.local, o.sibling)
	o.check(t)
}

// A host dies while a service runs its jobs. The service completes them, but no host knows the
// results. A repeat at any host must not run them again.
func (o *onceFleet) testWhileRunning(t *testing.T) {
	o.killWhileRunning(t, o.local, plain.Faults{WorkMs: 1000}, []*fleetHost{o.local})
}

// A host dies after its jobs have run and before it relays the answers.
func (o *onceFleet) testBeforeAnswer(t *testing.T) {
	o.killWhileRunning(t, o.local, plain.Faults{AnswerMs: 1000}, []*fleetHost{o.local})
}

// killWhileRunning sends jobs to a host, kills hosts while the services process the jobs, and
// repeats the jobs at all hosts.
func (o *onceFleet) killWhileRunning(t *testing.T, at *fleetHost, x plain.Faults, victims []*fleetHost) {
	t.Helper()
	o.setServiceFaults(x)
	calls := o.serviceCalls("")
	all := o.sendUntil(t, at, func() bool { return o.serviceCalls("")-calls >= 3 })
	o.restart(victims...)
	o.setServiceFaults(plain.Faults{})
	o.repeat(all, at, o.sibling, o.remote)
	if n := countOutcome(all, event.Unknown); n < 3 {
		t.Errorf("only %d jobs are unknown after the death of a host", n)
	}
	o.check(t)
}

// sendUntil sends jobs to a host until reached returns true. Jobs that are refused because the
// services lack capacity don't count.
func (o *onceFleet) sendUntil(t *testing.T, at *fleetHost, reached func() bool) []*job {
	t.Helper()
	var all []*job
	eventually(t, "jobs run", func() bool {
		if reached() {
			return true
		}
		const maxJobs = 60
		if len(all) < maxJobs {
			js := o.mixed(t, at, 1)
			o.sendAll(at, js)
			all = append(all, js...)
		}
		time.Sleep(50 * time.Millisecond)
		return reached()
	})
	return all
}

// A host is frozen while its jobs run, as by a hypervisor during migration. Callers repeat the jobs
// at other hosts. The resumed host still owns the jobs, and the others must not run them.
func (o *onceFleet) testFrozenOwner(t *testing.T) {
	o.setServiceFaults(plain.Faults{WorkMs: 600})
	calls := o.serviceCalls("")
	all := o.mixed(t, o.local, 3)
	o.sendAll(o.local, all)
	eventually(t, "jobs run", func() bool { return o.serviceCalls("")-calls >= len(all) })
	o.local.signal(t, syscall.SIGSTOP)
	o.setServiceFaults(plain.Faults{})
	var repeats []result
	for _, j := range all {
		repeats = append(repeats, o.send(o.sibling, j))
	}
	o.local.signal(t, syscall.SIGCONT)
	o.wg.Wait()
	for _, ans := range repeats {
		o.checkForeign(t, ans)
	}
	o.repeat(all, o.local)
	if n := countOutcome(all, event.Done); n != len(all) {
		t.Errorf("%d of %d jobs are answered by the resumed owner", n, len(all))
	}
	o.check(t)
}

// checkForeign checks the answer to a repeat at a host other than the owner: it names the owner and
// does not report the job as not run.
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

// A host is frozen with its claims in transit, and resumes long after its peers have dropped it.
// Its claims are valid, and meanwhile no other host may run the repeated jobs.
func (o *onceFleet) testFrozenClaim(t *testing.T) {
	before := o.platformWrites()
	o.setPlatformFaults(plat.Faults{DelayMs: 700})
	all := []*job{o.byKey(), o.byKey(), o.byKey()}
	o.sendAll(o.local, all)
	eventually(t, "the claims are in transit", func() bool { return o.platformWrites() >= before+len(all) })
	o.local.signal(t, syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond) // Until the writes have taken effect.
	o.setPlatformFaults(plat.Faults{})
	var unknown []*job
	for _, j := range all {
		if ans := o.send(o.sibling, j); ans.outcome == event.Unknown {
			unknown = append(unknown, j)
		}
	}
	if len(unknown) != len(all) {
		t.Errorf("%d of %d repeats were reported as unknown", len(unknown), len(all))
	}
	eventually(t, "the peers drop the host", func() bool {
		return len(fetchEntries(o.sibling.callers(), "publish")) < len(o.hosts)
	})
	o.repeat(all, o.sibling, o.remote)
	o.local.signal(t, syscall.SIGCONT)
	o.wg.Wait()
	o.waitReady(o.local)
	o.repeat(all, o.local, o.sibling)
	o.check(t)
}

// The platform loses replies after the write, is slow, and is down. If a lost reply counted as a
// failure, a recorded job would be refused; if it counted as a success, a job that another host
// owns would run.
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
		if j.lastResult().code != codes.StoreDown.ID || o.fleet.jobs()[j.name] != 0 {
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

// A caller loses its connection while its job runs and sends the job again. It must get the answer
// of the first run.
func (o *onceFleet) testCallerDisconnects(t *testing.T) {
	o.setServiceFaults(plain.Faults{WorkMs: 500})
	calls := o.serviceCalls("")
	all := o.mixed(t, o.local, 3)
	ctx, cancel := context.WithCancel(context.Background())
	for _, j := range all {
		o.wg.Go(func() { o.sendWithContext(ctx, o.local, j) })
	}
	eventually(t, "jobs run", func() bool { return o.serviceCalls("")-calls >= len(all) })
	cancel()
	o.wg.Wait()
	for _, j := range all {
		eventually(t, j.name+" is answered", func() bool { return o.send(o.local, j).outcome == event.Done })
	}
	o.setServiceFaults(plain.Faults{})
	o.check(t)
}

// A service breaks the connection before or after it runs a job. The host can't distinguish the two,
// so it must not try another service. First one service fails while another is available, then all
// of them fail, for jobs of a host that forwards them.
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

// sendUntilUnknown sends jobs to a host until some reach the failing service.
func (o *onceFleet) sendUntilUnknown(t *testing.T, m *fleetHost) []*job {
	t.Helper()
	var all []*job
	calls := o.serviceCalls("uvs")
	eventually(t, "jobs reach the failing service", func() bool {
		js := o.mixed(t, m, 1)
		o.repeat(js, m)
		all = append(all, js...)
		return o.serviceCalls("uvs") > calls && countOutcome(all, event.Unknown) > 0
	})
	return all
}

// waitOutcome waits until a new job at a host has an outcome.
func (o *onceFleet) waitOutcome(m *fleetHost, outcome event.Outcome) {
	o.t.Helper()
	eventually(o.t, "jobs are "+string(outcome)+" at "+string(m.id), func() bool {
		return o.send(m, o.byKey()).outcome == outcome
	})
}

// The process of a service dies with jobs in flight, and its ledger is lost. The other service of the
// data centre is idle and must not run them again.
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
		t.Errorf("only %d jobs are unknown after the death of their service", n)
	}
	o.repeat(all, o.local, o.sibling, o.remote)
	runs := o.fleet.jobs()
	for _, j := range all {
		if j.results[0].outcome == event.Unknown && runs[j.name] != 0 {
			t.Errorf("%s ran at another service after the first one died", j.name)
		}
	}
	o.check(t)
}
