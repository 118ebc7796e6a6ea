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

// askBoth sends a chat and a job by ticket to a host, and returns the statuses.
func (f *fleet) askBoth(t *testing.T, m *fleetHost, job string) [2]int {
	t.Helper()
	chat := post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "own work", 3))
	tick := post(t, m.callers()+"/v1/tickets?profile=publish", "key-1", "")
	if tick.status != http.StatusOK {
		return [2]int{chat.status, tick.status}
	}
	rep := book(t, m, job, map[string]string{"Verbenadale-Ticket": takeTicket(t, m, "publish")})
	return [2]int{chat.status, rep.status}
}

var bothServed = [2]int{http.StatusOK, http.StatusOK}

// waitServing waits until a host serves both kinds of work, and returns how long
// that took.
func (f *fleet) waitServing(t *testing.T, what string, ms ...*fleetHost) time.Duration {
	t.Helper()
	began := time.Now()
	for _, m := range ms {
		eventually(t, what+": "+string(m.id)+" serves", func() bool { return f.askBoth(t, m, "wait") == bothServed })
	}
	return time.Since(began).Round(time.Millisecond)
}

// checkServing sends work in rounds, all of which must be served.
func (f *fleet) checkServing(t *testing.T, what string, rounds int, ms ...*fleetHost) {
	t.Helper()
	for range rounds {
		for _, m := range ms {
			if diff := cmp.Diff(bothServed, f.askBoth(t, m, "steady")); diff != "" {
				t.Fatalf("%s at %s (-want +got):\n%s", what, m.id, diff)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Rounds of steady work. The long one outlasts what hosts believe of each
// other without a message.
const (
	longRounds = 40
	fewRounds  = 10
)

// A region that is cut off from all others and the platform stops serving its callers.
func TestCutOffRegionServes(t *testing.T) {
	f := startFleet(t, siteOf("uvs", 2, 1, 1), siteOf("erdenet", 2, 1, 1))
	f.configure(confinedItems(t)...)
	own, others := f.hostsIn("uvs"), f.hostsIn("erdenet")
	f.waitServing(t, "at first", f.hosts...)

	f.cutOutgoing(t, "uvs", true)
	f.checkServing(t, "cut one way", fewRounds, f.hosts...)
	f.cutOutgoing(t, "uvs", false)
	began := time.Now()
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
	f.checkHealed(t, own, time.Since(began))
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

// killAndStart kills a host without a word and starts it again.
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

// checkAllRestarted takes away the last host that knew anything. Nothing can serve,
// and each host says so rather than to hang or to guess.
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
				t.Errorf("%s does not say when to come back: %s", m.id, rep.body)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkOneCentreReached heals the links to another data centre, with the platform
// still away.
func (f *fleet) checkOneCentreReached(t *testing.T, own, others []*fleetHost) {
	t.Helper()
	ran := f.engineLedger("uvs-e1").Ran
	for _, m := range own {
		for _, o := range others {
			f.cutLink(m, o, false)
			f.cutLink(o, m, false)
		}
	}
	t.Logf("served %v after the first link healed, platform away", f.waitServing(t, "a data centre reached", own...))
	f.checkServing(t, "a data centre reached", fewRounds, own...)
	for _, m := range own {
		got := refusalOf(post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("confined", "own work", 3))).Error
		if diff := cmp.Diff([]any{codes.NoTarget.ID, event.NotRun}, []any{got.Code, got.Outcome}); diff != "" {
			t.Errorf("confined work at %s (-want +got):\n%s", m.id, diff)
		}
	}
	if diff := cmp.Diff(ran, f.engineLedger("uvs-e1").Ran); diff != "" {
		t.Errorf("work at the engine that no list names (-want +got):\n%s", diff)
	}
}

// checkHealed brings the platform back, and counts what that costs it.
func (f *fleet) checkHealed(t *testing.T, own []*fleetHost, cut time.Duration) {
	t.Helper()
	before := f.platformCalls()
	ran := f.engineLedger("uvs-e1").Ran
	for _, m := range own {
		m.platformRelay.setCut(everyone, false)
	}
	eventually(t, "the own engine works again", func() bool {
		f.checkServedOnce(t, own)
		return f.engineLedger("uvs-e1").Ran > ran
	})
	f.checkServing(t, "healed", fewRounds, f.hosts...)
	after := f.platformCalls()
	calls := 0
	for op, n := range after {
		calls += n - before[op]
	}
	knocks := 0
	for _, m := range own {
		knocks += m.platformRelay.connectionCount()
	}
	t.Logf("%d calls to the platform after the heal; %d connections to it from the hosts that were cut off for %v", calls, knocks, cut)
	if most := maxStartConnections + int(cut.Seconds()*maxConnectionsPerSecond)*len(own); knocks > most {
		t.Errorf("%d connections to the platform, more than %d", knocks, most)
	}
}

// Connections to the platform that a host may try while it is cut off: some at
// its start and a few a second. More would bring a platform down that has just
// recovered.
const (
	maxStartConnections     = 40
	maxConnectionsPerSecond = 4
)

func (f *fleet) checkServedOnce(t *testing.T, ms []*fleetHost) {
	t.Helper()
	for _, m := range ms {
		if diff := cmp.Diff(bothServed, f.askBoth(t, m, "heal")); diff != "" {
			t.Fatalf("while healing, at %s (-want +got):\n%s", m.id, diff)
		}
	}
}

// platformCalls are the calls that the platform has taken.
func (f *fleet) platformCalls() plat.Counts {
	var cs plat.Counts
	getJSON(f.t, f.platform+"/dev/counts", &cs)
	return cs
}
