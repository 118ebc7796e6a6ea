package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Requests to engines for the size of their memory.
const (
	// memoryAskInterval is the time between two requests to an engine that has not answered.
	memoryAskInterval = 10 * time.Second
	// maxMemoryAsks bounds the requests in one second. Engines that come back together are busy
	// then, and an answer stays valid for the lifetime of the engine.
	maxMemoryAsks = 16
)

// askMemory returns the requests to engines whose memory size is unknown. Engines are the targets
// of services with a known prefill rate.
func (tb *Table) askMemory(now ident.Time) []event.Effect {
	var effs []event.Effect
	for _, t := range tb.targets {
		if t.Capacity == 0 || t.MemoryTokens > 0 || tb.serviceStats.PrefillRate(t.Service) == 0 || !t.Usable(now) {
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

// MemoryReported stores the memory size that an engine reported.
func (tb *Table) MemoryReported(e event.MemoryReported) {
	if t, ok := tb.currentTarget(e.Target, e.Incarnation); ok {
		t.MemoryTokens = e.Tokens
	}
}
