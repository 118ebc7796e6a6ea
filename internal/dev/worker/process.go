package worker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// LineUp is what the process of a worker writes once it listens.
const LineUp = "up"

// Run is a request that runs, as the process of a worker writes it, one line of JSON each.
type Run struct {
	ID string
	// From is the number of events that the caller has.
	From  int
	Fault Fault
}

// stopDelay is the time between SIGTERM and the end of the process. Requests that are still running are aborted.
const stopDelay = 300 * time.Millisecond

// Settings are what the process of a worker reads first, as one line of JSON.
type Settings struct {
	Listen string
	Worker Config
}

// FaultLine returns the line that makes the next n requests of a worker in a process of its own fail.
func FaultLine(f Fault, n int) string { return fmt.Sprintf("%d %s\n", n, f) }

// process is a worker in a process of its own.
type process struct {
	in     *bufio.Reader
	worker *Worker
	ln     net.Listener

	mu  sync.Mutex
	out io.Writer
}

// RunProcess runs a worker until in ends or the process gets SIGTERM. It reads settings and faults from in, and writes to out
// that it listens and which requests run, each before its answer begins.
func RunProcess(in io.Reader, out io.Writer) error {
	p := &process{in: bufio.NewReader(in), out: out}
	line, err := p.in.ReadBytes('\n')
	if err != nil {
		return errors.Wrap(err, "worker: settings")
	}
	var s Settings
	if err := json.Unmarshal(line, &s); err != nil {
		return errors.Wrap(err, "worker: settings")
	}
	s.Worker.OnRun = p.writeRun
	s.Worker.OnKill = func() {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	p.worker = New(s.Worker)
	if p.ln, err = net.Listen("tcp", s.Listen); err != nil {
		return errors.Wrap(err, "worker: listen")
	}
	p.write(LineUp)
	go p.readLoop()
	go p.signalLoop()
	srv := &http.Server{Handler: p.worker, ReadHeaderTimeout: time.Minute}
	if err := srv.Serve(p.ln); !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "worker: serve")
	}
	time.Sleep(stopDelay)
	return nil
}

func (p *process) writeRun(r Run) {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	p.write(string(b))
}

func (p *process) write(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintln(p.out, line)
}

// readLoop reads faults. The process ends with the one that has started it.
func (p *process) readLoop() {
	for {
		line, err := p.in.ReadString('\n')
		if err != nil {
			os.Exit(0)
		}
		count, f, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if n, err := strconv.Atoi(count); err == nil {
			p.worker.InjectFault(Fault(f), n)
		}
	}
}

// signalLoop closes the listener at SIGTERM.
func (p *process) signalLoop() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM)
	<-c
	_ = p.ln.Close()
}
