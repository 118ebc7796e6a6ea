package config

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"verbenadale.example/verbenadale/pkg/codes"
)

// Bound is a number that the platform fills in. It may be a whole number or a fraction, with or
// without an exponent, in quotes or not; null and an empty string mean that there is none. Any
// other value, and one out of range, is a fault with which the host starts all the same.
type Bound float64

// boundRange is the range of a bound. A number above it is used as high; any other value that can't
// be used is replaced by the default of the field.
type boundRange struct{ low, high float64 }

// walkBound checks a bound and reports whether it stays in the tree. It replaces the value by the
// number that is used.
func (s *structure) walkBound(v *hujson.Value, path string) bool {
	line := s.lineAt(v.StartOffset)
	s.lines[path] = line
	lit, ok := v.Value.(hujson.Literal)
	text := strings.TrimSpace(boundText(lit))
	if ok && text == "" {
		return false
	}
	r := boundRanges[path]
	x, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrRange) {
		// x is infinite and thus out of the range of the bound too.
		err = nil
	}
	switch {
	case !ok || err != nil || math.IsNaN(x) || x < r.low:
		s.addFault(codes.SettingBound, path, line, "write %s to %s; the default is used", formatNumber(r.low), formatNumber(r.high))
		return false
	case x > r.high:
		s.addFault(codes.SettingBound, path, line, "write %s to %s; %s is used", formatNumber(r.low), formatNumber(r.high), formatNumber(r.high))
		x = r.high
	}
	v.Value = hujson.Float(x)
	return true
}

// boundText returns the digits of a bound: the literal itself, or what its quotes contain.
func boundText(lit hujson.Literal) string {
	switch lit.Kind() {
	case 'n':
		return ""
	case '"':
		return lit.String()
	}
	return string(lit)
}
