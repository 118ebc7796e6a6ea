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
	// Prefixes is the number of different prefixes that prompts share;
	// zero makes every prompt new.
	Prefixes int
	// Salt distinguishes the prefixes of one load from those of another, so that
	// neither finds in a cache what the other left there.
	Salt     string
	Stream   bool
	Deadline time.Duration
	Seed     uint64
	// Retry sends a refused request again after its Retry-After.
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
	ctx    context.Context
	loads  *sync.WaitGroup
	wg     sync.WaitGroup
}

// Run sends loads at the same time and returns what came of all of them.
func Run(ctx context.Context, cfgs ...Config) Result {
	svc := clock.New()
	defer svc.Stop()
	tl := newTally()
	tr := &http.Transport{MaxIdleConnsPerHost: maxInFlight, MaxConnsPerHost: maxInFlight}
	defer tr.CloseIdleConnections()
	began := svc.Now()
	var loads sync.WaitGroup
	for _, cfg := range cfgs {
		rn := &Runner{cfg: cfg, clock: svc, tally: tl, ctx: ctx, loads: &loads, http: &http.Client{Transport: tr}}
		rn.picker = &picker{cfg: cfg, http: rn.http, clock: svc}
		loads.Add(1)
		go rn.run()
	}
	loads.Wait()
	return tl.result(svc.Now().Sub(began))
}

func (rn *Runner) run() {
	defer rn.loads.Done()
	rn.fire(rn.ctx)
	rn.wg.Wait()
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
