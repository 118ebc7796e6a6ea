package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/dev/kvstub"
	"verbenadale.example/verbenadale/internal/dev/relay"
	"verbenadale.example/verbenadale/internal/dev/worker"
)

// program is the path of the entry host executable, which TestMain builds.
var program string

// targetEnv is set in processes of the test binary that run a target.
const targetEnv = "SOAK_TARGET"

func TestMain(m *testing.M) {
	if os.Getenv(targetEnv) != "" {
		if err := worker.RunProcess(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "verbenadale")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/verbenadale").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Guards against guarantees that are violated while entry host processes are stopped, killed,
// paused and partitioned.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	// With seed 305 hosts exited during start: the control thread asked for the configuration
	// before the component that reads it existed.
	for _, seed := range []uint64{1, 305} {
		rep, err := Run(context.Background(), Config{Program: program, Seed: seed, Duration: 5 * time.Second, Hosts: 2, Callers: 2})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(rep)
		if len(rep.Violations) > 0 {
			t.Errorf("seed %d violates guarantees", seed)
		}
		if rep.Outcomes["200"] == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
	}
}

// Guards against streams of two builds while hosts are stopped, killed, paused and partitioned.
func TestStreamsKeepTheirBuild(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	rep, err := Run(context.Background(), Config{Program: program, Seed: 7, Duration: 5 * time.Second, Builds: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if len(rep.Violations) > 0 {
		t.Errorf("seed %d violates guarantees", rep.Seed)
	}
}

// Guards against streams of two builds after all hosts were killed at once (seed 103), and against answers of targets in trouble
// that reach the wrong caller or are cut inside an event (seed 110).
func TestAnswersSurviveTroubledTargetsAndRejoins(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a minute")
	}
	for _, seed := range []uint64{103, 110} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rep, err := Run(context.Background(), Config{Program: program, Seed: seed, Duration: 8 * time.Second, Callers: 6, Builds: true, Rejoins: true, Answers: true})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(rep)
			if len(rep.Violations) > 0 {
				t.Error("guarantees are violated")
			}
		})
	}
}

// targetCommand runs a target in a process of the test binary.
func targetCommand() []string { return []string{"/usr/bin/env", targetEnv + "=1", os.Args[0]} }

// Guards against unframed answers that look whole after their targets have ended inside them (seed 18), and against streams that are
// not served because the ids of their events grow by more than one (seed 3).
func TestStreamsStayInOrderWhereTargetsEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	for _, seed := range []uint64{18, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rep, err := Run(context.Background(), Config{Program: program, Target: targetCommand(), Seed: seed, Duration: 5 * time.Second, Ends: true})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(rep)
			if len(rep.Violations) > 0 {
				t.Error("guarantees are violated")
			}
			if rep.Outcomes["200"] == 0 {
				t.Error("nothing was served")
			}
		})
	}
}

// Guards against streams that go on at another version where targets of a new one join while a host (seed 19) or all hosts of a region
// (seed 27) get nothing from the store and from other hosts: a host that knows one version takes it for the only one.
func TestStreamsKeepTheirVersionDuringReleases(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	for _, cfg := range []Config{{Seed: 19, Regions: 2}, {Seed: 27, Regions: 2}, {Seed: 19, Regions: 1}} {
		t.Run(fmt.Sprintf("seed %d, regions %d", cfg.Seed, cfg.Regions), func(t *testing.T) {
			t.Parallel()
			cfg.Program, cfg.Duration, cfg.Callers, cfg.Releases = program, 3*time.Second, 16/cfg.Regions, true
			rep, err := Run(context.Background(), cfg)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(rep)
			if len(rep.Violations) > 0 {
				t.Error("guarantees are violated")
			}
			if rep.Outcomes["200"] == 0 {
				t.Error("nothing was served")
			}
		})
	}
}

// Guards against a check that misses an event of a stream that is missing, comes twice, or is of another stream or build.
func TestTextChecksDetectViolations(t *testing.T) {
	cfg := Config{Builds: true}
	v1, v2 := cfg.writer("v1"), cfg.writer("v2")
	first, second, third := v1.EventOf("s", 1), v1.EventOf("s", 2), v1.EventOf("s", 3)
	whole := v1.TextOf("s", 1)
	draft := observation{id: "s", kind: kindDraft, route: kindDraft, status: http.StatusOK, err: errCallerLeft}
	rest := draft
	rest.id, rest.first, rest.path = "r", "s", "/draft/x?of=s"
	with := func(a observation, received int, answer string, err error) observation {
		a.received, a.answer, a.err = received, answer, err
		a.splitBuilds()
		return a
	}
	for name, c := range map[string]struct {
		observations []observation
		want         int
	}{
		"whole":               {[]observation{with(draft, 0, whole, nil)}, 0},
		"empty and complete":  {[]observation{with(draft, 0, "", nil)}, 1},
		"an event is missing": {[]observation{with(draft, 0, strings.TrimSuffix(whole, v1.EventOf("s", streamEvents)), nil)}, 1},
		"cut":                 {[]observation{with(draft, 0, first+second[:9], errCallerLeft)}, 0},
		"joined inside":       {[]observation{with(draft, 0, first+second[:9]+v1.EventOf("s", 2), errCallerLeft)}, 2},
		"a gap":               {[]observation{with(draft, 0, first+third, errCallerLeft)}, 2},
		"twice":               {[]observation{with(draft, 0, first+first, errCallerLeft)}, 2},
		"two builds":          {[]observation{with(draft, 0, first+v2.EventOf("s", 2), errCallerLeft)}, 2},
		"of another stream":   {[]observation{with(draft, 0, v1.EventOf("t", 1), errCallerLeft)}, 2},
		"taken up":            {[]observation{with(draft, 0, first+second, errCallerLeft), with(rest, 1, v1.TextOf("s", 2), nil)}, 0},
		"taken up too late":   {[]observation{with(draft, 0, first, errCallerLeft), with(rest, 1, third, errCallerLeft)}, 2},
		"taken up elsewhere":  {[]observation{with(draft, 0, first, errCallerLeft), with(rest, 1, v2.TextOf("s", 2), nil)}, 1},
		"two at once":         {[]observation{with(rest, 1, v2.EventOf("s", 2), errCallerLeft), with(rest, 2, third, errCallerLeft)}, 1},
	} {
		chk := &checker{deployment: &deployment{cfg: cfg}, pool: &callerPool{observations: c.observations}}
		for _, a := range c.observations {
			chk.checkText(a, a.id)
		}
		chk.checkTakeUps()
		if len(chk.violations) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.violations, c.want)
		}
	}
}

// Guards against a check that takes an answer for whole of which a target sent more, was killed or reset the connection.
func TestEndedInOrderDetectsViolations(t *testing.T) {
	cfg := Config{Builds: true, Ends: true}
	writer := cfg.writer("v1")
	writer.UnframedPercent = 100
	framed := writer
	framed.UnframedPercent = 0
	text := func(n int) string { return strings.TrimSuffix(writer.TextOf("s", 1), writer.TextOf("s", n+1)) }
	for name, c := range map[string]struct {
		config worker.Config
		run    worker.Run
		answer string
		want   int
	}{
		"closed in order":    {writer, worker.Run{ID: "s", Fault: worker.BetweenEvents}, text(2), 0},
		"one event is lost":  {writer, worker.Run{ID: "s", Fault: worker.BetweenEvents}, text(1), 1},
		"resumed":            {writer, worker.Run{ID: "s", From: 5, Fault: worker.BetweenEvents}, text(7), 0},
		"resumed, not whole": {writer, worker.Run{ID: "s", From: 5, Fault: worker.BetweenEvents}, text(2), 1},
		"killed":             {writer, worker.Run{ID: "s", Fault: worker.Killed(worker.BetweenEvents)}, text(2), 1},
		"reset":              {writer, worker.Run{ID: "s", Fault: worker.ResetAfterEvent}, text(2), 1},
		"inside an event":    {writer, worker.Run{ID: "s", Fault: worker.Crash}, text(1) + "id", 1},
		"head alone":         {writer, worker.Run{ID: "s", Fault: worker.HeadAlone}, "", 1},
		"framed":             {framed, worker.Run{ID: "s", Fault: worker.BetweenEvents}, text(2), 1},
		"no fault":           {writer, worker.Run{ID: "s"}, text(2), 1},
	} {
		w := &target{id: "t", config: c.config, requests: map[string][]worker.Run{"s": {c.run}}}
		chk := &checker{deployment: &deployment{cfg: cfg}, ranAt: map[string][]*target{"s": {w}}}
		chk.checkText(observation{id: "s", kind: kindDraft, route: kindDraft, answer: c.answer}, name)
		if len(chk.violations) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.violations, c.want)
		}
	}
}

// Guards against a check that misses a call whose answer looks whole and is not.
func TestCallChecksDetectViolations(t *testing.T) {
	a := observation{id: "c", kind: kindFetch, route: kindFetch, status: http.StatusOK}
	whole := a.wantCall() + "board-1"
	for name, c := range map[string]struct {
		answer string
		err    error
		want   int
	}{
		"whole":       {whole, nil, 0},
		"cut":         {whole[:9], io.ErrUnexpectedEOF, 0},
		"short":       {whole[:9], nil, 1},
		"without id":  {a.wantCall(), nil, 1},
		"other bytes": {whole[:9] + "x", io.ErrUnexpectedEOF, 1},
		"more":        {whole + whole, nil, 1},
	} {
		a.answer, a.err = c.answer, c.err
		chk := &checker{deployment: &deployment{}, ranAt: map[string][]*target{"c": {{id: "board-1"}}}}
		chk.checkText(a, name)
		if len(chk.violations) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.violations, c.want)
		}
	}
}

// Guards against a second SIGTERM that ends a host in the middle of a stream while a planned
// stop is in progress.
func TestOverlappingStopsAbortNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	rep, err := Run(context.Background(), Config{Program: program, Seed: 1796274126, Duration: 12 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if len(rep.Violations) > 0 {
		t.Error("guarantees are violated")
	}
}

// Guards against streams that are aborted by planned work or by a target that pauses, although
// they could continue.
func TestPlannedWorkAbortsNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	rep, err := Run(context.Background(), Config{Program: program, Seed: 3, Duration: 10 * time.Second, Planned: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if len(rep.Violations) > 0 {
		t.Error("guarantees are violated")
	}
	if rep.Outcomes["200"] == 0 {
		t.Error("nothing was served")
	}
}

// Guards against requests that end one target after the other while their callers repeat them at
// hosts of both regions, or send others that share a part of their prompts, and against hosts that together send a target more than the limit that it names.
func TestTargetsThatEndOrNameALimit(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	rep, err := Run(context.Background(), Config{Program: program, Seed: 208, Duration: 2 * time.Second, Poison: true, Parts: true, Rests: true, Limits: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if len(rep.Violations) > 0 {
		t.Error("guarantees are violated")
	}
}

// Guards against a stand-in whose address accepts connections after its process has ended, so that hosts take it for one that
// lives on (seed 2026120466 with poison, parts, rests and limits: four targets ended under one request).
func TestEndedTargetRefusesConnections(t *testing.T) {
	s := &deployment{clock: clock.New(), store: kvstub.New()}
	defer s.stop()
	if err := s.addWorker("t", "board", regions[0]); err != nil {
		t.Fatal(err)
	}
	w := s.targets()[0]
	for range 20 {
		c, err := net.Dial("tcp", w.relay.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	s.endTarget(w, httptest.NewRequest(http.MethodGet, "/fetch/x", nil))
	if c, err := net.Dial("tcp", w.relay.Addr()); err == nil {
		_ = c.Close()
		t.Error("the address of an ended target accepts a connection")
	}
}

// Guards against a check that misses a part of prompts that goes on ending targets.
func TestPartCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	times := func(n int, from time.Duration) []time.Time {
		var ts []time.Time
		for i := range n {
			ts = append(ts, at.Add(from+time.Duration(i)*time.Millisecond))
		}
		return ts
	}
	for name, c := range map[string]struct {
		series partSeries
		want   int
	}{
		"few ends":      {partSeries{ends: times(partEnds-1, 0), arrivals: times(9, time.Minute)}, 0},
		"at once":       {partSeries{ends: times(9, 0), arrivals: times(9, partDelay/2)}, 0},
		"some are late": {partSeries{ends: times(partEnds, 0), arrivals: times(maxLateParts, 2*partDelay)}, 0},
		"too many":      {partSeries{ends: times(partEnds, 0), arrivals: times(maxLateParts+1, 2*partDelay)}, 1},
		"disturbed":     {partSeries{ends: times(partEnds, 0), arrivals: times(9, 2*partDelay), disturbed: true}, 0},
	} {
		chk := &checker{deployment: &deployment{parts: []*partSeries{&c.series}}}
		chk.checkParts()
		if len(chk.violations) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.violations, c.want)
		}
	}
}

// Guards against a check that misses requests to targets at rest, or to those that leave.
func TestRestCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	times := func(n int, after time.Duration) []time.Time {
		ts := []time.Time{at}
		for range n {
			ts = append(ts, at.Add(after))
		}
		return ts
	}
	for name, c := range map[string]struct {
		times  []time.Time
		leaves bool
		want   int
	}{
		"none":                {nil, false, 0},
		"in flight":           {times(9, restSlack), false, 0},
		"allowed":             {times(maxInRest, 2*restSlack), false, 0},
		"too many":            {times(maxInRest+1, 2*restSlack), false, maxInRest + 1},
		"leaves, soon after":  {times(9, maxPropagation), true, 0},
		"leaves, later":       {times(1, maxPropagation+1), true, 1},
		"leaves, a last word": {times(0, 0), true, 0},
	} {
		p := &restPeriod{leaves: c.leaves}
		if got := p.excess(c.times); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
	w := &target{Worker: worker.New(worker.Config{ID: "t"}), region: "west"}
	for _, id := range []string{"of west", "of east", "of nobody"} {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set("Verbenadale-Request-Id", id)
		w.ServeHTTP(httptest.NewRecorder(), r)
	}
	p := &restPeriod{target: w, from: at.Add(-time.Minute), to: at.Add(time.Minute)}
	got := p.arrivals(map[string]int{"of west": 0, "of east": 1}, []*host{{region: "west"}, {region: "east"}})
	if len(got) != 1 || len(got[0]) != 1 {
		t.Errorf("arrivals by host: %v", got)
	}
}

// Guards against malformed answers that reach callers, and against parts of answers that were reset during an upload and look whole.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	for _, seed := range []uint64{1, 4} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rep, err := Run(context.Background(), Config{Program: program, Seed: seed, Duration: 5 * time.Second, Broken: true})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(rep)
			if len(rep.Violations) > 0 {
				t.Error("guarantees are violated")
			}
		})
	}
}

// Guards against repeats beyond the retry budget of a service where failures come less than ten seconds apart, at hosts that count by
// whole seconds (seed 52).
func TestRepeatsStayWithinTheRetryBudget(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a minute")
	}
	rep, err := Run(context.Background(), Config{Program: program, Seed: 52, Duration: 33 * time.Second, Retries: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if len(rep.Violations) > 0 {
		t.Errorf("seed %d violates guarantees", rep.Seed)
	}
}

// Guards against a check that misses repeats beyond the budget, or counts those of another service.
func TestRetryCheckDetectsViolations(t *testing.T) {
	began := time.Now()
	for name, c := range map[string]struct {
		service string
		repeats int
		want    int
	}{
		"within":             {"board", retryFloor, 0},
		"beyond":             {"board", 2 * retryFloor, 1},
		"beyond, of streams": {"writers", 2 * retryFloor, 1},
	} {
		w := &target{Worker: worker.New(worker.Config{ID: "t"}), service: c.service}
		for range 1 + c.repeats {
			r := httptest.NewRequest(http.MethodGet, "/x", nil)
			r.Header.Set("Verbenadale-Request-Id", "r")
			w.ServeHTTP(httptest.NewRecorder(), r)
		}
		chk := &checker{deployment: &deployment{began: began, workers: []*target{w}}, pool: &callerPool{observations: []observation{{id: "r", kind: kindFetch, began: began}}}}
		chk.checkRetries()
		if len(chk.violations) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.violations, c.want)
		}
	}
}

// Guards against a check that misses a target that gets more than its limit allows.
func TestLimitCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	for _, c := range []struct {
		requests  int
		disturbed bool
		want      int
	}{
		{requests: 11}, {requests: 12, want: 1}, {requests: 12, disturbed: true},
	} {
		w := &target{Worker: worker.New(worker.Config{ID: "t"})}
		for range c.requests {
			w.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
		}
		p := &limitPeriod{target: w, perSecond: 1, from: at.Add(-limitDelay), to: at.Add(time.Minute), disturbed: c.disturbed}
		chk := &checker{deployment: &deployment{limits: []*limitPeriod{p}}}
		chk.checkLimits()
		if len(chk.violations) != c.want {
			t.Errorf("%+v: found %v, want %d", c, chk.violations, c.want)
		}
	}
}

// Guards against a check that misses a request that ends more targets than it may.
func TestPoisonCheckDetectsViolations(t *testing.T) {
	for _, c := range []struct {
		series poisonSeries
		want   int
	}{
		{poisonSeries{ends: maxPoisonEnds}, 0},
		{poisonSeries{ends: maxPoisonEnds + 1}, 1},
		{poisonSeries{ends: 2 * maxPoisonEnds, disturbed: true}, 0},
		{poisonSeries{ends: 2*maxPoisonEnds + 1, disturbed: true}, 1},
	} {
		chk := &checker{deployment: &deployment{hosts: []*host{{processes: 1}, {processes: 1}}, poison: []*poisonSeries{&c.series}}}
		chk.checkPoison()
		if len(chk.violations) != c.want {
			t.Errorf("%+v: found %v, want %d", c.series, chk.violations, c.want)
		}
	}
}

// sleepingHost starts a host whose processes sleep for a minute and returns it with the file to which
// each of them appends its id. The first process has done so.
func sleepingHost(t *testing.T) (h *host, ids string) {
	t.Helper()
	dir := t.TempDir()
	script := filepath.Join(dir, "host")
	ids = filepath.Join(dir, "ids")
	text := fmt.Sprintf("#!/bin/sh\necho $$ >> %s\nexec sleep 60\n", ids)
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	h = &host{deployment: &deployment{cfg: Config{Program: script, Log: io.Discard}, began: time.Now()}}
	if err := h.startProcess(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if b, err := os.ReadFile(ids); err == nil && len(b) > 0 {
			return h, ids
		}
		if time.Now().After(deadline) {
			t.Fatal("the host did not start")
		}
	}
}

// Guards against two stops of one host that end together and start it twice, so that the second
// process finds the addresses in use for ever and outlives the run.
func TestOverlappingStopsStartOneProcess(t *testing.T) {
	h, ids := sleepingHost(t)
	defer h.shutdown()
	done := h.signal(syscall.SIGKILL)
	<-done
	// All stops reach the lock before the first of them gets it.
	h.mu.Lock()
	var stops tomb.Tomb
	for range 8 {
		stops.Go(func() error {
			h.restartAfterExit(context.Background(), done)
			return nil
		})
	}
	time.Sleep(2 * restartDelay)
	h.mu.Unlock()
	if err := stops.Wait(); err != nil {
		t.Fatal(err)
	}
	if n, _ := h.state(); n != 2 {
		t.Errorf("%d processes were started, want 2", n)
	}
	h.shutdown()
	if left := running(t, ids); len(left) > 0 {
		t.Errorf("processes %v are still running after the shutdown of their host", left)
	}
}

// running returns the ids in a file that belong to running processes.
func running(t *testing.T, ids string) []int {
	t.Helper()
	b, err := os.ReadFile(ids)
	if err != nil {
		t.Fatal(err)
	}
	var left []int
	for _, text := range strings.Fields(string(b)) {
		id, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		if syscall.Kill(id, 0) == nil {
			left = append(left, id)
		}
	}
	return left
}

// Guards against hosts that keep running after a test binary that panics or is killed, which can't
// shut them down.
func TestHostsEndWithTheTestBinary(t *testing.T) {
	if file := os.Getenv("SOAK_ORPHAN_IDS"); file != "" {
		_, ids := sleepingHost(t)
		if err := os.Rename(ids, file); err != nil {
			t.Fatal(err)
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	ids := filepath.Join(t.TempDir(), "orphans")
	cmd := exec.Command(os.Args[0], "-test.run=^TestHostsEndWithTheTestBinary$")
	cmd.Env = append(os.Environ(), "SOAK_ORPHAN_IDS="+ids)
	out, err := cmd.CombinedOutput()
	if err == nil {
		t.Fatalf("the test binary was not killed:\n%s", out)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		left := running(t, ids)
		if len(left) == 0 {
			return
		}
		if time.Now().After(deadline) {
			for _, id := range left {
				_ = syscall.Kill(id, syscall.SIGKILL)
			}
			t.Fatalf("processes %v outlive the test binary", left)
		}
	}
}

// Guards against a seed that draws different plans from run to run, so that a failure cannot be
// replayed.
func TestPlanOfASeedIsDeterministic(t *testing.T) {
	s := &deployment{}
	for n := range 4 {
		s.hosts = append(s.hosts, &host{region: regions[n/2]})
		s.workers = append(s.workers, &target{id: fmt.Sprint("t", n), region: regions[n/2]})
	}
	for name, draw := range map[string]func(*rand.Rand, time.Duration, *deployment) []fault{"faults": drawPlan, "releases": drawReleases, "retries": drawRetries} {
		names := func(seed uint64) []string {
			var out []string
			for _, f := range draw(rand.New(rand.NewPCG(seed, seed)), 20*time.Second, s) {
				out = append(out, f.String())
			}
			return out
		}
		if diff := cmp.Diff(names(7), names(7)); diff != "" {
			t.Errorf("%s: two plans of one seed differ:\n%s", name, diff)
		}
		if cmp.Equal(names(7), names(8)) {
			t.Errorf("%s: two seeds draw the same plan", name)
		}
	}
}

// Guards against releases during which no host is in step, or of a version that serves already.
func TestReleasesAreNewToIsolatedHosts(t *testing.T) {
	for seed := range uint64(50) {
		s := &deployment{}
		for n := range 4 {
			s.hosts = append(s.hosts, &host{region: regions[n/2]})
		}
		p := &releasePlan{rnd: rand.New(rand.NewPCG(seed, seed)), deployment: s, serving: []int{1}, versions: 1}
		for range 10 {
			before := p.serving
			p.release(0)
			if now := p.serving[len(p.serving)-1]; slices.Contains(before, now) {
				t.Errorf("seed %d: version %d joins and serves already, beside %v", seed, now, before)
			}
		}
		for _, hosts := range [][]*host{s.hosts, {{region: "west"}, {region: "west"}}} {
			s.hosts = hosts
			group := drawGroup(p.rnd, s)
			f := drawIsolation(p.rnd, s, group)
			if len(group) == 0 || len(group) >= len(hosts) || f.duration < minIsolation || f.duration > maxIsolation {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
}

// Guards against a check that misses streams which are refused where they could go on.
func TestReleaseChecksDetectViolations(t *testing.T) {
	v1 := Config{Builds: true}.writer("v1")
	at := time.Now()
	began := observation{id: "s", kind: kindDraft, route: kindDraft, answer: v1.EventOf("s", 1), inStep: true, err: errCallerLeft}
	rest := observation{id: "r", first: "s", kind: kindDraft, route: kindDraft, answer: "VB1034", inStep: true, end: at}
	elsewhere, restarted, unknown := rest, rest, rest
	elsewhere.host, restarted.restarted, unknown.first = 1, true, "t"
	isolated := elsewhere
	isolated.inStep = false
	repeat := func(a observation, n int) []observation { return slices.Repeat([]observation{a}, n) }
	for name, c := range map[string]struct {
		rest []observation
		left time.Time
		ran  string
		want int
	}{
		"where it began":       {rest: repeat(rest, 1), want: 1},
		"the version has left": {rest: repeat(rest, minTakenUp), left: at.Add(-time.Second)},
		"it leaves later":      {rest: repeat(rest, 1), left: at.Add(time.Second), want: 1},
		"in another region":    {rest: repeat(rest, 1), ran: regions[1]},
		"after a restart":      {rest: repeat(restarted, 1)},
		"elsewhere, few":       {rest: repeat(elsewhere, minTakenUp-1)},
		"elsewhere, many":      {rest: repeat(elsewhere, minTakenUp), want: 1},
		"at an isolated host":  {rest: repeat(isolated, minTakenUp)},
		"it never began":       {rest: repeat(unknown, minTakenUp)},
		"half of them go on":   {rest: append(repeat(elsewhere, minTakenUp), repeat(began, minTakenUp)...)},
		"less than half of it": {rest: append(repeat(elsewhere, minTakenUp), repeat(began, minTakenUp-1)...), want: 1},
	} {
		s := &deployment{
			cfg: Config{Releases: true, Builds: true}, began: at, leftAt: make(map[string]time.Time),
			hosts: []*host{{region: regions[0]}, {region: regions[0]}},
		}
		if !c.left.IsZero() {
			s.leftAt["v1"] = c.left
		}
		pool := &callerPool{observations: []observation{began}}
		for _, a := range c.rest {
			if a.first == "" {
				a.id, a.first, a.host = "r", "s", 1
			}
			pool.observations = append(pool.observations, a)
		}
		for i := range pool.observations {
			pool.observations[i].splitBuilds()
		}
		if c.ran == "" {
			c.ran = regions[0]
		}
		chk := &checker{deployment: s, pool: pool, ranAt: map[string][]*target{"s": {{region: c.ran}}}}
		chk.checkReleases()
		if len(chk.violations) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.violations, c.want)
		}
	}
}

// Guards against the end of one isolation that heals links, or continues hosts, while another one lasts.
func TestIsolationsOverlap(t *testing.T) {
	cut, directed := &isolation{hosts: []int{0, 1}, way: isolationWay{peers: silent}}, &isolation{hosts: []int{1}, way: isolationWay{peers: outward}}
	for _, c := range []struct {
		isolation *isolation
		from, to  int
		want      relay.Fault
	}{
		{cut, 0, 1, relay.Fault{}},
		{cut, 0, 2, silent},
		{cut, 2, 0, silent},
		{cut, 2, 3, relay.Fault{}},
		{directed, 1, 0, outward},
		{directed, 0, 1, inward},
		{directed, 0, 2, relay.Fault{}},
	} {
		if diff := cmp.Diff(c.want, c.isolation.fault(c.from, c.to)); diff != "" {
			t.Errorf("link from %d to %d:\n%s", c.from, c.to, diff)
		}
	}
	if diff := cmp.Diff(relay.Fault{Stall: silent.Stall, Refuse: true}, union(union(outward, inward), refused)); diff != "" {
		t.Error(diff)
	}
	s := &deployment{isolations: []*isolation{cut, directed}}
	cut.to = time.Now()
	if diff := cmp.Diff(1, len(s.lasting())); diff != "" {
		t.Error(diff)
	}
}

// Guards against a request that counts as undisturbed while its host, or another one, is isolated for longer than faults last.
func TestIsolatedHostsAreNotInStep(t *testing.T) {
	s := &deployment{hosts: []*host{{}, {}}}
	i := &isolation{hosts: []int{1}, from: time.Now().Add(-2 * settleTime)}
	s.isolations = []*isolation{i}
	now := time.Now()
	if s.settled() || s.inStep(1, now) || !s.inStep(0, now) {
		t.Error("an isolation that lasts is not noticed")
	}
	i.to = now
	if !s.settled() || s.inStep(1, now.Add(settleTime-1)) || !s.inStep(1, now.Add(settleTime)) {
		t.Error("an isolation does not end")
	}
}

// Guards against a check that misses the violation that it looks for: each case violates one
// or more guarantees or, as a control, none.
func TestChecksDetectViolations(t *testing.T) {
	at := time.Now()
	for name, c := range map[string]struct {
		a       observation
		runs    int
		ran     *target
		want    int
		planned bool
	}{
		"fine":                    {a: observation{id: "p", kind: kindFetch, route: kindFetch, status: 500}, runs: 1},
		"twice":                   {a: observation{id: "p", kind: kindPublish, route: kindPublish, status: 502}, runs: 2, want: 1},
		"not run":                 {a: observation{id: "p", kind: kindFetch, route: kindFetch, status: 503, header: map[string][]string{"Retry-After": {"1"}}}, runs: 1, want: 1},
		"cut short":               {a: observation{id: "p", kind: kindDraft, route: kindDraft, status: 200, answer: "id: 1", header: map[string][]string{"Verbenadale-Response-Seal": {"seal-of-p"}}}, runs: 1, want: 1},
		"crossed":                 {a: observation{id: "p", kind: kindFetch, route: kindFetch, status: 200, answer: "of another", header: map[string][]string{"Verbenadale-Response-Seal": {"seal-of-q"}}}, runs: 1, want: 2},
		"away":                    {a: observation{id: "p", kind: kindHome, route: kindHome, status: 502}, runs: 1, ran: &target{region: regions[1], service: "board"}, want: 1},
		"left":                    {a: observation{id: "p", kind: kindFetch, route: kindFetch, status: 502, settled: true, began: at}, runs: 1, ran: &target{region: regions[0], service: "board", drainingSince: at.Add(-2 * maxPropagation)}, want: 1},
		"evacuated":               {a: observation{id: "p", kind: kindFetch, route: kindFetch, status: 502, settled: true, began: at}, runs: 1, ran: &target{region: regions[1], service: "board"}, want: 1},
		"wrong service":           {a: observation{id: "p", kind: kindFetch, route: kindFetch, status: 502}, runs: 1, ran: &target{region: regions[0], service: "writers"}, want: 1},
		"aborted by stop":         {a: observation{id: "p", kind: kindFetch, route: kindFetch, err: context.DeadlineExceeded, settled: true, end: at, termAt: at.Add(-time.Second)}, runs: 1, want: 1},
		"aborted by planned work": {a: observation{id: "p", kind: kindDraft, route: kindDraft, status: 200, err: io.ErrUnexpectedEOF}, runs: 1, planned: true, want: 1},
		"no route":                {a: observation{id: "p", kind: kindFetch, route: kindFetch, status: 404, settled: true}, want: 1},
	} {
		chk := &checker{deployment: &deployment{cfg: Config{Planned: c.planned}, began: at, evacuations: []evacuation{{region: regions[1], from: at.Add(-2 * maxPropagation)}}}, runs: map[string]int{"p": c.runs}, ranAt: map[string][]*target{}}
		if c.ran != nil {
			chk.ranAt["p"] = []*target{c.ran}
		}
		chk.checkRequest(c.a)
		if len(chk.violations) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.violations, c.want)
		}
	}
}
