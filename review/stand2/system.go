package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"verbenadale.example/verbenadale/internal/dev/kvstub"
)

// Names and times of the deployment.
const (
	siteName   = "board.example"
	service    = "board"
	region     = "west"
	dataCentre = "west-a"
	heartbeat  = 1200 * time.Millisecond
	// settleTime is how long the hosts run before the first request.
	settleTime = 8 * time.Second
)

// host is an entry host that runs as a process of its own.
type host struct {
	ip, callers, directory string
	cmd                    *exec.Cmd
	log                    *os.File
}

// system is a small deployment of one region: a store, workers and entry hosts.
type system struct {
	rec      *record
	dir      string
	store    *kvstub.Server
	storeURL string
	net      *network
	workers  []*worker
	hosts    []*host
	seq      int
	// limits are the settings for the limits of tenants.
	limits map[string]string
}

func newSystem(rec *record) (*system, error) {
	s := &system{rec: rec, store: kvstub.New(), net: newNetwork()}
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeURL = l.Addr().String()
	srv := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	return s, nil
}

// stop ends all processes that the case has started.
func (s *system) stop() {
	for _, h := range s.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		_ = h.log.Close()
	}
	s.net.close()
	for _, k := range s.workers {
		_ = k.srv.Close()
	}
	s.store.Stop()
	_ = os.RemoveAll(s.dir)
}

// put writes a key of the operator or of a worker.
func (s *system) put(key string, value any) error {
	doc, err := json.Marshal(value)
	if err == nil {
		s.store.Put(key, doc)
	}
	return err
}

// addWorkers starts workers, and repeats their entries in the store.
func (s *system) addWorkers(n int, onRun func(request, tenant string, at time.Time)) error {
	for i := range n {
		k, err := startWorker(fmt.Sprintf("i-%d", i), onRun)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, k)
	}
	if err := s.beat(); err != nil {
		return err
	}
	go func() {
		for range time.Tick(heartbeat) {
			_ = s.beat()
		}
	}()
	return nil
}

func (s *system) beat() error {
	s.seq++
	for _, k := range s.workers {
		err := s.put("servers/"+k.id, map[string]any{
			"Service": service, "Address": k.addr, "Zone": dataCentre, "Version": "v1", "Slots": workerSlots, "State": "ready", "ColdLeftMs": 0, "Seq": s.seq,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// freeAddrs returns different addresses with free ports on a loopback IP.
func freeAddrs(ip string, n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// addHost starts an entry host with the command of the deploy file. Its peers and the store are reached
// through the network of the case.
func (s *system) addHost(ip string, seeds []string) (advertised string, err error) {
	addrs, err := freeAddrs(ip, 6)
	if err != nil {
		return "", err
	}
	if advertised, err = s.net.forward(ip, addrs[1], ip); err != nil {
		return "", err
	}
	store, err := s.net.forward("127.0.0.1", s.storeURL, ip)
	if err != nil {
		return "", err
	}
	fleet := map[string]any{
		"directory": addrs[3], "ready": addrs[4], "metrics": addrs[5], "seeds": append([]string{advertised}, seeds...),
		"places":   []any{map[string]any{"dataCentre": dataCentre, "region": region}},
		"memoryMB": "284", "leaseLeastMs": "1000", "graceSeconds": "8", "retryRatio": "0.2", "retryFloor": "52",
	}
	for name, value := range s.limits {
		fleet[name] = value
	}
	settings, err := json.Marshal(map[string]any{
		"entry": ip, "dataCentre": dataCentre, "region": region,
		"callers":   map[string]any{"listen": addrs[0]},
		"peers":     map[string]any{"listen": addrs[1], "advertise": advertised, "plain": true},
		"operators": map[string]any{"listen": addrs[2]}, "platform": map[string]any{"url": "http://" + store},
		"fleet": fleet, "logs": map[string]any{"level": 0},
	})
	if err != nil {
		return "", err
	}
	h := &host{ip: ip, callers: addrs[0], directory: addrs[3]}
	if err := s.startHost(h, settings); err != nil {
		return "", err
	}
	s.hosts = append(s.hosts, h)
	return advertised, nil
}

func (s *system) startHost(h *host, settings []byte) error {
	file := filepath.Join(s.dir, h.ip+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	var err error
	if h.log, err = os.Create(filepath.Join(s.dir, h.ip+".log")); err != nil {
		return err
	}
	h.cmd = exec.Command("target/verbenadale", "edge")
	h.cmd.Env = append(os.Environ(), "VERBENADALE_CONFIG="+file)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.cmd.Start()
}
