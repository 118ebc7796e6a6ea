// Package cmds implements the commands of verbdev: fakes of other systems, and
// measurements for development.
//
// # Usage
//
//	verbdev platform -listen 127.9.0.1:7900
//	verbdev engine -listen 127.3.0.1:8000 -id uvs-e1 -model draft
//	verbdev service -listen 127.3.0.2:8000 -id uvs-p1 -service publish
package cmds

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/dev/plain"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Register adds every command.
func Register(cdr *subcommands.Commander) {
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&platformCmd{}, "stand-ins")
	cdr.Register(&engineCmd{}, "stand-ins")
	cdr.Register(&serviceCmd{}, "stand-ins")
	cdr.Register(&targetCmd{}, "stand-ins")
	cdr.Register(&demoCmd{}, "")
	cdr.Register(&routesCmd{}, "")
	cdr.Register(&replayCmd{}, "")
	cdr.Register(&soakCmd{}, "")
	cdr.Register(&loadCmd{}, "measurements")
	cdr.Register(&slopesCmd{}, "measurements")
	cdr.Register(&entryCmd{}, "measurements")
	cdr.Register(&benchCmd{}, "measurements")
	cdr.Register(&plotCmd{}, "measurements")
	cdr.Register(&reportCmd{}, "measurements")
	cdr.Register(&ablateCmd{}, "measurements")
}

type platformCmd struct{ listen string }

func (*platformCmd) Name() string     { return "platform" }
func (*platformCmd) Synopsis() string { return "run a stand-in for the platform's service" }
func (*platformCmd) Usage() string    { return "platform -listen HOST:PORT\n" }

func (c *platformCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
}

func (c *platformCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	st := &fakeProcess{handler: plat.New()}
	return st.serve(c.listen)
}

type engineCmd struct {
	listen string
	cfg    engine.Config
	id     string
	model  string
}

func (*engineCmd) Name() string     { return "engine" }
func (*engineCmd) Synopsis() string { return "run a stand-in for a model engine" }
func (*engineCmd) Usage() string {
	return `engine -listen HOST:PORT -id ID -model MODEL
  SIGTERM drains it: it refuses new requests and exits after the last one has ended.
`
}

func (c *engineCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	fs.StringVar(&c.id, "id", "engine-1", "id of the target")
	fs.StringVar(&c.model, "model", "draft", "name of the loaded model")
	fs.IntVar(&c.cfg.Slots, "slots", 8, "maximum number of concurrent requests")
	fs.DurationVar(&c.cfg.TokenTime, "tokenTime", time.Millisecond, "duration of a batch step without prefill")
	fs.Float64Var(&c.cfg.PrefillRate, "prefillRate", 20000, "prompt tokens per second")
	fs.IntVar(&c.cfg.CacheBlocks, "cacheBlocks", 4096, "capacity of the prefix cache in blocks of 256 bytes")
	fs.DurationVar(&c.cfg.LoadLag, "loadLag", 0, "maximum age of a load report")
	fs.DurationVar(&c.cfg.CacheLag, "cacheLag", 0, "delay of cache events")
	fs.Uint64Var(&c.cfg.CacheGap, "cacheGap", 0, "drop every n-th cache event")
	fs.BoolVar(&c.cfg.ChecksFence, "checksFence", false, "reject orders with an outdated fencing token")
}

func (c *engineCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.cfg.ID = ident.TargetID(c.id)
	c.cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	c.cfg.Serves = []rules.Serve{{Model: ident.Model(c.model)}}
	eng := engine.New(c.cfg)
	defer eng.Stop()
	st := &fakeProcess{handler: eng, drain: eng.Drain, idle: eng.Idle}
	return st.serve(c.listen)
}

type serviceCmd struct {
	listen string
	cfg    plain.Config
	id     string
}

func (*serviceCmd) Name() string     { return "service" }
func (*serviceCmd) Synopsis() string { return "run a stand-in for a plain service" }
func (*serviceCmd) Usage() string {
	return `service -listen HOST:PORT -id ID -service NAME
  SIGTERM drains it: it refuses new calls and exits after the last one has ended.
`
}

func (c *serviceCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	fs.StringVar(&c.id, "id", "service-1", "id of the target")
	fs.StringVar(&c.cfg.Service, "service", "publish", "name of the service")
	fs.IntVar(&c.cfg.Slots, "slots", 16, "number of slots in the load report; concurrent calls are not limited")
	fs.DurationVar(&c.cfg.Work, "work", 5*time.Millisecond, "duration of a call")
}

func (c *serviceCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.cfg.ID = ident.TargetID(c.id)
	c.cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	svc := plain.New(c.cfg)
	defer svc.Stop()
	st := &fakeProcess{handler: svc, drain: svc.Drain, idle: svc.Idle}
	return st.serve(c.listen)
}

// fakeProcess serves a fake until the process receives a signal.
type fakeProcess struct {
	handler http.Handler
	// drain and idle are set for targets, which shut down gracefully.
	drain func()
	idle  func() bool
}

// idlePollInterval is the interval at which a draining target is checked for
// running requests.
const idlePollInterval = 20 * time.Millisecond

// serve prints the address that it listens on, since the operating system chooses
// the port if the given one is zero, and serves until SIGTERM or SIGINT.
func (s *fakeProcess) serve(addr string) subcommands.ExitStatus {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	srv := &server{http: &http.Server{Handler: s.handler}, ln: ln, done: make(chan struct{})}
	go srv.run()
	select {
	case <-signals:
	case <-srv.done:
		return subcommands.ExitFailure
	}
	if s.drain != nil {
		s.drain()
		for !s.idle() {
			time.Sleep(idlePollInterval)
		}
		_ = srv.http.Shutdown(context.Background())
	}
	return subcommands.ExitSuccess
}

// server serves HTTP on one listener.
type server struct {
	http *http.Server
	ln   net.Listener
	done chan struct{}
}

func (s *server) run() {
	defer close(s.done)
	if err := s.http.Serve(s.ln); err != nil && err != http.ErrServerClosed {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
	}
}
