package revlog

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/internal/group"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// follower reads the log from rev up to the revision to, as the host of a data
// centre that watches the store does.
type follower struct {
	lg  *Log
	rev ident.Revision
	to  ident.Revision
}

func (f *follower) run() error {
	for f.rev < f.to {
		c, err := f.lg.Next(context.Background(), f.rev, time.Minute)
		if err != nil {
			return err
		}
		f.rev = c.Revision
	}
	return nil
}

// Guards against a change that costs more than one write, and one watch for each
// data centre. -v prints the figures.
func TestPlatformCalls(t *testing.T) {
	const changes = 10
	for _, watchers := range []int{1, 3, 45} {
		f := newFixture(t)
		var all group.Group
		for range watchers {
			fl := &follower{lg: f.log(), to: changes}
			all.Go(fl.run)
		}
		lg := f.log()
		book := &rules.Book{}
		for n := range changes {
			c, err := lg.Append(context.Background(), book, change(t, ident.ChangeID(fmt.Sprint("c", n)), book.Rev(), "obituary", n))
			if err != nil {
				t.Fatal(err)
			}
			if book, err = book.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		if err := all.Join(); err != nil {
			t.Fatal(err)
		}
		want := plat.Counts{"put": changes, "watch": changes * watchers}
		wantSame(t, "calls", want, f.srv.Counts())
		t.Logf("watchers %2d: calls for %d changes: %v", watchers, changes, f.srv.Counts())
	}
}

// Guards against a snapshot that is too large for a value of the store, with as
// many accounts and profiles as the system is meant for. -v prints the sizes.
func TestSizes(t *testing.T) {
	const accounts, profiles = 890, 30
	var items []rules.Item
	for n := range profiles {
		p := rules.Profile{
			Name: ident.Profile(fmt.Sprintf("deployment/profile-%02d", n)), Models: []rules.Serve{{Model: "draft", Version: "2026-11", Adapter: "lineage"}},
			Regions: []ident.Region{"ulaanbaatar", "erdenet", "khovd"}, MaxCrossings: 1, Weights: rules.Weights{Tail: 1, Cost: 2, Crossing: 0.5}, DeadlineMs: 30000,
		}
		items = append(items, profileItem(t, p))
	}
	for n := range accounts {
		c := rules.Client{
			Name: ident.Account(fmt.Sprintf("organisation/account-%03d", n)), KeyDigest: rules.Digest(fmt.Sprint(n)), Home: "ulaanbaatar",
			Profiles: []ident.Profile{"deployment/profile-01", "deployment/profile-02"}, RequestsPerMinute: 600, TokensPerMinute: 200000,
		}
		doc, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, rules.Item{Kind: rules.KindAccount, Name: string(c.Name), Doc: doc})
	}
	book, err := (*rules.Book)(nil).Apply(rules.Change{Revision: 1, ID: sampleID, Items: items})
	if err != nil {
		t.Fatal(err)
	}
	changeSize := func(n int) int {
		c := rules.Change{Revision: 8400, ID: sampleID, Base: 8399, Operator: "operator", At: time.Unix(1_700_000_000, 0).UTC(), Note: "a note of usual length", Items: items[n : n+1]}
		return len(encoded(t, c))
	}
	snapshot := len(encodedBook(t, book))
	t.Logf("change of a profile %d bytes, of an account %d bytes, snapshot of %d accounts and %d profiles %d bytes",
		changeSize(0), changeSize(profiles), accounts, profiles, snapshot)
	if snapshot > store.MaxValue/2 {
		t.Errorf("a snapshot of %d bytes is more than half of the maximum value size of the store", snapshot)
	}
}

// sampleID is an id of typical length.
const sampleID ident.ChangeID = "0123456789abcdef01234567"

func encoded(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
