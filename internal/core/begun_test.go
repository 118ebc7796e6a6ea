package core_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/begun"
	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// streamPlay is a deployment with targets of several builds, and callers that take their streams up
// again once at another host.
type streamPlay struct {
	*routePlay
	// first maps each request to the one that began its stream, and at to its host.
	first map[ident.RequestID]ident.RequestID
	at    map[ident.RequestID]ident.EntryID
	// requests maps the attempts to their requests.
	requests map[ident.Attempt]ident.RequestID
	// builds are the builds from which the callers have events, by first request.
	builds map[ident.RequestID]value.Set[ident.Build]
	// begun, taken, kept and notContinued count the new streams, those of them that began, those that
	// were taken up, those of these that went on, and those that were refused with VB1034.
	asked, began, taken, kept, notContinued int
	ended                                   map[ident.RequestID]bool
	// messages counts what hosts send each other about begun streams.
	messages int
	codes    map[codes.ID]int
	// restartedAt is when each host last restarted.
	restartedAt map[ident.EntryID]ident.Time
}

// silenceTimeout is the time after which a silent link fails, as in package platform.
const silenceTimeout = 3 * time.Second

// restartPause is the time after its restart for which callers that come back avoid a host.
const restartPause = 3 * time.Second

func newStreamPlay(seed uint64, regions, hostsEach, targetsEach int, work time.Duration, buildOf func(n int) ident.Build) *streamPlay {
	p := &streamPlay{
		routePlay: newRoutePlay(seed, regions, hostsEach, targetsEach, 8, work),
		first:     make(map[ident.RequestID]ident.RequestID), at: make(map[ident.RequestID]ident.EntryID),
		requests: make(map[ident.Attempt]ident.RequestID), builds: make(map[ident.RequestID]value.Set[ident.Build]),
		ended: make(map[ident.RequestID]bool), codes: make(map[codes.ID]int), restartedAt: make(map[ident.EntryID]ident.Time),
	}
	p.FirstEvents, p.ListReads = true, true
	p.OnStep = p.watch
	p.StartFeeds()
	p.WatchLinks(silenceTimeout)
	p.OnMessage = func(_, _ event.Host, eff event.Effect) {
		switch eff.(type) {
		case event.SendBegun, event.AskBegun, event.AnswerBegun:
			p.messages++
		}
	}
	for i, t := range p.Targets {
		p.SetBuild(t.ID, buildOf(i%targetsEach))
	}
	p.Run(5 * time.Second)
	return p
}

// begin sends a new stream, takeUp the rest of one.
func (p *streamPlay) begin(to ident.EntryID) { p.send(to, "") }

func (p *streamPlay) takeUp(to ident.EntryID, first ident.RequestID) { p.send(to, first) }

// inTouch returns a host that has not restarted recently, if there is one.
func (p *streamPlay) inTouch() ident.EntryID {
	for range 100 {
		if h := p.anyHost(); p.Now.Sub(p.restartedAt[h]) > restartPause || len(p.hosts) == 1 {
			return h
		}
	}
	return p.anyHost()
}

func (p *streamPlay) send(to ident.EntryID, first ident.RequestID) {
	p.n++
	req := event.Request{
		ID: ident.RequestID(fmt.Sprint("q", p.n)), Account: "callers", Profile: "draft", Content: firstContent + ident.Content(p.n),
		Stream: true, Deadline: p.Now.Add(8 * time.Second), TakenUp: first != "",
	}
	if first == "" {
		first = req.ID
		p.asked++
	} else {
		p.taken++
	}
	req.Origin = begun.StreamOf(req.Account, first)
	p.first[req.ID], p.at[req.ID] = first, to
	p.RegisterRequest(req)
	p.Send(to, req)
}

// watch records what callers get.
func (p *streamPlay) watch(h *drive.Host, ev event.Event, effs []event.Effect) {
	if e, ok := ev.(event.FirstToken); ok {
		p.firstEvent(p.requests[e.Attempt], e.Build)
	}
	for _, eff := range effs {
		switch e := eff.(type) {
		case event.Dispatch:
			p.requests[e.Attempt] = e.Request
		case event.Forward:
			p.requests[e.Envelope.Attempt] = e.Request
		case event.Finish:
			p.ended[e.Request] = true
		case event.Refuse:
			p.ended[e.Request] = true
			if _, own := p.first[e.Request]; own {
				p.codes[e.Code]++
			}
			if _, own := p.first[e.Request]; own && e.Code == codes.StreamNotContinued.ID {
				p.notContinued++
			}
			p.schedule(h.ID, e.Request)
		}
	}
}

func (p *streamPlay) firstEvent(id ident.RequestID, build ident.Build) {
	first, own := p.first[id]
	if !own || p.ended[id] {
		return
	}
	if p.builds[first] == nil {
		p.builds[first] = value.SetOf[ident.Build]()
	}
	p.builds[first].Add(build)
	switch {
	case first == id && p.at[id] != "":
		p.began++
	case first != id && p.at[id] != "":
		p.kept++
	}
	p.at[id] = ""
}

// schedule lets the caller of a stream that broke after its first event come back.
func (p *streamPlay) schedule(_ ident.EntryID, id ident.RequestID) {
	if first := p.first[id]; first == id && p.builds[first] != nil {
		p.takeUp(p.inTouch(), first)
	}
}

// restart restarts a host; the callers of its streams come back elsewhere.
func (p *streamPlay) restart(host ident.EntryID, running map[ident.RequestID]ident.EntryID) {
	var broken []ident.RequestID
	for id, h := range running {
		if h == host && !p.ended[id] && p.builds[id] != nil {
			broken = append(broken, id)
			p.ended[id] = true
		}
	}
	p.Restart(host)
	p.restartedAt[host] = p.Now
	for _, id := range value.SetOf(broken...).Sorted() {
		p.takeUp(p.inTouch(), id)
	}
}

func (p *streamPlay) checkBuilds(t *testing.T) {
	t.Helper()
	for first, builds := range p.builds {
		if len(builds) > 1 {
			t.Errorf("stream %s has events of the builds %v", first, builds.Sorted())
		}
	}
}

// Guards against streams of two builds, and against refusing most of those that could go on, while
// targets end and hosts restart in a deployment of any size.
func TestStreamsKeepTheirBuildInAllRegions(t *testing.T) {
	for _, size := range []struct{ regions, hosts, targets int }{{1, 1, 6}, {1, 2, 6}, {3, 2, 6}, {3, 30, 30}, {12, 8, 10}} {
		t.Run(fmt.Sprintf("%d regions of %d hosts", size.regions, size.hosts), func(t *testing.T) {
			for seed := range uint64(3) {
				p := newStreamPlay(seed, size.regions, size.hosts, size.targets, time.Second, func(n int) ident.Build { return []ident.Build{"v1", "v2"}[n%2] })
				running := make(map[ident.RequestID]ident.EntryID)
				p.messages = 0
				const seconds = 6
				rate := size.regions * size.targets * 3
				for n := range rate * seconds {
					host := p.inTouch()
					p.begin(host)
					running[ident.RequestID(fmt.Sprint("q", p.n))] = host
					p.Run(time.Second / time.Duration(rate))
					if n%rate == rate/3 {
						p.EndTarget(p.Targets[p.rnd.IntN(len(p.Targets))].ID)
					}
					if n%rate == rate/2 {
						p.restart(p.anyHost(), running)
					}
				}
				p.Run(4 * time.Second)
				p.checkBuilds(t)
				newShare := float64(p.began) / float64(p.asked)
				t.Logf("seed %d: %d of %d new streams began, %d of %d went on, %d not continued; %.1f messages a second and host %v", seed, p.began, p.asked, p.kept, p.taken, p.notContinued, float64(p.messages)/seconds/float64(len(p.hosts)), p.codes)
				if p.taken >= 12 && size.hosts > 1 && float64(p.kept)/float64(p.taken) < newShare/2 {
					t.Errorf("seed %d: %d of %d streams went on, %.2f of the new ones began", seed, p.kept, p.taken, newShare)
				}
			}
		})
	}
}

// Guards against callers that come back for the rest of their streams and find all targets of their build
// taken by new streams, which could go to other builds as well.
func TestStreamsTakenUpFindCapacityUnderLoad(t *testing.T) {
	const regions, hosts, targets, perSecond = 3, 4, 10, 8
	for _, load := range []float64{0.7, 1, 1.5} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			for seed := range uint64(3) {
				p := newStreamPlay(seed, regions, hosts, targets, time.Second, func(n int) ident.Build {
					if n < 2 {
						return "v1"
					}
					return "v2"
				})
				running := make(map[ident.RequestID]ident.EntryID)
				rate := int(load * regions * targets * perSecond)
				for n := range rate * 6 {
					host := p.inTouch()
					p.begin(host)
					running[ident.RequestID(fmt.Sprint("q", p.n))] = host
					p.Run(time.Second / time.Duration(rate))
					if n%rate == rate/2 {
						p.restart(p.inTouch(), running)
						p.EndTarget(ident.TargetID(fmt.Sprintf("r%d-t0", n/rate%regions)))
					}
				}
				p.Run(4 * time.Second)
				p.checkBuilds(t)
				newShare := float64(p.began) / float64(p.asked)
				t.Logf("seed %d: %d of %d new streams began, %d of %d went on, %v", seed, p.began, p.asked, p.kept, p.taken, p.codes)
				if p.taken < 12 || float64(p.kept)/float64(p.taken) < newShare/2 {
					t.Errorf("seed %d: %d of %d streams went on, %.2f of the new ones began", seed, p.kept, p.taken, newShare)
				}
			}
		})
	}
}

// Guards against a stream that goes on at another build because all hosts that knew its build have
// restarted at once.
func TestStreamsOfRestartedHostsKeepTheirBuild(t *testing.T) {
	for _, part := range []float64{0.5, 1} {
		t.Run(fmt.Sprint(part, " of the hosts"), func(t *testing.T) {
			for seed := range uint64(3) {
				p := newStreamPlay(seed, 3, 4, 10, 2*time.Second, func(n int) ident.Build { return []ident.Build{"v1", "v2"}[n%2] })
				running := make(map[ident.RequestID]ident.EntryID)
				for range 100 {
					host := p.anyHost()
					p.begin(host)
					running[ident.RequestID(fmt.Sprint("q", p.n))] = host
					p.Run(10 * time.Millisecond)
				}
				var broken []ident.RequestID
				for _, host := range p.hosts[:int(part*float64(len(p.hosts)))] {
					for id, h := range running {
						if h == host && !p.ended[id] && p.builds[id] != nil {
							broken = append(broken, id)
							p.ended[id] = true
						}
					}
				}
				for _, host := range p.hosts[:int(part*float64(len(p.hosts)))] {
					p.Restart(host)
				}
				p.Run(800 * time.Millisecond)
				for _, id := range value.SetOf(broken...).Sorted() {
					p.takeUp(p.anyHost(), id)
				}
				p.Run(4 * time.Second)
				p.checkBuilds(t)
				t.Logf("seed %d: %d of %d went on, %v", seed, p.kept, p.taken, p.codes)
				if part < 1 && float64(p.kept) < 0.5*float64(p.taken) {
					t.Errorf("seed %d: %d of %d streams went on", seed, p.kept, p.taken)
				}
			}
		})
	}
}

// newBuildHost returns a host before two targets of each build, one of whose routes has two services.
func newBuildHost(t *testing.T, builds ...ident.Build) *testHost {
	t.Helper()
	h := newTestHost(t, 0, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.listBuilds(2, builds...)
	// The host has discovered other hosts, of which there are none.
	h.now = h.now.Add(5 * time.Second)
	h.red.Step(h.now, event.Tick{})
	return h
}

// listBuilds lists two targets of each build.
func (h *testHost) listBuilds(version uint64, builds ...ident.Build) {
	var ts []event.Target
	for n, build := range builds {
		for i := range 2 {
			target := boardTarget(ident.TargetID(fmt.Sprintf("t%d-%d", n, i)))
			target.Build = build
			ts = append(ts, target)
		}
	}
	h.step(event.HostsRead{Version: version, Complete: true, Targets: ts})
}

// askStream sends the host a request for a stream, or for the rest of one that another request began.
func (h *testHost) askStream(id, first ident.RequestID) []event.Effect {
	req := event.Request{ID: id, Account: "callers", Profile: "draft", Stream: true, Deadline: h.now.Add(8 * time.Second), TakenUp: first != ""}
	req.Origin = begun.StreamOf("callers", cmp.Or(first, id))
	return h.step(event.RequestArrived{Request: req})
}

func wantSent(t *testing.T, what string, effs []event.Effect, build ident.Build) event.Dispatch {
	t.Helper()
	d, ok := pick[event.Dispatch](effs)
	if !ok || build != "" && d.Target.Build != build {
		t.Fatalf("%s: sent %v to build %q, want build %q: %v", what, ok, d.Target.Build, build, effs)
	}
	return d
}

func wantNotContinued(t *testing.T, what string, effs []event.Effect) {
	t.Helper()
	if ref, _ := pick[event.Refuse](effs); ref.Code != codes.StreamNotContinued.ID || ref.Outcome != event.NotRun || ref.RetryAfter != 0 {
		t.Errorf("%s got %+v", what, ref)
	}
}

// Guards against a stream that a configuration moves to another service between two requests of its caller.
func TestStreamIsNotContinuedAtAnotherService(t *testing.T) {
	h := newBuildHost(t, "v1")
	d := wantSent(t, "a new stream", h.askStream("a", ""), "v1")
	h.step(event.FirstToken{Attempt: d.Attempt})
	moved := routeProfile("draft", rules.Streaming, 2)
	moved.Route.Shares = []rules.Share{{Service: "desk", Weight: 1}, {Service: "board", Weight: 0}}
	h.step(event.SnapshotReceived{Book: rules.FromStatic(2, rules.StaticConfig{Profiles: []rules.Profile{moved}, Clients: []rules.Client{{Name: "callers"}}})})
	wantNotContinued(t, "the rest", h.askStream("a.r", "a"))
}

// Guards against binding a stream to the build of another account's stream, of a stream that shares its
// name, or of one that has ended long ago.
func TestStreamIsBoundToItsOwnBuildOnly(t *testing.T) {
	h := newBuildHost(t, "v1", "v2")
	d := wantSent(t, "a new stream", h.askStream("a", ""), "")
	h.step(event.FirstToken{Attempt: d.Attempt})
	for n := range 10 {
		wantSent(t, "the rest", h.askStream(ident.RequestID(fmt.Sprint("a.", n)), "a"), d.Target.Build)
	}
	wantNotContinued(t, "an unknown stream", h.askStream("b.r", "b"))
	other := event.Request{ID: "c", Account: "callers", Profile: "draft", Stream: true, Deadline: h.now.Add(time.Second), TakenUp: true, Origin: begun.StreamOf("another", "a")}
	wantNotContinued(t, "a stream of another account", h.step(event.RequestArrived{Request: other}))
	twin := event.BegunStream{Stream: begun.StreamOf("callers", "a"), ServiceBuild: event.ServiceBuild{Service: "board", Build: "v3"}, TTL: time.Minute}
	h.step(event.BegunReceived{From: "w2", Streams: []event.BegunStream{twin}})
	wantNotContinued(t, "a stream that shares its name", h.askStream("a.t", "a"))
}

// Guards against continuing streams of a build that has gone at the one that is left, and against refusing
// them for ever once no stream of the other build can be running.
func TestStreamsOfABuildThatHasGone(t *testing.T) {
	h := newBuildHost(t, "v1", "v2")
	d := wantSent(t, "a new stream", h.askStream("a", ""), "")
	for d.Target.Build != "v1" {
		h.n++
		d = wantSent(t, "a new stream", h.askStream(ident.RequestID(fmt.Sprint("a", h.n)), ""), "")
	}
	h.step(event.FirstToken{Attempt: d.Attempt})
	var ts []event.Target
	for i := range 2 {
		target := boardTarget(ident.TargetID(fmt.Sprint("t1-", i)))
		target.Build = "v2"
		ts = append(ts, target)
	}
	h.step(event.HostsRead{Version: 3, Complete: true, Targets: ts})
	wantNotContinued(t, "a stream of the build that has gone", h.askStream("a.r", d.Request))
	wantNotContinued(t, "an unknown stream", h.askStream("b.r", "b"))
	for range 30 {
		h.now = h.now.Add(time.Second)
		h.red.Step(h.now, event.Tick{})
	}
	wantSent(t, "an unknown stream, later", h.askStream("c.r", "c"), "v2")
}

// Guards against a request that waits for keepers that never answer.
func TestLookupEnds(t *testing.T) {
	h := newBuildHost(t, "v1", "v2")
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	h.step(event.PeerUp{Host: event.Host{ID: "w2", Incarnation: 1, Place: place}})
	h.step(event.DigestReceived{Digest: event.Digest{Host: event.Host{ID: "w2", Incarnation: 1, Place: place}, Seq: 1}})
	effs := h.askStream("a.r", "a")
	if ask, ok := pick[event.AskBegun](effs); !ok || ask.To[0].ID != "w2" {
		t.Fatalf("nobody is asked: %v", effs)
	}
	h.now = h.now.Add(time.Second)
	wantNotContinued(t, "an unknown stream", h.red.Step(h.now, event.Tick{}))
	h.askStream("b.r", "b")
	known := event.BegunStream{Stream: begun.StreamOf("callers", "b"), ServiceBuild: event.ServiceBuild{Service: "board", Build: "v2"}, TTL: time.Second}
	wantSent(t, "a known stream", h.step(event.BegunAnswered{From: "w2", Stream: known.Stream, Begun: []event.BegunStream{known}}), "v2")
}

// Guards against a lookup for a host of another region, which asks peers alone, that answers a request here
// for which other regions have to be asked.
func TestLookupsOfOneStreamAreJoined(t *testing.T) {
	h := newBuildHost(t, "v1", "v2")
	near := event.Host{ID: "w2", Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}}
	far := event.Host{ID: "e1", Incarnation: 1, Place: event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}}
	h.step(event.PeerUp{Host: near})
	h.step(event.DigestReceived{Digest: event.Digest{Host: near, Seq: 1}})
	h.step(event.SummaryReceived{Summary: event.Summary{From: far.ID, Place: far.Place, Incarnation: 1, Seq: 1, Hosts: []event.Host{far}}})
	stream := begun.StreamOf("callers", "a")
	if ask, _ := pick[event.AskBegun](h.step(event.BegunAsked{From: "e1", Stream: stream, Relay: true})); len(ask.To) != 1 || ask.To[0].ID != near.ID || ask.Relay {
		t.Fatalf("for another region, %+v is asked", ask)
	}
	if ask, _ := pick[event.AskBegun](h.askStream("a.r", "a")); len(ask.To) != 1 || ask.To[0].ID != far.ID || !ask.Relay {
		t.Fatalf("for a request here, %+v is asked", ask)
	}
	h.step(event.PeerDown{Entry: near.ID})
	known := event.BegunStream{Stream: stream, ServiceBuild: event.ServiceBuild{Service: "board", Build: "v2"}, TTL: time.Second}
	effs := h.step(event.BegunAnswered{From: far.ID, Stream: stream, Begun: []event.BegunStream{known}})
	wantSent(t, "a known stream", effs, "v2")
	if ans, _ := pick[event.AnswerBegun](effs); ans.To != "e1" || len(ans.Begun) != 1 {
		t.Errorf("the other region is answered %+v", ans)
	}
}

// Guards against a region that continues a forwarded stream at another build.
func TestForwardedStreamKeepsItsBuild(t *testing.T) {
	h := newBuildHost(t, "v1", "v2")
	forwarded := func(n uint64, build ident.Build) event.RequestArrived {
		return event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("f", n)), Account: "callers", Profile: "draft", Service: "board", Stream: true, AnswerBegan: true, Build: build,
			Deadline: h.now.Add(5 * time.Second), Envelope: value.Some(event.Envelope{Attempt: ident.Attempt{Entry: "e1", Incarnation: 1, Number: n}, ToIncarnation: 1, From: "e1", Crossings: 1}),
		}}
	}
	for n := range uint64(10) {
		wantSent(t, "a forwarded rest", h.step(forwarded(n+1, "v2")), "v2")
	}
	wantNotContinued(t, "a forwarded rest of a build that is not here", h.step(forwarded(20, "v3")))
}
