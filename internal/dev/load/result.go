package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the result of one attempt of a request.
type outcome struct {
	// kind is done, refused, cut, wrong or error. code is the code of a refusal or the cause of
	// an error.
	kind       string
	code       string
	firstToken time.Duration
	total      time.Duration
	gaps       []time.Duration
	retryAfter time.Duration
	// redirected is set if the refusal named other hosts and FollowEntries is set.
	redirected bool
	inTime     bool
}

// Quantiles are percentiles of a latency in milliseconds.
type Quantiles struct {
	P50Ms  float64 `json:"p50Ms"`
	P95Ms  float64 `json:"p95Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
}

// Result is the result of a load.
type Result struct {
	// Requests counts all requests, Done those with a complete and correct answer, InTime those
	// of them answered within the deadline.
	Requests int `json:"requests"`
	Done     int `json:"done"`
	InTime   int `json:"inTime"`
	// Wrong counts complete answers with a wrong text, Cut those that ended early.
	Wrong   int            `json:"wrong"`
	Cut     int            `json:"cut"`
	Errors  int            `json:"errors"`
	Dropped int            `json:"dropped"`
	Refused map[string]int `json:"refused"`
	// Retries counts the requests that were sent again after Retry-After or to the hosts that a
	// refusal named.
	Retries    int       `json:"retries"`
	FirstToken Quantiles `json:"firstToken"`
	Total      Quantiles `json:"total"`
	TokenGap   Quantiles `json:"between"`
	// RefusalTime is the time from the due time of a request to its refusal.
	RefusalTime Quantiles `json:"refusedIn"`
	// Goodput is in-time answers per second.
	Goodput float64 `json:"goodput"`
	Seconds float64 `json:"seconds"`
}

// tally accumulates outcomes.
type tally struct {
	mu                                       sync.Mutex
	res                                      Result
	firstToken, total, tokenGap, refusalTime *hdrhistogram.Histogram
}

// Range in microseconds, and precision, of the histograms.
const (
	minMicros          = 1
	maxMicros          = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

func newTally() *tally {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantFigures) }
	return &tally{
		res: Result{Refused: make(map[string]int)}, firstToken: hist(), total: hist(), tokenGap: hist(), refusalTime: hist(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(min(d.Microseconds(), maxMicros), minMicros))
}

func (t *tally) addDropped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Requests++
	t.res.Dropped++
}

func (t *tally) addRetry(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Retries++
	record(t.refusalTime, o.total)
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
		record(t.firstToken, o.firstToken)
		record(t.total, o.total)
		for _, g := range o.gaps {
			record(t.tokenGap, g)
		}
	case "refused":
		t.res.Refused[o.code]++
		record(t.refusalTime, o.total)
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
	res.FirstToken = quantiles(t.firstToken)
	res.Total = quantiles(t.total)
	res.TokenGap = quantiles(t.tokenGap)
	res.RefusalTime = quantiles(t.refusalTime)
	res.Seconds = took.Seconds()
	res.Goodput = float64(res.InTime) / took.Seconds()
	return res
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50Ms: ms(50), P95Ms: ms(95), P99Ms: ms(99), P999Ms: ms(99.9), MaxMs: float64(h.Max()) / 1000}
}
