package core_test

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// setShares changes the services of the route of the streams.
func (p *releasePlay) setShares(shares ...rules.Share) {
	draft := routeProfile("draft", rules.Streaming, 2)
	draft.Route.Shares = shares
	p.Change(profileItem(draft))
}

// addDesk adds a target of another service, whose only build is d1, for each one that there is.
func (p *releasePlay) addDesk() {
	for i, old := range p.Targets[:len(p.Targets):len(p.Targets)] {
		target := old.Target
		target.ID, target.Service, target.Build = ident.TargetID(fmt.Sprint("desk-", i)), "desk", "d1"
		p.AddTarget(target, drive.TargetConfig{Slots: old.Slots, Work: releaseWork})
	}
}

var (
	boardOnly = []rules.Share{{Service: "board", Weight: 1}, {Service: "desk", Weight: 0}}
	deskOnly  = []rules.Share{{Service: "board", Weight: 0}, {Service: "desk", Weight: 1}}
	both      = []rules.Share{{Service: "board", Weight: 1}, {Service: "desk", Weight: 1}}
)

// Guards against streams that go on at the only build of another service than the one that began them, because the route is divided among
// services or has moved, and their first host has ended.
func TestStreamsAreNotJoinedAcrossServices(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []rules.Share
		// move is how long the change of the route lies back at the take-up. keepers says whether the streams that were announced
		// can be asked for.
		move    time.Duration
		keepers bool
		// wantKept is the share of streams that has to go on.
		wantKept float64
	}{
		{name: "divided", before: both, after: both, keepers: true, wantKept: 0.9},
		{name: "divided, nobody remembers", before: both, after: both},
		{name: "moved", before: boardOnly, after: deskOnly, move: time.Second, keepers: true},
		{name: "moved, nobody remembers", before: boardOnly, after: deskOnly, move: time.Second},
		{name: "moved 10 s ago, nobody remembers", before: boardOnly, after: deskOnly, move: 10 * time.Second},
		{name: "divided since", before: boardOnly, after: both, move: time.Second, keepers: true, wantKept: 0.9},
		{name: "united since, nobody remembers", before: both, after: boardOnly, move: time.Second},
		{name: "united since", before: both, after: boardOnly, move: time.Second, keepers: true, wantKept: 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum releaseCounts
			for seed := range uint64(3) {
				p := newReleasePlay(seed, threeRegions, 1, oneBuild)
				p.addDesk()
				p.setShares(c.before...)
				p.Run(oneBuildFor)
				lost := p.Delay
				p.Delay = func(from, to event.Host) (time.Duration, bool) {
					after, isLost := lost(from, to)
					return after, isLost || !c.keepers && from.ID == p.out[0]
				}
				p.beginAt(p.out)
				if c.move > 0 {
					p.setShares(c.after...)
					p.Run(c.move)
				}
				for _, id := range p.streams {
					p.ended[id] = true
				}
				p.Kill(p.out[0])
				p.Run(100 * time.Millisecond)
				p.takeUpAt(p.inStep)
				p.checkBuilds(t)
				sum.add(p)
			}
			t.Log(sum.String())
			if sum.taken == 0 || float64(sum.kept) < c.wantKept*float64(sum.taken) {
				t.Errorf("%d of %d streams went on, want %v", sum.kept, sum.taken, c.wantKept)
			}
		})
	}
}

// playMove plays a route that moves from one service to another in place of a release.
func (c relatedCase) playMove(t *testing.T) {
	t.Helper()
	c.size = threeRegions
	c.before = func(p *releasePlay) {
		p.addDesk()
		p.setShares(boardOnly...)
		p.Run(oneBuildFor)
	}
	c.release = func(p *releasePlay) { p.setShares(deskOnly...) }
	var sum releaseCounts
	for seed := range uint64(4) {
		p := c.play(seed)
		p.checkBuilds(t)
		sum.add(p)
	}
	t.Log(sum.String())
}

// Guards against streams that go on at the service from which their route has moved while a host was out of step.
func TestHostOutOfStepJoinsNoStreamsAcrossServices(t *testing.T) {
	for _, c := range []relatedCase{
		{name: "a region cut off from peers", out: 2, lostTo: true, lostFrom: true},
		{name: "cut off from the store", out: 1, store: true},
		{name: "inbound cut", out: 1, lostTo: true, store: true},
		{name: "cut off", out: 1, lostTo: true, lostFrom: true, store: true},
		{name: "frozen for 2 s, callers first", out: 1, frozen: 2 * time.Second, callersFirst: true},
		{name: "frozen for 8 s, callers first", out: 1, frozen: 8 * time.Second, callersFirst: true},
		{name: "frozen for 8 s, news first", out: 1, frozen: 8 * time.Second},
	} {
		t.Run(c.name, c.playMove)
	}
}

// Guards against a host that reads the records of builds, but does not know that the route of a stream has moved: its configuration comes
// from peers, or has not arrived.
func TestHostThatMissedAMoveJoinsNoStreamsAcrossServices(t *testing.T) {
	for _, c := range []relatedCase{
		{name: "cut off from peers", out: 1, lostTo: true, lostFrom: true},
		{name: "frozen for 8 s, callers first, cut off from peers", out: 1, frozen: 8 * time.Second, callersFirst: true, lostTo: true, lostFrom: true},
		{name: "cut off, then frozen for 1 s until the cut is over, callers first", out: 1, lostTo: true, lostFrom: true, store: true, frozen: time.Second, callersFirst: true, cutFirst: true},
	} {
		t.Run(c.name, c.playMove)
	}
}

// Guards against streams that go on at another service after all hosts have restarted at once, and against refusing those whose service is
// saved.
func TestStreamsKeepTheirServiceWhenAllHostsRestart(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []rules.Share
		wantKept      float64
	}{
		{name: "divided", before: both, after: both, wantKept: 0.9},
		{name: "moved", before: boardOnly, after: deskOnly},
		{name: "united since", before: both, after: boardOnly, wantKept: 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum releaseCounts
			for seed := range uint64(3) {
				p := newReleasePlay(seed, threeRegions, 1, oneBuild)
				p.addDesk()
				p.setShares(c.before...)
				p.Run(oneBuildFor)
				p.beginAt(p.hosts)
				p.setShares(c.after...)
				p.Run(time.Second)
				p.restartAll(400 * time.Millisecond)
				p.checkBuilds(t)
				sum.add(p)
			}
			t.Log(sum.String())
			if sum.taken == 0 || float64(sum.kept) < c.wantKept*float64(sum.taken) {
				t.Errorf("%d of %d streams went on, want %v", sum.kept, sum.taken, c.wantKept)
			}
		})
	}
}
