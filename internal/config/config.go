// Package config reads and checks the settings of an entry host, which
// come from its own file and not from the platform.
//
// # Usage
//
//	set, faults, err := config.Load("entry.jsonc")
//	for _, f := range faults {
//		fmt.Println(f)
//	}
//
// The file is JSON with comments. Unknown fields are faults.
package config

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Settings is the settings file of one entry host.
type Settings struct {
	Entry      ident.EntryID    `json:"entry"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	Region     ident.Region     `json:"region"`
	Callers    Callers          `json:"callers"`
	Peers      Peers            `json:"peers"`
	Operators  Operators        `json:"operators"`
	Platform   Platform         `json:"platform"`
	Limits     Limits           `json:"limits"`
	Traces     Traces           `json:"traces"`
	Logs       Logs             `json:"logs"`
	Fleet      Fleet            `json:"fleet"`
}

// Fleet holds the settings of a deployment whose platform supplies the routes,
// the targets and the entry hosts to use. It is empty in other deployments.
type Fleet struct {
	// Directory is the address where callers look up the hosts to use. Ready
	// is the address for the platform's readiness checks, and Metrics is the
	// address that serves counters.
	Directory string `json:"directory"`
	Ready     string `json:"ready"`
	Metrics   string `json:"metrics"`
	// Seeds are the addresses of hosts to try before the platform's list is
	// known.
	Seeds []string `json:"seeds"`
	// Places lists all data centres of the deployment.
	Places []FleetPlace `json:"places"`
	// GraceSeconds is the time from SIGTERM to the end of the process.
	GraceSeconds Bound `json:"graceSeconds"`
	// RetryRatio bounds the retries at a service as a fraction of its requests,
	// and RetryFloor is the number of retries allowed regardless of the requests.
	// Both apply to all hosts together and to ten seconds.
	RetryRatio Bound `json:"retryRatio"`
	RetryFloor Bound `json:"retryFloor"`
	// ColdOvershoot and ColdSlack limit the requests that all hosts together may
	// send to a cold target in a second: its rate times ColdOvershoot (at least
	// 1), plus ColdSlack.
	ColdOvershoot Bound `json:"coldOvershoot"`
	ColdSlack     Bound `json:"coldSlack"`
	// LimitWindow is the time in seconds over which the platform counts what all
	// hosts together admit of an account's requests; 0 means that it doesn't
	// count. LimitOvershoot and LimitSlack are the tolerated excess, as a factor
	// of the account's limit and in its units.
	LimitWindow    Bound `json:"limitWindowSeconds"`
	LimitOvershoot Bound `json:"limitOvershoot"`
	LimitSlack     Bound `json:"limitSlack"`
	// KeyTTLMs is how long API keys are accepted after the platform has last
	// confirmed the configuration; 0 means no limit.
	KeyTTLMs Bound `json:"keyTTLMs"`
	// MemoryMB is the memory of the machine that the process may use; 0 means
	// that it is unknown.
	MemoryMB Bound `json:"memoryMB"`
	// MinLeaseMs is the shortest lease that the platform grants.
	MinLeaseMs Bound `json:"leaseLeastMs"`
}

// FleetPlace is one data centre and its region.
type FleetPlace struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Region     ident.Region     `json:"region"`
}

// Callers is the listener for callers.
type Callers struct {
	// Listen is host:port, with an IP address as the host.
	Listen string `json:"listen"`
	// URL is the base URL for callers; empty means https://LISTEN with
	// a certificate and http://LISTEN without one.
	URL string `json:"url"`
	// CertFile and KeyFile turn on TLS for callers.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
}

// Peers is the listener for other entry hosts and the TLS keys of the links.
type Peers struct {
	// Listen is host:port. Links to other hosts are dialled from its IP address too.
	Listen string `json:"listen"`
	// Advertise is the address that other hosts dial; empty means Listen.
	Advertise string `json:"advertise"`
	// Seeds are hosts to try before the platform's list is known.
	Seeds []Seed `json:"seeds"`
	// CertFile, KeyFile and CAFile are the files for mutual TLS. They are
	// reloaded when they change.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
	// Plain turns TLS off, for development.
	Plain bool `json:"plain"`
}

// Seed is one entry host known from the settings.
type Seed struct {
	Entry      ident.EntryID    `json:"entry"`
	Addr       string           `json:"addr"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	Region     ident.Region     `json:"region"`
}

// Operators is the listener for operators.
type Operators struct {
	Listen string     `json:"listen"`
	Known  []Operator `json:"known"`
}

// Operator is a person who may change profiles.
type Operator struct {
	Name ident.Operator `json:"name"`
	// TokenDigest is the SHA-256 digest of the token in hexadecimal.
	TokenDigest string `json:"tokenDigest"`
}

// Platform locates the platform's service and limits the calls to it.
type Platform struct {
	URL string `json:"url"`
	// TimeoutMs bounds each call except the watch.
	TimeoutMs int64 `json:"timeoutMs"`
	// CallsPerSecond bounds the calls of this host; bursts may be as
	// large as one second of calls.
	CallsPerSecond float64 `json:"callsPerSecond"`
}

// Limits bounds the resources that callers can use.
type Limits struct {
	MaxBodyBytes   ident.Bytes `json:"maxBodyBytes"`
	MaxHeaderBytes int         `json:"maxHeaderBytes"`
	MaxConnections int         `json:"maxConnections"`
	MaxRequests    int         `json:"maxRequests"`
	// MaxBufferedBytes bounds the memory of all bodies and buffered
	// answers together.
	MaxBufferedBytes ident.Bytes `json:"maxHeldBytes"`
	// HeaderMs and BodyMs are the timeouts for the headers and the body of a
	// request to arrive. WriteMs is the timeout for a caller to accept a part
	// of its answer, and IdleMs the timeout of an idle connection.
	HeaderMs int64 `json:"headerMs"`
	BodyMs   int64 `json:"bodyMs"`
	WriteMs  int64 `json:"writeMs"`
	IdleMs   int64 `json:"idleMs"`
}

// Traces configures the export of spans.
type Traces struct {
	// Exporter is none, stdout or otlp.
	Exporter string  `json:"exporter"`
	Endpoint string  `json:"endpoint"`
	Ratio    float64 `json:"ratio"`
}

// Logs configures logging.
type Logs struct {
	// Level is a logr verbosity: 0 for events, 1 for each request.
	Level int `json:"level"`
}

// Millis converts milliseconds to a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
