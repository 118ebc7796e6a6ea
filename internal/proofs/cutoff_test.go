package proofs

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sendChatAndJob sends a chat request and a job with a ticket to a host, and returns both statuses.
func (f *fleet) sendChatAndJob(t *testing.T, m *fleetHost, job string) [2]int {
	t.Helper()
	chat := post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "own work", 3))
	tick := post(t, m.callers()+"/v1/tickets?profile=publish", "key-1", "")
	if tick.status != http.StatusOK {
		return [2]int{chat.status, tick.status}
	}
	rep := sendJob(t, m, job, map[string]string{"Verbenadale-Ticket": takeTicket(t, m, "publish")})
	return [2]int{chat.status, rep.status}
}

var bothServed = [2]int{http.StatusOK, http.StatusOK}

// waitServing waits until hosts serve both kinds of work, and returns how long that took.
func (f *fleet) waitServing(t *testing.T, what string, ms ...*fleetHost) time.Duration {
	t.Helper()
	startedAt := time.Now()
	for _, m := range ms {
		eventually(t, what+": "+string(m.id)+" serves", func() bool { return f.sendChatAndJob(t, m, "wait") == bothServed })
	}
	return time.Since(startedAt).Round(time.Millisecond)
}

// checkServing sends rounds of work, all of which must be served.
func (f *fleet) checkServing(t *testing.T, what string, rounds int, ms ...*fleetHost) {
	t.Helper()
	for range rounds {
		for _, m := range ms {
			if diff := cmp.Diff(bothServed, f.sendChatAndJob(t, m, "steady")); diff != "" {
				t.Fatalf("%s at %s (-want +got):\n%s", what, m.id, diff)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Rounds of work for checkServing. longRounds take longer than the TTL of the state that
// hosts receive from each other.
const (
	longRounds = 40
	fewRounds  = 10
)

// A region that is cut off from the platform and all other regions must keep serving its callers,
// also when its hosts restart one after the other.
func TestCutOffRegionServes(t *testing.T) {
	f := startFleet(t, siteOf("uvs", 2, 1, 1), siteOf("erdenet", 2, 1, 1))
	f.configure(confinedItems(t)...)
	own, others := f.hostsIn("uvs"), f.hostsIn("erdenet")
	f.waitServing(t, "at first", f.hosts...)

	f.cutOutgoing(t, "uvs", true)
	f.checkServing(t, "cut one way", fewRounds, f.hosts...)
	f.cutOutgoing(t, "uvs", false)
	startedAt := time.Now()
	f.silence("uvs", true)
	f.checkServing(t, "silence", longRounds, f.hosts...)
	f.partition("uvs", true, true)
	f.silence("uvs", false)
	f.checkServing(t, "cut off", longRounds, f.hosts...)
	for _, m := range own {
		f.killAndStart(t, m)
		t.Logf("%s serves %v after its restart, cut off", m.id, f.waitServing(t, "one host restarted", m))
		f.checkServing(t, "one host restarted", fewRounds, own...)
	}
	f.checkAllRestarted(t, own)
	f.checkOneCentreReached(t, own, others)
	f.checkHealed(t, own, time.Since(startedAt))
}

// cutOutgoing cuts or heals the links out of a data centre, but not those into it.
func (f *fleet) cutOutgoing(t *testing.T, dc ident.DataCentre, cut bool) {
	t.Helper()
	f.eachLink(dc, func(from, to *fleetHost) {
		if from.place.DataCentre == dc {
			f.cutLink(from, to, cut)
		}
	})
}

// killAndStart kills hosts with SIGKILL and starts them again.
func (f *fleet) killAndStart(t *testing.T, ms ...*fleetHost) {
	t.Helper()
	for _, m := range ms {
		m.signal(t, syscall.SIGKILL)
	}
	for _, m := range ms {
		<-m.done
	}
	for _, m := range ms {
		f.startHost(m)
	}
}

// checkAllRestarted restarts all hosts of a partitioned data centre, so that none has any state.
// Each must refuse requests with a retry time instead of blocking or serving without state.
func (f *fleet) checkAllRestarted(t *testing.T, own []*fleetHost) {
	t.Helper()
	f.killAndStart(t, own...)
	for range 20 {
		for _, m := range own {
			rep := post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "own work", 3))
			got := refusalOf(rep)
			if diff := cmp.Diff(codes.NotReady.ID, got.Error.Code); diff != "" {
				t.Fatalf("all restarted, at %s (-want +got):\n%s", m.id, diff)
			}
			if rep.header.Get("Retry-After") == "" || got.Error.Outcome != event.NotRun {
				t.Errorf("%s refused without a retry time: %s", m.id, rep.body)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkOneCentreReached heals the links to another data centre while the platform is unreachable.
// The hosts must serve their callers through it, and refuse work that is confined to their region.
func (f *fleet) checkOneCentreReached(t *testing.T, own, others []*fleetHost) {
	t.Helper()
	ran := f.engineLedger("uvs-e1").Ran
	for _, m := range own {
		for _, o := range others {
			f.cutLink(m, o, false)
			f.cutLink(o, m, false)
		}
	}
	t.Logf("served %v after the first link healed, platform unreachable", f.waitServing(t, "a data centre reached", own...))
	f.checkServing(t, "a data centre reached", fewRounds, own...)
	for _, m := range own {
		got := refusalOf(post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("confined", "own work", 3))).Error
		if diff := cmp.Diff([]any{codes.NoTarget.ID, event.NotRun}, []any{got.Code, got.Outcome}); diff != "" {
			t.Errorf("confined work at %s (-want +got):\n%s", m.id, diff)
		}
	}
	if diff := cmp.Diff(ran, f.engineLedger("uvs-e1").Ran); diff != "" {
		t.Errorf("requests at an engine that the restarted hosts don't know (-want +got):\n%s", diff)
	}
}

// checkHealed reconnects the platform. The hosts must serve meanwhile and use the engine of their
// data centre again, and must not have opened too many connections to the platform.
func (f *fleet) checkHealed(t *testing.T, own []*fleetHost, cut time.Duration) {
	t.Helper()
	before := f.platformCalls()
	ran := f.engineLedger("uvs-e1").Ran
	for _, m := range own {
		m.platformRelay.setCut(everyone, false)
	}
	eventually(t, "the engine of the data centre is used again", func() bool {
		f.checkServedOnce(t, own)
		return f.engineLedger("uvs-e1").Ran > ran
	})
	f.checkServing(t, "healed", fewRounds, f.hosts...)
	after := f.platformCalls()
	calls := 0
	for op, n := range after {
		calls += n - before[op]
	}
	connections := 0
	for _, m := range own {
		connections += m.platformRelay.connectionCount()
	}
	t.Logf("%d calls to the platform after the partition; %d connections to it from the hosts that were cut off for %v", calls, connections, cut)
	if maxConnections := maxStartConnections + int(cut.Seconds()*maxConnectionsPerSecond)*len(own); connections > maxConnections {
		t.Errorf("%d connections to the platform, more than %d", connections, maxConnections)
	}
}

// Limits on the connections that a host opens to the platform while it is cut off: a burst at
// its start, and a rate. More could overload a platform that has just recovered.
const (
	maxStartConnections     = 40
	maxConnectionsPerSecond = 4
)

func (f *fleet) checkServedOnce(t *testing.T, ms []*fleetHost) {
	t.Helper()
	for _, m := range ms {
		if diff := cmp.Diff(bothServed, f.sendChatAndJob(t, m, "heal")); diff != "" {
			t.Fatalf("while healing, at %s (-want +got):\n%s", m.id, diff)
		}
	}
}

// platformCalls returns the call counts of the platform.
func (f *fleet) platformCalls() plat.Counts {
	var cs plat.Counts
	getJSON(f.t, f.platform+"/dev/counts", &cs)
	return cs
}
