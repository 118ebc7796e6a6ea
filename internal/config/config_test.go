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

// Guards against a host that doesn't start, or ignores a bound, because the platform writes the
// number in another form.
func TestBoundForms(t *testing.T) {
	const head = `{"entry": "a", "dataCentre": "a", "region": "a", "callers": {"listen": "127.0.0.1:1"}, "peers": {"listen": "127.0.0.1:2", "plain": true},
		"operators": {"listen": "127.0.0.1:3"}, "platform": {"url": "http://127.0.0.1:4"}, "fleet": {"retryFloor": `
	type result struct {
		Value  Bound
		Faults int
		Usable bool
	}
	for text, want := range map[string]result{
		"230": {230, 0, true}, "18.4": {18.4, 0, true}, "2.3e2": {230, 0, true}, "2E1": {20, 0, true}, "0": {0, 0, true}, "-0": {0, 0, true},
		`"230"`: {230, 0, true}, `"18.4"`: {18.4, 0, true}, `"2.3e+02"`: {230, 0, true}, `" 7 "`: {7, 0, true}, `".5"`: {.5, 0, true},
		"null": {0, 0, true}, `""`: {0, 0, true},
		"123456789012345678901234567890": {1e6, 1, true}, "1e999": {1e6, 1, true}, `"Infinity"`: {1e6, 1, true}, "1000000": {1e6, 0, true},
		"-1": {0, 1, true}, "-1e999": {0, 1, true}, `"NaN"`: {0, 1, true}, "true": {0, 1, true}, `"many"`: {0, 1, true}, "{}": {0, 1, true}, "[1]": {0, 1, true},
	} {
		set, faults := Parse([]byte(head + text + "}}"))
		got := result{set.Fleet.RetryFloor, len(faults), Usable(faults)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s%v", text, diff, faults)
		}
	}
}

// Guards against a fault outside the bounds that no longer stops a host.
func TestOtherFaultsAreFatal(t *testing.T) {
	_, faults := Parse([]byte(`{"fleet": {"retryFloor": true}}`))
	if Usable(faults) {
		t.Errorf("settings without a name and addresses are usable: %v", faults)
	}
}
