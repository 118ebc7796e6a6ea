// Package demo runs a small system in one process, on free ports of the loopback
// network: fakes of the platform, engines and plain services, and the entry hosts
// of three data centres. It demonstrates what a caller sees.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Config{Out: os.Stdout, Stay: false})
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/daemon"
	"verbenadale.example/verbenadale/internal/dev/certs"
	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/dev/plain"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/dev/replay"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// ErrDemo means that a step of the demonstration had an unexpected result.
var ErrDemo = errors.New("demo: unexpected result")

// Config describes a demonstration.
type Config struct {
	Out io.Writer
	// Log receives the logs of the entry hosts; the zero Logger discards them.
	Log logr.Logger
	// RecordDir, if set, is the directory for a recording of each host's events and
	// effects.
	RecordDir string
	// Stay keeps the system running until the context is cancelled.
	Stay bool
}

// Number of entry hosts and engines in each data centre.
const (
	entriesPerCentre = 2
	enginesPerCentre = 2
)

// centres are the data centres. Each is a region of its own.
var centres = []ident.DataCentre{"ulaanbaatar", "erdenet", "khovd"}

const (
	callerKey     = "demo-key"
	operatorToken = "demo-operator"
)

// system holds the components of the demonstration.
type system struct {
	t        tomb.Tomb
	cfg      Config
	dir      string
	ca       *certs.Authority
	platform string
	targets  []event.Target
	hosts    []config.Settings
	daemons  []*daemon.Daemon
	cleanups []func()
	// nextPort is the next port to try.
	nextPort int
}

// Run runs a demonstration. It returns ErrDemo if a step has an unexpected result.
func Run(ctx context.Context, cfg Config) error {
	s := &system{cfg: cfg}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	if err := s.runSteps(ctx); err != nil {
		return err
	}
	s.printAddresses()
	if cfg.Stay {
		fmt.Fprintln(cfg.Out, "\nThe system keeps running until it is interrupted.")
		<-ctx.Done()
	}
	return nil
}

func (s *system) start() error {
	dir, err := os.MkdirTemp("", "verbenadale-demo")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	s.dir = dir
	if s.ca, err = certs.New(); err != nil {
		return err
	}
	if s.platform, err = s.serve(plat.New()); err != nil {
		return err
	}
	for _, dc := range centres {
		if err := s.startTargets(dc); err != nil {
			return err
		}
	}
	if err := putHosts(s.platform, store.Hosts{Targets: s.targets}); err != nil {
		return err
	}
	return s.startEntries()
}

func placeOf(dc ident.DataCentre) event.Place {
	return event.Place{DataCentre: dc, Region: ident.Region(dc)}
}

func (s *system) startTargets(dc ident.DataCentre) error {
	for n := range enginesPerCentre {
		id := ident.TargetID(fmt.Sprintf("%s-engine-%d", dc, n+1))
		eng := engine.New(engine.Config{
			ID: id, Serves: []rules.Serve{{Model: "draft"}}, Slots: 8, TokenTime: 20 * time.Millisecond, PrefillRate: 20000,
		})
		s.cleanups = append(s.cleanups, eng.Stop)
		url, err := s.serve(eng)
		if err != nil {
			return err
		}
		s.targets = append(s.targets, event.Target{ID: id, Kind: event.Engine, Place: placeOf(dc), URL: url, Price: 1})
	}
	id := ident.TargetID(string(dc) + "-publish-1")
	svc := plain.New(plain.Config{ID: id, Service: "publish", Slots: 16, Work: 20 * time.Millisecond})
	s.cleanups = append(s.cleanups, svc.Stop)
	url, err := s.serve(svc)
	if err != nil {
		return err
	}
	s.targets = append(s.targets, event.Target{ID: id, Kind: event.Service, Service: "publish", Place: placeOf(dc), URL: url, Price: 1})
	return nil
}

// serve serves a fake on a free port and returns its base URL.
func (s *system) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "demo: listen")
	}
	srv := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: time.Second}, ln: ln}
	s.cleanups = append(s.cleanups, srv.stop)
	s.t.Go(srv.run)
	return "http://" + ln.Addr().String(), nil
}

// server serves one fake.
type server struct {
	http *http.Server
	ln   net.Listener
}

func (s *server) run() error {
	_ = s.http.Serve(s.ln)
	return nil
}

func (s *server) stop() { _ = s.http.Close() }

func (s *system) startEntries() error {
	for _, dc := range centres {
		for n := range entriesPerCentre {
			set, err := s.settings(ident.EntryID(fmt.Sprintf("%s-%d", dc, n+1)), dc)
			if err != nil {
				return err
			}
			s.hosts = append(s.hosts, set)
		}
	}
	for i := range s.hosts {
		s.hosts[i].Peers.Seeds = s.seeds(i)
		dcfg := daemon.Config{Settings: s.hosts[i], Log: s.cfg.Log, Level: logs.NewLevel(0)}
		if err := s.startRecording(&dcfg); err != nil {
			return err
		}
		d, err := daemon.Start(dcfg)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	return nil
}

// startRecording configures a host to record its events and effects in a file named
// after the host.
func (s *system) startRecording(cfg *daemon.Config) error {
	if s.cfg.RecordDir == "" {
		return nil
	}
	f, err := os.Create(filepath.Join(s.cfg.RecordDir, string(cfg.Settings.Entry)+".jsonl"))
	if err != nil {
		return errors.Wrap(err, "demo: record")
	}
	rec := replay.NewRecorder(f)
	s.cleanups = append(s.cleanups, rec.Close)
	cfg.Record = rec.Start
	return nil
}

// settings returns the settings of one entry host, as its settings file would
// contain them.
func (s *system) settings(id ident.EntryID, dc ident.DataCentre) (config.Settings, error) {
	var addrs [3]string
	for i := range addrs {
		addr, err := s.freeAddr()
		if err != nil {
			return config.Settings{}, err
		}
		addrs[i] = addr
	}
	dir := filepath.Join(s.dir, string(id))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return config.Settings{}, errors.Wrap(err, "demo")
	}
	files, err := s.ca.Issue(dir, string(id))
	if err != nil {
		return config.Settings{}, err
	}
	set := config.Defaults()
	set.Entry, set.DataCentre, set.Region = id, dc, ident.Region(dc)
	set.Callers = config.Callers{Listen: addrs[0], URL: "http://" + addrs[0]}
	set.Peers = config.Peers{Listen: addrs[1], CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA}
	set.Operators = config.Operators{
		Listen: addrs[2],
		Known:  []config.Operator{{Name: "demo", TokenDigest: rules.Digest(operatorToken)}},
	}
	set.Platform.URL = s.platform
	return set, nil
}

func (s *system) seeds(i int) []config.Seed {
	var seeds []config.Seed
	for j, o := range s.hosts {
		if j != i {
			seeds = append(seeds, config.Seed{Entry: o.Entry, Addr: o.Peers.Listen, DataCentre: o.DataCentre, Region: o.Region})
		}
	}
	return seeds
}

// Ports for entry hosts. They are below the ephemeral port range of operating
// systems: otherwise an outgoing connection could take a port after it was found
// free and before the host listens on it.
const (
	firstPort = 21000
	lastPort  = 29999
)

// freeAddr returns an address whose port was free when it was checked.
func (s *system) freeAddr() (string, error) {
	for port := max(s.nextPort, firstPort); port <= lastPort; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		s.nextPort = port + 1
		return addr, errors.Wrap(ln.Close(), "demo: listen")
	}
	return "", errors.Wrap(ErrDemo, "no free port")
}

func (s *system) stop() {
	for _, d := range s.daemons {
		d.Stop()
	}
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
	s.t.Kill(nil)
	if s.t.Alive() && len(s.cleanups) > 0 {
		_ = s.t.Wait()
	}
	_ = os.RemoveAll(s.dir)
}
