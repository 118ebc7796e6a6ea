package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Some limits hold for the requests that all hosts together send to a target. No host can count those of
// the others in time, so a few of them, by rank, own such a target and share its limit; the others send
// nothing to it.

// ownersKnownDelay is how long after its start a host owns nothing. Within this time hosts that start
// together connect to each other, even slow ones with two hundred links to open.
const ownersKnownDelay = 3 * time.Second

// ownerCandidate is a host that may own a target.
type ownerCandidate struct {
	draining bool
	score    uint64
}

// ranksBefore reports whether a candidate ranks before another one. Hosts that are not draining rank
// before draining ones. If only draining hosts are left, they are ranked too: otherwise each of them would
// consider itself the owner.
func (c ownerCandidate) ranksBefore(o ownerCandidate) bool {
	if c.draining != o.draining {
		return o.draining
	}
	return c.score > o.score
}

// ownerRank returns how many live hosts rank before this one as owners of a target. The key selects the
// limit, so that one host does not own a target for all of them.
func (tb *Table) ownerRank(now ident.Time, key string, id ident.TargetID) int {
	candidate := func(h event.Host) ownerCandidate {
		return ownerCandidate{draining: h.Draining, score: rank.Hash(key, string(id), string(h.ID))}
	}
	self, before := candidate(tb.self), 0
	for _, p := range tb.peers {
		if p.live(now) && candidate(p.host).ranksBefore(self) {
			before++
		}
	}
	return before
}

// reachableHosts returns how many hosts of this data centre are live, and how many may be: those that are
// listed or were seen recently count too, since they may send to the same targets behind a partition.
func (tb *Table) reachableHosts(now ident.Time) (live, all int) {
	live, all = 1, 1
	for _, p := range tb.peers {
		if p.live(now) {
			live++
		}
		if p.listed || !p.dead(now) {
			all++
		}
	}
	return live, all
}
