// Package admit holds requests while no target is free, and gives up at once
// on those that can't be met.
//
// # Usage
//
//	q := admit.New(admit.Config{})
//	ok, shed, retryAfter := q.Push(now, item, wait)
//	for _, id := range q.Shed(now, untilFree) { ... } // final answers
//	item, ok := q.Pop(now)                            // when a place is free
//
// wait is the predicted time until the item would start. Work gives the sum of
// what waits, for that prediction.
//
// # Order
//
// Home-bound requests go first, until they have had HomeShare of the work
// since both kinds began to wait; so a home can't be crowded out by work that
// could go elsewhere, nor crowd out all else. Then the higher priority goes
// first. Among equals the earliest deadline goes first, among the accounts
// that are not ahead: each account counts the work it was given, and one that
// is more than Lead ahead of the least served account waits. Two accounts that
// both wait therefore differ by at most Lead and the work of one request,
// whatever their deadlines. Strict turns between accounts would be fairer
// still, but would miss deadlines that this order meets.
//
// # Overload
//
// A queue that takes everything serves each request too late once it is longer
// than the deadlines, and then no work done is of use. So what can't be met is
// refused when it comes, and what can no longer be met is shed before it is
// served. Each gets its final answer at once, with when to come back. Work is
// a prediction, so a Margin is asked for on top of it.
//
// # Bounds
//
// At most Config.Most requests wait. A full queue has room for an account that
// holds less than its even share, at the cost of the account that holds most.
// Counts of work are kept for at most twice as many accounts.
package admit

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Never is what Next returns when nothing waits.
const Never ident.Time = math.MaxInt64

// Defaults of Config.
const (
	defaultMaxWaiting = 1 << 10
	defaultHomeShare  = 0.5
	defaultMaxLead    = 2 * time.Second
	defaultMargin     = 0.5

	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = time.Second
)

// Config bounds the queue. Zero fields stand for the defaults.
type Config struct {
	// MaxWaiting is the most requests that wait.
	MaxWaiting int
	// HomeShare is the share of the work that home-bound requests are given
	// before others that wait.
	HomeShare float64
	// MaxLead is how much more work an account may have been given than another
	// that waits.
	MaxLead time.Duration
	// Margin is the share of the predicted work that is added to it before
	// it is held against the deadline. A negative one is none.
	Margin float64
}

// Item is one request that waits.
type Item struct {
	ID        ident.RequestID
	Account   ident.Account
	HomeBound bool
	Priority  int
	// PastGoal says that it can no longer be answered within its goal.
	PastGoal bool
	Deadline ident.Time
	// Work is the predicted time from the start to the whole answer.
	Work time.Duration
}

// entry is an item in the order of its arrival.
type entry struct {
	Item
	account *account
	// latestStart is the last moment at which it can start and be met.
	latestStart ident.Time
}

// account is what the queue knows of one client account.
type account struct {
	name    ident.Account
	waiting int
	// served is the work served to it, on a scale shared by all accounts.
	served time.Duration
}

// Queue holds the requests that wait.
type Queue struct {
	cfg      Config
	entries  []entry
	accounts map[ident.Account]*account
	work     time.Duration
	// servedFloor is the least work given to any account that waited at the last
	// Pop. An account that comes anew starts there: time not used is no
	// credit.
	servedFloor time.Duration
	// homeServed and otherServed are the work given while both kinds waited.
	homeServed, otherServed time.Duration
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = defaultMaxWaiting
	}
	if cfg.HomeShare == 0 {
		cfg.HomeShare = defaultHomeShare
	}
	if cfg.MaxLead == 0 {
		cfg.MaxLead = defaultMaxLead
	}
	if cfg.Margin == 0 {
		cfg.Margin = defaultMargin
	}
	return &Queue{cfg: cfg, accounts: make(map[ident.Account]*account)}
}

// Len counts the requests that wait.
func (q *Queue) Len() int { return len(q.entries) }

// Work is the predicted work of all requests that wait.
func (q *Queue) Work() time.Duration { return q.work }

// Push queues an item that would start after the predicted wait. If it may
// not wait, retryAfter is when to come back. shed lists those that lost their
// place to it.
func (q *Queue) Push(now ident.Time, it Item, wait time.Duration) (ok bool, shed []ident.RequestID, retryAfter time.Duration) {
	if late := now.Add(wait).Sub(q.latestStart(it)); late > 0 {
		return false, nil, max(minRetryAfter, late)
	}
	if q.index(it.ID) >= 0 {
		return true, nil, 0
	}
	if len(q.entries) >= q.cfg.MaxWaiting {
		i, ok := q.victim(it.Account)
		if !ok {
			return false, nil, q.RetryAfter(now, wait)
		}
		shed = append(shed, q.entries[i].ID)
		q.remove(i)
	}
	q.add(it)
	return true, shed, 0
}

// PutBack takes back an item that Pop gave out and that found no place.
func (q *Queue) PutBack(it Item) {
	if q.index(it.ID) < 0 {
		q.add(it)
	}
}

// Ahead counts the requests that go before one that comes now, but for those that it
// passes by its account or deadline: for one in time only those that are in time too.
func (q *Queue) Ahead(late bool) int {
	if late {
		return len(q.entries)
	}
	n := 0
	for i := range q.entries {
		if !q.entries[i].PastGoal {
			n++
		}
	}
	return n
}

// Remove takes out a request whose caller has left, and reports whether it
// waited.
func (q *Queue) Remove(id ident.RequestID) bool {
	i := q.index(id)
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// Shed takes out the requests that can no longer be met if the next place is
// free after wait, in the order of their arrival.
func (q *Queue) Shed(now ident.Time, wait time.Duration) []ident.RequestID {
	var ids []ident.RequestID
	start := now.Add(max(wait, 0))
	for i := 0; i < len(q.entries); {
		e := &q.entries[i]
		if start <= e.latestStart {
			i++
			continue
		}
		ids = append(ids, e.ID)
		q.remove(i)
	}
	return ids
}

// NextShed returns when Shed has work even if a place were free at once, or Never.
func (q *Queue) NextShed() ident.Time {
	next := Never
	for i := range q.entries {
		next = min(next, q.entries[i].latestStart+1)
	}
	return next
}

// RetryAfter returns when a request that finds no place now may come back.
func (q *Queue) RetryAfter(_ ident.Time, wait time.Duration) time.Duration {
	return max(minRetryAfter, wait)
}

// latestStart returns the last moment at which an item can start and be met.
func (q *Queue) latestStart(it Item) ident.Time {
	return it.Deadline.Add(-it.Work - time.Duration(max(q.cfg.Margin, 0)*float64(it.Work)))
}
