package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/dev/relay"
	"verbenadale.example/verbenadale/pkg/ident"
)

// host is an entry host and the relays of its links: storeRelay to the store, peerRelay from its
// peers.
type host struct {
	deployment            *deployment
	settings              config.Settings
	region, file          string
	storeRelay, peerRelay *relay.Relay

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// processes counts the processes started so far. termAt is when the current one was
	// sent SIGTERM; stopping is set once it was sent SIGTERM or SIGKILL.
	processes int
	termAt    time.Time
	stopping  bool
	closed    bool
}

func (s *deployment) addHost(region string) error {
	h := &host{deployment: s, region: region}
	peerAddr := ports.Next()
	var err error
	if h.peerRelay, err = s.relayTo(peerAddr); err != nil {
		return err
	}
	if h.storeRelay, err = s.relayTo(s.url); err != nil {
		return err
	}
	// Peers derive the name of a seed from its address, so the host is named after the address
	// of its relay.
	name, _, err := net.SplitHostPort(h.peerRelay.Addr())
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	h.settings = config.Defaults()
	h.settings.Entry = ident.EntryID(name)
	h.settings.DataCentre, h.settings.Region = ident.DataCentre(centreOf(region)), ident.Region(region)
	h.settings.Callers.Listen = ports.Next()
	h.settings.Peers = config.Peers{Listen: peerAddr, Advertise: h.peerRelay.Addr(), Plain: true}
	h.settings.Operators.Listen = ports.Next()
	h.settings.Platform.URL = "http://" + h.storeRelay.Addr()
	h.settings.Fleet.Directory, h.settings.Fleet.Ready, h.settings.Fleet.Metrics = ports.Next(), ports.Next(), ports.Next()
	h.settings.Fleet.GraceSeconds = config.Bound(s.cfg.timing().graceSeconds)
	if s.cfg.Answers || s.cfg.Ends {
		h.settings.Fleet.RetryRatio, h.settings.Fleet.RetryFloor = answerRetryRatio, answerRetryFloor
	}
	if s.cfg.Retries {
		h.settings.Fleet.RetryRatio, h.settings.Fleet.RetryFloor = retryRatio, retryFloor
	}
	for _, r := range s.regions() {
		h.settings.Fleet.Places = append(h.settings.Fleet.Places, config.FleetPlace{DataCentre: ident.DataCentre(centreOf(r)), Region: ident.Region(r)})
	}
	for _, o := range s.hosts {
		h.settings.Fleet.Seeds = append(h.settings.Fleet.Seeds, o.peerRelay.Addr())
	}
	h.file = filepath.Join(s.dir, name+".json")
	b, err := json.Marshal(h.settings)
	if err == nil {
		err = os.WriteFile(h.file, b, 0o600)
	}
	if err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	s.hosts = append(s.hosts, h)
	return h.startProcess()
}

// startProcess starts the first process of the host.
func (h *host) startProcess() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startLocked()
}

// restart starts a process of the host in place of the one whose end closed done. It does nothing
// if the host has a later process already, as when two stops of one host end together.
func (h *host) restart(done <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done != done {
		return
	}
	if err := h.startLocked(); err != nil {
		h.deployment.recordSelfExit(h, err)
	}
}

// startLocked starts a process and makes it the current one. h.mu is held.
func (h *host) startLocked() error {
	if h.closed {
		return nil
	}
	cmd := exec.Command(h.deployment.cfg.Program, "edge", "-settings", h.file)
	cmd.Stdout, cmd.Stderr = h.deployment.cfg.Log, h.deployment.cfg.Log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{host: h, cmd: cmd, started: make(chan error, 1), done: make(chan struct{})}
	go p.run()
	if err := <-p.started; err != nil {
		return errors.Wrap(ErrStart, err.Error())
	}
	h.cmd, h.done = cmd, p.done
	h.processes++
	h.termAt, h.stopping = time.Time{}, false
	return nil
}

// process starts and watches one process of a host.
type process struct {
	host    *host
	cmd     *exec.Cmd
	started chan error
	done    chan struct{}
}

// run starts the process, waits for it to end and restarts the host if it ended without a signal,
// as the platform does.
//
// The kernel sends the death signal of a process when the thread that started it ends, so the
// thread is kept until the process has ended. The process is thus killed with the test binary,
// also when that panics or times out.
func (p *process) run() {
	runtime.LockOSThread()
	err := p.cmd.Start()
	p.started <- err
	if err != nil {
		return
	}
	err = p.cmd.Wait()
	h := p.host
	h.mu.Lock()
	unexpected := h.done == p.done && !h.stopping && !h.closed
	h.mu.Unlock()
	close(p.done)
	if unexpected {
		h.deployment.recordSelfExit(h, err)
		h.restart(p.done)
	}
}

// recordSelfExit records a process that ended without a signal.
func (s *deployment) recordSelfExit(h *host, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selfExits = append(s.selfExits, fmt.Sprintf("host %s at %.2fs: %v", h.settings.Entry, time.Since(s.began).Seconds(), err))
}

// signal sends a signal to the process of the host by its id, and returns a channel that is
// closed when that process has ended.
func (h *host) signal(sig syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGTERM {
		h.termAt = time.Now()
	}
	h.stopping = h.stopping || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	_ = h.cmd.Process.Signal(sig)
	return h.done
}

// state returns the number of the current process and when it was sent SIGTERM.
func (h *host) state() (process int, termAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processes, h.termAt
}

// shutdown kills the process of the host, which is not restarted.
func (h *host) shutdown() {
	h.mu.Lock()
	h.closed = true
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}
