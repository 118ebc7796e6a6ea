// Package meter counts what the traffic of an entry host does, in a registry
// of go-metrics that the operators' address gives out.
//
// # Usage
//
//	mt := meter.New(metrics.DefaultRegistry)
//	mt.Ended("draft", event.Done)
//	mt.Refused(codes.TooLarge.ID)
//
// Names hold profiles only of the configuration in force, and codes only that
// are declared. A name that a caller makes up would otherwise become a metric
// of its own, and a flood of them would fill the memory.
package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 1028

// Traffic counts requests. A nil Traffic counts nothing.
type Traffic struct {
	reg      metrics.Registry
	first    metrics.Histogram
	took     metrics.Histogram
	streams  metrics.Counter
	open     metrics.Counter
	bytesIn  metrics.Counter
	bytesOut metrics.Counter
}

// Histogram returns the histogram of a registry with the given name.
func Histogram(reg metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, reg, metrics.NewUniformSample(sampleSize))
}

// New returns the counters of a registry.
func New(reg metrics.Registry) *Traffic {
	return &Traffic{
		reg:      reg,
		first:    Histogram(reg, "callers.firstTokenMicros"),
		took:     Histogram(reg, "callers.requestMicros"),
		streams:  metrics.GetOrRegisterCounter("callers.streamsOpen", reg),
		open:     metrics.GetOrRegisterCounter("callers.requestsOpen", reg),
		bytesIn:  metrics.GetOrRegisterCounter("callers.bytesIn", reg),
		bytesOut: metrics.GetOrRegisterCounter("callers.bytesOut", reg),
	}
}

// Ended counts a request of a profile that is in force by its outcome.
func (m *Traffic) Ended(p ident.Profile, outcome event.Outcome) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("callers.requests."+string(p)+"."+string(outcome), m.reg).Inc(1)
}

// Refused counts a refusal.
func (m *Traffic) Refused(c codes.ID) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("callers.refusals."+string(c), m.reg).Inc(1)
}

// First takes the time from the arrival of a request to the first byte of its
// answer.
func (m *Traffic) First(d time.Duration) {
	if m != nil {
		m.first.Update(d.Microseconds())
	}
}

// Took takes the time from the arrival of a request to its end.
func (m *Traffic) Took(d time.Duration) {
	if m != nil {
		m.took.Update(d.Microseconds())
	}
}

// Open counts requests in flight up or down.
func (m *Traffic) Open(n int64) {
	if m != nil {
		m.open.Inc(n)
	}
}

// Streams counts open streams up or down.
func (m *Traffic) Streams(n int64) {
	if m != nil {
		m.streams.Inc(n)
	}
}

// In counts bytes of bodies from callers.
func (m *Traffic) In(n int) {
	if m != nil {
		m.bytesIn.Inc(int64(n))
	}
}

// Out counts bytes of answers to callers.
func (m *Traffic) Out(n int) {
	if m != nil {
		m.bytesOut.Inc(int64(n))
	}
}
