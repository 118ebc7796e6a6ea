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

// centre is one data centre: its engines and what a second of a slot costs
// there.
type centre struct {
	place   event.Place
	engines int
	slots   int
	price   float64
}

// shape is a whole system.
type shape struct {
	centres []centre
	weights rules.Weights
}

// The engines of all deployments, before the scale.
const (
	slots       = 6
	tokenTime   = 6 * time.Millisecond
	prefillRate = 20000
	cacheBlocks = 200
	loadLag     = 300 * time.Millisecond
	cacheLag    = 200 * time.Millisecond
	cacheGap    = 50
)

// The requests: about a thousand tokens of prompt, three quarters of which are
// shared with one request in families.
const (
	answerTokens = 32
	promptBytes  = 4000
	families     = 30
	deadline     = 3 * time.Second
	// engineRate is about the requests a second that an engine answers when it
	// finds a quarter of the prompts in its cache, by its times above: six at
	// once, each in 192 ms of steps and 210 ms of the prefill of all six. With
	// a cold cache it is 12, with a warm one 22.
	engineRate = 15
)

func placeOf(name string) event.Place {
	return event.Place{DataCentre: ident.DataCentre(name), Region: ident.Region(name)}
}

// deployments are the two users' sizes and weights. The Foundation gives more
// for less cost and fewer requests sent away, Clydeside for a shorter tail.
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

// scene is one scenario.
type scene struct {
	// offered is the load of each data centre as a part of what its engines
	// can do when all are whole.
	offered []float64
	// only, where set, is the number of data centres.
	only int
	// tenth says that the first data centre has a tenth of its capacity.
	tenth bool
	// bound is the share of requests that may not leave their region.
	bound float64
	// harm is done to the first data centre in the second quarter of a load.
	harm harm
	// pause is the time between two loads on top of the usual.
	pause time.Duration
	// retry has callers come back when the refusal says so.
	retry bool
}

// scenes are the scenarios by name.
var scenes = map[string]scene{
	"steady": {offered: []float64{0.6, 0.6, 0.6}},
	"peak":   {offered: []float64{1.4, 0.3, 0.3}},
	"tenth":  {offered: []float64{0.5, 0.4, 0.4}, tenth: true},
	"bound":  {offered: []float64{1.3, 0.4, 0.4}, bound: 0.11},
	"heal":   {offered: []float64{0.6, 0.4, 0.4}, harm: harmRestart, pause: 4 * time.Second},
	"links":  {offered: []float64{1.4, 0.3, 0.3}, harm: harmLinks, pause: 4 * time.Second},
	"storm":  {offered: []float64{0.6, 0.4, 0.4}, harm: harmErrors, pause: 8 * time.Second},
	"over1":  {offered: []float64{1}, only: 1},
	"over2":  {offered: []float64{2}, only: 1},
	"over10": {offered: []float64{10}, only: 1},
	"retry2": {offered: []float64{2}, only: 1, retry: true},
}

// Scenes returns the names of the scenarios.
func Scenes() []string { return slices.Sorted(maps.Keys(scenes)) }

// Deployments returns the names of the deployments.
func Deployments() []string { return slices.Sorted(maps.Keys(deployments)) }

// shape returns the system of a deployment in this scenario.
func (sc scene) shape(dep shape) shape {
	dep.centres = slices.Clone(dep.centres)
	if sc.only > 0 {
		dep.centres = dep.centres[:sc.only]
	}
	if sc.tenth {
		dep.centres[0].engines = 1
		dep.centres[0].slots = 2
	}
	return dep
}

// loads returns the loads of one turn, one for each data centre and one more
// for what is bound to it.
func (b *bench) loads(policy string, round int, long time.Duration) []load.Config {
	var cfgs []load.Config
	dep := deployments[b.cfg.Deployment]
	for i, s := range b.fleet.sites {
		rate := b.scene.offered[i] * float64(dep.centres[i].engines) * engineRate / b.cfg.Scale
		cfg := load.Config{
			Entries: s.callers(), Key: s.key(), Profile: profileFree, Rate: rate * (1 - b.scene.bound), For: long,
			Tokens: answerTokens, Prompt: promptBytes, Prefixes: families, Stream: true,
			Deadline: time.Duration(float64(deadline) * b.cfg.Scale),
			Seed:     b.cfg.Seed + uint64(1000*round+10*i), Retry: b.scene.retry,
			Salt: fmt.Sprintf(" %s %d %s", policy, round, s.place.DataCentre),
		}
		cfgs = append(cfgs, cfg)
		if b.scene.bound > 0 {
			cfg.Profile, cfg.Rate = profileBound, rate*b.scene.bound
			cfg.Seed++
			cfgs = append(cfgs, cfg)
		}
	}
	return cfgs
}
