package begun_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/begun"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func savable(from, n int, ttl time.Duration) []event.BegunStream {
	var streams []event.BegunStream
	for i := range n {
		streams = append(streams, event.BegunStream{
			Stream: ident.Stream(from + i + 1), ServiceBuild: event.ServiceBuild{Service: "writers", Build: "v1"}, TTL: ttl,
		})
	}
	return streams
}

// Guards against hosts that together exceed what the store takes in a second, in any number, and against bytes
// without a bound.
func TestAllHostsTogetherStayBelowTheWritesOfTheStore(t *testing.T) {
	const step, span, settle = 10 * time.Millisecond, 30 * time.Second, 10 * time.Second
	for _, hosts := range []int{1, 6, 24, 90, 300, 1000} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			ledgers := make([]*begun.Ledger, hosts)
			for n := range ledgers {
				ledgers[n] = begun.NewLedger(ident.EntryID(fmt.Sprint("10.0.0.", n)))
			}
			perSecond := make(map[int]int)
			streams := make(map[int]int)
			for now := ident.Time(0).Add(time.Second); now < ident.Time(0).Add(span); now = now.Add(step) {
				for n, l := range ledgers {
					// 25 streams a second and host, and 300 when the second build appears.
					add := 0
					if now == ident.Time(0).Add(time.Second) {
						add = 300
					} else if int64(now)/int64(step)%4 == 0 {
						add = 1
					}
					l.Add(now, savable(int(now), add, 20*time.Second), hosts)
					if b, ok := l.Due(now, hosts); ok {
						second := int(time.Duration(now) / time.Second)
						perSecond[second]++
						if second >= int(settle/time.Second) {
							streams[n] += len(b.Streams)
						}
						l.Saved(now, event.BegunSaved{Batch: b.Batch, Saved: true}, hosts)
					}
				}
			}
			most, late, mostStreams := 0, 0, 0
			for second, n := range perSecond {
				most = max(most, n)
				if second >= int(settle/time.Second) {
					late += n
				}
			}
			for _, n := range streams {
				mostStreams = max(mostStreams, n)
			}
			seconds := (span - settle).Seconds()
			t.Logf("at most %d batches in a second, %.1f on average later, %.1f streams a second and host", most, float64(late)/seconds, float64(mostStreams)/seconds)
			// A lease may come with each batch, and the store takes 400 writes a second.
			if most > 400/3 || float64(late)/seconds > 25 {
				t.Errorf("%d batches in a second, %.1f on average", most, float64(late)/seconds)
			}
			if bytes := float64(mostStreams) / seconds * 15; bytes > 4000 {
				t.Errorf("%.0f bytes a second", bytes)
			}
		})
	}
}

// Guards against streams that are lost, or not announced in time, because the store has refused a batch or its answer is lost.
func TestBatchThatWasNotSavedIsSavedAgain(t *testing.T) {
	now := ident.Time(0).Add(time.Second)
	l := begun.NewLedger("10.0.0.1")
	due := func() (event.SaveBegun, bool) {
		now = max(now, l.Next())
		return l.Due(now, 6)
	}
	l.Add(now, savable(0, 2, 20*time.Second), 6)
	first, _ := due()
	l.Add(now, savable(2, 1, time.Second), 6)
	if b, ok := l.Due(now.Add(time.Minute), 6); ok {
		t.Errorf("a second batch before the first one was answered: %v", b)
	}
	l.Saved(now, event.BegunSaved{Batch: first.Batch + 1, Saved: true}, 6)
	failedAt := now
	l.Saved(now, event.BegunSaved{Batch: first.Batch}, 6)
	second, ok := due()
	if !ok || now == failedAt || len(second.Streams) != 3 || second.Batch == first.Batch {
		t.Errorf("after a failure: %v at %v", second, now.Sub(failedAt))
	}
	// The third stream can't be taken up any more.
	now = now.Add(2 * time.Second)
	l.Saved(now, event.BegunSaved{Batch: second.Batch}, 6)
	third, _ := due()
	if diff := cmp.Diff([]ident.Stream{1, 2}, streamsOf(third)); diff != "" {
		t.Errorf("streams saved after the third is over (-want +got):\n%s", diff)
	}
	l.Saved(now, event.BegunSaved{Batch: third.Batch, Saved: true}, 6)
	if at := l.Next(); at != 0 {
		t.Errorf("a batch is due at %v although all are saved", at)
	}
}

func streamsOf(b event.SaveBegun) []ident.Stream {
	var ids []ident.Stream
	for _, s := range b.Streams {
		ids = append(ids, s.Stream)
	}
	return ids
}

// Guards against memory without a bound, and writes without a pause, while the store takes none.
func TestStoreThatTakesNoBatchesEndsNothing(t *testing.T) {
	now := ident.Time(0).Add(time.Second)
	l := begun.NewLedger("10.0.0.1")
	tries := 0
	for n := range 6000 {
		now = now.Add(10 * time.Millisecond)
		l.Add(now, savable(10*n, 10, time.Hour), 6)
		if b, ok := l.Due(now, 6); ok {
			tries++
			l.Saved(now, event.BegunSaved{Batch: b.Batch}, 6)
		}
	}
	if tries < 5 || tries > 20 {
		t.Errorf("%d batches in a minute", tries)
	}
	saved := 0
	for {
		now = max(now, l.Next())
		b, ok := l.Due(now, 6)
		if !ok {
			break
		}
		saved += len(b.Streams)
		l.Saved(now, event.BegunSaved{Batch: b.Batch, Saved: true}, 6)
	}
	if saved != begun.MaxRecords {
		t.Errorf("%d streams were kept, want %d", saved, begun.MaxRecords)
	}
}
