package route

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
)

// Guards against a lost cache event that also drops the blocks which this host has sent
// recently, although only the blocks confirmed by events became uncertain.
func TestGapKeepsRecentlySentBlocks(t *testing.T) {
	tb, r := fleet(1, 0), New()
	r.CacheChanged(start, event.CacheChanged{Target: "t000", Incarnation: 1, Seq: 1, Stored: []uint64{1, 2, 3}}, tb)
	r.PrefixSent(start, "t000", []uint64{2, 3, 4})
	r.CacheChanged(start, event.CacheChanged{Target: "t000", Incarnation: 1, Seq: 2, Dropped: []uint64{3}}, tb)
	r.CacheChanged(start, event.CacheChanged{Target: "t000", Incarnation: 1, Seq: 4}, tb)
	c := r.caches.byTarget["t000"]
	for key, want := range map[uint64]bool{1: false, 2: true, 3: false, 4: true} {
		if got := c.blocks[key].isCached(start); got != want {
			t.Errorf("block %d counts as cached: %v", key, got)
		}
	}
	late := start.Add(sentTTL + time.Second)
	if c.blocks[2].isCached(late) || c.blocks[4].isCached(late) {
		t.Error("a sent block counts as cached after sentTTL")
	}
}
