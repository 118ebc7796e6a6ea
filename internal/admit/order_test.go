package admit

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/pkg/ident"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "100")
}

// referenceQueue is the queue as a plain list in order of arrival.
type referenceQueue struct {
	cfg                     Config
	list                    []Item
	served                  map[ident.Account]time.Duration
	servedFloor             time.Duration
	homeServed, otherServed time.Duration
}

func (n *referenceQueue) tooLate(now ident.Time, it Item) bool {
	return now.Add(it.Work+it.Work/2) > it.Deadline
}

func (n *referenceQueue) queued(a ident.Account) int {
	k := 0
	for _, it := range n.list {
		if it.Account == a {
			k++
		}
	}
	return k
}

func (n *referenceQueue) add(it Item) {
	if n.queued(it.Account) == 0 {
		n.served[it.Account] = max(n.served[it.Account], n.servedFloor)
	}
	n.list = append(n.list, it)
}

func (n *referenceQueue) drop(id ident.RequestID) bool {
	k := len(n.list)
	n.list = slices.DeleteFunc(n.list, func(it Item) bool { return it.ID == id })
	if len(n.list) == 0 {
		n.served, n.servedFloor, n.homeServed, n.otherServed = map[ident.Account]time.Duration{}, 0, 0, 0
	}
	return len(n.list) < k
}

func filter(list []Item, ok func(Item) bool) []Item {
	return slices.DeleteFunc(slices.Clone(list), func(it Item) bool { return !ok(it) })
}

// pop filters step by step until the earliest deadline decides.
func (n *referenceQueue) pop(now ident.Time) (Item, bool) {
	can := filter(n.list, func(it Item) bool { return !n.tooLate(now, it) })
	if len(can) == 0 {
		return Item{}, false
	}
	homes := filter(can, func(it Item) bool { return it.HomeBound })
	others := filter(can, func(it Item) bool { return !it.HomeBound })
	both := len(homes) > 0 && len(others) > 0
	if !both {
		n.homeServed, n.otherServed = 0, 0
	}
	can = others
	if len(others) == 0 || (both && n.homeServed <= n.otherServed) {
		can = homes
	}
	top := slices.MaxFunc(can, func(a, b Item) int { return a.Priority - b.Priority }).Priority
	can = filter(can, func(it Item) bool { return it.Priority == top })
	least := n.served[can[0].Account]
	for _, it := range can {
		least = min(least, n.served[it.Account])
	}
	n.servedFloor = max(n.servedFloor, least)
	can = filter(can, func(it Item) bool { return n.served[it.Account] <= least+n.cfg.MaxLead })
	it := slices.MinFunc(can, func(a, b Item) int { return int(a.Deadline - b.Deadline) })
	n.served[it.Account] += it.Work
	if both && it.HomeBound {
		n.homeServed += it.Work
	} else if both {
		n.otherServed += it.Work
	}
	n.drop(it.ID)
	return it, true
}

// mustRefuse reports whether a full queue must refuse a request of an account.
func (n *referenceQueue) mustRefuse(a ident.Account) bool {
	accounts, most := []ident.Account{a}, 0
	for _, it := range n.list {
		if !slices.Contains(accounts, it.Account) {
			accounts = append(accounts, it.Account)
		}
		if it.Account != a {
			most = max(most, n.queued(it.Account))
		}
	}
	return n.queued(a)*len(accounts) >= n.cfg.MaxWaiting || most <= n.queued(a)+1
}

// lessUrgentExists reports whether the account of an item has a less urgent one that should be
// dropped first.
func (n *referenceQueue) lessUrgentExists(it Item) bool {
	return slices.ContainsFunc(n.list, func(o Item) bool {
		return o.Account == it.Account &&
			(o.Priority < it.Priority || (o.Priority == it.Priority && o.Deadline > it.Deadline))
	})
}

func (n *referenceQueue) push(t *rapid.T, q *Queue, now ident.Time, it Item, wait time.Duration) {
	ok, shed, after := q.Push(now, it, wait)
	want := !n.tooLate(now.Add(wait), it) && (len(n.list) < n.cfg.MaxWaiting || !n.mustRefuse(it.Account))
	if ok != want || (!ok && after < minRetryAfter) {
		t.Fatalf("push %+v: got %v, want %v, retry after %v", it, ok, want, after)
	}
	if !ok {
		return
	}
	for _, id := range shed {
		i := slices.IndexFunc(n.list, func(o Item) bool { return o.ID == id })
		if i < 0 || len(n.list) < n.cfg.MaxWaiting || n.queued(n.list[i].Account) <= n.queued(it.Account)+1 || n.lessUrgentExists(n.list[i]) {
			t.Fatalf("push %+v sheds %s of %v", it, id, n.list)
		}
		n.drop(id)
	}
	n.add(it)
}

// Guards against requests that are never answered and accounts that starve others,
// by comparing every step with a simple reference implementation.
func TestOrderMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxWaiting: rapid.IntRange(6, 8).Draw(t, "most"), MaxLead: 2 * time.Second, Margin: 0.5, HomeShare: 0.5}
		q := New(cfg)
		n := &referenceQueue{cfg: cfg, served: map[ident.Account]time.Duration{}}
		now, count := ident.Time(0), 0
		push := func(t *rapid.T) {
			count++
			seconds := func(name string, most int) time.Duration {
				return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Second
			}
			n.push(t, q, now, Item{
				ID: ident.RequestID(fmt.Sprint(count)), Account: rapid.SampledFrom([]ident.Account{"a", "a", "b", "b", "c", "d"}).Draw(t, "account"),
				HomeBound: rapid.Bool().Draw(t, "home"), Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
				Deadline: now.Add(seconds("left", 30)), Work: seconds("work", 6),
			}, seconds("wait", 8))
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": push, "push2": push, "push3": push,
			"pop": func(t *rapid.T) {
				wantItem, want := n.pop(now)
				gotItem, got := q.Pop(now)
				if diff := cmp.Diff(wantItem, gotItem); want != got || diff != "" {
					t.Fatalf("pop: got %v, want %v (-reference +got):\n%s", got, want, diff)
				}
			},
			"remove": func(t *rapid.T) {
				id := ident.RequestID(fmt.Sprint(rapid.IntRange(1, max(count, 1)).Draw(t, "id")))
				if got, want := q.Remove(id), n.drop(id); got != want {
					t.Fatalf("remove %s: got %v, want %v", id, got, want)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "by")) * time.Second)
			},
			"shed": func(t *rapid.T) {
				var want []ident.RequestID
				for _, it := range filter(n.list, func(it Item) bool { return n.tooLate(now, it) }) {
					want = append(want, it.ID)
					n.drop(it.ID)
				}
				if diff := cmp.Diff(want, q.Shed(now, 0)); diff != "" {
					t.Fatalf("shed (-reference +got):\n%s", diff)
				}
				if q.NextShed() <= now {
					t.Fatalf("next is %d at %d, after Shed", q.NextShed(), now)
				}
			},
			"": func(t *rapid.T) {
				work := time.Duration(0)
				for _, it := range n.list {
					work += it.Work
				}
				if q.Len() != len(n.list) || q.Work() != work || q.Len() > cfg.MaxWaiting || len(q.accounts) > 2*cfg.MaxWaiting {
					t.Fatalf("%d wait with %v of work, want %d with %v", q.Len(), q.Work(), len(n.list), work)
				}
			},
		})
	})
}

// Guards against counts of work that grow without bound: while one request stays queued, each
// new account adds one.
func TestAccountsBounded(t *testing.T) {
	q := New(Config{MaxWaiting: 4})
	q.Push(0, Item{ID: "stays", Account: "stays", Priority: -1, Deadline: ident.Time(time.Hour)}, 0)
	for i := range 100 {
		id := fmt.Sprint(i)
		q.Push(0, Item{ID: ident.RequestID(id), Account: ident.Account(id), Deadline: ident.Time(time.Hour)}, 0)
		if it, ok := q.Pop(0); !ok || it.ID != ident.RequestID(id) {
			t.Fatalf("pop: got %s, want %s", it.ID, id)
		}
		if len(q.accounts) > 8 {
			t.Fatalf("%d accounts are counted with MaxWaiting 4", len(q.accounts))
		}
	}
}

// Guards against an account that fills the queue, so that requests of all others are refused.
func TestFullQueueShares(t *testing.T) {
	for _, tc := range []struct {
		queued, by string
		ok         bool
		shed       []ident.RequestID
	}{
		{"aabbbbcd", "c", true, []ident.RequestID{"5"}}, // the last request of b
		{"aabbbbcd", "e", true, []ident.RequestID{"5"}},
		{"aabbbbcd", "a", false, nil}, // has its even share already
		{"abbccdd", "a", false, nil},  // no account has more than one request more
		{"aaaa", "a", false, nil},
	} {
		q := New(Config{MaxWaiting: len(tc.queued)})
		for i, a := range tc.queued {
			q.Push(0, Item{ID: ident.RequestID(fmt.Sprint(i)), Account: ident.Account(a), Deadline: 1}, 0)
		}
		ok, shed, _ := q.Push(0, Item{ID: "new", Account: ident.Account(tc.by), Deadline: 1}, 0)
		if diff := cmp.Diff(tc.shed, shed); ok != tc.ok || diff != "" {
			t.Errorf("%s to %s: got %v, want %v (-want +got):\n%s", tc.by, tc.queued, ok, tc.ok, diff)
		}
	}
}

// BenchmarkQueue measures one Push, Shed and Pop with a thousand queued requests.
func BenchmarkQueue(b *testing.B) {
	q := New(Config{})
	b.ReportAllocs()
	now, i := ident.Time(0), 0
	push := func() {
		i++
		q.Push(now, Item{
			ID: ident.RequestID(fmt.Sprint(i)), Account: ident.Account(fmt.Sprint(i % 890)),
			Work: time.Second, Deadline: now.Add(time.Hour + time.Duration(i%100)*time.Second),
		}, 0)
	}
	for range 1000 {
		push()
	}
	for b.Loop() {
		push()
		q.Shed(now, 0)
		q.Pop(now)
	}
}

// Guards against serving a request that has already missed its goal first, which makes another
// one miss it too.
func TestPastGoalRequestsGoLast(t *testing.T) {
	q := New(Config{Margin: -1})
	now := ident.Time(time.Minute)
	for i, late := range []bool{true, false, true, false} {
		it := Item{ID: ident.RequestID(fmt.Sprint("q", i)), Account: "a", PastGoal: late, Deadline: now.Add(time.Duration(i+1) * time.Second)}
		if ok, _, _ := q.Push(now, it, 0); !ok {
			t.Fatalf("request %d is refused", i)
		}
	}
	if got := [2]int{q.Ahead(false), q.Ahead(true)}; got != [2]int{2, 4} {
		t.Errorf("requests ahead of one within its goal and of one past it: %v", got)
	}
	first, _ := q.Pop(now)
	q.PutBack(first)
	var order []ident.RequestID
	for q.Len() > 0 {
		it, _ := q.Pop(now)
		order = append(order, it.ID)
	}
	if diff := cmp.Diff([]ident.RequestID{"q1", "q3", "q0", "q2"}, order); diff != "" {
		t.Error(diff)
	}
}

// Guards against the rest of an answer that waits behind new requests until its deadline, because
// it may wait longer than they may.
func TestBegunAnswersGoFirst(t *testing.T) {
	q := New(Config{})
	now := ident.Time(time.Second)
	for i := range 5 {
		q.Push(now, Item{ID: ident.RequestID(fmt.Sprint("new", i)), Account: "a", HomeBound: i%2 == 0, Priority: 9, Deadline: now.Add(time.Second)}, 0)
	}
	q.Push(now, Item{ID: "late", Account: "a", Begun: true, Deadline: now.Add(8 * time.Second)}, 0)
	q.Push(now, Item{ID: "soon", Account: "a", Begun: true, Deadline: now.Add(5 * time.Second)}, 0)
	q.Push(now, Item{ID: "over", Account: "a", Begun: true, Deadline: now.Add(50 * time.Millisecond)}, 0)
	now = now.Add(100 * time.Millisecond)
	var got []ident.RequestID
	for range 3 {
		it, _ := q.Pop(now)
		got = append(got, it.ID)
	}
	if diff := cmp.Diff([]ident.RequestID{"soon", "late", "new0"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
