package drive

import (
	"container/heap"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Times of the outside.
const (
	callTime    = 2 * time.Millisecond
	downAfter   = time.Second
	brokenAfter = 500 * time.Millisecond
	idleAfter   = 20 * time.Second
)

// TargetConfig describes a target.
type TargetConfig struct {
	Slots int
	// Work is how long a request runs.
	Work   time.Duration
	Serves []rules.Serve
}

// Target is a target that runs each request for a fixed time.
type Target struct {
	event.Target
	TargetConfig
	Running int
	Queued  int
	seq     uint64
	// Draining makes it refuse new requests; Dead gives no answer.
	Draining bool
	Dead     bool
	// Runs counts the runs of each request of a caller, Last is when the last
	// new one came.
	Runs map[ident.RequestID]int
	Last ident.Time
	// Break, where set, reports whether the link breaks after the run.
	Break func() bool
}

// AddTarget adds a target to the platform's list.
func (d *Driver) AddTarget(t event.Target, cfg TargetConfig) *Target {
	tg := &Target{Target: t, TargetConfig: cfg, Runs: make(map[ident.RequestID]int)}
	d.Targets = append(d.Targets, tg)
	d.byTarget[t.ID] = tg
	d.platform.hostsVersion++
	return tg
}

// Target returns a target by id.
func (d *Driver) Target(id ident.TargetID) *Target { return d.byTarget[id] }

// origin is the caller's id of a request that may have been passed on.
func origin(id ident.RequestID) ident.RequestID {
	for i := range id {
		if id[i] == '~' {
			return id[:i]
		}
	}
	return id
}

func (d *Driver) dispatch(h *Host, e event.Dispatch) {
	t := d.Target(e.Target.ID)
	if t == nil || t.Dead {
		d.Post(h.ID, callTime, event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultNotRun})
		return
	}
	d.Post(h.ID, 0, event.AttemptSent{Attempt: e.Attempt})
	t.Last = d.Now
	if t.Draining {
		d.Post(h.ID, callTime, event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultNotRun, Draining: true})
		return
	}
	t.Runs[origin(e.Request)]++
	t.Running++
	wait := time.Duration(max(t.Running-t.Slots, 0)/max(t.Slots, 1)) * t.Work
	end := event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultDone, Generated: 1, OutcomeStored: e.KeepOutcome}
	if t.Break != nil && t.Break() {
		end = event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultBroken}
	}
	d.later(t.Work+wait, func() { t.Running-- })
	d.Post(h.ID, t.Work+wait+callTime, end)
}

// later changes the outside after a time.
func (d *Driver) later(after time.Duration, do func()) {
	d.order++
	heap.Push(&d.queue, delivery{at: d.Now.Add(after), order: d.order, do: do})
}

func (d *Driver) poll(h *Host, e event.PollLoad) {
	if d.OnPoll != nil {
		d.OnPoll(h.Host)
	}
	t := d.Target(e.Target.ID)
	if t == nil || t.Dead {
		d.Post(h.ID, downAfter, event.LoadFailed{Target: e.Target.ID, Incarnation: e.Target.Incarnation})
		return
	}
	t.seq++
	ld := event.Load{
		Target: t.ID, Incarnation: t.Incarnation, Seq: t.seq, Slots: t.Slots,
		Running: min(t.Running, t.Slots), Queued: max(t.Running-t.Slots, 0),
		PrefillRate: 20000, DecodeRate: 100, Serves: t.Serves, Draining: t.Draining,
	}
	d.Post(h.ID, callTime, event.LoadReported{Load: ld})
}

// platform is the platform's service.
type platform struct {
	changes      []rules.Change
	book         *rules.Book
	hosts        []event.Host
	hostsVersion uint64
	keys         map[string]event.KeyRecord
	watchers     map[ident.EntryID]ident.Revision
	requests     map[ident.RequestID]event.Request
}

func newPlatform() platform {
	return platform{
		keys:     make(map[string]event.KeyRecord),
		watchers: make(map[ident.EntryID]ident.Revision),
		requests: make(map[ident.RequestID]event.Request),
	}
}

// Know makes a request known, so that it can be passed on between hosts.
func (d *Driver) Know(req event.Request) { d.platform.requests[req.ID] = req }

// Change appends a change to the log of the store.
func (d *Driver) Change(items ...rules.Item) ident.Revision {
	c := rules.Change{Revision: ident.Revision(len(d.platform.changes) + 1), Items: items}
	d.platform.changes = append(d.platform.changes, c)
	next, err := d.platform.book.Apply(c)
	if err != nil {
		panic(err)
	}
	d.platform.book = next
	for _, h := range d.Hosts {
		after, ok := d.platform.watchers[h.ID]
		if ok && after < c.Revision && !d.PlatformDown(h.Host) {
			delete(d.platform.watchers, h.ID)
			d.Post(h.ID, callTime, event.ChangesReceived{Changes: []rules.Change{c}})
		}
	}
	return c.Revision
}

func (d *Driver) called(h *Host, op string) bool {
	if d.OnCall != nil {
		d.OnCall(h.Host, op)
	}
	return !d.PlatformDown(h.Host)
}

func (d *Driver) watch(h *Host, e event.WatchChange) {
	if !d.called(h, "watch") {
		d.Post(h.ID, downAfter, event.PlatformFailed{Op: event.OpWatchChange})
		return
	}
	if int(e.After) < len(d.platform.changes) {
		d.Post(h.ID, callTime, event.ChangesReceived{Changes: d.platform.changes[e.After : e.After+1]})
		return
	}
	d.platform.watchers[h.ID] = e.After
	inc := h.Incarnation
	d.later(idleAfter, func() {
		if after, ok := d.platform.watchers[h.ID]; ok && after == e.After && h.Incarnation == inc {
			delete(d.platform.watchers, h.ID)
			d.Post(h.ID, callTime, event.WatchIdle(e))
		}
	})
}

func (d *Driver) stopWatch(h *Host) { delete(d.platform.watchers, h.ID) }

func (d *Driver) readSnapshot(h *Host) {
	if !d.called(h, "snapshot") {
		d.Post(h.ID, downAfter, event.PlatformFailed{Op: event.OpReadSnapshot})
		return
	}
	book := d.platform.book
	if book == nil {
		book = &rules.Book{}
	}
	d.Post(h.ID, callTime, event.SnapshotReceived{Book: book})
}

func (d *Driver) readHosts(h *Host) {
	if !d.called(h, "hosts") {
		d.Post(h.ID, downAfter, event.PlatformFailed{Op: event.OpReadHosts})
		return
	}
	ev := event.HostsRead{Version: d.platform.hostsVersion, Hosts: d.platform.hosts}
	for _, t := range d.Targets {
		ev.Targets = append(ev.Targets, t.Target)
	}
	d.Post(h.ID, callTime, ev)
}

func (d *Driver) claim(h *Host, e event.ClaimKey) {
	if !d.called(h, "claim") {
		d.Post(h.ID, downAfter, event.KeyClaimed{Request: e.Request, Claim: event.ClaimFailed})
		return
	}
	rec, taken := d.platform.keys[e.Key]
	if !taken {
		d.platform.keys[e.Key] = e.Record
	}
	if d.LoseClaim() {
		d.Post(h.ID, downAfter, event.KeyClaimed{Request: e.Request, Claim: event.ClaimFailed})
		return
	}
	if taken {
		d.Post(h.ID, callTime, event.KeyClaimed{Request: e.Request, Claim: event.ClaimTaken, Owner: rec})
		return
	}
	d.Post(h.ID, callTime, event.KeyClaimed{Request: e.Request, Claim: event.ClaimWon, Owner: e.Record})
}
