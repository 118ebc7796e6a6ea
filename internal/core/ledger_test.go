package core_test

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/begun"
	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// goOnShare is the share of the streams that must go on after all hosts have restarted, if targets of their build serve.
const goOnShare = 0.8

func twoBuilds(n int) ident.Build { return []ident.Build{"v1", "v2"}[n%2] }

// beginFor begins streams at a steady rate.
func (p *streamPlay) beginFor(span time.Duration, perSecond int) {
	for end := p.Now.Add(span); p.Now < end; p.Run(time.Second / time.Duration(perSecond)) {
		p.begin(p.anyHost())
	}
}

// fleetSize is a number of regions, of hosts and targets in each.
type fleetSize struct{ regions, hosts, targets int }

// checkGoOn restarts all hosts while streams run, and checks that goOnShare of them go on.
func checkGoOn(t *testing.T, size fleetSize) {
	t.Helper()
	const work = 6 * time.Second
	t.Run(fmt.Sprintf("%d regions of %d hosts", size.regions, size.hosts), func(t *testing.T) {
		var taken, kept, refused, saves int
		for seed := range uint64(3) {
			p := newStreamPlay(seed, size.regions, size.hosts, size.targets, work, twoBuilds)
			p.Run(5 * time.Second)
			p.beginFor(work, size.regions*size.targets)
			saves += p.Saves
			p.restartAll(400 * time.Millisecond)
			p.checkBuilds(t)
			taken, kept, refused = taken+p.taken, kept+p.kept, refused+p.notContinued
		}
		t.Logf("%d of %d went on, %d were refused, %.1f batches a second", kept, taken, refused, float64(saves)/3/work.Seconds())
		if float64(kept) < goOnShare*float64(taken) {
			t.Errorf("%d of %d streams went on, want %v", kept, taken, goOnShare)
		}
	})
}

// Guards against refusing streams because all hosts that knew their build have restarted, although targets of it serve.
func TestStreamsGoOnWhenAllHostsRestart(t *testing.T) {
	for _, size := range []fleetSize{{1, 1, 6}, {2, 2, 6}, {3, 2, 6}, {3, 4, 10}, {3, 8, 10}} {
		checkGoOn(t, size)
	}
}

// Guards against the same where many hosts share the writes of the store.
func TestStreamsOfManyHostsGoOnWhenAllRestart(t *testing.T) {
	checkGoOn(t, fleetSize{3, 30, 10})
}

// Guards against streams of two builds because the store takes batches late, not from all hosts, or not at all, or loses its
// answers, while the targets of a build leave around the restart.
func TestFaultsOfTheStoreJoinNoStreams(t *testing.T) {
	const work = 4 * time.Second
	half := func(h event.Host) bool { return h.ID[len(h.ID)-1] == '0' }
	for name, c := range map[string]struct {
		fault func(p *streamPlay) func(h event.Host) drive.SaveFault
		// down reports whether a host can't reach the store from the start of the streams on.
		down func(h event.Host) bool
		// back means that the store is reachable again while the hosts are down.
		back  bool
		share float64
	}{
		"none": {share: goOnShare},
		"late writes": {fault: func(p *streamPlay) func(event.Host) drive.SaveFault {
			return func(event.Host) drive.SaveFault {
				return drive.SaveFault{Delay: time.Second + time.Duration(p.rnd.Int64N(int64(5*time.Second)))}
			}
		}},
		"lost answers": {fault: func(p *streamPlay) func(event.Host) drive.SaveFault {
			return func(event.Host) drive.SaveFault { return drive.SaveFault{AnswerLost: p.rnd.IntN(2) == 0} }
		}, share: goOnShare / 2},
		"lost writes": {fault: func(p *streamPlay) func(event.Host) drive.SaveFault {
			return func(event.Host) drive.SaveFault { return drive.SaveFault{Lost: p.rnd.IntN(2) == 0} }
		}, share: goOnShare / 2},
		"down for half of the hosts": {down: half},
		"down":                       {down: func(event.Host) bool { return true }},
		"down until the hosts start": {down: func(event.Host) bool { return true }, back: true},
	} {
		t.Run(name, func(t *testing.T) {
			var taken, kept, refused int
			for seed := range uint64(3) {
				for _, leave := range []time.Duration{-1, 0, 300 * time.Millisecond, 900 * time.Millisecond} {
					p := newStreamPlay(seed, 3, 2, 6, work, twoBuilds)
					if c.fault != nil {
						p.SaveFault = c.fault(p)
					}
					p.Run(5 * time.Second)
					if c.down != nil {
						p.PlatformDown = c.down
					}
					p.beginFor(work, 18)
					if leave >= 0 {
						p.After(leave, func() { p.removeBuild("v1") })
					}
					if c.back {
						p.After(200*time.Millisecond, func() { p.PlatformDown = func(event.Host) bool { return false } })
					}
					p.restartAll(400 * time.Millisecond)
					p.checkBuilds(t)
					if leave < 0 {
						taken, kept, refused = taken+p.taken, kept+p.kept, refused+p.notContinued
					}
					// The hosts restart once more, under the same names.
					p.beginFor(time.Second, 18)
					p.restartAll(400 * time.Millisecond)
					p.checkBuilds(t)
				}
			}
			t.Logf("%d of %d went on while both builds served, %d were refused", kept, taken, refused)
			if float64(kept) < c.share*float64(taken) {
				t.Errorf("%d of %d streams went on, want %v", kept, taken, c.share)
			}
		})
	}
}

// removeBuild removes the targets of a build.
func (p *streamPlay) removeBuild(build ident.Build) {
	for _, target := range append(p.Targets[:0:0], p.Targets...) {
		if target.Build == build {
			p.RemoveTarget(target.ID)
		}
	}
}

// Guards against writes while a service has one build.
func TestOneBuildIsNotSaved(t *testing.T) {
	p := newStreamPlay(1, 3, 2, 6, time.Second, func(int) ident.Build { return "v1" })
	p.beginFor(10*time.Second, 18)
	if p.Saves > 0 || p.began < 100 {
		t.Errorf("%d batches were saved of %d streams", p.Saves, p.began)
	}
}

// Guards against a stream that two builds claim to have begun, and against a record that outlives the time for which
// its stream may be taken up.
func TestReadStreamsAreBoundOrRefused(t *testing.T) {
	h := newBuildHost(t, "v1", "v2")
	saved := func(first ident.RequestID, build ident.Build) event.BegunStream {
		return event.BegunStream{
			Stream: begun.StreamOf("callers", first), ServiceBuild: event.ServiceBuild{Service: "board", Build: build}, TTL: 10 * time.Second,
		}
	}
	h.step(event.BegunRead{Streams: []event.BegunStream{saved("a", "v1"), saved("b", "v1"), saved("b", "v2"), saved("c", "v2"), saved("d", "v3"), saved("e", "v1")}})
	wantSent(t, "a stream that v1 began", h.askStream("a1", "a"), "v1")
	wantNotContinued(t, "a stream that two builds claim", h.askStream("b1", "b"))
	wantSent(t, "a stream that v2 began", h.askStream("c1", "c"), "v2")
	wantNotContinued(t, "a stream of a build that serves no more", h.askStream("d1", "d"))
	h.now = h.now.Add(11 * time.Second)
	h.step(event.Tick{})
	wantNotContinued(t, "a stream that nobody may take up any more", h.askStream("e1", "e"))
}
