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
	defaultMost      = 1 << 10
	defaultHomeShare = 0.5
	defaultLead      = 2 * time.Second
	defaultMargin    = 0.5

	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = time.Second
)

// Config bounds the queue. Zero fields stand for the defaults.
type Config struct {
	// Most is the most requests that wait.
	Most int
	// HomeShare is the share of the work that home-bound requests are given
	// before others that wait.
	HomeShare float64
	// Lead is how much more work an account may have been given than another
	// that waits.
	Lead time.Duration
	// Margin is the share of the predicted work that is added to it before
	// it is held against the deadline. A negative one is none.
	Margin float64
}

// Item is one request that waits.
type Item struct {
	ID       ident.RequestID
	Account  ident.Account
	Home     bool
	Priority int
	// Late says that it can no longer be answered within its goal.
	Late     bool
	Deadline ident.Time
	// Work is the predicted time from the start to the whole answer.
	Work time.Duration
}

// entry is an item in the order of its arrival.
type entry struct {
	Item
	account *account
	// latest is the last moment at which it can start and be met.
	latest ident.Time
}

// account is what the queue knows of one client account.
type account struct {
	name    ident.Account
	waiting int
	// given is the work given to it, on a scale shared by all accounts.
	given time.Duration
}

// Queue holds the requests that wait.
type Queue struct {
	cfg      Config
	entries  []entry
	accounts map[ident.Account]*account
	work     time.Duration
	// level is the least work given to any account that waited at the last
	// Pop. An account that comes anew starts there: time not used is no
	// credit.
	level time.Duration
	// home and other are the work given while both kinds waited.
	home, other time.Duration
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Most == 0 {
		cfg.Most = defaultMost
	}
	if cfg.HomeShare == 0 {
		cfg.HomeShare = defaultHomeShare
	}
	if cfg.Lead == 0 {
		cfg.Lead = defaultLead
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
	if late := now.Add(wait).Sub(q.latest(it)); late > 0 {
		return false, nil, max(minRetryAfter, late)
	}
	if q.index(it.ID) >= 0 {
		return true, nil, 0
	}
	if len(q.entries) >= q.cfg.Most {
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

// Put takes back an item that Pop gave out and that found no place.
func (q *Queue) Put(it Item) {
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
		if !q.entries[i].Late {
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
		if start <= e.latest {
			i++
			continue
		}
		ids = append(ids, e.ID)
		q.remove(i)
	}
	return ids
}

// Next returns when Shed has work even if a place were free at once, or Never.
func (q *Queue) Next() ident.Time {
	next := Never
	for i := range q.entries {
		next = min(next, q.entries[i].latest+1)
	}
	return next
}

// RetryAfter returns when a request that finds no place now may come back.
func (q *Queue) RetryAfter(_ ident.Time, wait time.Duration) time.Duration {
	return max(minRetryAfter, wait)
}

// latest returns the last moment at which an item can start and be met.
func (q *Queue) latest(it Item) ident.Time {
	return it.Deadline.Add(-it.Work - time.Duration(max(q.cfg.Margin, 0)*float64(it.Work)))
}
