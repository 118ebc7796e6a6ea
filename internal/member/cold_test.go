package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// coldBound is how many requests a second all hosts of these tests together may
// send to a cold target.
const coldBound = 6

// coldFleet makes the tables of n hosts of one region that start at the same
// moment, and that may send to one cold target.
func coldFleet(at ident.Time, n int) ([]event.Host, []*Table) {
	hosts := make([]event.Host, n)
	tables := make([]*Table, n)
	for i := range hosts {
		hosts[i] = reachHost(fmt.Sprintf("w%02d", i), "west-a", "west")
		tables[i] = coldTable(hosts[i], at)
	}
	return hosts, tables
}

func coldTable(h event.Host, at ident.Time) *Table {
	tb := New(h)
	tb.SetCold(Cold{PerSecond: func(string) float64 { return coldBound }})
	tb.Advance(at)
	return tb
}

// coldPlay has every host send whatever it may for a time, and returns when it
// sent. The platform lists the listed hosts; meet says which hosts know of each
// other at a time after the start.
func coldPlay(at ident.Time, span time.Duration, hosts, listed []event.Host, tables []*Table, meet func(since time.Duration, i, j int) bool) []ident.Time {
	cold := reachTarget("a")
	cold.ColdFor = time.Minute
	list := listOf(1, cold)
	list.Hosts = listed
	var sends []ident.Time
	for since := time.Duration(0); since < span; since += 20 * time.Millisecond {
		now := at.Add(since)
		for i, tb := range tables {
			tb.HostsRead(now, list)
			for j, h := range hosts {
				if i != j && meet(since, i, j) {
					tb.PeerUp(now, h)
				}
			}
			if tg, _ := tb.Target("a"); !tb.ColdFull(now, tg) {
				tb.Sent("a", 0, 0)
				sends = append(sends, now)
			}
		}
	}
	return sends
}

// mostInOneSecond returns the most sends of any second.
func mostInOneSecond(sends []ident.Time) int {
	most := 0
	for i := range sends {
		n := 0
		for _, s := range sends[i:] {
			if s.Sub(sends[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Hosts that start together overload a cold target.
func TestHostsThatStartTogetherSpareColdTargets(t *testing.T) {
	at := ident.Time(time.Second)
	hosts, tables := coldFleet(at, 30)
	sends := coldPlay(at, 6*time.Second, hosts, nil, tables, func(since time.Duration, i, j int) bool {
		return since >= time.Duration((i*7+j*11)%20)*50*time.Millisecond
	})
	if most := mostInOneSecond(sends); most > coldBound {
		t.Errorf("%d requests in one second at a cold target, of %d allowed", most, coldBound)
	}
	if len(sends) == 0 {
		t.Error("a cold target is never used")
	}
}

// Hosts that are cut off from each other overload a cold target.
func TestHostsThatLoseEachOtherSpareColdTargets(t *testing.T) {
	at := ident.Time(time.Second)
	hosts, tables := coldFleet(at, 12)
	const together = 5 * time.Second
	sends := coldPlay(at, 25*time.Second, hosts, hosts, tables, func(since time.Duration, _, _ int) bool { return since < together })
	if most := mostInOneSecond(sends); most == 0 || most > coldBound {
		t.Errorf("%d requests in one second at a cold target, of %d allowed", most, coldBound)
	}
}

// life is when a host of a rolling restart drains, ends and starts again.
type life struct{ drains, ends, starts time.Duration }

// as returns the host as it is at a time, and whether it runs.
func (l life) as(h event.Host, at time.Duration) (event.Host, bool) {
	if at >= l.starts {
		h.Incarnation++
		return h, true
	}
	h.Draining = at >= l.drains
	return h, at < l.ends
}

// rollingPlay has hosts drain and start again, so many at a time, and returns the sends to a cold
// target. Each host learns of the state of another up to a second late.
func rollingPlay(n, together int, gap time.Duration) []ident.Time {
	const (
		step  = 20 * time.Millisecond
		drain = 4 * time.Second
		down  = 500 * time.Millisecond
	)
	at := ident.Time(time.Second)
	hosts, tables := coldFleet(at, n)
	lives := make([]life, n)
	for i := range lives {
		drains := 5*time.Second + time.Duration(i/together)*gap
		lives[i] = life{drains, drains + drain, drains + drain + down}
	}
	cold := reachTarget("a")
	cold.ColdFor = time.Hour
	list := listOf(1, cold)
	list.Hosts = hosts
	var sends []ident.Time
	for since := time.Duration(0); since < lives[n-1].starts+5*time.Second; since += step {
		now := at.Add(since)
		for i := range tables {
			h, runs := lives[i].as(hosts[i], since)
			if !runs {
				continue
			}
			if h.Incarnation != tables[i].self.Incarnation {
				tables[i] = coldTable(h, now)
			}
			tb := tables[i]
			if h.Draining {
				tb.SetDraining()
			}
			tb.HostsRead(now, list)
			for j := range hosts {
				late := time.Duration((i*7+j*11)%20) * 50 * time.Millisecond
				if p, runs := lives[j].as(hosts[j], since-late); i != j && runs && since > late {
					tb.PeerUp(now, p)
				}
			}
			if tg, _ := tb.Target("a"); !tb.ColdFull(now, tg) {
				tb.Sent("a", 0, 0)
				sends = append(sends, now)
			}
		}
	}
	return sends
}

// Each host of a rolling restart takes a cold target for its own while all of them drain.
func TestHostsThatDrainTogetherSpareColdTargets(t *testing.T) {
	for _, tc := range []struct {
		hosts, together int
		gap             time.Duration
	}{
		{2, 1, time.Second},
		{2, 2, time.Second},
		{4, 2, 1200 * time.Millisecond},
		{9, 2, 500 * time.Millisecond},
		{9, 9, time.Second},
		{90, 12, 400 * time.Millisecond},
	} {
		sends := rollingPlay(tc.hosts, tc.together, tc.gap)
		if most := mostInOneSecond(sends); most == 0 || most > coldBound {
			t.Errorf("%+v: %d requests in one second at a cold target, of %d allowed", tc, most, coldBound)
		}
	}
}

// Warm targets stay unused after an evacuation, or cold ones are overloaded.
func TestReopenedTargetIsAskedWhetherItIsCold(t *testing.T) {
	for name, c := range map[string]struct {
		says time.Duration
		full bool
	}{
		"warm": {says: 0, full: false},
		"cold": {says: 2 * time.Second, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			at := ident.Time(time.Minute)
			tb := New(reachHost("w1", "west-a", "west"))
			tb.SetCold(Cold{
				PerSecond: func(string) float64 { return coldBound },
				Span:      func(string) time.Duration { return 3 * time.Second },
			})
			tb.Advance(at)
			closed := reachTarget("a")
			closed.Closed = true
			tb.HostsRead(at, listOf(1, closed))
			at = at.Add(10 * time.Second)
			tb.HostsRead(at, listOf(2, reachTarget("a")))
			asked := 0
			for _, eff := range tb.Tick(at, LocalState{}) {
				if e, ok := eff.(event.PollLoad); ok && e.Target.ID == "a" {
					asked++
				}
			}
			if asked != 1 {
				t.Errorf("asked %d times", asked)
			}
			tg, _ := tb.Target("a")
			if !tg.Cold(at) {
				t.Error("counts as warm before it was seen")
			}
			tb.ProbeAnswered(at, event.ProbeAnswered{Target: "a", Incarnation: 1, ColdFor: c.says})
			if tg.Cold(at.Add(time.Second)) != c.full {
				t.Errorf("cold a second later: %v", !c.full)
			}
		})
	}
}
