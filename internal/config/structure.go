package config

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"verbenadale.example/verbenadale/pkg/codes"
)

// structure checks a parsed file against the type of the settings. It reports
// unknown fields, duplicate fields and values of the wrong type, removes them
// from the tree so that the rest can still be read and checked, and records the
// line of each field.
type structure struct {
	text   []byte
	lines  map[string]int
	faults []Fault
	// rejected holds the paths of faulty fields. Most of these were removed from the tree.
	rejected map[string]bool
}

func (s *structure) lineAt(offset int) int {
	return 1 + bytes.Count(s.text[:min(offset, len(s.text))], []byte("\n"))
}

func (s *structure) addFault(c codes.Code, path string, line int, format string, args ...any) {
	s.rejected[path] = true
	if path == "" {
		path = "file"
	}
	s.faults = append(s.faults, Fault{Code: c.ID, Path: path, Line: line, Message: fmt.Sprintf(format, args...)})
}

// walkValue checks a value and those within it, and reports whether it stays in
// the tree.
func (s *structure) walkValue(v *hujson.Value, t reflect.Type, path string) bool {
	if t == reflect.TypeFor[Bound]() {
		return s.walkBound(v, path)
	}
	line := s.lineAt(v.StartOffset)
	s.lines[path] = line
	if want := typeName(t); !matchesType(v, t) {
		s.addFault(codes.SettingType, path, line, "write %s", want)
		return false
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		s.walkObject(x, t, path)
	case *hujson.Array:
		for i := range x.Elements {
			if !s.walkValue(&x.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i)) {
				x.Elements[i].Value = hujson.Literal("null")
			}
		}
	}
	return true
}

func (s *structure) walkObject(o *hujson.Object, t reflect.Type, path string) {
	names := fieldNames(t)
	seen := map[string]bool{}
	keep := o.Members[:0]
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		line := s.lineAt(m.Name.StartOffset)
		f, ok := names[name]
		switch {
		case !ok:
			s.addFault(codes.SettingUnknown, at, line, "%s", suggestName(name, names))
		case seen[name]:
			s.addFault(codes.SettingTwice, at, line, "leave one of the two out")
		case s.walkValue(&m.Value, f.Type, at):
			keep = append(keep, m)
		}
		seen[name] = true
	}
	o.Members = keep
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(t reflect.Type) map[string]reflect.StructField {
	names := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		names[f.Tag.Get("json")] = f
	}
	return names
}

// typeName describes the values of a type, for the message of a fault.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func matchesType(v *hujson.Value, t reflect.Type) bool {
	k := v.Value.Kind()
	switch t.Kind() {
	case reflect.Struct:
		return k == '{'
	case reflect.Slice:
		return k == '[' || k == 'n'
	case reflect.String:
		return k == '"'
	case reflect.Bool:
		return k == 't' || k == 'f'
	case reflect.Float64:
		return k == '0'
	}
	return k == '0' && !strings.ContainsAny(string(v.Value.(hujson.Literal)), ".eE") && len(v.Value.(hujson.Literal)) < maxDigits
}

// maxDigits is the length at which whole numbers are rejected: shorter ones fit 64 bits.
const maxDigits = 19

// suggestName suggests a replacement for an unknown field.
func suggestName(name string, names map[string]reflect.StructField) string {
	best, minDistance := "", len(name)/2+1
	known := make([]string, 0, len(names))
	for n := range names {
		known = append(known, n)
	}
	slices.Sort(known)
	for _, n := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(n)); d < minDistance {
			best, minDistance = n, d
		}
	}
	if best != "" {
		return "write " + best + ", or leave it out"
	}
	return "leave it out; the fields here are " + strings.Join(known, ", ")
}

// editDistance returns the number of bytes to insert, delete or replace to turn
// a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
