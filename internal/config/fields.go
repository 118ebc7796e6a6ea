package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"regexp"

	"verbenadale.example/verbenadale/pkg/codes"
)

// Field is one declared field of the settings. The checks and the page of the
// settings are both made from it.
type Field struct {
	// Path names the field; [] stands for each element of a list.
	Path string
	// Text says what the field is for.
	Text     string
	Required bool
	// Write says what to write, and code which fault another value is.
	Write string
	code  codes.Code
	ok    func(v reflect.Value) bool
}

// rule is how a value is checked.
type rule struct {
	code  codes.Code
	write string
	ok    func(v reflect.Value) bool
}

func field(path, text string, r rule) Field {
	return Field{Path: path, Text: text, Write: r.write, code: r.code, ok: r.ok}
}

func required(path, text string, r rule) Field {
	f := field(path, text, r)
	f.Required = true
	return f
}

var nameShape = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

const digestBytes = 32

// The rules of the fields.
var (
	aName    = rule{codes.SettingName, "1 to 63 of a-z, 0-9, dot and dash", text(nameShape.MatchString)}
	anAddr   = rule{codes.SettingAddress, "an IP number and a port, such as 10.1.0.5:8080", text(isAddr)}
	aURL     = rule{codes.SettingURL, "a base URL, such as http://10.1.0.5:8080", text(isURL)}
	aFile    = rule{codes.SettingFile, "the path of a file that this process can read", text(isFile)}
	aDigest  = rule{codes.SettingDigest, "the SHA-256 digest as 64 hexadecimal digits", text(isDigest)}
	exporter = rule{codes.SettingChoice, "none, stdout or otlp", text(isExporter)}
	aFlag    = rule{write: "true or false"}
)

// Fields is the table of the declared fields.
var Fields = []Field{
	required("entry", "the name of this entry host", aName),
	required("dataCentre", "the data centre that the host stands in", aName),
	required("region", "the region of the data centre, which residency rules name", aName),
	required("callers.listen", "the address towards callers", anAddr),
	field("callers.url", "the base URL for callers; the listen address where empty", aURL),
	field("callers.certFile", "the certificate towards callers; turns TLS on", aFile),
	field("callers.keyFile", "the key of the certificate towards callers", aFile),
	required("peers.listen", "the address towards other entry hosts", anAddr),
	field("peers.advertise", "the address that other entry hosts dial; the listen address where empty", anAddr),
	required("peers.seeds[].entry", "the name of a host to try before the platform's list is known", aName),
	required("peers.seeds[].addr", "the address of the seed towards other entry hosts", anAddr),
	required("peers.seeds[].dataCentre", "the data centre of the seed", aName),
	required("peers.seeds[].region", "the region of the seed", aName),
	field("peers.certFile", "the certificate of this host towards other entry hosts", aFile),
	field("peers.keyFile", "the key of the certificate towards other entry hosts", aFile),
	field("peers.caFile", "the certificate that signs those of entry hosts", aFile),
	field("peers.plain", "turns TLS between entry hosts off, for development", aFlag),
	required("operators.listen", "the address towards operators", anAddr),
	required("operators.known[].name", "the name of an operator", aName),
	required("operators.known[].tokenDigest", "the SHA-256 digest of the operator's token", aDigest),
	required("platform.url", "the base URL of the platform's service", aURL),
	field("platform.timeoutMs", "the time for each call but the watch, in milliseconds", between(10, 60_000)),
	field("platform.callsPerSecond", "the most calls a second, with bursts of as many", between(0.1, 1000)),
	field("limits.maxBodyBytes", "the longest body of a request", between(1<<10, 1<<30)),
	field("limits.maxHeaderBytes", "the longest headers of a request", between(1<<10, 1<<20)),
	field("limits.maxConnections", "the most connections of callers", between(1, 1<<20)),
	field("limits.maxRequests", "the most requests in flight", between(1, 1<<20)),
	field("limits.maxHeldBytes", "the memory of all bodies and held answers together; 0 is no bound", between(0, 1<<40)),
	field("limits.headerMs", "the time for the headers of a request to arrive, in milliseconds", between(10, 600_000)),
	field("limits.bodyMs", "the time for the body of a request to arrive, in milliseconds", between(10, 3_600_000)),
	field("limits.writeMs", "the time for a caller to accept a piece of its answer, in milliseconds; 0 is no bound", between(0, 3_600_000)),
	field("limits.idleMs", "the time that a connection may wait for a request, in milliseconds; 0 is no bound", between(0, 3_600_000)),
	field("traces.exporter", "where spans go", exporter),
	field("traces.endpoint", "the base URL of the collector, for otlp", aURL),
	field("traces.ratio", "the share of requests that get spans", between(0, 1)),
	field("fleet.directory", "the address that callers ask which entry hosts to use, where the platform names routes and targets", anAddr),
	field("fleet.ready", "the address where the platform asks whether this host is ready", anAddr),
	field("fleet.metrics", "the address that gives out counters and histograms as text", anAddr),
	field("fleet.seeds[]", "the address of a host to try before the platform's list is known", anAddr),
	required("fleet.places[].dataCentre", "a data centre of the deployment", aName),
	required("fleet.places[].region", "the region of that data centre", aName),
	field("fleet.graceSeconds", "the time from SIGTERM to the end of the process, in seconds; 0 stands for 10", between(0, 600)),
	field("fleet.retryRatio", "the most second tries at a service for each of its requests, over all hosts", between(0, 10)),
	field("fleet.retryFloor", "the second tries at a service in ten seconds that need no requests, over all hosts", between(0, 1e6)),
	field("fleet.coldOvershoot", "how many times its rate a cold target may be sent", between(0, 100)),
	field("fleet.coldSlack", "the requests a second that a cold target may be sent beside", between(0, 1e6)),
	field("fleet.leaseLeastMs", "the shortest lease that the platform grants, in milliseconds", between(0, 600_000)),
	field("logs.level", "what is logged: 0 for events, 1 for each request too", between(0, 9)),
}

func text(ok func(s string) bool) func(v reflect.Value) bool {
	return func(v reflect.Value) bool { return ok(v.String()) }
}

func between(low, high float64) rule {
	return rule{codes.SettingRange, fmt.Sprintf("%s to %s", number(low), number(high)), func(v reflect.Value) bool {
		x := low
		switch {
		case v.CanInt():
			x = float64(v.Int())
		case v.CanFloat():
			x = v.Float()
		}
		return x >= low && x <= high
	}}
}

func number(x float64) string {
	if x == float64(int64(x)) {
		return fmt.Sprint(int64(x))
	}
	return fmt.Sprint(x)
}

func isAddr(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
}

func isFile(s string) bool {
	f, err := os.Open(s)
	if err != nil {
		return false
	}
	defer f.Close()
	st, err := f.Stat()
	return err == nil && st.Mode().IsRegular()
}

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == digestBytes
}

func isExporter(s string) bool { return s == "none" || s == "stdout" || s == "otlp" }
