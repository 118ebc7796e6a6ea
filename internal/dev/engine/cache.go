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

// cache is the prefix cache: the least recently used blocks go first.
type cache struct {
	room   int
	recent *list.List
	at     map[uint64]*list.Element
	seq    uint64
	log    []entry
}

// entry is one cache event and when it came about.
type entry struct {
	seq     uint64
	at      ident.Time
	stored  []uint64
	dropped []uint64
}

// maxLog bounds the cache events that are kept.
const maxLog = 4096

func newCache(room int) *cache {
	return &cache{room: room, recent: list.New(), at: make(map[uint64]*list.Element)}
}

// use returns how many of the blocks were cached from the start on, and
// caches all of them.
func (c *cache) use(now ident.Time, ds []uint64) int {
	hit := 0
	for hit < len(ds) {
		el, ok := c.at[ds[hit]]
		if !ok {
			break
		}
		c.recent.MoveToFront(el)
		hit++
	}
	ev := entry{at: now}
	for _, d := range ds[hit:] {
		if _, ok := c.at[d]; ok {
			continue
		}
		c.at[d] = c.recent.PushFront(d)
		ev.stored = append(ev.stored, d)
	}
	for c.recent.Len() > c.room {
		el := c.recent.Back()
		d := c.recent.Remove(el).(uint64)
		delete(c.at, d)
		ev.dropped = append(ev.dropped, d)
	}
	if len(ev.stored)+len(ev.dropped) > 0 {
		c.seq++
		ev.seq = c.seq
		c.log = append(c.log, ev)
		c.log = c.log[max(len(c.log)-maxLog, 0):]
	}
	return hit
}

// getCache returns the cache events after a number, late and with gaps.
func (e *Engine) getCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	rep := target.CacheReport{Incarnation: e.cfg.Incarnation}
	due := e.clock.Now().Add(-e.cfg.CacheLag)
	for _, ev := range e.cache.log {
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
