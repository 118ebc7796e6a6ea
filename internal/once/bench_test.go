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

// BenchmarkKeys measures a key from its claim to its end with a full registry, and the
// memory per record.
func BenchmarkKeys(b *testing.B) {
	before := heapInUse()
	rg := New("host", 1)
	i, now := 0, ident.Time(0)
	runOne := func() {
		i++
		now = now.Add(time.Millisecond)
		key, fingerprint := rules.Digest(fmt.Sprint(i)), rules.Digest(fmt.Sprint(-i))
		req := ident.RequestID(fmt.Sprintf("%032d", i))
		rg.UseKey(now, key, fingerprint, req)
		rg.ClaimAnswered(now, req, event.ClaimWon, event.KeyRecord{})
		rg.Ended(now, req, event.Done, true)
		rg.Expire(now)
	}
	for range maxRecords {
		runOne()
	}
	full := heapInUse()
	b.ReportAllocs()
	for b.Loop() {
		runOne()
	}
	b.ReportMetric(float64(full-before)/maxRecords, "heap-B/record")
}

// BenchmarkAttempts measures a peer's attempt from its arrival to its end with a full
// registry, and the memory per attempt.
func BenchmarkAttempts(b *testing.B) {
	before := heapInUse()
	rg := New("host", 1)
	i, now := uint64(0), ident.Time(0)
	runOne := func() {
		i++
		now = now.Add(time.Millisecond)
		a := ident.Attempt{Entry: ident.EntryID(fmt.Sprint("host", i%370)), Incarnation: 1, Number: i}
		rg.AdmitAttempt(now, event.Envelope{Attempt: a, ToIncarnation: 1})
		rg.AttemptEnded(now, a, event.Ended)
	}
	for range 370 * maxSenderAttempts {
		runOne()
	}
	full := heapInUse()
	b.ReportAllocs()
	for b.Loop() {
		runOne()
	}
	b.ReportMetric(float64(full-before)/float64(rg.attemptCount), "heap-B/attempt")
	b.ReportMetric(float64(rg.attemptCount), "attempts")
}
