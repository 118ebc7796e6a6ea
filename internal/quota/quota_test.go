package quota

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// naiveReports keeps the last report of each place for each account.
type naiveReports struct {
	peers   map[ident.EntryID]map[ident.Account]rates
	centres map[ident.DataCentre]map[ident.Account]rates
}

func drawUses(t *rapid.T) []event.AccountUse {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]ident.Account{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "names")
	var uses []event.AccountUse
	for _, n := range names {
		uses = append(uses, event.AccountUse{Account: n, Requests: ident.PerMinute(rapid.IntRange(0, 3).Draw(t, "requests"))})
	}
	return uses
}

func sumForAccount[K comparable](all map[K]map[ident.Account]rates, a ident.Account) rates {
	var sum rates
	for _, reported := range all {
		sum = sum.plus(reported[a])
	}
	return sum
}

// Guards against late or duplicate reports leaving demand behind that never expires.
func TestReportsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New("me", "here")
		n := naiveReports{peers: map[ident.EntryID]map[ident.Account]rates{}, centres: map[ident.DataCentre]map[ident.Account]rates{}}
		now := ident.Time(0)
		t.Repeat(map[string]func(*rapid.T){
			"digest": func(t *rapid.T) {
				from := rapid.SampledFrom([]ident.EntryID{"me", "p", "q"}).Draw(t, "from")
				uses := drawUses(t)
				l.SetPeerDemand(now, from, uses)
				if from == "me" {
					return
				}
				n.peers[from] = map[ident.Account]rates{}
				for _, u := range uses {
					n.peers[from][u.Account] = rates{requests: u.Requests}
				}
			},
			"drop": func(t *rapid.T) {
				from := rapid.SampledFrom([]ident.EntryID{"p", "q"}).Draw(t, "from")
				l.DropPeer(from)
				delete(n.peers, from)
			},
			"summary": func(t *rapid.T) {
				dc := rapid.SampledFrom([]ident.DataCentre{"here", "x", "y"}).Draw(t, "dc")
				uses := drawUses(t)
				l.MergeCentreReport(now, now, dc, uses)
				if dc == "here" {
					return
				}
				if n.centres[dc] == nil {
					n.centres[dc] = map[ident.Account]rates{}
				}
				for _, u := range uses {
					n.centres[dc][u.Account] = rates{requests: u.Requests}
				}
			},
			"send": func(*rapid.T) {
				now = now.Add(time.Second)
				l.DigestDemand(now)
				l.SummaryDemand(now)
			},
			"": func(t *rapid.T) {
				for _, name := range []ident.Account{"a", "b", "c"} {
					var got [2]rates
					if a, ok := l.accounts[name]; ok {
						for _, p := range a.peers {
							got[0] = got[0].plus(p.rate)
						}
						for _, p := range a.centres {
							got[1] = got[1].plus(p.rate)
						}
					}
					want := [2]rates{sumForAccount(n.peers, name), sumForAccount(n.centres, name)}
					if want != got {
						t.Fatalf("%s: got %v, naive %v", name, got, want)
					}
				}
			},
		})
	})
}

// Guards against lost summaries: an account that is never sent again would be admitted
// in full everywhere.
func TestLostSummariesAreRepaired(t *testing.T) {
	from, to := New("f", "from"), New("t", "to")
	now := ident.Time(0)
	round := func(lost bool) {
		now = now.Add(time.Second)
		uses, _ := from.SummaryDemand(now)
		if len(uses) > maxSummaryAccounts || !slices.IsSortedFunc(uses, func(a, b event.AccountUse) int {
			return strings.Compare(string(a.Account), string(b.Account))
		}) {
			t.Fatalf("summary of %d accounts is too large or not sorted", len(uses))
		}
		if !lost {
			to.MergeCentreReport(now, now, "from", uses)
		}
	}
	for i := range 100 {
		for range 1 + i {
			from.Take(now, rules.Client{Name: ident.Account(fmt.Sprint(i)), RequestsPerMinute: 1e6}, 1)
		}
	}
	for i := range 2 + 100/(maxSummaryAccounts/2) + 1 {
		round(i < 2)
	}
	if got := len(to.accountNames()); got != 100 {
		t.Errorf("%d of 100 accounts have reached the other data centre", got)
	}
	now = now.Add(5 * time.Minute) // all demand has decayed
	for i := range 21 {
		round(i < 7)
	}
	for _, name := range to.accountNames() {
		if ps := to.accounts[name].centres; len(ps) > 0 {
			t.Errorf("%s still has remote demand %+v", name, ps)
		}
	}
	if got := len(from.accountNames()); got != 0 {
		t.Errorf("%d idle accounts were not dropped", got)
	}
}

// Guards against a lost report of inactivity that keeps an account below its limit for
// ever.
func TestStaleReportExpires(t *testing.T) {
	l := New("me", "here")
	l.MergeCentreReport(0, 0, "x", []event.AccountUse{{Account: "acme", Requests: 600}})
	var got []bool
	for range minReportsSince + 1 {
		l.MergeCentreReport(0, 0, "x", nil)
		l.Take(0, limitedClient, 0)
		got = append(got, l.shares(l.accounts["acme"]).requests == 1)
	}
	if first := slices.Index(got, true); first != minReportsSince {
		t.Errorf("stale demand expires after %d reports, want %d", first, minReportsSince)
	}
}

// Guards against entries of a data centre with many active accounts that expire before its reports
// repeat them, so that these accounts are admitted in full.
func TestEntriesOfManyAccountsAreRepeatedInTime(t *testing.T) {
	// Accounts whose demand changes all the time take half of each report.
	const accounts, perReport = 3200, maxSummaryAccounts / 2
	l := New("me", "here")
	now := ident.Time(0)
	for round := range 3 * accounts / perReport {
		now = now.Add(time.Second)
		uses := make([]event.AccountUse, perReport)
		for i := range uses {
			uses[i] = event.AccountUse{Account: ident.Account(fmt.Sprint((round*perReport + i) % accounts)), Requests: 600}
		}
		l.MergeCentreReport(now, now, "x", uses)
		l.SummaryDemand(now)
		if got := l.centres["x"].entries; round > accounts/perReport && got != accounts {
			t.Fatalf("round %d: %d of %d accounts have demand from the other data centre", round, got, accounts)
		}
	}
}

// Guards against a Retry-After that is too short, so that the caller is refused again,
// or too long.
func TestRetryAfterIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New("me", "here")
		c := rules.Client{
			Name:              "acme",
			RequestsPerMinute: ident.PerMinute(rapid.IntRange(6, 600).Draw(t, "requests")),
			TokensPerMinute:   ident.PerMinute(rapid.IntRange(600, 60_000).Draw(t, "tokens")),
		}
		now, used := ident.Time(0), ident.Tokens(0)
		for range 200 {
			n := ident.Tokens(rapid.IntRange(0, 200).Draw(t, "n"))
			ok, after := l.Take(now, c, n)
			if ok {
				l.Settle(now, c.Name, n, n/2)
				used += n / 2
				continue
			}
			if after <= 0 || after > maxRetryAfter {
				t.Fatalf("refused with invalid Retry-After %v", after)
			}
			if early, _ := l.Take(now.Add(after-after/4-time.Microsecond), c, n); early && after > time.Millisecond {
				t.Fatalf("admitted before Retry-After %v had passed", after)
			}
			now = now.Add(after + time.Microsecond)
			if ok, again := l.Take(now, c, n); !ok && after < maxRetryAfter {
				t.Fatalf("refused again after Retry-After %v, new Retry-After %v", after, again)
			}
			used += n
			maxTokens := float64(c.TokensPerMinute)*time.Duration(now).Minutes() + float64(c.TokensPerMinute)/6 + 400
			if float64(used) > maxTokens {
				t.Fatalf("%d tokens admitted in %v, want at most %v", used, time.Duration(now), maxTokens)
			}
		}
	})
}

// Guards against reserved tokens that were not used staying charged.
func TestSettleRefundsUnusedTokens(t *testing.T) {
	l := New("me", "here")
	c := rules.Client{Name: "acme", TokensPerMinute: 600}
	l.Take(0, c, 100)
	if ok, _ := l.Take(0, c, 100); ok {
		t.Errorf("admitted with no tokens left")
	}
	l.Settle(0, c.Name, 100, 0)
	if ok, after := l.Take(0, c, 100); !ok {
		t.Errorf("refused after the refund of the tokens, Retry-After %v", after)
	}
}

// Guards against a long idle account sending more than one burst at once.
func TestIdleAccountSavesOneBurst(t *testing.T) {
	l := New("me", "here")
	l.Take(0, limitedClient, 0)
	n := 0
	for ok := true; ok; n++ {
		ok, _ = l.Take(ident.Time(time.Hour), limitedClient, 0)
	}
	if want := 100 + 1; n != want {
		t.Errorf("%d requests at once, want %d", n, want)
	}
}

// Guards against use from before a limit was set counting against it.
func TestNewLimitIgnoresEarlierUse(t *testing.T) {
	l := New("me", "here")
	c := rules.Client{Name: "acme", RequestsPerMinute: 1e6}
	for i := range 1000 {
		l.Take(ident.Time(i), c, 1e6)
	}
	c.TokensPerMinute = 6000
	if ok, after := l.Take(ident.Time(time.Second), c, 1); !ok {
		t.Errorf("refused with Retry-After %v", after)
	}
}

// Guards against invalid rates that corrupt the shares, and against memory that grows
// without bound with the number of accounts or data centres.
func TestLedgerBounded(t *testing.T) {
	l := New("me", "here")
	nan := ident.PerMinute(0)
	nan /= nan
	l.MergeCentreReport(0, 0, "x", []event.AccountUse{{Account: "a", Requests: nan, Tokens: 100}, {Account: "b", Requests: -1}})
	want := []event.AccountUse{{Account: "a", Tokens: 100}}
	var got []event.AccountUse
	for _, name := range l.accountNames() {
		got = append(got, l.accounts[name].centres[0].rate.accountUse(name))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("accounts (-want +got):\n%s", diff)
	}
	for i := range maxAccounts + 100 {
		l.SetPeerDemand(0, "p", []event.AccountUse{{Account: ident.Account(fmt.Sprint(i)), Requests: 1}})
		l.MergeCentreReport(0, 0, ident.DataCentre(fmt.Sprint(i)), []event.AccountUse{{Account: ident.Account(fmt.Sprint(i)), Requests: 1}})
	}
	if len(l.accounts) > maxAccounts || len(l.centres) > maxCentres {
		t.Errorf("ledger exceeds its bounds: %d accounts, %d data centres", len(l.accounts), len(l.centres))
	}
}

// BenchmarkLedger measures a Take and the memory of an account, with 890 accounts that
// are active at 7 peers and some of 44 other data centres.
func BenchmarkLedger(b *testing.B) {
	for _, active := range []int{4, 44} {
		b.Run(fmt.Sprint("centres=", active), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := New("me", "here")
			clients := make([]rules.Client, 890)
			var uses []event.AccountUse
			for i := range clients {
				clients[i] = rules.Client{Name: ident.Account(fmt.Sprint("account", i)), RequestsPerMinute: 600, TokensPerMinute: 1e6}
				uses = append(uses, event.AccountUse{Account: clients[i].Name, Requests: 10, Tokens: 1000})
				l.Take(0, clients[i], 100)
			}
			for i := range 7 {
				l.SetPeerDemand(0, ident.EntryID(fmt.Sprint("p", i)), uses)
			}
			for i := range 44 {
				reported := uses
				if i >= active {
					reported = nil
				}
				l.MergeCentreReport(0, 0, ident.DataCentre(fmt.Sprint("dc", i)), reported)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			i, now := 0, ident.Time(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Take(now, clients[i%890], 100)
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/890, "heap-B/account")
		})
	}
}
