package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Links between regions and to the platform are cut one way or both and heal,
// hosts freeze, die and come back, targets break off after they have run or
// leave, operators change the configuration, and callers send the same job
// again, here and elsewhere. A user would notice a fault as a notice that is
// out twice, a job told not to have run that did, data in the wrong region, or
// no answer.
func TestPromisesUnderFailure(t *testing.T) {
	saw := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt.Fatalf)
		w.saw = saw
		w.Early = func() (time.Duration, bool) { return 0, w.n%7 == 0 }
		w.LoseClaim = func() bool { return w.n%5 == 0 }
		steps := rapid.IntRange(5, 40).Draw(rt, "steps")
		for range steps {
			act := rapid.SampledFrom(acts).Draw(rt, "act")
			act.do(rt, w)
			w.Run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
		}
		w.settle()
	})
	sawAll(t, saw, "dispatch", "forward", "refuse", "finish", "replay", "claimKey")
}

// sawAll guards the test itself: sequences that never bring a thing about
// would pass whatever the code does with it.
func sawAll(t *testing.T, saw map[string]int, names ...string) {
	t.Helper()
	t.Log(saw)
	for _, name := range names {
		if saw[name] == 0 {
			t.Errorf("%s never came about; the sequences show nothing of it", name)
		}
	}
}

// All services of one region are gone, so that its jobs go to other regions,
// over links that break at any moment of the way: before the job arrives,
// while it runs, or after it has run and before its answer is back. The host
// there may freeze or restart meanwhile. A job that is sent again on a guess
// runs twice, and one that is called not run on a guess is done again by hand.
func TestOnceAcrossRegions(t *testing.T) {
	saw := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt.Fatalf)
		w.saw = saw
		early := rapid.IntRange(2, 9).Draw(rt, "early")
		w.Early = func() (time.Duration, bool) {
			return time.Duration(w.n%4) * 400 * time.Millisecond, w.n%early == 0
		}
		for _, tg := range w.Targets {
			tg.Dead = tg.Kind == event.Service && tg.Place.Region == "uvs"
		}
		for range 8 {
			sendTicketed(w, "uvs-0")
			sendTicketed(w, "uvs-1")
			w.Run(time.Second)
		}
		for range rapid.IntRange(5, 30).Draw(rt, "steps") {
			rapid.SampledFrom(abroad).Draw(rt, "act").do(rt, w)
			w.Run(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
		}
		w.settle()
	})
	sawAll(t, saw, "forward", "askBar", "bar barred", "bar ended", "bar running")
}

// sendTicketed sends a job with a new ticket of the host.
func sendTicketed(w *world, host ident.EntryID) {
	had := len(w.tickets)
	w.ask(host)
	w.Run(time.Millisecond)
	if len(w.tickets) > had {
		tk := w.tickets[had].ticket
		w.send(host, "publish", tk, tk, "", 5*time.Second)
	}
}

var abroad = []act{
	{"job", func(rt *rapid.T, w *world) {
		sendTicketed(w, hostID("uvs", rapid.IntRange(0, 1).Draw(rt, "host")))
	}},
	{"jobs", func(_ *rapid.T, w *world) {
		for range 6 {
			sendTicketed(w, "uvs-0")
		}
	}},
	{"cut", func(rt *rapid.T, w *world) { w.down.Add(link(rt)) }},
	{"heal", func(_ *rapid.T, w *world) { clear(w.down) }},
	{"freeze", func(rt *rapid.T, w *world) {
		w.Freeze(anyHost(rt), time.Duration(rapid.IntRange(100, 6000).Draw(rt, "ms"))*time.Millisecond)
	}},
	{"restart", func(rt *rapid.T, w *world) { w.Restart(anyHost(rt)) }},
	{"refuse", func(rt *rapid.T, w *world) {
		tg := w.Targets[rapid.IntRange(0, len(w.Targets)-1).Draw(rt, "target")]
		tg.Dead = !tg.Dead || tg.Place.Region == "uvs"
	}},
	{"break", func(rt *rapid.T, w *world) {
		n := 0
		w.Targets[rapid.IntRange(0, len(w.Targets)-1).Draw(rt, "target")].Break = func() bool { n++; return n%3 == 0 }
	}},
}

// act is something that callers, operators or fate do.
type act struct {
	name string
	do   func(rt *rapid.T, w *world)
}

// String names the act where a failing sequence is printed.
func (a act) String() string { return a.name }

var acts = []act{
	{"draft", func(rt *rapid.T, w *world) { w.send(anyHost(rt), "draft", "", "", "", 5*time.Second) }},
	{"bound", func(rt *rapid.T, w *world) { w.send(anyHost(rt), "bound", "", "", "", 5*time.Second) }},
	{"many", func(rt *rapid.T, w *world) {
		host := anyHost(rt)
		for range 30 {
			w.send(host, "draft", "", "", "", 3*time.Second)
		}
	}},
	{"ticket", func(rt *rapid.T, w *world) { w.ask(anyHost(rt)) }},
	{"redeem", redeem},
	{"key", func(rt *rapid.T, w *world) {
		job := fmt.Sprint("key-", rapid.IntRange(0, 4).Draw(rt, "key"))
		w.send(anyHost(rt), "publish", job, "", job, 5*time.Second)
	}},
	{"cut", func(rt *rapid.T, w *world) { w.down.Add(link(rt)) }},
	{"heal", func(rt *rapid.T, w *world) { delete(w.down, link(rt)) }},
	{"platformCut", func(rt *rapid.T, w *world) { w.platform.Add(anyHost(rt)) }},
	{"platformHeal", func(_ *rapid.T, w *world) { clear(w.platform) }},
	{"freeze", func(rt *rapid.T, w *world) {
		w.Freeze(anyHost(rt), time.Duration(rapid.IntRange(1, 8).Draw(rt, "s"))*time.Second)
	}},
	{"restart", func(rt *rapid.T, w *world) { w.Restart(anyHost(rt)) }},
	{"kill", func(rt *rapid.T, w *world) { w.Kill(anyHost(rt)) }},
	{"break", func(rt *rapid.T, w *world) {
		t := w.Targets[rapid.IntRange(0, len(w.Targets)-1).Draw(rt, "target")]
		n := 0
		t.Break = func() bool { n++; return n%2 == 0 }
	}},
	{"die", func(rt *rapid.T, w *world) {
		r := rapid.SampledFrom(regions).Draw(rt, "region")
		kind := rapid.SampledFrom([]event.TargetKind{event.Engine, event.Service}).Draw(rt, "kind")
		for _, t := range w.Targets {
			if t.Place.Region == r && t.Kind == kind {
				t.Dead = !t.Dead
			}
		}
	}},
	{"leave", func(rt *rapid.T, w *world) {
		w.Targets[rapid.IntRange(0, len(w.Targets)-1).Draw(rt, "target")].Draining = true
	}},
	{"change", func(_ *rapid.T, w *world) {
		w.Change(clientItem(rules.Client{Name: "other", KeyDigest: rules.Digest(fmt.Sprint(w.Now))}))
	}},
}

func redeem(rt *rapid.T, w *world) {
	if len(w.tickets) == 0 {
		return
	}
	tk := w.tickets[rapid.IntRange(0, len(w.tickets)-1).Draw(rt, "ticket")]
	host := tk.host
	if rapid.IntRange(0, 3).Draw(rt, "elsewhere") == 0 {
		host = anyHost(rt)
	}
	w.send(host, "publish", tk.ticket, tk.ticket, "", 5*time.Second)
}

func link(rt *rapid.T) string {
	from := rapid.SampledFrom(regions).Draw(rt, "from")
	to := rapid.SampledFrom(regions).Draw(rt, "to")
	return string(from) + ">" + string(to)
}

// A region loses its links to the others and to the platform, and one of its
// two hosts is replaced meanwhile by one that knows nothing. Its callers would
// notice a system that refuses them although their own targets are idle.
func TestCutOffRegionServesOn(t *testing.T) {
	w := newWorld(t.Fatalf)
	for _, r := range regions[1:] {
		w.down.Add("uvs>" + string(r))
		w.down.Add(string(r) + ">uvs")
	}
	for n := range hostsPerCentre {
		w.platform.Add(hostID("uvs", n))
	}
	w.Run(30 * time.Second)
	w.Restart(hostID("uvs", 0))
	w.Run(4 * time.Second)
	for n := range hostsPerCentre {
		id := w.send(hostID("uvs", n), "draft", "", "", "", 5*time.Second)
		w.Run(5 * time.Second)
		a, ok := w.answerTo(id)
		if !ok || a.Outcome != event.Done {
			t.Errorf("host %d of the cut-off region answers %+v", n, a)
		}
	}
}

// An operator's change is accepted while a data centre is cut off from the
// platform. If it learned of the change only after the heal, its callers would
// be served by rules that no longer hold.
func TestChangeReachesACentreWithoutPlatform(t *testing.T) {
	w := newWorld(t.Fatalf)
	for n := range hostsPerCentre {
		w.platform.Add(hostID("uvs", n))
	}
	w.Run(5 * time.Second)
	rev := w.Change(clientItem(rules.Client{Name: "other", KeyDigest: rules.Digest("o")}))
	w.Run(4 * time.Second)
	for _, h := range w.Hosts {
		if h.Revision != rev {
			t.Errorf("host %s is at revision %d, 4 s after %d was accepted", h.ID, h.Revision, rev)
		}
	}
}

// A target begins to leave while the platform's list still shows it as live.
// Work that it gets after a few seconds would be cut when it stops.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	w := newWorld(t.Fatalf)
	tg := w.Target("uvs-e0")
	for range 20 {
		w.send("uvs-0", "bound", "", "", "", 5*time.Second)
		w.Run(50 * time.Millisecond)
	}
	tg.Draining = true
	left := w.Now
	for range 100 {
		w.send(hostID("uvs", w.n%2), "bound", "", "", "", 5*time.Second)
		w.Run(50 * time.Millisecond)
	}
	if late := tg.Last.Sub(left); late > 2*time.Second {
		t.Errorf("the last new request came %v after the target began to leave", late)
	}
	if tg.Last == 0 {
		t.Error("the target had no work before it left; the test shows nothing")
	}
	w.settle()
}

// A host is told to stop while requests run. Every one of them must end, and
// what comes after must be sent elsewhere at once.
func TestDrainCutsNothing(t *testing.T) {
	w := newWorld(t.Fatalf)
	var before []ident.RequestID
	for range 12 {
		before = append(before, w.send("uvs-0", "draft", "", "", "", 20*time.Second))
	}
	w.Run(10 * time.Millisecond)
	w.Post("uvs-0", 0, event.DrainAsked{})
	after := w.send("uvs-0", "draft", "", "", "", 20*time.Second)
	w.Run(10 * time.Second)
	for _, id := range before {
		if a, _ := w.answerTo(id); a.Outcome != event.Done {
			t.Errorf("request %s, taken before the drain, ends as %+v", id, a)
		}
	}
	a, _ := w.answerTo(after)
	ref, ok := a.Effect.(event.Refuse)
	if !ok || a.Outcome != event.NotRun || len(ref.Entries) == 0 {
		t.Errorf("a request after the drain began is answered %+v, without other hosts to use", a)
	}
	if !w.Host("uvs-0").Drained {
		t.Error("the drain has not ended")
	}
}

// A request arrives with an envelope that was forged, or was made under an
// older profile, or has come round. Served, data would stand in a region that
// its rule forbids, or a request would go round until its deadline.
func TestEnvelopesAreCheckedAgain(t *testing.T) {
	for _, tc := range []struct {
		name    string
		profile ident.Profile
		env     event.Envelope
		want    codes.Code
	}{
		{"outside", "bound", event.Envelope{Crossings: 1}, codes.OutsideResidency},
		{"hops", "draft", event.Envelope{Crossings: 2}, codes.TooManyHops},
		{"round", "draft", event.Envelope{Crossings: 1, Seen: []ident.EntryID{"khovd-0"}}, codes.TooManyHops},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t.Fatalf)
			tc.env.Attempt = ident.Attempt{Entry: "uvs-0", Incarnation: 1, Number: 1}
			tc.env.To = 1
			w.Send("khovd-0", event.Request{
				ID: "forged", Account: "foundation", Profile: tc.profile, Deadline: w.Now.Add(time.Second),
				Envelope: value.Some(tc.env),
			})
			w.Run(2 * time.Second)
			a, _ := w.answerTo("forged")
			ref, _ := a.Effect.(event.Refuse)
			if diff := cmp.Diff(tc.want.ID, ref.Code); diff != "" || a.Outcome != event.NotRun {
				t.Errorf("outcome %s, code (-want +got):\n%s", a.Outcome, diff)
			}
		})
	}
}

// Two regions are both full, and each has heard a moment ago that the other is
// idle. If each passed its work to the other, every request would cross, and
// none would be served sooner.
func TestFullRegionsDoNotSwapWork(t *testing.T) {
	w := newWorld(t.Fatalf)
	for range 40 {
		for _, r := range regions {
			for n := range hostsPerCentre {
				for range 3 {
					w.send(hostID(r, n), "draft", "", "", "", 2*time.Second)
				}
			}
		}
		w.Run(100 * time.Millisecond)
	}
	w.settle()
	if n := w.saw["forward"]; n*20 > w.n {
		t.Errorf("%d of %d requests crossed between regions that were all full", n, w.n)
	}
}

// The link to the peer that runs a job breaks, the peer is asked what became
// of it, and meanwhile a second end of the same attempt comes in. If it were
// taken for news, one try would start for it and one for the peer's answer.
func TestSecondEndOfAnAttemptIsIgnored(t *testing.T) {
	w := newWorld(t.Fatalf)
	for _, tg := range w.Targets {
		tg.Dead = tg.Kind == event.Service && tg.Place.Region == "uvs"
	}
	for range 8 {
		sendTicketed(w, "uvs-0")
		w.Run(time.Second)
	}
	var forwards []event.Forward
	check := w.OnStep
	w.OnStep = func(h *drive.Host, ev event.Event, effs []event.Effect) {
		check(h, ev, effs)
		for _, eff := range effs {
			if f, ok := eff.(event.Forward); ok {
				forwards = append(forwards, f)
			}
		}
	}
	w.down.Add("uvs>erdenet")
	w.down.Add("uvs>khovd")
	sendTicketed(w, "uvs-0")
	w.Run(600 * time.Millisecond)
	if len(forwards) != 1 {
		t.Fatalf("the job was passed on %d times; the test shows nothing", len(forwards))
	}
	w.Post("uvs-0", 0, event.AttemptEnded{Attempt: forwards[0].Envelope.Attempt, Result: event.ResultNotRun})
	w.Run(2 * time.Second)
	if len(forwards) != 1 {
		t.Errorf("another try began while the peer was still being asked: %+v", forwards[1:])
	}
}
