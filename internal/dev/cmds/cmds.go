// Package cmds holds the commands of verbdev: the stand-ins for development.
//
// # Usage
//
//	verbdev platform -listen 127.9.0.1:7900
//	verbdev engine -listen 127.3.0.1:8000 -id uvs-e1 -model draft
package cmds

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Register adds every command.
func Register(cdr *subcommands.Commander) {
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&platformCmd{}, "stand-ins")
	cdr.Register(&engineCmd{}, "stand-ins")
}

type platformCmd struct{ listen string }

func (*platformCmd) Name() string     { return "platform" }
func (*platformCmd) Synopsis() string { return "run a stand-in for the platform's service" }
func (*platformCmd) Usage() string    { return "platform -listen HOST:PORT\n" }

func (c *platformCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
}

func (c *platformCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return listen(c.listen, plat.New())
}

type engineCmd struct {
	listen    string
	id        string
	model     string
	slots     int
	tokenTime time.Duration
	prefill   float64
}

func (*engineCmd) Name() string     { return "engine" }
func (*engineCmd) Synopsis() string { return "run a stand-in for a model engine" }
func (*engineCmd) Usage() string    { return "engine -listen HOST:PORT -id ID -model MODEL\n" }

func (c *engineCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	fs.StringVar(&c.id, "id", "engine-1", "id of the target")
	fs.StringVar(&c.model, "model", "draft", "model that is loaded")
	fs.IntVar(&c.slots, "slots", 8, "requests that run at once")
	fs.DurationVar(&c.tokenTime, "tokenTime", time.Millisecond, "time between two tokens of a stream")
	fs.Float64Var(&c.prefill, "prefillRate", 20000, "prompt tokens a second")
}

func (c *engineCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return listen(c.listen, engine.New(engine.Config{
		ID: ident.TargetID(c.id), Incarnation: ident.Incarnation(time.Now().UnixNano()),
		Serves: []rules.Serve{{Model: ident.Model(c.model)}},
		Slots:  c.slots, TokenTime: c.tokenTime, PrefillRate: c.prefill,
	}))
}

// listen serves until the process is ended and prints the address, which a
// port of zero leaves to the system.
func listen(addr string, h http.Handler) subcommands.ExitStatus {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	if err := http.Serve(ln, h); err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
	}
	return subcommands.ExitFailure
}
