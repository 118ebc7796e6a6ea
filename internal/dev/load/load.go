// Package load sends an open-loop load to entry hosts and checks every answer.
//
// # Usage
//
//	res := load.Run(ctx, load.Config{Entries: []string{url}, Key: "k", Profile: "draft", Rate: 100, Duration: 10 * time.Second})
//	fmt.Println(res.FirstToken.P99Ms)
//
// Requests start at times drawn beforehand, whether or not earlier ones have
// ended, and every latency is measured from the time drawn. A closed-loop load would
// slow down with the system and hide the tail that it is meant to show.
//
// The answer of the fake engine depends on the prompt alone, so each answer is
// checked to be complete and to belong to its prompt.
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
	// Entries are the base URLs of entry hosts. With FollowEntries, they are only asked which
	// hosts to use.
	Entries       []string
	FollowEntries bool
	Key           string
	Profile       ident.Profile
	// Rate is in requests per second, Duration is the length of the load.
	Rate     float64
	Duration time.Duration
	// AnswerTokens is the length of an answer in tokens, PromptBytes that of a prompt in bytes.
	AnswerTokens int
	PromptBytes  int
	// Prefixes is the number of distinct prefixes that prompts share. Zero makes every prompt
	// unique.
	Prefixes int
	// Salt distinguishes the prefixes of one load from those of another, so that no load finds
	// prompts of another in a cache.
	Salt     string
	Stream   bool
	Deadline time.Duration
	Seed     uint64
	// Retry sends a refused request again after its Retry-After, if that is before the deadline.
	Retry bool
}

// maxInFlight limits the concurrent requests, so that an excessive load is reported as dropped
// requests instead of exhausting the memory of the machine.
const maxInFlight = 20000

// Runner runs one load.
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

// Run runs loads concurrently and returns their combined result.
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
	rn.startRequests(rn.ctx)
	rn.wg.Wait()
}

// startRequests starts each request at its drawn time.
func (rn *Runner) startRequests(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rn.cfg.Seed, 1))
	at := rn.clock.Now()
	end := at.Add(rn.cfg.Duration)
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
			rn.tally.addDropped()
			continue
		}
		s := &request{Runner: rn, ctx: ctx, n: n, due: at, slots: slots, prefixIndex: rnd.IntN(max(rn.cfg.Prefixes, 1))}
		rn.wg.Add(1)
		go s.run()
	}
}
