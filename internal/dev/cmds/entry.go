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

// entryCmd runs an entry host whose routing policy can be another than the
// product's.
type entryCmd struct {
	settings string
	policy   string
	control  string
}

func (*entryCmd) Name() string     { return "entry" }
func (*entryCmd) Synopsis() string { return "run an entry host with a policy to compare" }

func (*entryCmd) Usage() string {
	return `entry -settings FILE -policy cost|random|roundRobin|leastOutstanding [-control HOST:PORT]
  The daemon of verbenadale with another routing policy. With -control,
  PUT /dev/policy?name=POLICY at that address changes it.
`
}

func (c *entryCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.settings, "settings", "", "settings file, JSON with comments")
	fs.StringVar(&c.policy, "policy", base.Cost, "routing policy")
	fs.StringVar(&c.control, "control", "", "address at which the policy can be changed")
}

func (c *entryCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, faults, err := config.Load(c.settings)
	if err != nil || len(faults) > 0 || !slices.Contains(base.Names, c.policy) {
		fmt.Fprintln(os.Stderr, "verbdev: settings or policy:", err, faults, c.policy)
		return subcommands.ExitUsageError
	}
	lvl := logs.NewLevel(set.Logs.Level)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	h := &compared{}
	h.policy.Store(&c.policy)
	d, err := daemon.Start(daemon.Config{Settings: set, Log: logs.New(os.Stderr, lvl), Level: lvl, BeforeStep: h.before})
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	defer d.Stop()
	if c.control != "" {
		if err := h.listen(c.control); err != nil {
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

// compared changes the policy of a reducer's router. The name that is
// wanted is handed over by a pointer, since it comes from another goroutine
// than the control thread, which alone touches the reducer.
type compared struct {
	policy atomic.Pointer[string]
	inUse  *string
}

func (h *compared) before(red *core.Reducer) {
	if want := h.policy.Load(); want != h.inUse {
		h.inUse = want
		red.Router().Policy = base.Policy(*want)
	}
}

func (h *compared) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /dev/policy", h.change)
	srv := &server{http: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, ln: ln, done: make(chan struct{})}
	go srv.run()
	return nil
}

func (h *compared) change(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	if !slices.Contains(base.Names, name) {
		http.Error(w, "no such policy", http.StatusBadRequest)
		return
	}
	h.policy.Store(&name)
	w.WriteHeader(http.StatusNoContent)
}
