package opctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"time"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

func statusCmd(opts *Options) *command {
	return &command{
		name: "status", synopsis: "show data centres and targets as the entry host knows them", opts: opts,
		usage: `status [-json]
  Shows each data centre with its entry hosts, the revision in force there and
  the age of that report, and the targets with their load.

  Example:
    verbctl -entry http://127.1.1.1:9090 status
`,
		run: func(ctx context.Context, _ []string) error {
			st, err := opts.client().Status(ctx)
			if err != nil {
				return err
			}
			return opts.print(st, func(w io.Writer) { statusTables(w, st) })
		},
	}
}

func statusTables(w io.Writer, st event.StatusAnswered) {
	ready := "ready"
	if !st.Ready {
		ready = "not ready"
	}
	fmt.Fprintf(w, "entry host %s in %s, %s, revision %d, %d requests, platform answered %s ago\n\n",
		st.Self.ID, st.Self.Place.DataCentre, ready, st.Revision, st.Requests, formatAge(st.PlatformAge))
	fmt.Fprintln(w, "DATA CENTRE\tREGION\tIN FORCE\tHOSTS\tSLOTS\tFREE\tAGE\tSTATE")
	for _, c := range st.Centres {
		slots, free := 0, 0
		for _, p := range c.Pools {
			slots += p.Slots
			free += p.Free
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
			c.Place.DataCentre, c.Place.Region, c.InForce, len(c.Hosts), slots, free, formatAge(c.Age), centreState(c))
	}
	fmt.Fprintln(w, "\nTARGET\tKIND\tDATA CENTRE\tSLOTS\tRUNNING\tQUEUED\tSENT\tAGE\tSTATE")
	for _, t := range st.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
			t.Target.ID, t.Target.Kind, t.Target.Place.DataCentre, t.Load.Slots, t.Load.Running, t.Load.Queued,
			t.InFlight, formatAge(t.LoadAge), targetState(t))
	}
}

func centreState(c event.CentreStatus) string {
	if c.CutOff {
		return "cut off"
	}
	return "ok"
}

func targetState(t event.TargetStatus) string {
	switch {
	case t.Draining:
		return "draining"
	case t.Suspect:
		return "does not answer"
	case t.RestFor > 0:
		return "rests for " + formatAge(t.RestFor)
	}
	return "ok"
}

func formatAge(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

func routeCmd(opts *Options) *command {
	var account, profile string
	var prompt, maxTokens int64
	return &command{
		name: "route", synopsis: "show where a request would go and why", opts: opts,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&account, "account", "", "account of the caller")
			fs.StringVar(&profile, "profile", "", "profile of the request")
			fs.Int64Var(&prompt, "prompt", 500, "length of the prompt in tokens")
			fs.Int64Var(&maxTokens, "maxTokens", 200, "maximum number of tokens to generate")
		},
		usage: `route -account ACCOUNT -profile PROFILE [-prompt 500] [-maxTokens 200]
  Shows which choices are ruled out for a request, by which rule, and the cost
  of the others. No request is sent.

  Example:
    verbctl route -account foundation -profile obituary
`,
		run: func(ctx context.Context, _ []string) error {
			if account == "" || profile == "" {
				return &usageError{text: "-account and -profile are needed; -h shows an example"}
			}
			ans, err := opts.client().Route(ctx, event.Request{
				ID: "route", Account: ident.Account(account), Profile: ident.Profile(profile),
				Prompt: ident.Tokens(prompt), MaxTokens: ident.Tokens(maxTokens),
			})
			if err != nil {
				return err
			}
			return opts.print(ans, func(w io.Writer) { routeTable(w, ans) })
		},
	}
}

func routeTable(w io.Writer, ans event.RouteAnswered) {
	fmt.Fprintln(w, "CHOICE\tDATA CENTRE\tCOST S\tWAIT\tPREFILL\tDECODE\tPRICE\tCROSSING\tVERDICT")
	for i, c := range ans.Choices {
		name := string(c.Target)
		if name == "" {
			name = "pass on"
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\n",
			name, c.DataCentre, c.Cost, c.Wait, c.Prefill, c.Decode, c.Price, c.Crossing, verdict(c, i == ans.Chosen))
	}
	if code, ok := codes.Find(ans.Code); ok {
		fmt.Fprintf(w, "it would be refused: %s, %s\n", code.ID, code.Title)
	}
}

func verdict(c event.Choice, chosen bool) string {
	if chosen {
		return "chosen"
	}
	if code, ok := codes.Find(c.RuledOut); ok {
		return fmt.Sprintf("ruled out by %s, %s", code.ID, code.Title)
	}
	return ""
}

func drainCmd(opts *Options) *command {
	return &command{
		name: "drain", synopsis: "stop the entry host gracefully", opts: opts,
		usage: `drain
  The host refuses new requests, completes the running ones and exits.

  Example:
    verbctl -entry http://127.1.1.1:9090 drain
`,
		run: func(ctx context.Context, _ []string) error {
			if err := opts.client().Drain(ctx); err != nil {
				return err
			}
			fmt.Fprintln(opts.Out, "draining")
			return nil
		},
	}
}

func levelCmd(opts *Options) *command {
	set := ""
	return &command{
		name: "loglevel", synopsis: "show or change the verbosity of the log", opts: opts,
		flags: func(fs *flag.FlagSet) { fs.StringVar(&set, "set", "", "new level: 0 for events, 1 for each request") },
		usage: `loglevel [-set LEVEL]
  Shows the verbosity of the entry host's log, or changes it until the host
  restarts.

  Example:
    verbctl loglevel -set 1
`,
		run: func(ctx context.Context, _ []string) error {
			if set != "" {
				n, err := strconv.Atoi(set)
				if err != nil {
					return &usageError{text: fmt.Sprintf("level %q is not a number; write 0 or 1", set)}
				}
				if err := opts.client().SetLevel(ctx, admin.Level{Level: n}); err != nil {
					return err
				}
			}
			l, err := opts.client().Level(ctx)
			if err != nil {
				return err
			}
			return opts.print(l, func(w io.Writer) { fmt.Fprintf(w, "level %d\n", l.Level) })
		},
	}
}
