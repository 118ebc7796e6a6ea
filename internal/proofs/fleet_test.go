package proofs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/certs"
	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/dev/plain"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// relay stands before one address and can be cut for senders by their IP
// number. For a sender that is cut off, it ends the connections that stand and
// takes no new ones; for one that is silent, it keeps them and passes nothing
// on, as a lost link does.
type relay struct {
	ln   net.Listener
	to   string
	mu   sync.Mutex
	cut  map[string]bool
	hush map[string]bool
	open map[net.Conn]string
	// knocks counts the connections, those that were refused among them. tape
	// is given all bytes; nil for none.
	knocks int
	tape   func(sender string, b []byte)
}

// everyone stands for all senders.
const everyone = "*"

// startRelay starts a relay on an address of its own.
func startRelay(t *testing.T, port int, to string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ports.IP(), port))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		ln: ln, to: to, cut: make(map[string]bool), hush: make(map[string]bool), open: make(map[net.Conn]string),
	}
	go r.run()
	t.Cleanup(func() { _ = ln.Close(); r.setCut(everyone, true) })
	return r
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) run() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.knocks++
		r.mu.Unlock()
		p := &pipe{relay: r, in: c, sender: ipOf(c)}
		go p.run()
	}
}

func ipOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}

// setCut cuts or heals the way from one sender, or from everyone.
func (r *relay) setCut(sender string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[sender] = cut
	if !cut {
		return
	}
	for c, from := range r.open {
		if sender == everyone || from == sender {
			c.Close()
		}
	}
}

// setSilent keeps the connections of one sender and passes nothing on, either
// way.
func (r *relay) setSilent(sender string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hush[sender] = silent
}

func (r *relay) silent(sender string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hush[sender] || r.hush[everyone]
}

func (r *relay) keep(c net.Conn, sender string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[sender] || r.cut[everyone] {
		return false
	}
	r.open[c] = sender
	return true
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	c.Close()
}

// pipe is one connection through a relay.
type pipe struct {
	relay  *relay
	in     net.Conn
	sender string
}

func (p *pipe) run() {
	defer p.in.Close()
	if !p.relay.keep(p.in, p.sender) {
		return
	}
	defer p.relay.drop(p.in)
	out, err := net.Dial("tcp", p.relay.to)
	if err != nil {
		return
	}
	defer out.Close()
	if !p.relay.keep(out, p.sender) {
		return
	}
	defer p.relay.drop(out)
	back := &copier{relay: p.relay, sender: p.sender, from: out, to: p.in}
	go back.run()
	forth := &copier{relay: p.relay, sender: p.sender, from: p.in, to: out}
	forth.run()
}

// copier copies one way.
type copier struct {
	relay    *relay
	sender   string
	from, to net.Conn
}

func (c *copier) run() {
	defer c.to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := c.from.Read(buf)
		for c.relay.silent(c.sender) {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			c.relay.passed(c.sender, buf[:n])
			if _, werr := c.to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// fleet is a system of several data centres as separate processes, linked by
// mutual TLS. A relay stands before each host's address towards peers, and one
// between each host and the platform.
type fleet struct {
	t        *testing.T
	platform string
	hosts    []*member
	targets  []event.Target
	procs    map[ident.TargetID]*proc
	ca       *certs.Authority
	tune     func(set *config.Settings)
}

// member is one entry host and the relays that lead to others from it.
type member struct {
	*entry
	id    ident.EntryID
	place event.Place
	// ip is where its links to peers come from; before is the relay that
	// peers reach it through, toPlatform the one that leads to the platform.
	ip         string
	before     *relay
	toPlatform *relay
	file       string
	limits     config.Limits
}

// site is one data centre to start.
type site struct {
	place    event.Place
	entries  int
	engines  int
	services int
	// engineArgs and serviceArgs go to the stand-ins; limits are those of the
	// entry hosts, testLimits where none are set.
	engineArgs, serviceArgs []string
	limits                  config.Limits
}

func siteOf(name string, entries, engines, services int) site {
	return site{
		place:   event.Place{DataCentre: ident.DataCentre(name), Region: ident.Region(name)},
		entries: entries, engines: engines, services: services,
	}
}

// startFleet starts a platform, the targets and the entry hosts of several
// data centres, each in a region of its own.
func startFleet(t *testing.T, sites ...site) *fleet {
	t.Helper()
	return startTuned(t, func(*config.Settings) {}, sites...)
}

// startTuned is startFleet with a change to the settings of every host.
func startTuned(t *testing.T, tune func(set *config.Settings), sites ...site) *fleet {
	t.Helper()
	ca, err := certs.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, platform: startPlatform(t), procs: make(map[ident.TargetID]*proc), ca: ca, tune: tune}
	for _, s := range sites {
		for n := range s.engines {
			f.addEngine(ident.TargetID(fmt.Sprintf("%s-e%d", s.place.DataCentre, n+1)), s.place, s.engineArgs...)
		}
		for n := range s.services {
			f.addService(ident.TargetID(fmt.Sprintf("%s-p%d", s.place.DataCentre, n+1)), s.place, s.serviceArgs...)
		}
	}
	putHosts(t, f.platform, store.Hosts{Targets: f.targets})
	for _, s := range sites {
		for n := range s.entries {
			id := ident.EntryID(fmt.Sprintf("%s-%d", s.place.DataCentre, n+1))
			ip := ports.IP()
			f.hosts = append(f.hosts, &member{
				id: id, place: s.place, ip: ip, before: startRelay(t, peersPort, fmt.Sprintf("%s:%d", ip, peersPort)),
				limits: cmp.Or(s.limits, testLimits),
			})
		}
	}
	for _, m := range f.hosts {
		f.wire(m)
	}
	for _, m := range f.hosts {
		f.boot(m)
	}
	return f
}

func (f *fleet) addEngine(id ident.TargetID, place event.Place, args ...string) {
	f.t.Helper()
	addr := fmt.Sprintf("%s:%d", ports.IP(), targetPort)
	args = append([]string{"engine", "-listen", addr, "-id", string(id), "-model", "draft"}, args...)
	f.procs[id] = start(f.t, "verbdev", args...)
	eventually(f.t, "the engine answers", reachable("http://"+addr+"/load"))
	f.targets = append(f.targets, event.Target{ID: id, Kind: event.Engine, Place: place, URL: "http://" + addr, Price: 1})
}

func (f *fleet) addService(id ident.TargetID, place event.Place, args ...string) {
	f.t.Helper()
	addr := fmt.Sprintf("%s:%d", ports.IP(), targetPort)
	args = append([]string{"service", "-listen", addr, "-id", string(id), "-service", "publish"}, args...)
	f.procs[id] = start(f.t, "verbdev", args...)
	eventually(f.t, "the service answers", reachable("http://"+addr+"/load"))
	f.targets = append(f.targets, event.Target{ID: id, Kind: event.Service, Service: "publish", Place: place, URL: "http://" + addr, Price: 1})
}

// wire makes the settings of a host.
func (f *fleet) wire(m *member) {
	f.t.Helper()
	files, err := f.ca.Issue(f.t.TempDir(), string(m.id))
	if err != nil {
		f.t.Fatal(err)
	}
	m.toPlatform = startRelay(f.t, platformPort, f.platform[len("http://"):])
	set := config.Settings{
		Entry: m.id, DataCentre: m.place.DataCentre, Region: m.place.Region,
		Callers: config.Callers{Listen: fmt.Sprintf("%s:%d", ports.IP(), callersPort)},
		Peers: config.Peers{
			Listen: fmt.Sprintf("%s:%d", m.ip, peersPort), Advertise: m.before.addr(),
			CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA,
		},
		Operators: config.Operators{
			Listen: fmt.Sprintf("%s:%d", ports.IP(), operatorsPort),
			Known: []config.Operator{
				{Name: "ops", TokenDigest: rules.Digest(operatorToken)},
				{Name: "second", TokenDigest: rules.Digest(secondToken)},
			},
		},
		Platform: config.Platform{URL: "http://" + m.toPlatform.addr(), TimeoutMs: 1000, CallsPerSecond: 50},
		Limits:   m.limits,
		Traces:   config.Traces{Exporter: "none"},
		Logs:     config.Logs{Level: 1},
	}
	for _, o := range f.hosts {
		if o.id == m.id {
			continue
		}
		set.Peers.Seeds = append(set.Peers.Seeds, config.Seed{
			Entry: o.id, Addr: o.before.addr(), DataCentre: o.place.DataCentre, Region: o.place.Region,
		})
	}
	f.tune(&set)
	m.file = filepath.Join(f.t.TempDir(), string(m.id)+".json")
	m.entry = &entry{set: set}
}

const secondToken = "second-operator-token"

// boot starts the process of a host, the first time or again.
func (f *fleet) boot(m *member) {
	f.t.Helper()
	b, err := json.Marshal(m.set)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(m.file, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
	m.proc = start(f.t, "verbenadale", "serve", "-settings", m.file)
	eventually(f.t, "the entry host answers", reachable(m.operators()+"/healthz"))
}

// host returns an entry host by id.
func (f *fleet) host(id ident.EntryID) *member {
	f.t.Helper()
	for _, m := range f.hosts {
		if m.id == id {
			return m
		}
	}
	f.t.Fatalf("no host %s", id)
	return nil
}

// at returns the hosts of a data centre.
func (f *fleet) at(dc ident.DataCentre) []*member {
	var ms []*member
	for _, m := range f.hosts {
		if m.place.DataCentre == dc {
			ms = append(ms, m)
		}
	}
	return ms
}

// cutOff cuts or heals all links between a data centre and the others, both
// ways, and with platform also those to the platform.
func (f *fleet) cutOff(dc ident.DataCentre, platform, cut bool) {
	for _, m := range f.hosts {
		if platform && m.place.DataCentre == dc {
			m.toPlatform.setCut(everyone, cut)
		}
	}
	f.between(dc, func(from, to *member) { f.cutLink(from, to, cut) })
}

// cutLink cuts or heals the way from one host to another, but not back.
func (f *fleet) cutLink(from, to *member, cut bool) { to.before.setCut(from.ip, cut) }

// signal sends a signal to a process that the test started.
func (p *proc) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// exited reports whether the process has ended.
func (p *proc) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func getJSON(t *testing.T, url string, v any) {
	t.Helper()
	res, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		t.Fatalf("%s: %v\n%s", url, err, b)
	}
}

func (f *fleet) url(id ident.TargetID) string {
	f.t.Helper()
	for _, tg := range f.targets {
		if tg.ID == id {
			return tg.URL
		}
	}
	f.t.Fatalf("no target %s", id)
	return ""
}

// engineLedger is what an engine says that it has done.
func (f *fleet) engineLedger(id ident.TargetID) engine.Ledger {
	var l engine.Ledger
	getJSON(f.t, f.url(id)+"/dev/ledger", &l)
	return l
}

// jobs counts the runs of each job at all services.
func (f *fleet) jobs() map[string]int {
	runs := make(map[string]int)
	for _, tg := range f.targets {
		if tg.Kind != event.Service {
			continue
		}
		var l plain.Ledger
		getJSON(f.t, tg.URL+"/dev/ledger", &l)
		for job, n := range l.Jobs {
			runs[job] += n
		}
	}
	return runs
}

// configure sets the profiles and accounts that most tests use, and waits
// until every host has them in force.
func (f *fleet) configure(extra ...rules.Item) {
	f.t.Helper()
	items := append([]rules.Item{
		item(f.t, rules.KindProfile, "draft", rules.Profile{
			Name: "draft", Models: []rules.Serve{{Model: "draft"}}, MaxCrossings: 1,
			Weights: rules.Weights{Tail: 1, Cost: 0.1, Crossing: 0.2},
		}),
		item(f.t, rules.KindProfile, "publish", rules.Profile{Name: "publish", Service: "publish", AtMostOnce: true, MaxCrossings: 1}),
		item(f.t, rules.KindAccount, "foundation", rules.Client{Name: "foundation", KeyDigest: rules.Digest("key-1")}),
	}, extra...)
	applyItems(f.t, f.hosts[0].entry, items...)
	for _, m := range f.hosts {
		eventually(f.t, "the configuration is in force at "+string(m.id), func() bool { return f.revision(m) >= 1 })
	}
}

// status is what a host says of the system.
func (f *fleet) status(m *member) event.StatusAnswered {
	var st event.StatusAnswered
	req, err := http.NewRequest(http.MethodGet, m.operators()+"/v1/status", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return st
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&st)
	return st
}

func (f *fleet) revision(m *member) ident.Revision { return f.status(m).Revision }
