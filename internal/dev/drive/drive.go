// Package drive steps several reducers in one process and passes the effects
// of each to the others as events, in virtual time. Links can be slow, cut
// one way or both, and lose messages; hosts can be frozen and restarted.
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
// It is no model of a network or of an engine: messages take a fixed time,
// and a target runs each request for a fixed time. What it is for is to bring
// events in every order before the decisions.
package drive

import (
	"container/heap"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Reducer is what is stepped for one host.
type Reducer interface {
	Step(now ident.Time, ev event.Event) []event.Effect
}

// Host is one entry host.
type Host struct {
	event.Host
	red Reducer
	// wake is the time of the Tick that is asked for.
	wake ident.Time
	// frozen is until when the host takes no event.
	frozen ident.Time
	// dead says that the host takes no event until it is restarted.
	dead bool
	// Revision is the revision in force, Drained whether a drain has ended.
	Revision ident.Revision
	Drained  bool
	// Busy is the processor time of the steps for control: all events but those
	// of requests, whose time is Traffic.
	Busy    time.Duration
	Traffic time.Duration
}

// Answer is the answer to a caller.
type Answer struct {
	At      ident.Time
	Host    ident.EntryID
	Request ident.RequestID
	Outcome event.Outcome
	// Effect is the Refuse, Finish or Replay.
	Effect event.Effect
}

// Driver is the whole.
type Driver struct {
	Now     ident.Time
	Hosts   []*Host
	Targets []*Target
	Answers []Answer

	// Delay gives the time that a message takes, and whether it is lost.
	Delay func(from, to event.Host) (time.Duration, bool)
	// PlatformDown reports whether a host is cut off from the platform.
	PlatformDown func(h event.Host) bool
	// LoseClaim reports whether the reply to a claim is lost after the write.
	LoseClaim func() bool
	// Early reports whether the sender of a passed-on request sees its link
	// break while the request still arrives, and how much later it arrives.
	Early func() (time.Duration, bool)
	// OnMessage, where set, sees each message between hosts, and OnCall each
	// call to the platform by name.
	OnMessage func(from, to event.Host, eff event.Effect)
	OnCall    func(from event.Host, op string)
	// OnPoll, where set, sees each load report that is asked for.
	OnPoll func(from event.Host)
	// OnStep, where set, sees each step.
	OnStep func(h *Host, ev event.Event, effs []event.Effect)
	// NewReducer makes the reducer of a host.
	NewReducer func(self event.Host) Reducer

	byHost   map[ident.EntryID]*Host
	byTarget map[ident.TargetID]*Target
	queue    deliveries
	order    uint64
	platform platform
	passed   map[ident.RequestID]passedOn
}

// passedOn is a request that a host has passed to another.
type passedOn struct {
	from        ident.EntryID
	incarnation ident.Incarnation
	attempt     ident.Attempt
}

// defaultDelay is the time that a message takes where nothing else is said.
const defaultDelay = time.Millisecond

// New returns a driver without hosts.
func New() *Driver {
	return &Driver{
		Delay:        func(_, _ event.Host) (time.Duration, bool) { return defaultDelay, false },
		PlatformDown: func(event.Host) bool { return false },
		LoseClaim:    func() bool { return false },
		Early:        func() (time.Duration, bool) { return 0, false },
		NewReducer:   func(self event.Host) Reducer { return core.New(self) },
		byHost:       make(map[ident.EntryID]*Host),
		byTarget:     make(map[ident.TargetID]*Target),
		platform:     newPlatform(),
		passed:       make(map[ident.RequestID]passedOn),
	}
}

// AddHost starts a host.
func (d *Driver) AddHost(self event.Host) *Host {
	h := &Host{Host: self, red: d.NewReducer(self)}
	d.Hosts = append(d.Hosts, h)
	d.byHost[h.ID] = h
	d.platform.hosts = append(d.platform.hosts, self)
	d.platform.hostsVersion++
	d.Post(h.ID, 0, event.Tick{})
	return h
}

// Host returns a host by id.
func (d *Driver) Host(id ident.EntryID) *Host { return d.byHost[id] }

// Connect makes links between all hosts, as the seeds of the settings do.
func (d *Driver) Connect() {
	for _, a := range d.Hosts {
		for _, b := range d.Hosts {
			if a != b {
				d.Post(a.ID, 0, event.PeerUp{Host: b.Host})
			}
		}
	}
}

// Kill ends a host. What it knew is lost.
func (d *Driver) Kill(id ident.EntryID) { d.Host(id).dead = true }

// Restart starts a host anew with a higher incarnation.
func (d *Driver) Restart(id ident.EntryID) {
	h := d.Host(id)
	h.Incarnation++
	h.red = d.NewReducer(h.Host)
	h.dead = false
	h.frozen = 0
	h.wake = 0
	h.Revision = 0
	d.Post(id, 0, event.Tick{})
	for _, o := range d.Hosts {
		if o != h && !o.dead {
			d.message(h.Host, o.Host, nil, event.PeerUp{Host: h.Host})
			d.message(o.Host, h.Host, nil, event.PeerUp{Host: o.Host})
		}
	}
}

// Freeze stops a host for a time. It wakes to all that has come meanwhile.
func (d *Driver) Freeze(id ident.EntryID, span time.Duration) {
	d.Host(id).frozen = d.Now.Add(span)
}

// Send brings a caller's request to a host.
func (d *Driver) Send(to ident.EntryID, req event.Request) {
	d.Post(to, 0, event.RequestArrived{Request: req})
}

// Post brings an event to a host after a time.
func (d *Driver) Post(to ident.EntryID, after time.Duration, ev event.Event) {
	d.order++
	heap.Push(&d.queue, delivery{
		at: d.Now.Add(after), order: d.order, to: to, incarnation: d.Host(to).Incarnation, ev: ev,
	})
}

// postAs is Post to one incarnation of a host.
func (d *Driver) postAs(to event.Host, after time.Duration, ev event.Event) {
	if d.Host(to.ID).Incarnation == to.Incarnation {
		d.Post(to.ID, after, ev)
	}
}

// message brings an event from one host to another, as the link between them
// allows.
func (d *Driver) message(from, to event.Host, eff event.Effect, ev event.Event) {
	if d.Host(to.ID) == nil {
		return
	}
	if d.OnMessage != nil && eff != nil {
		d.OnMessage(from, to, eff)
	}
	after, lost := d.Delay(from, to)
	if !lost {
		d.Post(to.ID, after, ev)
	}
}

// Run lets a span of time go by.
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
	if dl.do != nil {
		dl.do()
		return
	}
	h := d.Host(dl.to)
	if h.dead || h.Incarnation != dl.incarnation {
		return
	}
	if h.frozen > d.Now {
		dl.at = h.frozen
		heap.Push(&d.queue, dl)
		return
	}
	if _, ok := dl.ev.(event.Tick); ok && dl.wake && h.wake != dl.at {
		return
	}
	began := time.Now()
	effs := h.red.Step(d.Now, dl.ev)
	h.spent(dl.ev, time.Since(began))
	if d.OnStep != nil {
		d.OnStep(h, dl.ev, effs)
	}
	for _, eff := range effs {
		d.carry(h, eff)
	}
}

// spent adds the time of a step to what it was for.
func (h *Host) spent(ev event.Event, took time.Duration) {
	switch ev.(type) {
	case event.RequestArrived, event.AttemptSent, event.FirstToken, event.AttemptEnded, event.CallerLeft:
		h.Traffic += took
	default:
		h.Busy += took
	}
}

// delivery is an event on its way.
type delivery struct {
	at          ident.Time
	order       uint64
	to          ident.EntryID
	incarnation ident.Incarnation
	ev          event.Event
	// wake says that a Tick was asked for and is void if another one has been
	// asked for since.
	wake bool
	// do, where set, changes the outside instead.
	do func()
}

// deliveries is a heap by time, then by order.
type deliveries []delivery

func (q deliveries) Len() int { return len(q) }

func (q deliveries) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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
