package core_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// TestMain fixes the seed, so that the result of a run is reproducible. Use -rapid.seed and
// -rapid.checks for longer runs with other seeds.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

// regions are the regions of the tests, with one data centre each.
var regions = []ident.Region{"uvs", "erdenet", "khovd"}

const hostsPerCentre = 2

// world is a small deployment under a driver that checks the guarantees after every step.
type world struct {
	*drive.Driver
	fatal func(format string, args ...any)
	// cutLinks are the pairs of regions whose link is cut in one direction, cutFromPlatform the
	// hosts that are cut off from the platform.
	cutLinks        value.Set[string]
	cutFromPlatform value.Set[ident.EntryID]
	// jobs maps a request to the ticket or key that it was sent with.
	jobs    map[ident.RequestID]string
	sent    map[ident.RequestID]event.Request
	sentTo  map[ident.RequestID]ident.EntryID
	tickets []issuedTicket
	// revisions is the highest revision that each incarnation of a host has put into effect.
	revisions map[string]ident.Revision
	n         int
	// seenEffects counts the effects by name, to verify that a test exercises the intended paths.
	seenEffects map[string]int
}

type issuedTicket struct {
	host   ident.EntryID
	ticket string
}

func placeOf(r ident.Region) event.Place {
	return event.Place{DataCentre: ident.DataCentre(r), Region: r}
}

func hostID(r ident.Region, n int) ident.EntryID { return ident.EntryID(fmt.Sprintf("%s-%d", r, n)) }

func newWorld(fatal func(format string, args ...any)) *world { return newWorldOf(fatal, nil) }

// newWorldOf is newWorld with the reducers that the given function makes, nil for the default.
func newWorldOf(fatal func(format string, args ...any), reducer func(self event.Host) drive.Reducer) *world {
	w := &world{
		Driver: drive.New(), fatal: fatal, cutLinks: value.SetOf[string](), cutFromPlatform: value.SetOf[ident.EntryID](),
		jobs: make(map[ident.RequestID]string), sent: make(map[ident.RequestID]event.Request),
		sentTo: make(map[ident.RequestID]ident.EntryID), revisions: make(map[string]ident.Revision),
		seenEffects: make(map[string]int),
	}
	if reducer != nil {
		w.NewReducer = reducer
	}
	w.Delay = func(from, to event.Host) (time.Duration, bool) {
		cut := w.cutLinks.Has(string(from.Place.Region) + ">" + string(to.Place.Region))
		if from.Place.Region == to.Place.Region {
			return time.Millisecond, cut
		}
		return 80 * time.Millisecond, cut
	}
	w.PlatformDown = func(h event.Host) bool { return w.cutFromPlatform.Has(h.ID) }
	w.OnStep = w.check
	for _, r := range regions {
		for n := range hostsPerCentre {
			w.AddHost(event.Host{ID: hostID(r, n), Incarnation: 1, Place: placeOf(r)})
		}
		for n := range 2 {
			w.AddTarget(
				event.Target{ID: ident.TargetID(fmt.Sprintf("%s-e%d", r, n)), Incarnation: 1, Kind: event.Engine, Place: placeOf(r)},
				drive.TargetConfig{Slots: 4, Work: 100 * time.Millisecond, Serves: []rules.Serve{{Model: "draft"}}},
			)
		}
		for n := range 2 {
			w.AddTarget(
				event.Target{ID: ident.TargetID(fmt.Sprintf("%s-p%d", r, n)), Incarnation: 1, Kind: event.Service, Service: "publish", Place: placeOf(r)},
				drive.TargetConfig{Slots: 4, Work: 50 * time.Millisecond},
			)
		}
	}
	w.Connect()
	w.Change(
		profileItem(rules.Profile{Name: "draft", Models: []rules.Serve{{Model: "draft"}}, MaxCrossings: 1, Weights: rules.Weights{Tail: 1, Crossing: 0.1}}),
		profileItem(rules.Profile{Name: "bound", Models: []rules.Serve{{Model: "draft"}}, Regions: []ident.Region{"uvs"}, MaxCrossings: 1}),
		profileItem(rules.Profile{Name: "publish", Service: "publish", AtMostOnce: true, MaxCrossings: 1}),
		clientItem(rules.Client{Name: "foundation", KeyDigest: rules.Digest("k")}),
		clientItem(rules.Client{Name: "clydeside", KeyDigest: rules.Digest("c"), RequestsPerMinute: 60000}),
		clientItem(rules.Client{Name: "third", KeyDigest: rules.Digest("t"), TokensPerMinute: 6000000}),
	)
	w.Run(3 * time.Second)
	return w
}

func itemOf(kind rules.Kind, name string, doc any) rules.Item {
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return rules.Item{Kind: kind, Name: name, Doc: b}
}

func profileItem(p rules.Profile) rules.Item { return itemOf(rules.KindProfile, string(p.Name), p) }

func clientItem(c rules.Client) rules.Item { return itemOf(rules.KindAccount, string(c.Name), c) }

// send sends a request of a profile to a host. The job is the ticket or key of the request.
func (w *world) send(to ident.EntryID, profile ident.Profile, job string, ticket, key string, within time.Duration) ident.RequestID {
	w.n++
	req := event.Request{
		ID: ident.RequestID(fmt.Sprint("r", w.n)), Account: "foundation", Profile: profile,
		Prompt: 100, MaxTokens: 10, Deadline: w.Now.Add(within), Ticket: ticket, Key: key, Fingerprint: job,
	}
	if job == "" {
		req.Account = []ident.Account{"foundation", "clydeside", "third"}[w.n%3]
	}
	w.sent[req.ID] = req
	w.sentTo[req.ID] = to
	w.jobs[req.ID] = job
	w.RegisterRequest(req)
	w.Send(to, req)
	return req.ID
}

// requestTicket requests a ticket from a host; check collects it.
func (w *world) requestTicket(host ident.EntryID) {
	w.n++
	w.Post(host, 0, event.TicketAsked{Ask: event.Ask(w.n), Account: "foundation", Profile: "publish", Secret: fmt.Sprintf("%032x", w.n)})
}

// check verifies the guarantees for the effects of one step.
func (w *world) check(h *drive.Host, ev event.Event, effs []event.Effect) {
	for _, eff := range effs {
		w.seenEffects[event.TypeName(eff)]++
		switch e := eff.(type) {
		case event.AnswerBar:
			w.seenEffects["bar "+string(e.Answer)]++
		case event.Dispatch:
			w.checkResidency(e.Request, e.Target.Place.Region)
		case event.Forward:
			w.checkResidency(e.Request, e.To.Place.Region)
			w.checkCrossings(e)
		case event.InForceNow:
			w.checkRevision(h, e)
		case event.TicketIssued:
			if e.Code == "" {
				w.tickets = append(w.tickets, issuedTicket{h.ID, e.Ticket})
			}
		}
	}
	_ = ev
}

// requestOf returns the request with an id, or with the id that drive gives a forwarded request:
// the caller's id, a tilde and the attempt.
func (w *world) requestOf(id ident.RequestID) event.Request {
	for i := range id {
		if id[i] == '~' {
			return w.sent[id[:i]]
		}
	}
	return w.sent[id]
}

func (w *world) checkResidency(id ident.RequestID, r ident.Region) {
	if w.requestOf(id).Profile == "bound" && r != "uvs" {
		w.fatal("request %s is bound to uvs and goes to %s", id, r)
	}
}

func (w *world) checkCrossings(e event.Forward) {
	if e.Envelope.Crossings > 1 {
		w.fatal("request %s crosses between regions %d times", e.Request, e.Envelope.Crossings)
	}
}

func (w *world) checkRevision(h *drive.Host, e event.InForceNow) {
	key := fmt.Sprint(h.ID, "/", h.Incarnation)
	if e.Book.Rev() <= w.revisions[key] {
		w.fatal("host %s goes from revision %d to %d", key, w.revisions[key], e.Book.Rev())
	}
	w.revisions[key] = e.Book.Rev()
}

// runs returns how often a request ran at all targets together.
func (w *world) runs(id ident.RequestID) int {
	n := 0
	for _, t := range w.Targets {
		n += t.Runs[id]
	}
	return n
}

// settle lets all requests end and verifies their answers against the runs at the targets.
func (w *world) settle() {
	w.Run(40 * time.Second)
	answers := make(map[ident.RequestID]int)
	for _, a := range w.Answers {
		answers[a.Request]++
		if a.Outcome == event.NotRun && w.runs(a.Request) > 0 {
			w.fatal("request %s was reported as not run and ran %d times: %+v", a.Request, w.runs(a.Request), a.Effect)
		}
	}
	byJob := make(map[string]int)
	for id, job := range w.jobs {
		if answers[id] > 1 {
			w.fatal("request %s got %d final answers: %+v", id, answers[id], w.answersTo(id))
		}
		if job != "" {
			byJob[job] += w.runs(id)
		}
	}
	for job, n := range byJob {
		if n > 1 {
			w.fatal("job %s ran %d times", job, n)
		}
	}
}

func (w *world) answersTo(id ident.RequestID) []drive.Answer {
	return slices.DeleteFunc(slices.Clone(w.Answers), func(a drive.Answer) bool { return a.Request != id })
}

// answerTo returns the final answer to a request.
func (w *world) answerTo(id ident.RequestID) (drive.Answer, bool) {
	for _, a := range w.Answers {
		if a.Request == id {
			return a, true
		}
	}
	return drive.Answer{}, false
}

// anyHost draws one of the hosts.
func anyHost(rt *rapid.T) ident.EntryID {
	return hostID(rapid.SampledFrom(regions).Draw(rt, "region"), rapid.IntRange(0, hostsPerCentre-1).Draw(rt, "host"))
}
