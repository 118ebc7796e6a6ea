package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/kvstub"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/dev/relay"
	"verbenadale.example/verbenadale/internal/dev/worker"
	"verbenadale.example/verbenadale/internal/httpsv"
	"verbenadale.example/verbenadale/pkg/ident"
)

const hostName = "soak.example"

// regions of the deployment, with one data centre each.
var regions = []string{"west", "east"}

func centreOf(region string) string { return region + "-a" }

// events of the streams, and the work of calls.
const (
	streamEvents = 30
	callWork     = 5 * time.Millisecond
)

// site is the deployment that is harmed.
type site struct {
	t     tomb.Tomb
	cfg   Config
	clock *clock.Service
	began time.Time
	dir   string
	store *kvstub.Server
	url   string
	hosts []*host

	mu      sync.Mutex
	workers []*target
	version int
	servers []*http.Server
	// harmedAt is when a fault last began or ended.
	harmedAt time.Time
	// words are the configurations that the operators have written, evacuated when
	// they evacuated data centres.
	words     []word
	evacuated []evacuation
	// ended are the processes that ended by themselves.
	ended []string
}

// target is one incarnation of a worker behind its relay.
type target struct {
	*worker.Worker
	id, service, region string
	relay               *relay.Relay
	// leftAt is when it was listed as leaving.
	leftAt time.Time
}

// evacuation is a time in which a region was to get nothing; to is zero while it goes
// on.
type evacuation struct {
	region   string
	from, to time.Time
}

// empty evacuates a region or ends that.
func (s *site) empty(region string, yes bool) {
	key := "op/evacuate/" + centreOf(region)
	if yes {
		s.store.Put(key, []byte("{}"))
	} else {
		s.store.Remove(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.evacuated {
		if e := &s.evacuated[i]; e.region == region && e.to.IsZero() {
			e.to = time.Now()
		}
	}
	if yes {
		s.evacuated = append(s.evacuated, evacuation{region: region, from: time.Now()})
	}
}

// word is a configuration that the operators have written.
type word struct {
	at      time.Time
	version int
}

func (s *site) start() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	s.store = kvstub.New()
	if s.url, err = s.serve(s.store); err != nil {
		return err
	}
	s.configure()
	for _, region := range regions {
		for n := range 3 {
			if err := s.addWorker(fmt.Sprintf("writer-%s-%d", region, n), "writers", region); err != nil {
				return err
			}
		}
		for n := range 2 {
			if err := s.addWorker(fmt.Sprintf("board-%s-%d", region, n), "board", region); err != nil {
				return err
			}
		}
	}
	for _, region := range regions {
		for range s.cfg.Hosts {
			if err := s.addHost(region); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *site) stop() {
	for _, h := range s.hosts {
		h.end()
	}
	s.store.Stop()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	for _, h := range s.hosts {
		h.toStore.Stop()
		h.before.Stop()
	}
	for _, w := range s.workers {
		w.relay.Stop()
	}
	s.t.Kill(nil)
	if s.t.Alive() || len(s.servers) > 0 {
		_ = s.t.Wait()
	}
	s.clock.Stop()
	_ = os.RemoveAll(s.dir)
}

// serve serves a stand-in and returns its address.
func (s *site) serve(h http.Handler) (string, error) {
	l, err := httpsv.Listen(ports.Next(), &http.Server{Handler: h, ReadHeaderTimeout: time.Minute})
	if err != nil {
		return "", errors.Wrap(ErrStart, err.Error())
	}
	s.servers = append(s.servers, l.Server)
	s.t.Go(l.Run)
	return l.Net.Addr().String(), nil
}

func (s *site) relayTo(addr string) (*relay.Relay, error) {
	r, err := relay.Start(relay.Config{Listen: ports.Next(), To: addr, Clock: s.clock})
	return r, errors.Wrap(err, ErrStart.Error())
}

// configure writes the next version, which adds a route of its own.
func (s *site) configure() {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	route := func(name, kind, service string, homes ...string) map[string]any {
		return map[string]any{
			"Name": "r-" + name, "Host": hostName, "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": s.cfg.tempo().timeoutMs, "TargetLatencyMs": 500,
			"GapTargetMs": 300, "Service": service, "MaxAttempts": 2, "Resumable": kind == "streaming", "HomeRegions": homes,
		}
	}
	routes := []any{
		route(kindDraft, "streaming", "writers"), route(kindPublish, "non_idempotent", "board"),
		route(kindFetch, "idempotent", "board"), route(kindHome, "idempotent", "board", regions[0]),
	}
	for n := 2; n <= v; n++ {
		routes = append(routes, route(fmt.Sprint("v", n), "idempotent", "board"))
	}
	b, err := json.Marshal(map[string]any{
		"Version": v, "Routes": routes,
		"Services": []any{map[string]any{"Name": "writers", "HealthPath": "/healthz"}, map[string]any{"Name": "board", "HealthPath": "/healthz"}},
		"Limits":   map[string]any{"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put("op/config", b)
	s.mu.Lock()
	s.words = append(s.words, word{at: time.Now(), version: v})
	s.mu.Unlock()
}

func (s *site) addWorker(id, service, region string) error {
	cfg := worker.Config{ID: id, Service: service, DataCentre: centreOf(region), Slots: 16, Work: callWork}
	if service == "writers" {
		cfg.Events, cfg.EventInterval = streamEvents, s.cfg.tempo().pause
	}
	w := &target{Worker: worker.New(cfg), id: id, service: service, region: region}
	addr, err := s.serve(w.Worker)
	if err != nil {
		return err
	}
	if w.relay, err = s.relayTo(addr); err != nil {
		return err
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.store.Put(w.StoreKey(), w.StoreEntry(w.relay.Addr(), "ready", 0))
	return nil
}

// leave lists a worker as leaving.
func (s *site) leave(w *target) {
	s.store.Put(w.StoreKey(), w.StoreEntry(w.relay.Addr(), "draining", 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	w.leftAt = time.Now()
}

func (s *site) targets() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*target(nil), s.workers...)
}

// harmed records that a fault begins or ends.
func (s *site) harmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.harmedAt = time.Now()
}

func (s *site) calm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.harmedAt) > quiet
}

// host is an entry host and its relays.
type host struct {
	site            *site
	set             config.Settings
	region, file    string
	toStore, before *relay.Relay

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// run counts its processes, termAt is when the newest got SIGTERM, ending
	// that it was made to end.
	run    int
	termAt time.Time
	ending bool
	over   bool
}

func (s *site) addHost(region string) error {
	h := &host{site: s, region: region}
	own := ports.Next()
	var err error
	if h.before, err = s.relayTo(own); err != nil {
		return err
	}
	if h.toStore, err = s.relayTo(s.url); err != nil {
		return err
	}
	// A seed is named by its address, so the host goes by that of its relay.
	name, _, err := net.SplitHostPort(h.before.Addr())
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	h.set = config.Defaults()
	h.set.Entry = ident.EntryID(name)
	h.set.DataCentre, h.set.Region = ident.DataCentre(centreOf(region)), ident.Region(region)
	h.set.Callers.Listen = ports.Next()
	h.set.Peers = config.Peers{Listen: own, Advertise: h.before.Addr(), Plain: true}
	h.set.Operators.Listen = ports.Next()
	h.set.Platform.URL = "http://" + h.toStore.Addr()
	h.set.Fleet.Directory, h.set.Fleet.Ready, h.set.Fleet.Metrics = ports.Next(), ports.Next(), ports.Next()
	h.set.Fleet.GraceSeconds = s.cfg.tempo().graceSeconds
	for _, r := range regions {
		h.set.Fleet.Places = append(h.set.Fleet.Places, config.FleetPlace{DataCentre: ident.DataCentre(centreOf(r)), Region: ident.Region(r)})
	}
	for _, o := range s.hosts {
		h.set.Fleet.Seeds = append(h.set.Fleet.Seeds, o.before.Addr())
	}
	h.file = filepath.Join(s.dir, name+".json")
	b, err := json.Marshal(h.set)
	if err == nil {
		err = os.WriteFile(h.file, b, 0o600)
	}
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	s.hosts = append(s.hosts, h)
	return h.boot()
}

// boot starts a process of the host.
func (h *host) boot() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return nil
	}
	cmd := exec.Command(h.site.cfg.Program, "edge", "-settings", h.file)
	cmd.Stdout, cmd.Stderr = h.site.cfg.Log, h.site.cfg.Log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	h.cmd, h.done = cmd, make(chan struct{})
	h.run++
	h.termAt, h.ending = time.Time{}, false
	p := &process{host: h, cmd: cmd, done: h.done}
	go p.run()
	return nil
}

// process waits for the end of one process.
type process struct {
	host *host
	cmd  *exec.Cmd
	done chan struct{}
}

// run starts the host again where its process ended by itself, as the platform does.
func (p *process) run() {
	err := p.cmd.Wait()
	h := p.host
	h.mu.Lock()
	own := h.done == p.done && !h.ending && !h.over
	h.mu.Unlock()
	close(p.done)
	if own {
		h.site.endedByItself(h, err)
		_ = h.boot()
	}
}

// endedByItself records a process that ended without a signal.
func (s *site) endedByItself(h *host, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, fmt.Sprintf("host %s at %.2fs: %v", h.set.Entry, time.Since(s.began).Seconds(), err))
}

// signal sends a signal to the process of the host, by its id, and returns a
// channel that is closed when that process has ended.
func (h *host) signal(sig syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGTERM {
		h.termAt = time.Now()
	}
	h.ending = h.ending || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	_ = h.cmd.Process.Signal(sig)
	return h.done
}

// state returns which process of the host runs and when it got SIGTERM.
func (h *host) state() (run int, termAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.run, h.termAt
}

// end ends the host for good.
func (h *host) end() {
	h.mu.Lock()
	h.over = true
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}
