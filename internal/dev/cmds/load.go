package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/load"
	"verbenadale.example/verbenadale/pkg/ident"
)

type loadCmd struct {
	cfg     load.Config
	entries string
	profile string
	plot    string
}

func (*loadCmd) Name() string     { return "load" }
func (*loadCmd) Synopsis() string { return "send an open-loop load and check every answer" }

func (*loadCmd) Usage() string {
	return `load -entries URL,URL -key KEY -profile PROFILE [-rate 100] [-for 10s]
  Prints a JSON result. The targets must be stand-ins, whose answers can be
  checked. Exits with 1 if an answer was wrong or ended early.

  Example:
    verbdev load -entries http://127.0.0.1:8080 -key demo-key -profile draft -rate 50 -for 5s
`
}

func (c *loadCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.entries, "entries", "http://127.0.0.1:8080", "comma-separated base URLs of entry hosts")
	fs.BoolVar(&c.cfg.FollowEntries, "follow", false, "follow the entry hosts that the system announces")
	fs.StringVar(&c.cfg.Key, "key", "demo-key", "API key")
	fs.StringVar(&c.profile, "profile", "draft", "profile")
	fs.Float64Var(&c.cfg.Rate, "rate", 100, "requests per second")
	fs.DurationVar(&c.cfg.Duration, "for", 10*time.Second, "duration of the load")
	fs.IntVar(&c.cfg.AnswerTokens, "tokens", 32, "length of an answer in tokens")
	fs.IntVar(&c.cfg.PromptBytes, "prompt", 1000, "length of a prompt in bytes")
	fs.IntVar(&c.cfg.Prefixes, "prefixes", 0, "number of distinct prefixes shared by prompts, 0 for none")
	fs.BoolVar(&c.cfg.Stream, "stream", true, "request streamed answers")
	fs.DurationVar(&c.cfg.Deadline, "deadline", 0, "deadline of each request")
	fs.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of arrival times and prompts")
	fs.BoolVar(&c.cfg.Retry, "retry", false, "retry refused requests after Retry-After")
	fs.StringVar(&c.plot, "plot", "", "write a plot to this file, .png or .svg")
}

func (c *loadCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.cfg.Entries = strings.Split(c.entries, ",")
	c.cfg.Profile = ident.Profile(c.profile)
	res := load.Run(ctx, c.cfg)
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(res)
	if c.plot != "" {
		if err := load.Plot(c.plot, map[string]load.Result{c.profile: res}); err != nil {
			fmt.Fprintln(os.Stderr, "verbdev:", err)
			return subcommands.ExitFailure
		}
	}
	if res.Wrong+res.Cut > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
