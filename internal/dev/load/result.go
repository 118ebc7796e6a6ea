package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is what came of one request.
type outcome struct {
	// kind is done, refused, cut, wrong or error; code says more.
	kind  string
	code  string
	first time.Duration
	total time.Duration
	gaps  []time.Duration
	later time.Duration
	// moved says that a refusal named other hosts, which is followed.
	moved  bool
	inTime bool
}

// Quantiles are the quantiles of a latency in milliseconds.
type Quantiles struct {
	P50Ms  float64 `json:"p50Ms"`
	P95Ms  float64 `json:"p95Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
}

// Result is what came of a load.
type Result struct {
	// Requests counts all; Done those answered whole and rightly, InTime those
	// of them within the deadline.
	Requests int `json:"requests"`
	Done     int `json:"done"`
	InTime   int `json:"inTime"`
	// Wrong counts whole answers with another text, Cut those that broke off.
	Wrong   int            `json:"wrong"`
	Cut     int            `json:"cut"`
	Errors  int            `json:"errors"`
	Dropped int            `json:"dropped"`
	Refused map[string]int `json:"refused"`
	// Retries counts the requests sent again after Retry-After.
	Retries    int       `json:"retries"`
	FirstToken Quantiles `json:"firstToken"`
	Total      Quantiles `json:"total"`
	Between    Quantiles `json:"between"`
	// RefusedIn is how long a refusal took.
	RefusedIn Quantiles `json:"refusedIn"`
	// Goodput is answers in time a second.
	Goodput float64 `json:"goodput"`
	Seconds float64 `json:"seconds"`
}

// tally adds outcomes up.
type tally struct {
	mu                            sync.Mutex
	res                           Result
	first, total, between, refuse *hdrhistogram.Histogram
}

// Range and precision of the histograms, in microseconds.
const (
	lowest    = 1
	highest   = int64(10 * time.Minute / time.Microsecond)
	precision = 3
)

func newTally() *tally {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, precision) }
	return &tally{
		res: Result{Refused: make(map[string]int)}, first: hist(), total: hist(), between: hist(), refuse: hist(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(min(d.Microseconds(), highest), lowest))
}

func (t *tally) dropped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Requests++
	t.res.Dropped++
}

func (t *tally) again(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Retries++
	record(t.refuse, o.total)
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Requests++
	switch o.kind {
	case "done":
		t.res.Done++
		if o.inTime {
			t.res.InTime++
		}
		record(t.first, o.first)
		record(t.total, o.total)
		for _, g := range o.gaps {
			record(t.between, g)
		}
	case "refused":
		t.res.Refused[o.code]++
		record(t.refuse, o.total)
	case "wrong":
		t.res.Wrong++
	case "cut":
		t.res.Cut++
	default:
		t.res.Errors++
	}
}

func (t *tally) result(took time.Duration) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	res := t.res
	res.FirstToken = quantiles(t.first)
	res.Total = quantiles(t.total)
	res.Between = quantiles(t.between)
	res.RefusedIn = quantiles(t.refuse)
	res.Seconds = took.Seconds()
	res.Goodput = float64(res.InTime) / took.Seconds()
	return res
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50Ms: ms(50), P95Ms: ms(95), P99Ms: ms(99), P999Ms: ms(99.9), MaxMs: float64(h.Max()) / 1000}
}
