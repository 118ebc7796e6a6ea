package core_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a store that is overrun by hosts which read the records of builds for the streams that callers take up, on calm days and after
// half of the hosts have restarted at once.
func TestReadsOfTheRecordsAreBounded(t *testing.T) {
	const (
		streams = 60
		// wantReads bounds the reads of all hosts in a second: each may read once for each millisecond and host.
		wantReads = 1000
	)
	for _, size := range []releaseSize{{1, 1}, {1, 8}, {3, 2}, {3, 8}, {3, 30}, {12, 2}, {12, 8}} {
		t.Run(size.String(), func(t *testing.T) {
			p := newStreamPlay(1, size.regions, size.hosts, 6, releaseWork, oneBuild)
			reads := make(map[int64]int)
			p.OnCall = func(_ event.Host, op string) {
				if op == "records" {
					reads[int64(p.Now)/int64(time.Second)]++
				}
			}
			take := func() (total, most int) {
				for _, n := range reads {
					total, most = total+n, max(most, n)
				}
				clear(reads)
				return total, most
			}
			p.Run(oneBuildFor)
			take()
			p.messages = 0
			p.beginRunning(streams)
			p.Run(10 * time.Second)
			calmTotal, _ := take()
			calmMessages := p.messages
			running := p.beginRunning(streams)
			p.Run(1200 * time.Millisecond)
			p.messages = 0
			part := p.hosts[:max(len(p.hosts)/2, 1)]
			for _, host := range part {
				p.Restart(host)
				p.restartedAt[host] = p.Now
			}
			p.Run(700 * time.Millisecond)
			for _, id := range slices.Sorted(maps.Keys(running)) {
				if slices.Contains(part, running[id]) && p.builds[id] != nil {
					p.ended[id] = true
					p.takeUp(p.anyHost(), id)
				}
			}
			p.Run(10 * time.Second)
			total, most := take()
			t.Logf("calm: %d reads, %d messages for %d streams; half restarted: %d reads, at most %d a second, %d messages, %d of %d streams taken up went on %v", calmTotal, calmMessages, streams, total, most, p.messages, p.kept, p.taken, p.codes)
			if calmTotal > 0 {
				t.Errorf("%d reads on a calm day, want none", calmTotal)
			}
			if most > wantReads {
				t.Errorf("%d reads in a second, want at most %d", most, wantReads)
			}
		})
	}
}

// beginRunning begins streams at all hosts and returns their hosts.
func (p *streamPlay) beginRunning(n int) map[ident.RequestID]ident.EntryID {
	running := make(map[ident.RequestID]ident.EntryID)
	for i := range n {
		host := p.hosts[i%len(p.hosts)]
		p.begin(host)
		running[ident.RequestID(fmt.Sprint("q", p.n))] = host
		p.Run(5 * time.Millisecond)
	}
	return running
}

// Guards against refusing streams of the only build there is while no host can read the store: those that begin once it is known are
// remembered by peers.
func TestStreamsGoOnThroughAnOutageOfTheStore(t *testing.T) {
	for _, size := range []releaseSize{{1, 4}, {3, 2}, {3, 8}} {
		for _, into := range []time.Duration{0, 2 * time.Second, 5 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%v, begun %v into it", size, into), func(t *testing.T) {
				var c releaseCounts
				for seed := range uint64(2) {
					p := newReleasePlay(seed, size, 1, oneBuild)
					p.PlatformDown = func(event.Host) bool { return true }
					p.Run(into)
					p.beginAt(p.out)
					for _, id := range p.streams {
						p.ended[id] = true
					}
					p.Kill(p.out[0])
					p.takeUpAt(p.inStep)
					p.checkBuilds(t)
					c.add(p)
				}
				t.Log(c.String())
				if into >= 5*time.Second && float64(c.kept) < 0.9*float64(c.taken) {
					t.Errorf("%d of %d streams went on, want 0.9", c.kept, c.taken)
				}
			})
		}
	}
}

// Guards against the rest of an answer coming from another build, because its target has ended, and its host does not know that the
// other regions have changed theirs.
func TestAnswersKeepTheirBuildAtAHostOutOfStep(t *testing.T) {
	for _, c := range []relatedCase{
		{name: "in step", size: threeRegions, out: 1},
		{name: "cut off from the store", size: threeRegions, out: 2, store: true},
		{name: "inbound cut", size: threeRegions, out: 2, store: true, lostTo: true},
		{name: "outbound cut", size: threeRegions, out: 2, store: true, lostFrom: true},
		{name: "frozen for 2 s", size: threeRegions, out: 2, frozen: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum releaseCounts
			began, moved := 0, 0
			for seed := range uint64(3) {
				p := newReleasePlay(seed, c.size, c.out, oneBuild)
				onStep := p.OnStep
				p.OnStep = func(h *drive.Host, ev event.Event, effs []event.Effect) {
					onStep(h, ev, effs)
					for _, eff := range effs {
						if e, ok := eff.(event.Forward); ok && e.ResumeAfter > 0 {
							moved++
						}
					}
				}
				p.beginAt(p.out)
				c.apply(p)
				old := slices.Clone(p.Targets)
				p.addBuild("v2")
				remove := func(near bool) {
					for _, target := range old {
						if near == (target.Place.Region == "r0") {
							p.RemoveTarget(target.ID)
						}
					}
				}
				remove(false)
				p.Run(300 * time.Millisecond)
				remove(true)
				p.Run(10 * time.Second)
				p.checkBuilds(t)
				sum.add(p)
				began += p.began
			}
			t.Logf("%d began, the rest of %d was sent to other regions, %v", began, moved, sum.String())
			if began == 0 {
				t.Error("no stream began")
			}
		})
	}
}
