package config

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/codes"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against a fault of a settings file that is not reported, such as all but the
// first of several.
func TestFaults(t *testing.T) {
	dirs, err := filepath.Glob("testdata/*/in.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	all := ""
	for _, in := range dirs {
		t.Run(filepath.Base(filepath.Dir(in)), func(t *testing.T) {
			_, faults, err := Load(in)
			if err != nil {
				t.Fatal(err)
			}
			text := ""
			for _, f := range faults {
				text += f.String() + "\n"
			}
			golden(t, filepath.Join(filepath.Dir(in), "want.txt"), text)
			all += text
		})
	}
	for _, c := range codes.Settings {
		if !strings.Contains(all, string(c.ID)) {
			t.Errorf("no case in testdata reports code %s", c.ID)
		}
	}
}

func golden(t *testing.T, file, text string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), text); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}

// Guards against a settings field that is in the Settings type but not in Fields, or the
// reverse.
func TestFieldsDeclared(t *testing.T) {
	declared := map[string]bool{}
	for _, f := range Fields {
		declared[f.Path] = true
	}
	if diff := cmp.Diff(leaves(reflect.TypeFor[Settings](), ""), declared); diff != "" {
		t.Errorf("fields (-read +declared):\n%s", diff)
	}
}

func leaves(typ reflect.Type, path string) map[string]bool {
	switch typ.Kind() {
	case reflect.Slice:
		return leaves(typ.Elem(), path+"[]")
	case reflect.Struct:
		all := map[string]bool{}
		for name, f := range fieldNames(typ) {
			for p := range leaves(f.Type, join(path, name)) {
				all[p] = true
			}
		}
		return all
	}
	return map[string]bool{path: true}
}

// Guards against Parse panicking on some input, accepting settings without their
// required fields, or reporting a fault without a code or message.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*/in.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		set, faults := Parse(text)
		if len(faults) == 0 && (set.Entry == "" || set.Callers.Listen == "") {
			t.Errorf("accepted without required fields: %q", text)
		}
		for _, f := range faults {
			if f.Message == "" || f.Code == "" {
				t.Errorf("fault without a message or code: %+v", f)
			}
		}
	})
}
