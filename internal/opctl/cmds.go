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

// The exit statuses in addition to those of package subcommands.
const (
	exitConflict   subcommands.ExitStatus = 3
	exitNotInForce subcommands.ExitStatus = 4
	exitUnknown    subcommands.ExitStatus = 5
)

// Options holds the flags and outputs that all commands share.
type Options struct {
	URL   string
	Token string
	JSON  bool
	Out   io.Writer
	// Err receives messages; nil means the standard error output.
	Err io.Writer
}

// Register adds all commands to the commander.
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

// command implements subcommands.Command.
type command struct {
	name     string
	synopsis string
	usage    string
	opts     *Options
	// argCount is the exact number of arguments.
	argCount int
	// flags registers the flags other than -json; nil means there are none.
	flags func(fs *flag.FlagSet)
	run   func(ctx context.Context, args []string) error
}

// Name returns the name of the command on the command line.
func (c *command) Name() string { return c.name }

// Synopsis returns the description of the command in one line.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the text that -h prints.
func (c *command) Usage() string { return c.usage }

// SetFlags registers -json and the flags of the command.
func (c *command) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.opts.JSON, "json", c.opts.JSON, "print JSON instead of tables")
	if c.flags != nil {
		c.flags(fs)
	}
}

// Execute runs the command and returns the exit status for its error.
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != c.argCount {
		fmt.Fprintf(c.opts.Err, "verbctl: %s takes %d arguments, not %d; -h shows examples\n", c.name, c.argCount, fs.NArg())
		return subcommands.ExitUsageError
	}
	return c.opts.reportExit(c.run(ctx, fs.Args()))
}

// reportExit prints an error and returns the exit status for it.
func (o *Options) reportExit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(o.Err, "verbctl:", err)
	var ce *CallError
	var notInForce *notInForceError
	var unknown *unknownError
	var usage *usageError
	switch {
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &notInForce):
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

// printDetails prints the validation errors and the conflict of a fault.
func (o *Options) printDetails(f admin.Fault) {
	for _, fault := range f.Faults {
		fmt.Fprintln(o.Err, " ", fault)
	}
	if f.Conflict != nil {
		printConflict(o.Err, *f.Conflict)
	}
}

// usageError reports an invalid flag or argument.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// print writes v as JSON with -json, otherwise as the table that the function
// writes.
func (o *Options) print(v any, table func(w io.Writer)) error {
	if o.JSON {
		return printJSON(o.Out, v)
	}
	tw := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	table(tw)
	return errors.Wrap(tw.Flush(), "opctl: print the table")
}

func printJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "opctl: encode the result")
	}
	fmt.Fprintf(w, "%s\n", text)
	return nil
}

// group is a command with subcommands.
type group struct {
	name     string
	synopsis string
	opts     *Options
	cmds     []subcommands.Command
}

// Name returns the name of the group on the command line.
func (g *group) Name() string { return g.name }

// Synopsis returns the description of the group in one line.
func (g *group) Synopsis() string { return g.synopsis }

// Usage returns the list of the commands of the group.
func (g *group) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s COMMAND: %s\n", g.name, g.synopsis)
	for _, c := range g.cmds {
		fmt.Fprintf(&b, "  %-10s %s\n", c.Name(), c.Synopsis())
	}
	fmt.Fprintf(&b, "\n  Example:\n    verbctl %s %s -h\n", g.name, g.cmds[0].Name())
	return b.String()
}

// SetFlags registers no flags; each command of the group has its own.
func (*group) SetFlags(*flag.FlagSet) {}

// Execute runs the command of the group that the arguments name.
func (g *group) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	cdr := subcommands.NewCommander(fs, "verbctl "+g.name)
	cdr.Output, cdr.Error = g.opts.Out, g.opts.Err
	for _, c := range g.cmds {
		cdr.Register(c, "")
	}
	return cdr.Execute(ctx, args...)
}

func explainCmd(opts *Options) *command {
	return &command{
		name: "explain", synopsis: "explain a code", opts: opts, argCount: 1,
		usage: `explain CODE
  Explains a code of a refusal, a routing filter or a check.

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
