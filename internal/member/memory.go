package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Asking engines for the size of their memory.
const (
	// askEvery is the time between two questions to an engine that has not answered.
	askEvery = 10 * time.Second
	// asksAtOnce bounds the questions of one second: engines that come back together
	// are busy, and the answer is of use for as long as they live.
	asksAtOnce = 16
)

// askMemory returns the questions to engines whose memory is not known. Engines are
// the targets of services that have read a prompt.
func (tb *Table) askMemory(now ident.Time) []event.Effect {
	var effs []event.Effect
	for _, t := range tb.targets {
		if t.Capacity == 0 || t.Memory > 0 || tb.serviceStats.Rate(t.Service) == 0 || !t.Usable(now) {
			continue
		}
		if t.askedAt > 0 && now.Sub(t.askedAt) < askEvery {
			continue
		}
		t.askedAt = now
		effs = append(effs, event.AskMemory{Target: t.Target})
		if len(effs) == asksAtOnce {
			break
		}
	}
	return effs
}

// MemoryReported takes the memory of an engine.
func (tb *Table) MemoryReported(e event.MemoryReported) {
	if t, ok := tb.current(e.Target, e.Incarnation); ok {
		t.Memory = e.Tokens
	}
}
