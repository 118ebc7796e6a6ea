package daemon

import (
	"context"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/trail"
)

// loadTimeout bounds the time to read a load report and the cache events of a target.
const loadTimeout = time.Second

// execute is called by the loop with each effect. It runs on the control thread and
// must not block.
func (d *Daemon) execute(eff event.Effect) {
	switch e := eff.(type) {
	case event.InForceNow:
		d.book.Store(e.Book)
		d.cfg.Log.Info("configuration in force", "revision", e.Book.Revision)
	case event.ForgetOutcome:
		d.answers.Delete(e.Request)
	case event.Note:
		trail.LogNote(d.cfg.Log, e)
	case event.DropLinks:
		// net/http detects closed connections to targets itself.
	case event.Drained:
		d.halt.MarkDrained()
	default:
		if !d.platform.execute(eff) && !d.mesh.Send(eff) {
			d.enqueue(eff)
		}
	}
}

func (d *Daemon) enqueue(eff event.Effect) {
	select {
	case d.work <- eff:
	default:
		// Effects arrive faster than the workers can execute them. The reducer
		// repeats the effect later; blocking here would stop its decisions.
		d.cfg.Log.Info("effect dropped: all workers are busy", "effect", event.TypeName(eff))
	}
}

// run executes queued effects, which block on the network.
func (d *Daemon) run() error {
	ctx := d.t.Context(context.Background())
	for {
		select {
		case eff := <-d.work:
			d.process(ctx, eff)
		case <-d.t.Dying():
			return nil
		}
	}
}

func (d *Daemon) process(ctx context.Context, eff event.Effect) {
	if e, ok := eff.(event.PollLoad); ok {
		d.poll(ctx, e)
	}
}

func (d *Daemon) poll(ctx context.Context, e event.PollLoad) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ld, err := d.targets.Load(ctx, e.Target)
	if err != nil {
		d.loop.Post(event.LoadFailed{Target: e.Target.ID, Incarnation: e.Target.Incarnation})
		return
	}
	d.loop.Post(event.LoadReported{Load: ld})
	if e.Target.Kind != event.Engine {
		return
	}
	evs, err := d.targets.Cache(ctx, e.Target, e.After)
	if err != nil {
		// Cache events are hints; the engine is also used without them.
		return
	}
	for _, ev := range evs {
		d.loop.Post(ev)
	}
}
