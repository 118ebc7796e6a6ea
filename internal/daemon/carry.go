package daemon

import (
	"context"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/trail"
)

// loadWait is how long a load report may take.
const loadWait = time.Second

// carry takes an effect from the control thread and must not block it.
func (d *Daemon) carry(eff event.Effect) {
	switch e := eff.(type) {
	case event.InForceNow:
		d.book.Store(e.Book)
		d.cfg.Log.Info("configuration in force", "revision", e.Book.Revision)
	case event.ForgetOutcome:
		d.outs.Delete(e.Request)
	case event.Note:
		trail.LogNote(d.cfg.Log, e)
	case event.DropLinks:
		// The library of the engines' client finds out by itself.
	case event.Drained:
		d.halt.MarkDrained()
	default:
		if !d.platform.carry(eff) && !d.mesh.Send(eff) {
			d.enqueue(eff)
		}
	}
}

func (d *Daemon) enqueue(eff event.Effect) {
	select {
	case d.work <- eff:
	default:
		// The platform or the targets are slower than the effects come. The
		// reducer asks again; blocking here would stop its decisions.
		d.cfg.Log.Info("effect dropped, workers are busy", "effect", event.TypeName(eff))
	}
}

// run carries out effects that wait for the network.
func (d *Daemon) run() error {
	ctx := d.t.Context(context.Background())
	for {
		select {
		case eff := <-d.work:
			d.do(ctx, eff)
		case <-d.t.Dying():
			return nil
		}
	}
}

func (d *Daemon) do(ctx context.Context, eff event.Effect) {
	if e, ok := eff.(event.PollLoad); ok {
		d.poll(ctx, e)
	}
}

func (d *Daemon) poll(ctx context.Context, e event.PollLoad) {
	ctx, cancel := context.WithTimeout(ctx, loadWait)
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
		// Cache events are hints. Without them an engine looks cold and is
		// used all the same.
		return
	}
	for _, ev := range evs {
		d.loop.Post(ev)
	}
}
