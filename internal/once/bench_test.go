package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkKeys measures one key from the claim to the end with the memory
// full, and what a record takes.
func BenchmarkKeys(b *testing.B) {
	before := heapInUse()
	rg := New("host", 1)
	i, now := 0, ident.Time(0)
	one := func() {
		i++
		now = now.Add(time.Millisecond)
		key, fprint := rules.Digest(fmt.Sprint(i)), rules.Digest(fmt.Sprint(-i))
		req := ident.RequestID(fmt.Sprintf("%032d", i))
		rg.UseKey(now, key, fprint, req)
		rg.ClaimAnswered(now, req, event.ClaimWon, event.KeyRecord{})
		rg.Ended(now, req, event.Done, true)
		rg.Expire(now)
	}
	for range maxRecords {
		one()
	}
	full := heapInUse()
	b.ReportAllocs()
	for b.Loop() {
		one()
	}
	b.ReportMetric(float64(full-before)/maxRecords, "heap-B/record")
}

// BenchmarkAttempts measures one attempt of a peer from its arrival to its end
// with the memory full, and what an attempt takes.
func BenchmarkAttempts(b *testing.B) {
	before := heapInUse()
	rg := New("host", 1)
	i, now := uint64(0), ident.Time(0)
	one := func() {
		i++
		now = now.Add(time.Millisecond)
		a := ident.Attempt{Entry: ident.EntryID(fmt.Sprint("host", i%370)), Incarnation: 1, Number: i}
		rg.AdmitAttempt(now, event.Envelope{Attempt: a, To: 1})
		rg.AttemptEnded(now, a, event.Ended)
	}
	for range 370 * maxSenderAttempts {
		one()
	}
	full := heapInUse()
	b.ReportAllocs()
	for b.Loop() {
		one()
	}
	b.ReportMetric(float64(full-before)/float64(rg.attemptCount), "heap-B/attempt")
	b.ReportMetric(float64(rg.attemptCount), "attempts")
}
