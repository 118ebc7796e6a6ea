package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// A replay stops at the first event or effect whose type is missing from the tables.
func TestEveryTypeIsRecorded(t *testing.T) {
	want := declaredTypes(t)
	got := value.SetOf[string]()
	for name := range eventTypes {
		got.Add("isEvent " + name)
	}
	for name := range effectTypes {
		got.Add("isEffect " + name)
	}
	if diff := cmp.Diff(want.Sorted(), got.Sorted()); diff != "" {
		t.Errorf("recorded types (-declared +recorded):\n%s", diff)
	}
}

// declaredTypes parses the sources for the receivers of isEvent and isEffect.
func declaredTypes(t *testing.T) value.Set[string] {
	t.Helper()
	names := value.SetOf[string]()
	for _, file := range []string{"member.go", "request.go", "system.go", "effect.go"} {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok || fn.Recv == nil || !strings.HasPrefix(fn.Name.Name, "is") {
				continue
			}
			name := fn.Recv.List[0].Type.(*ast.Ident).Name
			names.Add(fn.Name.Name + " " + strings.ToLower(name[:1]) + name[1:])
		}
	}
	return names
}

func TestRecordRoundTrip(t *testing.T) {
	at := ident.Time(42)
	events := []Event{
		RequestArrived{Request: Request{
			ID: "r1", Profile: "p", Prefix: []uint64{1 << 63, 2}, Deadline: 7,
			Envelope: value.Some(Envelope{Attempt: ident.Attempt{Entry: "e", Incarnation: 3, Number: 4}, Crossings: 1}),
		}},
		Tick{},
		ChangesReceived{Changes: []rules.Change{{Revision: 1, ID: "c", Items: []rules.Item{{Kind: rules.KindProfile, Name: "p", Doc: []byte(`{"maxCrossings":1}`)}}}}},
		DigestReceived{Digest: Digest{Seq: 9, Loads: []Load{{Target: "t", Age: time.Second}}}},
	}
	for _, ev := range events {
		line, err := EncodeEvent(at, ev)
		if err != nil {
			t.Fatal(err)
		}
		gotAt, got, err := DecodeEvent(line)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(ev, got, cmp.AllowUnexported(value.Option[Envelope]{})); diff != "" || gotAt != at {
			t.Errorf("%s at %d (-want +got):\n%s", TypeName(ev), gotAt, diff)
		}
	}
}

func TestUnknownRecordIsRefused(t *testing.T) {
	for _, line := range []string{`{"type":"noSuchThing","body":{}}`, `{"type":"tick"`, ``} {
		if _, _, err := DecodeEvent([]byte(line)); err == nil {
			t.Errorf("no error for %q", line)
		}
	}
}
