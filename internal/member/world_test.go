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

// TestMain fixes the seed of generated tests, so that each run gives the same
// verdict. A longer run sets its own with -rapid.seed and -rapid.checks.
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
	model  = rules.Serve{Model: "scribe", Version: "1"}
	scribe = PoolID{Serve: model}
)

// node is one entry host of a world.
type node struct {
	tb     *Table
	place  event.Place
	id     ident.EntryID
	frozen ident.Time
	// cut nodes reach no one, blind ones not the platform.
	cut, blind bool
	// notices holds every drain notice that the node has received.
	notices map[ident.TargetID]ident.Incarnation
	// newest holds the highest number of each sender's digests and summaries
	// that reached the node.
	newest map[string]uint64
	// starts holds the incarnation of each target that the node last knew, dropped the number
	// of the newest digest of each peer when it learned of a new one: what that digest says of
	// the target concerns its former start.
	starts  map[ident.TargetID]ident.Incarnation
	dropped map[string]uint64
}

type message struct {
	at   ident.Time
	sent ident.Time
	from ident.EntryID
	to   ident.EntryID
	eff  event.Effect
}

// world passes the effects of several tables to each other as events, in
// virtual time, and loses, doubles and delays some.
type world struct {
	now     ident.Time
	rng     *rand.Rand
	nodes   []*node
	targets []*engine
	post    []message
	loss    float64
	delay   time.Duration
	list    event.HostsRead
	reads   int
	traced  bool
	trace   []byte
	made    map[string]ident.Time
	uses    map[string][]event.TargetUse
	froze   bool
	sent    []message
	// revision is that in force at every host, sentPools the pools of the
	// summaries that contain them, by the data centres from and to.
	revision  ident.Revision
	sentPools map[string][]sentPools
}

// sentPools are the pools of one summary.
type sentPools struct {
	at    ident.Time
	pools []event.Pool
}

// engine is a target with the truth about it.
type engine struct {
	event.Target
	running, slots int
	seq            uint64
	leaving, down  bool
}

func newWorld(seed int64, centres, hosts, engines int) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: 1, delay: 20 * time.Millisecond, made: make(map[string]ident.Time),
		uses: make(map[string][]event.TargetUse), sentPools: make(map[string][]sentPools), revision: 1,
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

func (w *world) restart(n *node) {
	inc := ident.Incarnation(uint64(w.now) + 1)
	n.frozen = 0
	// What was under way breaks off with its links.
	w.post = slices.DeleteFunc(w.post, func(l message) bool { return l.to == n.id })
	n.tb = New(event.Host{ID: n.id, Incarnation: inc, Place: n.place})
	n.tb.Advance(w.now)
	n.notices = make(map[ident.TargetID]ident.Incarnation)
	n.newest = make(map[string]uint64)
	n.starts = make(map[ident.TargetID]ident.Incarnation)
	n.dropped = make(map[string]uint64)
}

// noteStarts records which targets the node has learned to have started anew.
func (n *node) noteStarts() {
	for _, t := range n.tb.targets {
		if old, ok := n.starts[t.ID]; ok && t.Incarnation != old {
			for _, p := range n.tb.peers {
				n.dropped[useKey(p, t.ID)] = p.seq
			}
		}
		n.starts[t.ID] = t.Incarnation
	}
}

func useKey(p *peer, id ident.TargetID) string {
	return fmt.Sprint(p.host.ID, "/", p.host.Incarnation, "/", id)
}

func (w *world) node(id ident.EntryID) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })]
}

func (w *world) engine(id ident.TargetID) *engine {
	return w.targets[slices.IndexFunc(w.targets, func(e *engine) bool { return e.ID == id })]
}

// run advances the world by steps of 50 ms and calls check after each.
func (w *world) run(d time.Duration, check func()) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(50 * time.Millisecond)
		w.deliver()
		for _, n := range w.nodes {
			if n.frozen <= w.now && n.tb.Next(w.now) <= w.now {
				n.tb.SetBlind(n.blind)
				w.carry(n, n.tb.Tick(w.now, Own{Revision: w.revision}))
			}
		}
		if check != nil {
			check()
		}
	}
}

func (w *world) deliver() {
	post := w.post
	w.post = nil
	for _, l := range post {
		to := w.node(l.to)
		if l.at > w.now || to.frozen > w.now {
			w.post = append(w.post, l)
			continue
		}
		switch e := l.eff.(type) {
		case event.SendDigest:
			for _, x := range e.Digest.Draining {
				to.notices[x.Target] = max(to.notices[x.Target], x.Incarnation)
			}
			h := e.Digest.Host
			to.reached("digest", h.ID, h.Incarnation, e.Digest.Seq)
			for _, s := range e.Digest.Summaries {
				to.reached("summary", s.From, s.Incarnation, s.Seq)
			}
			to.tb.DigestReceived(w.now, e.Digest)
			to.noteStarts()
		case event.SendSummary:
			to.reached("summary", e.Summary.From, e.Summary.Incarnation, e.Summary.Seq)
			to.tb.SummaryReceived(w.now, e.Summary)
		}
	}
}

func (n *node) reached(what string, from ident.EntryID, inc ident.Incarnation, seq uint64) {
	key := fmt.Sprint(what, from, inc)
	n.newest[key] = max(n.newest[key], seq)
}

func (w *world) carry(n *node, effs []event.Effect) {
	for _, eff := range effs {
		if w.traced {
			line, _ := event.EncodeEffect(w.now, eff)
			w.trace = append(w.trace, line...)
		}
		switch e := eff.(type) {
		case event.SendDigest:
			w.uses[fmt.Sprint(n.id, e.Digest.Host.Incarnation, e.Digest.Seq)] = n.uses()
			for _, h := range e.To {
				w.mail(n, h.ID, e)
			}
		case event.SendSummary:
			w.made[fmt.Sprint(e.Summary.From, e.Summary.Incarnation, e.Summary.Seq)] = w.now
			if key := fmt.Sprint(n.place, e.To.Place); !e.Summary.PoolsKept {
				w.sentPools[key] = append(w.sentPools[key], sentPools{w.now, e.Summary.Pools})
			}
			w.mail(n, e.To.ID, e)
		case event.ReadHosts:
			w.reads++
			if n.cut || n.blind {
				n.tb.ListFailed(w.now)
				continue
			}
			n.tb.HostsRead(w.now, w.list)
			n.noteStarts()
		case event.PollLoad:
			w.poll(n, e.Target.ID)
		}
	}
}

// uses returns the work that the node has at targets, by their ids whatever
// the digest names them by.
func (n *node) uses() []event.TargetUse {
	var uses []event.TargetUse
	for _, t := range n.tb.Targets() {
		uses = append(uses, event.TargetUse{Target: t.ID, Running: t.InFlight})
	}
	return uses
}

func (w *world) mail(n *node, to ident.EntryID, eff event.Effect) {
	if n.cut || w.node(to).cut || w.rng.Float64() < w.loss {
		return
	}
	times := 1
	if w.loss > 0 && w.rng.Float64() < 0.1 {
		times = 2
	}
	for range times {
		at := w.now.Add(time.Duration(w.rng.Int63n(int64(w.delay))))
		l := message{at: at, sent: w.now, from: n.id, to: to, eff: eff}
		w.post = append(w.post, l)
		w.sent = append(w.sent, l)
	}
}

func (w *world) poll(n *node, id ident.TargetID) {
	e := w.engine(id)
	if e.down {
		n.tb.LoadFailed(w.now, id, n.tb.byID[id].Incarnation)
		return
	}
	e.seq++
	if e.leaving {
		n.notices[id] = max(n.notices[id], e.Incarnation)
	}
	n.tb.LoadReported(w.now, event.Load{
		Target: id, Incarnation: e.Incarnation, Seq: e.seq, Age: 100 * time.Millisecond, Slots: e.slots, Running: e.running,
		PrefillRate: 1000, DecodeRate: 50, Serves: []rules.Serve{model}, Draining: e.leaving,
	})
	n.noteStarts()
}

// busy sets the requests running at each engine of a data centre.
func (w *world) busy(dc ident.DataCentre, running int) {
	for _, e := range w.targets {
		if e.Place.DataCentre == dc {
			e.running = running
		}
	}
}
