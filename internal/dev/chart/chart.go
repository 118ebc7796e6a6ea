// Package chart plots and tabulates the decision logs of entry hosts under load.
//
// # Usage
//
//	before, err := chart.Read(logs, "before", time.Second)
//	err = chart.Goodput("goodput.svg", []chart.Series{before, after})
//	err = chart.Predictions("predictions.svg", []chart.Series{before, after})
//
// It reads the lines that package trail writes. Lines of several hosts may be
// interleaved, and other text may precede a line or stand between lines. Requests are
// assigned to seconds by the clocks of the hosts, which are assumed to agree.
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

// Series is the content of the logs of one run.
type Series struct {
	Name        string
	Seconds     []Second
	Predictions []Prediction
	// Profiles, Refusals and Targets are sorted by name.
	Profiles []ProfileStats
	Refusals []Refusal
	Targets  []Target
	// OmittedLines counts the lines that hosts dropped. If it is not zero, other counts may
	// be too low.
	OmittedLines int
}

// Second counts the requests that arrived in one second, and those of them that got a complete
// answer whose first byte came within the goal.
type Second struct {
	Offered int
	InTime  int
}

// Prediction is the predicted and the actual time from sending a request to the first byte of its
// answer.
type Prediction struct {
	Predicted time.Duration
	Actual    time.Duration
}

// ProfileStats summarises the requests of one profile.
type ProfileStats struct {
	Profile string
	// Sent counts the attempts that were sent to a target, Refused the refusals.
	Sent    int
	Refused int
	// FirstByte and Total are the times from sending a request to the first and to the last byte
	// of its answer, over the attempts with a complete answer.
	FirstByte Quantiles
	Total     Quantiles
}

// Refusal is the number of refusals with one code.
type Refusal struct {
	Code  string
	Title string
	Count int
}

// Target counts the attempts that were sent to one target.
type Target struct {
	ID   string
	Sent int
	// Done counts the attempts with a complete answer, Failed those that were aborted or failed,
	// NotRun those that did not run.
	Done   int
	Failed int
	NotRun int
	// MaxBusy is the largest number of requests that a host assumed to be running at the target.
	MaxBusy int
}

// Quantiles are percentiles of a duration.
type Quantiles struct {
	P50, P95, P99 time.Duration
}

// request is the state of one request.
type request struct {
	arrived time.Time
	inTime  bool
}

// attempt identifies an attempt by its request and target.
type attempt struct{ request, target string }

// reader accumulates the lines of a series.
type reader struct {
	goal         time.Duration
	requests     map[string]*request
	inFlight     map[attempt]openAttempt
	predictions  []Prediction
	omittedLines int
	profiles     map[string]*profileTimes
	refusals     map[string]*Refusal
	targets      map[string]*Target
}

// openAttempt is an attempt in flight.
type openAttempt struct {
	predicted time.Duration
	profile   string
}

// profileTimes collects the times behind a ProfileStats.
type profileTimes struct {
	ProfileStats
	firstByte, total []time.Duration
}

// maxLine is the maximum length of a line, in bytes.
const maxLine = 1 << 20

// Read returns the series of the logs in r. An answer is in time if its first byte came within
// goal of the arrival of the request. It is an error if no line belongs to a request.
func Read(r io.Reader, name string, goal time.Duration) (Series, error) {
	rd := &reader{goal: goal, requests: make(map[string]*request), inFlight: make(map[attempt]openAttempt), profiles: make(map[string]*profileTimes), refusals: make(map[string]*Refusal), targets: make(map[string]*Target)}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		rd.addLine(sc.Text())
	}
	if err := sc.Err(); err != nil {
		return Series{}, errors.Wrap(err, "chart: read "+name)
	}
	if len(rd.requests) == 0 {
		return Series{}, errors.Errorf("chart: %s has no line of a request; log at level 0 or higher", name)
	}
	return Series{
		Name: name, Seconds: rd.seconds(), Predictions: rd.predictions, OmittedLines: rd.omittedLines,
		Profiles: rd.sortedProfiles(), Refusals: sorted(rd.refusals), Targets: sorted(rd.targets),
	}, nil
}

func (rd *reader) addLine(s string) {
	f := fields(s)
	// Hosts append a suffix of their own to the id of a request.
	f["request"], _, _ = strings.Cut(f["request"], ".")
	if f["msg"] == "decision lines left out" {
		n, _ := strconv.Atoi(f["lines"])
		rd.omittedLines += n
		return
	}
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil || f["request"] == "" {
		return
	}
	switch f["msg"] {
	case "sent to a target":
		rd.recordArrival(f["request"], at.Add(-millis(f["waitedMs"])))
		rd.recordSent(f)
	case "passed on":
		rd.recordArrival(f["request"], at.Add(-millis(f["waitedMs"])))
	case "refused":
		rd.recordArrival(f["request"], at.Add(-millis(f["waitedMs"])))
		getOrAdd(rd.refusals, f["code"], Refusal{Code: f["code"], Title: f["title"]}).Count++
		getOrAdd(rd.profiles, f["profile"], profileTimes{ProfileStats: ProfileStats{Profile: f["profile"]}}).Refused++
	case "attempt ended":
		rd.recordEnd(f, at)
	}
}

// getOrAdd returns the value of a key, which is added as initial if there is none.
func getOrAdd[T any](m map[string]*T, key string, initial T) *T {
	v, ok := m[key]
	if !ok {
		v = &initial
		m[key] = v
	}
	return v
}

// sorted returns the values of a map in the order of the keys.
func sorted[T any](m map[string]*T) []T {
	var out []T
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, *m[key])
	}
	return out
}

// recordSent counts an attempt that was sent to a target.
func (rd *reader) recordSent(f map[string]string) {
	rd.inFlight[attempt{f["request"], f["target"]}] = openAttempt{millis(f["predictedMs"]), f["profile"]}
	getOrAdd(rd.profiles, f["profile"], profileTimes{ProfileStats: ProfileStats{Profile: f["profile"]}}).Sent++
	t := getOrAdd(rd.targets, f["target"], Target{ID: f["target"]})
	t.Sent++
	busy, _ := strconv.Atoi(f["busy"])
	t.MaxBusy = max(t.MaxBusy, busy)
}

// recordArrival records the arrival of a request, from the first line that names it.
func (rd *reader) recordArrival(id string, at time.Time) {
	if _, ok := rd.requests[id]; !ok {
		rd.requests[id] = &request{arrived: at}
	}
}

// recordEnd counts the result of an attempt and records its times.
func (rd *reader) recordEnd(f map[string]string, at time.Time) {
	key := attempt{f["request"], f["target"]}
	s, ok := rd.inFlight[key]
	if !ok {
		return
	}
	delete(rd.inFlight, key)
	t := rd.targets[key.target]
	switch f["result"] {
	case "done":
		t.Done++
	case "notRun":
		t.NotRun++
	default:
		t.Failed++
	}
	first, took := millis(f["firstMs"]), millis(f["tookMs"])
	if first < 0 || f["firstMs"] == "" {
		return
	}
	rd.predictions = append(rd.predictions, Prediction{Predicted: s.predicted, Actual: first})
	if f["result"] != "done" {
		return
	}
	k := rd.profiles[s.profile]
	k.firstByte, k.total = append(k.firstByte, first), append(k.total, took)
	if r := rd.requests[key.request]; at.Add(first-took).Sub(r.arrived) <= rd.goal {
		r.inTime = true
	}
}

// sortedProfiles returns the statistics in the order of the profiles.
func (rd *reader) sortedProfiles() []ProfileStats {
	var out []ProfileStats
	for _, k := range sorted(rd.profiles) {
		k.FirstByte, k.Total = quantiles(k.firstByte), quantiles(k.total)
		out = append(out, k.ProfileStats)
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

// seconds counts the requests by the second of their arrival.
func (rd *reader) seconds() []Second {
	var start time.Time
	for _, r := range rd.requests {
		if start.IsZero() || r.arrived.Before(start) {
			start = r.arrived
		}
	}
	var out []Second
	for _, r := range rd.requests {
		i := int(r.arrived.Sub(start) / time.Second)
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

// millis parses a number of milliseconds; zero if s is not a number.
func millis(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// fields parses the pairs of a logfmt line.
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

// cutValue returns the first value of s, unquoted, and the rest of s.
func cutValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, s[len(quoted):]
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}

// Step is one point of the goodput curve: a group of seconds with about the same offered load.
type Step struct {
	// Offered and InTime are means over the seconds of the group, in requests per second.
	Offered float64
	InTime  float64
}

// maxSteps is the maximum number of points of a goodput curve.
const maxSteps = 12

// Curve returns the goodput by offered load, over groups of seconds with about the same load.
func (s Series) Curve() []Step {
	secs := slices.Clone(s.Seconds)
	slices.SortFunc(secs, func(a, b Second) int { return a.Offered - b.Offered })
	size := max(1, (len(secs)+maxSteps-1)/maxSteps)
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

// Spread is the distribution of the actual time to the first byte over attempts with about the
// same prediction.
type Spread struct {
	// Predicted is the median of the predictions; Median and P90 are quantiles of the actual
	// time.
	Predicted time.Duration
	Median    time.Duration
	P90       time.Duration
	Count     int
}

// minGroupSize is the smallest number of attempts from which quantiles are computed.
const minGroupSize = 20

// Spreads returns the actual times by predicted time, in groups whose bounds double. Groups of
// fewer than minGroupSize attempts are omitted.
func (s Series) Spreads() []Spread {
	groups := make(map[int][]Prediction)
	for _, p := range s.Predictions {
		n := 0
		for b := 50 * time.Millisecond; p.Predicted >= b; b *= 2 {
			n++
		}
		groups[n] = append(groups[n], p)
	}
	var out []Spread
	for _, group := range groups {
		if len(group) < minGroupSize {
			continue
		}
		slices.SortFunc(group, func(a, b Prediction) int { return int(a.Predicted - b.Predicted) })
		predicted := group[len(group)/2].Predicted
		slices.SortFunc(group, func(a, b Prediction) int { return int(a.Actual - b.Actual) })
		out = append(out, Spread{Predicted: predicted, Median: group[len(group)/2].Actual, P90: group[len(group)*9/10].Actual, Count: len(group)})
	}
	slices.SortFunc(out, func(a, b Spread) int { return int(a.Predicted - b.Predicted) })
	return out
}
