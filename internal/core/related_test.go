package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// relatedCase is a way in which hosts are out of step while streams begin at a build that they may not know.
type relatedCase struct {
	name, guards string
	size         releaseSize
	// out is the number of hosts out of step.
	out int
	// lostTo and lostFrom cut the links to and from them, store the calls to the platform.
	lostTo, lostFrom, store bool
	// frozen is how long the hosts out of step stand still. The take-ups wait for them, callersFirst says before what else.
	frozen       time.Duration
	callersFirst bool
	// cutFirst freezes the hosts once the streams have broken, and heals the cuts then.
	cutFirst bool
	// readDelay is how long answers to a read of the records take, with early after an earlier question.
	readDelay time.Duration
	early     bool
	// before changes the targets before the hosts are out of step, release what is done in place of adding a second build.
	before, release func(p *releasePlay)
	// wantKept is set if streams have to go on.
	wantKept bool
}

var (
	oneRegion    = releaseSize{1, 4}
	threeRegions = releaseSize{3, 2}
)

// relatedCases returns the cases.
func relatedCases() []relatedCase {
	cases := []relatedCase{
		{name: "cut off from the store", guards: "a read that fails counting as one that shows no other build", size: threeRegions, out: 1, store: true, wantKept: true},
		{name: "cut off from the store in one region", guards: "the same, where no other region can confirm", size: oneRegion, out: 1, store: true, wantKept: true},
		{name: "cut off from peers", guards: "keepers that can't be asked counting as keepers that know no stream", size: threeRegions, out: 1, lostTo: true, lostFrom: true},
		{name: "inbound cut", guards: "answers that are lost counting as a no", size: threeRegions, out: 1, lostTo: true, store: true},
		{name: "outbound cut", guards: "digests that still arrive counting as a link on which questions pass", size: threeRegions, out: 1, lostFrom: true, store: true},
		{name: "outbound cut in one region", guards: "the same beside peers only", size: oneRegion, out: 1, lostFrom: true, store: true},
		{name: "two hosts as a group", guards: "a peer that is out of step itself and confirms", size: oneRegion, out: 2, lostTo: true, lostFrom: true, store: true},
		{name: "three of eight hosts as a group", guards: "the same beside other regions", size: releaseSize{3, 8}, out: 3, lostTo: true, lostFrom: true, store: true},
		{name: "a third build", guards: "a record that has grown from one build to three", size: threeRegions, out: 1, lostTo: true, lostFrom: true, release: func(p *releasePlay) {
			p.addBuild("v3")
			p.addBuild("v2")
		}},
		{name: "a build that had left the record", guards: "a build being forgotten because it has been here before", size: threeRegions, out: 1, lostTo: true, lostFrom: true, before: leave(45 * time.Second), release: comeBack},
		{name: "a build that had left the list", guards: "a build on record that a host hasn't seen for as long as streams run", size: threeRegions, out: 1, lostTo: true, lostFrom: true, store: true, before: leave(25 * time.Second), release: comeBack},
	}
	for _, delay := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		cases = append(cases, relatedCase{
			name: fmt.Sprintf("the store answers after %v", delay), guards: "an answer to a question from before the stream was taken up",
			size: threeRegions, out: 1, lostTo: true, lostFrom: true, readDelay: delay, early: delay >= 2*time.Second,
		})
	}
	for _, frozen := range []time.Duration{time.Second, 3 * time.Second, 20 * time.Second} {
		for _, first := range []bool{false, true} {
			cases = append(cases, relatedCase{
				name: fmt.Sprintf("cut off, then frozen for %v until the cut is over, callers first %v", frozen, first), guards: "a host that finds links and answers at the thaw and counts itself as in step",
				size: threeRegions, out: 1, lostTo: true, lostFrom: true, store: true, frozen: frozen, callersFirst: first, cutFirst: true,
			})
		}
	}
	for _, frozen := range []time.Duration{4 * time.Second, 8 * time.Second, 20 * time.Second} {
		cases = append(cases, relatedCase{
			name: fmt.Sprintf("frozen for %v with a read under way, callers first", frozen), guards: "an answer that was sent before the pause and is handled after the take-up",
			size: threeRegions, out: 1, lostTo: true, lostFrom: true, frozen: frozen, callersFirst: true, readDelay: 100 * time.Millisecond, early: true,
		})
	}
	for _, frozen := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 20 * time.Second} {
		for _, first := range []bool{false, true} {
			cases = append(cases,
				relatedCase{
					name: fmt.Sprintf("frozen for %v, callers first %v", frozen, first), guards: "a host that decides at the thaw by what it knew before",
					size: threeRegions, out: 1, frozen: frozen, callersFirst: first, wantKept: true,
				},
				relatedCase{
					name: fmt.Sprintf("frozen for %v while a build comes back, callers first %v", frozen, first), guards: "a host that takes a build off the record at the thaw which has come back meanwhile",
					size: threeRegions, out: 2, lostTo: true, lostFrom: true, frozen: frozen, callersFirst: first, before: leave(goneFor), release: comeBack,
				},
			)
		}
	}
	return cases
}

// goneFor is how long the targets of a build are gone before they come back: it would leave the record shortly after.
const goneFor = 34000 * time.Millisecond

// leave makes a second build serve for a while, and then not for another.
func leave(gone time.Duration) func(p *releasePlay) {
	return func(p *releasePlay) {
		p.addBuild("v2")
		p.Run(5 * time.Second)
		p.removeBuild("v2")
		p.Run(gone)
	}
}

// removeBuild removes the targets of a build.
func (p *releasePlay) removeBuild(build ident.Build) {
	var gone []ident.TargetID
	for _, target := range p.Targets {
		if target.Build == build {
			gone = append(gone, target.ID)
		}
	}
	for _, id := range gone {
		p.RemoveTarget(id)
	}
}

func comeBack(p *releasePlay) {
	p.incarnation++
	p.addBuild("v2")
}

// apply puts the hosts of a case out of step.
func (c *relatedCase) apply(p *releasePlay) {
	part := make(map[ident.EntryID]bool)
	for _, id := range p.out {
		part[id] = true
		if !c.cutFirst {
			p.Freeze(id, c.frozen)
		}
	}
	p.CallersFirst = c.callersFirst
	delay := p.Delay
	p.Delay = func(from, to event.Host) (time.Duration, bool) {
		after, lost := delay(from, to)
		return after, lost || c.lostTo && !part[from.ID] && part[to.ID] || c.lostFrom && part[from.ID] && !part[to.ID]
	}
	p.PlatformDown = func(h event.Host) bool { return c.store && part[h.ID] }
}

// play plays a case once.
func (c relatedCase) play(seed uint64) *releasePlay {
	p := newReleasePlay(seed, c.size, c.out, oneBuild)
	if c.before != nil {
		c.before(p)
	}
	p.ReadDelay = func(h event.Host) time.Duration {
		if slices.Contains(p.out, h.ID) {
			return c.readDelay
		}
		return 0
	}
	if c.early {
		// A stream of an earlier day makes the host ask.
		p.takeUp(p.out[0], "earlier")
		p.taken--
		p.Run(time.Millisecond)
	}
	c.apply(p)
	thaw := p.Now.Add(c.frozen)
	if c.release != nil {
		c.release(p)
	} else {
		p.addBuild("v2")
	}
	pause, work := 1300*time.Millisecond, releaseWork/3
	if c.frozen > 0 && c.frozen < 4*time.Second && !c.cutFirst || c.early {
		pause, work = 900*time.Millisecond, 800*time.Millisecond
	}
	p.Run(pause)
	p.beginEvery(p.inStep, 2*time.Millisecond)
	p.Run(work)
	p.breakStreams()
	if c.cutFirst {
		thaw = p.Now.Add(c.frozen)
		for _, id := range p.out {
			p.Freeze(id, c.frozen)
		}
		c.lostTo, c.lostFrom, c.store = false, false, false
	}
	p.Run(max(thaw.Sub(p.Now)-50*time.Millisecond, 0))
	p.takeUpAt(p.out)
	return p
}

// Guards against streams of two builds in the ways in which a host may be out of step, as each case says.
func TestUnknownStreamsAreNotJoined(t *testing.T) {
	for _, c := range relatedCases() {
		t.Run(c.name, func(t *testing.T) {
			var sum releaseCounts
			for seed := range uint64(2) {
				p := c.play(seed)
				p.checkBuilds(t)
				sum.add(p)
				sum.countNew(p)
			}
			t.Log(sum.String())
			if sum.ofNew == 0 {
				t.Error("no stream began at the new build")
			}
			if t.Failed() {
				t.Log("guards against", c.guards)
			}
			if c.wantKept && sum.kept == 0 {
				t.Error("no stream went on")
			}
		})
	}
}
