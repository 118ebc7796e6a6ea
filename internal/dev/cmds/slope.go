package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/slope"
)

type slopesCmd struct {
	json bool
	full bool
	span time.Duration
	// shocks simulates large failures instead of a steady state.
	shocks bool
}

func (*slopesCmd) Name() string { return "slopes" }
func (*slopesCmd) Synopsis() string {
	return "measure the cost of the control plane at growing fleet sizes"
}

func (*slopesCmd) Usage() string {
	return `slopes [-full] [-for 20s] [-shocks] [-json]
  Runs the reducers of 6, 12, 24 and 48 hosts in virtual time and prints the
  cost of the control plane per host. -full adds 360 hosts in 45 data centres.
`
}

func (c *slopesCmd) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.json, "json", false, "print JSON")
	fs.BoolVar(&c.full, "full", false, "also run the fleet size that the system is designed for")
	fs.BoolVar(&c.shocks, "shocks", false, "simulate a platform outage, the restart of a data centre and the partition of a region instead")
	fs.DurationVar(&c.span, "for", 20*time.Second, "virtual time that is measured")
}

// Load at every fleet size: requests per second of each host, and configuration
// changes per day. The values are those of the fleet size that the system is
// designed for.
const (
	requestRatePerHost = 8000.0 / 370
	changesPerDay      = 8400
)

func (c *slopesCmd) sizes() []slope.Config {
	sizes := []slope.Config{
		{Centres: 3, Regions: 3, Hosts: 2, Targets: 10, Accounts: 15},
		{Centres: 3, Regions: 3, Hosts: 4, Targets: 20, Accounts: 30},
		{Centres: 6, Regions: 3, Hosts: 4, Targets: 20, Accounts: 60},
		{Centres: 6, Regions: 3, Hosts: 8, Targets: 40, Accounts: 120},
	}
	if c.full {
		sizes = append(sizes, slope.Config{Centres: 45, Regions: 12, Hosts: 8, Targets: 40, Accounts: 890})
	}
	for i := range sizes {
		sizes[i].Rate, sizes[i].ChangesPerDay, sizes[i].Duration = requestRatePerHost, changesPerDay, c.span
	}
	return sizes
}

func (c *slopesCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.shocks {
		return c.runShocks()
	}
	if p, err := slope.Poll(); err == nil && !c.json {
		fmt.Printf("one poll of a target costs %d bytes sent and %d received\n", p.Sent, p.Received)
	}
	var all []slope.Result
	for _, cfg := range c.sizes() {
		all = append(all, slope.Run(cfg))
	}
	if c.json {
		_ = json.NewEncoder(os.Stdout).Encode(all)
		return subcommands.ExitSuccess
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "hosts\tcentres\taccounts\tmessages/s\tB/s\tmost B/s\tpolls/s\tcontrol %\tcoding %\ttraffic %\tstate KB\tplatform calls/s\tin force p50\tmax\tdone\trefused")
	for _, r := range all {
		calls := 0.0
		for _, k := range r.PlatformCalls {
			calls += k
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.2f\t%.3f\t%.3f\t%.3f\t%.0f\t%.2f\t%v\t%v\t%d\t%d\n",
			r.Fleet, r.Config.Centres, r.Config.Accounts, r.MessagesPerHost, r.BytesPerHost, r.MaxBytes, r.PollsPerHost,
			100*r.ControlCPU, 100*r.CodingCPU, 100*r.TrafficCPU, r.StateKB, calls, r.InForceP50, r.InForceMax, r.Done, r.Refused)
	}
	_ = w.Flush()
	for _, r := range all {
		fmt.Printf("%d hosts, B/s by part: %v\n", r.Fleet, r.Parts)
	}
	return subcommands.ExitSuccess
}

// runShocks simulates large failures at each fleet size.
func (c *slopesCmd) runShocks() subcommands.ExitStatus {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "hosts\tshock\tsteady calls/s\tpeak calls/s\tpeak B/s of a host\trecovered after\trefused\tof")
	for _, cfg := range c.sizes() {
		for _, s := range slope.Disruptions(cfg) {
			fmt.Fprintf(w, "%d\t%s\t%.2f\t%d\t%d\t%v\t%d\t%d\n",
				s.Fleet, s.Name, s.SteadyCalls, s.PeakCalls, s.PeakBytes, s.Recovered, s.Refused, s.Requests)
		}
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}
