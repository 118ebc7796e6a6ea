package revlog

import (
	"context"
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// TestMain fixes the seed so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// model runs several hosts against one store with injected faults, and records
// what Append reported for each change.
type model struct {
	f        *fixture
	hosts    []*Log
	books    []*rules.Book
	accepted map[ident.ChangeID]rules.Change
	unknown  []rules.Change
	n        int
}

// write changes one of three profiles at a random host, based on the host's
// revision.
func (m *model) write(t *rapid.T) {
	h := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	name := ident.Profile("p" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "profile")))
	m.n++
	c := change(t, ident.ChangeID("c"+strconv.Itoa(m.n)), m.books[h].Rev(), name, m.n)
	m.send(t, h, c)
}

// resend sends a change of unknown outcome through a random host.
func (m *model) resend(t *rapid.T) {
	if len(m.unknown) == 0 {
		t.Skip("no change has an unknown outcome")
	}
	c := m.unknown[0]
	m.unknown = m.unknown[1:]
	m.send(t, rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host"), c)
}

func (m *model) send(t *rapid.T, h int, c rules.Change) {
	done, err := m.hosts[h].Append(context.Background(), m.books[h], c)
	switch {
	case err == nil:
		if old, ok := m.accepted[c.ID]; ok && old.Revision != done.Revision {
			t.Fatalf("change %s reported as revision %d and as %d", c.ID, old.Revision, done.Revision)
		}
		m.accepted[c.ID] = done
	case errors.Is(err, ErrUnknown):
		m.unknown = append(m.unknown, c)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable):
		if _, ok := m.accepted[c.ID]; ok {
			t.Fatalf("change %s reported as accepted, then: %v", c.ID, err)
		}
	default:
		t.Fatalf("change %s: %v", c.ID, err)
	}
}

// read lets a host apply the next change of the log.
func (m *model) read(t *rapid.T) {
	h := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	c, err := m.hosts[h].Next(context.Background(), m.books[h].Rev(), time.Millisecond)
	if err != nil {
		return
	}
	next, err := m.books[h].Apply(c)
	if err != nil {
		t.Fatalf("host %d at revision %d: %v", h, m.books[h].Rev(), err)
	}
	m.books[h] = next
}

// restart replaces a host by a new one that loads the log.
func (m *model) restart(t *rapid.T) {
	h := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	lg := m.f.log()
	book, err := lg.Load(context.Background())
	if err != nil {
		return
	}
	m.hosts[h] = lg
	m.books[h] = book
}

func (m *model) injectFaults(t *rapid.T) {
	m.f.srv.SetFaults(plat.Faults{
		LoseNext:  rapid.IntRange(0, 2).Draw(t, "lose"),
		DownAfter: rapid.IntRange(0, 4).Draw(t, "downAfter"),
	})
}

func (m *model) clearFaults(*rapid.T) { m.f.srv.SetFaults(plat.Faults{}) }

// check compares every host with the log up to the host's revision, and the log
// with the changes that were reported as accepted.
func (m *model) check(t *rapid.T) {
	seen := map[ident.ChangeID]ident.Revision{}
	want := &rules.Book{}
	encodedBooks := []string{encodedBook(t, want)}
	for rev := ident.Revision(1); ; rev++ {
		c, ok := m.logged(t, rev)
		if !ok {
			break
		}
		if at, twice := seen[c.ID]; twice {
			t.Fatalf("change %s is in the log at revision %d and at %d", c.ID, at, rev)
		}
		seen[c.ID] = rev
		next, err := want.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		want = next
		encodedBooks = append(encodedBooks, encodedBook(t, want))
	}
	for id, c := range m.accepted {
		if seen[id] != c.Revision {
			t.Fatalf("change %s was reported as revision %d and is in the log at %d", id, c.Revision, seen[id])
		}
	}
	for h, b := range m.books {
		if encodedBook(t, b) != encodedBooks[b.Rev()] {
			t.Fatalf("host %d at revision %d differs from the log", h, b.Rev())
		}
	}
}

// logged reads a change directly from the memory of the fake store, unaffected by
// injected faults.
func (m *model) logged(t *rapid.T, rev ident.Revision) (rules.Change, bool) {
	v, ok := m.f.srv.Peek(changeKey(rev))
	if !ok {
		return rules.Change{}, false
	}
	c, err := (&Log{recent: map[ident.Revision]rules.Change{}}).decode(rev, v)
	if err != nil {
		t.Fatal(err)
	}
	return c, true
}

// Guards against lost replies and outages that undo an accepted change or write it
// twice.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		m := &model{f: f, accepted: map[ident.ChangeID]rules.Change{}}
		for range 3 {
			m.hosts = append(m.hosts, f.log())
			m.books = append(m.books, &rules.Book{})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"write": m.write, "again": m.resend, "read": m.read,
			"restart": m.restart, "fault": m.injectFaults, "heal": m.clearFaults, "": m.check,
		})
	})
}
