// Package chart draws what the logs of entry hosts say of a time under load.
//
// # Usage
//
//	before, err := chart.Read(logs, "before", time.Second)
//	err = chart.Goodput("goodput.svg", []chart.Series{before, after})
//	err = chart.Predictions("predictions.svg", []chart.Series{before, after})
//
// The lines are those of package trail. Lines of several hosts may be mixed, and other text may
// stand before or between them. Requests are counted by the clocks of the hosts, which are taken
// to agree.
package chart

import (
	"bufio"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Series is what the logs of one time say.
type Series struct {
	Name    string
	Seconds []Second
	Waits   []Wait
	// Kinds, Refusals and Targets are sorted by name.
	Kinds    []Kind
	Refusals []Refusal
	Targets  []Target
	// LeftOut counts the lines that hosts have left out, so that what is counted is too low.
	LeftOut int
}

// Second counts the requests that came in one second, and those of them whose answer was whole
// and began within the goal.
type Second struct {
	Offered int
	InTime  int
}

// Wait is the predicted time from sending a request to the first byte of its answer, and the
// real one.
type Wait struct {
	Predicted time.Duration
	Real      time.Duration
}

// Kind is what became of the requests of one profile.
type Kind struct {
	Profile string
	Sent    int
	Refused int
	// First and Whole are the times from sending a request to the first and to the last byte of
	// its answer, of the attempts that were answered whole.
	First Quantiles
	Whole Quantiles
}

// Refusal counts the refusals of one code.
type Refusal struct {
	Code  string
	Title string
	Count int
}

// Target is the work that was sent to one target.
type Target struct {
	ID   string
	Sent int
	// Done, Failed and Shed count the attempts that were answered whole, broke off or failed, and
	// were not run.
	Done   int
	Failed int
	Shed   int
	// MostBusy is the largest number of requests that a host believed to be there.
	MostBusy int
}

// Quantiles are quantiles of a time.
type Quantiles struct {
	P50, P95, P99 time.Duration
}

// request is what is known of one request.
type request struct {
	came   time.Time
	inTime bool
}

// attempt names one attempt of a request, by the target that it went to.
type attempt struct{ request, target string }

// reader gathers the lines of a series.
type reader struct {
	goal     time.Duration
	requests map[string]*request
	open     map[attempt]sent
	waits    []Wait
	leftOut  int
	kinds    map[string]*kind
	refusals map[string]*Refusal
	targets  map[string]*Target
}

// sent is an attempt that has not ended.
type sent struct {
	predicted time.Duration
	profile   string
}

// kind gathers the times of a Kind.
type kind struct {
	Kind
	first, whole []time.Duration
}

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Read returns the series of the logs in r. An answer is in time if its first byte came within
// goal of its request.
func Read(r io.Reader, name string, goal time.Duration) (Series, error) {
	rd := &reader{goal: goal, requests: make(map[string]*request), open: make(map[attempt]sent), kinds: make(map[string]*kind), refusals: make(map[string]*Refusal), targets: make(map[string]*Target)}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		rd.line(sc.Text())
	}
	if err := sc.Err(); err != nil {
		return Series{}, errors.Wrap(err, "chart: read "+name)
	}
	if len(rd.requests) == 0 {
		return Series{}, errors.Errorf("chart: %s has no line of a request; log at level 0 or higher", name)
	}
	return Series{
		Name: name, Seconds: rd.seconds(), Waits: rd.waits, LeftOut: rd.leftOut,
		Kinds: rd.sortedKinds(), Refusals: sorted(rd.refusals), Targets: sorted(rd.targets),
	}, nil
}

// line counts one line.
func (rd *reader) line(s string) {
	f := fields(s)
	// Hosts add a suffix of their own to the id of a request.
	f["request"], _, _ = strings.Cut(f["request"], ".")
	if f["msg"] == "decision lines left out" {
		n, _ := strconv.Atoi(f["lines"])
		rd.leftOut += n
		return
	}
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil || f["request"] == "" {
		return
	}
	switch f["msg"] {
	case "sent to a target":
		rd.came(f["request"], at.Add(-millis(f["waitedMs"])))
		rd.sent(f)
	case "passed on":
		rd.came(f["request"], at.Add(-millis(f["waitedMs"])))
	case "refused":
		rd.came(f["request"], at.Add(-millis(f["waitedMs"])))
		entry(rd.refusals, f["code"], Refusal{Code: f["code"], Title: f["title"]}).Count++
		entry(rd.kinds, f["profile"], kind{Kind: Kind{Profile: f["profile"]}}).Refused++
	case "attempt ended":
		rd.ended(f, at)
	}
}

// entry returns the entry of a key, made from first if it is new.
func entry[T any](m map[string]*T, key string, first T) *T {
	v, ok := m[key]
	if !ok {
		v = &first
		m[key] = v
	}
	return v
}

// sorted returns the values of a map by key.
func sorted[T any](m map[string]*T) []T {
	var out []T
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, *m[key])
	}
	return out
}

// sent counts an attempt at a target.
func (rd *reader) sent(f map[string]string) {
	rd.open[attempt{f["request"], f["target"]}] = sent{millis(f["predictedMs"]), f["profile"]}
	entry(rd.kinds, f["profile"], kind{Kind: Kind{Profile: f["profile"]}}).Sent++
	t := entry(rd.targets, f["target"], Target{ID: f["target"]})
	t.Sent++
	busy, _ := strconv.Atoi(f["busy"])
	t.MostBusy = max(t.MostBusy, busy)
}

// came records when a request came, by the first line that names it.
func (rd *reader) came(id string, at time.Time) {
	if _, ok := rd.requests[id]; !ok {
		rd.requests[id] = &request{came: at}
	}
}

// ended counts the end of an attempt at a target.
func (rd *reader) ended(f map[string]string, at time.Time) {
	key := attempt{f["request"], f["target"]}
	s, ok := rd.open[key]
	if !ok {
		return
	}
	delete(rd.open, key)
	t := rd.targets[key.target]
	switch f["result"] {
	case "done":
		t.Done++
	case "notRun":
		t.Shed++
	default:
		t.Failed++
	}
	first, took := millis(f["firstMs"]), millis(f["tookMs"])
	if first < 0 || f["firstMs"] == "" {
		return
	}
	rd.waits = append(rd.waits, Wait{Predicted: s.predicted, Real: first})
	if f["result"] != "done" {
		return
	}
	k := rd.kinds[s.profile]
	k.first, k.whole = append(k.first, first), append(k.whole, took)
	if r := rd.requests[key.request]; at.Add(first-took).Sub(r.came) <= rd.goal {
		r.inTime = true
	}
}

// sortedKinds returns the kinds by profile.
func (rd *reader) sortedKinds() []Kind {
	var out []Kind
	for _, k := range sorted(rd.kinds) {
		k.First, k.Whole = quantiles(k.first), quantiles(k.whole)
		out = append(out, k.Kind)
	}
	return out
}

func quantiles(ds []time.Duration) Quantiles {
	if len(ds) == 0 {
		return Quantiles{}
	}
	slices.Sort(ds)
	at := func(part int) time.Duration { return ds[min(len(ds)-1, len(ds)*part/100)] }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// seconds counts the requests by the second in which they came.
func (rd *reader) seconds() []Second {
	var start time.Time
	for _, r := range rd.requests {
		if start.IsZero() || r.came.Before(start) {
			start = r.came
		}
	}
	var out []Second
	for _, r := range rd.requests {
		i := int(r.came.Sub(start) / time.Second)
		if i >= len(out) {
			out = append(out, make([]Second, i+1-len(out))...)
		}
		out[i].Offered++
		if r.inTime {
			out[i].InTime++
		}
	}
	return out
}

// millis returns a number of milliseconds, zero for none.
func millis(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// fields returns the pairs of a line in logfmt.
func fields(s string) map[string]string {
	f := make(map[string]string)
	for s != "" {
		eq := strings.IndexByte(s, '=')
		if eq < 0 {
			break
		}
		key := s[strings.LastIndexByte(s[:eq], ' ')+1 : eq]
		value, rest := cutValue(s[eq+1:])
		f[key], s = value, rest
	}
	return f
}

// cutValue returns the first value of s, without quotes, and what follows.
func cutValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, s[len(quoted):]
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}

// Step is the share of requests answered in time where about as many were offered.
type Step struct {
	// Offered and InTime are means of the seconds of the step, a second.
	Offered float64
	InTime  float64
}

// steps is how many steps a curve of goodput has at the most.
const steps = 12

// Curve returns the goodput by the offered load, over groups of seconds with about the same load.
func (s Series) Curve() []Step {
	secs := slices.Clone(s.Seconds)
	slices.SortFunc(secs, func(a, b Second) int { return a.Offered - b.Offered })
	size := max(1, (len(secs)+steps-1)/steps)
	var out []Step
	for group := range slices.Chunk(secs, size) {
		var st Step
		for _, sec := range group {
			st.Offered += float64(sec.Offered) / float64(len(group))
			st.InTime += float64(sec.InTime) / float64(len(group))
		}
		out = append(out, st)
	}
	return out
}

// Spread is the real time to a first byte where about the same was predicted.
type Spread struct {
	// Predicted is the middle of the predictions; Median and P90 are quantiles of the real time.
	Predicted time.Duration
	Median    time.Duration
	P90       time.Duration
	Count     int
}

// leastGroup is the least number of attempts that a quantile is taken of.
const leastGroup = 20

// Spreads returns the real times by the predicted ones, in groups of predictions that double.
func (s Series) Spreads() []Spread {
	groups := make(map[int][]Wait)
	for _, w := range s.Waits {
		n := 0
		for b := 50 * time.Millisecond; w.Predicted >= b; b *= 2 {
			n++
		}
		groups[n] = append(groups[n], w)
	}
	var out []Spread
	for _, ws := range groups {
		if len(ws) < leastGroup {
			continue
		}
		slices.SortFunc(ws, func(a, b Wait) int { return int(a.Predicted - b.Predicted) })
		mid := ws[len(ws)/2].Predicted
		slices.SortFunc(ws, func(a, b Wait) int { return int(a.Real - b.Real) })
		out = append(out, Spread{Predicted: mid, Median: ws[len(ws)/2].Real, P90: ws[len(ws)*9/10].Real, Count: len(ws)})
	}
	slices.SortFunc(out, func(a, b Spread) int { return int(a.Predicted - b.Predicted) })
	return out
}
