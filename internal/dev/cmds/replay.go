package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/replay"
)

type replayCmd struct{}

func (*replayCmd) Name() string { return "replay" }
func (*replayCmd) Synopsis() string {
	return "replay a recording through a reducer and compare its decisions"
}

func (*replayCmd) Usage() string {
	return `replay FILE...
  Exits with 1 if a decision of the reducer differs from the recording.

  Example:
    verbdev demo -record /tmp/records
    verbdev replay /tmp/records/erdenet-1.jsonl
`
}

func (*replayCmd) SetFlags(*flag.FlagSet) {}

func (c *replayCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	for _, name := range fs.Args() {
		if err := replayOne(name); err != nil {
			fmt.Fprintf(os.Stderr, "verbdev: %s: %v\n", name, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func replayOne(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	sum, err := replay.Replay(f)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d events, %d effects, the same as recorded\n", sum.Host, sum.Events, sum.Effects)
	return nil
}
