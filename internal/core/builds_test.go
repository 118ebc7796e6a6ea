package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// restartAll stops all hosts at once and starts them again after a while. The callers of their streams come back
// shortly after.
func (p *streamPlay) restartAll(down time.Duration) {
	var broken []ident.RequestID
	for id := range p.builds {
		if !p.ended[id] {
			broken = append(broken, id)
			p.ended[id] = true
		}
	}
	for _, host := range p.hosts {
		p.Kill(host)
	}
	p.Run(down)
	for _, host := range p.hosts {
		p.Restart(host)
	}
	p.Run(700 * time.Millisecond)
	for _, id := range value.SetOf(broken...).Sorted() {
		p.takeUp(p.anyHost(), id)
	}
	p.Run(4 * time.Second)
}

// beginSome begins streams at all hosts.
func (p *streamPlay) beginSome(n int) {
	for range n {
		p.begin(p.anyHost())
		p.Run(10 * time.Millisecond)
	}
}

// Guards against a stream that goes on at another build because all hosts were down when the last target of the one that
// began it had left, or left then, and against refusing streams of the only build there is.
func TestStreamsKeepTheirBuildWhenAllHostsRestart(t *testing.T) {
	const streams = 60
	for _, size := range []struct{ regions, hosts, targets int }{{1, 1, 6}, {3, 2, 6}, {3, 8, 10}} {
		for _, one := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d regions of %d hosts, one build %v", size.regions, size.hosts, one), func(t *testing.T) {
				var taken, kept, refused int
				for phase := -time.Second; phase <= 1500*time.Millisecond; phase += 100 * time.Millisecond {
					p := newStreamPlay(uint64(phase), size.regions, size.hosts, size.targets, 3*time.Second, func(n int) ident.Build {
						if n < 2 && !one {
							return "v1"
						}
						return "v2"
					})
					p.Run(5 * time.Second)
					p.beginSome(streams)
					p.Run(time.Second)
					old := p.Targets[:0:0]
					for _, target := range p.Targets {
						if target.Build == "v1" {
							old = append(old, target)
						}
					}
					remove := func() {
						for _, target := range old {
							p.RemoveTarget(target.ID)
						}
					}
					if phase >= 0 {
						remove()
						p.Run(phase)
						p.restartAll(400 * time.Millisecond)
					} else {
						// They leave while the hosts are down, or after these have started.
						p.After(-phase, remove)
						p.restartAll(400 * time.Millisecond)
					}
					p.checkBuilds(t)
					taken, kept, refused = taken+p.taken, kept+p.kept, refused+p.notContinued
				}
				t.Logf("%d of %d went on, %d were refused", kept, taken, refused)
				if one && kept < taken*9/10 {
					t.Errorf("%d of %d streams of the only build went on", kept, taken)
				}
			})
		}
	}
}

// Guards against a host that takes the build that it knows for the only one while it is cut off from the store and the other
// regions, where another build began the stream.
func TestCutOffHostsDoNotGuessBuilds(t *testing.T) {
	const streams = 40
	p := newStreamPlay(1, 3, 2, 6, 3*time.Second, func(int) ident.Build { return "v1" })
	p.Run(30 * time.Second)
	cut := func(id ident.EntryID) bool { return id == "r0-h0" || id == "r0-h1" }
	p.partition = map[ident.EntryID]bool{"r0-h0": true, "r0-h1": true}
	p.PlatformDown = func(h event.Host) bool { return cut(h.ID) }
	p.Run(10 * time.Second)
	for i, target := range p.Targets {
		if i >= 6 && i%2 == 0 {
			p.SetBuild(target.ID, "v2")
		}
	}
	p.Run(5 * time.Second)
	var began []ident.RequestID
	for range streams {
		p.begin("r1-h0")
		began = append(began, ident.RequestID(fmt.Sprint("q", p.n)))
		p.Run(10 * time.Millisecond)
	}
	p.Run(time.Second)
	p.Kill("r1-h0")
	for _, id := range began {
		p.ended[id] = true
		p.takeUp("r0-h0", id)
	}
	p.Run(4 * time.Second)
	p.checkBuilds(t)
	t.Logf("%d of %d went on, %d were refused", p.kept, p.taken, p.notContinued)
}

// Guards against targets of a new build that get requests before the build is on record, and against holding them back for
// ever while it can't be recorded: then they get all but new streams that may be taken up, and these too once no other
// build serves.
func TestNewBuildsAreRecordedFirst(t *testing.T) {
	for _, recordable := range []bool{true, false} {
		t.Run(fmt.Sprint("recordable ", recordable), func(t *testing.T) {
			p := newStreamPlay(1, 1, 2, 6, time.Second, func(int) ident.Build { return "v1" })
			p.Run(10 * time.Second)
			p.LoseBuilds = !recordable
			var recorded, left ident.Time
			sent := make(map[ident.Profile]ident.Time)
			onStep := p.OnStep
			p.OnStep = func(h *drive.Host, ev event.Event, effs []event.Effect) {
				onStep(h, ev, effs)
				if e, ok := ev.(event.BuildsRecorded); ok && slices.Contains(e.Record.Builds, "v2") && recorded == 0 {
					recorded = p.Now
				}
				for _, eff := range effs {
					if d, ok := eff.(event.Dispatch); ok && d.Target.Build == "v2" && sent[d.Basis.Profile] == 0 {
						sent[d.Basis.Profile] = p.Now
					}
				}
			}
			place := p.Targets[0].Target
			place.ID, place.Build = "new", "v2"
			p.AddTarget(place, drive.TargetConfig{Slots: 8, Work: time.Second})
			send := func() {
				for i := range 400 {
					p.begin(p.anyHost())
					p.ask(p.anyHost(), "fetch", firstContent+ident.Content(100_000+i))
					p.Run(10 * time.Millisecond)
				}
			}
			send()
			left = p.Now
			for i := range 6 {
				p.RemoveTarget(ident.TargetID(fmt.Sprint("r0-t", i)))
			}
			for range 4 {
				send()
			}
			switch {
			case sent["draft"] == 0 || sent["fetch"] == 0:
				t.Errorf("the new target got no requests of each kind: %v", sent)
			case recordable && (recorded == 0 || sent["draft"] < recorded || sent["draft"] > left || sent["fetch"] > left):
				t.Errorf("the new target got requests from %v on, its build was recorded at %v, the others left at %v", sent, recorded, left)
			case !recordable && (recorded > 0 || sent["fetch"] > left || sent["draft"] < left):
				t.Errorf("the new target got requests from %v on, its build was recorded at %v, the others left at %v", sent, recorded, left)
			}
		})
	}
}

// Guards against streams that begin at a build which the store could not record, and go on at another one after all hosts
// and the targets of that build have ended.
func TestStreamsKeepTheirBuildWhenItCouldNotBeRecorded(t *testing.T) {
	const streams = 60
	for _, size := range []struct{ regions, hosts, targets int }{{1, 1, 6}, {3, 2, 6}} {
		for _, outage := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%d regions of %d hosts, no writes for %v", size.regions, size.hosts, outage), func(t *testing.T) {
				var asked, began, taken, kept, refused int
				for seed := range uint64(4) {
					p := newStreamPlay(seed, size.regions, size.hosts, size.targets, 3*time.Second, func(int) ident.Build { return "v1" })
					p.Run(30 * time.Second)
					p.LoseBuilds = true
					var added []ident.TargetID
					for i, old := range slices.Clone(p.Targets) {
						if i%2 == 0 {
							place := old.Target
							place.ID, place.Build = ident.TargetID(fmt.Sprint("new-", i)), "v2"
							added = append(added, place.ID)
							p.AddTarget(place, drive.TargetConfig{Slots: 8, Work: 3 * time.Second})
						}
					}
					p.Run(outage)
					before := p.began
					p.beginSome(streams)
					p.Run(time.Second)
					asked, began = asked+streams, began+p.began-before
					for _, id := range added {
						p.RemoveTarget(id)
					}
					p.LoseBuilds = outage > 5*time.Second
					p.restartAll(400 * time.Millisecond)
					p.checkBuilds(t)
					taken, kept, refused = taken+p.taken, kept+p.kept, refused+p.notContinued
				}
				t.Logf("%d of %d began; %d of %d went on, %d were refused", began, asked, kept, taken, refused)
			})
		}
	}
}
