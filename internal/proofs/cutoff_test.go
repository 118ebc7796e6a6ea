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

// ask sends a chat and a job by ticket to a host, and returns the statuses.
func (f *fleet) ask(t *testing.T, m *member, job string) [2]int {
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

// serving waits until a host serves both kinds of work, and returns how long
// that took.
func (f *fleet) serving(t *testing.T, what string, ms ...*member) time.Duration {
	t.Helper()
	began := time.Now()
	for _, m := range ms {
		eventually(t, what+": "+string(m.id)+" serves", func() bool { return f.ask(t, m, "wait") == bothServed })
	}
	return time.Since(began).Round(time.Millisecond)
}

// steady sends work in rounds, all of which must be served.
func (f *fleet) steady(t *testing.T, what string, rounds int, ms ...*member) {
	t.Helper()
	for range rounds {
		for _, m := range ms {
			if diff := cmp.Diff(bothServed, f.ask(t, m, "steady")); diff != "" {
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
	own, others := f.at("uvs"), f.at("erdenet")
	f.serving(t, "at first", f.hosts...)

	f.oneWay(t, "uvs", true)
	f.steady(t, "cut one way", fewRounds, f.hosts...)
	f.oneWay(t, "uvs", false)
	began := time.Now()
	f.fallSilent("uvs", true)
	f.steady(t, "silence", longRounds, f.hosts...)
	f.cutOff("uvs", true, true)
	f.fallSilent("uvs", false)
	f.steady(t, "cut off", longRounds, f.hosts...)
	for _, m := range own {
		f.reboot(t, m)
		t.Logf("%s serves %v after its restart, cut off", m.id, f.serving(t, "one host restarted", m))
		f.steady(t, "one host restarted", fewRounds, own...)
	}
	f.allRestarted(t, own)
	f.oneCentreReached(t, own, others)
	f.healed(t, own, time.Since(began))
}

// oneWay cuts or heals the links out of a data centre, but not those into it.
func (f *fleet) oneWay(t *testing.T, dc ident.DataCentre, cut bool) {
	t.Helper()
	f.between(dc, func(from, to *member) {
		if from.place.DataCentre == dc {
			f.cutLink(from, to, cut)
		}
	})
}

// reboot kills a host without a word and starts it again.
func (f *fleet) reboot(t *testing.T, ms ...*member) {
	t.Helper()
	for _, m := range ms {
		m.signal(t, syscall.SIGKILL)
	}
	for _, m := range ms {
		<-m.done
	}
	for _, m := range ms {
		f.boot(m)
	}
}

// allRestarted takes away the last host that knew anything. Nothing can serve,
// and each host says so rather than to hang or to guess.
func (f *fleet) allRestarted(t *testing.T, own []*member) {
	t.Helper()
	f.reboot(t, own...)
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

// oneCentreReached heals the links to another data centre, with the platform
// still away.
func (f *fleet) oneCentreReached(t *testing.T, own, others []*member) {
	t.Helper()
	ran := f.engineLedger("uvs-e1").Ran
	for _, m := range own {
		for _, o := range others {
			f.cutLink(m, o, false)
			f.cutLink(o, m, false)
		}
	}
	t.Logf("served %v after the first link healed, platform away", f.serving(t, "a data centre reached", own...))
	f.steady(t, "a data centre reached", fewRounds, own...)
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

// healed brings the platform back, and counts what that costs it.
func (f *fleet) healed(t *testing.T, own []*member, cut time.Duration) {
	t.Helper()
	before := f.counts()
	ran := f.engineLedger("uvs-e1").Ran
	for _, m := range own {
		m.toPlatform.setCut(everyone, false)
	}
	eventually(t, "the own engine works again", func() bool {
		f.steadyOnce(t, own)
		return f.engineLedger("uvs-e1").Ran > ran
	})
	f.steady(t, "healed", fewRounds, f.hosts...)
	after := f.counts()
	calls := 0
	for op, n := range after {
		calls += n - before[op]
	}
	knocks := 0
	for _, m := range own {
		knocks += m.toPlatform.knocked()
	}
	t.Logf("%d calls to the platform after the heal; %d connections to it from the hosts that were cut off for %v", calls, knocks, cut)
	if most := someKnocks + int(cut.Seconds()*knockRate)*len(own); knocks > most {
		t.Errorf("%d connections to the platform, more than %d", knocks, most)
	}
}

// Connections to the platform that a host may try while it is cut off: some at
// its start and a few a second. More would bring a platform down that has just
// recovered.
const (
	someKnocks = 40
	knockRate  = 4
)

func (f *fleet) steadyOnce(t *testing.T, ms []*member) {
	t.Helper()
	for _, m := range ms {
		if diff := cmp.Diff(bothServed, f.ask(t, m, "heal")); diff != "" {
			t.Fatalf("while healing, at %s (-want +got):\n%s", m.id, diff)
		}
	}
}

// counts are the calls that the platform has taken.
func (f *fleet) counts() plat.Counts {
	var cs plat.Counts
	getJSON(f.t, f.platform+"/dev/counts", &cs)
	return cs
}
