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
	reg         metrics.Registry
	firstByte   metrics.Histogram
	duration    metrics.Histogram
	openStreams metrics.Counter
	inFlight    metrics.Counter
	bytesIn     metrics.Counter
	bytesOut    metrics.Counter
}

// Histogram returns the histogram of a registry with the given name.
func Histogram(reg metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, reg, metrics.NewUniformSample(sampleSize))
}

// New returns the counters of a registry.
func New(reg metrics.Registry) *Traffic {
	return &Traffic{
		reg:         reg,
		firstByte:   Histogram(reg, "callers.firstTokenMicros"),
		duration:    Histogram(reg, "callers.requestMicros"),
		openStreams: metrics.GetOrRegisterCounter("callers.streamsOpen", reg),
		inFlight:    metrics.GetOrRegisterCounter("callers.requestsOpen", reg),
		bytesIn:     metrics.GetOrRegisterCounter("callers.bytesIn", reg),
		bytesOut:    metrics.GetOrRegisterCounter("callers.bytesOut", reg),
	}
}

// RequestEnded counts a request of a profile that is in force by its outcome.
func (m *Traffic) RequestEnded(p ident.Profile, outcome event.Outcome) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("callers.requests."+string(p)+"."+string(outcome), m.reg).Inc(1)
}

// RequestRefused counts a refusal.
func (m *Traffic) RequestRefused(c codes.ID) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("callers.refusals."+string(c), m.reg).Inc(1)
}

// ObserveFirstByte takes the time from the arrival of a request to the first byte of its
// answer.
func (m *Traffic) ObserveFirstByte(d time.Duration) {
	if m != nil {
		m.firstByte.Update(d.Microseconds())
	}
}

// ObserveDuration takes the time from the arrival of a request to its end.
func (m *Traffic) ObserveDuration(d time.Duration) {
	if m != nil {
		m.duration.Update(d.Microseconds())
	}
}

// AddInFlight counts requests in flight up or down.
func (m *Traffic) AddInFlight(n int64) {
	if m != nil {
		m.inFlight.Inc(n)
	}
}

// AddOpenStreams counts open streams up or down.
func (m *Traffic) AddOpenStreams(n int64) {
	if m != nil {
		m.openStreams.Inc(n)
	}
}

// AddBytesIn counts bytes of bodies from callers.
func (m *Traffic) AddBytesIn(n int) {
	if m != nil {
		m.bytesIn.Inc(int64(n))
	}
}

// AddBytesOut counts bytes of answers to callers.
func (m *Traffic) AddBytesOut(n int) {
	if m != nil {
		m.bytesOut.Inc(int64(n))
	}
}
