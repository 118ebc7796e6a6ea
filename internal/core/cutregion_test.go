package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/pkg/ident"
)

// takeOffList takes targets off the platform's list, while they serve on. It returns them.
func (p *releasePlay) takeOffList(matches func(t *drive.Target) bool) []*drive.Target {
	var off []*drive.Target
	p.Targets = slices.DeleteFunc(p.Targets, func(t *drive.Target) bool {
		if !matches(t) {
			return false
		}
		off = append(off, t)
		return true
	})
	p.SetBuild(p.Targets[0].ID, p.Targets[0].Build)
	return off
}

func inFirstRegion(t *drive.Target) bool { return t.Place.Region == "r0" }

// Guards against streams that begin in a region which is cut off for longer than builds stay on record, and go on elsewhere at the build
// that has replaced theirs.
func TestStreamsOfACutOffRegionAreNotJoined(t *testing.T) {
	for _, size := range []releaseSize{{2, 2}, {3, 2}} {
		for _, healed := range []time.Duration{0, 10 * time.Millisecond, 2 * time.Second, 15 * time.Second} {
			// The targets are back on the list as soon as the cut is over, or not at all.
			for _, listed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v, healed for %v, listed %v", size, healed, listed), func(t *testing.T) {
					var c releaseCounts
					for seed := range uint64(2) {
						p := newReleasePlay(seed, size, size.hosts, oneBuild)
						p.cut()
						off := p.takeOffList(inFirstRegion)
						old := slices.Clone(p.Targets)
						p.addBuild("v2")
						p.Run(2 * time.Second)
						for _, target := range old {
							p.RemoveTarget(target.ID)
						}
						p.Run(45 * time.Second)
						p.beginAt(p.out)
						for _, id := range p.streams {
							p.ended[id] = true
						}
						if healed > 0 && listed {
							p.Targets = append(p.Targets, off...)
							p.SetBuild(p.Targets[0].ID, p.Targets[0].Build)
						}
						if healed > 0 {
							p.heal()
							p.Run(healed)
						}
						p.takeUpAt(p.inStep)
						p.checkBuilds(t)
						c.add(p)
						c.countNew(p)
					}
					t.Log(c.String())
					if c.began == 0 {
						t.Error("no stream began in the region that was cut off")
					}
				})
			}
		}
	}
}

// Guards against refusing streams of the only build that serves, which no peer knows, while the record keeps the builds of a region
// that is cut off.
func TestStreamsGoOnWhileARegionIsCutOff(t *testing.T) {
	var c releaseCounts
	for seed := range uint64(3) {
		p := newReleasePlay(seed, releaseSize{3, 2}, 2, oneBuild)
		p.cut()
		p.takeOffList(inFirstRegion)
		old := slices.Clone(p.Targets)
		p.addBuild("v2")
		p.Run(2 * time.Second)
		for _, target := range old {
			p.RemoveTarget(target.ID)
		}
		p.Run(100 * time.Second)
		host := p.inStep[0]
		p.beginAt([]ident.EntryID{host})
		for _, id := range p.streams {
			p.ended[id] = true
		}
		p.Kill(host)
		p.Run(time.Second)
		p.takeUpAt(p.inStep[1:])
		p.checkBuilds(t)
		c.add(p)
	}
	t.Log(c.String())
	if float64(c.kept) < 0.9*float64(c.taken) || c.taken == 0 {
		t.Errorf("%d of %d streams went on, want 0.9", c.kept, c.taken)
	}
}

// Guards against streams that begin at one host which is cut off, with targets of its own, for longer than builds stay on record, and go on
// elsewhere at the build that has replaced theirs.
func TestStreamsOfACutOffHostAreNotJoined(t *testing.T) {
	for _, size := range []releaseSize{{1, 4}, {3, 2}} {
		t.Run(size.String(), func(t *testing.T) {
			var c releaseCounts
			for seed := range uint64(2) {
				p := newReleasePlay(seed, size, 1, oneBuild)
				p.cut()
				p.takeOffList(func(t *drive.Target) bool { return t.ID == "r0-t0" || t.ID == "r0-t1" })
				old := slices.Clone(p.Targets)
				p.addBuild("v2")
				p.Run(2 * time.Second)
				for _, target := range old {
					p.RemoveTarget(target.ID)
				}
				p.Run(45 * time.Second)
				p.beginAt(p.out)
				for _, id := range p.streams {
					p.ended[id] = true
				}
				p.takeUpAt(p.inStep)
				p.checkBuilds(t)
				c.add(p)
			}
			t.Log(c.String())
			if c.began == 0 {
				t.Error("no stream began at the host that was cut off")
			}
		})
	}
}
