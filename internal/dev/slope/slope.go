// Package slope measures what control costs as the system grows: it runs the
// reducers of a whole fleet in virtual time under a steady load and counts
// messages, bytes, calls to the platform, processor time and memory for each
// host.
//
// # Usage
//
//	res := slope.Run(slope.Config{Centres: 3, Hosts: 2, Targets: 5, Accounts: 100, Rate: 20, For: 30 * time.Second})
//	fmt.Println(res.BytesPerSecond)
//
// Bytes are those of the messages on the wire with the framing of the session
// and of TLS and TCP/IP for each. Processor time is that of the reducer's
// steps and of writing and reading the messages; sockets are not in it.
package slope

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenadale.example/verbenadale/internal/dev/drive"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Config is a size.
type Config struct {
	// Centres is the number of data centres, Regions that of regions; Hosts
	// and Targets are those of each data centre.
	Centres  int `json:"centres"`
	Regions  int `json:"regions"`
	Hosts    int `json:"hosts"`
	Targets  int `json:"targets"`
	Accounts int `json:"accounts"`
	// Rate is requests a second at each host, ChangesADay changes of the
	// configuration.
	Rate        float64       `json:"rate"`
	ChangesADay float64       `json:"changesADay"`
	For         time.Duration `json:"for"`
}

// Result is what a size costs each host, on average over the hosts but where
// it says most.
type Result struct {
	Config       Config  `json:"config"`
	Fleet        int     `json:"fleet"`
	MessagesEach float64 `json:"messagesEach"`
	// BytesEach is bytes a second sent, MostBytes those of the host that sends
	// the most: it represents its data centre.
	BytesEach float64 `json:"bytesEach"`
	MostBytes float64 `json:"mostBytes"`
	PollsEach float64 `json:"pollsEach"`
	// Core is the share of a core for control, Coding that for writing and
	// reading messages, Traffic that for the decisions of requests.
	Core    float64 `json:"core"`
	Coding  float64 `json:"coding"`
	Traffic float64 `json:"traffic"`
	// Parts is bytes a second of each part of digests, summaries and changes.
	Parts map[string]float64 `json:"parts"`
	// PlatformCalls is calls a second of the whole fleet, by name.
	PlatformCalls map[string]float64 `json:"platformCalls"`
	// StateKB is the heap of one host's reducer.
	StateKB float64 `json:"stateKB"`
	// InForceP50 and InForceMax are the times until a change was in force at
	// every host.
	InForceP50 time.Duration `json:"inForceP50"`
	InForceMax time.Duration `json:"inForceMax"`
	Done       int           `json:"done"`
	Refused    int           `json:"refused"`
}

// framing is what a message costs beside itself: 12 bytes of the session, 22
// of a TLS record, 40 of TCP and IP.
const framing = 12 + 22 + 40

// warmUp is how long the fleet runs before anything is counted.
const warmUp = 15 * time.Second

// run is one measurement.
type run struct {
	*drive.Driver
	cfg      Config
	bytes    map[ident.EntryID]int
	messages int
	polls    int
	calls    map[string]int
	coding   time.Duration
	parts    map[string]int
	order    uint64
	changed  map[ident.Revision]ident.Time
	reached  map[ident.Revision]int
	inForce  []time.Duration
}

// Run runs a fleet of a size.
func Run(cfg Config) Result {
	before := heap()
	r := newRun(cfg)
	r.Run(warmUp)
	r.load(warmUp / 2)
	r.count()
	r.load(cfg.For)
	res := r.result()
	res.StateKB = float64(heap()-before) / 1024 / float64(len(r.Hosts))
	runtime.KeepAlive(r)
	return res
}

func newRun(cfg Config) *run {
	r := &run{
		Driver: drive.New(), cfg: cfg, bytes: make(map[ident.EntryID]int), calls: make(map[string]int),
		parts: make(map[string]int), changed: make(map[ident.Revision]ident.Time), reached: make(map[ident.Revision]int),
	}
	r.build()
	return r
}

// delay is the time of a message: short in a region, long between regions.
func delay(from, to event.Host) (time.Duration, bool) {
	if from.Place.Region == to.Place.Region {
		return time.Millisecond, false
	}
	return 80 * time.Millisecond, false
}

// heap returns the live heap.
func heap() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

func (r *run) build() {
	r.Delay = delay
	r.OnMessage = r.message
	r.OnPoll = func(event.Host) { r.polls++ }
	r.OnCall = func(_ event.Host, op string) { r.calls[op]++ }
	r.OnStep = r.step
	for c := range r.cfg.Centres {
		place := event.Place{
			DataCentre: ident.DataCentre(fmt.Sprintf("centre-%d", c)),
			Region:     ident.Region(fmt.Sprintf("region-%d", c%max(r.cfg.Regions, 1))),
		}
		for n := range r.cfg.Hosts {
			r.AddHost(event.Host{
				ID: ident.EntryID(fmt.Sprintf("%s-host-%d", place.DataCentre, n)), Incarnation: 1_700_000_000_000_000_000, Place: place,
				CallerURL: fmt.Sprintf("http://10.%d.1.%d:8080", c, n), PeerAddr: fmt.Sprintf("10.%d.1.%d:7070", c, n),
			})
		}
		for n := range r.cfg.Targets {
			r.AddTarget(event.Target{
				ID: ident.TargetID(fmt.Sprintf("%s-engine-%d", place.DataCentre, n)), Incarnation: 1_700_000_000_000_000_000,
				Kind: event.Engine, Place: place, URL: fmt.Sprintf("http://10.%d.2.%d:8000", c, n), Price: 1,
			}, drive.TargetConfig{Slots: 32, Work: 4 * time.Second, Serves: []rules.Serve{{Model: models[n%len(models)]}}})
		}
	}
	r.Connect()
	r.Change(r.items()...)
}

// models are the models in steady use.
var models = []ident.Model{"draft", "check", "letter"}

func (r *run) items() []rules.Item {
	var items []rules.Item
	for _, m := range models {
		p := rules.Profile{Models: []rules.Serve{{Model: m}}, MaxCrossings: 1, Weights: rules.Weights{Tail: 1, Cost: 0.1, Crossing: 0.2}}
		items = append(items, itemOf(rules.KindProfile, string(m), p))
	}
	for n := range r.cfg.Accounts {
		items = append(items, r.account(n))
	}
	return items
}

func (r *run) account(n int) rules.Item {
	name := fmt.Sprintf("account-%d", n)
	return itemOf(rules.KindAccount, name, rules.Client{
		KeyDigest: rules.Digest(name), RequestsPerMinute: 100_000, TokensPerMinute: 100_000_000, Home: "region-0",
	})
}

func itemOf(kind rules.Kind, name string, doc any) rules.Item {
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return rules.Item{Kind: kind, Name: name, Doc: b}
}

// load sends requests and changes at steady rates for a span.
func (r *run) load(span time.Duration) {
	end := r.Now.Add(span)
	gap := time.Duration(float64(time.Second) / (r.cfg.Rate * float64(len(r.Hosts))))
	changeGap := time.Duration(float64(24*time.Hour) / max(r.cfg.ChangesADay, 1))
	next := r.Now.Add(changeGap / 2)
	for n := 0; r.Now < end; n++ {
		h := r.Hosts[n%len(r.Hosts)]
		r.order++
		req := event.Request{
			ID:      ident.RequestID(fmt.Sprintf("req-%030d", r.order)),
			Account: r.accountAt(h, r.order),
			Profile: ident.Profile(models[n%len(models)]), Prompt: 600, MaxTokens: 240,
		}
		r.Know(req)
		r.Send(h.ID, req)
		r.Run(gap)
		if r.cfg.ChangesADay > 0 && r.Now >= next {
			next = next.Add(changeGap)
			rev := r.Change(r.account(n % max(r.cfg.Accounts, 1)))
			r.changed[rev] = r.Now
		}
	}
}

// accountAt returns an account that calls the region of a host.
func (r *run) accountAt(h *drive.Host, n uint64) ident.Account {
	var region int
	_, _ = fmt.Sscanf(string(h.Place.Region), "region-%d", &region)
	regions := max(r.cfg.Regions, 1)
	each := max(r.cfg.Accounts/regions, 1)
	return ident.Account(fmt.Sprintf("account-%d", int(n/7919+n*31)%each*regions+region))
}

// count begins the counting.
func (r *run) count() {
	clear(r.bytes)
	clear(r.calls)
	clear(r.parts)
	r.messages, r.polls, r.coding = 0, 0, 0
	r.Answers = nil
	for _, h := range r.Hosts {
		h.Busy, h.Traffic = 0, 0
	}
}

// message counts a message and the time to write and read it.
func (r *run) message(from, _ event.Host, eff event.Effect) {
	var m proto.Message
	switch e := eff.(type) {
	case event.SendDigest:
		m = &wire.Frame{Body: &wire.Frame_Digest{Digest: wire.FromDigest(e.Digest)}}
		r.digestParts(e.Digest)
	case event.SendSummary:
		m = &wire.Frame{Body: &wire.Frame_Summary{Summary: wire.FromSummary(e.Summary)}}
		r.parts["summaries"] += proto.Size(m)
	case event.SendChanges:
		m = &wire.Frame{Body: &wire.Frame_Changes{Changes: wire.FromChanges(e.Changes)}}
		r.parts["changes"] += proto.Size(m)
	default:
		return
	}
	began := time.Now()
	b, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(b[1:], &wire.Frame{}); err != nil {
		// The length before the frame takes one byte or two.
		_ = proto.Unmarshal(b[2:], &wire.Frame{})
	}
	r.coding += time.Since(began)
	r.messages++
	r.parts["framing"] += framing
	r.bytes[from.ID] += len(b) + framing
}

// digestParts counts the parts of a digest by leaving the others out.
func (r *run) digestParts(d event.Digest) {
	sizes := []struct {
		name string
		d    event.Digest
	}{
		{"digest use", event.Digest{Use: d.Use}},
		{"digest loads", event.Digest{Loads: d.Loads}},
		{"digest accounts", event.Digest{Accounts: d.Accounts}},
		{"digest summaries", event.Digest{Summaries: d.Summaries}},
		{"digest targets", event.Digest{Targets: d.Targets}},
		{"digest rest", event.Digest{Seq: d.Seq, Revision: d.Revision, Draining: d.Draining, Forwarded: d.Forwarded, Wants: d.Wants}},
	}
	for _, s := range sizes {
		r.parts[s.name] += proto.Size(wire.FromDigest(s.d))
	}
}

// step notes when a change has come into force everywhere.
func (r *run) step(_ *drive.Host, _ event.Event, effs []event.Effect) {
	for _, eff := range effs {
		e, ok := eff.(event.InForceNow)
		if !ok {
			continue
		}
		rev := e.Book.Rev()
		r.reached[rev]++
		if at, ok := r.changed[rev]; ok && r.reached[rev] == len(r.Hosts) {
			r.inForce = append(r.inForce, r.Now.Sub(at))
		}
	}
}

func (r *run) result() Result {
	n := float64(len(r.Hosts))
	secs := r.cfg.For.Seconds()
	res := Result{
		Config: r.cfg, Fleet: len(r.Hosts), PlatformCalls: make(map[string]float64),
		MessagesEach: float64(r.messages) / n / secs, PollsEach: float64(r.polls) / n / secs,
		Coding: r.coding.Seconds() / n / secs,
	}
	for _, h := range r.Hosts {
		res.Core += h.Busy.Seconds() / n / secs
		res.Traffic += h.Traffic.Seconds() / n / secs
		sent := float64(r.bytes[h.ID]) / secs
		res.BytesEach += sent / n
		res.MostBytes = max(res.MostBytes, sent)
	}
	res.Parts = make(map[string]float64, len(r.parts))
	for name, k := range r.parts {
		res.Parts[name] = float64(k) / n / secs
	}
	for op, k := range r.calls {
		res.PlatformCalls[op] = float64(k) / secs
	}
	for _, a := range r.Answers {
		if a.Outcome == event.Done {
			res.Done++
		} else {
			res.Refused++
		}
	}
	if len(r.inForce) > 0 {
		slices.Sort(r.inForce)
		res.InForceP50 = r.inForce[len(r.inForce)/2]
		res.InForceMax = r.inForce[len(r.inForce)-1]
	}
	return res
}
