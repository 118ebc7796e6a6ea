// Package meter counts the traffic of an entry host in a go-metrics registry, which the
// operators' API serves.
//
// # Usage
//
//	mt := meter.New(metrics.DefaultRegistry)
//	mt.RequestEnded("draft", event.Done)
//	mt.RequestRefused(codes.TooLarge.ID)
//
// Metric names contain only profiles of the configuration in force and declared codes. A name
// made up by a caller would otherwise become a metric of its own, and a flood of them would
// exhaust the memory.
package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sampleSize is the number of values that a histogram samples.
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

// Histogram returns the histogram with the given name and creates it if needed.
func Histogram(reg metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, reg, metrics.NewUniformSample(sampleSize))
}

// New returns a Traffic that registers its metrics in reg.
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

// RequestEnded counts a finished request by profile and outcome. The profile must be in force.
func (m *Traffic) RequestEnded(p ident.Profile, outcome event.Outcome) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("callers.requests."+string(p)+"."+string(outcome), m.reg).Inc(1)
}

// RequestRefused counts a refusal by code.
func (m *Traffic) RequestRefused(c codes.ID) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("callers.refusals."+string(c), m.reg).Inc(1)
}

// ObserveFirstByte records the time from the arrival of a request to the first byte of its
// answer.
func (m *Traffic) ObserveFirstByte(d time.Duration) {
	if m != nil {
		m.firstByte.Update(d.Microseconds())
	}
}

// ObserveDuration records the time from the arrival of a request to its end.
func (m *Traffic) ObserveDuration(d time.Duration) {
	if m != nil {
		m.duration.Update(d.Microseconds())
	}
}

// AddInFlight adds n, which may be negative, to the requests in flight.
func (m *Traffic) AddInFlight(n int64) {
	if m != nil {
		m.inFlight.Inc(n)
	}
}

// AddOpenStreams adds n, which may be negative, to the open streams.
func (m *Traffic) AddOpenStreams(n int64) {
	if m != nil {
		m.openStreams.Inc(n)
	}
}

// AddBytesIn counts bytes of request bodies from callers.
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
