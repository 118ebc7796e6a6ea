package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/dev/worker"
)

// startTimeout bounds the time until the process of a target listens.
const startTimeout = 10 * time.Second

// remote is the process of a target.
type remote struct {
	deployment *deployment
	target     *target
	listen     string
	cmd        *exec.Cmd
	// up gets the result of the start, done is closed once the process has ended.
	up   chan error
	done chan struct{}

	mu sync.Mutex
	in io.WriteCloser
}

// startRemote starts the process of a target, at the address of another one unless that is nil, and lists it.
func (s *deployment) startRemote(w, before *target) error {
	p := &remote{deployment: s, target: w, up: make(chan error, 1), done: make(chan struct{})}
	w.remote = p
	if before != nil {
		p.listen, w.relay, w.addr = before.remote.listen, before.relay, before.addr
	} else {
		p.listen = ports.Next()
		var err error
		if w.relay, err = s.relayTo(p.listen); err != nil {
			return err
		}
		// A relay accepts connections also after the process behind it has ended.
		w.addr = p.listen
		if s.randFor(w.id).IntN(2) == 0 {
			w.addr = w.relay.Addr()
		}
	}
	s.t.Go(p.run)
	timer := s.clock.At(s.clock.Now().Add(startTimeout))
	defer timer.Close()
	select {
	case err := <-p.up:
		if err != nil {
			return errors.Wrap(ErrStart, err.Error())
		}
	case <-timer.C():
		p.signal(syscall.SIGKILL)
		return errors.Wrap(ErrStart, "the process of a target does not listen")
	}
	s.list(w)
	if s.isStopping() {
		p.signal(syscall.SIGKILL)
	}
	return nil
}

// run starts the process, reads what it writes until it ends, and replaces it.
//
// The thread is kept until the process has ended: see process.run.
func (p *remote) run() error {
	runtime.LockOSThread()
	defer close(p.done)
	out, err := p.start()
	if err != nil {
		p.up <- err
		return nil
	}
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if lines.Text() == worker.LineUp {
			p.up <- nil
		}
		if r := (worker.Run{}); json.Unmarshal(lines.Bytes(), &r) == nil {
			p.target.RecordRun(r.ID)
			p.deployment.recordRun(p.target, r)
		}
	}
	err = p.cmd.Wait()
	select {
	case p.up <- errors.Wrap(cmp.Or(err, io.EOF), "soak: target"):
	default:
	}
	p.deployment.mu.Lock()
	p.target.endedAt = time.Now()
	p.deployment.mu.Unlock()
	e := &remoteEnd{deployment: p.deployment, target: p.target}
	p.deployment.t.Go(e.run)
	return nil
}

func (s *deployment) recordRun(w *target, r worker.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.requests == nil {
		w.requests = make(map[string][]worker.Run)
	}
	w.requests[r.ID] = append(w.requests[r.ID], r)
}

func (p *remote) start() (io.Reader, error) {
	command := p.deployment.cfg.Target
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Stderr = p.deployment.cfg.Log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	settings, err := json.Marshal(worker.Settings{Listen: p.listen, Worker: p.target.config})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.in = in
	p.mu.Unlock()
	p.write(string(settings) + "\n")
	return out, nil
}

func (p *remote) write(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = io.WriteString(p.in, line)
}

func (p *remote) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// InjectFault makes the next n requests at the target fail.
func (w *target) InjectFault(f worker.Fault, n int) {
	if w.remote == nil {
		w.Worker.InjectFault(f, n)
		return
	}
	w.remote.write(worker.FaultLine(f, n))
}

// current returns the target that runs in place of one whose process has ended.
func (s *deployment) current(w *target) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w.next != nil {
		w = w.next
	}
	return w
}

// stopRemotes ends the processes of all targets.
func (s *deployment) stopRemotes() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	for _, w := range s.targets() {
		if w.remote != nil {
			w.remote.signal(syscall.SIGCONT)
			w.remote.signal(syscall.SIGKILL)
			<-w.remote.done
		}
	}
}

// remoteEnd replaces a target whose process has ended.
type remoteEnd struct {
	deployment *deployment
	target     *target
}

// run starts a new target at the address of the one that has ended. It is of the same service, or of the other one, and then
// another one of the same service starts elsewhere. The list names the old target for a while.
func (e *remoteEnd) run() error {
	s, w := e.deployment, e.target
	s.recordFault(true)
	rnd := s.randFor(w.id)
	ctx := s.t.Context(context.Background())
	if !sleep(ctx, restartDelays[rnd.IntN(len(restartDelays))]) || s.isStopping() {
		return nil
	}
	at := w
	if rnd.IntN(swapDivisor) == 0 && s.running() < maxTargets {
		if _, err := s.startNext(w, ".o", otherService[w.service], w); err != nil {
			return err
		}
		at = nil
	}
	next, err := s.startNext(w, ".n", w.service, at)
	if err != nil {
		return err
	}
	s.mu.Lock()
	w.next = next
	s.mu.Unlock()
	sleep(ctx, time.Duration(rnd.Int64N(int64(maxListDelay))))
	s.store.Remove(w.StoreKey())
	s.recordFault(true)
	return nil
}

// startNext starts a target of a service beside or in place of one whose process has ended, at the address of at.
func (s *deployment) startNext(w *target, suffix, service string, at *target) (*target, error) {
	build := ""
	if service == "writers" {
		build = s.nextBuild()
	}
	next := s.newTarget(w.id+suffix, service, w.region, build)
	return next, s.startRemote(next, at)
}

// otherService names the service that may use the address of a target of a service next.
var otherService = map[string]string{"writers": "board", "board": "writers"}

// randFor returns the random numbers for what follows the end of a target.
func (s *deployment) randFor(id string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	return rand.New(rand.NewPCG(s.cfg.Seed, h.Sum64()))
}

// running returns the number of targets whose processes run.
func (s *deployment) running() int {
	n := 0
	for _, w := range s.targets() {
		select {
		case <-w.remote.done:
		default:
			n++
		}
	}
	return n
}

func (s *deployment) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}
