package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/pkg/codes"
)

// checkCmd checks a settings file.
type checkCmd struct{}

func (*checkCmd) Name() string           { return "check" }
func (*checkCmd) Synopsis() string       { return "check a settings file" }
func (*checkCmd) SetFlags(*flag.FlagSet) {}

func (*checkCmd) Usage() string {
	return `check FILE
  Lists every fault of a settings file with its line and what to write instead.
  Exits with 1 if there is any.

  Example:
    verbenadale check entry.jsonc
`
}

func (*checkCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "verbenadale: check needs exactly one settings file")
		return subcommands.ExitUsageError
	}
	_, faults, err := config.Load(fs.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenadale:", err)
		return subcommands.ExitFailure
	}
	for _, f := range faults {
		fmt.Fprintln(os.Stdout, f)
	}
	if len(faults) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// explainCmd prints the explanation of a code.
type explainCmd struct{}

func (*explainCmd) Name() string           { return "explain" }
func (*explainCmd) Synopsis() string       { return "explain a code" }
func (*explainCmd) SetFlags(*flag.FlagSet) {}

func (*explainCmd) Usage() string {
	return `explain CODE
  Explains what a code means and what to do.

  Example:
    verbenadale explain VB1004
`
}

func (*explainCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c, ok := codes.Find(codes.ID(fs.Arg(0)))
	if !ok {
		fmt.Fprintf(os.Stderr, "verbenadale: unknown code %q; docs/codes.md lists all codes\n", fs.Arg(0))
		return subcommands.ExitFailure
	}
	fmt.Fprintf(os.Stdout, "%s (%s, since %s): %s\n\n%s\n", c.ID, c.Severity, c.Since, c.Title, c.Text)
	return subcommands.ExitSuccess
}

// docsCmd writes the pages that are generated from declarations.
type docsCmd struct{ dir string }

func (*docsCmd) Name() string     { return "docs" }
func (*docsCmd) Synopsis() string { return "generate the pages of settings and codes" }

func (*docsCmd) Usage() string {
	return `docs [-dir DIR]
  Writes settings.md and codes.md from the declarations in the code.

  Example:
    go run ./cmd/verbenadale docs
`
}

func (c *docsCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.dir, "dir", "docs", "directory of the pages")
}

func (c *docsCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for name, text := range map[string]string{"settings.md": config.Page(), "codes.md": config.CodesPage()} {
		if err := os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, "verbenadale:", err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}
