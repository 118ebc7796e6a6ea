// Package value provides small generic value types: sets and options.
//
// # Usage
//
//	regions := value.SetOf[ident.Region]("uvs", "khovd")
//	if regions.Has(r) { ... }
//
//	home := value.Some(ident.Region("uvs"))
//	if r, ok := home.Get(); ok { ... }
package value

import (
	"cmp"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

// Set is a set of ordered values. A nil Set is empty and can be read. The JSON
// form is a sorted array.
type Set[T cmp.Ordered] map[T]struct{}

// SetOf returns a set of the given values.
func SetOf[T cmp.Ordered](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether v is in s.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Add adds v to s, which must not be nil.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// With returns a copy of s with v added.
func (s Set[T]) With(v T) Set[T] {
	out := make(Set[T], len(s)+1)
	maps.Copy(out, s)
	out.Add(v)
	return out
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T {
	vs := make([]T, 0, len(s))
	for v := range s {
		vs = append(vs, v)
	}
	slices.Sort(vs)
	return vs
}

// MarshalJSON encodes s as a sorted array.
func (s Set[T]) MarshalJSON() ([]byte, error) { return json.Marshal(s.Sorted()) }

// UnmarshalJSON decodes an array.
func (s *Set[T]) UnmarshalJSON(b []byte) error {
	var vs []T
	if err := json.Unmarshal(b, &vs); err != nil {
		return err
	}
	*s = SetOf(vs...)
	return nil
}

// Option is a value that may be absent. The zero Option is absent. The JSON
// form is the value or null.
type Option[T any] struct {
	v  T
	ok bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{v: v, ok: true} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.v, o.ok }

// Or returns the value, or v if it is absent.
func (o Option[T]) Or(v T) T {
	if !o.ok {
		return v
	}
	return o.v
}

// Equal reports whether both are absent or hold deeply equal values.
func (o Option[T]) Equal(p Option[T]) bool { return o.ok == p.ok && reflect.DeepEqual(o.v, p.v) }

// MarshalJSON encodes the value or null.
func (o Option[T]) MarshalJSON() ([]byte, error) {
	if !o.ok {
		return []byte("null"), nil
	}
	return json.Marshal(o.v)
}

// UnmarshalJSON decodes the value or null.
func (o *Option[T]) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		*o = Option[T]{}
		return nil
	}
	if err := json.Unmarshal(b, &o.v); err != nil {
		return err
	}
	o.ok = true
	return nil
}
