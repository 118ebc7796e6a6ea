package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"verbenadale.example/verbenadale/pkg/codes"
)

// Defaults of the settings.
const (
	defaultTimeoutMs   = 1500
	defaultCalls       = 20
	defaultBody        = 8 << 20
	defaultHeader      = 32 << 10
	defaultConnections = 4096
	defaultRequests    = 2048
	defaultHeaderMs    = 5000
	defaultHeld        = 256 << 20
	defaultBodyMs      = 30000
	defaultWriteMs     = 30000
	defaultIdleMs      = 120000
)

// Fault is one fault of a settings file.
type Fault struct {
	Code codes.ID `json:"code"`
	// Path names the field, such as callers.listen.
	Path string `json:"path"`
	// Line counts from 1; zero is unknown.
	Line int `json:"line"`
	// Message says what to write instead.
	Message string `json:"message"`
}

// String writes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s (%s)", f.Line, f.Path, f.Message, f.Code)
}

// Load reads and checks a settings file. The settings are of use only without
// faults.
func Load(path string) (Settings, []Fault, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "settings")
	}
	set, faults := Parse(b)
	return set, faults, nil
}

// Parse reads and checks the text of a settings file.
func Parse(text []byte) (Settings, []Fault) {
	std, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Settings{}, []Fault{{Code: codes.SettingUnknown.ID, Message: err.Error()}}
	}
	set := defaults()
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&set); err != nil {
		return Settings{}, []Fault{{Code: codes.SettingUnknown.ID, Message: err.Error()}}
	}
	if set.Callers.URL == "" {
		set.Callers.URL = "http://" + set.Callers.Listen
	}
	return set, nil
}

func defaults() Settings {
	return Settings{
		Platform: Platform{TimeoutMs: defaultTimeoutMs, CallsPerSecond: defaultCalls},
		Limits: Limits{
			MaxBodyBytes:   defaultBody,
			MaxHeaderBytes: defaultHeader,
			MaxConnections: defaultConnections,
			MaxRequests:    defaultRequests,
			HeaderMs:       defaultHeaderMs,
			BodyMs:         defaultBodyMs,
			MaxHeldBytes:   defaultHeld,
			WriteMs:        defaultWriteMs,
			IdleMs:         defaultIdleMs,
		},
		Traces: Traces{Exporter: "none", Ratio: 1},
	}
}
