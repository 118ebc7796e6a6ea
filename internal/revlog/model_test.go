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

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// model is the naive version: a list of the changes that were reported as accepted,
// without a store, hosts or failures.
type model struct {
	f     *fixture
	hosts []*Log
	books []*rules.Book
	bound map[ident.ChangeID]rules.Change
	doubt []rules.Change
	n     int
}

// write lets a host change one of three profiles, based on what it knows.
func (m *model) write(t *rapid.T) {
	h := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	name := ident.Profile("p" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "profile")))
	m.n++
	c := change(t, ident.ChangeID("c"+strconv.Itoa(m.n)), m.books[h].Rev(), name, m.n)
	m.send(t, h, c)
}

// again sends a change whose outcome is not known, through any host.
func (m *model) again(t *rapid.T) {
	if len(m.doubt) == 0 {
		t.Skip("nothing is in doubt")
	}
	c := m.doubt[0]
	m.doubt = m.doubt[1:]
	m.send(t, rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host"), c)
}

func (m *model) send(t *rapid.T, h int, c rules.Change) {
	done, err := m.hosts[h].Append(context.Background(), m.books[h], c)
	switch {
	case err == nil:
		if old, ok := m.bound[c.ID]; ok && old.Revision != done.Revision {
			t.Fatalf("change %s reported as revision %d and as %d", c.ID, old.Revision, done.Revision)
		}
		m.bound[c.ID] = done
	case errors.Is(err, ErrUnknown):
		m.doubt = append(m.doubt, c)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable):
		if _, ok := m.bound[c.ID]; ok {
			t.Fatalf("change %s reported as accepted, then: %v", c.ID, err)
		}
	default:
		t.Fatalf("change %s: %v", c.ID, err)
	}
}

// read lets a host go on in the log, and reload reads it all as after a start.
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

func (m *model) fault(t *rapid.T) {
	m.f.srv.SetFaults(plat.Faults{
		LoseNext:  rapid.IntRange(0, 2).Draw(t, "lose"),
		DownAfter: rapid.IntRange(0, 4).Draw(t, "downAfter"),
	})
}

func (m *model) heal(*rapid.T) { m.f.srv.SetFaults(plat.Faults{}) }

// check compares every host with the naive list, cut at the host's revision.
func (m *model) check(t *rapid.T) {
	seen := map[ident.ChangeID]ident.Revision{}
	want := &rules.Book{}
	images := []string{image(t, want)}
	for rev := ident.Revision(1); ; rev++ {
		c, ok := m.listed(t, rev)
		if !ok {
			break
		}
		if at, twice := seen[c.ID]; twice {
			t.Fatalf("change %s stands at revision %d and at %d", c.ID, at, rev)
		}
		seen[c.ID] = rev
		next, err := want.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		want = next
		images = append(images, image(t, want))
	}
	for id, c := range m.bound {
		if seen[id] != c.Revision {
			t.Fatalf("change %s was reported as revision %d and stands at %d", id, c.Revision, seen[id])
		}
	}
	for h, b := range m.books {
		if image(t, b) != images[b.Rev()] {
			t.Fatalf("host %d at revision %d differs from the list", h, b.Rev())
		}
	}
}

// listed reads the stand-in's own memory, past all faults.
func (m *model) listed(t *rapid.T, rev ident.Revision) (rules.Change, bool) {
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

// Lost replies and outages undo an accepted change, or make it twice.
func TestLogAgainstList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		m := &model{f: f, bound: map[ident.ChangeID]rules.Change{}}
		for range 3 {
			m.hosts = append(m.hosts, f.log())
			m.books = append(m.books, &rules.Book{})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"write": m.write, "again": m.again, "read": m.read,
			"restart": m.restart, "fault": m.fault, "heal": m.heal, "": m.check,
		})
	})
}
