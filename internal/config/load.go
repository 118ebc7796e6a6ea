package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"verbenadale.example/verbenadale/pkg/codes"
)

// ErrRead is returned if the settings file cannot be read.
var ErrRead = errors.New("config: cannot read the settings file")

// Defaults of the settings.
const (
	defaultTimeoutMs        = 1500
	defaultCallsPerSecond   = 20
	defaultMaxBodyBytes     = 8 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultMaxConnections   = 4096
	defaultMaxRequests      = 2048
	defaultHeaderMs         = 5000
	defaultMaxBufferedBytes = 256 << 20
	defaultBodyMs           = 30000
	defaultWriteMs          = 30000
	defaultIdleMs           = 120000
	defaultGraceSeconds     = 10
	defaultMinLeaseMs       = 1000
)

// Fault is one fault of a settings file.
type Fault struct {
	Code codes.ID `json:"code"`
	// Path names the field, such as callers.listen.
	Path string `json:"path"`
	// Line counts from 1; 0 means unknown.
	Line int `json:"line"`
	// Message describes what to write instead.
	Message string `json:"message"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	c, _ := codes.Find(f.Code)
	return fmt.Sprintf("line %d: %s: %s: %s (%s)", f.Line, f.Path, c.Title, f.Message, f.Code)
}

// Fatal reports whether a host can't start with the fault.
func (f Fault) Fatal() bool {
	c, _ := codes.Find(f.Code)
	return c.Severity == codes.Error
}

// Usable reports whether a host can start with settings that have these faults.
func Usable(faults []Fault) bool { return !slices.ContainsFunc(faults, Fault.Fatal) }

// Load reads and checks a settings file. The settings are valid only if Usable
// holds for the faults. It fails with ErrRead if the file cannot be read.
func Load(path string) (Settings, []Fault, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(ErrRead, err.Error())
	}
	set, faults := Parse(b)
	return set, faults, nil
}

// Parse reads and checks the text of a settings file. It returns every fault.
func Parse(text []byte) (Settings, []Fault) {
	val, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return Settings{}, []Fault{{Code: codes.SettingSyntax.ID, Path: "file", Line: syntaxLine(err), Message: err.Error()}}
	}
	s := &structure{text: text, lines: map[string]int{}, rejected: map[string]bool{}}
	set := Defaults()
	if s.walkValue(&val, reflect.TypeFor[Settings](), "") {
		val.Standardize()
		if err := json.Unmarshal(val.Pack(), &set); err != nil {
			s.addFault(codes.SettingType, "file", 1, "%s", err)
		}
	}
	(&checker{structure: s, set: set}).check()
	set.Callers.URL = set.Callers.BaseURL()
	slices.SortStableFunc(s.faults, func(a, b Fault) int { return a.Line - b.Line })
	return set, s.faults
}

func syntaxLine(err error) int {
	var line, col int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &col); scanErr != nil {
		return 0
	}
	return line
}

// BaseURL returns the base URL for callers.
func (c Callers) BaseURL() string {
	switch {
	case c.URL != "":
		return c.URL
	case c.CertFile != "":
		return "https://" + c.Listen
	}
	return "http://" + c.Listen
}

// Defaults returns the settings that apply if a file does not set them.
func Defaults() Settings {
	return Settings{
		Platform: Platform{TimeoutMs: defaultTimeoutMs, CallsPerSecond: defaultCallsPerSecond},
		Limits: Limits{
			MaxBodyBytes:     defaultMaxBodyBytes,
			MaxHeaderBytes:   defaultMaxHeaderBytes,
			MaxConnections:   defaultMaxConnections,
			MaxRequests:      defaultMaxRequests,
			MaxBufferedBytes: defaultMaxBufferedBytes,
			HeaderMs:         defaultHeaderMs,
			BodyMs:           defaultBodyMs,
			WriteMs:          defaultWriteMs,
			IdleMs:           defaultIdleMs,
		},
		Traces: Traces{Exporter: "none", Ratio: 1},
		Fleet:  Fleet{GraceSeconds: defaultGraceSeconds, MinLeaseMs: defaultMinLeaseMs},
	}
}
