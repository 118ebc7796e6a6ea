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

// Field declares one field of the settings. The checks and the settings page
// are both generated from it.
type Field struct {
	// Path names the field; [] denotes each element of a list.
	Path string
	// Text describes the purpose of the field.
	Text     string
	Required bool
	// Accepts describes the accepted values; code is the fault of any other value.
	Accepts string
	code    codes.Code
	ok      func(v reflect.Value) bool
	// bound is the range of a number that the platform fills in.
	bound boundRange
}

// rule describes and checks the accepted values of a field.
type rule struct {
	code    codes.Code
	accepts string
	ok      func(v reflect.Value) bool
}

func optional(path, text string, r rule) Field {
	return Field{Path: path, Text: text, Accepts: r.accepts, code: r.code, ok: r.ok}
}

func required(path, text string, r rule) Field {
	f := optional(path, text, r)
	f.Required = true
	return f
}

// bound declares a number that the platform fills in.
func bound(path, text string, r boundRange) Field {
	f := optional(path, text, inRange(r.low, r.high))
	f.code = codes.SettingBound
	f.bound = r
	return f
}

// boundRanges holds the range of each bound by its path.
var boundRanges = rangesOf(Fields)

func rangesOf(fields []Field) map[string]boundRange {
	ranges := make(map[string]boundRange)
	for _, f := range fields {
		if f.bound != (boundRange{}) {
			ranges[f.Path] = f.bound
		}
	}
	return ranges
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

const digestBytes = 32

// The rules of the fields.
var (
	nameRule     = rule{codes.SettingName, "1 to 63 of a-z, 0-9, dot and dash", onString(namePattern.MatchString)}
	addrRule     = rule{codes.SettingAddress, "an IP number and a port, such as 10.1.0.5:8080", onString(isAddr)}
	urlRule      = rule{codes.SettingURL, "a base URL, such as http://10.1.0.5:8080", onString(isURL)}
	fileRule     = rule{codes.SettingFile, "the path of a file that this process can read", onString(isFile)}
	digestRule   = rule{codes.SettingDigest, "the SHA-256 digest as 64 hexadecimal digits", onString(isDigest)}
	exporterRule = rule{codes.SettingChoice, "none, stdout or otlp", onString(isExporter)}
	boolRule     = rule{accepts: "true or false"}
)

// Fields is the table of the declared fields.
var Fields = []Field{
	required("entry", "the name of this entry host", nameRule),
	required("dataCentre", "the data centre of this entry host", nameRule),
	required("region", "the region of the data centre, as named in residency rules", nameRule),
	required("callers.listen", "the address to listen on for callers", addrRule),
	optional("callers.url", "the base URL for callers; the listen address if empty", urlRule),
	optional("callers.certFile", "the TLS certificate for callers; turns TLS on", fileRule),
	optional("callers.keyFile", "the key of the TLS certificate for callers", fileRule),
	required("peers.listen", "the address to listen on for other entry hosts", addrRule),
	optional("peers.advertise", "the address that other entry hosts dial; the listen address if empty", addrRule),
	required("peers.seeds[].entry", "the name of a host to try before the platform's list is known", nameRule),
	required("peers.seeds[].addr", "the address on which the seed listens for other entry hosts", addrRule),
	required("peers.seeds[].dataCentre", "the data centre of the seed", nameRule),
	required("peers.seeds[].region", "the region of the seed", nameRule),
	optional("peers.certFile", "the TLS certificate of this host for links to other entry hosts", fileRule),
	optional("peers.keyFile", "the key of the certificate for links to other entry hosts", fileRule),
	optional("peers.caFile", "the CA certificate that signs the certificates of entry hosts", fileRule),
	optional("peers.plain", "turns TLS between entry hosts off, for development", boolRule),
	required("operators.listen", "the address to listen on for operators", addrRule),
	required("operators.known[].name", "the name of an operator", nameRule),
	required("operators.known[].tokenDigest", "the SHA-256 digest of the operator's token", digestRule),
	required("platform.url", "the base URL of the platform's service", urlRule),
	optional("platform.timeoutMs", "the timeout of each call except the watch, in milliseconds", inRange(10, 60_000)),
	optional("platform.callsPerSecond", "the maximum number of calls a second, and of calls in a burst", inRange(0.1, 1000)),
	optional("limits.maxBodyBytes", "the maximum size of a request body, in bytes", inRange(1<<10, 1<<30)),
	optional("limits.maxHeaderBytes", "the maximum size of the request headers, in bytes", inRange(1<<10, 1<<20)),
	optional("limits.maxConnections", "the maximum number of connections of callers", inRange(1, 1<<20)),
	optional("limits.maxRequests", "the maximum number of requests in flight", inRange(1, 1<<20)),
	optional("limits.maxHeldBytes", "the maximum memory of all bodies and buffered answers together, in bytes; 0 means no limit", inRange(0, 1<<40)),
	optional("limits.headerMs", "the timeout for the headers of a request to arrive, in milliseconds", inRange(10, 600_000)),
	optional("limits.bodyMs", "the timeout for the body of a request to arrive, in milliseconds", inRange(10, 3_600_000)),
	optional("limits.writeMs", "the timeout for a caller to accept a part of its answer, in milliseconds; 0 means no limit", inRange(0, 3_600_000)),
	optional("limits.idleMs", "the timeout of idle connections, in milliseconds; 0 means no limit", inRange(0, 3_600_000)),
	optional("traces.exporter", "the exporter of spans", exporterRule),
	optional("traces.endpoint", "the base URL of the collector, for otlp", urlRule),
	optional("traces.ratio", "the share of requests that are traced", inRange(0, 1)),
	optional("fleet.directory", "the address where callers look up the entry hosts to use, if the platform supplies routes and targets", addrRule),
	optional("fleet.ready", "the address for the platform's readiness checks", addrRule),
	optional("fleet.metrics", "the address that serves counters and histograms as text", addrRule),
	optional("fleet.seeds[]", "the address of a host to try before the platform's list is known", addrRule),
	required("fleet.places[].dataCentre", "a data centre of the deployment", nameRule),
	required("fleet.places[].region", "the region of that data centre", nameRule),
	bound("fleet.graceSeconds", "the time from SIGTERM to the end of the process, in seconds; 0 means 10", boundRange{0, 600}),
	bound("fleet.retryRatio", "the maximum number of retries at a service per request to it, over all hosts", boundRange{0, 10}),
	bound("fleet.retryFloor", "the number of retries at a service in ten seconds that are allowed regardless of its requests, over all hosts", boundRange{0, 1e6}),
	bound("fleet.coldOvershoot", "the factor by which the requests to a cold target may exceed its rate", boundRange{0, 100}),
	bound("fleet.coldSlack", "requests per second that all hosts together may send to a cold target in addition to its own rate", boundRange{0, 1e6}),
	bound("fleet.limitWindowSeconds", "the time over which what all hosts together admit of an account's requests is counted, in seconds; 0 means that no bound applies", boundRange{0, 3600}),
	bound("fleet.limitOvershoot", "the tolerated excess over an account's limit in that time, as a factor of the limit", boundRange{0, 10}),
	bound("fleet.limitSlack", "the tolerated excess over an account's limit in that time, in tokens, or in requests for a limit of requests", boundRange{0, 1e12}),
	bound("fleet.keyTTLMs", "how long API keys are accepted after the platform or a peer has last confirmed the configuration, in milliseconds; 0 means no limit", boundRange{0, 3_600_000}),
	bound("fleet.memoryMB", "the memory that the process may use before it is killed, in megabytes; 0 means that it is unknown", boundRange{0, 1e7}),
	bound("fleet.leaseLeastMs", "the shortest lease that the platform grants, in milliseconds", boundRange{0, 600_000}),
	optional("logs.level", "the log verbosity: 0 for events, 1 for each request too", inRange(0, 9)),
}

func onString(ok func(s string) bool) func(v reflect.Value) bool {
	return func(v reflect.Value) bool { return ok(v.String()) }
}

func inRange(low, high float64) rule {
	return rule{codes.SettingRange, fmt.Sprintf("%s to %s", formatNumber(low), formatNumber(high)), func(v reflect.Value) bool {
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

func formatNumber(x float64) string {
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
