package drive

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// saveTimeout is how long a host waits until a batch counts as not saved.
const saveTimeout = 1500 * time.Millisecond

// SaveFault is what happens to a batch of begun streams that a host saves.
type SaveFault struct {
	// Lost means that the batch does not reach the platform, Delay that it does later. AnswerLost means
	// that the host gets no answer.
	Lost, AnswerLost bool
	Delay            time.Duration
}

// savedBatch is a batch of begun streams under a lease.
type savedBatch struct {
	streams []event.BegunStream
	until   ident.Time
}

// ledger is the platform's part of the begun streams.
type ledger struct {
	batches []savedBatch
	// readBy has the incarnation of each host that has read the batches.
	readBy map[ident.EntryID]ident.Incarnation
}

func (d *Driver) saveBegun(h *Host, e event.SaveBegun) {
	d.Saves++
	var f SaveFault
	if d.SaveFault != nil {
		f = d.SaveFault(h.Host)
	}
	if f.Lost || !d.platformReachable(h, "begun") {
		d.Post(h.ID, failureDelay, event.BegunSaved{Batch: e.Batch})
		return
	}
	ttl := time.Duration(0)
	for _, s := range e.Streams {
		ttl = max(ttl, s.TTL)
	}
	d.schedule(f.Delay, func() {
		d.platform.ledger.batches = append(d.platform.ledger.batches, savedBatch{slices.Clone(e.Streams), d.Now.Add(ttl)})
	})
	if f.AnswerLost || f.Delay > saveTimeout {
		d.postToIncarnation(h.Host, saveTimeout, event.BegunSaved{Batch: e.Batch})
		return
	}
	d.postToIncarnation(h.Host, f.Delay+callDelay, event.BegunSaved{Batch: e.Batch, Saved: true})
}

// readBegun delivers the saved streams with the first read of a host.
func (d *Driver) readBegun(h *Host) {
	if inc, ok := d.platform.ledger.readBy[h.ID]; ok && inc == h.Incarnation {
		return
	}
	d.platform.ledger.readBy[h.ID] = h.Incarnation
	var ev event.BegunRead
	for _, b := range d.platform.ledger.batches {
		if b.until > d.Now {
			ev.Streams = append(ev.Streams, b.streams...)
		}
	}
	if len(ev.Streams) > 0 {
		d.Post(h.ID, callDelay, ev)
	}
}
