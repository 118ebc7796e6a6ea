package engine

import (
	"container/list"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
)

// cache is the prefix cache. It evicts the least recently used blocks first.
type cache struct {
	capacity int
	lru      *list.List
	elements map[uint64]*list.Element
	seq      uint64
	events   []cacheEvent
}

// cacheEvent is one cache event and its time.
type cacheEvent struct {
	seq     uint64
	at      ident.Time
	stored  []uint64
	dropped []uint64
}

// maxCacheEvents limits the number of retained cache events.
const maxCacheEvents = 4096

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, lru: list.New(), elements: make(map[uint64]*list.Element)}
}

// access returns the length of the cached prefix in blocks, and caches all given
// blocks.
func (c *cache) access(now ident.Time, digests []uint64) int {
	hits := 0
	for hits < len(digests) {
		el, ok := c.elements[digests[hits]]
		if !ok {
			break
		}
		c.lru.MoveToFront(el)
		hits++
	}
	ev := cacheEvent{at: now}
	for _, d := range digests[hits:] {
		if _, ok := c.elements[d]; ok {
			continue
		}
		c.elements[d] = c.lru.PushFront(d)
		ev.stored = append(ev.stored, d)
	}
	for c.lru.Len() > c.capacity {
		el := c.lru.Back()
		d := c.lru.Remove(el).(uint64)
		delete(c.elements, d)
		ev.dropped = append(ev.dropped, d)
	}
	if len(ev.stored)+len(ev.dropped) > 0 {
		c.seq++
		ev.seq = c.seq
		c.events = append(c.events, ev)
		c.events = c.events[max(len(c.events)-maxCacheEvents, 0):]
	}
	return hits
}

// getCache returns the cache events after a sequence number, with the configured
// delay and gaps.
func (e *Engine) getCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	rep := target.CacheReport{Incarnation: e.cfg.Incarnation}
	due := e.clock.Now().Add(-e.cfg.CacheLag)
	for _, ev := range e.cache.events {
		lost := e.cfg.CacheGap > 0 && ev.seq%e.cfg.CacheGap == 0
		if ev.seq <= after || ev.at > due || lost {
			continue
		}
		rep.Events = append(rep.Events, target.CacheEvent{
			Seq: ev.seq, Stored: slices.Clone(ev.stored), Dropped: slices.Clone(ev.dropped),
		})
	}
	_ = json.NewEncoder(w).Encode(rep)
}
