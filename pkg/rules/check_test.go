package rules

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/codes"
)

var update = flag.Bool("update", false, "write the golden files")

// checkCase is a configuration and the items of a change to it.
type checkCase struct {
	Book  []Item `json:"book"`
	Items []Item `json:"items"`
}

// Guards against a check whose messages differ from the golden files, and against a
// declared code that no golden case produces.
func TestChecks(t *testing.T) {
	dirs, err := filepath.Glob("testdata/*")
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	var all strings.Builder
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			all.WriteString(runCase(t, dir))
		})
	}
	for _, c := range codes.Profiles {
		if !strings.Contains(all.String(), "("+string(c.ID)+")") {
			t.Errorf("no case produces %s: %s", c.ID, c.Title)
		}
	}
}

func runCase(t *testing.T, dir string) string {
	text, err := os.ReadFile(filepath.Join(dir, "in.json"))
	if err != nil {
		t.Fatal(err)
	}
	var in checkCase
	if err := json.Unmarshal(text, &in); err != nil {
		t.Fatal(err)
	}
	book, err := (*Book)(nil).Apply(Change{Revision: 1, Items: in.Book})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, f := range CheckWith(book, in.Items) {
		b.WriteString(f.String() + "\n")
	}
	path := filepath.Join(dir, "want.txt")
	if *update {
		if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
	return b.String()
}

// Guards against two accounts that lose their keys when one change swaps them.
func TestKeysExchanged(t *testing.T) {
	text, err := os.ReadFile("testdata/swapped/in.json")
	if err != nil {
		t.Fatal(err)
	}
	var in checkCase
	if err := json.Unmarshal(text, &in); err != nil {
		t.Fatal(err)
	}
	book, err := (*Book)(nil).Apply(Change{Revision: 1, Items: in.Book})
	if err != nil {
		t.Fatal(err)
	}
	book, err = book.Apply(Change{Revision: 2, Items: in.Items})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range book.Clients() {
		got, _ := book.ClientByDigest(c.KeyDigest)
		if diff := cmp.Diff(c, got); diff != "" {
			t.Errorf("account by its key (-want +got):\n%s", diff)
		}
	}
}

// Guards against a snapshot that drops the revisions of items, after which
// conflicts go unnoticed.
func TestSnapshotRoundTrip(t *testing.T) {
	book, err := (*Book)(nil).Apply(Change{Revision: 1, ID: "c1", Items: []Item{
		{Kind: KindProfile, Name: "obituary", Doc: json.RawMessage(`{"models":[{"model":"draft"}],"twoOperators":true}`)},
		{Kind: KindAccount, Name: "foundation", Doc: json.RawMessage(`{"keyDigest":"d"}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	book, err = book.Apply(Change{Revision: 2, ID: "c2", Items: []Item{{Kind: KindAccount, Name: "foundation"}}})
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(book)
	if err != nil {
		t.Fatal(err)
	}
	got := &Book{}
	if err := json.Unmarshal(text, got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(book, got, cmp.AllowUnexported(Book{}, itemKey{})); diff != "" {
		t.Errorf("book (-want +got):\n%s", diff)
	}
}

// Guards against a change that one operator alone can use to remove the requirement
// for two, or to delete a profile that has it.
func TestNeedsApproval(t *testing.T) {
	guarded := Item{Kind: KindProfile, Name: "p", Doc: json.RawMessage(`{"service":"s","twoOperators":true}`)}
	plain := Item{Kind: KindProfile, Name: "p", Doc: json.RawMessage(`{"service":"s"}`)}
	book, err := (*Book)(nil).Apply(Change{Revision: 1, Items: []Item{guarded}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		book *Book
		item Item
		want bool
	}{
		{"new and plain", nil, plain, false},
		{"new and guarded", nil, guarded, true},
		{"guard removed", book, plain, true},
		{"guarded and deleted", book, Item{Kind: KindProfile, Name: "p"}, true},
		{"another profile", book, Item{Kind: KindProfile, Name: "q", Doc: plain.Doc}, false},
		{"an account of the same name", book, Item{Kind: KindAccount, Name: "p"}, false},
	} {
		if got := c.book.NeedsApproval([]Item{c.item}); got != c.want {
			t.Errorf("%s: want %v, got %v", c.name, c.want, got)
		}
	}
}
