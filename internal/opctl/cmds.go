package opctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Options are the flags that all commands share.
type Options struct {
	URL   string
	Token string
	JSON  bool
	Out   io.Writer
}

// Register adds every command.
func Register(cdr *subcommands.Commander, opts *Options) {
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&putCmd{opts: opts}, "configuration")
	cdr.Register(&explainCmd{opts: opts}, "")
}

func (o *Options) client() *Client { return &Client{URL: o.URL, Token: o.Token} }

// putCmd sends the items of a file as one change.
type putCmd struct {
	opts *Options
	wait time.Duration
	base uint64
}

func (*putCmd) Name() string     { return "apply" }
func (*putCmd) Synopsis() string { return "apply the items of a file as one change" }

func (*putCmd) Usage() string {
	return `apply [-wait 5s] FILE
  Applies a JSON array of items: {"kind", "name", "doc"}.

  Example:
    verbctl -entry http://127.1.1.1:9090 apply profiles.json
`
}

func (c *putCmd) SetFlags(fs *flag.FlagSet) {
	fs.DurationVar(&c.wait, "wait", 0, "wait until the change is in force at the entry host")
	fs.Uint64Var(&c.base, "base", 0, "the revision that the change is based on")
}

func (c *putCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	var items []rules.Item
	if err := json.Unmarshal(text, &items); err != nil {
		return c.fail(err)
	}
	cl := c.opts.client()
	st, err := cl.Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	done, err := cl.Change(ctx, rules.Change{ID: NewChangeID(), Base: st.Revision, Items: items})
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.opts.Out, "accepted as revision %d\n", done.Revision)
	return subcommands.ExitSuccess
}

func (c *putCmd) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "verbctl:", err)
	return subcommands.ExitFailure
}

// explainCmd spells out a code.
type explainCmd struct{ opts *Options }

func (*explainCmd) Name() string           { return "explain" }
func (*explainCmd) Synopsis() string       { return "spell out a code" }
func (*explainCmd) Usage() string          { return "explain CODE\n" }
func (*explainCmd) SetFlags(*flag.FlagSet) {}

func (c *explainCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	code, ok := codes.Find(codes.ID(fs.Arg(0)))
	if !ok {
		fmt.Fprintf(os.Stderr, "verbctl: the code %q is not known\n", fs.Arg(0))
		return subcommands.ExitFailure
	}
	fmt.Fprintf(c.opts.Out, "%s: %s\n\n%s\n", code.ID, code.Title, code.Text)
	return subcommands.ExitSuccess
}
