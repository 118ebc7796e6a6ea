package cmds

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/daemon"
	"verbenadale.example/verbenadale/internal/dev/base"
	"verbenadale.example/verbenadale/internal/logs"
)

// entryCmd runs an entry host with a selectable routing policy.
type entryCmd struct {
	settings string
	policy   string
	control  string
}

func (*entryCmd) Name() string     { return "entry" }
func (*entryCmd) Synopsis() string { return "run an entry host with a selectable routing policy" }

func (*entryCmd) Usage() string {
	return `entry -settings FILE -policy cost|random|roundRobin|leastOutstanding [-control HOST:PORT]
  Runs the daemon of verbenadale with the given routing policy. With -control,
  PUT /dev/policy?name=POLICY at that address changes the policy.
`
}

func (c *entryCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.settings, "settings", "", "path of the settings file, JSON with comments")
	fs.StringVar(&c.policy, "policy", base.Cost, "routing policy")
	fs.StringVar(&c.control, "control", "", "address of the API that changes the policy")
}

func (c *entryCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, faults, err := config.Load(c.settings)
	if err != nil || !config.Usable(faults) || !slices.Contains(base.Names, c.policy) {
		fmt.Fprintln(os.Stderr, "verbdev: invalid settings or policy:", err, faults, c.policy)
		return subcommands.ExitUsageError
	}
	lvl := logs.NewLevel(set.Logs.Level)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	h := &policySwitch{}
	h.wanted.Store(&c.policy)
	d, err := daemon.Start(daemon.Config{Settings: set, Log: logs.New(os.Stderr, lvl), Level: lvl, BeforeStep: h.apply})
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	defer d.Stop()
	if c.control != "" {
		if err := h.serveControl(c.control); err != nil {
			fmt.Fprintln(os.Stderr, "verbdev:", err)
			return subcommands.ExitFailure
		}
	}
	<-signals
	d.Drain()
	select {
	case <-d.Drained():
	case <-signals:
	}
	return subcommands.ExitSuccess
}

// policySwitch changes the routing policy of a running reducer. HTTP requests
// store the name of the wanted policy; the control thread applies it, since only
// that thread may access the reducer.
type policySwitch struct {
	wanted  atomic.Pointer[string]
	applied *string
}

func (h *policySwitch) apply(red *core.Reducer) {
	if want := h.wanted.Load(); want != h.applied {
		h.applied = want
		red.Router().Policy = base.Policy(*want)
	}
}

func (h *policySwitch) serveControl(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /dev/policy", h.putPolicy)
	srv := &server{http: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, ln: ln, done: make(chan struct{})}
	go srv.run()
	return nil
}

func (h *policySwitch) putPolicy(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	if !slices.Contains(base.Names, name) {
		http.Error(w, "unknown policy", http.StatusBadRequest)
		return
	}
	h.wanted.Store(&name)
	w.WriteHeader(http.StatusNoContent)
}
