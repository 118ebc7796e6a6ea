// Package routes runs a small deployment of the platform of routes in one
// process: a stand-in of the store, workers of two services in two regions, and
// an entry host in each.
//
// # Usage
//
//	fl, err := routes.Start(routes.Config{Log: log})
//	defer fl.Stop()
//	fl.Show(os.Stdout)
package routes

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/kvstub"
	"verbenadale.example/verbenadale/internal/dev/worker"
	"verbenadale.example/verbenadale/internal/httpsv"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/platform"
)

// Config is what a fleet needs.
type Config struct {
	Log logr.Logger
	// Addr returns a loopback address that nothing else uses.
	Addr func() string
}

// regions of the fleet, with one data centre each.
var regions = []string{"west", "east"}

const hostName = "demo.example"

// Fleet is a running deployment.
type Fleet struct {
	t     tomb.Tomb
	cfg   Config
	store *kvstub.Server
	url   string
	nodes []*platform.Node
	fronts,
	directories []string
	servers []*http.Server
}

// Start starts the fleet and returns when its hosts listen.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, store: kvstub.New()}
	addr, err := f.serve(f.store)
	if err != nil {
		return nil, err
	}
	f.url = "http://" + addr
	f.store.Put("op/config", configuration())
	var seeds []string
	for _, region := range regions {
		if err := f.workers(region); err != nil {
			f.Stop()
			return nil, err
		}
		peerAddr, err := f.node(region, seeds)
		if err != nil {
			f.Stop()
			return nil, err
		}
		seeds = append(seeds, peerAddr)
	}
	return f, nil
}

// Stop ends all of it.
func (f *Fleet) Stop() {
	for _, n := range f.nodes {
		n.Stop()
	}
	f.store.Stop()
	for _, srv := range f.servers {
		_ = srv.Close()
	}
	f.t.Kill(nil)
	_ = f.t.Wait()
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := httpsv.Listen(f.cfg.Addr(), &http.Server{Handler: h, ReadHeaderTimeout: time.Minute})
	if err != nil {
		return "", errors.Wrap(err, "routes")
	}
	f.servers = append(f.servers, l.Server)
	f.t.Go(l.Run)
	return l.Net.Addr().String(), nil
}

// configuration has a stream that may be resumed, a call that may not be
// repeated and one that is confined to the west.
func configuration() []byte {
	route := func(name, kind, service string, homes ...string) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 10000,
			"TargetLatencyMs": 1000, "Service": service, "MaxAttempts": 2, "Resumable": kind == "streaming", "HomeRegions": homes,
		}
	}
	b, err := json.Marshal(map[string]any{
		"Version":  1,
		"Routes":   []any{route("draft", "streaming", "writers"), route("publish", "non_idempotent", "board"), route("home", "idempotent", "board", "west")},
		"Services": []any{map[string]any{"Name": "writers", "HealthPath": "/healthz"}, map[string]any{"Name": "board", "HealthPath": "/healthz"}},
		"Limits":   map[string]any{"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

const eventPause = 50 * time.Millisecond

func (f *Fleet) workers(region string) error {
	for _, cfg := range []worker.Config{
		{ID: "writer-" + region, Service: "writers", Events: 6, EventInterval: eventPause, Slots: 8},
		{ID: "board-" + region, Service: "board", Slots: 4},
	} {
		cfg.DataCentre = region + "-a"
		wk := worker.New(cfg)
		addr, err := f.serve(wk)
		if err != nil {
			return err
		}
		f.store.Put(wk.StoreKey(), wk.StoreEntry(addr, "ready", 0))
	}
	return nil
}

func (f *Fleet) node(region string, seeds []string) (string, error) {
	peerAddr := f.cfg.Addr()
	ip, _, err := net.SplitHostPort(peerAddr)
	if err != nil {
		return "", errors.Wrap(err, "routes: address")
	}
	set := config.Defaults()
	set.Entry = ident.EntryID(ip)
	set.DataCentre, set.Region = ident.DataCentre(region+"-a"), ident.Region(region)
	set.Callers.Listen, set.Peers.Listen, set.Peers.Plain = f.cfg.Addr(), peerAddr, true
	set.Platform.URL = f.url
	set.Fleet.Directory, set.Fleet.Ready, set.Fleet.Metrics = f.cfg.Addr(), f.cfg.Addr(), f.cfg.Addr()
	set.Fleet.Seeds = seeds
	for _, r := range regions {
		set.Fleet.Places = append(set.Fleet.Places, config.FleetPlace{DataCentre: ident.DataCentre(r + "-a"), Region: ident.Region(r)})
	}
	n, err := platform.Start(platform.Config{Settings: set, Log: f.cfg.Log})
	if err != nil {
		return "", err
	}
	f.nodes = append(f.nodes, n)
	f.fronts = append(f.fronts, set.Callers.Listen)
	f.directories = append(f.directories, set.Fleet.Directory)
	return peerAddr, nil
}

// Show sends requests as a caller does and writes what comes back.
func (f *Fleet) Show(w io.Writer) error {
	east := len(f.fronts) - 1
	for _, c := range []struct{ what, path, body string }{
		{"a stream in the east", "/draft/life", "memories"},
		{"a call that runs once", "/publish/notice", "notice"},
		{"a call whose home is the west, from the east", "/home/record", ""},
		{"a path without a route", "/nowhere/", ""},
	} {
		text, err := f.ask(east, c.path, c.body)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\n%s\n\n", c.what, text)
	}
	fmt.Fprintf(w, "ask which hosts to use:\n  curl 'http://%s/-/resolve?Name=%s&Region=east&Zone=east-a'\n", f.directories[east], hostName)
	fmt.Fprintf(w, "send a request of your own:\n  curl -N -H 'Host: %s' -H 'Verbenadale-Request-Id: mine' -d memories http://%s/draft/life\n", hostName, f.fronts[east])
	return nil
}

// Times of the first request, which waits until the hosts know their targets.
const (
	firstTries = 50
	firstPause = 100 * time.Millisecond
)

func (f *Fleet) ask(at int, path, body string) (string, error) {
	for n := 0; ; n++ {
		status, text, err := f.once(at, path, body, n)
		if err != nil || status != http.StatusServiceUnavailable || n == firstTries {
			return text, err
		}
		time.Sleep(firstPause)
	}
}

func (f *Fleet) once(at int, path, body string, n int) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.fronts[at]+path, strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "routes: ask")
	}
	req.Host = hostName
	req.Header.Set("Verbenadale-Request-Id", fmt.Sprintf("demo%s-%d", strings.ReplaceAll(path, "/", "-"), n))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", errors.Wrap(err, "routes: ask")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, fmt.Sprintf("%s\n%s", res.Status, strings.TrimSpace(string(text))), errors.Wrap(err, "routes: ask")
}
