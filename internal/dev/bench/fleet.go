package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/dev/relay"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Ports of the processes. Each process has an IP address of its own.
const (
	callersPort   = 8080
	peersPort     = 7070
	operatorsPort = 9090
	controlPort   = 9191
	platformPort  = 7900
	targetPort    = 8000
)

// Names and sizes in the configuration of the fleet.
const (
	profileAnywhere ident.Profile = "draft"
	profileHomeOnly ident.Profile = "bound"
	model           ident.Model   = "draft"
	operatorToken                 = "bench-operator"
	hostsPerSite                  = 2
)

// One-way latency between entry hosts, within a region and between regions.
const (
	nearDelay = time.Millisecond
	farDelay  = 80 * time.Millisecond
)

// fleet runs a platform, engines and entry hosts as processes.
type fleet struct {
	cfg      Config
	clock    *clock.Service
	shape    shape
	http     *http.Client
	dir      string
	platform string
	procs    []*proc
	sites    []*site
	regionOf map[string]ident.Region
}

// site is one data centre with its processes.
type site struct {
	centre
	engines []*engineProc
	hosts   []*host
}

// key returns the API key of the account whose home is this data centre.
func (s *site) key() string { return "key-" + string(s.place.DataCentre) }

func (s *site) callerURLs() []string {
	var urls []string
	for _, h := range s.hosts {
		urls = append(urls, "http://"+h.settings.Callers.Listen)
	}
	return urls
}

// host is one entry host and the relay that its peers connect to.
type host struct {
	ip       string
	settings config.Settings
	relay    *relay.Relay
}

func (h *host) controlAddr() string { return fmt.Sprintf("%s:%d", h.ip, controlPort) }

func (h *host) operatorsURL() string { return "http://" + h.settings.Operators.Listen }

func newFleet(cfg Config, svc *clock.Service, sh shape) *fleet {
	return &fleet{
		cfg: cfg, clock: svc, shape: sh, http: &http.Client{Timeout: callTimeout},
		regionOf: make(map[string]ident.Region),
	}
}

// start starts all processes and waits until every host serves.
func (f *fleet) start(ctx context.Context) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "bench"); err != nil {
		return errors.Wrap(err, "bench: create settings folder")
	}
	addr := fmt.Sprintf("%s:%d", ports.IP(), platformPort)
	f.platform = "http://" + addr
	if _, err := f.run(ctx, f.platform+"/v1/hosts", "platform", "-listen", addr); err != nil {
		return err
	}
	for _, c := range f.shape.centres {
		s := &site{centre: c}
		f.sites = append(f.sites, s)
		if err := f.startEngines(ctx, s); err != nil {
			return err
		}
		f.addHosts(s)
	}
	if err := f.call(ctx, http.MethodPut, f.platform+"/dev/hosts", store.Hosts{Targets: f.targets()}, nil); err != nil {
		return err
	}
	if err := f.eachHost(func(s *site, h *host) error { return f.startHost(ctx, s, h) }); err != nil {
		return err
	}
	return f.configure(ctx)
}

func (f *fleet) stop() {
	for _, p := range f.procs {
		p.kill()
	}
	_ = f.eachHost(func(_ *site, h *host) error {
		if h.relay != nil {
			h.relay.Stop()
		}
		return nil
	})
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) eachHost(do func(s *site, h *host) error) error {
	for _, s := range f.sites {
		for _, h := range s.hosts {
			if err := do(s, h); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) targets() []event.Target {
	var ts []event.Target
	for _, s := range f.sites {
		for _, e := range s.engines {
			ts = append(ts, event.Target{ID: e.id, Kind: event.Engine, Place: s.place, URL: e.url, Price: s.price})
		}
	}
	return ts
}

// addHosts adds the hosts of a data centre, with their addresses and settings. It does not start them.
func (f *fleet) addHosts(s *site) {
	for n := range hostsPerSite {
		ip := ports.IP()
		f.regionOf[ip] = s.place.Region
		s.hosts = append(s.hosts, &host{ip: ip, settings: config.Settings{
			Entry:      ident.EntryID(fmt.Sprintf("%s-%d", s.place.DataCentre, n+1)),
			DataCentre: s.place.DataCentre, Region: s.place.Region,
			Callers: config.Callers{Listen: fmt.Sprintf("%s:%d", ip, callersPort)},
			Peers: config.Peers{
				Listen: fmt.Sprintf("%s:%d", ip, peersPort), Advertise: fmt.Sprintf("%s:%d", ports.IP(), peersPort),
				Plain: true,
			},
			Operators: config.Operators{
				Listen: fmt.Sprintf("%s:%d", ip, operatorsPort),
				Known:  []config.Operator{{Name: "bench", TokenDigest: rules.Digest(operatorToken)}},
			},
			Platform: config.Platform{URL: f.platform, TimeoutMs: 1000, CallsPerSecond: 50},
			Limits: config.Limits{
				MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, MaxConnections: 20000, MaxRequests: 10000,
				HeaderMs: 5000, BodyMs: 5000,
			},
			Traces: config.Traces{Exporter: "none"},
		}})
	}
}

// startHost starts an entry host and its relay.
func (f *fleet) startHost(ctx context.Context, s *site, h *host) error {
	var err error
	h.relay, err = relay.Start(relay.Config{
		Listen: h.settings.Peers.Advertise, To: h.settings.Peers.Listen, Clock: f.clock,
		Delay: func(sender string) time.Duration {
			if f.regionOf[sender] == s.place.Region {
				return nearDelay
			}
			return farDelay
		},
	})
	if err != nil {
		return err
	}
	for _, o := range f.sites {
		for _, p := range o.hosts {
			if p == h {
				continue
			}
			h.settings.Peers.Seeds = append(h.settings.Peers.Seeds, config.Seed{
				Entry: p.settings.Entry, Addr: p.settings.Peers.Advertise, DataCentre: o.place.DataCentre, Region: o.place.Region,
			})
		}
	}
	b, err := json.Marshal(h.settings)
	if err != nil {
		return errors.Wrap(err, "bench: encode settings")
	}
	file := filepath.Join(f.dir, string(h.settings.Entry)+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return errors.Wrap(err, "bench: write settings")
	}
	_, err = f.run(ctx, h.operatorsURL()+"/healthz", "entry", "-settings", file, "-control", h.controlAddr())
	return err
}

// setPartitioned cuts or restores all links between a data centre and the others.
func (f *fleet) setPartitioned(s *site, cut bool) {
	for _, mine := range s.hosts {
		_ = f.eachHost(func(o *site, h *host) error {
			if o != s {
				h.relay.SetPartitioned(mine.ip, cut)
				mine.relay.SetPartitioned(h.ip, cut)
			}
			return nil
		})
	}
}
