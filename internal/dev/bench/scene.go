package bench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/dev/load"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// centre is one data centre: its engines and the price of a slot-second there.
type centre struct {
	place   event.Place
	engines int
	slots   int
	price   float64
}

// shape describes a deployment.
type shape struct {
	centres []centre
	weights rules.Weights
}

// Parameters of the engines of all deployments, before Scale.
const (
	slots       = 6
	tokenTime   = 6 * time.Millisecond
	prefillRate = 20000
	cacheBlocks = 200
	loadLag     = 300 * time.Millisecond
	cacheLag    = 200 * time.Millisecond
	cacheGap    = 50
)

// Parameters of the requests. A prompt has about a thousand tokens; three quarters of it is one
// of sharedPrefixes shared prefixes.
const (
	answerTokens    = 32
	promptBytes     = 4000
	sharedPrefixes  = 30
	requestDeadline = 3 * time.Second
	// engineRate is about the requests per second that an engine answers if it finds a quarter
	// of the prompts in its cache, by the parameters above: six at once, each with 192 ms of
	// decode steps and 210 ms for the prefill of all six. With a cold cache the rate is 12, with
	// a warm one 22.
	engineRate = 15
)

func placeOf(name string) event.Place {
	return event.Place{DataCentre: ident.DataCentre(name), Region: ident.Region(name)}
}

// deployments are the sizes and weights of the two users. The Foundation weighs cost and
// forwarded requests more, Clydeside a short tail.
var deployments = map[string]shape{
	"foundation": {
		centres: []centre{
			{placeOf("ulaanbaatar"), 4, slots, 1},
			{placeOf("erdenet"), 3, slots, 0.8},
			{placeOf("khovd"), 3, slots, 1.3},
		},
		weights: rules.Weights{Tail: 1, Cost: 0.5, Crossing: 0.3},
	},
	"clydeside": {
		centres: []centre{
			{placeOf("west"), 3, slots, 1},
			{placeOf("east"), 3, slots, 1.2},
			{placeOf("north"), 3, slots, 0.9},
		},
		weights: rules.Weights{Tail: 2, Cost: 0.1, Crossing: 0.02},
	},
}

type scenario struct {
	// offered is the load of each data centre as a fraction of the capacity of its engines
	// without faults.
	offered []float64
	// centres, if set, limits the number of data centres.
	centres int
	// reduced leaves the first data centre about a tenth of its capacity.
	reduced bool
	// homeOnlyRatio is the share of requests that may not leave their region.
	homeOnlyRatio float64
	// fault is injected into the first data centre during the second quarter of a load.
	fault fault
	// extraDelay is added to settleDelay before each load, for faults whose effects last.
	extraDelay time.Duration
	// retry makes callers send a refused request again after its Retry-After.
	retry bool
}

var scenarios = map[string]scenario{
	"steady": {offered: []float64{0.6, 0.6, 0.6}},
	"peak":   {offered: []float64{1.4, 0.3, 0.3}},
	"tenth":  {offered: []float64{0.5, 0.4, 0.4}, reduced: true},
	"bound":  {offered: []float64{1.3, 0.4, 0.4}, homeOnlyRatio: 0.11},
	"heal":   {offered: []float64{0.6, 0.4, 0.4}, fault: faultRestart, extraDelay: 4 * time.Second},
	"links":  {offered: []float64{1.4, 0.3, 0.3}, fault: faultLinks, extraDelay: 4 * time.Second},
	"storm":  {offered: []float64{0.6, 0.4, 0.4}, fault: faultErrors, extraDelay: 8 * time.Second},
	"over1":  {offered: []float64{1}, centres: 1},
	"over2":  {offered: []float64{2}, centres: 1},
	"over10": {offered: []float64{10}, centres: 1},
	"retry2": {offered: []float64{2}, centres: 1, retry: true},
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Deployments returns the names of the deployments.
func Deployments() []string { return slices.Sorted(maps.Keys(deployments)) }

// shape returns the deployment as this scenario changes it.
func (sc scenario) shape(dep shape) shape {
	dep.centres = slices.Clone(dep.centres)
	if sc.centres > 0 {
		dep.centres = dep.centres[:sc.centres]
	}
	if sc.reduced {
		dep.centres[0].engines = 1
		dep.centres[0].slots = 2
	}
	return dep
}

// loads returns the loads of one measurement: one for each data centre, and one more for its
// requests that may not leave their region, if the scenario has any.
func (b *bench) loads(policy string, round int, duration time.Duration) []load.Config {
	var cfgs []load.Config
	dep := deployments[b.cfg.Deployment]
	for i, s := range b.fleet.sites {
		rate := b.scenario.offered[i] * float64(dep.centres[i].engines) * engineRate / b.cfg.Scale
		cfg := load.Config{
			Entries: s.callerURLs(), Key: s.key(), Profile: profileAnywhere, Rate: rate * (1 - b.scenario.homeOnlyRatio), Duration: duration,
			AnswerTokens: answerTokens, PromptBytes: promptBytes, Prefixes: sharedPrefixes, Stream: true,
			Deadline: time.Duration(float64(requestDeadline) * b.cfg.Scale),
			Seed:     b.cfg.Seed + uint64(1000*round+10*i), Retry: b.scenario.retry,
			Salt: fmt.Sprintf(" %s %d %s", policy, round, s.place.DataCentre),
		}
		cfgs = append(cfgs, cfg)
		if b.scenario.homeOnlyRatio > 0 {
			cfg.Profile, cfg.Rate = profileHomeOnly, rate*b.scenario.homeOnlyRatio
			cfg.Seed++
			cfgs = append(cfgs, cfg)
		}
	}
	return cfgs
}
