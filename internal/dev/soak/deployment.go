package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/dev/kvstub"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/dev/relay"
	"verbenadale.example/verbenadale/internal/dev/worker"
	"verbenadale.example/verbenadale/internal/httpsv"
)

const hostName = "soak.example"

// regions that a deployment may have, with one data centre each.
var regions = []string{"west", "east"}

// regions returns the regions of the deployment.
func (s *deployment) regions() []string {
	if s.cfg.Regions == 0 {
		return regions
	}
	return regions[:min(s.cfg.Regions, len(regions))]
}

func centreOf(region string) string { return region + "-a" }

// Number of events of a stream, and running time of a call.
const (
	streamEvents = 30
	callRunTime  = 5 * time.Millisecond
)

// deployment is the system under test: store, workers, entry hosts and the relays between them.
type deployment struct {
	t     tomb.Tomb
	cfg   Config
	clock *clock.Service
	began time.Time
	dir   string
	store *kvstub.Server
	url   string
	hosts []*host
	pool  *callerPool
	// onlyHost is the host that all callers use, counted from 1, zero if each chooses.
	onlyHost atomic.Int64
	// callersRest is set while callers send nothing of their own.
	callersRest atomic.Bool

	mu      sync.Mutex
	workers []*target
	version int
	servers []*http.Server
	// lastFaultAt is when a fault last began or ended.
	lastFaultAt time.Time
	// lastDisturbanceAt is when a fault last began or ended that keeps hosts from what others know.
	lastDisturbanceAt time.Time
	// poison holds the requests that end their targets.
	poison []*poisonSeries
	// parts holds the parts of prompts that end targets.
	parts []*partSeries
	// rests holds the times in which targets asked for rest or left.
	rests []*restPeriod
	// limits holds the times in which targets named a limit.
	limits []*limitPeriod
	// stopping is set once the processes of targets are ended for good.
	stopping bool
	// builds counts the builds that targets have been given.
	builds int
	// versions counts the versions that releases have, leftAt is when the targets of each first left.
	versions int
	leftAt   map[string]time.Time
	// isolations holds the times in which hosts were isolated. isolating is held while one begins or ends.
	isolations []*isolation
	isolating  sync.Mutex
	// configs are the configurations written so far, evacuations the evacuations of data centres.
	configs     []configWrite
	evacuations []evacuation
	// selfExits describes the processes that ended without a signal.
	selfExits []string
}

// target is one incarnation of a worker behind its relay.
type target struct {
	*worker.Worker
	id, service, region string
	// build is the version of its software, empty for any.
	build string
	relay *relay.Relay
	// addr is the address in the list, of the relay or of the worker itself.
	addr string
	// config is that of the worker, as the process of the target gets it.
	config worker.Config
	// remote is its process, nil if it runs in this one. next is the target that replaced it after it ended, at
	// endedAt.
	remote  *remote
	next    *target
	endedAt time.Time
	// requests are the runs of each request in its process.
	requests map[string][]worker.Run
	// ended is set once its process has ended under a request.
	ended bool
	// drainingSince is when it was listed as draining.
	drainingSince time.Time
}

// evacuation is a period in which no request may be sent to a region. to is zero while it lasts.
type evacuation struct {
	region   string
	from, to time.Time
}

// setEvacuated begins or ends the evacuation of a region.
func (s *deployment) setEvacuated(region string, evacuated bool) {
	key := "op/evacuate/" + centreOf(region)
	if evacuated {
		s.store.Put(key, []byte("{}"))
	} else {
		s.store.Remove(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.evacuations {
		if e := &s.evacuations[i]; e.region == region && e.to.IsZero() {
			e.to = time.Now()
		}
	}
	if evacuated {
		s.evacuations = append(s.evacuations, evacuation{region: region, from: time.Now()})
	}
}

// configWrite records that a configuration was written to the store.
type configWrite struct {
	at      time.Time
	version int
}

func (s *deployment) start() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	s.store = kvstub.New()
	if s.url, err = s.serve(s.store); err != nil {
		return err
	}
	s.configure()
	for _, region := range s.regions() {
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
	for _, region := range s.regions() {
		for range s.cfg.Hosts {
			if err := s.addHost(region); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *deployment) stop() {
	for _, h := range s.hosts {
		h.shutdown()
	}
	s.store.Stop()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.stopRemotes()
	for _, h := range s.hosts {
		h.storeRelay.Stop()
		h.peerRelay.Stop()
	}
	for _, w := range s.targets() {
		w.relay.Stop()
	}
	s.t.Kill(nil)
	if s.t.Alive() || len(s.servers) > 0 {
		_ = s.t.Wait()
	}
	s.clock.Stop()
	_ = os.RemoveAll(s.dir)
}

// serve serves a fake and returns its address.
func (s *deployment) serve(h http.Handler) (string, error) {
	l, err := httpsv.Listen(ports.Next(), &http.Server{Handler: h, ReadHeaderTimeout: time.Minute})
	if err != nil {
		return "", errors.Wrap(ErrStart, err.Error())
	}
	s.servers = append(s.servers, l.Server)
	s.t.Go(l.Run)
	return l.Net.Addr().String(), nil
}

func (s *deployment) relayTo(addr string) (*relay.Relay, error) {
	r, err := relay.Start(relay.Config{Listen: ports.Next(), To: addr, Clock: s.clock})
	return r, errors.Wrap(err, ErrStart.Error())
}

// configure writes the next version of the configuration, which adds a route named after the
// version.
func (s *deployment) configure() {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	route := func(name, kind, service string, homes ...string) map[string]any {
		return map[string]any{
			"Name": "r-" + name, "Host": hostName, "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": s.cfg.timing().timeoutMs, "TargetLatencyMs": 500,
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
		"Limits":   map[string]any{"MaxBodyBytes": s.cfg.maxBodyBytes(), "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put("op/config", b)
	s.mu.Lock()
	s.configs = append(s.configs, configWrite{at: time.Now(), version: v})
	s.mu.Unlock()
}

func (s *deployment) addWorker(id, service, region string) error {
	build := ""
	if service == "writers" && s.cfg.Builds {
		build = s.nextBuild()
	}
	return s.addWorkerOfBuild(id, service, region, build)
}

// addWorkerOfBuild adds a worker whose software has a given version, empty for any.
func (s *deployment) addWorkerOfBuild(id, service, region, build string) error {
	w := s.newTarget(id, service, region, build)
	if s.cfg.Ends {
		return s.startRemote(w, nil)
	}
	addr, err := s.serve(w.Worker)
	if err != nil {
		return err
	}
	if w.relay, err = s.relayTo(addr); err != nil {
		return err
	}
	w.addr = w.relay.Addr()
	if s.cfg.Broken {
		// A relay ends connections in order.
		w.addr = addr
	}
	s.list(w)
	return nil
}

func (s *deployment) newTarget(id, service, region, build string) *target {
	cfg := worker.Config{ID: id, Service: service, DataCentre: centreOf(region), Slots: 16, Work: callRunTime}
	if service == "writers" {
		cfg = s.cfg.writer(build)
		cfg.ID, cfg.DataCentre = id, centreOf(region)
	}
	if s.cfg.Answers {
		cfg.Work = answerRunTime
	}
	if s.cfg.Ends {
		s.setEnds(&cfg)
	}
	w := &target{id: id, service: service, region: region, build: build, config: cfg}
	cfg.OnPoison = func(r *http.Request) { s.endTarget(w, r) }
	w.Worker = worker.New(cfg)
	return w
}

// list adds a target to the store's list.
func (s *deployment) list(w *target) {
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.store.Put(w.StoreKey(), w.StoreEntry(w.addr, "ready", 0))
}

// drainWorker lists a worker as draining.
func (s *deployment) drainWorker(w *target) {
	s.store.Put(w.StoreKey(), w.StoreEntry(w.addr, "draining", 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	w.drainingSince = time.Now()
}

func (s *deployment) targets() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*target(nil), s.workers...)
}

// recordFault records that a fault has begun or ended, of a target alone or of any other part.
func (s *deployment) recordFault(target bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFaultAt = time.Now()
	if !target {
		s.lastDisturbanceAt = s.lastFaultAt
	}
}

// undisturbed reports whether the hosts have been able to reach each other for a while.
func (s *deployment) undisturbed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastDisturbanceAt) > settleTime && time.Since(s.began) > settleTime
}

func (s *deployment) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isolated := slices.ContainsFunc(s.isolations, func(p *isolation) bool { return p.to.IsZero() })
	return !isolated && time.Since(s.lastFaultAt) > settleTime
}
