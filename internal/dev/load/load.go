// Package load sends an open-loop load to entry hosts and checks every answer.
//
// # Usage
//
//	res := load.Run(ctx, load.Config{Entries: []string{url}, Key: "k", Profile: "draft", Rate: 100, For: 10 * time.Second})
//	fmt.Println(res.FirstToken.P99Ms)
//
// Requests start at times drawn beforehand, whether or not earlier ones have
// ended, and every latency counts from the time drawn. A load that waited for
// answers would slow down with the system and hide the very tail that it is
// meant to show.
//
// The answer of the engine stand-in depends on the prompt alone, so that each
// answer is checked to be whole and to be the one asked for.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Config describes a load.
type Config struct {
	// Entries are the base URLs of entry hosts. With Follow, they are only
	// asked which hosts to use.
	Entries []string
	Follow  bool
	Key     string
	Profile ident.Profile
	// Rate is requests a second; For is how long it lasts.
	Rate float64
	For  time.Duration
	// Tokens is the length of an answer, Prompt that of a prompt in bytes.
	Tokens int
	Prompt int
	// Prefixes is the number of different beginnings that prompts share;
	// zero makes every prompt new.
	Prefixes int
	Stream   bool
	Deadline time.Duration
	Seed     uint64
	// Retry sends a refused request again when it was told to come back.
	Retry bool
}

// maxInFlight bounds the requests that run at once, so that a load that is
// too high ends as an error and not as a machine out of memory.
const maxInFlight = 20000

// Runner is a load that runs.
type Runner struct {
	cfg    Config
	http   *http.Client
	clock  *clock.Service
	picker *picker
	tally  *tally
	wg     sync.WaitGroup
}

// Run sends a load and returns what came of it.
func Run(ctx context.Context, cfg Config) Result {
	svc := clock.New()
	defer svc.Stop()
	rn := &Runner{
		cfg: cfg, clock: svc, tally: newTally(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, MaxConnsPerHost: maxInFlight}},
	}
	rn.picker = &picker{cfg: cfg, http: rn.http, clock: svc}
	began := svc.Now()
	rn.fire(ctx)
	rn.wg.Wait()
	return rn.tally.result(svc.Now().Sub(began))
}

// fire starts the requests at their times.
func (rn *Runner) fire(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rn.cfg.Seed, 1))
	at := rn.clock.Now()
	end := at.Add(rn.cfg.For)
	sub := rn.clock.At(at)
	defer sub.Close()
	slots := make(chan struct{}, maxInFlight)
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rnd.ExpFloat64() / rn.cfg.Rate * float64(time.Second)))
		if at >= end || ctx.Err() != nil {
			return
		}
		if at > rn.clock.Now() {
			sub.Reset(at)
			<-sub.C()
		}
		select {
		case slots <- struct{}{}:
		default:
			rn.tally.dropped()
			continue
		}
		s := &shot{Runner: rn, ctx: ctx, n: n, due: at, slots: slots, prefix: rnd.IntN(max(rn.cfg.Prefixes, 1))}
		rn.wg.Add(1)
		go s.run()
	}
}
