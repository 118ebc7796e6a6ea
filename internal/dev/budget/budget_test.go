package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/ident"
)

// burst returns n requests at a moment that arrive twice each, the second time after a delay.
func burst(at, delay time.Duration, n int) (requests []time.Duration, arrivals []Arrival) {
	for i := range n {
		id := ident.RequestID(fmt.Sprint(at, "-", i))
		requests = append(requests, at)
		arrivals = append(arrivals, Arrival{At: at, Request: id}, Arrival{At: at + delay, Request: id})
	}
	return requests, arrivals
}

// Guards against a check that misses an excess in a window between two whole ones, or that reports what the requests of
// an earlier window allow.
func TestWorstWindow(t *testing.T) {
	rule := Rule{Ratio: 0.5, Floor: 2, Window: 10 * time.Second}
	type result struct {
		Repeats int
		Allowed float64
		Broken  bool
	}
	cases := map[string]struct {
		bursts [][3]time.Duration // time, delay, number
		want   result
	}{
		"none":                        {nil, result{0, 2, false}},
		"within the floor":            {[][3]time.Duration{{0, time.Second, 2}}, result{2, 3, false}},
		"requests of a window before": {[][3]time.Duration{{0, 9 * time.Second, 4}}, result{4, 4, false}},
		"requests too long before":    {[][3]time.Duration{{0, 25 * time.Second, 4}}, result{4, 2, true}},
		"two bursts 9.9 s apart":      {[][3]time.Duration{{0, 0, 4}, {9900 * time.Millisecond, 0, 4}}, result{8, 6, true}},
		"two bursts ten s apart":      {[][3]time.Duration{{0, 0, 3}, {10 * time.Second, 0, 3}}, result{3, 3.5, false}},
		"refused and sent elsewhere":  {[][3]time.Duration{{0, 0, 6}}, result{6, 5, true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var requests []time.Duration
			var arrivals []Arrival
			for _, b := range c.bursts {
				rs, as := burst(b[0], b[1], int(b[2]))
				requests, arrivals = append(requests, rs...), append(arrivals, as...)
			}
			w := rule.Worst(requests, arrivals)
			if diff := cmp.Diff(c.want, result{w.Repeats, w.Allowed, w.Broken()}); diff != "" {
				t.Errorf("%v (-want +got):\n%s", w, diff)
			}
		})
	}
}
