package spread

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// TestMain fixes the seed, so that every run gives the same result. For a longer run
// with other seeds, set -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	os.Exit(m.Run())
}

func change(rev ident.Revision) rules.Change {
	doc := fmt.Sprintf(`{"models":[{"model":"m%d"}],"maxCrossings":0,"weights":{"tail":0,"cost":0,"crossing":0}}`, rev)
	return rules.Change{
		Revision: rev, ID: ident.ChangeID(fmt.Sprint("c", rev)),
		Items: []rules.Item{{Kind: rules.KindProfile, Name: "p", Doc: []byte(doc)}},
	}
}

// largeBookAt returns a book that peers don't send to each other first.
func largeBookAt(rev ident.Revision) *rules.Book {
	var static rules.StaticConfig
	for i := range 2 * maxRelayedProfiles {
		static.Profiles = append(static.Profiles, rules.Profile{Name: ident.Profile(fmt.Sprint("p", i))})
	}
	return rules.FromStatic(rev, static)
}

// naive models the configuration as a number: the last change received without a gap,
// or the highest snapshot.
type naive struct{ rev ident.Revision }

func (n *naive) applyChanges(cs []rules.Change) {
	for _, c := range cs {
		if c.Revision == n.rev+1 {
			n.rev = c.Revision
		}
	}
}

func (n *naive) applySnapshot(rev ident.Revision) { n.rev = max(n.rev, rev) }

func bookAt(rev ident.Revision) *rules.Book {
	var b *rules.Book
	for r := ident.Revision(1); r <= rev; r++ {
		b, _ = b.Apply(change(r))
	}
	return b
}

// Guards against a late or duplicate change reverting the configuration.
func TestRevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New(event.Host{ID: "uvs-1"})
		n := &naive{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now := ident.Time(i) * ident.Time(time.Second)
			from := rapid.SampledFrom([]ident.EntryID{"", "uvs-2", "khovd-1"}).Draw(rt, "from")
			before := s.Revision()
			if rapid.Bool().Draw(rt, "snapshot") {
				rev := ident.Revision(rapid.IntRange(0, 12).Draw(rt, "rev"))
				s.ApplySnapshot(now, event.SnapshotReceived{From: from, Book: bookAt(rev)})
				n.applySnapshot(rev)
			} else {
				first := ident.Revision(rapid.IntRange(1, 12).Draw(rt, "first"))
				cs := []rules.Change{change(first), change(first + 1)}
				s.ApplyChanges(now, event.ChangesReceived{From: from, Changes: cs}, nil)
				n.applyChanges(cs)
			}
			if s.Revision() < before {
				rt.Fatalf("revision went from %d back to %d", before, s.Revision())
			}
			if diff := cmp.Diff(n.rev, s.Revision()); diff != "" {
				rt.Fatalf("revision (-naive +got):\n%s", diff)
			}
			if p, ok := s.Book().Profile("p"); ok && p.Models[0].Model != ident.Model(fmt.Sprint("m", s.Revision())) {
				rt.Fatalf("revision %d has the content of %s", s.Revision(), p.Models[0].Model)
			}
		}
	})
}

// Guards against a peer waiting for ever for changes that the other host no longer keeps
// one by one.
func TestLaggingPeerGetsTheWholeBook(t *testing.T) {
	s := New(event.Host{ID: "uvs-1"})
	for rev := ident.Revision(1); rev <= maxRecentChanges+10; rev++ {
		s.ApplyChanges(0, event.ChangesReceived{Changes: []rules.Change{change(rev)}}, nil)
	}
	peer := event.Host{ID: "uvs-2"}
	for _, after := range []ident.Revision{0, 5, 10, 40, maxRecentChanges + 9, maxRecentChanges + 10} {
		other := New(peer)
		other.book = bookAt(after)
		for _, eff := range s.AnswerPeer(peer, after) {
			switch e := eff.(type) {
			case event.SendChanges:
				other.ApplyChanges(0, event.ChangesReceived{From: "uvs-1", Changes: e.Changes}, nil)
			case event.SendSnapshot:
				other.ApplySnapshot(0, event.SnapshotReceived{From: "uvs-1", Book: e.Book})
			}
		}
		if diff := cmp.Diff(s.Revision(), other.Revision()); diff != "" {
			t.Errorf("revision of a peer that was at %d (-want +got):\n%s", after, diff)
		}
	}
}

// Guards against all hosts retrying the platform at the same moments.
func TestHostsRetryAtDifferentTimes(t *testing.T) {
	at := make(map[ident.Time]int)
	for i := range 45 {
		s := New(event.Host{ID: ident.EntryID(fmt.Sprint("host-", i))})
		for range 6 {
			s.PlatformFailed(0, event.OpWatchChange)
		}
		at[s.retryAt/ident.Time(500*time.Millisecond)]++
		if s.retryAt <= 0 || s.retryAt > ident.Time(2*maxBackoff) {
			t.Errorf("host %d retries after %v", i, time.Duration(s.retryAt))
		}
	}
	for slot, n := range at {
		if n > 15 {
			t.Errorf("%d of 45 hosts retry within the same half second, slot %d", n, slot)
		}
	}
}

// maxPropagationDelay is the time within which an accepted change must be in force.
const maxPropagationDelay = 4 * time.Second

// Guards against a backoff that delays a change by more than maxPropagationDelay.
func TestBackoffStaysBelowPropagationBound(t *testing.T) {
	for i := range 45 {
		s := New(event.Host{ID: ident.EntryID(fmt.Sprint("host-", i))})
		for fails := range 40 {
			s.PlatformFailed(0, event.OpWatchChange)
			if s.retryAt >= ident.Time(maxPropagationDelay) {
				t.Errorf("host %d waits %v after %d failures", i, time.Duration(s.retryAt), fails+1)
			}
		}
	}
}

// Guards against all peers sending the whole configuration at once, and against asking
// an unresponsive peer for ever.
func TestOnePeerIsAskedAtATime(t *testing.T) {
	sp := New(event.Host{ID: "e0"})
	at := ident.Time(time.Second)
	asked := func() int {
		n := 0
		for _, id := range []ident.EntryID{"e1", "e2", "e3", "e4"} {
			n += len(sp.RevisionSeen(at, event.Host{ID: id}, 7))
		}
		return n
	}
	var got []int
	for _, pause := range []time.Duration{0, answerTimeout / 2, answerTimeout / 2, answerTimeout, answerTimeout} {
		at = at.Add(pause)
		got = append(got, asked())
	}
	if diff := cmp.Diff([]int{1, 0, 1, 0, 1}, got); diff != "" {
		t.Errorf("queries without an answer (-want +got):\n%s", diff)
	}
}

// Guards against all hosts asking the few that read the platform for each
// configuration.
func TestPlatformIsReadBeforePeersAreAsked(t *testing.T) {
	sp := New(event.Host{ID: "e0"})
	sp.SetPlatformFirst(true)
	at := ident.Time(time.Second)
	names := func() []string {
		var out []string
		for _, eff := range sp.RevisionSeen(at, event.Host{ID: "e1"}, 7) {
			out = append(out, event.TypeName(eff))
		}
		return out
	}
	got := [][]string{names()}
	at = at.Add(answerTimeout)
	got = append(got, names())
	sp.ApplySnapshot(at, event.SnapshotReceived{Book: largeBookAt(6)})
	got = append(got, names())
	sp.ApplySnapshot(at, event.SnapshotReceived{Book: largeBookAt(6)})
	sp.PlatformFailed(at, event.OpWatchChange)
	sp.unanswered = 0
	at = at.Add(maxAnswerTimeout)
	got = append(got, names())
	if diff := cmp.Diff([][]string{{"readSnapshot"}, {"askChanges"}, {"readSnapshot"}, {"askChanges"}}, got); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// Guards against hosts that are receiving a large configuration from the platform also
// asking a peer for it, which slows down their links.
func TestNoPeerIsAskedWhileAnswerArrives(t *testing.T) {
	sp := New(event.Host{ID: "e0"})
	sp.SetPlatformFirst(true)
	at := ident.Time(time.Second)
	seen := func(after time.Duration) string {
		at = at.Add(after)
		effs := sp.RevisionSeen(at, event.Host{ID: "e1"}, 7)
		if len(effs) == 0 {
			return ""
		}
		return event.TypeName(effs[0])
	}
	got := []string{seen(0)}
	for range 3 {
		sp.PlatformProgress(at.Add(answerTimeout / 2))
		got = append(got, seen(answerTimeout))
	}
	got = append(got, seen(answerTimeout/2))
	if diff := cmp.Diff([]string{"readSnapshot", "", "", "", "askChanges"}, got); diff != "" {
		t.Errorf("effects while an answer arrives (-want +got):\n%s", diff)
	}
	for end := at.Add(maxAnswerTimeout); at <= end; {
		sp.PlatformProgress(at)
		if seen(answerTimeout/2) != "" {
			return
		}
	}
	t.Error("no peer is asked however long the answer takes")
}

// Guards against a host that counts the platform as unreachable for ever because it stopped watching
// it after a failed call.
func TestFailureEndsOnHostThatStopsWatching(t *testing.T) {
	for name, failed := range map[string]event.PlatformOp{"watch": event.OpWatchChange, "snapshot": event.OpReadSnapshot} {
		s := New(event.Host{ID: "uvs-1"})
		now := ident.Time(time.Second)
		s.Tick(now, true)
		s.PlatformFailed(now, failed)
		s.Tick(now, false)
		if !s.PlatformFailing() {
			t.Errorf("%s: the failure of a moment ago is forgotten", name)
		}
		if next := s.NextTick(now); next > now.Add(2*maxBackoff) {
			t.Errorf("%s: the next tick is %v after the failure", name, next.Sub(now))
		}
		now = now.Add(2 * maxBackoff)
		s.Tick(now, false)
		if s.PlatformFailing() {
			t.Errorf("%s: the platform counts as unreachable %v after the last call", name, 2*maxBackoff)
		}
	}
}

// Guards against a host that reads the platform first and takes it for reachable between two failed
// reads, so that duties that need the platform pass to it again and again.
func TestFailureOfHostThatReadsFirstEndsWithAnAnswer(t *testing.T) {
	s := New(event.Host{ID: "uvs-1"})
	s.SetPlatformFirst(true)
	now := ident.Time(time.Second)
	s.PlatformFailed(now, event.OpWatchChange)
	now = now.Add(2 * maxBackoff)
	s.Tick(now, false)
	if !s.PlatformFailing() {
		t.Error("the platform counts as reachable although no read has succeeded")
	}
	s.WatchIdle(now)
	if s.PlatformFailing() {
		t.Error("the platform counts as unreachable after a read has succeeded")
	}
}

// Guards against a read of the platform by each host for each of several changes in quick succession.
func TestChangesInQuickSuccessionCostOneRead(t *testing.T) {
	s := New(event.Host{ID: "e0"})
	s.SetPlatformFirst(true)
	now := ident.Time(time.Second)
	reads := 0
	for rev := range ident.Revision(30) {
		for _, eff := range s.RevisionSeen(now, event.Host{ID: "e1"}, rev+1) {
			if _, ok := eff.(event.ReadSnapshot); ok {
				reads++
				s.ApplySnapshot(now, event.SnapshotReceived{Book: largeBookAt(rev + 1)})
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if reads != 3 {
		t.Errorf("30 changes in 3 s cost %d reads, want 3", reads)
	}
}

// Guards against calls of every host to the platform for each change of a small configuration, and
// against a host that waits for a peer which doesn't answer.
func TestSmallBookIsAskedFromAPeerFirst(t *testing.T) {
	s := New(event.Host{ID: "e0"})
	s.SetPlatformFirst(true)
	now := ident.Time(time.Second)
	s.ApplySnapshot(now, event.SnapshotReceived{Book: bookAt(6)})
	ask := func() string {
		var out string
		for _, eff := range s.RevisionSeen(now, event.Host{ID: "e1"}, 7) {
			out += event.TypeName(eff)
		}
		return out
	}
	var got []string
	for _, wait := range []time.Duration{0, answerTimeout / 2, answerTimeout / 2, answerTimeout, maxAnswerTimeout} {
		now = now.Add(wait)
		got = append(got, ask())
	}
	if diff := cmp.Diff([]string{"askChanges", "", "readSnapshot", "", "askChanges"}, got); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
	s.ApplySnapshot(now, event.SnapshotReceived{From: "e1", Book: bookAt(7)})
	if effs := s.RevisionSeen(now, event.Host{ID: "e1"}, 7); len(effs) > 0 {
		t.Errorf("the revision in force is asked for: %v", effs)
	}
}

// Guards against a host that waits for a configuration which its peer announced just before it
// stopped, and which no other host can announce.
func TestPlatformIsReadWhenTheAnnouncingPeerIsGone(t *testing.T) {
	s := New(event.Host{ID: "e0"})
	s.SetPlatformFirst(true)
	now := ident.Time(time.Second)
	s.ApplySnapshot(now, event.SnapshotReceived{Book: bookAt(6)})
	s.RevisionSeen(now, event.Host{ID: "e1"}, 7)
	if next := s.NextTick(now); next != now.Add(answerTimeout) {
		t.Errorf("the next tick is due after %v, want %v", next.Sub(now), answerTimeout)
	}
	reads := 0
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for _, eff := range s.Tick(now, false) {
			if _, ok := eff.(event.ReadSnapshot); ok {
				reads++
			}
		}
		if now == ident.Time(time.Second).Add(answerTimeout) && reads != 1 {
			t.Fatalf("%d reads of the platform %v after the question", reads, answerTimeout)
		}
	}
	if reads != 1 {
		t.Errorf("%d reads of the platform for one revision, want 1", reads)
	}
}
