package core

import (
	"slices"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/admit"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// pools holds the requests that wait for capacity. Each set of models and each service has its own
// queue, so that a full model does not block another.
type pools struct {
	byKey map[string]*pool
	order []*pool
}

// pool is the queue and the statistics of the requests for one set of models or one service.
type pool struct {
	key   string
	queue *admit.Queue
	// head is the next request to send. It has left the queue and waits for capacity.
	head *request
	// tokenTime is the smoothed time for one generated token, runTime that of a whole request,
	// slotInterval that between two requests sent from the queue, each into a free slot.
	tokenTime    time.Duration
	runTime      time.Duration
	slotInterval time.Duration
	lastSentAt   ident.Time
	overload     overload
}

func newPools() pools { return pools{byKey: make(map[string]*pool)} }

// keyOf identifies the queue of a request: that of the service or the models that its profile can run
// on, or of one build. The queues of builds come first: their requests have no alternative.
func keyOf(r *request) string {
	if r.queueBuild != "" {
		return "build " + string(r.queueBuild) + " of " + r.profile.Service
	}
	return poolKey(r.profile)
}

// poolKey identifies the service or the models that a profile can run on.
func poolKey(p rules.Profile) string {
	if p.Service != "" {
		return "service " + p.Service
	}
	var b strings.Builder
	for _, sv := range p.Models {
		b.WriteString(string(sv.Model))
		b.WriteByte('\x00')
		b.WriteString(string(sv.Version))
		b.WriteByte('\x00')
		b.WriteString(string(sv.Adapter))
		b.WriteByte('\x01')
	}
	return b.String()
}

func (ps *pools) of(r *request) *pool {
	key := keyOf(r)
	if pl, ok := ps.byKey[key]; ok {
		return pl
	}
	pl := &pool{key: key, queue: admit.New(admit.Config{})}
	ps.byKey[key] = pl
	i, _ := slices.BinarySearchFunc(ps.order, key, func(p *pool, k string) int { return strings.Compare(p.key, k) })
	ps.order = slices.Insert(ps.order, i, pl)
	return pl
}

func (ps *pools) remove(r *request) {
	pl, ok := ps.byKey[keyOf(r)]
	if !ok {
		return
	}
	if pl.head == r {
		pl.head = nil
	}
	pl.queue.Remove(r.ID)
}

func (ps *pools) next(now ident.Time, queueDeadline func(*request) ident.Time) ident.Time {
	at := ident.Time(0)
	for _, pl := range ps.order {
		t := pl.queue.NextShed()
		if pl.head != nil && (t == 0 || queueDeadline(pl.head) < t) {
			t = queueDeadline(pl.head)
		}
		if t > now && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// hasOthersWaiting reports whether other requests wait ahead of r.
func (pl *pool) hasOthersWaiting(r *request) bool {
	return pl.head != r && (pl.head != nil || pl.queue.Len() > 0)
}

// waiting returns the number of waiting requests.
func (pl *pool) waiting() int {
	n := pl.queue.Len()
	if pl.head != nil {
		n++
	}
	return n
}

// smoothingDivisor is the inverse of the weight of a new value in the smoothed times.
const smoothingDivisor = 8

func smoothed(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/smoothingDivisor
}

// recordRun records the duration of a request that ran to completion.
func (pl *pool) recordRun(took time.Duration, generated ident.Tokens) {
	pl.runTime = smoothed(pl.runTime, took)
	if generated > 0 {
		pl.tokenTime = smoothed(pl.tokenTime, took/time.Duration(generated))
	}
}

// expectedRunTime predicts how long a request runs once it has a slot.
func (pl *pool) expectedRunTime(r *request) time.Duration {
	if r.MaxTokens > 0 && pl.tokenTime > 0 {
		return time.Duration(r.MaxTokens) * pl.tokenTime
	}
	return pl.runTime
}

// backlog predicts how long it takes until all queued requests have got a slot.
//
// It is part of the cost of every local choice. Without it a request behind fifty others cost as
// little to keep as the first one, so that none was forwarded while other data centres offered
// capacity, and queued requests were refused at their deadlines instead. For the head of the
// queue the backlog is what the requests behind it would gain if the head were forwarded.
func (pl *pool) backlog() time.Duration {
	return time.Duration(pl.queue.Len()) * pl.slotInterval
}

// chooseQueue selects the queue of a request that is about to be placed. While several builds of its
// service serve, one that needs a build waits for other targets than the rest.
func (rd *Reducer) chooseQueue(now ident.Time, r *request) {
	r.queueBuild = ""
	if build := rd.requiredBuild(now, r); r.profile.Route != nil && build != "" && len(rd.possibleBuilds(now, r)) > 1 {
		r.queueBuild = build
	}
}

// queueItem returns the queue item of a request.
func (rd *Reducer) queueItem(pl *pool, r *request) admit.Item {
	it := admit.Item{
		ID: r.ID, Account: r.Account, HomeBound: r.profile.Confined(r.client), Priority: r.profile.Priority, PastGoal: rd.isPastGoal(r), Begun: r.hasBegun(),
		Deadline: rd.queueDeadline(r), Work: pl.expectedRunTime(r),
	}
	if r.profile.Route != nil {
		// The maximum length of an answer is a poor estimate of its actual length. The queue only
		// has to bound the start, and queueDeadline already allows for the time at the target.
		it.Work = 0
	}
	return it
}

// enqueue queues a request, or refuses it immediately if it is not predicted to start in time.
func (rd *Reducer) enqueue(now ident.Time, pl *pool, r *request, dec route.Decision) {
	it := rd.queueItem(pl, r)
	wait := dec.Wait
	if r.profile.Route != nil {
		wait = time.Duration(pl.queue.Ahead(it.PastGoal)) * pl.slotInterval
	}
	ok, shed, retryAfter := pl.queue.Push(now, it, wait)
	rd.shed(now, shed, retryAfter)
	if !ok {
		rd.endRefused(now, r, refusal{code: codes.Overloaded.ID, outcome: event.NotRun, retryAfter: retryAfter})
	} else if pl.head != nil && (it.Begun && !pl.head.hasBegun() || !it.PastGoal && rd.isPastGoal(pl.head)) {
		// Behind the head, the rest of an answer would pause, and a request that can still meet
		// its goal could miss it.
		pl.queue.PutBack(rd.queueItem(pl, pl.head))
		pl.head = nil
	}
	rd.table.RequestsQueued(now)
}

// shed refuses requests that can no longer start in time. It does not wait for their deadlines, so
// that their callers can use the remaining time.
func (rd *Reducer) shed(now ident.Time, ids []ident.RequestID, retryAfter time.Duration) {
	for _, id := range ids {
		if r, ok := rd.requests[id]; ok {
			rd.endRefused(now, r, refusal{code: codes.Overloaded.ID, outcome: event.NotRun, retryAfter: retryAfter})
		}
	}
}

// shedAndSendWaiting refuses waiting requests that can no longer start in time and sends others
// into free slots.
func (rd *Reducer) shedAndSendWaiting(now ident.Time) {
	for _, pl := range rd.pools.order {
		if pl.head != nil && now >= rd.queueDeadline(pl.head) {
			rd.endRefused(now, pl.head, refusal{code: codes.Overloaded.ID, outcome: event.NotRun, retryAfter: pl.slotInterval})
		}
		if pl.queue.Len() > 0 {
			rd.shed(now, pl.queue.Shed(now, pl.slotInterval), pl.queue.RetryAfter(now, pl.slotInterval))
		}
	}
	rd.sendWaiting(now)
}

// sendWaiting sends waiting requests for as long as there is capacity.
func (rd *Reducer) sendWaiting(now ident.Time) {
	for _, pl := range rd.pools.order {
		for rd.sendNext(now, pl) {
		}
	}
}

// sendNext sends the next request of a pool. It reports whether a request left the pool.
func (rd *Reducer) sendNext(now ident.Time, pl *pool) bool {
	r := rd.nextWaiting(now, pl)
	if r == nil {
		return false
	}
	if rd.isPoison(now, r) {
		rd.endPoison(now, r)
		return true
	}
	dec := rd.router.Choose(now, rd.query(now, r), rd.table)
	r.lastDecision = dec
	if dec.Full {
		return false
	}
	pl.head = nil
	if dec.Target == nil && dec.Centre == "" {
		rd.handleNoTarget(now, r, dec.Code)
		return true
	}
	if pl.lastSentAt > 0 {
		pl.slotInterval = smoothed(pl.slotInterval, now.Sub(pl.lastSentAt))
	}
	pl.lastSentAt = now
	rd.send(now, r, dec)
	return true
}

// nextWaiting returns the next request of a pool, nil if none waits.
func (rd *Reducer) nextWaiting(now ident.Time, pl *pool) *request {
	for pl.head == nil {
		it, ok := pl.queue.Pop(now)
		if !ok {
			pl.lastSentAt = 0
			return nil
		}
		pl.head = rd.requests[it.ID]
	}
	return pl.head
}
