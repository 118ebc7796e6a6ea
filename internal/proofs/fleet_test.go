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

// relay is a TCP proxy in front of one address. It can cut or silence senders by their IP
// address: for a sender that is cut off, it closes all connections and accepts none; for a silent
// one, it keeps them open and forwards nothing, like a lost link.
type relay struct {
	ln       net.Listener
	to       string
	mu       sync.Mutex
	cut      map[string]bool
	silenced map[string]bool
	open     map[net.Conn]string
	// connections counts all connections, including refused ones. onBytes, if set, receives
	// all bytes.
	connections int
	onBytes     func(sender string, b []byte)
}

// everyone matches all senders.
const everyone = "*"

// startRelay starts a relay on its own IP address.
func startRelay(t *testing.T, port int, to string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ports.IP(), port))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		ln: ln, to: to, cut: make(map[string]bool), silenced: make(map[string]bool), open: make(map[net.Conn]string),
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
		r.connections++
		r.mu.Unlock()
		p := &pipe{relay: r, in: c, sender: ipOf(c)}
		go p.run()
	}
}

func ipOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}

// setCut cuts or heals the connections of one sender or of everyone.
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

// setSilent starts or stops holding back the data of one sender or of everyone, in both
// directions. The connections stay open.
func (r *relay) setSilent(sender string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced[sender] = silent
}

func (r *relay) isSilent(sender string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silenced[sender] || r.silenced[everyone]
}

func (r *relay) track(c net.Conn, sender string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[sender] || r.cut[everyone] {
		return false
	}
	r.open[c] = sender
	return true
}

func (r *relay) untrack(c net.Conn) {
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
	if !p.relay.track(p.in, p.sender) {
		return
	}
	defer p.relay.untrack(p.in)
	out, err := net.Dial("tcp", p.relay.to)
	if err != nil {
		return
	}
	defer out.Close()
	if !p.relay.track(out, p.sender) {
		return
	}
	defer p.relay.untrack(out)
	back := &copier{relay: p.relay, sender: p.sender, from: out, to: p.in}
	go back.run()
	forth := &copier{relay: p.relay, sender: p.sender, from: p.in, to: out}
	forth.run()
}

// copier copies the data of a pipe in one direction.
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
		for c.relay.isSilent(c.sender) {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			c.relay.reportBytes(c.sender, buf[:n])
			if _, werr := c.to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// fleet is a system of several data centres as separate processes, linked by mutual TLS. There is
// a relay in front of each host's peer address, and one between each host and the platform.
type fleet struct {
	t        *testing.T
	platform string
	hosts    []*fleetHost
	targets  []event.Target
	procs    map[ident.TargetID]*proc
	ca       *certs.Authority
	adjust   func(set *config.Settings)
}

// fleetHost is one entry host of a fleet, with its relays.
type fleetHost struct {
	*entry
	id    ident.EntryID
	place event.Place
	// ip is the source address of its links to peers. Peers reach it through peerRelay; it
	// reaches the platform through platformRelay.
	ip            string
	peerRelay     *relay
	platformRelay *relay
	settingsFile  string
	limits        config.Limits
}

// site describes one data centre to start.
type site struct {
	place    event.Place
	entries  int
	engines  int
	services int
	// engineArgs and serviceArgs are arguments of the stand-ins. limits apply to the entry
	// hosts; zero means testLimits.
	engineArgs, serviceArgs []string
	limits                  config.Limits
}

func siteOf(name string, entries, engines, services int) site {
	return site{
		place:   event.Place{DataCentre: ident.DataCentre(name), Region: ident.Region(name)},
		entries: entries, engines: engines, services: services,
	}
}

// startFleet starts a platform and the targets and entry hosts of several data centres, each in
// a region of its own.
func startFleet(t *testing.T, sites ...site) *fleet {
	t.Helper()
	return startFleetWith(t, func(*config.Settings) {}, sites...)
}

// startFleetWith is like startFleet, but adjusts the settings of each host.
func startFleetWith(t *testing.T, adjust func(set *config.Settings), sites ...site) *fleet {
	t.Helper()
	ca, err := certs.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, platform: startPlatform(t), procs: make(map[ident.TargetID]*proc), ca: ca, adjust: adjust}
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
			f.hosts = append(f.hosts, &fleetHost{
				id: id, place: s.place, ip: ip, peerRelay: startRelay(t, peersPort, fmt.Sprintf("%s:%d", ip, peersPort)),
				limits: cmp.Or(s.limits, testLimits),
			})
		}
	}
	for _, m := range f.hosts {
		f.makeSettings(m)
	}
	for _, m := range f.hosts {
		f.startHost(m)
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

// makeSettings creates the settings of a host.
func (f *fleet) makeSettings(m *fleetHost) {
	f.t.Helper()
	files, err := f.ca.Issue(f.t.TempDir(), string(m.id))
	if err != nil {
		f.t.Fatal(err)
	}
	m.platformRelay = startRelay(f.t, platformPort, f.platform[len("http://"):])
	set := config.Settings{
		Entry: m.id, DataCentre: m.place.DataCentre, Region: m.place.Region,
		Callers: config.Callers{Listen: fmt.Sprintf("%s:%d", ports.IP(), callersPort)},
		Peers: config.Peers{
			Listen: fmt.Sprintf("%s:%d", m.ip, peersPort), Advertise: m.peerRelay.addr(),
			CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA,
		},
		Operators: config.Operators{
			Listen: fmt.Sprintf("%s:%d", ports.IP(), operatorsPort),
			Known: []config.Operator{
				{Name: "ops", TokenDigest: rules.Digest(operatorToken)},
				{Name: "second", TokenDigest: rules.Digest(secondToken)},
			},
		},
		Platform: config.Platform{URL: "http://" + m.platformRelay.addr(), TimeoutMs: 1000, CallsPerSecond: 50},
		Limits:   m.limits,
		Traces:   config.Traces{Exporter: "none"},
		Logs:     config.Logs{Level: 1},
	}
	for _, o := range f.hosts {
		if o.id == m.id {
			continue
		}
		set.Peers.Seeds = append(set.Peers.Seeds, config.Seed{
			Entry: o.id, Addr: o.peerRelay.addr(), DataCentre: o.place.DataCentre, Region: o.place.Region,
		})
	}
	f.adjust(&set)
	m.settingsFile = filepath.Join(f.t.TempDir(), string(m.id)+".json")
	m.entry = &entry{settings: set}
}

const secondToken = "second-operator-token"

// startHost starts the process of a host, for the first time or again.
func (f *fleet) startHost(m *fleetHost) {
	f.t.Helper()
	b, err := json.Marshal(m.settings)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(m.settingsFile, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
	m.proc = start(f.t, "verbenadale", "serve", "-settings", m.settingsFile)
	eventually(f.t, "the entry host answers", reachable(m.operators()+"/healthz"))
}

// host returns the entry host with an id.
func (f *fleet) host(id ident.EntryID) *fleetHost {
	f.t.Helper()
	for _, m := range f.hosts {
		if m.id == id {
			return m
		}
	}
	f.t.Fatalf("no host %s", id)
	return nil
}

// hostsIn returns the hosts of a data centre.
func (f *fleet) hostsIn(dc ident.DataCentre) []*fleetHost {
	var ms []*fleetHost
	for _, m := range f.hosts {
		if m.place.DataCentre == dc {
			ms = append(ms, m)
		}
	}
	return ms
}

// partition cuts or heals all links between a data centre and the others, in both directions,
// and if platform is set, also those to the platform.
func (f *fleet) partition(dc ident.DataCentre, platform, cut bool) {
	for _, m := range f.hosts {
		if platform && m.place.DataCentre == dc {
			m.platformRelay.setCut(everyone, cut)
		}
	}
	f.eachLink(dc, func(from, to *fleetHost) { f.cutLink(from, to, cut) })
}

// cutLink cuts or heals the link from one host to another, but not the reverse one.
func (f *fleet) cutLink(from, to *fleetHost, cut bool) { to.peerRelay.setCut(from.ip, cut) }

// signal sends a signal to the process.
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

// engineLedger returns an engine's record of the requests that it received.
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

// configure creates the profiles and accounts that most tests use, and waits until they are in
// force on every host.
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

// status returns a host's view of the system.
func (f *fleet) status(m *fleetHost) event.StatusAnswered {
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

func (f *fleet) revision(m *fleetHost) ident.Revision { return f.status(m).Revision }
