package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// Durations of the plays with a host out of step.
const (
	// oneBuildFor is how long there is one build, longer than a stream may run.
	oneBuildFor = 26 * time.Second
	// justHealed is how long before a take-up the links are there again.
	justHealed   = 10 * time.Millisecond
	releaseWork  = 3 * time.Second
	releaseCount = 24
)

// releasePlay is a deployment in which a second build joins while some hosts are out of step.
type releasePlay struct {
	*streamPlay
	// out are the hosts out of step, inStep the others.
	out, inStep []ident.EntryID
	streams     []ident.RequestID
	// incarnation numbers the targets of builds that come back.
	incarnation int
}

// releaseSize is a deployment of the plays.
type releaseSize struct{ regions, hosts int }

var releaseSizes = []releaseSize{{1, 2}, {1, 4}, {2, 2}, {3, 2}, {3, 8}, {12, 2}}

func (s releaseSize) String() string {
	return fmt.Sprintf("%d regions of %d hosts", s.regions, s.hosts)
}

// newReleasePlay runs a deployment for a little more than oneBuildFor. In it n hosts of the first region will be out of step.
func newReleasePlay(seed uint64, size releaseSize, n int, buildOf func(n int) ident.Build) *releasePlay {
	p := &releasePlay{streamPlay: newStreamPlay(seed, size.regions, size.hosts, 6, releaseWork, buildOf)}
	first := p.rnd.IntN(size.hosts - n + 1)
	p.out, p.inStep = p.hosts[first:first+n], slices.Concat(p.hosts[:first], p.hosts[first+n:])
	p.n += p.rnd.IntN(1000)
	p.Run(oneBuildFor + time.Duration(p.rnd.Int64N(int64(2*time.Second))))
	return p
}

func oneBuild(int) ident.Build { return "v1" }

// cut cuts the hosts out of step off from the store and all others, heal ends that.
func (p *releasePlay) cut() {
	part := make(map[ident.EntryID]bool)
	for _, id := range p.out {
		part[id] = true
	}
	p.setPartition(part)
	p.PlatformDown = func(h event.Host) bool { return part[h.ID] }
}

func (p *releasePlay) heal() {
	p.setPartition(nil)
	p.PlatformDown = func(event.Host) bool { return false }
}

// addBuild adds a target of a build for each second one.
func (p *releasePlay) addBuild(build ident.Build) {
	for i, old := range slices.Clone(p.Targets) {
		if i%2 == 0 {
			target := old.Target
			target.ID, target.Build = ident.TargetID(fmt.Sprint(build, "-", i, "-", p.incarnation)), build
			p.AddTarget(target, drive.TargetConfig{Slots: old.Slots, Work: releaseWork})
		}
	}
}

// beginAt begins streams at hosts in turn, and lets all of them have their first events.
func (p *releasePlay) beginAt(hosts []ident.EntryID) {
	p.beginEvery(hosts, 10*time.Millisecond)
	p.Run(releaseWork / 3)
}

// beginEvery begins streams at hosts in turn, one in each interval.
func (p *releasePlay) beginEvery(hosts []ident.EntryID, interval time.Duration) {
	for i := range releaseCount {
		p.begin(hosts[i%len(hosts)])
		p.streams = append(p.streams, ident.RequestID(fmt.Sprint("q", p.n)))
		p.Run(interval)
	}
}

// breakStreams breaks the connections of the callers.
func (p *releasePlay) breakStreams() {
	for i, id := range p.streams {
		p.ended[id] = true
		p.Post(p.inStep[i%len(p.inStep)], 0, event.CallerLeft{Request: id})
	}
}

// takeUpAt takes up the streams that have begun, at hosts in turn, and lets them end.
func (p *releasePlay) takeUpAt(hosts []ident.EntryID) {
	for i, id := range p.streams {
		if p.builds[id] != nil {
			p.takeUp(hosts[i%len(hosts)], id)
			p.Run(10 * time.Millisecond)
		}
	}
	p.Run(8 * time.Second)
}

// releaseCounts says what became of the streams of some plays.
type releaseCounts struct {
	began, ofNew, taken, joined, kept, refused int
}

func (c *releaseCounts) add(p *releasePlay) {
	for _, id := range p.streams {
		if b := p.builds[id]; len(b) > 1 {
			c.joined++
		}
	}
	c.began += p.began
	c.taken, c.kept, c.refused = c.taken+p.taken, c.kept+p.kept, c.refused+p.notContinued
}

// countNew counts the streams that a new build began.
func (c *releaseCounts) countNew(p *releasePlay) {
	for _, id := range p.streams {
		if p.builds[id].Has("v2") {
			c.ofNew++
		}
	}
}

func (c *releaseCounts) String() string {
	return fmt.Sprintf("%3d taken up, %3d of them began at the new build, %3d of two builds, %3d went on at one, %3d refused", c.taken, c.ofNew, c.joined, c.kept-c.joined, c.refused)
}

// Guards against a host that joins streams of two builds because it does not know of the second one while it was cut off.
func TestHostOutOfStepJoinsNoStreams(t *testing.T) {
	for _, size := range releaseSizes {
		for _, out := range value.SetOf(1, size.hosts).Sorted() {
			if out == size.regions*size.hosts {
				continue
			}
			for _, healed := range []bool{false, true} {
				for _, after := range []time.Duration{0, 1500 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
					t.Run(fmt.Sprintf("%v, %d out of step, taken up after %v, healed %v", size, out, after, healed), func(t *testing.T) {
						var c releaseCounts
						for seed := range uint64(3) {
							p := newReleasePlay(seed, size, out, oneBuild)
							p.cut()
							p.Run(200 * time.Millisecond)
							p.addBuild("v2")
							p.Run(1300 * time.Millisecond)
							p.beginAt(p.inStep)
							c.countNew(p)
							p.breakStreams()
							if healed {
								p.Run(max(after-justHealed, 0))
								p.heal()
								p.Run(justHealed)
							} else {
								p.Run(after)
							}
							p.takeUpAt(p.out[:1])
							p.checkBuilds(t)
							c.add(p)
						}
						t.Log(c.String())
					})
				}
			}
		}
	}
}

// Guards against refusing streams of the only build there is at hosts in step that do not know them, because their first
// hosts have ended.
func TestStreamsOfTheOnlyBuildGoOnAnywhere(t *testing.T) {
	for _, size := range releaseSizes {
		for _, after := range []time.Duration{0, 1500 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
			t.Run(fmt.Sprintf("%v, taken up after %v", size, after), func(t *testing.T) {
				var c releaseCounts
				for seed := range uint64(3) {
					p := newReleasePlay(seed, size, 1, oneBuild)
					p.beginAt(p.out)
					for _, id := range p.streams {
						p.ended[id] = true
					}
					p.Kill(p.out[0])
					p.Run(after)
					p.takeUpAt(p.inStep)
					c.add(p)
				}
				t.Log(c.String())
				if float64(c.kept) < 0.9*float64(c.taken) {
					t.Errorf("%d of %d streams went on, want 0.9", c.kept, c.taken)
				}
			})
		}
	}
}

// Guards against refusing streams that a host out of step remembers itself, or that a host beside it does.
func TestStreamsThatAreRememberedGoOnOutOfStep(t *testing.T) {
	for _, size := range releaseSizes {
		for _, builds := range []int{1, 2} {
			for _, after := range []time.Duration{0, 3 * time.Second, 7 * time.Second, 12 * time.Second} {
				t.Run(fmt.Sprintf("%v, %d builds, taken up after %v", size, builds, after), func(t *testing.T) {
					var c releaseCounts
					for seed := range uint64(3) {
						p := newReleasePlay(seed, size, size.hosts, func(n int) ident.Build { return []ident.Build{"v1", "v2"}[n%builds] })
						p.cut()
						p.beginAt(p.out[:1])
						for _, id := range p.streams {
							p.ended[id] = true
						}
						p.Run(after)
						// With one build no other host knows a stream.
						p.takeUpAt(p.out[builds-1 : builds])
						p.checkBuilds(t)
						c.add(p)
					}
					t.Log(c.String())
					if float64(c.kept) < 0.9*float64(c.taken) {
						t.Errorf("%d of %d streams went on, want 0.9", c.kept, c.taken)
					}
				})
			}
		}
	}
}

// Guards against a take-up that gets no answer because another one of the same stream was waiting.
func TestTakeUpsOfOneStreamAreAllAnswered(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut off %v", cut), func(t *testing.T) {
			p := newReleasePlay(1, releaseSize{regions: 2, hosts: 2}, 1, oneBuild)
			p.beginAt(p.inStep[:1])
			p.breakStreams()
			p.Kill(p.inStep[0])
			if cut {
				p.cut()
			}
			first := p.n
			for _, id := range p.streams {
				for range 3 {
					p.takeUp(p.out[0], id)
					p.Run(time.Millisecond)
				}
			}
			p.Run(8 * time.Second)
			for n := first + 1; n <= p.n; n++ {
				if id := ident.RequestID(fmt.Sprint("q", n)); !p.ended[id] {
					t.Errorf("request %s got no answer", id)
				}
			}
		})
	}
}

// Guards against a peer that confirms records which it has not read itself after it was asked, and against one that answers before it has.
func TestPeersConfirmOnlyWhatTheyHaveRead(t *testing.T) {
	recorded := []event.BuildRecord{{Service: "board", Builds: []ident.Build{"v1", "v2"}, Revision: 7}}
	for _, succeeded := range []bool{false, true} {
		t.Run(fmt.Sprint("the read succeeds ", succeeded), func(t *testing.T) {
			h := newTestHost(t, 2, core.Bounds{SharedReads: true})
			h.step(event.BuildsRead{Succeeded: true, Records: []event.BuildRecord{{Service: "board", Builds: []ident.Build{"v1"}, Revision: 3}}})
			h.now = h.now.Add(5 * time.Second)
			read, ok := pick[event.ReadBuilds](h.step(event.BegunAsked{From: "w2", Stream: 9, Confirm: true}))
			if !ok {
				t.Fatal("the records are not read")
			}
			effs := h.step(event.BuildsRead{Read: read.Read - 1, Succeeded: true, Records: recorded[:0]})
			effs = append(effs, h.step(event.BuildsRead{Read: read.Read, Succeeded: succeeded, Records: recorded})...)
			h.now = h.now.Add(2 * time.Second)
			effs = append(effs, h.red.Step(h.now, event.Tick{})...)
			ans, ok := pick[event.AnswerBegun](effs)
			want := event.AnswerBegun{To: "w2", Stream: 9, Confirmed: succeeded}
			if succeeded {
				want.Records = recorded
			}
			ans.Seen = nil
			if diff := cmp.Diff(want, ans, cmpopts.EquateEmpty()); !ok || diff != "" {
				t.Errorf("the answer (-want +got):\n%s", diff)
			}
		})
	}
}
