package opctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/pkg/codes"
)

// The exit statuses beside those of package subcommands.
const (
	exitConflict   subcommands.ExitStatus = 3
	exitNotInForce subcommands.ExitStatus = 4
	exitUnknown    subcommands.ExitStatus = 5
)

// Options are the flags that all commands share.
type Options struct {
	URL   string
	Token string
	JSON  bool
	Out   io.Writer
	// Err is where messages go; nil is the standard error output.
	Err io.Writer
}

// Register adds every command.
func Register(cdr *subcommands.Commander, opts *Options) {
	if opts.Err == nil {
		opts.Err = os.Stderr
	}
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(explainCmd(opts), "")
	cdr.Register(profilesCmd(opts), "configuration")
	cdr.Register(accountsCmd(opts), "configuration")
	cdr.Register(applyCmd(opts), "configuration")
	cdr.Register(statusCmd(opts), "entry hosts")
	cdr.Register(routeCmd(opts), "entry hosts")
	cdr.Register(drainCmd(opts), "entry hosts")
	cdr.Register(levelCmd(opts), "entry hosts")
}

func (o *Options) client() *Client {
	return &Client{URL: strings.TrimRight(o.URL, "/"), Token: o.Token}
}

// command is one command, with its text and what it does.
type command struct {
	name     string
	synopsis string
	usage    string
	opts     *Options
	// argCount is the number of arguments; flags beyond -json are set by flags.
	argCount int
	flags    func(fs *flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

// Name returns the word that calls the command.
func (c *command) Name() string { return c.name }

// Synopsis returns one line.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the page that -h shows.
func (c *command) Usage() string { return c.usage }

// SetFlags sets the flags.
func (c *command) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.opts.JSON, "json", c.opts.JSON, "print JSON instead of tables")
	if c.flags != nil {
		c.flags(fs)
	}
}

// Execute runs the command and turns its error into the exit status.
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != c.argCount {
		fmt.Fprintf(c.opts.Err, "verbctl: %s takes %d arguments, not %d; -h shows examples\n", c.name, c.argCount, fs.NArg())
		return subcommands.ExitUsageError
	}
	return c.opts.reportExit(c.run(ctx, fs.Args()))
}

// reportExit reports an error and returns its status.
func (o *Options) reportExit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(o.Err, "verbctl:", err)
	var ce *CallError
	var late *notInForceError
	var unsure *unknownError
	var usage *usageError
	switch {
	case errors.As(err, &unsure):
		return exitUnknown
	case errors.As(err, &late):
		return exitNotInForce
	case errors.As(err, &usage):
		return subcommands.ExitUsageError
	case errors.As(err, &ce):
		o.printDetails(ce.Fault)
		if ce.Fault.Kind == admin.KindConflict {
			return exitConflict
		}
	}
	return subcommands.ExitFailure
}

// printDetails prints what the entry host returned beside the message.
func (o *Options) printDetails(f admin.Fault) {
	for _, one := range f.Faults {
		fmt.Fprintln(o.Err, " ", one)
	}
	if f.Conflict != nil {
		printConflict(o.Err, *f.Conflict)
	}
}

// usageError is a wrong flag or argument.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// print writes v as JSON, or as the table that the function makes.
func (o *Options) print(v any, table func(w io.Writer)) error {
	if o.JSON {
		return printJSON(o.Out, v)
	}
	tw := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	table(tw)
	return errors.Wrap(tw.Flush(), "opctl: print")
}

func printJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "opctl: encode")
	}
	fmt.Fprintf(w, "%s\n", text)
	return nil
}

// group is a command that has commands of its own.
type group struct {
	name     string
	synopsis string
	opts     *Options
	cmds     []subcommands.Command
}

// Name returns the word that calls the group.
func (g *group) Name() string { return g.name }

// Synopsis returns one line.
func (g *group) Synopsis() string { return g.synopsis }

// Usage lists the commands of the group.
func (g *group) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s COMMAND: %s\n", g.name, g.synopsis)
	for _, c := range g.cmds {
		fmt.Fprintf(&b, "  %-10s %s\n", c.Name(), c.Synopsis())
	}
	fmt.Fprintf(&b, "\n  Example:\n    verbctl %s %s -h\n", g.name, g.cmds[0].Name())
	return b.String()
}

// SetFlags sets none; each command has its own.
func (*group) SetFlags(*flag.FlagSet) {}

// Execute runs one of the commands.
func (g *group) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	cdr := subcommands.NewCommander(fs, "verbctl "+g.name)
	cdr.Output, cdr.Error = g.opts.Out, g.opts.Err
	for _, c := range g.cmds {
		cdr.Register(c, "")
	}
	return cdr.Execute(ctx, args...)
}

// explainCmd spells out a code.
func explainCmd(opts *Options) *command {
	return &command{
		name: "explain", synopsis: "spell out a code", opts: opts, argCount: 1,
		usage: `explain CODE
  Spells out a code of a refusal, a routing filter or a check.

  Example:
    verbctl explain VB1004
`,
		run: func(_ context.Context, args []string) error {
			code, ok := codes.Find(codes.ID(args[0]))
			if !ok {
				return errors.Errorf("the code %q is not known; codes look like VB1004", args[0])
			}
			return opts.print(code, func(w io.Writer) {
				fmt.Fprintf(w, "%s: %s\n\n%s\n", code.ID, code.Title, code.Text)
			})
		},
	}
}
