package proofs

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"testing"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
)

// capture holds all bytes sent between the regions of a fleet without TLS, by link.
type capture struct {
	mu  sync.Mutex
	buf map[string]*bytes.Buffer
}

// captureRegions captures the data sent from region to region.
func (f *fleet) captureRegions() *capture {
	cp := &capture{buf: make(map[string]*bytes.Buffer)}
	regions := make(map[string]ident.Region)
	for _, m := range f.hosts {
		regions[m.ip] = m.place.Region
	}
	for _, m := range f.hosts {
		m.peerRelay.setOnBytes(func(sender string, b []byte) {
			if regions[sender] != m.place.Region {
				cp.add(sender+" "+string(m.id), b)
			}
		})
	}
	return cp
}

func (cp *capture) add(link string, b []byte) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if cp.buf[link] == nil {
		cp.buf[link] = &bytes.Buffer{}
	}
	cp.buf[link].Write(b)
}

// has reports whether a text was sent between regions.
func (cp *capture) has(text string) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	for _, b := range cp.buf {
		if bytes.Contains(b.Bytes(), []byte(text)) {
			return true
		}
	}
	return false
}

// size returns the number of captured bytes.
func (cp *capture) size() int {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	n := 0
	for _, b := range cp.buf {
		n += b.Len()
	}
	return n
}

// logEverything enables all logs and traces, and turns off TLS between peers so that the links can
// be captured.
func logEverything(set *config.Settings) {
	set.Logs.Level = 4
	set.Traces = config.Traces{Exporter: "stdout", Ratio: 1}
	set.Peers.Plain = true
	set.Peers.CertFile, set.Peers.KeyFile, set.Peers.CAFile = "", "", ""
}

// platformValues returns all values stored by the platform.
func (f *fleet) platformValues() map[string]string {
	var all map[string]store.Value
	getJSON(f.t, f.platform+"/dev/values", &all)
	out := make(map[string]string, len(all))
	for key, v := range all {
		out[key] = string(v.Body)
	}
	return out
}

// stopHosts stops the entry hosts gracefully, so that their last spans are flushed.
func (f *fleet) stopHosts(t *testing.T) {
	t.Helper()
	for _, m := range f.hosts {
		m.signal(t, syscall.SIGTERM)
	}
	for _, m := range f.hosts {
		eventually(t, string(m.id)+" ends", m.exited)
	}
}

// span is the part of a span that the tests read.
type span struct{ Name string }

// spans returns the spans that a host has printed.
func (m *fleetHost) spans() []span {
	var all []span
	for line := range strings.Lines(m.output.String()) {
		var s span
		if strings.HasPrefix(line, "{") && json.Unmarshal([]byte(line), &s) == nil {
			all = append(all, s)
		}
	}
	return all
}
