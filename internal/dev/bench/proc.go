package bench

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/pkg/ident"
)

type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// run starts a verbdev process and waits until it answers at a URL.
func (f *fleet) run(ctx context.Context, url string, args ...string) (*proc, error) {
	p, err := f.spawn(args...)
	if err != nil {
		return nil, err
	}
	return p, f.await(ctx, url)
}

func (f *fleet) spawn(args ...string) (*proc, error) {
	p := &proc{cmd: exec.Command(f.cfg.Program, args...), done: make(chan struct{})}
	p.cmd.Stderr = f.cfg.Log
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "bench: start process")
	}
	go p.run()
	f.procs = append(f.procs, p)
	return p, nil
}

func (p *proc) run() {
	defer close(p.done)
	_ = p.cmd.Wait()
}

func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// engineProc is an engine, which may be stopped and restarted.
type engineProc struct {
	*proc
	id   ident.TargetID
	url  string
	args []string
	// earlier is the total of the ledgers of the earlier processes of the engine.
	earlier engine.Ledger
}

// addEarlier adds the totals of the earlier processes of the engine to a ledger.
func (e *engineProc) addEarlier(l engine.Ledger) engine.Ledger {
	l.BusyMs += e.earlier.BusyMs
	l.Blocks += e.earlier.Blocks
	l.Hits += e.earlier.Hits
	l.Ran += e.earlier.Ran
	return l
}

func (f *fleet) startEngines(ctx context.Context, s *site) error {
	for n := range s.centre.engines {
		addr := fmt.Sprintf("%s:%d", ports.IP(), targetPort)
		e := &engineProc{id: ident.TargetID(fmt.Sprintf("%s-e%d", s.place.DataCentre, n+1)), url: "http://" + addr}
		e.args = []string{
			"engine", "-listen", addr, "-id", string(e.id), "-model", string(model),
			"-slots", strconv.Itoa(s.slots), "-tokenTime", scaled(tokenTime, f.cfg.Scale),
			"-prefillRate", strconv.FormatFloat(prefillRate/f.cfg.Scale, 'f', -1, 64),
			"-cacheBlocks", strconv.Itoa(cacheBlocks),
			"-loadLag", loadLag.String(), "-cacheLag", cacheLag.String(), "-cacheGap", strconv.Itoa(cacheGap),
		}
		var err error
		if e.proc, err = f.run(ctx, e.url+"/load", e.args...); err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	return nil
}

func scaled(d time.Duration, scale float64) string {
	return time.Duration(float64(d) * scale).String()
}

// setEngineStopped stops an engine, or restarts it with a cold cache.
func (f *fleet) setEngineStopped(e *engineProc, stopped bool) {
	ctx := context.Background()
	if stopped {
		var l engine.Ledger
		if f.call(ctx, http.MethodGet, e.url+"/dev/ledger", nil, &l) == nil {
			e.earlier = e.addEarlier(l)
		}
		e.kill()
		return
	}
	if p, err := f.spawn(e.args...); err == nil {
		e.proc = p
		_ = f.await(ctx, e.url+"/load")
	}
}
