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

// Guards against a violation of the guarantees that world checks, under partitions, freezes,
// restarts and configuration changes.
func TestGuaranteesUnderFailure(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt.Fatalf)
		w.seenEffects = seen
		w.EarlyBreak = func() (time.Duration, bool) { return 0, w.n%7 == 0 }
		w.LoseClaim = func() bool { return w.n%5 == 0 }
		steps := rapid.IntRange(5, 40).Draw(rt, "steps")
		for range steps {
			act := rapid.SampledFrom(acts).Draw(rt, "act")
			act.do(rt, w)
			w.Run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
		}
		w.settle()
	})
	requireSeen(t, seen, "dispatch", "forward", "refuse", "finish", "replay", "claimKey")
}

// requireSeen fails a test whose random sequences never caused one of the named effects: the test
// would show nothing about that effect.
func requireSeen(t *testing.T, seen map[string]int, names ...string) {
	t.Helper()
	t.Log(seen)
	for _, name := range names {
		if seen[name] == 0 {
			t.Errorf("%s never occurred; the sequences show nothing about it", name)
		}
	}
}

// Guards against a forwarded job that runs twice, or is reported as not run after it has run: the
// link to the peer fails while the job runs there.
func TestOnceAcrossRegions(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt.Fatalf)
		w.seenEffects = seen
		early := rapid.IntRange(2, 9).Draw(rt, "early")
		w.EarlyBreak = func() (time.Duration, bool) {
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
			rapid.SampledFrom(forwardActs).Draw(rt, "act").do(rt, w)
			w.Run(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
		}
		w.settle()
	})
	requireSeen(t, seen, "forward", "askBar", "bar barred", "bar ended", "bar running")
}

// sendTicketed requests a ticket from a host and sends a job with it.
func sendTicketed(w *world, host ident.EntryID) {
	had := len(w.tickets)
	w.requestTicket(host)
	w.Run(time.Millisecond)
	if len(w.tickets) > had {
		tk := w.tickets[had].ticket
		w.send(host, "publish", tk, tk, "", 5*time.Second)
	}
}

var forwardActs = []act{
	{"job", func(rt *rapid.T, w *world) {
		sendTicketed(w, hostID("uvs", rapid.IntRange(0, 1).Draw(rt, "host")))
	}},
	{"jobs", func(_ *rapid.T, w *world) {
		for range 6 {
			sendTicketed(w, "uvs-0")
		}
	}},
	{"cut", func(rt *rapid.T, w *world) { w.cutLinks.Add(drawLink(rt)) }},
	{"heal", func(_ *rapid.T, w *world) { clear(w.cutLinks) }},
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

// act is an action of a caller or operator, or a failure.
type act struct {
	name string
	do   func(rt *rapid.T, w *world)
}

// String returns the name that is printed for a failing sequence.
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
	{"ticket", func(rt *rapid.T, w *world) { w.requestTicket(anyHost(rt)) }},
	{"redeem", redeem},
	{"key", func(rt *rapid.T, w *world) {
		job := fmt.Sprint("key-", rapid.IntRange(0, 4).Draw(rt, "key"))
		w.send(anyHost(rt), "publish", job, "", job, 5*time.Second)
	}},
	{"cut", func(rt *rapid.T, w *world) { w.cutLinks.Add(drawLink(rt)) }},
	{"heal", func(rt *rapid.T, w *world) { delete(w.cutLinks, drawLink(rt)) }},
	{"platformCut", func(rt *rapid.T, w *world) { w.cutFromPlatform.Add(anyHost(rt)) }},
	{"platformHeal", func(_ *rapid.T, w *world) { clear(w.cutFromPlatform) }},
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

func drawLink(rt *rapid.T) string {
	from := rapid.SampledFrom(regions).Draw(rt, "from")
	to := rapid.SampledFrom(regions).Draw(rt, "to")
	return string(from) + ">" + string(to)
}

// Guards against a region that refuses its own callers when it is cut off from the others and the
// platform.
func TestCutOffRegionKeepsServing(t *testing.T) {
	w := newWorld(t.Fatalf)
	for _, r := range regions[1:] {
		w.cutLinks.Add("uvs>" + string(r))
		w.cutLinks.Add(string(r) + ">uvs")
	}
	for n := range hostsPerCentre {
		w.cutFromPlatform.Add(hostID("uvs", n))
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

// Guards against a data centre missing a configuration change while it is cut off from the
// platform.
func TestChangeReachesACentreWithoutPlatform(t *testing.T) {
	w := newWorld(t.Fatalf)
	for n := range hostsPerCentre {
		w.cutFromPlatform.Add(hostID("uvs", n))
	}
	w.Run(5 * time.Second)
	rev := w.Change(clientItem(rules.Client{Name: "other", KeyDigest: rules.Digest("o")}))
	w.Run(4 * time.Second)
	for _, h := range w.Hosts {
		if h.Revision != rev {
			t.Errorf("host %s is at revision %d 4 s after revision %d was accepted", h.ID, h.Revision, rev)
		}
	}
}

// Guards against a draining target getting new work while the platform's list still shows it as
// active.
func TestDrainingTargetGetsNothingNew(t *testing.T) {
	w := newWorld(t.Fatalf)
	tg := w.Target("uvs-e0")
	for range 20 {
		w.send("uvs-0", "bound", "", "", "", 5*time.Second)
		w.Run(50 * time.Millisecond)
	}
	tg.Draining = true
	drainedAt := w.Now
	for range 100 {
		w.send(hostID("uvs", w.n%2), "bound", "", "", "", 5*time.Second)
		w.Run(50 * time.Millisecond)
	}
	if late := tg.LastArrival.Sub(drainedAt); late > 2*time.Second {
		t.Errorf("the last new request arrived %v after the target began to drain", late)
	}
	if tg.LastArrival == 0 {
		t.Error("the target had no work before it drained; the test shows nothing")
	}
	w.settle()
}

// Guards against a drain that cuts requests in flight or accepts new ones.
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
			t.Errorf("request %s, accepted before the drain, ends as %+v", id, a)
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

// Guards against a forged or outdated envelope that moves data out of its region or makes a
// request circulate.
func TestEnvelopesAreCheckedAgain(t *testing.T) {
	for _, tc := range []struct {
		name    string
		profile ident.Profile
		env     event.Envelope
		want    codes.Code
	}{
		{"outside", "bound", event.Envelope{Crossings: 1}, codes.OutsideResidency},
		{"hops", "draft", event.Envelope{Crossings: 2}, codes.TooManyHops},
		{"round", "draft", event.Envelope{Crossings: 1, Visited: []ident.EntryID{"khovd-0"}}, codes.TooManyHops},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t.Fatalf)
			tc.env.Attempt = ident.Attempt{Entry: "uvs-0", Incarnation: 1, Number: 1}
			tc.env.ToIncarnation = 1
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

// Guards against two full regions that forward their work to each other.
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
	if n := w.seenEffects["forward"]; n*20 > w.n {
		t.Errorf("%d of %d requests crossed between regions that were all full", n, w.n)
	}
}

// Guards against the duplicate end of an attempt starting a second attempt while the peer is still
// being asked for the outcome of the first.
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
	w.cutLinks.Add("uvs>erdenet")
	w.cutLinks.Add("uvs>khovd")
	sendTicketed(w, "uvs-0")
	w.Run(600 * time.Millisecond)
	if len(forwards) != 1 {
		t.Fatalf("the job was passed on %d times; the test shows nothing", len(forwards))
	}
	w.Post("uvs-0", 0, event.AttemptEnded{Attempt: forwards[0].Envelope.Attempt, Result: event.ResultNotRun})
	w.Run(2 * time.Second)
	if len(forwards) != 1 {
		t.Errorf("another attempt began while the peer was still being asked: %+v", forwards[1:])
	}
}
