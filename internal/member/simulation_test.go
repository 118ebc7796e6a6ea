package member

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// TestMain fixes the seed of generated tests, so that every run gives the same result. Set
// -rapid.seed and -rapid.checks for a longer run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var (
	model      = rules.Serve{Model: "scribe", Version: "1"}
	scribePool = PoolID{Serve: model}
)

// node is one entry host of a simulation.
type node struct {
	tb          *Table
	place       event.Place
	id          ident.EntryID
	frozenUntil ident.Time
	// A partitioned node reaches no other node. A node with platformUnreachable set does not
	// reach the platform.
	partitioned, platformUnreachable bool
	// notices holds every drain notice that the node has received.
	notices map[ident.TargetID]ident.Incarnation
	// highestSeq holds the highest sequence number of the digests and summaries of each sender
	// that reached the node.
	highestSeq map[string]uint64
	// incarnations holds the last incarnation of each target that the node knew. droppedUseSeq
	// holds, by peer and target, the number of the newest digest of the peer when the node saw a
	// new incarnation of the target: the use in that digest belongs to the previous incarnation.
	incarnations  map[ident.TargetID]ident.Incarnation
	droppedUseSeq map[string]uint64
}

// message is a message in flight between two nodes.
type message struct {
	at   ident.Time
	sent ident.Time
	from ident.EntryID
	to   ident.EntryID
	eff  event.Effect
}

// simulation passes the effects of several tables to each other as events, in virtual time. It
// loses, duplicates and delays some of them.
type simulation struct {
	now           ident.Time
	rng           *rand.Rand
	nodes         []*node
	targets       []*engine
	inFlight      []message
	lossRate      float64
	maxDelay      time.Duration
	list          event.HostsRead
	reads         int
	traced        bool
	trace         []byte
	summarySentAt map[string]ident.Time
	workByDigest  map[string][]event.TargetUse
	anyFrozen     bool
	sent          []message
	// revision is the one in force at every host. sentPools holds the pools of the summaries
	// that contain them, by the sending and the receiving data centre.
	revision  ident.Revision
	sentPools map[string][]sentPools
}

// sentPools holds the pools of one summary.
type sentPools struct {
	at    ident.Time
	pools []event.Pool
}

// engine is a target with its actual state.
type engine struct {
	event.Target
	running, slots int
	seq            uint64
	stopping, down bool
}

func newSimulation(seed int64, centres, hosts, engines int) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewSource(seed)), now: 1, maxDelay: 20 * time.Millisecond, summarySentAt: make(map[string]ident.Time),
		workByDigest: make(map[string][]event.TargetUse), sentPools: make(map[string][]sentPools), revision: 1,
	}
	for c := range centres {
		place := event.Place{DataCentre: ident.DataCentre(fmt.Sprint("dc", c)), Region: ident.Region(fmt.Sprint("r", c))}
		for h := range hosts {
			n := &node{place: place, id: ident.EntryID(fmt.Sprintf("%s-e%d", place.DataCentre, h))}
			w.nodes = append(w.nodes, n)
			w.restart(n)
			w.list.Hosts = append(w.list.Hosts, n.tb.Self())
		}
		for e := range engines {
			id := ident.TargetID(fmt.Sprintf("%s-t%d", place.DataCentre, e))
			t := event.Target{ID: id, Incarnation: 1, Kind: event.Engine, Place: place}
			w.targets = append(w.targets, &engine{Target: t, slots: 10})
			w.list.Targets = append(w.list.Targets, t)
		}
	}
	w.list.Version = 1
	return w
}

func (w *simulation) restart(n *node) {
	inc := ident.Incarnation(uint64(w.now) + 1)
	n.frozenUntil = 0
	// Messages in flight are lost with the links.
	w.inFlight = slices.DeleteFunc(w.inFlight, func(l message) bool { return l.to == n.id })
	n.tb = New(event.Host{ID: n.id, Incarnation: inc, Place: n.place})
	n.tb.Advance(w.now)
	n.notices = make(map[ident.TargetID]ident.Incarnation)
	n.highestSeq = make(map[string]uint64)
	n.incarnations = make(map[ident.TargetID]ident.Incarnation)
	n.droppedUseSeq = make(map[string]uint64)
}

// recordIncarnations records the targets that the node has seen restart.
func (n *node) recordIncarnations() {
	for _, t := range n.tb.targets {
		if old, ok := n.incarnations[t.ID]; ok && t.Incarnation != old {
			for _, p := range n.tb.peers {
				n.droppedUseSeq[useKey(p, t.ID)] = p.seq
			}
		}
		n.incarnations[t.ID] = t.Incarnation
	}
}

func useKey(p *peer, id ident.TargetID) string {
	return fmt.Sprint(p.host.ID, "/", p.host.Incarnation, "/", id)
}

func (w *simulation) node(id ident.EntryID) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })]
}

func (w *simulation) engine(id ident.TargetID) *engine {
	return w.targets[slices.IndexFunc(w.targets, func(e *engine) bool { return e.ID == id })]
}

// run advances the simulation in steps of 50 ms and calls check after each.
func (w *simulation) run(d time.Duration, check func()) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(50 * time.Millisecond)
		w.deliver()
		for _, n := range w.nodes {
			if n.frozenUntil <= w.now && n.tb.Next(w.now) <= w.now {
				n.tb.SetPlatformUnreachable(n.platformUnreachable)
				w.applyEffects(n, n.tb.Tick(w.now, LocalState{Revision: w.revision}))
			}
		}
		if check != nil {
			check()
		}
	}
}

func (w *simulation) deliver() {
	messages := w.inFlight
	w.inFlight = nil
	for _, l := range messages {
		to := w.node(l.to)
		if l.at > w.now || to.frozenUntil > w.now {
			w.inFlight = append(w.inFlight, l)
			continue
		}
		switch e := l.eff.(type) {
		case event.SendDigest:
			for _, x := range e.Digest.Draining {
				to.notices[x.Target] = max(to.notices[x.Target], x.Incarnation)
			}
			h := e.Digest.Host
			to.recordSeq("digest", h.ID, h.Incarnation, e.Digest.Seq)
			for _, s := range e.Digest.Summaries {
				to.recordSeq("summary", s.From, s.Incarnation, s.Seq)
			}
			to.tb.DigestReceived(w.now, e.Digest)
			to.recordIncarnations()
		case event.SendSummary:
			to.recordSeq("summary", e.Summary.From, e.Summary.Incarnation, e.Summary.Seq)
			to.tb.SummaryReceived(w.now, e.Summary)
		}
	}
}

func (n *node) recordSeq(what string, from ident.EntryID, inc ident.Incarnation, seq uint64) {
	key := fmt.Sprint(what, from, inc)
	n.highestSeq[key] = max(n.highestSeq[key], seq)
}

func (w *simulation) applyEffects(n *node, effs []event.Effect) {
	for _, eff := range effs {
		if w.traced {
			line, _ := event.EncodeEffect(w.now, eff)
			w.trace = append(w.trace, line...)
		}
		switch e := eff.(type) {
		case event.SendDigest:
			w.workByDigest[fmt.Sprint(n.id, e.Digest.Host.Incarnation, e.Digest.Seq)] = n.workAtTargets()
			for _, h := range e.To {
				w.send(n, h.ID, e)
			}
		case event.SendSummary:
			w.summarySentAt[fmt.Sprint(e.Summary.From, e.Summary.Incarnation, e.Summary.Seq)] = w.now
			if key := fmt.Sprint(n.place, e.To.Place); !e.Summary.PoolsOmitted {
				w.sentPools[key] = append(w.sentPools[key], sentPools{w.now, e.Summary.Pools})
			}
			w.send(n, e.To.ID, e)
		case event.ReadHosts:
			w.reads++
			if n.partitioned || n.platformUnreachable {
				n.tb.ListFailed(w.now)
				continue
			}
			n.tb.HostsRead(w.now, w.list)
			n.recordIncarnations()
		case event.PollLoad:
			w.poll(n, e.Target.ID)
		}
	}
}

// workAtTargets returns the work that the node has at each target, by ID even if the digest
// names the target by its key.
func (n *node) workAtTargets() []event.TargetUse {
	var uses []event.TargetUse
	for _, t := range n.tb.Targets() {
		uses = append(uses, event.TargetUse{Target: t.ID, Running: t.InFlight})
	}
	return uses
}

func (w *simulation) send(n *node, to ident.EntryID, eff event.Effect) {
	if n.partitioned || w.node(to).partitioned || w.rng.Float64() < w.lossRate {
		return
	}
	copies := 1
	if w.lossRate > 0 && w.rng.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		at := w.now.Add(time.Duration(w.rng.Int63n(int64(w.maxDelay))))
		l := message{at: at, sent: w.now, from: n.id, to: to, eff: eff}
		w.inFlight = append(w.inFlight, l)
		w.sent = append(w.sent, l)
	}
}

func (w *simulation) poll(n *node, id ident.TargetID) {
	e := w.engine(id)
	if e.down {
		n.tb.LoadFailed(w.now, id, n.tb.byID[id].Incarnation)
		return
	}
	e.seq++
	if e.stopping {
		n.notices[id] = max(n.notices[id], e.Incarnation)
	}
	n.tb.LoadReported(w.now, event.Load{
		Target: id, Incarnation: e.Incarnation, Seq: e.seq, Age: 100 * time.Millisecond, Slots: e.slots, Running: e.running,
		PrefillRate: 1000, DecodeRate: 50, Serves: []rules.Serve{model}, Draining: e.stopping,
	})
	n.recordIncarnations()
}

// setRunning sets the number of running requests at each engine of a data centre.
func (w *simulation) setRunning(dc ident.DataCentre, running int) {
	for _, e := range w.targets {
		if e.Place.DataCentre == dc {
			e.running = running
		}
	}
}
