package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"verbenadale.example/verbenadale/pkg/ident"
)

// answers draws answers of a route: the logarithm of the length has a deviation of spread, that of
// the declared length of a further deviation of wrong, and an event has five tokens.
func answers(n int, spread, wrong float64, each func(declared ident.Tokens, events float64)) {
	rnd := rand.New(rand.NewPCG(1, uint64(n)))
	for range n {
		events := math.Max(1, math.Round(math.Exp(math.Log(60)+spread*rnd.NormFloat64())))
		each(ident.Tokens(math.Max(1, 5*events*math.Exp(wrong*rnd.NormFloat64()))), events)
	}
}

// meanError returns the mean error of the logarithm of the estimates for further answers.
func meanError(b *Book, spread, wrong float64, declares bool) float64 {
	sum, n := 0.0, 0
	answers(2000, spread, wrong, func(declared ident.Tokens, events float64) {
		if !declares {
			declared = 0
		}
		est, _ := b.Estimate("r", declared)
		sum += math.Abs(math.Log(est.Median()) - math.Log(events))
		n++
	})
	return sum / float64(n)
}

// Guards against an estimate that ignores what a request declares, or trusts it where it is wrong.
func TestDeclaredLengthsAreWeighed(t *testing.T) {
	for name, c := range map[string]struct {
		spread, wrong float64
		gain          float64
	}{
		"route varies, declarations good": {0.9, 0.2, 0.6},
		"route varies, declarations fair": {0.7, 0.5, 0.2},
		"declarations useless":            {0.4, 3, -0.05},
	} {
		b := New()
		answers(3000, c.spread, c.wrong, func(declared ident.Tokens, events float64) { b.Complete("r", declared, events) })
		with, without := meanError(b, c.spread, c.wrong, true), meanError(b, c.spread, c.wrong, false)
		if with > (1-c.gain)*without {
			t.Errorf("%s: mean error %.2f with declared lengths, %.2f without", name, with, without)
		}
	}
}

// Guards against a probability that is not that of the event that it stands for, on which requests
// would be refused or placed.
func TestProbabilitiesAreCalibrated(t *testing.T) {
	b := New()
	answers(3000, 0.7, 0.5, func(declared ident.Tokens, events float64) { b.Complete("r", declared, events) })
	var predicted, actual float64
	answers(4000, 0.7, 0.5, func(declared ident.Tokens, events float64) {
		est, ok := b.Estimate("r", declared)
		if !ok {
			t.Fatal("no estimate")
		}
		predicted += est.Exceeds(90, 0)
		if events > 90 {
			actual++
		}
	})
	if math.Abs(predicted-actual) > 0.15*actual {
		t.Errorf("%.0f answers are predicted to exceed 90 events, %.0f do", predicted, actual)
	}
}

// Guards against an estimate that shrinks to the answers that are short enough to end: those that
// broke off longer than expected must count.
func TestBrokenAnswersCount(t *testing.T) {
	complete, all := New(), New()
	answers(3000, 0.7, 0.5, func(declared ident.Tokens, events float64) {
		const longest = 80
		if events <= longest {
			complete.Complete("r", declared, events)
			all.Complete("r", declared, events)
			return
		}
		all.Broken("r", declared, longest)
	})
	short, _ := complete.Estimate("r", 0)
	long, _ := all.Estimate("r", 0)
	if long.Median() < 1.15*short.Median() {
		t.Errorf("median %.0f with answers that broke off at 80 events, %.0f without them", long.Median(), short.Median())
	}
}

// Guards against values of a route without answers that look like an estimate.
func TestUnknownLength(t *testing.T) {
	b := New()
	est, ok := b.Estimate("r", 100)
	if ok || est.Known() || est.Median() != 0 || est.Remaining(3) != 0 || est.Exceeds(1, 0) != 0 {
		t.Errorf("a route without answers has the estimate %+v, known %v", est, ok)
	}
	b.Complete("r", 0, 40)
	if est, ok := b.Estimate("r", 100); !ok || est.Median() != 40 {
		t.Errorf("after one answer of 40 events the median is %v", est.Median())
	}
	if got := est.Remaining(0); got != 0 {
		t.Errorf("the zero estimate expects %v events", got)
	}
	est, _ = b.Estimate("r", 0)
	if got := est.Remaining(400); got != 100 {
		t.Errorf("an answer of 400 events expects %v more, want a quarter", got)
	}
}

// Guards against statistics that grow with each configuration.
func TestRoutesAreBounded(t *testing.T) {
	b := New()
	for i := range 3 * maxRoutes {
		b.Complete(ident.Profile(rune(i)), 0, 5)
	}
	if len(b.routes) > maxRoutes {
		t.Errorf("%d routes are kept, want at most %d", len(b.routes), maxRoutes)
	}
}
