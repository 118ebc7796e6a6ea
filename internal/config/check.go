package config

import (
	"fmt"
	"reflect"
	"strings"

	"verbenadale.example/verbenadale/pkg/codes"
)

// checker checks the values of settings whose structure has been checked.
type checker struct {
	*structure
	set Settings
}

func (c *checker) check() {
	if c.rejected[""] {
		return
	}
	for _, f := range Fields {
		c.checkField(reflect.ValueOf(c.set), "", f.Path, f)
	}
	c.checkCallersTLS()
	c.checkPeersTLS()
	c.checkEndpoint()
	c.checkDistinctListeners()
	c.checkDistinctNames()
}

// checkField follows the path of a field through every element of a list and checks
// each value found.
func (c *checker) checkField(v reflect.Value, at, path string, f Field) {
	if c.rejected[at] {
		return
	}
	name, rest, more := strings.Cut(path, ".")
	name, list := strings.CutSuffix(name, "[]")
	next := v.FieldByIndex(fieldNames(v.Type())[name].Index)
	at = join(at, name)
	switch {
	case !more && list && !c.rejected[at]:
		for i := range next.Len() {
			c.checkValue(next.Index(i), fmt.Sprintf("%s[%d]", at, i), f)
		}
	case !more:
		c.checkValue(next, at, f)
	case list && !c.rejected[at]:
		for i := range next.Len() {
			c.checkField(next.Index(i), fmt.Sprintf("%s[%d]", at, i), rest, f)
		}
	case !list:
		c.checkField(next, at, rest, f)
	}
}

// checkValue checks one value. An empty string means that the field is absent.
func (c *checker) checkValue(v reflect.Value, at string, f Field) {
	if c.rejected[at] {
		return
	}
	if v.Kind() == reflect.String && v.Len() == 0 {
		if f.Required {
			c.addFault(codes.SettingMissing, at, c.nearestLine(at), "write %s", f.Accepts)
		}
		return
	}
	if f.ok != nil && !f.ok(v) {
		c.addFault(f.code, at, c.nearestLine(at), "write %s", f.Accepts)
	}
}

// nearestLine returns the line of a field, or of the nearest enclosing object if
// the field is absent.
func (c *checker) nearestLine(at string) int {
	for at != "" {
		if n, ok := c.lines[at]; ok {
			return n
		}
		at = at[:max(strings.LastIndex(at, "."), 0)]
	}
	return max(c.lines[""], 1)
}

func (c *checker) checkCallersTLS() {
	if (c.set.Callers.CertFile == "") != (c.set.Callers.KeyFile == "") {
		c.addFault(codes.SettingTLS, "callers", c.nearestLine("callers"), "write certFile and keyFile, or neither")
	}
}

func (c *checker) checkPeersTLS() {
	p := c.set.Peers
	n := 0
	for _, f := range []string{p.CertFile, p.KeyFile, p.CAFile} {
		if f != "" {
			n++
		}
	}
	const tlsFiles = 3
	switch {
	case c.rejected["peers"] || c.rejected["peers.plain"]:
	case p.Plain && n > 0:
		c.addFault(codes.SettingTLS, "peers", c.nearestLine("peers"), "write either plain or certFile, keyFile and caFile")
	case !p.Plain && n < tlsFiles:
		c.addFault(codes.SettingTLS, "peers", c.nearestLine("peers"), "write certFile, keyFile and caFile, or plain for development")
	}
}

func (c *checker) checkEndpoint() {
	if t := c.set.Traces; t.Exporter == "otlp" && t.Endpoint == "" && !c.rejected["traces.endpoint"] {
		c.addFault(codes.SettingMissing, "traces.endpoint", c.nearestLine("traces.endpoint"), "write the base URL of the collector")
	}
}

func (c *checker) checkDistinctListeners() {
	seen := map[string]string{}
	for _, l := range []struct{ path, addr string }{
		{"callers.listen", c.set.Callers.Listen},
		{"peers.listen", c.set.Peers.Listen},
		{"operators.listen", c.set.Operators.Listen},
	} {
		c.checkDistinct(seen, l.path, l.addr)
	}
}

func (c *checker) checkDistinctNames() {
	seeds, ops := map[string]string{}, map[string]string{}
	for i, s := range c.set.Peers.Seeds {
		c.checkDistinct(seeds, fmt.Sprintf("peers.seeds[%d].entry", i), string(s.Entry))
	}
	for i, o := range c.set.Operators.Known {
		c.checkDistinct(ops, fmt.Sprintf("operators.known[%d].name", i), string(o.Name))
	}
}

func (c *checker) checkDistinct(seen map[string]string, path, val string) {
	if val == "" || c.rejected[path] {
		return
	}
	if other, ok := seen[val]; ok {
		c.addFault(codes.SettingClash, path, c.nearestLine(path), "write another value than at %s", other)
		return
	}
	seen[val] = path
}
