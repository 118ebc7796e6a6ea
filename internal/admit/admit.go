// Package admit queues requests while no target has capacity, and refuses those
// that can't meet their deadlines.
//
// # Usage
//
//	q := admit.New(admit.Config{})
//	ok, shed, retryAfter := q.Push(now, item, wait)
//	for _, id := range q.Shed(now, untilFree) { ... } // refuse
//	item, ok := q.Pop(now)                            // when a slot is free
//
// wait is the predicted time until the item would start. Work returns the total
// work that is queued, from which wait can be predicted.
//
// # Order
//
// The rest of an answer that has begun goes first: the work done for it would be lost,
// and its caller notices each pause. Among all others, home-bound requests, whose regions are restricted by the residency rule, go first
// until they have received HomeShare of the work served since both kinds began to
// wait. Requests that could run elsewhere thus can't crowd them out, and they can't
// starve the rest. Within each kind, requests past their goal go last. Next, a
// higher priority goes first. Among equal priorities the earliest deadline goes
// first, among the accounts that are not ahead: the queue counts the work served to
// each account, and an account that is more than MaxLead ahead of the least served
// account waits. The work served to two waiting accounts thus differs by at most
// MaxLead plus the work of one request, whatever their deadlines. Strict
// alternation between accounts would be fairer, but would miss deadlines that this
// order meets.
//
// # Overload
//
// A queue that accepts everything serves every request too late once the wait
// exceeds the deadlines, and all work done is wasted. So Push refuses a request
// that can't meet its deadline, and Shed drops one that no longer can, before it
// is served. Each gets its final answer immediately, with a time to retry after.
// Since Work is a prediction, Margin is added to it.
//
// # Bounds
//
// At most Config.MaxWaiting requests wait. If the queue is full, an account with
// less than an even share of it still gets a place, taken from the account with
// the most requests. Served work is counted for at most twice as many accounts.
package admit

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Never is what NextShed returns if the queue is empty.
const Never ident.Time = math.MaxInt64

// Default values of Config.
const (
	defaultMaxWaiting = 1 << 10
	defaultHomeShare  = 0.5
	defaultMaxLead    = 2 * time.Second
	defaultMargin     = 0.5

	// minRetryAfter keeps callers from retrying immediately.
	minRetryAfter = time.Second
)

// Config configures a Queue. Zero fields select the defaults.
type Config struct {
	// MaxWaiting is the maximum number of queued requests.
	MaxWaiting int
	// HomeShare is the share of the served work that home-bound requests get
	// before others while both kinds wait.
	HomeShare float64
	// MaxLead is how much more work an account may have been served than the least
	// served account that waits.
	MaxLead time.Duration
	// Margin is the fraction of the predicted work that is added to it when it is
	// checked against the deadline. A negative value adds none.
	Margin float64
}

// Item is a queued request.
type Item struct {
	ID      ident.RequestID
	Account ident.Account
	// HomeBound reports that the residency rule restricts the regions that may serve
	// the request.
	HomeBound bool
	Priority  int
	// PastGoal reports that the request can no longer be answered within its goal.
	PastGoal bool
	// Begun reports that the caller has a part of the answer already.
	Begun    bool
	Deadline ident.Time
	// Work is the predicted time from the start of the request to its full answer.
	Work time.Duration
}

// entry is a queued item. Entries are kept in order of arrival.
type entry struct {
	Item
	account *account
	// latestStart is the latest time at which the item can start and meet its deadline.
	latestStart ident.Time
}

// account is the state of one client account.
type account struct {
	name    ident.Account
	waiting int
	// served is the work served to the account, raised to servedFloor when the
	// account starts to wait.
	served time.Duration
}

// Queue holds the waiting requests. It is not safe for concurrent use.
type Queue struct {
	cfg      Config
	entries  []entry
	accounts map[ident.Account]*account
	work     time.Duration
	// servedFloor is the least work served to any account that waited at the last
	// Pop. The count of an account that starts to wait is raised to it, so that
	// idle time earns no credit.
	servedFloor time.Duration
	// homeServed and otherServed are the work served to home-bound and other
	// requests while both kinds waited.
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

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.entries) }

// Work returns the total predicted work of the queued requests.
func (q *Queue) Work() time.Duration { return q.work }

// Push queues an item that is predicted to start after wait. If it is refused,
// retryAfter is when to retry. shed lists the requests that were dropped to make
// room for it.
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

// PutBack returns an item from Pop to the queue because it found no capacity.
func (q *Queue) PutBack(it Item) {
	if q.index(it.ID) < 0 {
		q.add(it)
	}
}

// Ahead returns the number of queued requests that are ahead of a new one, as if
// they were served in order of arrival: it doesn't subtract those that the new one
// overtakes by priority, account or deadline. Past-goal requests are ahead only of
// a past-goal one.
func (q *Queue) Ahead(pastGoal bool) int {
	if pastGoal {
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

// Remove drops a request whose caller has disconnected, and reports whether it was
// queued.
func (q *Queue) Remove(id ident.RequestID) bool {
	i := q.index(id)
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// Shed removes the requests that can no longer meet their deadlines if the next
// slot becomes free after wait, and returns them in order of arrival.
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

// NextShed returns the earliest time at which Shed removes a request even with a
// zero wait, or Never.
func (q *Queue) NextShed() ident.Time {
	next := Never
	for i := range q.entries {
		next = min(next, q.entries[i].latestStart+1)
	}
	return next
}

// RetryAfter returns the time after which a refused request may retry.
func (q *Queue) RetryAfter(_ ident.Time, wait time.Duration) time.Duration {
	return max(minRetryAfter, wait)
}

// latestStart returns the latest time at which an item can start and meet its
// deadline.
func (q *Queue) latestStart(it Item) ident.Time {
	return it.Deadline.Add(-it.Work - time.Duration(max(q.cfg.Margin, 0)*float64(it.Work)))
}
