// Package cmds holds the commands of verbdev: the stand-ins for development.
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
	st := &standIn{handler: plat.New()}
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
  SIGTERM makes it leave: it refuses new requests and ends with the last one.
`
}

func (c *engineCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	fs.StringVar(&c.id, "id", "engine-1", "id of the target")
	fs.StringVar(&c.model, "model", "draft", "model that is loaded")
	fs.IntVar(&c.cfg.Slots, "slots", 8, "requests that run at once")
	fs.DurationVar(&c.cfg.TokenTime, "tokenTime", time.Millisecond, "time between two tokens of a stream")
	fs.Float64Var(&c.cfg.PrefillRate, "prefillRate", 20000, "prompt tokens a second")
	fs.IntVar(&c.cfg.CacheBlocks, "cacheBlocks", 4096, "blocks of 256 bytes in the prefix cache")
	fs.DurationVar(&c.cfg.LoadLag, "loadLag", 0, "how old a load report may be")
	fs.DurationVar(&c.cfg.CacheLag, "cacheLag", 0, "how late cache events come")
	fs.Uint64Var(&c.cfg.CacheGap, "cacheGap", 0, "lose every n-th cache event")
	fs.BoolVar(&c.cfg.ChecksFence, "checksFence", false, "refuse orders with an old fencing number")
}

func (c *engineCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.cfg.ID = ident.TargetID(c.id)
	c.cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	c.cfg.Serves = []rules.Serve{{Model: ident.Model(c.model)}}
	eng := engine.New(c.cfg)
	defer eng.Stop()
	st := &standIn{handler: eng, drain: eng.Drain, idle: eng.Idle}
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
  SIGTERM makes it leave: it refuses new calls and ends with the last one.
`
}

func (c *serviceCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	fs.StringVar(&c.id, "id", "service-1", "id of the target")
	fs.StringVar(&c.cfg.Service, "service", "publish", "name of the service")
	fs.IntVar(&c.cfg.Slots, "slots", 16, "calls that run at once")
	fs.DurationVar(&c.cfg.Work, "work", 5*time.Millisecond, "time that a call takes")
}

func (c *serviceCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.cfg.ID = ident.TargetID(c.id)
	c.cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	svc := plain.New(c.cfg)
	defer svc.Stop()
	st := &standIn{handler: svc, drain: svc.Drain, idle: svc.Idle}
	return st.serve(c.listen)
}

// standIn is a stand-in that runs as a process.
type standIn struct {
	handler http.Handler
	// drain and idle are set for targets, which stop gracefully.
	drain func()
	idle  func() bool
}

// idlePollInterval is the time between two looks at whether the last request has
// ended.
const idlePollInterval = 20 * time.Millisecond

// serve serves until SIGTERM and prints the address, which a port of zero
// leaves to the system.
func (s *standIn) serve(addr string) subcommands.ExitStatus {
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

// server serves one listener.
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
