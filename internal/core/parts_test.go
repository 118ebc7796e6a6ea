package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Contents of parts of prompts. All other requests of a play have a first part, a group and a subject, some of them
// rare.
const (
	poisonPart  ident.Content = 3
	firstPart   ident.Content = 4
	groupPart   ident.Content = 10
	subjectPart ident.Content = 40
	groups                    = 8
	subjects                  = 60
)

// partsPlay is a routePlay whose requests have parts.
type partsPlay struct {
	*routePlay
	// poisonSentAt are the times at which requests with the poison part reached targets.
	poisonSentAt []ident.Time
	// poisoned has the contents of the requests with the poison part.
	poisoned map[ident.Content]bool
}

func newPartsPlay(seed uint64, regions, hosts, targets, slots int, work time.Duration) *partsPlay {
	p := &partsPlay{routePlay: newRoutePlay(seed, regions, hosts, targets, slots, work), poisoned: make(map[ident.Content]bool)}
	p.FirstEvents = true
	p.EndsTarget = func(req event.Request) bool {
		if !slices.Contains(req.Parts, poisonPart) {
			return false
		}
		p.poisonSentAt = append(p.poisonSentAt, p.Now)
		return true
	}
	return p
}

// askParts sends a request with the given parts in its prompt to any host.
func (p *partsPlay) askParts(parts ...ident.Content) ident.Content {
	p.n++
	req := event.Request{
		ID: ident.RequestID(fmt.Sprint("q", p.n)), Account: "callers", Profile: "draft", Content: ident.Content(p.n), Parts: parts,
		Deadline: p.Now.Add(8 * time.Second),
	}
	p.contents[req.ID] = req.Content
	p.RegisterRequest(req)
	p.Send(p.anyHost(), req)
	return req.Content
}

// askOther sends a request without the poison part. Subjects differ in how often they are asked for.
func (p *partsPlay) askOther() {
	subject := min(p.rnd.IntN(subjects), p.rnd.IntN(subjects))
	p.askParts(firstPart, groupPart+ident.Content(p.rnd.IntN(groups)), subjectPart+ident.Content(subject))
}

// askPoison sends a request with the poison part behind those of others.
func (p *partsPlay) askPoison() {
	p.poisoned[p.askParts(firstPart, groupPart+ident.Content(p.rnd.IntN(groups)), poisonPart)] = true
}

// play sends other requests at a rate for a while, and poisonRate requests a second with the poison part.
func (p *partsPlay) play(rate float64, during time.Duration, poisonRate float64) {
	due := 0.0
	for range int(rate * during.Seconds()) {
		for due += poisonRate / rate; due >= 1; due-- {
			p.askPoison()
		}
		p.askOther()
		p.Run(time.Duration(float64(time.Second) / rate))
	}
}

// othersRefused returns how many requests without the poison part were refused for good.
func (p *partsPlay) othersRefused() int {
	n := 0
	for c, refused := range p.condemned {
		if !p.poisoned[c] {
			n += refused
		}
	}
	return n
}

// lateSends returns how many requests with the poison part reached targets later than a second after the fifth.
func (p *partsPlay) lateSends() int {
	late := 0
	for i, at := range p.poisonSentAt {
		if i >= 5 && at > p.poisonSentAt[4].Add(time.Second) {
			late++
		}
	}
	return late
}

// Guards against a part of prompts that ends targets in each region, and against refusing the requests that share its
// other parts.
func TestPoisonPartIsFoundInAllRegions(t *testing.T) {
	for _, size := range []struct {
		regions, hosts, targets, slots int
		work                           time.Duration
	}{
		{1, 2, 6, 32, time.Second},
		{3, 2, 4, 32, 2 * time.Second},
		{3, 2, 4, 32, 300 * time.Millisecond},
		{3, 30, 30, 16, time.Second},
		{12, 8, 10, 16, time.Second},
	} {
		t.Run(fmt.Sprintf("%d regions of %d hosts and %d targets, %v", size.regions, size.hosts, size.targets, size.work), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				p := newPartsPlay(seed, size.regions, size.hosts, size.targets, size.slots, size.work)
				rate := 0.4 * float64(size.regions*size.targets*size.slots) / size.work.Seconds()
				p.play(rate, 2*time.Second, 0)
				p.play(rate, 6*time.Second, 10)
				p.Run(10 * time.Second)
				if n := p.lateSends(); n > 0 {
					t.Errorf("seed %d: %d requests with the part reached targets over a second after the fifth, %d in all", seed, n, len(p.poisonSentAt))
				}
				if n := p.othersRefused(); n > 0 {
					t.Errorf("seed %d: %d other requests were refused for good", seed, n)
				}
			}
		})
	}
}

// Guards against refusing what requests share because their targets crash at once or in turn for another reason.
func TestWaveOfCrashesCondemnsNoPart(t *testing.T) {
	const regions, targets, slots, crashes = 3, 6, 32, 14
	for _, work := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, gap := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("every %v, answers of %v", gap, work), func(t *testing.T) {
				t.Parallel()
				rate := 0.4 * regions * targets * slots / work.Seconds()
				for seed := range uint64(2) {
					p := newPartsPlay(seed, regions, 4, targets, slots, work)
					p.play(rate, 6*time.Second, 0)
					for n := range crashes {
						p.EndTarget(p.Targets[(n*5+int(seed))%len(p.Targets)].ID)
						p.play(rate, gap, 0)
					}
					p.play(rate, time.Second, 0)
					p.Run(10 * time.Second)
					if n := p.othersRefused(); n > 0 {
						t.Errorf("seed %d: %d of %d requests were refused for good", seed, n, p.n)
					}
				}
			})
		}
	}
}

// Guards against a part that ends targets and is not found because half of all targets crash beside it.
func TestPoisonPartIsFoundBesideCrashes(t *testing.T) {
	const regions, targets, slots, work = 3, 6, 32, time.Second
	rate := 0.4 * regions * targets * slots / work.Seconds()
	for seed := range uint64(3) {
		p := newPartsPlay(seed, regions, 4, targets, slots, work)
		p.play(rate, 4*time.Second, 0)
		for n := range 9 {
			p.EndTarget(p.Targets[(n*5+int(seed))%len(p.Targets)].ID)
		}
		p.play(rate, 6*time.Second, 10)
		p.Run(10 * time.Second)
		if n := p.lateSends(); n > 0 {
			t.Errorf("seed %d: %d requests with the part reached targets over a second after the fifth, %d in all", seed, n, len(p.poisonSentAt))
		}
	}
}

// Guards against a caller that has a part of others' prompts refused by naming it in requests that end targets for another reason.
func TestPartOfOthersOutlivesAnAbuser(t *testing.T) {
	checkAbuser(t, 500*time.Millisecond)
}

// Guards against the same where the abuser ends ten targets a second, so that hardly any answer comes.
func TestPartOfOthersOutlivesAStormOfEnds(t *testing.T) {
	checkAbuser(t, 100*time.Millisecond)
}

// checkAbuser sends 40 requests that end targets, in an interval, with parts of others in their prompts.
func checkAbuser(t *testing.T, interval time.Duration) {
	t.Helper()
	const regions, targets, slots, work = 3, 6, 32, time.Second
	rate := 0.4 * regions * targets * slots / work.Seconds()
	for seed := range uint64(3) {
		p := newPartsPlay(seed, regions, 4, targets, slots, work)
		p.EndsTarget = func(req event.Request) bool { return p.poisoned[req.Content] }
		p.play(rate, 4*time.Second, 0)
		for n := range 40 {
			p.n++
			p.poisoned[ident.Content(p.n+1)] = true
			p.askParts(firstPart, groupPart, ident.Content(1_000_000+n))
			p.play(rate, interval, 0)
		}
		p.Run(10 * time.Second)
		if p.ends() < 10 {
			t.Errorf("seed %d: %d targets ended", seed, p.ends())
		}
		if n := p.othersRefused(); n > 0 {
			t.Errorf("seed %d: %d of %d requests of others were refused for good", seed, n, p.n)
		}
	}
}

// Guards against forgetting a part that ends targets when the hosts that found it restart, and against ending as many again in each
// region while the regions can't reach each other.
func TestPoisonPartIsKnownAfterRestartsAndPartitions(t *testing.T) {
	p := newPartsPlay(1, 2, 3, 6, 32, 300*time.Millisecond)
	p.play(100, 2*time.Second, 0)
	p.play(100, 3*time.Second, 10)
	known := len(p.poisonSentAt)
	for _, host := range p.hosts[:2] {
		p.Restart(host)
		p.play(100, 2*time.Second, 10)
	}
	if n := len(p.poisonSentAt) - known; n > 0 {
		t.Errorf("%d requests with the part reached targets after restarts, %d before", n, known)
	}

	p = newPartsPlay(2, 2, 3, 6, 32, 300*time.Millisecond)
	part := make(map[ident.EntryID]bool)
	for _, id := range p.hosts[:3] {
		part[id] = true
	}
	p.play(100, 2*time.Second, 0)
	p.setPartition(part)
	p.play(100, 5*time.Second, 10)
	cut := len(p.poisonSentAt)
	p.setPartition(nil)
	p.play(100, 5*time.Second, 10)
	if n := len(p.poisonSentAt) - cut; n > 0 {
		t.Errorf("%d requests with the part reached targets after the partition, %d in it", n, cut)
	}
	if cut > 20 {
		t.Errorf("%d requests with the part reached targets of two regions that could not reach each other", cut)
	}
}
