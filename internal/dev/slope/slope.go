// Package slope measures how the cost of control grows with the size of the
// system. It runs the reducers of a whole fleet in virtual time under a steady load and
// counts messages, bytes, calls to the platform, processor time and memory for each
// host.
//
// # Usage
//
//	res := slope.Run(slope.Config{Centres: 3, Hosts: 2, Targets: 5, Accounts: 100, Rate: 20, Duration: 30 * time.Second})
//	fmt.Println(res.BytesPerHost)
//
// Bytes are those of the messages on the wire, with the framing of the session, of
// TLS and of TCP/IP for each message. Processor time covers the steps of the reducer and
// the encoding and decoding of messages, but not the sockets.
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

// Config is the size of a system and its load.
type Config struct {
	// Centres and Regions are the numbers of data centres and regions; Hosts and Targets are the
	// numbers in each data centre.
	Centres  int `json:"centres"`
	Regions  int `json:"regions"`
	Hosts    int `json:"hosts"`
	Targets  int `json:"targets"`
	Accounts int `json:"accounts"`
	// Rate is in requests per second at each host, ChangesPerDay in changes of the configuration
	// per day.
	Rate          float64       `json:"rate"`
	ChangesPerDay float64       `json:"changesADay"`
	Duration      time.Duration `json:"for"`
}

// Result is the cost of control per host: the mean over the hosts unless a field is a maximum.
type Result struct {
	Config          Config  `json:"config"`
	Fleet           int     `json:"fleet"`
	MessagesPerHost float64 `json:"messagesEach"`
	// BytesPerHost is in bytes sent per second. MaxBytes is that of the host that sends the
	// most, usually the representative of its data centre.
	BytesPerHost float64 `json:"bytesEach"`
	MaxBytes     float64 `json:"mostBytes"`
	PollsPerHost float64 `json:"pollsEach"`
	// ControlCPU is the share of a core spent on control, CodingCPU that on encoding and
	// decoding messages, TrafficCPU that on decisions about requests.
	ControlCPU float64 `json:"core"`
	CodingCPU  float64 `json:"coding"`
	TrafficCPU float64 `json:"traffic"`
	// Parts is the bytes per second of each part of digests, summaries and changes.
	Parts map[string]float64 `json:"parts"`
	// PlatformCalls is the calls per second of the whole fleet, by name.
	PlatformCalls map[string]float64 `json:"platformCalls"`
	// StateKB is the heap of the reducer of one host, in KiB.
	StateKB float64 `json:"stateKB"`
	// InForceP50 and InForceMax are the median and the maximum of the time until a change was in
	// force at every host.
	InForceP50 time.Duration `json:"inForceP50"`
	InForceMax time.Duration `json:"inForceMax"`
	Done       int           `json:"done"`
	Refused    int           `json:"refused"`
}

// framing is the overhead of a message in bytes: 12 of the session, 22 of a TLS record, 40 of
// TCP and IP.
const framing = 12 + 22 + 40

// warmUp is how long the fleet runs before anything is counted.
const warmUp = 15 * time.Second

type run struct {
	*drive.Driver
	cfg           Config
	bytes         map[ident.EntryID]int
	messages      int
	polls         int
	calls         map[string]int
	codingTime    time.Duration
	parts         map[string]int
	requestSeq    uint64
	changedAt     map[ident.Revision]ident.Time
	hostsInForce  map[ident.Revision]int
	inForceDelays []time.Duration
}

// Run measures a fleet of one size.
func Run(cfg Config) Result {
	before := heap()
	r := newRun(cfg)
	r.Run(warmUp)
	r.generateLoad(warmUp / 2)
	r.resetCounters()
	r.generateLoad(cfg.Duration)
	res := r.result()
	res.StateKB = float64(heap()-before) / 1024 / float64(len(r.Hosts))
	runtime.KeepAlive(r)
	return res
}

func newRun(cfg Config) *run {
	r := &run{
		Driver: drive.New(), cfg: cfg, bytes: make(map[ident.EntryID]int), calls: make(map[string]int),
		parts: make(map[string]int), changedAt: make(map[ident.Revision]ident.Time), hostsInForce: make(map[ident.Revision]int),
	}
	r.build()
	return r
}

// delay returns the latency of a message, which depends on whether it stays within a region. No
// message is lost.
func delay(from, to event.Host) (time.Duration, bool) {
	if from.Place.Region == to.Place.Region {
		return time.Millisecond, false
	}
	return 80 * time.Millisecond, false
}

// heap returns the size of the live heap in bytes.
func heap() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

func (r *run) build() {
	r.Delay = delay
	r.OnMessage = r.countMessage
	r.OnPoll = func(event.Host) { r.polls++ }
	r.OnCall = func(_ event.Host, op string) { r.calls[op]++ }
	r.OnStep = r.recordInForce
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

// models are the models that requests ask for.
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

// generateLoad sends requests and changes at steady rates for span.
func (r *run) generateLoad(span time.Duration) {
	end := r.Now.Add(span)
	gap := time.Duration(float64(time.Second) / (r.cfg.Rate * float64(len(r.Hosts))))
	changeGap := time.Duration(float64(24*time.Hour) / max(r.cfg.ChangesPerDay, 1))
	next := r.Now.Add(changeGap / 2)
	for n := 0; r.Now < end; n++ {
		h := r.Hosts[n%len(r.Hosts)]
		r.requestSeq++
		req := event.Request{
			ID:      ident.RequestID(fmt.Sprintf("req-%030d", r.requestSeq)),
			Account: r.accountAt(h, r.requestSeq),
			Profile: ident.Profile(models[n%len(models)]), Prompt: 600, MaxTokens: 240,
		}
		r.RegisterRequest(req)
		r.Send(h.ID, req)
		r.Run(gap)
		if r.cfg.ChangesPerDay > 0 && r.Now >= next {
			next = next.Add(changeGap)
			r.changeAccount(n % max(r.cfg.Accounts, 1))
		}
	}
}

// changeAccount writes a change of an account to the platform and records when.
func (r *run) changeAccount(n int) {
	rev := r.Change(r.account(n))
	r.changedAt[rev] = r.Now
}

// accountAt returns an account that calls hosts in the region of h.
func (r *run) accountAt(h *drive.Host, n uint64) ident.Account {
	var region int
	_, _ = fmt.Sscanf(string(h.Place.Region), "region-%d", &region)
	regions := max(r.cfg.Regions, 1)
	each := max(r.cfg.Accounts/regions, 1)
	return ident.Account(fmt.Sprintf("account-%d", int(n/7919+n*31)%each*regions+region))
}

// resetCounters clears what was counted so far.
func (r *run) resetCounters() {
	clear(r.bytes)
	clear(r.calls)
	clear(r.parts)
	r.messages, r.polls, r.codingTime = 0, 0, 0
	r.Answers = nil
	for _, h := range r.Hosts {
		h.ControlTime, h.TrafficTime = 0, 0
	}
}

// countMessage counts a message and measures the time to encode and decode it.
func (r *run) countMessage(from, _ event.Host, eff event.Effect) {
	var m proto.Message
	switch e := eff.(type) {
	case event.SendDigest:
		m = &wire.Frame{Body: &wire.Frame_Digest{Digest: wire.FromDigest(e.Digest)}}
		r.countDigestParts(e.Digest)
	case event.SendAdmissions:
		m = &wire.Frame{Body: &wire.Frame_Admissions{Admissions: wire.FromAdmissions(e.Admissions)}}
		r.parts["admissions"] += proto.Size(m)
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
		// The length prefix of the frame takes one or two bytes.
		_ = proto.Unmarshal(b[2:], &wire.Frame{})
	}
	r.codingTime += time.Since(began)
	r.messages++
	r.parts["framing"] += framing
	r.bytes[from.ID] += len(b) + framing
}

// countDigestParts counts the size of each part of a digest, encoded without the others.
func (r *run) countDigestParts(d event.Digest) {
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

// recordInForce records when a change is in force at every host.
func (r *run) recordInForce(_ *drive.Host, _ event.Event, effs []event.Effect) {
	for _, eff := range effs {
		e, ok := eff.(event.InForceNow)
		if !ok {
			continue
		}
		rev := e.Book.Rev()
		r.hostsInForce[rev]++
		if at, ok := r.changedAt[rev]; ok && r.hostsInForce[rev] == len(r.Hosts) {
			r.inForceDelays = append(r.inForceDelays, r.Now.Sub(at))
		}
	}
}

func (r *run) result() Result {
	n := float64(len(r.Hosts))
	secs := r.cfg.Duration.Seconds()
	res := Result{
		Config: r.cfg, Fleet: len(r.Hosts), PlatformCalls: make(map[string]float64),
		MessagesPerHost: float64(r.messages) / n / secs, PollsPerHost: float64(r.polls) / n / secs,
		CodingCPU: r.codingTime.Seconds() / n / secs,
	}
	for _, h := range r.Hosts {
		res.ControlCPU += h.ControlTime.Seconds() / n / secs
		res.TrafficCPU += h.TrafficTime.Seconds() / n / secs
		sent := float64(r.bytes[h.ID]) / secs
		res.BytesPerHost += sent / n
		res.MaxBytes = max(res.MaxBytes, sent)
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
	if len(r.inForceDelays) > 0 {
		slices.Sort(r.inForceDelays)
		res.InForceP50 = r.inForceDelays[len(r.inForceDelays)/2]
		res.InForceMax = r.inForceDelays[len(r.inForceDelays)-1]
	}
	return res
}
