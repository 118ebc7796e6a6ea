package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// program is the entry host's, built once.
var program string

func TestMain(m *testing.M) {
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

// A promise breaks while real hosts are stopped, killed, paused and cut off.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	// 305: hosts ended by themselves at their start, as the control thread asked for
	// the configuration before the part that reads it was there.
	for _, seed := range []uint64{1, 305} {
		rep, err := Run(context.Background(), Config{Program: program, Seed: seed, For: 5 * time.Second, Hosts: 2, Callers: 2})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(rep)
		if len(rep.Broken) > 0 {
			t.Errorf("seed %d breaks promises", seed)
		}
		if rep.Outcome["200"] == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
	}
}

// A second SIGTERM during a planned stop ends the host in the middle of a stream.
func TestOverlappingStopsCutNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a quarter of a minute")
	}
	rep, err := Run(context.Background(), Config{Program: program, Seed: 1796274126, For: 12 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if len(rep.Broken) > 0 {
		t.Error("promises are broken")
	}
}

// Planned work, or a target that pauses, cuts a stream that could go on.
func TestPlannedWorkCutsNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	rep, err := Run(context.Background(), Config{Program: program, Seed: 3, For: 10 * time.Second, Planned: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if len(rep.Broken) > 0 {
		t.Error("promises are broken")
	}
	if rep.Outcome["200"] == 0 {
		t.Error("nothing was served")
	}
}

// A seed that is kept as a case draws another plan later.
func TestPlanOfASeedStays(t *testing.T) {
	s := &site{}
	for n := range 4 {
		s.hosts = append(s.hosts, &host{region: regions[n/2]})
		s.workers = append(s.workers, &target{id: fmt.Sprint("t", n), region: regions[n/2]})
	}
	names := func(seed uint64) []string {
		var out []string
		for _, f := range draw(rand.New(rand.NewPCG(seed, seed)), 20*time.Second, s) {
			out = append(out, f.String())
		}
		return out
	}
	if diff := cmp.Diff(names(7), names(7)); diff != "" {
		t.Errorf("two plans of one seed differ:\n%s", diff)
	}
	if cmp.Equal(names(7), names(8)) {
		t.Error("two seeds draw the same plan")
	}
}

// A check of the soak misses the very violation that it is there for.
func TestChecksBite(t *testing.T) {
	at := time.Now()
	for name, c := range map[string]struct {
		a    asked
		runs int
		ran  *target
		want int
		// planned says that the run is one of planned work.
		planned bool
	}{
		"fine":        {a: asked{id: "p", kind: kindFetch, route: kindFetch, status: 500}, runs: 1},
		"twice":       {a: asked{id: "p", kind: kindPublish, route: kindPublish, status: 502}, runs: 2, want: 1},
		"not run":     {a: asked{id: "p", kind: kindFetch, route: kindFetch, status: 503, header: map[string][]string{"Retry-After": {"1"}}}, runs: 1, want: 1},
		"cut short":   {a: asked{id: "p", kind: kindDraft, route: kindDraft, status: 200, body: "id: 1", header: map[string][]string{"Verbenadale-Response-Seal": {"seal-of-p"}}}, runs: 1, want: 1},
		"crossed":     {a: asked{id: "p", kind: kindFetch, route: kindFetch, status: 200, body: "of another", header: map[string][]string{"Verbenadale-Response-Seal": {"seal-of-q"}}}, runs: 1, want: 2},
		"away":        {a: asked{id: "p", kind: kindHome, route: kindHome, status: 502}, runs: 1, ran: &target{region: regions[1], service: "board"}, want: 1},
		"left":        {a: asked{id: "p", kind: kindFetch, route: kindFetch, status: 502, calm: true, began: at}, runs: 1, ran: &target{region: regions[0], service: "board", leftAt: at.Add(-2 * inForce)}, want: 1},
		"evacuated":   {a: asked{id: "p", kind: kindFetch, route: kindFetch, status: 502, calm: true, began: at}, runs: 1, ran: &target{region: regions[1], service: "board"}, want: 1},
		"wrong place": {a: asked{id: "p", kind: kindFetch, route: kindFetch, status: 502}, runs: 1, ran: &target{region: regions[0], service: "writers"}, want: 1},
		"stop cuts":   {a: asked{id: "p", kind: kindFetch, route: kindFetch, err: context.DeadlineExceeded, calm: true, end: at, termAt: at.Add(-time.Second)}, runs: 1, want: 1},
		"planned cut": {a: asked{id: "p", kind: kindDraft, route: kindDraft, status: 200, err: io.ErrUnexpectedEOF}, runs: 1, planned: true, want: 1},
		"no route":    {a: asked{id: "p", kind: kindFetch, route: kindFetch, status: 404, calm: true}, want: 1},
	} {
		chk := &checker{site: &site{cfg: Config{Planned: c.planned}, began: at, evacuated: []evacuation{{region: regions[1], from: at.Add(-2 * inForce)}}}, runs: map[string]int{"p": c.runs}, by: map[string][]*target{}}
		if c.ran != nil {
			chk.by["p"] = []*target{c.ran}
		}
		chk.one(c.a)
		if len(chk.found) != c.want {
			t.Errorf("%s: found %v, want %d", name, chk.found, c.want)
		}
	}
}
