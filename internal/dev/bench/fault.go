package bench

import (
	"context"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/dev/engine"
)

// fault is a fault of the first data centre during the second quarter of a load.
type fault int

const (
	faultNone fault = iota
	// faultRestart stops all engines but one. They are restarted with cold caches.
	faultRestart
	// faultLinks partitions the data centre from the others.
	faultLinks
	// faultErrors makes every engine of the data centre fail every request.
	faultErrors
)

// faultInjector injects the fault of the scenario and removes it.
type faultInjector struct {
	t   tomb.Tomb
	b   *bench
	ctx context.Context
}

func startFaultInjector(ctx context.Context, b *bench) *faultInjector {
	k := &faultInjector{b: b, ctx: ctx}
	k.t.Go(k.run)
	return k
}

func (k *faultInjector) stop() {
	k.t.Kill(nil)
	_ = k.t.Wait()
}

func (k *faultInjector) run() error {
	if k.b.scenario.fault == faultNone {
		return nil
	}
	if !k.wait(k.b.cfg.Duration / 4) {
		return nil
	}
	k.setActive(true)
	k.wait(k.b.cfg.Duration / 4)
	k.setActive(false)
	return nil
}

func (k *faultInjector) wait(d time.Duration) bool {
	sub := k.b.clock.At(k.b.clock.Now().Add(d))
	defer sub.Close()
	select {
	case <-sub.C():
		return true
	case <-k.t.Dying():
		return false
	}
}

func (k *faultInjector) setActive(on bool) {
	f := k.b.fleet
	first := f.sites[0]
	switch k.b.scenario.fault {
	case faultRestart:
		for _, e := range first.engines[1:] {
			f.setEngineStopped(e, on)
		}
	case faultLinks:
		f.setPartitioned(first, on)
	case faultErrors:
		var bad engine.Faults
		if on {
			bad = engine.Faults{Every: 1, Kinds: []string{engine.FaultError}}
		}
		for _, e := range first.engines {
			_ = f.call(k.ctx, http.MethodPut, e.url+"/dev/faults", bad, nil)
		}
	}
}
