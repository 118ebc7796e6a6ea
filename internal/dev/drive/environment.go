package drive

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Durations of calls to targets and to the platform.
const (
	callDelay    = 2 * time.Millisecond
	failureDelay = time.Second
	breakDelay   = 500 * time.Millisecond
	// endDelay is the time until a target ends under a request that ends it, restartDelay the time
	// until it has started again.
	endDelay     = 10 * time.Millisecond
	restartDelay = 400 * time.Millisecond
	watchTimeout = 20 * time.Second
)

// TargetConfig describes a target.
type TargetConfig struct {
	Slots int
	// Work is the running time of each request.
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
	// Draining makes the target refuse new requests. A Dead target does not answer.
	Draining bool
	Dead     bool
	removed  bool
	// Runs counts the runs by the id that the caller gave the request. LastArrival is when the
	// last request was sent to the target.
	Runs        map[ident.RequestID]int
	LastArrival ident.Time
	// Break, if set, reports whether the link breaks after the run.
	Break func() bool
	// RateLimit is the limit that the target names in its answers. It does not enforce it.
	RateLimit value.Option[float64]
	// Ends counts how often the target has ended under a request.
	Ends     int
	inFlight []run
}

// run is an attempt that a target runs.
type run struct {
	host    event.Host
	attempt ident.Attempt
	request ident.RequestID
	// begun is set once the first event has been sent.
	begun bool
}

// firstEventRatio is the part of its run after which a target sends the first event of an answer.
const firstEventRatio = 0.25

// paceInterval is the interval at which the pace of an answer is reported after its first event.
const paceInterval = 500 * time.Millisecond

// AddTarget adds a target to the platform's list.
func (d *Driver) AddTarget(t event.Target, cfg TargetConfig) *Target {
	tg := &Target{Target: t, TargetConfig: cfg, Runs: make(map[ident.RequestID]int)}
	d.Targets = append(d.Targets, tg)
	d.byTarget[t.ID] = tg
	d.listChanged()
	return tg
}

// Target returns the target with an id, or nil.
func (d *Driver) Target(id ident.TargetID) *Target { return d.byTarget[id] }

// originalID returns the caller's id of a request, which may have been forwarded.
func originalID(id ident.RequestID) ident.RequestID {
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
		d.Post(h.ID, callDelay, event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultNotRun})
		return
	}
	d.Post(h.ID, 0, event.AttemptSent{Attempt: e.Attempt})
	t.LastArrival = d.Now
	if t.Draining {
		d.Post(h.ID, callDelay, event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultNotRun, Draining: true})
		return
	}
	t.Runs[originalID(e.Request)]++
	t.Running++
	wait := time.Duration(max(t.Running-t.Slots, 0)/max(t.Slots, 1)) * t.Work
	end := event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultDone, Generated: 1, OutcomeStored: e.KeepOutcome}
	if t.Break != nil && t.Break() {
		end = event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultBroken}
	}
	t.inFlight = append(t.inFlight, run{host: h.Host, attempt: e.Attempt, request: e.Request})
	if d.EndsTarget != nil && d.EndsTarget(d.platform.requests[e.Request]) {
		d.schedule(endDelay, func() { d.endTarget(t) })
		return
	}
	ends := t.Ends
	if d.FirstEvents {
		d.schedule(time.Duration(firstEventRatio*float64(t.Work+wait)), func() {
			if t.Ends == ends {
				d.beginAnswer(t, e.Attempt)
			}
		})
	}
	d.schedule(t.Work+wait, func() {
		if t.Ends != ends {
			return
		}
		t.Running--
		t.inFlight = slices.DeleteFunc(t.inFlight, func(r run) bool { return r.attempt == e.Attempt })
		if d.NameLimits {
			d.postToIncarnation(h.Host, callDelay, event.LoadSeen{Target: t.ID, Incarnation: t.Incarnation, LoadOmitted: true, RateLimit: t.RateLimit})
		}
		d.postToIncarnation(h.Host, callDelay, end)
	})
}

// beginAnswer sends the first event of an answer to the host that runs the attempt, and from there to the
// one that forwarded the request.
func (d *Driver) beginAnswer(t *Target, a ident.Attempt) {
	i := slices.IndexFunc(t.inFlight, func(r run) bool { return r.attempt == a })
	if i < 0 {
		return
	}
	r := &t.inFlight[i]
	r.begun = true
	d.postToIncarnation(r.host, callDelay, event.FirstToken{Attempt: a, Build: t.Build})
	host := r.host
	d.schedule(paceInterval, func() { d.continueAnswer(t, host, a) })
	if fwd, ok := d.forwarded[r.request]; ok {
		fwd.begun = true
		d.forwarded[r.request] = fwd
		from := d.Host(fwd.from)
		after, lost := d.Delay(r.host, from.Host)
		if !lost && from.Incarnation == fwd.incarnation {
			d.Post(fwd.from, callDelay+after, event.FirstToken{Attempt: fwd.attempt, Build: t.Build})
		}
	}
}

// continueAnswer reports the pace of an answer in intervals until it ends.
func (d *Driver) continueAnswer(t *Target, to event.Host, a ident.Attempt) {
	if !slices.ContainsFunc(t.inFlight, func(r run) bool { return r.attempt == a }) {
		return
	}
	d.postToIncarnation(to, callDelay, event.StreamPaced{Attempt: a, Gap: paceInterval})
	d.schedule(paceInterval, func() { d.continueAnswer(t, to, a) })
}

// SetBuild changes the build of a target in the platform's list.
func (d *Driver) SetBuild(id ident.TargetID, build ident.Build) {
	d.Target(id).Build = build
	d.listChanged()
}

// RemoveTarget ends the process of a target for good and removes it from the platform's list.
func (d *Driver) RemoveTarget(id ident.TargetID) {
	t := d.Target(id)
	d.endTarget(t)
	t.removed = true
	d.Targets = slices.DeleteFunc(d.Targets, func(o *Target) bool { return o == t })
	d.listChanged()
}

// delivered returns how many events of a run its caller has.
func (r run) delivered() ident.Tokens {
	if r.begun {
		return 1
	}
	return 0
}

// endTarget ends the process of a target: all attempts that it runs break, and it starts again as its
// next incarnation.
func (d *Driver) endTarget(t *Target) {
	if t.Dead {
		return
	}
	t.Dead = true
	t.Ends++
	for _, r := range t.inFlight {
		d.postToIncarnation(r.host, callDelay, event.AttemptEnded{Attempt: r.attempt, Result: event.ResultBroken, Disconnected: true, TargetEnded: true, Resumable: true, Delivered: r.delivered()})
	}
	t.inFlight, t.Running, t.Queued = nil, 0, 0
	d.schedule(restartDelay, func() {
		if t.removed {
			return
		}
		t.Dead = false
		t.Incarnation++
		d.listChanged()
	})
}

// After calls run after a delay of virtual time.
func (d *Driver) After(delay time.Duration, run func()) { d.schedule(delay, run) }

// schedule calls run after a delay.
func (d *Driver) schedule(after time.Duration, run func()) {
	d.lastSeq++
	heap.Push(&d.queue, delivery{at: d.Now.Add(after), seq: d.lastSeq, run: run})
}

func (d *Driver) poll(h *Host, e event.PollLoad) {
	if d.OnPoll != nil {
		d.OnPoll(h.Host)
	}
	t := d.Target(e.Target.ID)
	if t == nil || t.Dead {
		d.Post(h.ID, failureDelay, event.LoadFailed{Target: e.Target.ID, Incarnation: e.Target.Incarnation})
		return
	}
	t.seq++
	ld := event.Load{
		Target: t.ID, Incarnation: t.Incarnation, Seq: t.seq, Slots: t.Slots,
		Running: min(t.Running, t.Slots), Queued: max(t.Running-t.Slots, 0),
		PrefillRate: 20000, DecodeRate: 100, Serves: t.Serves, Draining: t.Draining,
	}
	d.Post(h.ID, callDelay, event.LoadReported{Load: ld})
}

// platform is a fake of the platform's service.
type platform struct {
	changes      []rules.Change
	book         *rules.Book
	hosts        []event.Host
	hostsVersion uint64
	builds       map[string]event.BuildRecord
	ledger       ledger
	keys         map[string]event.KeyRecord
	watchers     map[ident.EntryID]ident.Revision
	requests     map[ident.RequestID]event.Request
}

func newPlatform() platform {
	return platform{
		builds:   make(map[string]event.BuildRecord),
		ledger:   ledger{readBy: make(map[ident.EntryID]ident.Incarnation)},
		keys:     make(map[string]event.KeyRecord),
		watchers: make(map[ident.EntryID]ident.Revision),
		requests: make(map[ident.RequestID]event.Request),
	}
}

// RegisterRequest records a request, so that hosts can forward it.
func (d *Driver) RegisterRequest(req event.Request) { d.platform.requests[req.ID] = req }

// Change appends a change to the log of the store and returns its revision.
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
			d.Post(h.ID, callDelay, event.ChangesReceived{Changes: []rules.Change{c}})
		}
	}
	return c.Revision
}

func (d *Driver) platformReachable(h *Host, op string) bool {
	if d.OnCall != nil {
		d.OnCall(h.Host, op)
	}
	return !d.PlatformDown(h.Host)
}

func (d *Driver) watch(h *Host, e event.WatchChange) {
	if !d.platformReachable(h, "watch") {
		d.Post(h.ID, failureDelay, event.PlatformFailed{Op: event.OpWatchChange})
		return
	}
	if int(e.After) < len(d.platform.changes) {
		d.Post(h.ID, callDelay, event.ChangesReceived{Changes: d.platform.changes[e.After : e.After+1]})
		return
	}
	d.platform.watchers[h.ID] = e.After
	inc := h.Incarnation
	d.schedule(watchTimeout, func() {
		if after, ok := d.platform.watchers[h.ID]; ok && after == e.After && h.Incarnation == inc {
			delete(d.platform.watchers, h.ID)
			d.Post(h.ID, callDelay, event.WatchIdle(e))
		}
	})
}

func (d *Driver) stopWatch(h *Host) { delete(d.platform.watchers, h.ID) }

func (d *Driver) readSnapshot(h *Host) {
	if !d.platformReachable(h, "snapshot") {
		d.Post(h.ID, failureDelay, event.PlatformFailed{Op: event.OpReadSnapshot})
		return
	}
	book := d.platform.book
	if book == nil {
		book = &rules.Book{}
	}
	d.Post(h.ID, callDelay, event.SnapshotReceived{Book: book})
}

func (d *Driver) readHosts(h *Host) {
	if !d.platformReachable(h, "hosts") {
		d.Post(h.ID, failureDelay, event.PlatformFailed{Op: event.OpReadHosts})
		return
	}
	d.readBegun(h)
	d.Post(h.ID, callDelay, d.list())
	if d.ListReads {
		d.Post(h.ID, callDelay, event.ListRead{})
	}
}

// recordBuilds writes a record of builds if it has not changed.
func (d *Driver) recordBuilds(h *Host, e event.RecordBuilds) {
	if !d.platformReachable(h, "builds") || d.LoseBuilds || d.platform.builds[e.Record.Service].Revision != e.Record.Revision {
		return
	}
	e.Record.Revision = d.platform.hostsVersion + 1
	d.platform.builds[e.Record.Service] = e.Record
	d.listChanged()
	d.Post(h.ID, callDelay, event.BuildsRecorded(e))
}

// records returns the records of builds, in order of their services.
func (p *platform) records() []event.BuildRecord {
	var records []event.BuildRecord
	for _, service := range slices.Sorted(maps.Keys(p.builds)) {
		records = append(records, p.builds[service])
	}
	return records
}

// readBuilds reads the records of builds alone.
func (d *Driver) readBuilds(h *Host, e event.ReadBuilds) {
	if !d.platformReachable(h, "records") {
		d.Post(h.ID, failureDelay, event.BuildsRead{Read: e.Read})
		return
	}
	after := callDelay
	if d.ReadDelay != nil {
		after = max(after, d.ReadDelay(h.Host))
	}
	d.postToIncarnation(h.Host, after, event.BuildsRead{Read: e.Read, Succeeded: true, Records: d.platform.records()})
}

func (d *Driver) claim(h *Host, e event.ClaimKey) {
	if !d.platformReachable(h, "claim") {
		d.Post(h.ID, failureDelay, event.KeyClaimed{Request: e.Request, Claim: event.ClaimFailed})
		return
	}
	rec, taken := d.platform.keys[e.Key]
	if !taken {
		d.platform.keys[e.Key] = e.Record
	}
	if d.LoseClaim() {
		d.Post(h.ID, failureDelay, event.KeyClaimed{Request: e.Request, Claim: event.ClaimFailed})
		return
	}
	if taken {
		d.Post(h.ID, callDelay, event.KeyClaimed{Request: e.Request, Claim: event.ClaimTaken, Owner: rec})
		return
	}
	d.Post(h.ID, callDelay, event.KeyClaimed{Request: e.Request, Claim: event.ClaimWon, Owner: e.Record})
}

// EndTarget ends the process of a target for a reason other than a request.
func (d *Driver) EndTarget(id ident.TargetID) { d.endTarget(d.Target(id)) }
