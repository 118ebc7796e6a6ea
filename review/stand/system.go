package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"verbenadale.example/verbenadale/internal/dev/kvstub"
)

// Names of the deployment.
const (
	hostName   = "draft.example"
	service    = "writers"
	region     = "west"
	dataCentre = "west-a"
	heartbeat  = 1200 * time.Millisecond
	// settleTime is how long the hosts run before the first request.
	settleTime = 6 * time.Second
	// lapse is how long the entry of a worker lasts without a heartbeat.
	lapse = 3 * heartbeat
)

// record is the file that a case writes. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

func (c *record) printf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.w, "%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Write records the output of a process.
func (c *record) Write(b []byte) (int, error) {
	c.printf("%s", b)
	return len(b), nil
}

// process is a process that the case has started.
type process struct {
	cmd *exec.Cmd
	// id and addr are those of a worker or host.
	id, addr string
	// file is the settings file of a host.
	file   string
	killed bool
	deadAt time.Time
}

// system is a small deployment: a store, workers and entry hosts of one region.
type system struct {
	rec   *record
	dir   string
	store *kvstub.Server
	url   string

	// output, if set, receives what workers print.
	output io.Writer
	// hostOutput, if set, receives what hosts log in place of the record.
	hostOutput io.Writer
	// work is how long a call takes at a worker of a plain service; zero means boardWork.
	work time.Duration
	// slots is what workers are listed with.
	slots int

	mu      sync.Mutex
	workers []*process
	hosts   []*process
	seq     int
}

// freeAddrs returns n different addresses with free ports on a loopback IP.
func freeAddrs(ip string, n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		// The listeners stay open until all ports are found: a closed one may be found again.
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

func newSystem(rec *record) (*system, error) {
	s := &system{rec: rec, store: kvstub.New()}
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.url = "http://" + l.Addr().String()
	srv := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	return s, nil
}

// stop ends every process.
func (s *system) stop() {
	for _, p := range append(s.hosts, s.workers...) {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	s.store.Stop()
	_ = os.RemoveAll(s.dir)
}

// startAll starts workers of a kind and two entry hosts.
func startAll(s *system, kind string, count, slots int) error {
	s.slots = slots
	if err := s.configure(); err != nil {
		return err
	}
	for n := range count {
		if err := s.addWorker(kind, fmt.Sprintf("i-%d", n)); err != nil {
			return err
		}
	}
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			s.beat()
		}
	}()
	for _, ip := range []string{"127.0.0.11", "127.0.0.12"} {
		if err := s.addHost(ip); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// configure writes the configuration: a route of streams that may be resumed, and one of calls
// that may run once at most.
func (s *system) configure() error {
	doc, err := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{
			map[string]any{
				"Name": "draft", "Host": hostName, "Prefix": "/draft/", "Kind": "streaming", "Resumable": true, "Service": service,
				"TimeoutMs": 12000, "TargetLatencyMs": 1200, "GapTargetMs": 400, "MaxAttempts": 2, "Priority": 1,
			},
			map[string]any{
				"Name": "publish", "Host": hostName, "Prefix": "/publish/", "Kind": "non_idempotent", "Service": service,
				"TimeoutMs": 4000, "TargetLatencyMs": 600, "MaxAttempts": 2, "Priority": 1,
			},
			map[string]any{
				"Name": "upload", "Host": hostName, "Prefix": "/upload/", "Kind": "non_idempotent", "Service": service,
				"TimeoutMs": 10000, "TargetLatencyMs": 6000, "MaxAttempts": 2, "Priority": 2,
			},
		},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 360}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.store.Put("op/config", doc)
	return err
}

func (s *system) start(out io.Writer, name string, args, env []string) (*process, error) {
	cmd := exec.Command(name, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return &process{cmd: cmd}, cmd.Start()
}

func (s *system) addWorker(kind, id string) error {
	addrs, err := freeAddrs("127.0.0.1", 1)
	if err != nil {
		return err
	}
	addr := addrs[0]
	out := io.Writer(s.rec)
	if s.output != nil {
		out = io.MultiWriter(s.rec, s.output)
	}
	p, err := s.start(out, os.Args[0], []string{kind, "-listen", addr, "-id", id, "-work", s.work.String(), "-slots", strconv.Itoa(s.slots)}, nil)
	if err != nil {
		return err
	}
	p.id, p.addr = id, addr
	s.mu.Lock()
	s.workers = append(s.workers, p)
	s.mu.Unlock()
	return nil
}

// beat writes the entries of the workers that live, and removes those that have lapsed.
func (s *system) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	for _, p := range s.workers {
		if p.killed {
			if time.Since(p.deadAt) >= lapse {
				s.store.Remove("servers/" + p.id)
			}
			continue
		}
		entry, err := json.Marshal(map[string]any{
			"Service": service, "Address": p.addr, "Zone": dataCentre, "Version": "v1", "Slots": s.slots, "State": "ready", "ColdLeftMs": 0, "Seq": s.seq,
		})
		if err == nil {
			s.store.Put("servers/"+p.id, entry)
		}
	}
}

// kill ends the process of a worker at once.
func (s *system) kill(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.killed, p.deadAt = true, time.Now()
	_ = p.cmd.Process.Kill()
	s.rec.printf("worker %s is killed", p.id)
}

// addHost starts an entry host with the command of the deploy file.
func (s *system) addHost(ip string) error {
	addrs, err := freeAddrs(ip, 6)
	if err != nil {
		return err
	}
	seeds := []string{addrs[1]}
	for _, o := range s.hosts {
		seeds = append(seeds, o.id)
	}
	settings, err := json.Marshal(map[string]any{
		"entry": ip, "dataCentre": dataCentre, "region": region,
		"callers": map[string]any{"listen": addrs[0]}, "peers": map[string]any{"listen": addrs[1], "plain": true},
		"operators": map[string]any{"listen": addrs[2]}, "platform": map[string]any{"url": s.url},
		"fleet": map[string]any{
			"directory": addrs[3], "ready": addrs[4], "metrics": addrs[5], "seeds": seeds,
			"places":   []any{map[string]any{"dataCentre": dataCentre, "region": region}},
			"memoryMB": "284", "leaseLeastMs": "1000", "graceSeconds": "8", "retryRatio": "0.2", "retryFloor": "52", "coldOvershoot": "1.5", "coldSlack": "3",
		},
		"logs": map[string]any{"level": 0},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, ip+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	p, err := s.startHost(file)
	if err != nil {
		return err
	}
	p.id, p.addr, p.file = addrs[1], addrs[0], file
	s.hosts = append(s.hosts, p)
	return nil
}

// startHost starts a process of an entry host.
func (s *system) startHost(file string) (*process, error) {
	out := s.hostOutput
	if out == nil {
		out = s.rec
	}
	return s.start(out, "target/verbenadale", []string{"edge"}, []string{"VERBENADALE_CONFIG=" + file})
}

// restartHost starts a host again whose process has ended.
func (s *system) restartHost(n int) error {
	old := s.hosts[n]
	p, err := s.startHost(old.file)
	if err != nil {
		return err
	}
	old.cmd = p.cmd
	return nil
}
