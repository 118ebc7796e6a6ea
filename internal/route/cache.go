package route

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Bounds of the state kept about the caches of targets. At 2,048 blocks of about
// a hundred bytes, a target takes up to about 200 KB.
const (
	// maxBlocksPerTarget bounds the blocks of each target; the oldest is evicted first.
	maxBlocksPerTarget = 2048
	// maxTargets bounds the number of targets.
	maxTargets = 1024
	// maxHoldersPerBlock bounds the targets kept for each block; the oldest is
	// evicted first. It also bounds the warm targets that a decision looks up.
	maxHoldersPerBlock = 4
	// maxLookupsPerPrompt bounds the blocks of a prompt that are looked up.
	maxLookupsPerPrompt = 64
	// sentTTL is how long a block that was sent counts as cached without an event
	// that confirms it: the request may have failed, or the engine may have evicted
	// the block.
	sentTTL = 12 * time.Second
	// minTargetsForTwoPreferred is the number of targets from which a prefix has two
	// preferred ones.
	minTargetsForTwoPreferred = 12
)

// caches is the known state of the prefix caches of all targets. The zero value is empty.
type caches struct {
	byTarget map[ident.TargetID]*cache
	holders  map[uint64][]ident.TargetID
}

// cache is the known state of the prefix cache of one target.
type cache struct {
	incarnation ident.Incarnation
	seq         uint64
	hasSeq      bool
	blocks      map[uint64]block
	// ring holds the blocks in order of insertion.
	ring []uint64
	next int
}

// block is a block that a target probably caches: an event of the engine has
// confirmed it, a prompt with it was sent there, or both.
type block struct {
	confirmed bool
	// sent reports that a host has sent the target a prompt with the block, most
	// recently at sentAt.
	sent   bool
	sentAt ident.Time
}

func (b block) isCached(now ident.Time) bool { return b.confirmed || b.sentWithinTTL(now) }

// sentWithinTTL reports whether the block was sent within sentTTL.
func (b block) sentWithinTTL(now ident.Time) bool { return b.sent && now.Sub(b.sentAt) <= sentTTL }

// holder is a target that probably caches a prefix of a prompt, or that should because of
// its rank.
type holder struct {
	target      ident.TargetID
	incarnation ident.Incarnation
	fraction    float64
	// cached reports that the prefix was sent there recently or confirmed by a cache
	// event. It is false for a target that was added only because of its rank.
	cached bool
}

// CacheChanged handles a cache event of an engine. Events arrive late and may be lost. A gap in the
// sequence numbers makes all blocks confirmed before it uncertain, so they are dropped, except for
// those sent within sentTTL. Reordered and duplicate events are ignored.
func (rt *Router) CacheChanged(now ident.Time, ev event.CacheChanged, tb *member.Table) {
	t, ok := tb.Target(ev.Target)
	if !ok || ev.Incarnation < t.Incarnation {
		return
	}
	c := rt.caches.get(ev.Target)
	if c == nil || ev.Incarnation < c.incarnation {
		return
	}
	if ev.Incarnation > c.incarnation {
		if c.hasSeq {
			rt.caches.clear(ev.Target, c)
		}
		c.incarnation, c.seq, c.hasSeq = ev.Incarnation, 0, false
	}
	if c.hasSeq && ev.Seq <= c.seq {
		return
	}
	if c.hasSeq && ev.Seq != c.seq+1 {
		rt.caches.dropConfirmed(now, ev.Target, c)
	}
	c.seq, c.hasSeq = ev.Seq, true
	for _, b := range ev.Stored {
		old := c.blocks[b]
		old.confirmed = true
		rt.caches.put(ev.Target, c, b, old)
	}
	for _, b := range ev.Dropped {
		rt.caches.remove(ev.Target, c, b)
	}
}

// CacheSeq returns the sequence number of the last cache event of a target that
// was applied, zero if there is none.
func (rt *Router) CacheSeq(id ident.TargetID) uint64 {
	if c, ok := rt.caches.byTarget[id]; ok {
		return c.seq
	}
	return 0
}

// PrefixSent records that a prompt with the given blocks was sent to a target.
func (rt *Router) PrefixSent(now ident.Time, id ident.TargetID, prefix []uint64) {
	c := rt.caches.get(id)
	if c == nil {
		return
	}
	for _, b := range prefix {
		rt.caches.put(id, c, b, block{confirmed: c.blocks[b].confirmed, sent: true, sentAt: now})
	}
}

// RecentlySent reports whether a target was sent a prompt with a block within half of sentTTL. The
// other half leaves time to announce the block again before it expires.
func (rt *Router) RecentlySent(now ident.Time, id ident.TargetID, block uint64) bool {
	c, ok := rt.caches.byTarget[id]
	if !ok {
		return false
	}
	b := c.blocks[block]
	return b.sent && now.Sub(b.sentAt) <= sentTTL/2
}

// Forget drops the cache state of a target, for example after the target has
// restarted.
func (rt *Router) Forget(id ident.TargetID) {
	if c, ok := rt.caches.byTarget[id]; ok {
		rt.caches.clear(id, c)
		delete(rt.caches.byTarget, id)
	}
}

func (cs *caches) get(id ident.TargetID) *cache {
	if c, ok := cs.byTarget[id]; ok {
		return c
	}
	if len(cs.byTarget) >= maxTargets {
		return nil
	}
	if cs.byTarget == nil {
		cs.byTarget = make(map[ident.TargetID]*cache)
		cs.holders = make(map[uint64][]ident.TargetID)
	}
	c := &cache{blocks: make(map[uint64]block)}
	cs.byTarget[id] = c
	return c
}

func (cs *caches) put(id ident.TargetID, c *cache, key uint64, b block) {
	if _, ok := c.blocks[key]; ok {
		c.blocks[key] = b
		return
	}
	if hs := cs.holders[key]; len(hs) >= maxHoldersPerBlock {
		cs.remove(hs[0], cs.byTarget[hs[0]], key)
	}
	if len(c.ring) < maxBlocksPerTarget {
		c.ring = append(c.ring, key)
	} else {
		cs.remove(id, c, c.ring[c.next])
		c.ring[c.next] = key
		c.next = (c.next + 1) % maxBlocksPerTarget
	}
	c.blocks[key] = b
	cs.holders[key] = append(cs.holders[key], id)
}

func (cs *caches) remove(id ident.TargetID, c *cache, key uint64) {
	if _, ok := c.blocks[key]; !ok {
		return
	}
	delete(c.blocks, key)
	hs := slices.DeleteFunc(cs.holders[key], func(x ident.TargetID) bool { return x == id })
	if len(hs) == 0 {
		delete(cs.holders, key)
		return
	}
	cs.holders[key] = hs
}

// dropConfirmed withdraws the confirmation of all blocks of a target and removes
// those that were not sent recently.
func (cs *caches) dropConfirmed(now ident.Time, id ident.TargetID, c *cache) {
	for _, key := range c.ring {
		b, ok := c.blocks[key]
		if !ok || !b.confirmed {
			continue
		}
		if !b.sentWithinTTL(now) {
			cs.remove(id, c, key)
			continue
		}
		b.confirmed = false
		c.blocks[key] = b
	}
}

func (cs *caches) clear(id ident.TargetID, c *cache) {
	for _, key := range c.ring {
		cs.remove(id, c, key)
	}
	c.ring = c.ring[:0]
	c.next = 0
}

// findWarm collects the targets that probably cache the longest prefixes of the prompt.
func (rt *Router) findWarm(v *view) {
	rt.warm = rt.warm[:0]
	prefix := v.q.Request.Prefix
	n := len(prefix)
	step := max(1, (n+maxLookupsPerPrompt-1)/maxLookupsPerPrompt)
	for i := n - 1; i >= 0 && len(rt.warm) < maxHoldersPerBlock; i -= step {
		for _, id := range rt.caches.holders[prefix[i]] {
			rt.addWarm(v, id, prefix[i], float64(i+1)/float64(n))
		}
	}
	rt.addPreferred(v)
}

// addPreferred adds the targets that rank first for the shared prefix of a prompt to the warm ones,
// so that hosts agree on them without messages. With many targets it adds two, of which the less
// loaded one is used: by rank alone, some targets come first for several prefixes and others for
// none.
func (rt *Router) addPreferred(v *view) {
	n := v.q.Request.SharedBlocks
	if n == 0 || n > len(v.q.Request.Prefix) {
		return
	}
	key := v.q.Request.Prefix[n-1]
	var first, second *member.Target
	var firstScore, secondScore uint64
	usable := 0
	for _, t := range v.tb.Targets() {
		if wrongKind(v, t) || !t.Usable(v.now) {
			continue
		}
		usable++
		s := rank.Combine(key, rank.Hash(string(t.ID)))
		switch {
		case first == nil || s > firstScore:
			first, firstScore, second, secondScore = t, s, first, firstScore
		case second == nil || s > secondScore:
			second, secondScore = t, s
		}
	}
	if usable < minTargetsForTwoPreferred {
		second = nil
	}
	fraction := float64(n) / float64(len(v.q.Request.Prefix))
	for _, t := range []*member.Target{first, second} {
		if t == nil {
			continue
		}
		if !slices.ContainsFunc(rt.warm, func(h holder) bool { return h.target == t.ID }) {
			rt.warm = append(rt.warm, holder{target: t.ID, fraction: fraction})
		}
	}
}

func (rt *Router) addWarm(v *view, id ident.TargetID, key uint64, fraction float64) {
	if len(rt.warm) == maxHoldersPerBlock || slices.ContainsFunc(rt.warm, func(h holder) bool { return h.target == id }) {
		return
	}
	c := rt.caches.byTarget[id]
	if !c.blocks[key].isCached(v.now) {
		return
	}
	rt.warm = append(rt.warm, holder{target: id, incarnation: c.incarnation, fraction: fraction, cached: true})
}
