package proofs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/dev/load"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
)

// highLimits allow thousands of concurrent streams.
var highLimits = config.Limits{
	MaxBufferedBytes: 256 << 20, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, MaxConnections: 8000,
	MaxRequests: 4000, HeaderMs: 20_000, BodyMs: 20_000,
}

// answerFleet is the fleet for the tests of complete answers: two data centres with engines, and one
// that forwards all its streams. The link to one engine can be cut.
type answerFleet struct {
	*fleet
	engineRelay *relay
}

func startAnswerFleet(t *testing.T) *answerFleet {
	t.Helper()
	args := []string{"-slots", "1500", "-tokenTime", "20ms", "-prefillRate", "10000000"}
	near, far, none := siteOf("uvs", 2, 2, 0), siteOf("khovd", 1, 1, 0), siteOf("erdenet", 1, 0, 0)
	near.engineArgs, far.engineArgs = args, args
	near.limits, far.limits, none.limits = highLimits, highLimits, highLimits
	f := startFleet(t, near, far, none)
	f.addEngine("uvs-e3", near.place, args...)
	last := &f.targets[len(f.targets)-1]
	r := startRelay(t, targetPort, last.URL[len("http://"):])
	direct := *last
	last.URL = "http://" + r.addr()
	putHosts(t, f.platform, store.Hosts{Targets: f.targets})
	*last = direct
	f.configure()
	eventually(t, "all engines are known", func() bool { return len(f.status(f.host("uvs-1")).Targets) >= 3 })
	return &answerFleet{fleet: f, engineRelay: r}
}

func (f *answerFleet) urls(ids ...ident.EntryID) []string {
	var us []string
	for _, id := range ids {
		us = append(us, f.host(id).callers())
	}
	return us
}

// setEngineFaults sets the faults of every engine.
func (f *answerFleet) setEngineFaults(x engine.Faults) {
	f.t.Helper()
	for _, tg := range f.targets {
		putJSON(f.t, tg.URL+"/dev/faults", x)
	}
}

// faultCount counts the answers with a kind of fault so far.
func (f *answerFleet) faultCount(kind string) int {
	n := 0
	for _, tg := range f.targets {
		n += f.engineLedger(tg.ID).Faults[kind]
	}
	return n
}

// running returns the number of requests in flight at an engine.
func (f *answerFleet) running(id ident.TargetID) int {
	var ld event.Load
	getJSON(f.t, f.url(id)+"/load", &ld)
	return ld.Running
}

// runStreams sends an open-loop load of streams, each with its own text.
func runStreams(entries []string, rate float64, d time.Duration, seed uint64) load.Result {
	return load.Run(context.Background(), load.Config{
		Entries: entries, Key: "key-1", Profile: "draft", Rate: rate, Duration: d,
		AnswerTokens: 40, PromptBytes: 120, Stream: true, Seed: seed, Retry: true,
	})
}

// startStreams runs runStreams in the background.
func startStreams(entries []string, rate float64, d time.Duration, seed uint64) <-chan load.Result {
	done := make(chan load.Result, 1)
	go func() { done <- runStreams(entries, rate, d, seed) }()
	return done
}

func summarise(r load.Result) string {
	return fmt.Sprintf("requests %d, done %d, wrong %d, cut %d, errors %d, refused %v, dropped %d",
		r.Requests, r.Done, r.Wrong, r.Cut, r.Errors, r.Refused, r.Dropped)
}

// checkLoad checks that no answer was wrong and that at most maxIncomplete answers were incomplete. A
// complete answer is compared with the text that belongs to its prompt.
func checkLoad(t *testing.T, r load.Result, maxIncomplete int) {
	t.Helper()
	t.Log(summarise(r))
	if r.Wrong != 0 {
		t.Errorf("%d answers looked complete but were not, or belonged to another caller", r.Wrong)
	}
	if incomplete := r.Requests - r.Done; incomplete > maxIncomplete {
		t.Errorf("%d of %d requests got no complete answer, at most %d expected", incomplete, r.Requests, maxIncomplete)
	}
}

// percentOf returns percent of n, rounded down.
func percentOf(n, percent int) int { return n * percent / 100 }

var streamFaults = []string{
	engine.FaultCut, engine.FaultShort, engine.FaultCrossed, engine.FaultTwice, engine.FaultMixed, engine.FaultError,
}

// An answer that a caller receives as complete must be the whole answer to its own request.
func TestAnswersAreWhole(t *testing.T) {
	f := startAnswerFleet(t)
	near := f.urls("uvs-1", "uvs-2")
	t.Run("faulty answers", f.testFaultyAnswers)
	t.Run("answers in one piece", f.testBuffered)
	t.Run("resume is ignored", f.testNoResume)

	// The link between entry hosts and an engine breaks while streams run, and the engine continues
	// without a reader. The streams must continue at another engine from the next token; otherwise
	// callers get truncated text.
	t.Run("link to an engine is cut", func(t *testing.T) {
		done := startStreams(near, 400, 3*time.Second, 4)
		eventually(t, "streams run at the engine", func() bool { return f.running("uvs-e3") >= 20 })
		f.engineRelay.setCut(everyone, true)
		checkLoad(t, <-done, 0)
		f.engineRelay.setCut(everyone, false)
	})

	// An entry host without engines forwards its streams, and its links to the data centre that runs
	// them break. The streams must continue at a third data centre.
	t.Run("link to another region is cut", f.testForwarded)

	// An engine dies with hundreds of streams in flight, more than a tenth of all recent ones. None
	// of them may be truncated, since another engine can continue them.
	t.Run("engine is killed", func(t *testing.T) {
		done := startStreams(near, 1800, 1500*time.Millisecond, 5)
		eventually(t, "streams run at the engine", func() bool { return f.running("uvs-e1") >= 350 })
		f.procs["uvs-e1"].kill(t)
		checkLoad(t, <-done, 0)
	})
}

// One answer in ten is aborted, ends early as if complete, belongs to another request from the start
// or from the middle, repeats a token, or is an error. A caller must not take any of these for its
// answer. Another attempt repairs all but the streams that repeat a token or switch to another
// request in the middle: what they sent before is unreliable, and they are cut.
func (f *answerFleet) testFaultyAnswers(t *testing.T) {
	f.setEngineFaults(engine.Faults{Every: 10, Kinds: streamFaults})
	done := startStreams(f.urls("uvs-1", "uvs-2"), 2200, 3*time.Second, 1)
	maxRunning := 0
	var r load.Result
	for maxRunning >= 0 {
		select {
		case r = <-done:
			t.Logf("at most %d concurrent streams", maxRunning)
			if maxRunning < 1000 {
				t.Errorf("%d concurrent streams, at least 1000 expected", maxRunning)
			}
			maxRunning = -1
		case <-time.After(50 * time.Millisecond):
			maxRunning = max(maxRunning, f.running("uvs-e1")+f.running("uvs-e2")+f.running("uvs-e3"))
		}
	}
	// About one request in a thousand gets three faulty answers in a row and fails; one in a hundred is
	// allowed.
	checkLoad(t, r, f.faultCount(engine.FaultTwice)+f.faultCount(engine.FaultMixed)+percentOf(r.Requests, 1))
	for _, kind := range streamFaults {
		if f.faultCount(kind) == 0 {
			t.Errorf("no answer had the fault %s", kind)
		}
	}
}

// A buffered answer is aborted or lacks its end. None of it has been relayed, so another attempt
// replaces it.
func (f *answerFleet) testBuffered(t *testing.T) {
	f.setEngineFaults(engine.Faults{Every: 10, Kinds: []string{
		engine.FaultCut, engine.FaultShort, engine.FaultCrossed, engine.FaultError,
	}})
	r := load.Run(context.Background(), load.Config{
		Entries: f.urls("uvs-1", "uvs-2"), Key: "key-1", Profile: "draft", Rate: 500, Duration: 2 * time.Second,
		AnswerTokens: 20, PromptBytes: 120, Seed: 2, Retry: true,
	})
	checkLoad(t, r, percentOf(r.Requests, 1))
}

// Streams are aborted, and the engines that are asked to resume them start again from the first
// token. A caller would get the start twice, followed by the end marker. Such a stream must be cut.
func (f *answerFleet) testNoResume(t *testing.T) {
	before := f.faultCount(engine.FaultCut)
	f.setEngineFaults(engine.Faults{Every: 10, Kinds: []string{engine.FaultCut}, IgnoreResume: true})
	r := runStreams(f.urls("uvs-1", "uvs-2"), 500, time.Second, 3)
	f.setEngineFaults(engine.Faults{})
	checkLoad(t, r, f.faultCount(engine.FaultCut)-before)
	if r.Cut == 0 {
		t.Error("no stream was cut: the fault did not occur")
	}
}

func (f *answerFleet) testForwarded(t *testing.T) {
	from := f.host("erdenet-1")
	eventually(t, "streams are passed on", func() bool {
		return runStreams([]string{from.callers()}, 50, 200*time.Millisecond, 6).Done > 0
	})
	before := f.ranIn()
	done := startStreams([]string{from.callers()}, 60, 4*time.Second, 7)
	var dc ident.DataCentre
	eventually(t, "streams run elsewhere", func() bool {
		near := f.running("uvs-e1") + f.running("uvs-e2") + f.running("uvs-e3")
		far := f.running("khovd-e1")
		dc = "khovd"
		if near > far {
			dc = "uvs"
		}
		return max(near, far) >= 10
	})
	f.cutBoth(from, dc, true)
	r := <-done
	f.cutBoth(from, dc, false)
	checkLoad(t, r, 0)
	after := f.ranIn()
	if after["uvs"] == before["uvs"] || after["khovd"] == before["khovd"] {
		t.Errorf("streams ran in one data centre only: %v, then %v", before, after)
	}
}

// cutBoth cuts or heals the links between a host and a data centre, in both directions.
func (f *answerFleet) cutBoth(from *fleetHost, dc ident.DataCentre, cut bool) {
	for _, m := range f.hostsIn(dc) {
		f.cutLink(from, m, cut)
		f.cutLink(m, from, cut)
	}
}

// ranIn counts the requests that ran in each data centre.
func (f *answerFleet) ranIn() map[ident.DataCentre]int {
	ran := make(map[ident.DataCentre]int)
	for _, tg := range f.targets {
		ran[tg.Place.DataCentre] += f.engineLedger(tg.ID).Ran
	}
	return ran
}
