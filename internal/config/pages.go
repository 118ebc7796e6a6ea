package config

import (
	"fmt"
	"reflect"
	"strings"

	"verbenadale.example/verbenadale/pkg/codes"
)

// Page returns docs/settings.md, made from the declared fields.
func Page() string {
	var b strings.Builder
	b.WriteString(`# Settings of an entry host

The settings file is JSON with comments; commas after the last element are
allowed. ` + "`verbenadale check FILE`" + ` lists every fault with its line and what to
write instead, and exits with 1 if there is any. Unknown fields are faults.

This page is written by ` + "`go run ./cmd/verbenadale docs`" + ` from the same
declarations as the checks.

| field | for | takes | default | fault |
|---|---|---|---|---|
`)
	for _, f := range Fields {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Path, f.Text, f.Accepts, f.defaultText(), f.code.ID)
	}
	b.WriteString("\nTowards callers `certFile` and `keyFile` go together. Towards other entry hosts\n`certFile`, `keyFile` and `caFile` do, or `plain` stands alone for development.\n")
	return b.String()
}

// defaultText returns the default of a field in words.
func (f Field) defaultText() string {
	if f.Required {
		return "required"
	}
	v := reflect.ValueOf(Defaults())
	for name := range strings.SplitSeq(f.Path, ".") {
		if strings.HasSuffix(name, "[]") {
			return "none"
		}
		v = v.FieldByIndex(fieldNames(v.Type())[name].Index)
	}
	if v.Kind() == reflect.String && v.Len() == 0 {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

// CodesPage returns docs/codes.md, made from the declared codes.
func CodesPage() string {
	var b strings.Builder
	b.WriteString(`# Codes

Every code that callers and operators are shown. ` + "`verbenadale explain CODE`" + ` and
` + "`verbctl explain CODE`" + ` print the same text. A code keeps its meaning for ever.

This page is written by ` + "`go run ./cmd/verbenadale docs`" + ` from the declarations
in ` + "`pkg/codes`" + `.

VB1 are refusals, VB2 routing filters, VB3 checks of settings, VB4 checks of
profiles and accounts, VB5 promises, VB6 mechanisms that answer a load.

`)
	for _, c := range codes.All() {
		fmt.Fprintf(&b, "## %s: %s\n\n%s\n\n", c.ID, c.Title, c.Text)
		fmt.Fprintf(&b, "Since %s, %s", c.Since, c.Severity)
		if c.Status != 0 {
			fmt.Fprintf(&b, ", HTTP status %d", c.Status)
		}
		if c.Wait {
			b.WriteString(", with `Retry-After`")
		}
		b.WriteString(".\n\n")
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}
