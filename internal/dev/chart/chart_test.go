package chart

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

func readLog(t *testing.T) Series {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", "hosts.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Read(f, "day", 300*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against wrong counts of requests that were forwarded or sent more than once: each
// counts once, and is in time if one of its attempts is.
func TestReadCountsEachRequestOnce(t *testing.T) {
	got := readLog(t)
	ms := time.Millisecond
	want := Series{
		Name:        "day",
		Seconds:     []Second{{Offered: 3, InTime: 1}, {Offered: 2, InTime: 1}},
		Predictions: []Prediction{{40 * ms, 30 * ms}, {60 * ms, 500 * ms}, {0, 20 * ms}, {0, 50 * ms}},
		Profiles: []ProfileStats{
			{Profile: "book", Sent: 2, FirstByte: Quantiles{500 * ms, 500 * ms, 500 * ms}, Total: Quantiles{550 * ms, 550 * ms, 550 * ms}},
			{Profile: "draft", Sent: 3, Refused: 1, FirstByte: Quantiles{50 * ms, 50 * ms, 50 * ms}, Total: Quantiles{100 * ms, 100 * ms, 100 * ms}},
		},
		Refusals:     []Refusal{{Code: "VB1009", Title: "no room, a=b", Count: 1}},
		Targets:      []Target{{ID: "t1", Sent: 3, Done: 1, Failed: 1, NotRun: 1, MaxBusy: 2}, {ID: "t2", Sent: 2, Done: 2, MaxBusy: 4}},
		OmittedLines: 7,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("series (-want +got):\n%s", diff)
	}
}

// Guards against an empty plot, instead of an error, from a log without requests.
func TestLogWithoutRequestsIsAnError(t *testing.T) {
	if _, err := Read(strings.NewReader("msg=serving\n"), "day", time.Second); err == nil {
		t.Error("no error")
	}
}

// Guards against a mean over seconds of low and high load, which would hide that goodput falls
// under overload.
func TestCurveGroupsByOfferedLoad(t *testing.T) {
	var s Series
	for range maxSteps {
		s.Seconds = append(s.Seconds, Second{Offered: 100, InTime: 90}, Second{Offered: 500, InTime: 40})
	}
	c := s.Curve()
	if diff := cmp.Diff([]Step{{100, 90}, {500, 40}}, []Step{c[0], c[len(c)-1]}); diff != "" {
		t.Errorf("first and last step (-want +got):\n%s", diff)
	}
}

// Guards against quantiles of too few attempts, which mean nothing.
func TestSpreadsLeaveOutSmallGroups(t *testing.T) {
	var s Series
	for i := range minGroupSize {
		s.Predictions = append(s.Predictions, Prediction{Predicted: 60 * time.Millisecond, Actual: time.Duration(i) * time.Millisecond})
	}
	s.Predictions = append(s.Predictions, Prediction{Predicted: 3 * time.Second, Actual: time.Second})
	want := []Spread{{Predicted: 60 * time.Millisecond, Median: 10 * time.Millisecond, P90: 18 * time.Millisecond, Count: minGroupSize}}
	if diff := cmp.Diff(want, s.Spreads()); diff != "" {
		t.Errorf("spreads (-want +got):\n%s", diff)
	}
}

func TestPlotsAreDrawn(t *testing.T) {
	var s Series
	s.Name = "day"
	for i := range 30 {
		s.Seconds = append(s.Seconds, Second{Offered: 100 + i, InTime: 90})
		s.Predictions = append(s.Predictions, Prediction{Predicted: 60 * time.Millisecond, Actual: 70 * time.Millisecond})
	}
	dir := t.TempDir()
	for name, draw := range map[string]func(string, []Series) error{"a.svg": Goodput, "b.svg": Predictions} {
		file := filepath.Join(dir, name)
		if err := draw(file, []Series{s}); err != nil {
			t.Fatal(err)
		}
		if b, err := os.ReadFile(file); err != nil || !bytes.Contains(b, []byte("day")) {
			t.Errorf("%s does not name the series: %v", name, err)
		}
		if err := draw(file, nil); err == nil {
			t.Errorf("%s of nothing is drawn", name)
		}
	}
}

// Guards against unescaped names of series in the page, and against an error from a log that is
// too small for a plot.
func TestPageOfASmallLog(t *testing.T) {
	s := readLog(t)
	s.Name = "day <script>"
	var b bytes.Buffer
	if err := Page(&b, []Series{s}); err != nil {
		t.Fatal(err)
	}
	_, tables, _ := strings.Cut(b.String(), "<h2>")
	golden := filepath.Join("testdata", "page.golden")
	if *update {
		if err := os.WriteFile(golden, []byte(tables), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), tables); diff != "" {
		t.Errorf("page (-want +got):\n%s", diff)
	}
	if strings.Contains(b.String(), "<script>") {
		t.Error("a name of a series is not escaped")
	}
}
