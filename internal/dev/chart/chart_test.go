package chart

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Requests that were forwarded or tried twice count twice, or as late by one attempt only.
func TestReadCountsEachRequestOnce(t *testing.T) {
	f, err := os.Open(filepath.Join("testdata", "hosts.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	got, err := Read(f, "day", 300*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	want := Series{
		Name:    "day",
		Seconds: []Second{{Offered: 3, InTime: 1}, {Offered: 2, InTime: 1}},
		Waits:   []Wait{{40 * ms, 30 * ms}, {60 * ms, 500 * ms}, {0, 20 * ms}, {0, 50 * ms}},
		LeftOut: 7,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("series (-want +got):\n%s", diff)
	}
}

// A log of another kind draws an empty plot without a word.
func TestLogWithoutRequestsIsAnError(t *testing.T) {
	if _, err := Read(strings.NewReader("msg=serving\n"), "day", time.Second); err == nil {
		t.Error("no error")
	}
}

// Quiet seconds and busy ones fall into one mean, which hides that goodput falls under overload.
func TestCurveGoesByOfferedLoad(t *testing.T) {
	var s Series
	for range steps {
		s.Seconds = append(s.Seconds, Second{Offered: 100, InTime: 90}, Second{Offered: 500, InTime: 40})
	}
	c := s.Curve()
	if diff := cmp.Diff([]Step{{100, 90}, {500, 40}}, []Step{c[0], c[len(c)-1]}); diff != "" {
		t.Errorf("first and last step (-want +got):\n%s", diff)
	}
}

// A few attempts give a quantile that means nothing.
func TestSpreadsLeaveOutSmallGroups(t *testing.T) {
	var s Series
	for i := range leastGroup {
		s.Waits = append(s.Waits, Wait{Predicted: 60 * time.Millisecond, Real: time.Duration(i) * time.Millisecond})
	}
	s.Waits = append(s.Waits, Wait{Predicted: 3 * time.Second, Real: time.Second})
	want := []Spread{{Predicted: 60 * time.Millisecond, Median: 10 * time.Millisecond, P90: 18 * time.Millisecond, Count: leastGroup}}
	if diff := cmp.Diff(want, s.Spreads()); diff != "" {
		t.Errorf("spreads (-want +got):\n%s", diff)
	}
}

func TestPlotsAreDrawn(t *testing.T) {
	var s Series
	s.Name = "day"
	for i := range 30 {
		s.Seconds = append(s.Seconds, Second{Offered: 100 + i, InTime: 90})
		s.Waits = append(s.Waits, Wait{Predicted: 60 * time.Millisecond, Real: 70 * time.Millisecond})
	}
	dir := t.TempDir()
	for name, draw := range map[string]func(string, []Series) error{"a.svg": Goodput, "b.svg": Predictions} {
		file := filepath.Join(dir, name)
		if err := draw(file, []Series{s}); err != nil {
			t.Fatal(err)
		}
		if b, err := os.ReadFile(file); err != nil || !bytes.Contains(b, []byte("day")) {
			t.Errorf("%s names no series: %v", name, err)
		}
		if err := draw(file, nil); err == nil {
			t.Errorf("%s of nothing is drawn", name)
		}
	}
}
