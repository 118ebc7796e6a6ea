package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Timing and bounds of loadFleet.
const (
	loadTick         = 10 * time.Millisecond
	announcementTime = 20 * time.Millisecond
	loadSummaries    = 1800 * time.Millisecond
	loadWindow       = 8 * time.Second
	loadOvershoot    = 0.1
	loadSlack        = 140_000
	loadRegions      = 3
	// meanTokens is the mean size of a request.
	meanTokens = 12_000
)

// loadFleet plays the load of one account on hosts in three regions and records what they admit.
type loadFleet struct {
	now    ident.Time
	rnd    *rand.Rand
	client rules.Client
	// perRegion is the number of hosts of each region.
	perRegion int
	hosts     [loadRegions][]*Ledger
	// demand is the tokens per second that callers of each region request.
	demand [loadRegions]float64
	// cut holds the regions that can't reach the others.
	cut     [loadRegions]bool
	pending []pendingAnnouncement
	// admitted holds the tokens admitted in each tick, asked those requested.
	admitted, asked []float64
	// ideal is one bucket for all hosts, allowed what it admits in each tick.
	ideal   float64
	allowed []float64
}

// pendingAnnouncement is an announcement on its way to the other hosts of a region.
type pendingAnnouncement struct {
	at     ident.Time
	region int
	from   ident.EntryID
	as     []event.Admission
}

func newLoadFleet(perRegion int, perSecond float64) *loadFleet {
	f := &loadFleet{rnd: rand.New(rand.NewPCG(1, 2)), ideal: perSecond, perRegion: perRegion}
	f.client = rules.Client{
		Name: "acme", TokensPerMinute: ident.PerMinute(perSecond * time.Minute.Seconds()), TokenBurst: value.Some(ident.Tokens(perSecond)),
	}
	for r := range loadRegions {
		for h := range perRegion {
			f.hosts[r] = append(f.hosts[r], f.host(r, h))
		}
	}
	return f
}

func (f *loadFleet) host(region, number int) *Ledger {
	l := New(ident.EntryID(fmt.Sprint("h", region, ".", number)), centreName(region))
	b := Bounds{Window: loadWindow, Overshoot: loadOvershoot, Slack: loadSlack, Timeout: 4 * time.Second}
	for r := range loadRegions {
		b.Centres = append(b.Centres, centreName(r))
	}
	l.SetBounds(b)
	l.SetHosts(f.now, 1, f.perRegion)
	return l
}

// kill restarts the given part of the hosts of each region.
func (f *loadFleet) kill(part float64) {
	for r := range f.hosts {
		for h := range int(part * float64(len(f.hosts[r]))) {
			f.hosts[r][h] = f.host(r, h)
		}
	}
}

func (f *loadFleet) run(d time.Duration) {
	for range int(d / loadTick) {
		f.now = f.now.Add(loadTick)
		f.exchange()
		f.arrivals()
	}
}

func (f *loadFleet) exchange() {
	for r, ls := range f.hosts {
		for _, l := range ls {
			if at := l.NextAnnouncement(); at > 0 && at <= f.now {
				f.pending = append(f.pending, pendingAnnouncement{f.now.Add(announcementTime), r, l.self, l.Announce(f.now)})
			}
		}
	}
	for len(f.pending) > 0 && f.pending[0].at <= f.now {
		p := f.pending[0]
		f.pending = f.pending[1:]
		for _, l := range f.hosts[p.region] {
			l.MergeAnnouncement(f.now, p.from, p.as, func(ident.Account) (rules.Client, bool) { return f.client, true })
		}
	}
	if f.now%ident.Time(time.Second) == 0 {
		f.digests()
	}
	if f.now%ident.Time(loadSummaries) == 0 {
		f.summaries()
	}
}

func (f *loadFleet) digests() {
	for _, ls := range f.hosts {
		for _, from := range ls {
			uses := from.DigestDemand(f.now)
			for _, to := range ls {
				to.SetPeerDemand(f.now, from.self, uses)
			}
		}
		for _, l := range ls {
			l.SetHosts(f.now, len(ls), len(ls))
			f.relay(ls, l)
		}
	}
}

// relay gives a host that has just started what another one of its region knows of the other
// regions, as a full digest does.
func (f *loadFleet) relay(ls []*Ledger, to *Ledger) {
	for _, from := range ls {
		a, ok := from.accounts[f.client.Name]
		if !ok || from.startedAt >= to.startedAt {
			continue
		}
		for dc, c := range to.centres {
			if !c.silent || from.centres[dc].silent {
				continue
			}
			var uses []event.AccountUse
			if i, ok := find(a.centres, dc); ok {
				uses = append(uses, a.centres[i].rate.accountUse(a.name))
			}
			to.MergeCentreReport(f.now, from.centres[dc].lastSeen, dc, uses)
		}
		return
	}
}

func (f *loadFleet) summaries() {
	for r, ls := range f.hosts {
		uses, ok := ls[0].SummaryDemand(f.now)
		for o, to := range f.hosts {
			if o == r || f.cut[r] || f.cut[o] || !ok {
				continue
			}
			for _, l := range to {
				l.MergeCentreReport(f.now, f.now, centreName(r), uses)
			}
		}
	}
}

func (f *loadFleet) arrivals() {
	rate := float64(f.client.TokensPerMinute) / time.Minute.Seconds()
	f.ideal = min(f.ideal+rate*loadTick.Seconds(), rate)
	var admitted, asked, allowed float64
	for r, ls := range f.hosts {
		mean := f.demand[r] * loadTick.Seconds() / meanTokens
		for mean > 0 {
			// Arrivals are a Poisson process.
			if mean -= f.rnd.ExpFloat64(); mean < 0 {
				break
			}
			tokens := meanTokens * (0.25 + 1.5*f.rnd.Float64())
			asked += tokens
			if f.ideal >= tokens {
				f.ideal -= tokens
				allowed += tokens
			}
			if ok, _ := ls[f.rnd.IntN(len(ls))].Take(f.now, f.client, ident.Tokens(tokens)); ok {
				admitted += tokens
			}
		}
	}
	f.admitted, f.asked, f.allowed = append(f.admitted, admitted), append(f.asked, asked), append(f.allowed, allowed)
}

// worstWindow returns the most tokens admitted in a window relative to the bound.
func (f *loadFleet) worstWindow() float64 {
	n, sum, worst := int(loadWindow/loadTick), 0.0, 0.0
	for i, v := range f.admitted {
		sum += v
		if i >= n {
			sum -= f.admitted[i-n]
		}
		worst = max(worst, sum)
	}
	rate := float64(f.client.TokensPerMinute) / time.Minute.Seconds()
	return worst / ((rate*loadWindow.Seconds()+rate)*(1+loadOvershoot) + loadSlack)
}

func total(vs []float64) float64 {
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	return sum
}

// servedRatio returns what was admitted since a tick relative to what one bucket for all hosts admits.
func (f *loadFleet) servedRatio(since int) float64 {
	return total(f.admitted[since:]) / max(total(f.allowed[since:]), 1)
}

// Plays an account whose demand jumps to several times its limit, moves between regions and meets
// restarts and partitions. Guards against a window in which the hosts together admit more than the
// bound, and against requests that are refused below the limit.
func TestLimitUnderLoad(t *testing.T) {
	for _, perRegion := range []int{10, 26, 33, 123} {
		for _, perSecond := range []float64{36_000, 200_000, 1_200_000} {
			t.Run(fmt.Sprint(3*perRegion, "hosts", perSecond), func(t *testing.T) {
				f := newLoadFleet(perRegion, perSecond)
				spread := func(ratio float64) {
					for r := range f.demand {
						f.demand[r] = ratio * perSecond / loadRegions
					}
				}
				f.run(10 * time.Second)
				var got []string
				phase := func(name string, d time.Duration, setUp func()) {
					setUp()
					since := len(f.admitted)
					f.run(d)
					got = append(got, fmt.Sprintf("%s %.2f", name, f.servedRatio(since)))
				}
				phase("usual", 20*time.Second, func() { spread(0.55) })
				phase("hot", 8*time.Second, func() { spread(4.2) })
				phase("usual", 10*time.Second, func() { spread(0.55) })
				phase("moved", 10*time.Second, func() { spread(0); f.demand[0] = 0.55 * perSecond })
				phase("hot", 8*time.Second, func() { spread(4.2) })
				phase("quarter restarted", 8*time.Second, func() { f.kill(0.25) })
				phase("all restarted", 8*time.Second, func() { f.kill(1) })
				phase("usual", 10*time.Second, func() { spread(0.55) })
				phase("cut, hot", 10*time.Second, func() { f.cut = [loadRegions]bool{true, true, true}; spread(4.2) })
				phase("hot", 10*time.Second, func() { f.cut = [loadRegions]bool{} })
				t.Logf("worst window %.3f of the bound; of what one bucket admits: %v", f.worstWindow(), got)
				if worst := f.worstWindow(); worst > 1 {
					t.Errorf("a window has %.3f of the bound", worst)
				}
			})
		}
	}
}

// Guards against any order of jumps of the demand, moves between regions, restarts and partitions
// after which the hosts together admit more than the bound in some window.
func TestLimitHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{36_000, 200_000, 1_200_000}).Draw(t, "limit")
		f := newLoadFleet(rapid.IntRange(2, 12).Draw(t, "hosts"), perSecond)
		f.run(6 * time.Second)
		for range rapid.IntRange(2, 6).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"demand", "demand", "kill", "cut", "heal"}).Draw(t, "step") {
			case "demand":
				for r := range f.demand {
					f.demand[r] = perSecond * rapid.SampledFrom([]float64{0, 0.2, 0.6, 2}).Draw(t, "ratio")
				}
			case "kill":
				f.kill(rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "part"))
			case "cut":
				f.cut[rapid.IntRange(0, loadRegions-1).Draw(t, "region")] = true
			case "heal":
				f.cut = [loadRegions]bool{}
			}
			f.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
		}
		if worst := f.worstWindow(); worst > 1 {
			t.Fatalf("a window has %.3f of the bound", worst)
		}
	})
}
