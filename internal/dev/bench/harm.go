package bench

import (
	"context"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/dev/engine"
)

// harm is what happens to the first data centre in the second quarter of a
// load.
type harm int

// The kinds of harm.
const (
	harmNone harm = iota
	// harmRestart ends all engines but one; new ones with cold caches come
	// back.
	harmRestart
	// harmLinks cuts the data centre off from the others.
	harmLinks
	// harmErrors has every engine fail every request.
	harmErrors
)

// breaker does the harm and mends it.
type breaker struct {
	t   tomb.Tomb
	b   *bench
	ctx context.Context
}

func startBreaker(ctx context.Context, b *bench) *breaker {
	k := &breaker{b: b, ctx: ctx}
	k.t.Go(k.run)
	return k
}

func (k *breaker) stop() {
	k.t.Kill(nil)
	_ = k.t.Wait()
}

func (k *breaker) run() error {
	if k.b.scene.harm == harmNone {
		return nil
	}
	if !k.wait(k.b.cfg.For / 4) {
		return nil
	}
	k.set(true)
	k.wait(k.b.cfg.For / 4)
	k.set(false)
	return nil
}

func (k *breaker) wait(d time.Duration) bool {
	sub := k.b.clock.At(k.b.clock.Now().Add(d))
	defer sub.Close()
	select {
	case <-sub.C():
		return true
	case <-k.t.Dying():
		return false
	}
}

func (k *breaker) set(on bool) {
	f := k.b.fleet
	first := f.sites[0]
	switch k.b.scene.harm {
	case harmRestart:
		for _, e := range first.engines[1:] {
			f.swap(e, on)
		}
	case harmLinks:
		f.cutOff(first, on)
	case harmErrors:
		var bad engine.Faults
		if on {
			bad = engine.Faults{Every: 1, Kinds: []string{engine.FaultError}}
		}
		for _, e := range first.engines {
			_ = f.call(k.ctx, http.MethodPut, e.url+"/dev/faults", bad, nil)
		}
	}
}
