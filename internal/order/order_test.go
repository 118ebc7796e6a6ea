package order

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/ident"
)

func TestLevelDependsOnLengthThenUrgency(t *testing.T) {
	var got []int
	for _, prefill := range []ident.Tokens{0, maxShort, maxShort + 1, maxMedium, maxMedium + 1, 1 << 20} {
		for _, urgency := range []int{MaxLevel, MaxLevel - 1, 0, -3, MaxLevel + 2} {
			got = append(got, Level(urgency, prefill))
		}
	}
	want := []int{
		9, 8, 7, 7, 9, 9, 8, 7, 7, 9,
		6, 5, 4, 4, 6, 6, 5, 4, 4, 6,
		3, 2, 1, 1, 3, 3, 2, 1, 1, 3,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("levels (-want +got):\n%s", diff)
	}
}

// job is a prompt at the simulated engine.
type job struct {
	at        time.Duration
	remaining float64
	level     int
	long      bool
	// prefilledAt is when the last token of the prompt was prefilled.
	prefilledAt time.Duration
}

// Parameters of the simulated engine.
const (
	// tokensPerMs is the engine's prefill rate, chunkTokens what it prefills in one step.
	tokensPerMs = 70.0
	chunkTokens = 1024.0
	// goal is the goal of short and long prompts.
	goal = time.Second
	// arrivalSpan is how long prompts arrive.
	arrivalSpan = 120 * time.Second
)

// simulate simulates an engine that prefills prompts by level, in order of arrival within a level.
// It returns the fractions of short and of long prompts whose prefill ended within the goal.
func simulate(load float64, level func(long bool, prefill ident.Tokens) int) (short, long float64) {
	rnd := rand.New(rand.NewPCG(7, 11))
	var jobs []*job
	const meanShort, meanLong, longRatio = 1800, 6600, 0.2
	meanTokens := (1-longRatio)*meanShort + longRatio*meanLong
	for at := time.Duration(0); at < arrivalSpan; {
		at += time.Duration(rnd.ExpFloat64() * meanTokens / (tokensPerMs * load) * float64(time.Millisecond))
		j := &job{at: at, long: rnd.Float64() < longRatio}
		mean := float64(meanShort)
		if j.long {
			mean = meanLong
		}
		const spread = 1.2
		j.remaining = min(mean*math.Exp(spread*rnd.NormFloat64()-spread*spread/2), 50000)
		j.level = level(j.long, ident.Tokens(j.remaining))
		jobs = append(jobs, j)
	}
	var waiting []*job
	now, next := time.Duration(0), 0
	for next < len(jobs) || len(waiting) > 0 {
		for next < len(jobs) && jobs[next].at <= now {
			waiting = append(waiting, jobs[next])
			next++
		}
		if len(waiting) == 0 {
			now = jobs[next].at
			continue
		}
		best := slices.IndexFunc(waiting, func(j *job) bool {
			return !slices.ContainsFunc(waiting, func(o *job) bool { return o.level > j.level })
		})
		j := waiting[best]
		n := min(chunkTokens, j.remaining)
		j.remaining -= n
		now += time.Duration(n / tokensPerMs * float64(time.Millisecond))
		if j.remaining <= 0 {
			j.prefilledAt = now
			waiting = slices.Delete(waiting, best, best+1)
		}
	}
	return fractionInTime(jobs, false), fractionInTime(jobs, true)
}

func fractionInTime(jobs []*job, long bool) float64 {
	n, all := 0, 0
	for _, j := range jobs {
		if j.long != long {
			continue
		}
		all++
		if j.prefilledAt-j.at <= goal {
			n++
		}
	}
	return float64(n) / float64(all)
}

// Guards against ordering by urgency alone, where a long prompt with little left to prefill waits
// behind all short prompts of a more urgent profile.
func TestLongPromptsAreNotAllLast(t *testing.T) {
	byUrgency := func(long bool, _ ident.Tokens) int {
		if long {
			return MaxLevel - 1
		}
		return MaxLevel
	}
	byLength := func(long bool, prefill ident.Tokens) int { return Level(byUrgency(long, prefill), prefill) }
	for _, load := range []float64{0.7, 0.9, 0.97} {
		s0, l0 := simulate(load, byUrgency)
		s1, l1 := simulate(load, byLength)
		t.Logf("load %.2f: fractions in time by urgency: short %.3f, long %.3f; by length: short %.3f, long %.3f", load, s0, l0, s1, l1)
		if l1 < l0 {
			t.Errorf("load %.2f: %.3f of long prompts are prefilled in time, by urgency alone %.3f", load, l1, l0)
		}
		if s1 < s0-0.05 {
			t.Errorf("load %.2f: %.3f of short prompts are prefilled in time, by urgency alone %.3f", load, s1, s0)
		}
	}
}
