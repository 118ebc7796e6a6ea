package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Limits of the requests to engines for the size of their memory.
const (
	// memoryRequestInterval is the time between two requests to an engine that has not answered.
	memoryRequestInterval = 10 * time.Second
	// maxMemoryRequests bounds the requests in one second. Engines that come back together are busy
	// then, and an answer stays valid for the lifetime of the engine.
	maxMemoryRequests = 16
)

// memoryRequests returns the requests to engines whose memory size is unknown. Engines are the
// targets of services with a known prefill rate.
func (tb *Table) memoryRequests(now ident.Time) []event.Effect {
	var effs []event.Effect
	for _, t := range tb.targets {
		if t.Capacity == 0 || t.MemoryTokens > 0 || tb.serviceStats.PrefillRate(t.Service) == 0 || !t.Usable(now) {
			continue
		}
		if t.memoryRequestedAt > 0 && now.Sub(t.memoryRequestedAt) < memoryRequestInterval {
			continue
		}
		t.memoryRequestedAt = now
		effs = append(effs, event.AskMemory{Target: t.Target})
		if len(effs) == maxMemoryRequests {
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
