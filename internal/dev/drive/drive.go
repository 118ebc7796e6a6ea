// Package drive steps several reducers in one process, in virtual time, and
// delivers the effects of each to the others as events. Links can be slow, cut in one
// or both directions, and lose messages; hosts can be frozen and restarted.
//
// # Usage
//
//	d := drive.New()
//	d.AddHost(host)
//	d.AddTarget(target, drive.TargetConfig{Slots: 4, Work: 20 * time.Millisecond})
//	d.Change(change)
//	d.Send("uvs-1", request)
//	d.Run(5 * time.Second)
//
// It models neither a network nor an engine: the latency of a message does not
// depend on its size, and a target runs each request for a fixed time. Its purpose is
// to present events to the reducers in many orders.
package drive

import (
	"container/heap"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Reducer decides for one host: Step handles one event and returns its effects.
type Reducer interface {
	Step(now ident.Time, ev event.Event) []event.Effect
}

// Host is one entry host.
type Host struct {
	event.Host
	reducer Reducer
	// nextTick is the time of the Tick that the reducer requested last.
	nextTick ident.Time
	// frozenUntil is the time until which the host handles no event.
	frozenUntil ident.Time
	// dead is set if the host handles no event until it is restarted.
	dead bool
	feed feed
	// Revision is the revision in force. Drained is set once a drain has ended.
	Revision ident.Revision
	Drained  bool
	// ControlTime is the wall time spent in steps for control, TrafficTime that in steps for
	// events of requests.
	ControlTime time.Duration
	TrafficTime time.Duration
}

// Answer is a final answer to a caller.
type Answer struct {
	At      ident.Time
	Host    ident.EntryID
	Request ident.RequestID
	Outcome event.Outcome
	// Effect is a Refuse, Finish or Replay.
	Effect event.Effect
}

// Driver owns the simulated hosts, targets and platform, and their event queue.
type Driver struct {
	Now     ident.Time
	Hosts   []*Host
	Targets []*Target
	Answers []Answer

	// Delay returns the latency of a message and whether it is lost.
	Delay func(from, to event.Host) (time.Duration, bool)
	// PlatformDown reports whether the platform is unreachable for a host.
	PlatformDown func(h event.Host) bool
	// LoseClaim reports whether the reply to a claim is lost after the write.
	LoseClaim func() bool
	// EarlyBreak reports whether the sender of a forwarded request sees its link break although
	// the request still arrives, and how much later it arrives.
	EarlyBreak func() (time.Duration, bool)
	// NameLimits makes targets name their RateLimit, or none, in each answer.
	NameLimits bool
	// ListReads confirms reads of the list, and makes hosts read it when they ask to.
	ListReads bool
	// LoseBuilds makes the platform refuse records of builds.
	LoseBuilds bool
	// CallersFirst makes a host that was frozen handle what callers have sent before all else.
	CallersFirst bool
	// ReadDelay, if set, returns how long the answer to a read of the records of builds takes. It has what is recorded when
	// the platform gets the call.
	ReadDelay func(h event.Host) time.Duration
	// SaveFault, if set, returns what happens to each batch of begun streams. Saves counts them.
	SaveFault func(from event.Host) SaveFault
	Saves     int
	// FirstEvents makes targets send the first event of each answer firstEventRatio into its run.
	FirstEvents bool
	// EndsTarget, if set, reports whether a request ends each target that runs it.
	EndsTarget func(req event.Request) bool
	// OnMessage, if set, is called with each message between hosts, and OnCall with the name of
	// each call to the platform.
	OnMessage func(from, to event.Host, eff event.Effect)
	OnCall    func(from event.Host, op string)
	// OnPoll, if set, is called for each load report that a host requests.
	OnPoll func(from event.Host)
	// OnStep, if set, is called after each step.
	OnStep func(h *Host, ev event.Event, effs []event.Effect)
	// NewReducer returns the reducer of a host that starts.
	NewReducer func(self event.Host) Reducer

	byHost    map[ident.EntryID]*Host
	byTarget  map[ident.TargetID]*Target
	queue     deliveries
	lastSeq   uint64
	platform  platform
	forwarded map[ident.RequestID]forwardedRequest
	// feeds is set after StartFeeds, links after WatchLinks.
	feeds bool
	links map[hostPair]*link
}

// forwardedRequest identifies the sender of a forwarded request.
type forwardedRequest struct {
	from        ident.EntryID
	incarnation ident.Incarnation
	attempt     ident.Attempt
	// begun is set once the first event has been sent to the sender.
	begun bool
}

// defaultDelay is the latency of a message unless Delay is replaced.
const defaultDelay = time.Millisecond

// New returns a driver without hosts.
func New() *Driver {
	return &Driver{
		Delay:        func(_, _ event.Host) (time.Duration, bool) { return defaultDelay, false },
		PlatformDown: func(event.Host) bool { return false },
		LoseClaim:    func() bool { return false },
		EarlyBreak:   func() (time.Duration, bool) { return 0, false },
		NewReducer:   func(self event.Host) Reducer { return core.New(self) },
		byHost:       make(map[ident.EntryID]*Host),
		byTarget:     make(map[ident.TargetID]*Target),
		platform:     newPlatform(),
		forwarded:    make(map[ident.RequestID]forwardedRequest),
	}
}

// AddHost starts a host and adds it to the list of the platform.
func (d *Driver) AddHost(self event.Host) *Host {
	h := &Host{Host: self, reducer: d.NewReducer(self)}
	d.Hosts = append(d.Hosts, h)
	d.byHost[h.ID] = h
	d.platform.hosts = append(d.platform.hosts, self)
	d.listChanged()
	d.Post(h.ID, 0, event.Tick{})
	if d.feeds {
		d.readAfter(h, 0)
	}
	return h
}

// Host returns the host with an id, or nil.
func (d *Driver) Host(id ident.EntryID) *Host { return d.byHost[id] }

// Connect establishes links between all hosts, as the seeds in their settings do.
func (d *Driver) Connect() {
	for _, a := range d.Hosts {
		for _, b := range d.Hosts {
			if a != b {
				d.Post(a.ID, 0, event.PeerUp{Host: b.Host})
			}
		}
	}
}

// Kill stops a host. Its state is lost.
func (d *Driver) Kill(id ident.EntryID) {
	h := d.Host(id)
	h.dead = true
	d.breakLinks(h)
}

// Restart starts a host with empty state and a higher incarnation.
func (d *Driver) Restart(id ident.EntryID) {
	h := d.Host(id)
	d.breakLinks(h)
	h.Incarnation++
	h.reducer = d.NewReducer(h.Host)
	h.dead = false
	h.frozenUntil = 0
	h.nextTick = 0
	h.Revision = 0
	h.feed = feed{call: h.feed.call + 1}
	d.Post(id, 0, event.Tick{})
	if d.feeds {
		d.readAfter(h, 0)
	}
	d.forgetLinks(h)
	for _, o := range d.Hosts {
		if o != h && !o.dead {
			d.message(h.Host, o.Host, nil, event.PeerUp{Host: h.Host})
			d.message(o.Host, h.Host, nil, event.PeerUp{Host: o.Host})
		}
	}
}

// Freeze stops a host for span. It then handles all events that arrived meanwhile.
func (d *Driver) Freeze(id ident.EntryID, span time.Duration) {
	d.Host(id).frozenUntil = d.Now.Add(span)
}

// Send delivers a caller's request to a host.
func (d *Driver) Send(to ident.EntryID, req event.Request) {
	d.Post(to, 0, event.RequestArrived{Request: req})
}

// Post delivers an event to the current incarnation of a host after a delay.
func (d *Driver) Post(to ident.EntryID, after time.Duration, ev event.Event) {
	d.lastSeq++
	heap.Push(&d.queue, delivery{
		at: d.Now.Add(after), seq: d.lastSeq, to: to, incarnation: d.Host(to).Incarnation, ev: ev,
	})
}

// postToIncarnation calls Post if the host still has the incarnation of to.
func (d *Driver) postToIncarnation(to event.Host, after time.Duration, ev event.Event) {
	if d.Host(to.ID).Incarnation == to.Incarnation {
		d.Post(to.ID, after, ev)
	}
}

// message sends an event from one host to another, subject to Delay. OnMessage is not called if
// eff is nil.
func (d *Driver) message(from, to event.Host, eff event.Effect, ev event.Event) {
	if d.Host(to.ID) == nil {
		return
	}
	if d.OnMessage != nil && eff != nil {
		d.OnMessage(from, to, eff)
	}
	after, lost := d.Delay(from, to)
	if !lost && !d.isLinkDown(from.ID, to.ID) {
		d.Post(to.ID, after, ev)
	}
}

// Run advances the virtual time by span and delivers the events that fall due.
func (d *Driver) Run(span time.Duration) {
	end := d.Now.Add(span)
	for len(d.queue) > 0 && d.queue[0].at <= end {
		dl := heap.Pop(&d.queue).(delivery)
		d.Now = max(d.Now, dl.at)
		d.deliver(dl)
	}
	d.Now = end
}

func (d *Driver) deliver(dl delivery) {
	if dl.run != nil {
		dl.run()
		return
	}
	h := d.Host(dl.to)
	if h.dead || h.Incarnation != dl.incarnation {
		return
	}
	if h.frozenUntil > d.Now {
		if dl.timer && h.nextTick == dl.at {
			h.nextTick = h.frozenUntil
		}
		dl.at = h.frozenUntil
		_, dl.first = dl.ev.(event.RequestArrived)
		dl.first = dl.first && d.CallersFirst
		heap.Push(&d.queue, dl)
		return
	}
	if _, ok := dl.ev.(event.Tick); ok && dl.timer && h.nextTick != dl.at {
		return
	}
	began := time.Now()
	effs := h.reducer.Step(d.Now, dl.ev)
	h.addTime(dl.ev, time.Since(began))
	if d.OnStep != nil {
		d.OnStep(h, dl.ev, effs)
	}
	for _, eff := range effs {
		d.execute(h, eff)
	}
}

// addTime adds the duration of a step to the total of its kind.
func (h *Host) addTime(ev event.Event, took time.Duration) {
	switch ev.(type) {
	case event.RequestArrived, event.AttemptSent, event.FirstToken, event.AttemptEnded, event.CallerLeft:
		h.TrafficTime += took
	default:
		h.ControlTime += took
	}
}

// delivery is a scheduled event.
type delivery struct {
	at          ident.Time
	seq         uint64
	to          ident.EntryID
	incarnation ident.Incarnation
	ev          event.Event
	// timer marks a Tick that the reducer requested. It is dropped if the reducer has requested
	// another one since.
	timer bool
	// first puts the event before others of the same time.
	first bool
	// run, if set, is called instead of delivering an event. It changes the state of a target or
	// of the platform.
	run func()
}

// deliveries is a heap ordered by time, then by first, then by order of scheduling.
type deliveries []delivery

func (q deliveries) Len() int { return len(q) }

func (q deliveries) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	if q[i].first != q[j].first {
		return q[i].first
	}
	return q[i].seq < q[j].seq
}

func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }

func (q *deliveries) Pop() any {
	old := *q
	n := len(old) - 1
	dl := old[n]
	*q = old[:n]
	return dl
}
