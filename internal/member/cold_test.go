package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// coldLimit is how many requests a second all hosts of a test together may send to a cold target.
const coldLimit = 6

// newColdFleet returns n hosts of one data centre that start at the same time, and their tables.
func newColdFleet(at ident.Time, n int) ([]event.Host, []*Table) {
	hosts := make([]event.Host, n)
	tables := make([]*Table, n)
	for i := range hosts {
		hosts[i] = newHost(fmt.Sprintf("w%02d", i), "west-a", "west")
		tables[i] = newColdTable(hosts[i], at)
	}
	return hosts, tables
}

func newColdTable(h event.Host, at ident.Time) *Table {
	tb := New(h)
	tb.SetColdLimits(ColdLimits{PerSecond: func(string) float64 { return coldLimit }})
	tb.Advance(at)
	return tb
}

// sendToCold has every host send to the cold target "a" whenever it is allowed to, and returns the
// times of the sends. The platform lists the hosts in listed; connected reports whether host i receives
// messages of host j at a time after the start.
func sendToCold(at ident.Time, span time.Duration, hosts, listed []event.Host, tables []*Table, connected func(since time.Duration, i, j int) bool) []ident.Time {
	cold := newTarget("a")
	cold.ColdFor = time.Minute
	list := listOf(1, cold)
	list.Hosts = listed
	var sends []ident.Time
	for since := time.Duration(0); since < span; since += 20 * time.Millisecond {
		now := at.Add(since)
		for i, tb := range tables {
			tb.HostsRead(now, list)
			for j, h := range hosts {
				if i != j && connected(since, i, j) {
					tb.PeerUp(now, h)
				}
			}
			if tg, _ := tb.Target("a"); !tb.ColdLimitReached(now, tg) {
				tb.RequestSent("a", 0, 0)
				sends = append(sends, now)
			}
		}
	}
	return sends
}

// maxPerSecond returns the largest number of sends within one second.
func maxPerSecond(sends []ident.Time) int {
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

// Guards against overloading a cold target: each of several hosts that start together may consider
// itself its owner before they know each other.
func TestHostsThatStartTogetherDoNotOverloadColdTargets(t *testing.T) {
	at := ident.Time(time.Second)
	hosts, tables := newColdFleet(at, 30)
	sends := sendToCold(at, 6*time.Second, hosts, nil, tables, func(since time.Duration, i, j int) bool {
		return since >= time.Duration((i*7+j*11)%20)*50*time.Millisecond
	})
	if most := maxPerSecond(sends); most > coldLimit {
		t.Errorf("%d requests in one second at a cold target, of %d allowed", most, coldLimit)
	}
	if len(sends) == 0 {
		t.Error("the cold target received no request")
	}
}

// Guards against overloading a cold target from hosts that are partitioned from each other, each of
// which considers itself its owner.
func TestPartitionedHostsDoNotOverloadColdTargets(t *testing.T) {
	at := ident.Time(time.Second)
	hosts, tables := newColdFleet(at, 12)
	const together = 5 * time.Second
	sends := sendToCold(at, 25*time.Second, hosts, hosts, tables, func(since time.Duration, _, _ int) bool { return since < together })
	if most := maxPerSecond(sends); most == 0 || most > coldLimit {
		t.Errorf("%d requests in one second at a cold target, of %d allowed", most, coldLimit)
	}
}

// restartSchedule is when a host of a rolling restart starts to drain, stops and starts again.
type restartSchedule struct{ drains, ends, starts time.Duration }

// at returns the description of the host at a time, and whether it is running.
func (s restartSchedule) at(h event.Host, since time.Duration) (event.Host, bool) {
	if since >= s.starts {
		h.Incarnation++
		return h, true
	}
	h.Draining = since >= s.drains
	return h, since < s.ends
}

// rollingRestart has n hosts drain and restart in groups of the size together, a group every gap,
// and returns the times of the sends to a cold target. Each host learns the state of another with a
// delay of up to a second.
func rollingRestart(n, together int, gap time.Duration) []ident.Time {
	const (
		step  = 20 * time.Millisecond
		drain = 4 * time.Second
		down  = 500 * time.Millisecond
	)
	at := ident.Time(time.Second)
	hosts, tables := newColdFleet(at, n)
	schedules := make([]restartSchedule, n)
	for i := range schedules {
		drains := 5*time.Second + time.Duration(i/together)*gap
		schedules[i] = restartSchedule{drains, drains + drain, drains + drain + down}
	}
	cold := newTarget("a")
	cold.ColdFor = time.Hour
	list := listOf(1, cold)
	list.Hosts = hosts
	var sends []ident.Time
	for since := time.Duration(0); since < schedules[n-1].starts+5*time.Second; since += step {
		now := at.Add(since)
		for i := range tables {
			h, runs := schedules[i].at(hosts[i], since)
			if !runs {
				continue
			}
			if h.Incarnation != tables[i].self.Incarnation {
				tables[i] = newColdTable(h, now)
			}
			tb := tables[i]
			if h.Draining {
				tb.SetDraining()
			}
			tb.HostsRead(now, list)
			for j := range hosts {
				delay := time.Duration((i*7+j*11)%20) * 50 * time.Millisecond
				if p, runs := schedules[j].at(hosts[j], since-delay); i != j && runs && since > delay {
					tb.PeerUp(now, p)
				}
			}
			if tg, _ := tb.Target("a"); !tb.ColdLimitReached(now, tg) {
				tb.RequestSent("a", 0, 0)
				sends = append(sends, now)
			}
		}
	}
	return sends
}

// Guards against overloading a cold target in a rolling restart: each draining host considers
// itself its owner if all hosts drain.
func TestHostsThatDrainTogetherDoNotOverloadColdTargets(t *testing.T) {
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
		sends := rollingRestart(tc.hosts, tc.together, tc.gap)
		if most := maxPerSecond(sends); most == 0 || most > coldLimit {
			t.Errorf("%+v: %d requests in one second at a cold target, of %d allowed", tc, most, coldLimit)
		}
	}
}

// Guards against warm targets that stay unused after an evacuation, and cold ones that are
// overloaded.
func TestTargetIsProbedAfterEvacuation(t *testing.T) {
	for name, c := range map[string]struct {
		coldFor   time.Duration
		stillCold bool
	}{
		"warm": {coldFor: 0, stillCold: false},
		"cold": {coldFor: 2 * time.Second, stillCold: true},
	} {
		t.Run(name, func(t *testing.T) {
			at := ident.Time(time.Minute)
			tb := New(newHost("w1", "west-a", "west"))
			tb.SetColdLimits(ColdLimits{
				PerSecond: func(string) float64 { return coldLimit },
				Duration:  func(string) time.Duration { return 3 * time.Second },
			})
			tb.Advance(at)
			evacuated := newTarget("a")
			evacuated.Evacuated = true
			tb.HostsRead(at, listOf(1, evacuated))
			at = at.Add(10 * time.Second)
			tb.HostsRead(at, listOf(2, newTarget("a")))
			probes := 0
			for _, eff := range tb.Tick(at, LocalState{}) {
				if e, ok := eff.(event.PollLoad); ok && e.Target.ID == "a" {
					probes++
				}
			}
			if probes != 1 {
				t.Errorf("the target is probed %d times, want once", probes)
			}
			tg, _ := tb.Target("a")
			if !tg.Cold(at) {
				t.Error("the target counts as warm before it has answered")
			}
			tb.ProbeAnswered(at, event.ProbeAnswered{Target: "a", Incarnation: 1, ColdFor: c.coldFor})
			if tg.Cold(at.Add(time.Second)) != c.stillCold {
				t.Errorf("cold a second after the answer: %v", !c.stillCold)
			}
		})
	}
}

// Guards against overloading a cold target after pauses: each host that is continued considers itself the owner that it was
// before, beside those that have taken over meanwhile.
func TestPausedHostsDoNotOverloadColdTargets(t *testing.T) {
	const (
		step  = 20 * time.Millisecond
		delay = 100 * time.Millisecond
		first = 5 * time.Second
		gap   = 6 * time.Second
	)
	for _, paused := range []int{1, 2, 4} {
		at := ident.Time(time.Second)
		hosts, tables := newColdFleet(at, 12)
		cold := newTarget("a")
		cold.ColdFor = time.Hour
		list := listOf(1, cold)
		list.Hosts = hosts
		end := first + time.Duration(paused)*gap
		pausedAt := make([]time.Duration, len(hosts))
		runs := func(i int, since time.Duration) bool { return pausedAt[i] == 0 || since < pausedAt[i] || since >= end }
		var sends []ident.Time
		for since := time.Duration(0); since < end+4*time.Second; since += step {
			now := at.Add(since)
			for i, tb := range tables {
				if !runs(i, since) {
					continue
				}
				tb.HostsRead(now, list)
				for j, h := range hosts {
					if i != j && since > delay && runs(j, since-delay) && runs(i, since-delay) {
						tb.PeerUp(now, h)
					}
				}
				if since >= first && since < end && (since-first)%gap == 0 && tb.ownsCold(now, "a") {
					pausedAt[i] = since + step
				}
				if tg, _ := tb.Target("a"); !tb.ColdLimitReached(now, tg) {
					tb.RequestSent("a", 0, 0)
					sends = append(sends, now)
				}
			}
		}
		if most := maxPerSecond(sends); most == 0 || most > coldLimit {
			t.Errorf("%d hosts paused in turn and continued together: %d requests in one second at a cold target, of %d allowed", paused, most, coldLimit)
		}
	}
}
