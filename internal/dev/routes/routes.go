// Package routes runs a small deployment of the routes platform in one process: a
// fake of the store, and in each of two regions an entry host and workers of two
// services.
//
// # Usage
//
//	fl, err := routes.Start(routes.Config{Log: log, Addr: ports.Next})
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

// Config configures a fleet.
type Config struct {
	Log logr.Logger
	// Addr returns an unused loopback address.
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
	callerAddrs,
	directoryAddrs []string
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
		if err := f.startWorkers(region); err != nil {
			f.Stop()
			return nil, err
		}
		peerAddr, err := f.startNode(region, seeds)
		if err != nil {
			f.Stop()
			return nil, err
		}
		seeds = append(seeds, peerAddr)
	}
	return f, nil
}

// Stop stops all hosts, workers and the store.
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

// configuration returns routes for a resumable stream, for a call that must not be repeated and
// for a call that is confined to the west.
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

const eventInterval = 50 * time.Millisecond

func (f *Fleet) startWorkers(region string) error {
	for _, cfg := range []worker.Config{
		{ID: "writer-" + region, Service: "writers", Events: 6, EventInterval: eventInterval, Slots: 8},
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

func (f *Fleet) startNode(region string, seeds []string) (string, error) {
	peerAddr := f.cfg.Addr()
	ip, _, err := net.SplitHostPort(peerAddr)
	if err != nil {
		return "", errors.Wrap(err, "routes: split peer address")
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
	f.callerAddrs = append(f.callerAddrs, set.Callers.Listen)
	f.directoryAddrs = append(f.directoryAddrs, set.Fleet.Directory)
	return peerAddr, nil
}

// Show sends sample requests and writes the answers, and commands to try next.
func (f *Fleet) Show(w io.Writer) error {
	east := len(f.callerAddrs) - 1
	for _, c := range []struct{ what, path, body string }{
		{"a stream in the east", "/draft/life", "memories"},
		{"a call that runs once", "/publish/notice", "notice"},
		{"a call whose home is the west, from the east", "/home/record", ""},
		{"a path without a route", "/nowhere/", ""},
	} {
		text, err := f.send(east, c.path, c.body)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\n%s\n\n", c.what, text)
	}
	fmt.Fprintf(w, "ask which hosts to use:\n  curl 'http://%s/-/resolve?Name=%s&Region=east&Zone=east-a'\n", f.directoryAddrs[east], hostName)
	fmt.Fprintf(w, "send a request of your own:\n  curl -N -H 'Host: %s' -H 'Verbenadale-Request-Id: mine' -d memories http://%s/draft/life\n", hostName, f.callerAddrs[east])
	return nil
}

// A request that is answered 503 is repeated: hosts answer 503 until they have discovered their
// targets.
const (
	maxRetries = 50
	retryDelay = 100 * time.Millisecond
)

func (f *Fleet) send(host int, path, body string) (string, error) {
	for n := 0; ; n++ {
		status, text, err := f.sendOnce(host, path, body, n)
		if err != nil || status != http.StatusServiceUnavailable || n == maxRetries {
			return text, err
		}
		time.Sleep(retryDelay)
	}
}

func (f *Fleet) sendOnce(host int, path, body string, n int) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddrs[host]+path, strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "routes: send request")
	}
	req.Host = hostName
	req.Header.Set("Verbenadale-Request-Id", fmt.Sprintf("demo%s-%d", strings.ReplaceAll(path, "/", "-"), n))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", errors.Wrap(err, "routes: send request")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, fmt.Sprintf("%s\n%s", res.Status, strings.TrimSpace(string(text))), errors.Wrap(err, "routes: send request")
}
