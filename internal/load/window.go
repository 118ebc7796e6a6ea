package load

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Size of the window in which a host counts its own sends to correct load reports.
const (
	windowBuckets = 16
	bucketWidth   = 250 * time.Millisecond
	// WindowSpan is the part of the window that is always covered: the newest bucket is still
	// filling.
	WindowSpan = (windowBuckets - 1) * bucketWidth
)

// SendWindow counts the sends and ends of the last four seconds in buckets of a quarter of a
// second. The zero value is empty.
type SendWindow struct {
	// newest is the number of the newest bucket, counted from time zero.
	newest int64
	net    [windowBuckets]int
	tokens [windowBuckets]ident.Tokens
}

func bucketOf(t ident.Time) int64 { return int64(t) / int64(bucketWidth) }

// Add counts n sends, or ends if n is negative, and the prefill work of the sends.
func (w *SendWindow) Add(now ident.Time, n int, tokens ident.Tokens) {
	w.advance(bucketOf(now))
	i := w.newest % windowBuckets
	w.net[i] += n
	w.tokens[i] += tokens
}

// advance clears the buckets between the newest one and bucket b, which becomes the newest.
func (w *SendWindow) advance(b int64) {
	if b-w.newest >= windowBuckets {
		*w = SendWindow{newest: b}
		return
	}
	for w.newest < b {
		w.newest++
		w.net[w.newest%windowBuckets] = 0
		w.tokens[w.newest%windowBuckets] = 0
	}
}

// Since returns the sends less the ends since a time, and the prefill work of the sends. The bucket
// that contains the time counts in full: counting a send twice makes a target look slightly more
// loaded, while missing one lets a burst pile up.
func (w *SendWindow) Since(now, from ident.Time) (int, ident.Tokens) {
	net, tokens := 0, ident.Tokens(0)
	newest := min(w.newest, bucketOf(now))
	for b := max(bucketOf(from), w.newest-windowBuckets+1, 0); b <= newest; b++ {
		net += w.net[b%windowBuckets]
		tokens += w.tokens[b%windowBuckets]
	}
	return net, tokens
}
