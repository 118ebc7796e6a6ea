package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Asking engines for the size of their memory.
const (
	// memoryAskInterval is the time between two questions to an engine that has not answered.
	memoryAskInterval = 10 * time.Second
	// maxMemoryAsks bounds the questions of one second: engines that come back together
	// are busy, and the answer is of use for as long as they live.
	maxMemoryAsks = 16
)

// askMemory returns the questions to engines whose memory is not known. Engines are
// the targets of services that have read a prompt.
func (tb *Table) askMemory(now ident.Time) []event.Effect {
	var effs []event.Effect
	for _, t := range tb.targets {
		if t.Capacity == 0 || t.MemoryTokens > 0 || tb.usual.PrefillRate(t.Service) == 0 || !t.Usable(now) {
			continue
		}
		if t.memoryAskedAt > 0 && now.Sub(t.memoryAskedAt) < memoryAskInterval {
			continue
		}
		t.memoryAskedAt = now
		effs = append(effs, event.AskMemory{Target: t.Target})
		if len(effs) == maxMemoryAsks {
			break
		}
	}
	return effs
}

// MemoryReported takes the memory of an engine.
func (tb *Table) MemoryReported(e event.MemoryReported) {
	if t, ok := tb.currentTarget(e.Target, e.Incarnation); ok {
		t.MemoryTokens = e.Tokens
	}
}
