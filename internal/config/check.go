package config

import (
	"fmt"
	"reflect"
	"strings"

	"verbenadale.example/verbenadale/pkg/codes"
)

// checker checks the values of settings whose shape has been walked.
type checker struct {
	*shape
	set Settings
}

func (c *checker) check() {
	if c.bad[""] {
		return
	}
	for _, f := range Fields {
		c.each(reflect.ValueOf(c.set), "", f.Path, f)
	}
	c.callersTLS()
	c.peersTLS()
	c.endpoint()
	c.listeners()
	c.names()
}

// each goes down the path of a field, through every element of a list.
func (c *checker) each(v reflect.Value, at, path string, f Field) {
	if c.bad[at] {
		return
	}
	name, rest, more := strings.Cut(path, ".")
	name, list := strings.CutSuffix(name, "[]")
	next := v.FieldByIndex(fieldNames(v.Type())[name].Index)
	at = join(at, name)
	switch {
	case !more && list && !c.bad[at]:
		for i := range next.Len() {
			c.one(next.Index(i), fmt.Sprintf("%s[%d]", at, i), f)
		}
	case !more:
		c.one(next, at, f)
	case list && !c.bad[at]:
		for i := range next.Len() {
			c.each(next.Index(i), fmt.Sprintf("%s[%d]", at, i), rest, f)
		}
	case !list:
		c.each(next, at, rest, f)
	}
}

// one checks one value. An empty string stands for a field that was left out.
func (c *checker) one(v reflect.Value, at string, f Field) {
	if c.bad[at] {
		return
	}
	if v.Kind() == reflect.String && v.Len() == 0 {
		if f.Required {
			c.fault(codes.SettingMissing, at, c.near(at), "write %s", f.Write)
		}
		return
	}
	if f.ok != nil && !f.ok(v) {
		c.fault(f.code, at, c.near(at), "write %s", f.Write)
	}
}

// near returns the line of a field, or of what it should stand in.
func (c *checker) near(at string) int {
	for at != "" {
		if n, ok := c.lines[at]; ok {
			return n
		}
		at = at[:max(strings.LastIndex(at, "."), 0)]
	}
	return max(c.lines[""], 1)
}

func (c *checker) callersTLS() {
	if (c.set.Callers.CertFile == "") != (c.set.Callers.KeyFile == "") {
		c.fault(codes.SettingTLS, "callers", c.near("callers"), "write certFile and keyFile, or neither")
	}
}

func (c *checker) peersTLS() {
	p := c.set.Peers
	n := 0
	for _, f := range []string{p.CertFile, p.KeyFile, p.CAFile} {
		if f != "" {
			n++
		}
	}
	const trio = 3
	switch {
	case c.bad["peers"] || c.bad["peers.plain"]:
	case p.Plain && n > 0:
		c.fault(codes.SettingTLS, "peers", c.near("peers"), "write either plain or certFile, keyFile and caFile")
	case !p.Plain && n < trio:
		c.fault(codes.SettingTLS, "peers", c.near("peers"), "write certFile, keyFile and caFile, or plain for development")
	}
}

func (c *checker) endpoint() {
	if t := c.set.Traces; t.Exporter == "otlp" && t.Endpoint == "" && !c.bad["traces.endpoint"] {
		c.fault(codes.SettingMissing, "traces.endpoint", c.near("traces.endpoint"), "write the base URL of the collector")
	}
}

func (c *checker) listeners() {
	seen := map[string]string{}
	for _, l := range []struct{ path, addr string }{
		{"callers.listen", c.set.Callers.Listen},
		{"peers.listen", c.set.Peers.Listen},
		{"operators.listen", c.set.Operators.Listen},
	} {
		c.distinct(seen, l.path, l.addr)
	}
}

func (c *checker) names() {
	seeds, ops := map[string]string{}, map[string]string{}
	for i, s := range c.set.Peers.Seeds {
		c.distinct(seeds, fmt.Sprintf("peers.seeds[%d].entry", i), string(s.Entry))
	}
	for i, o := range c.set.Operators.Known {
		c.distinct(ops, fmt.Sprintf("operators.known[%d].name", i), string(o.Name))
	}
}

func (c *checker) distinct(seen map[string]string, path, val string) {
	if val == "" || c.bad[path] {
		return
	}
	if other, ok := seen[val]; ok {
		c.fault(codes.SettingClash, path, c.near(path), "write another value than at %s", other)
		return
	}
	seen[val] = path
}
